"""Decodes patches as operators write them: TOML, which they may keep in git, or JSON with the same tables.

[entry.pay]             [service.ledger]        [limits]               [[drop]]
revision = 7            revision = 7            revision = 7           kind = "entry"
host = "shop.example"   connections = 110       body_bytes = 1048576   name = "old"
...                     ...                     ...                    revision = 7
"""

import tomllib
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import InvalidItem, MeshError, field_in
from hoistsaddle.config.item_checks import check_patch
from hoistsaddle.config.items import ENTRY, LIMITS, SERVICE, ItemDeletion, ItemUpsert, Kind, Patch

# The maximum length of a text, in characters.
MAX_TEXT_BYTES = 4 * 1024 * 1024


class _Drop(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: Kind
    name: str
    revision: int


class _Text(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The tables of a patch text."""

    service: dict[str, dict] = {}
    entry: dict[str, dict] = {}
    limits: dict | None = None
    drop: list[_Drop] = []


class _Table(NamedTuple):
    """One table of a patch text: an item to set."""

    kind: Kind
    name: str
    fields: dict

    @property
    def qualified_name(self) -> str:
        """The name of the table in the text."""
        return self.kind if self.kind == LIMITS else f"{self.kind}.{self.name}"


def read_text(text: str, *, json: bool = False) -> Result[Patch, MeshError]:
    """Decodes a patch text and validates the patch; returns the patch or its first error.

    The state machine applies the same checks to the patch again.

    Args:
        text: The patch text.
        json: Whether the text is JSON; it is TOML otherwise.
    """
    if len(text) > MAX_TEXT_BYTES:
        return Failure(InvalidItem("The patch is too large.", remedy="Split it into patches of less than 4 MiB."))
    try:
        decoded = msgspec.json.decode(text) if json else tomllib.loads(text)
        parsed = msgspec.convert(decoded, _Text)
    except (msgspec.DecodeError, msgspec.ValidationError) as decode_error:
        return Failure(InvalidItem(f"{decode_error}.", field=field_in(decode_error), remedy="Correct the field."))
    except (tomllib.TOMLDecodeError, ValueError, RecursionError) as decode_error:
        return Failure(
            InvalidItem(f"It is not TOML: {decode_error}.", remedy="Correct the line that the message names.")
        )
    return _patch_of(_tables(parsed), parsed.drop)


def _tables(parsed: _Text) -> list[_Table]:
    tables = [_Table(SERVICE, name, fields) for name, fields in parsed.service.items()]
    tables += [_Table(ENTRY, name, fields) for name, fields in parsed.entry.items()]
    if parsed.limits is not None:
        tables.append(_Table(LIMITS, LIMITS, parsed.limits))
    return tables


def _patch_of(tables: list[_Table], drops: list[_Drop]) -> Result[Patch, MeshError]:
    sets = []
    for table in tables:
        match _upsert_of(table):
            case Failure(error):
                return Failure(error)
            case Success(upsert):
                sets.append(upsert)
    if not sets and not drops:
        return Failure(InvalidItem("The patch is empty.", remedy="Set or drop at least one item."))
    patch = Patch(sets, [ItemDeletion(each.kind, each.revision, each.name) for each in drops])
    match check_patch(patch):
        case Failure(error):
            return Failure(error._replace(field=_field_in_text(error.field, tables)))
        case Success(_):
            return Success(patch)


def _upsert_of(table: _Table) -> Result[ItemUpsert, MeshError]:
    revision = table.fields.get("revision")
    if not isinstance(revision, int) or isinstance(revision, bool):
        return Failure(
            InvalidItem(
                "An item needs a revision.",
                field=table.qualified_name,
                remedy="Give an integer that is higher than before.",
            )
        )
    if "name" in table.fields:
        return Failure(
            InvalidItem(
                "The name is given by the header of the table.",
                field=f"{table.qualified_name}.name",
                remedy="Remove the field.",
            )
        )
    item: dict[str, Any] = {key: value for key, value in table.fields.items() if key != "revision"}
    source = msgspec.json.encode(table.fields, order="sorted")
    return Success(ItemUpsert(table.kind, revision, {**item, "name": table.name}, source))


def _field_in_text(field: str, tables: list[_Table]) -> str:
    """Returns a field of the patch as a field of its table in the text."""
    head, _, rest = field.partition(".")
    if not head.startswith("sets["):
        return field
    index = int(head.removeprefix("sets[").removesuffix("]"))
    return ".".join(part for part in (tables[index].qualified_name, rest) if part)
