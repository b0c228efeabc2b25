"""Encodes the state as the bytes of a checkpoint, in a format that former releases read too.

A snapshot is a MessagePack map of the state's fields by their encoded names, in the order of the state's fields. Maps
are packed as sorted lists of pairs and records by position. Encoded names are stored on disk and never change.
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


class _FormerWidth(NamedTuple):
    """The record width below a release level: the fields beyond it hold their defaults there and are not packed."""

    below_level: int
    width: int


class _FieldEncoding(NamedTuple):
    """The encoding of one field of the state."""

    # The encoded name of the field.
    name: str
    # Converts a packed value, or each packed value of a map; None if the packed form is the value itself.
    unpack: Callable[[Any], Any] | None = None
    # The release level that introduced the field; below it, the field is not packed.
    level: int = 1
    former_width: _FormerWidth | None = None


def _record_unpacker(record: Any) -> Callable[[Any], Any]:
    """Returns a function that unpacks records of one type and drops fields that a newer release added."""
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


# Encodings by field of the state, in the order of its fields.
_FIELD_ENCODINGS: dict[str, _FieldEncoding] = {
    "mesh": _FieldEncoding("mesh"),
    "offset": _FieldEncoding("offset"),
    "epoch": _FieldEncoding("epoch"),
    "mesh_time": _FieldEncoding("stamp", from_microseconds),
    "expired_at": _FieldEncoding("swept", from_microseconds),
    "voters": _FieldEncoding("voters"),
    "operators": _FieldEncoding("operators"),
    "bundles": _FieldEncoding("bundles", _unpack_bundle, former_width=_FormerWidth(4, 9)),
    "in_force": _FieldEncoding("in_force"),
    "rolling": _FieldEncoding("rolling"),
    "servers": _FieldEncoding("servers", _record_unpacker(ServerRecord), former_width=_FormerWidth(2, 10)),
    "nodes": _FieldEncoding("nodes", _record_unpacker(NodeRecord), former_width=_FormerWidth(2, 7)),
    "singleton_roles": _FieldEncoding("duties", _record_unpacker(SingletonRoleRecord)),
    "holds": _FieldEncoding("holds", _record_unpacker(KeyHold), former_width=_FormerWidth(2, 9)),
    "outcomes": _FieldEncoding("outcomes", _unpack_outcome),
    "data_plane_revision": _FieldEncoding("news"),
    "level": _FieldEncoding("level", level=2),
    "level_offset": _FieldEncoding("raised", level=2),
    "purge_offset": _FieldEncoding("purged", level=2),
    "buckets": _FieldEncoding("buckets", tuple, level=2),
    "operator_changes": _FieldEncoding("changes", _record_unpacker(OperatorChange), level=2),
    "items": _FieldEncoding("items", _record_unpacker(ItemRecord), level=3),
    "patches": _FieldEncoding("patches", _unpack_patch, level=3),
    "revision_histories": _FieldEncoding("memories", _unpack_history, level=4),
    "rejected_patches": _FieldEncoding("refusals", _record_unpacker(RejectedPatch), level=4),
}
_FIELD_BY_ENCODED_NAME = {encoding.name: field for field, encoding in _FIELD_ENCODINGS.items()}


def pack_state(state: State) -> bytes:
    """Packs a state into a snapshot; equal states give equal bytes on every replica."""
    packed: dict[str, Any] = {}
    for encoding, value in zip(_FIELD_ENCODINGS.values(), state, strict=True):
        if state.level < encoding.level:
            continue
        match value:
            case Map():
                packed[encoding.name] = _pack_map(encoding, value, level=state.level)
            case timedelta():
                packed[encoding.name] = to_microseconds(value)
            case _:
                packed[encoding.name] = value
    return msgspec.msgpack.encode(packed)


def _pack_map(encoding: _FieldEncoding, values: Map, *, level: int) -> list:
    keys = sorted(values)
    if encoding.former_width is not None and level < encoding.former_width.below_level:
        width = encoding.former_width.width
        return [[key, values[key][:width]] for key in keys]
    if encoding.unpack is _unpack_outcome:
        return [[key, _pack_outcome(values[key])] for key in keys]
    return [[key, values[key]] for key in keys]


def _pack_outcome(stored: StoredOutcome) -> tuple:
    # An outcome stored below release level 2 has no digest: it is packed with two fields after the level is raised too.
    return stored if stored.command_digest else stored[:2]


def unpack_state(data: bytes) -> State:
    """Unpacks the state of a snapshot. A field that is missing, as in snapshots of a former release, keeps its default.

    Raises:
        msgspec.DecodeError: the data is no MessagePack.
    """
    fields: dict[str, Any] = {}
    for name, packed in msgspec.msgpack.decode(data).items():
        # A newer release may have fields that this release doesn't know.
        if (field := _FIELD_BY_ENCODED_NAME.get(name)) is not None:
            fields[field] = _unpack_field(_FIELD_ENCODINGS[field], State._field_defaults[field], packed)
    return State(**fields)


def _unpack_field(encoding: _FieldEncoding, default: Any, packed: Any) -> Any:
    unpack = encoding.unpack
    if not isinstance(default, Map):
        return packed if unpack is None else unpack(packed)
    if unpack is None:
        return Map(packed)
    return Map({key: unpack(value) for key, value in packed})
