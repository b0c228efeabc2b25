"""The deterministic state the log builds. Every value is immutable: a capture is a reference kept at one offset."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from immutables import Map

from hoistsaddle.common.clock import ZERO, from_microseconds, to_microseconds
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.bundle import Bundle, read_bundle
from hoistsaddle.statemachine.commands import Outcome
from hoistsaddle.statemachine.revision_history import AcceptedRevision, RevisionHistory

DRAFT = "draft"
ROLLING = "rolling"
IN_FORCE = "in force"
REPLACED = "replaced"
ABORTED = "aborted"
READY = "ready"
WINDING_DOWN = "winding down"
GONE = "gone"
MAX_BUNDLES = 64
NODE_MONITOR_ROLE = "warden"
CLAIMED = "claimed"
SETTLED = "settled"


class BundleRecord(NamedTuple):
    number: int
    based_on: int
    author: str
    signer: str
    text: str
    digest: str
    phase: str
    stage: int
    offset: int
    # Who moved it beyond each stage after the first, and who aborted it; kept from release level 4 on.
    advanced_by: tuple[str, ...] = ()
    aborted_by: str = ""


class ServerRecord(NamedTuple):
    proxy: str
    service: str
    instance: str
    address: str
    zone: str
    state: str
    serial: int
    incarnation: str
    drained_by: str
    offset: int
    # Mesh time of the last change; kept from release level 2 on.
    changed: int = 0


class NodeRecord(NamedTuple):
    node: str
    kind: str
    address: str
    zone: str
    incarnation: str
    state: str
    offset: int
    changed: int = 0


class SingletonRoleRecord(NamedTuple):
    duty: str
    node: str
    epoch: int
    offset: int


class KeyHold(NamedTuple):
    claim: str
    proxy: str
    body_digest: str
    phase: str
    expires: int
    status: int
    headers: dict
    body: bytes
    kept: bool
    bucket: str = ""
    by: str = ""
    who: str = ""
    entry: str = ""


class ItemRecord(NamedTuple):
    """One item with its own revision. A dropped one keeps it, so that an older setting can't bring it back."""

    revision: int
    offset: int
    dropped: bool
    body: bytes
    said: bytes


class PatchRecord(NamedTuple):
    """A bundle in parts on the time line: taken at once, under a standing sign-off."""

    number: int
    author: str
    signer: str
    digest: str
    offset: int
    changed: tuple[str, ...]


class RejectedPatch(NamedTuple):
    """A patch that was refused for what stood then: an older copy of it must not count later."""

    offset: int
    # Microseconds of mesh time.
    kept_until: int


class State(NamedTuple):
    mesh: str = ""
    offset: int = 0
    epoch: int = 0
    stamp: timedelta = ZERO
    swept: timedelta = ZERO
    voters: Map = Map()
    operators: Map = Map()
    bundles: Map = Map()
    in_force: int = 0
    rolling: int = 0
    servers: Map = Map()
    nodes: Map = Map()
    duties: Map = Map()
    holds: Map = Map()
    outcomes: Map = Map()
    # The offset of the last record that changed what the data plane must know.
    news: int = 0
    # What the log may hold, and the offset of the record that said so.
    level: int = 1
    raised: int = 0
    # The offset of the last record that forgot a server or node.
    purged: int = 0
    # Who calls, method, path and key to the holds under them: one for each client told apart.
    buckets: Map = Map()
    # Operator's name to a change proposed and not signed: token digest, proposer, digest of the change.
    changes: Map = Map()
    # "kind:name" to its item, and the newest patches by number; kept from release level 3 on.
    items: Map = Map()
    patches: Map = Map()
    # "kind:name" to the contents its revisions were taken with, and digests of patches to how they were refused; kept
    # from release level 4 on.
    memories: Map = Map()
    refusals: Map = Map()


# How many fields the entries of a part had below a level. The others hold their defaults there and aren't packed: a
# former release reads this too.
_fields_below: dict[str, tuple[int, int]] = {"servers": (2, 10), "nodes": (2, 7), "holds": (2, 9), "bundles": (4, 9)}
# Parts that came with a level.
_parts_of: dict[int, set[str]] = {
    2: {"level", "raised", "purged", "buckets", "changes"},
    3: {"items", "patches"},
    4: {"memories", "refusals"},
}
_entries: dict[str, Any] = {
    "bundles": BundleRecord,
    "servers": ServerRecord,
    "nodes": NodeRecord,
    "duties": SingletonRoleRecord,
    "holds": KeyHold,
    "outcomes": None,
    "buckets": None,
    "changes": None,
    "items": ItemRecord,
    "patches": PatchRecord,
    "memories": RevisionHistory,
    "refusals": RejectedPatch,
}


def pack_state(state: State) -> bytes:
    plain = state._asdict()
    later = {name for level, parts in _parts_of.items() if state.level < level for name in parts}
    plain = {name: value for name, value in plain.items() if name not in later}
    for name, value in plain.items():
        match value:
            case Map():
                level, fields = _fields_below.get(name, (0, 0))
                width = fields if state.level < level else None
                # Sorted, so that equal states give equal bytes on every replica.
                plain[name] = [[key, value[key][:width] if width else value[key]] for key in sorted(value)]
            case timedelta():
                plain[name] = to_microseconds(value)
    return msgspec.msgpack.encode(plain)


def unpack_state(data: bytes) -> State:
    plain = {name: value for name, value in msgspec.msgpack.decode(data).items() if name in State._fields}
    for name in ("stamp", "swept"):
        plain[name] = from_microseconds(plain[name])
    for name in ("voters", "operators", *_entries):
        if name not in plain:
            # Packed by a release before this part was.
            continue
        kind = _entries.get(name)
        plain[name] = Map({key: kind(*value[: len(kind._fields)]) if kind else value for key, value in plain[name]})
    if "buckets" in plain:
        plain["buckets"] = Map({bucket: tuple(scopes) for bucket, scopes in plain["buckets"].items()})
    # A list in one state and a tuple in the other would be two states.
    for name, restore in _nested.items():
        if name in plain:
            plain[name] = Map({key: restore(entry) for key, entry in plain[name].items()})
    return State(**plain)


_nested: dict[str, Callable[[Any], Any]] = {
    "patches": lambda entry: entry._replace(changed=tuple(entry.changed)),
    "bundles": lambda entry: entry._replace(advanced_by=tuple(entry.advanced_by)),
    "memories": lambda entry: entry._replace(taken=tuple(AcceptedRevision(*each) for each in entry.taken)),
}


def initial_state(*, mesh: str, voters: dict[int, str], operators: dict[str, str], level: int = 1) -> State:
    return State(mesh=mesh, voters=Map(voters), operators=Map(operators), level=level)


def refuse(kind: ErrorKind, message: str, remedy: str, field: str = "", **detail) -> Outcome:
    return Outcome(str(kind), message, remedy, field, detail)


def refusal_of(error: MeshError) -> Outcome:
    return Outcome(str(error.kind), error.message, error.remedy, error.field)


def bundle_of(state: State, number: int) -> Bundle | None:
    entry = state.bundles.get(number)
    return read_bundle(entry.text).value_or(None) if entry else None


def data_plane_items(state: State) -> dict[str, tuple[int, bytes]]:
    """What the data plane must know: key to (offset of its last change, value)."""
    items: dict[str, tuple[int, bytes]] = {}
    encode = msgspec.msgpack.encode
    for number in (state.in_force, state.rolling):
        if number:
            entry = state.bundles[number]
            items[f"bundle:{number}"] = (entry.offset, encode([entry.phase, entry.stage, entry.text]))
    # In the order of names: a map's own order hangs on the process, and copies pick servers in the order of the news.
    for _, entry in sorted(state.servers.items()):
        items[f"server:{entry.proxy}"] = (entry.offset, encode(list(entry)))
    for _, entry in sorted(state.nodes.items()):
        items[f"node:{entry.node}"] = (entry.offset, encode(list(entry)))
    for _, entry in sorted(state.singleton_roles.items()):
        items[f"duty:{entry.duty}"] = (entry.offset, encode(list(entry)))
    for key, entry in sorted(state.items.items()):
        # A dropped item's revision is the log's affair; the data plane only needs to know that it is gone.
        if not entry.dropped:
            items[f"item:{key}"] = (entry.offset, encode([entry.revision, entry.body]))
    if state.level > 1:
        items["level:mesh"] = (state.level_offset, encode([state.level]))
    if state.purge_offset:
        # Nobody acts on it; it says up to where a copy has heard of what was forgotten.
        items["purged:mesh"] = (state.purge_offset, encode([state.purge_offset]))
    return items
