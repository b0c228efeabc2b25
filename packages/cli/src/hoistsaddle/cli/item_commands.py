"""Commands for items: a patch checked, submitted and read back at a controller's operators' door."""

import sys
from pathlib import Path
from typing import NoReturn

import click
from returns.result import Failure, Success

from hoistsaddle.cli.caller import call_or_exit, print_json
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.items import Patch
from hoistsaddle.config.patch_text import read_text

_door = click.option(
    "--door",
    "doors",
    multiple=True,
    envvar="HOISTSADDLE_DOORS",
    help="A controller's operators' address; repeat, or set HOISTSADDLE_DOORS (spaces between).",
)
_file = click.argument("file", type=click.Path(exists=True, dir_okay=False))


def _refuse(error: MeshError) -> NoReturn:
    click.echo(f"refused: {error}", err=True)
    sys.exit(1)


def _read(file: str) -> tuple[Patch, bytes, bool]:
    """TOML, or JSON by the file's name; checked here before anything is sent."""
    data, json = Path(file).read_bytes(), file.endswith(".json")
    try:
        text = data.decode()
    except UnicodeDecodeError:
        _refuse(MeshError(ErrorKind.ITEM_BROKEN, "The file is not UTF-8 text.", "Save it as UTF-8."))
    match read_text(text, json=json):
        case Failure(error):
            _refuse(error)
        case Success(patch):
            return patch, data, json


@click.group()
def items() -> None:
    """Items: a configuration in parts, each with a revision of its own."""


@items.command()
@_file
def check(file) -> None:
    """Checks a patch file without sending it."""
    patch, _, _ = _read(file)
    print_json(
        {
            "sets": {f"{each.kind}.{each.item['name']}": each.revision for each in patch.sets},
            "drops": {f"{each.kind}.{each.name}": each.revision for each in patch.drops},
        }
    )


@items.command()
@_door
@_file
def submit(doors, file) -> None:
    """Submits a patch; it counts at once, under the standing sign-off. Sent again, it changes nothing."""
    _, data, json = _read(file)
    kind = "application/json" if json else "application/toml"
    print_json(call_or_exit(doors=doors, method="PUT", path="/items", body=data, kind=kind))


@items.command("list")
@_door
def list_items(doors) -> None:
    """Shows every item that stands, with its revision."""
    answer = call_or_exit(doors=doors, method="GET", path="/items")
    print_json({"offset": answer["offset"], "items": answer["items"], "dropped": answer["dropped"]})


@items.command()
@_door
def status(doors) -> None:
    """Shows who signs for patches and the newest numbered ones."""
    answer = call_or_exit(doors=doors, method="GET", path="/items")
    standing = {"desk": answer["desk"], "standing_sign_off": answer["standing_sign_off"]}
    print_json({**standing, "items": len(answer["items"]), "patches": answer["patches"]})
