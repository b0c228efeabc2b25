"""The output of commands: answers as JSON on stdout, errors on stderr together with the exit status."""

import sys
from typing import NoReturn

import click
import msgspec

from hoistsaddle.common.errors import MeshError

# Exit status after an error or a rejected call.
EXIT_FAILURE = 1
# Exit status after wrong arguments or settings.
EXIT_USAGE = 2


def format_json(value: object) -> str:
    """Formats a value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value)).decode()


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    click.echo(format_json(value))


def exit_with_error(error: MeshError, *, status: int = EXIT_FAILURE) -> NoReturn:
    """Prints an error and exits with the given status."""
    click.echo(f"refused: {error}", err=True)
    sys.exit(status)


def exit_with_usage_error(message: str) -> NoReturn:
    """Prints what is wrong with the arguments and how to correct them, and exits."""
    click.echo(f"refused: {message}", err=True)
    sys.exit(EXIT_USAGE)
