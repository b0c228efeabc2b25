"""The platform's adapter, found beside the product's packages in the checkout.

The product doesn't know the adapter; only the emulator, which stands in for the platform, uses it.
"""

import importlib
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parents[6] / "platform" / "src"


def adapter(name: str) -> Any:
    """Imports a module of the adapter, which is no installed package: a deployment puts it beside the others."""
    if str(FOLDER) not in sys.path:
        sys.path.append(str(FOLDER))
    return importlib.import_module(f"hoistsaddle.adapter.{name}")
