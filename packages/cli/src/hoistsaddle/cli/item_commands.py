"""Commands that check patches of items, submit them to a controller's operators' interface and show the result."""

from pathlib import Path
from typing import NamedTuple

import click
from returns.result import Failure, Success

from hoistsaddle.cli.caller import call_or_exit
from hoistsaddle.cli.output import exit_with_error, print_json
from hoistsaddle.common.errors import InvalidItem
from hoistsaddle.config.items import Patch
from hoistsaddle.config.patch_text import read_text

_endpoint = click.option(
    "--door",
    "endpoints",
    multiple=True,
    envvar="HOISTSADDLE_DOORS",
    help="A controller's address for operators; repeat, or set HOISTSADDLE_DOORS (separated by spaces).",
)
_file = click.argument("file", type=click.Path(exists=True, dir_okay=False))


class _PatchFile(NamedTuple):
    """A patch file: the patch, the bytes of the file, and whether they are JSON rather than TOML."""

    patch: Patch
    data: bytes
    is_json: bool


def _read_patch(file: str) -> _PatchFile:
    """Reads a patch file, which is JSON if its name ends in .json, else TOML; exits with the error if it is invalid."""
    data, is_json = Path(file).read_bytes(), file.endswith(".json")
    try:
        text = data.decode()
    except UnicodeDecodeError:
        exit_with_error(InvalidItem("The file is not UTF-8 text."))
    match read_text(text, json=is_json):
        case Failure(error):
            exit_with_error(error)
        case Success(patch):
            return _PatchFile(patch, data, is_json)


@click.group()
def items() -> None:
    """Manages configuration items, each of which has its own revision."""


@items.command()
@_file
def check(file) -> None:
    """Checks a patch file without sending it."""
    patch = _read_patch(file).patch
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
    """Submits a patch, in force at once under the standing sign-off. Submitting it again changes nothing."""
    patch_file = _read_patch(file)
    kind = "application/json" if patch_file.is_json else "application/toml"
    print_json(call_or_exit(endpoints=endpoints, method="PUT", path="/items", body=patch_file.data, kind=kind))


@items.command("list")
@_endpoint
def list_items(endpoints) -> None:
    """Shows all items in force with their revisions."""
    answer = call_or_exit(endpoints=endpoints, method="GET", path="/items")
    print_json({"offset": answer["offset"], "items": answer["items"], "dropped": answer["dropped"]})


@items.command()
@_endpoint
def status(endpoints) -> None:
    """Shows who signs patches, and the latest numbered patches."""
    answer = call_or_exit(endpoints=endpoints, method="GET", path="/items")
    signers = {"desk": answer["desk"], "standing_sign_off": answer["standing_sign_off"]}
    print_json({**signers, "items": len(answer["items"]), "patches": answer["patches"]})
