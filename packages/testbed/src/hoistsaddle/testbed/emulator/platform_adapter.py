"""The platform's side of the emulator: its adapter, found beside the product's packages in the checkout.

The product doesn't know the adapter; only this stand-in of the platform speaks to the product through it.
"""

import importlib
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parents[6] / "platform" / "src"


def adapter(name: str) -> Any:
    """A module of the adapter. Its folder is no installed package: the deployment puts it beside the others."""
    if str(FOLDER) not in sys.path:
        sys.path.append(str(FOLDER))
    return importlib.import_module(f"hoistsaddle.adapter.{name}")
