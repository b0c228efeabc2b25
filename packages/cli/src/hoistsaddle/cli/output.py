"""What commands print: answers as JSON, and refusals on the error stream with the exit status."""

import sys
from typing import NoReturn

import click
import msgspec

from hoistsaddle.common.errors import MeshError

REFUSED = 1
# The command itself was called wrongly.
MISUSED = 2


def format_json(value: object) -> str:
    """A value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value)).decode()


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    click.echo(format_json(value))


def refuse(error: MeshError, *, status: int = REFUSED) -> NoReturn:
    """Prints an error and ends the command with this exit status."""
    click.echo(f"refused: {error}", err=True)
    sys.exit(status)


def refuse_use(message: str) -> NoReturn:
    """Prints how the command is called instead and ends it."""
    click.echo(f"refused: {message}", err=True)
    sys.exit(MISUSED)
