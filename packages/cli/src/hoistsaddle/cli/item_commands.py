"""Commands for items: a patch checked, submitted and read back at a market's operators' door."""

import sys
from pathlib import Path
from typing import NoReturn

import click
from returns.result import Failure, Success

from hoistsaddle.cli.caller import say, show
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.config.items import Patch
from hoistsaddle.config.itemtext import read_text

_door = click.option(
    "--door",
    "doors",
    multiple=True,
    envvar="HOISTSADDLE_DOORS",
    help="A market's operators' address; repeat, or set HOISTSADDLE_DOORS (spaces between).",
)
_file = click.argument("file", type=click.Path(exists=True, dir_okay=False))


def _refuse(mishap: Mishap) -> NoReturn:
    click.echo(f"refused: {mishap}", err=True)
    sys.exit(1)


def _read(file: str) -> tuple[Patch, bytes, bool]:
    """TOML, or JSON by the file's name; checked here before anything is sent."""
    data, json = Path(file).read_bytes(), file.endswith(".json")
    try:
        text = data.decode()
    except UnicodeDecodeError:
        _refuse(Mishap(MishapKind.ITEM_BROKEN, "The file is not UTF-8 text.", "Save it as UTF-8."))
    match read_text(text, json=json):
        case Failure(mishap):
            _refuse(mishap)
        case Success(patch):
            return patch, data, json


@click.group()
def items() -> None:
    """Items: a setup in parts, each with a revision of its own."""


@items.command()
@_file
def check(file) -> None:
    """Checks a patch file without sending it."""
    patch, _, _ = _read(file)
    show(
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
    show(say(doors=doors, method="PUT", path="/items", body=data, kind=kind))


@items.command("list")
@_door
def list_items(doors) -> None:
    """Shows every item that stands, with its revision."""
    answer = say(doors=doors, method="GET", path="/items")
    show({"offset": answer["offset"], "items": answer["items"], "dropped": answer["dropped"]})


@items.command()
@_door
def status(doors) -> None:
    """Shows who signs for patches and the newest numbered ones."""
    answer = say(doors=doors, method="GET", path="/items")
    standing = {"desk": answer["desk"], "standing_sign_off": answer["standing_sign_off"]}
    show({**standing, "items": len(answer["items"]), "patches": answer["patches"]})
