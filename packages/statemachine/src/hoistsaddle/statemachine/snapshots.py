"""The state as the bytes of a checkpoint, under names and in a form that former releases read too.

A snapshot is a MessagePack map of the state's parts by their encoded names, in the order of the state's fields. Maps
are packed as sorted lists of pairs and records by position. Encoded names are on disk: they never change.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from immutables import Map

from hoistsaddle.common.clock import from_microseconds, to_microseconds
from hoistsaddle.statemachine.commands import Outcome
from hoistsaddle.statemachine.revision_history import AcceptedRevision, RevisionHistory
from hoistsaddle.statemachine.state import (
    BundleRecord,
    ItemRecord,
    KeyHold,
    NodeRecord,
    OperatorChange,
    PatchRecord,
    RejectedPatch,
    ServerRecord,
    SingletonRoleRecord,
    State,
    StoredOutcome,
)


class _Narrowing(NamedTuple):
    """Below this release level a part's records have so many fields; the others hold their defaults there."""

    below_level: int
    width: int


class _Part(NamedTuple):
    """How one field of the state is packed."""

    # Its encoded name.
    name: str
    # Makes a map's value from what was packed; None for values that are packed as they are.
    unpack: Callable[[Any], Any] | None = None
    # The release level that it came with: below, it is not packed.
    level: int = 1
    narrowing: _Narrowing | None = None


def _positional(record: Any) -> Callable[[Any], Any]:
    """Makes records of one kind, without the fields that a newer release added."""
    width = len(record._fields)
    return lambda values: record(*values[:width])


def _unpack_bundle(values: list) -> BundleRecord:
    record = BundleRecord(*values[: len(BundleRecord._fields)])
    return record._replace(advanced_by=tuple(record.advanced_by))


def _unpack_patch(values: list) -> PatchRecord:
    record = PatchRecord(*values[: len(PatchRecord._fields)])
    return record._replace(changed=tuple(record.changed))


def _unpack_history(values: list) -> RevisionHistory:
    record = RevisionHistory(*values[: len(RevisionHistory._fields)])
    return record._replace(accepted=tuple(AcceptedRevision(*each) for each in record.accepted))


def _unpack_outcome(values: list) -> StoredOutcome:
    stored_at, outcome, *digest = values
    return StoredOutcome(stored_at, Outcome(*outcome), *digest)


# By field of the state, in the order of its fields.
_parts: dict[str, _Part] = {
    "mesh": _Part("mesh"),
    "offset": _Part("offset"),
    "epoch": _Part("epoch"),
    "mesh_time": _Part("stamp", from_microseconds),
    "expired_at": _Part("swept", from_microseconds),
    "voters": _Part("voters"),
    "operators": _Part("operators"),
    "bundles": _Part("bundles", _unpack_bundle, narrowing=_Narrowing(4, 9)),
    "in_force": _Part("in_force"),
    "rolling": _Part("rolling"),
    "servers": _Part("servers", _positional(ServerRecord), narrowing=_Narrowing(2, 10)),
    "nodes": _Part("nodes", _positional(NodeRecord), narrowing=_Narrowing(2, 7)),
    "singleton_roles": _Part("duties", _positional(SingletonRoleRecord)),
    "holds": _Part("holds", _positional(KeyHold), narrowing=_Narrowing(2, 9)),
    "outcomes": _Part("outcomes", _unpack_outcome),
    "data_plane_revision": _Part("news"),
    "level": _Part("level", level=2),
    "level_offset": _Part("raised", level=2),
    "purge_offset": _Part("purged", level=2),
    "buckets": _Part("buckets", tuple, level=2),
    "operator_changes": _Part("changes", _positional(OperatorChange), level=2),
    "items": _Part("items", _positional(ItemRecord), level=3),
    "patches": _Part("patches", _unpack_patch, level=3),
    "revision_histories": _Part("memories", _unpack_history, level=4),
    "rejected_patches": _Part("refusals", _positional(RejectedPatch), level=4),
}
_fields = {part.name: field for field, part in _parts.items()}


def pack_state(state: State) -> bytes:
    """The snapshot of a state; equal states give equal bytes on every replica."""
    packed: dict[str, Any] = {}
    for part, value in zip(_parts.values(), state, strict=True):
        if state.level < part.level:
            continue
        match value:
            case Map():
                packed[part.name] = _pack_map(part, value, level=state.level)
            case timedelta():
                packed[part.name] = to_microseconds(value)
            case _:
                packed[part.name] = value
    return msgspec.msgpack.encode(packed)


def _pack_map(part: _Part, values: Map, *, level: int) -> list:
    keys = sorted(values)
    if part.narrowing is not None and level < part.narrowing.below_level:
        width = part.narrowing.width
        return [[key, values[key][:width]] for key in keys]
    if part.unpack is _unpack_outcome:
        return [[key, _pack_outcome(values[key])] for key in keys]
    return [[key, values[key]] for key in keys]


def _pack_outcome(stored: StoredOutcome) -> tuple:
    # Below release level 2 there is no digest: such an outcome keeps its two fields after the level rose.
    return stored if stored.command_digest else stored[:2]


def unpack_state(data: bytes) -> State:
    """The state in a snapshot. A part that is missing was packed by a release before the part was; it stays empty.

    Raises:
        msgspec.DecodeError: the data is no MessagePack.
    """
    fields: dict[str, Any] = {}
    for name, packed in msgspec.msgpack.decode(data).items():
        # A newer release may have parts that this one doesn't know.
        if (field := _fields.get(name)) is not None:
            fields[field] = _unpack_part(_parts[field], State._field_defaults[field], packed)
    return State(**fields)


def _unpack_part(part: _Part, default: Any, packed: Any) -> Any:
    unpack = part.unpack
    if not isinstance(default, Map):
        return packed if unpack is None else unpack(packed)
    if unpack is None:
        return Map(packed)
    return Map({key: unpack(value) for key, value in packed})
