"""Access to the platform's adapter, which is in the checkout beside the product's packages.

The product doesn't depend on the adapter; only the emulator, which replaces the platform, uses it.
"""

import importlib
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parents[6] / "platform" / "src"


def adapter(name: str) -> Any:
    """Imports a module of the adapter, which isn't installed as a package: a deployment copies it beside the others."""
    if str(FOLDER) not in sys.path:
        sys.path.append(str(FOLDER))
    return importlib.import_module(f"hoistsaddle.adapter.{name}")
