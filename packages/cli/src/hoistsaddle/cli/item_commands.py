"""Commands for items: a patch is checked, submitted and read back at a controller's operators' interface."""

from pathlib import Path
from typing import NamedTuple

import click
from returns.result import Failure, Success

from hoistsaddle.cli.caller import call_or_exit
from hoistsaddle.cli.output import print_json, refuse
from hoistsaddle.common.errors import InvalidItem
from hoistsaddle.config.items import Patch
from hoistsaddle.config.patch_text import read_text

_endpoint = click.option(
    "--door",
    "endpoints",
    multiple=True,
    envvar="HOISTSADDLE_DOORS",
    help="A controller's operators' address; repeat, or set HOISTSADDLE_DOORS (spaces between).",
)
_file = click.argument("file", type=click.Path(exists=True, dir_okay=False))


class _PatchFile(NamedTuple):
    """A patch file as it was read: the patch, its bytes, and whether they are JSON or TOML."""

    patch: Patch
    data: bytes
    is_json: bool


def _read(file: str) -> _PatchFile:
    """TOML, or JSON by the file's name; checked here before anything is sent."""
    data, is_json = Path(file).read_bytes(), file.endswith(".json")
    try:
        text = data.decode()
    except UnicodeDecodeError:
        refuse(InvalidItem("The file is not UTF-8 text."))
    match read_text(text, json=is_json):
        case Failure(error):
            refuse(error)
        case Success(patch):
            return _PatchFile(patch, data, is_json)


@click.group()
def items() -> None:
    """Items: a configuration in parts, each with a revision of its own."""


@items.command()
@_file
def check(file) -> None:
    """Checks a patch file without sending it."""
    patch = _read(file).patch
    print_json(
        {
            "sets": {f"{each.kind}.{each.item['name']}": each.revision for each in patch.sets},
            "drops": {f"{each.kind}.{each.name}": each.revision for each in patch.drops},
        }
    )


@items.command()
@_endpoint
@_file
def submit(endpoints, file) -> None:
    """Submits a patch; it counts at once, under the standing sign-off. Sent again, it changes nothing."""
    read = _read(file)
    kind = "application/json" if read.is_json else "application/toml"
    print_json(call_or_exit(endpoints=endpoints, method="PUT", path="/items", body=read.data, kind=kind))


@items.command("list")
@_endpoint
def list_items(endpoints) -> None:
    """Shows every item that stands, with its revision."""
    answer = call_or_exit(endpoints=endpoints, method="GET", path="/items")
    print_json({"offset": answer["offset"], "items": answer["items"], "dropped": answer["dropped"]})


@items.command()
@_endpoint
def status(endpoints) -> None:
    """Shows who signs for patches and the newest numbered ones."""
    answer = call_or_exit(endpoints=endpoints, method="GET", path="/items")
    signers = {"desk": answer["desk"], "standing_sign_off": answer["standing_sign_off"]}
    print_json({**signers, "items": len(answer["items"]), "patches": answer["patches"]})
