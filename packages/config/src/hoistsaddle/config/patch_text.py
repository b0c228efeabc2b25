"""A patch as operators write it: TOML kept in git, or JSON with the same tables.

[entry.pay]             [service.ledger]        [limits]               [[drop]]
revision = 7            revision = 7            revision = 7           kind = "entry"
host = "shop.example"   connections = 110       body_bytes = 1048576   name = "old"
...                     ...                     ...                    revision = 7
"""

import tomllib
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, MeshError, field_in
from hoistsaddle.config.items import ENTRY, LIMITS, SERVICE, ItemDeletion, ItemUpsert, Kind, Patch, check_patch

MAX_TEXT_BYTES = 4 * 1024 * 1024


class _Drop(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: Kind
    name: str
    revision: int


class _Text(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    service: dict[str, dict] = {}
    entry: dict[str, dict] = {}
    limits: dict | None = None
    drop: list[_Drop] = []


def _broken(message: str, remedy: str, field: str = "") -> MeshError:
    return MeshError(ErrorKind.ITEM_BROKEN, message, remedy, field)


def _setting(kind: Kind, name: str, table: dict) -> Result[ItemUpsert, MeshError]:
    place = kind if kind == LIMITS else f"{kind}.{name}"
    revision = table.get("revision")
    if not isinstance(revision, int) or isinstance(revision, bool):
        return Failure(_broken("An item needs a revision.", "Give a whole number, higher than before.", place))
    if "name" in table:
        return Failure(_broken("The name stands in the table's head.", "Leave it out here.", f"{place}.name"))
    item: dict[str, Any] = {key: value for key, value in table.items() if key != "revision"}
    return Success(ItemUpsert(kind, revision, {**item, "name": name}, msgspec.json.encode(table, order="sorted")))


def _named(field: str, places: list[str]) -> str:
    """The check's own place in the patch, told by the table's name."""
    head, _, rest = field.partition(".")
    if not head.startswith("sets["):
        return field
    return ".".join(part for part in (places[int(head[5:-1])], rest) if part)


def read_text(text: str, *, json: bool = False) -> Result[Patch, MeshError]:
    """The whole patch, checked as the log will check it again."""
    if len(text) > MAX_TEXT_BYTES:
        return Failure(_broken("The patch is too large.", "Keep it under 4 MiB; send it in parts."))
    try:
        plain = msgspec.json.decode(text) if json else tomllib.loads(text)
        told = msgspec.convert(plain, _Text)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        return Failure(_broken(f"{problem}.", "Mend the field.", field_in(problem)))
    except (tomllib.TOMLDecodeError, ValueError, RecursionError) as problem:
        return Failure(_broken(f"It is not TOML: {problem}.", "Mend the line it names."))
    tables: list[tuple[Kind, str, dict]] = [(SERVICE, name, table) for name, table in told.service.items()]
    tables += [(ENTRY, name, table) for name, table in told.entry.items()]
    if told.limits is not None:
        tables.append((LIMITS, LIMITS, told.limits))
    sets = []
    for kind, name, table in tables:
        match _setting(kind, name, table):
            case Failure(error):
                return Failure(error)
            case Success(upsert):
                sets.append(upsert)
    patch = Patch(sets, [ItemDeletion(each.kind, each.revision, each.name) for each in told.drop])
    if not sets and not told.drop:
        return Failure(_broken("The patch is empty.", "Set or drop at least one item."))
    match check_patch(patch):
        case Failure(error):
            places = [kind if kind == LIMITS else f"{kind}.{name}" for kind, name, _ in tables]
            return Failure(error._replace(field=_named(error.field, places)))
        case Success(_):
            return Success(patch)
