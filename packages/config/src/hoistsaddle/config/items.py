"""Items: a bundle in parts. Each entry, service and the limits carry a revision of their own, and the highest prevails.

A patch sets some items and drops others. It is checked whole before any of it counts, and once more against what else
stands when the log applies it, as two desks may send at the same moment.
"""

import hashlib
from datetime import timedelta
from typing import Any, Literal, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, MeshError, field_in

IDEMPOTENT = "repeatable"
ONCE_PER_ATTEMPT = "once per send"
ONCE_PER_KEY = "once per key"
UPLOAD = "upload"
Kind = Literal["entry", "service", "limits"]
ENTRY: Kind = "entry"
SERVICE: Kind = "service"
LIMITS: Kind = "limits"
# An aim may lie above the longest hold by less than this: further off, one of the two is a slip of the pen.
MAX_TARGET_ABOVE_HOLD_SECONDS = 60.0
MAX_REVISION = 2**62
# Bytes of a content's digest: 2**48 contents under one revision before two of them are taken for one.
DIGEST_BYTES = 12
# Far above any that is meant; their sum stays a number.
MAX_WEIGHT = 1e12
# A longer hold or aim than a day counts as a day: clocks and schedules end somewhere.
MAX_DURATION_SECONDS = 86400.0


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service's weight in an entry."""

    service: str
    weight: float = 1.0


class RouteItem(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    host: str
    # Begins and ends with a slash; of a host's entries the longest that begins the path is taken.
    prefix: str
    kind: Literal["repeatable", "once per send", "once per key", "upload"]
    parts: list[Part]
    # Seconds: the longest a request is held, and within which its answer is worth all.
    hold_seconds: float
    aim_seconds: float
    # 0 is served first.
    rank: int = 0
    # The most servers one send of a client may go to.
    most_sends: int = 1


class ServiceItem(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"health_path": "vitals_path"}):
    name: str
    health_path: str = "/"
    # The most connections a server of it takes from all of the mesh.
    connections: int = 100
    # Its servers keep their own record of keys.
    keeps_keys: bool = False


class LimitsItem(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a client may send, and how long it may take over it or say nothing."""

    name: str = LIMITS
    header_bytes: int = 16384
    body_bytes: int = 8 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


Item = RouteItem | ServiceItem | LimitsItem
KINDS: dict[str, type] = {ENTRY: RouteItem, SERVICE: ServiceItem, LIMITS: LimitsItem}


class ItemUpsert(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One item with its revision; said is the operator's own text of it, given back word for word."""

    kind: Kind
    revision: int
    item: dict
    source: bytes = msgspec.field(name="said", default=b"")


class ItemDeletion(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: Kind
    revision: int
    name: str


class Patch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    sets: list[ItemUpsert] = []
    drops: list[ItemDeletion] = []


def key_of(kind: str, name: str) -> str:
    return f"{kind}:{name}"


def pack_patch(patch: Patch) -> bytes:
    return msgspec.msgpack.encode(patch)


def pack_item(item: Item) -> bytes:
    return msgspec.msgpack.encode(item)


def unpack_item(kind: str, data: bytes) -> Item:
    return msgspec.msgpack.decode(data, type=KINDS[kind])


def _plain(value: Any) -> Any:
    """Numbers that are equal are written alike: 3 and 3.0."""
    match value:
        case float() if value.is_integer():
            return int(value)
        case dict():
            return {key: _plain(each) for key, each in value.items()}
        case list():
            return [_plain(each) for each in value]
    return value


def content_digest(*, body: bytes, source: bytes) -> bytes:
    """By what two settings under one revision are told apart: what they mean, and what is given back of them.

    The order of a text's fields and its spaces are no content. A text that isn't JSON counts byte for byte.
    """
    try:
        source = msgspec.json.encode(_plain(msgspec.json.decode(source)), order="sorted")
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError):
        pass
    return hashlib.blake2b(len(body).to_bytes(8) + body + source, digest_size=DIGEST_BYTES).digest()


# What a drop is instead of a setting: the same for every name, and like no setting's.
DROPPED_DIGEST = hashlib.blake2b(b"dropped", digest_size=DIGEST_BYTES).digest()


def _broken(field: str, message: str, remedy: str) -> MeshError:
    return MeshError(ErrorKind.ITEM_BROKEN, message, remedy, field)


def _check_entry(entry: RouteItem, where: str) -> MeshError | None:
    checks = (
        (not entry.host, "host", "An entry needs a host.", "Name the host that visitors call."),
        (
            not (entry.prefix.startswith("/") and entry.prefix.endswith("/")),
            "prefix",
            f"{entry.prefix!r} is no prefix.",
            "Begin and end it with a slash.",
        ),
        (not entry.parts, "parts", "No service is named.", "Name at least one."),
        (
            any(not 0 <= part.weight <= MAX_WEIGHT for part in entry.parts),
            "parts",
            "A weight is below 0 or too large.",
            "Give 0 or more for each service.",
        ),
        (
            not sum(part.weight for part in entry.parts) > 0,
            "parts",
            "No service has any weight.",
            "Give at least one service a weight above 0.",
        ),
        (not entry.hold_seconds > 0, "hold_seconds", "The longest hold is 0.", "Give above 0 seconds."),
        (not entry.aim_seconds >= 0, "aim_seconds", "The aim is below 0.", "Give 0 seconds or more."),
        (
            not entry.aim_seconds < entry.hold_seconds + MAX_TARGET_ABOVE_HOLD_SECONDS,
            "aim_seconds",
            "The aim is far above the longest hold.",
            "Lower the aim or raise the hold.",
        ),
        (entry.most_sends < 1, "most_sends", "No server may be tried.", "Give 1 or more."),
    )
    for wrong, field, message, remedy in checks:
        if wrong:
            return _broken(f"{where}.{field}", message, remedy)
    return None


def _too_wide(value: object) -> bool:
    """Numbers go through the log and to every proxy as 64 bits."""
    return isinstance(value, int) and not -MAX_REVISION <= value <= MAX_REVISION


class ValidatedPatch(NamedTuple):
    """A patch that is right in itself."""

    sets: list[tuple[ItemUpsert, Item]]
    drops: list[ItemDeletion]


def check_patch(patch: Patch) -> Result[ValidatedPatch, MeshError]:
    sets: list[tuple[ItemUpsert, Item]] = []
    for place, upsert in enumerate(patch.sets):
        where = f"sets[{place}]"
        try:
            item: Item = msgspec.convert(upsert.item, KINDS[upsert.kind])
        except msgspec.ValidationError as problem:
            return Failure(_broken(f"{where}.{field_in(problem)}", f"{problem}.", "Mend the field."))
        if wide := [name for name in item.__struct_fields__ if _too_wide(getattr(item, name))]:
            return Failure(_broken(f"{where}.{wide[0]}", "The number is out of range.", "Give a smaller one."))
        if not item.name:
            return Failure(_broken(f"{where}.name", "An item needs a name.", "Give one."))
        if not 0 <= upsert.revision <= MAX_REVISION:
            return Failure(_broken(f"{where}.revision", "The revision is out of range.", "Give 0 or more."))
        if isinstance(item, RouteItem) and (found := _check_entry(item, where)):
            return Failure(found)
        if isinstance(item, LimitsItem) and min(item.header_bytes, item.body_bytes) <= 0:
            return Failure(_broken(f"{where}.body_bytes", "A limit is 0.", "Give above 0."))
        if isinstance(item, LimitsItem) and not (item.header_seconds >= 0 and item.idle_seconds >= 0):
            return Failure(_broken(f"{where}.idle_seconds", "A limit is below 0.", "Give 0 seconds or more."))
        sets.append((upsert, item))
    for place, deletion in enumerate(patch.drops):
        if not deletion.name or not 0 <= deletion.revision <= MAX_REVISION:
            return Failure(_broken(f"drops[{place}]", "A drop needs a name and a revision.", "Give both."))
    return Success(ValidatedPatch(sets, list(patch.drops)))


def read_patch(data: bytes) -> Result[ValidatedPatch, MeshError]:
    try:
        patch = msgspec.msgpack.decode(data, type=Patch)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        return Failure(_broken(field_in(problem), f"{problem}.", "Send a whole patch."))
    return check_patch(patch)


class ItemConfiguration:
    """The items in force, ready for look-ups."""

    def __init__(self, *, items: dict[str, Item]) -> None:
        self.entries: dict[str, list[RouteItem]] = {}
        self.services: dict[str, ServiceItem] = {}
        self.limits = LimitsItem()
        for item in items.values():
            match item:
                case RouteItem(host=host):
                    self.entries.setdefault(host, []).append(item)
                case ServiceItem(name=name):
                    self.services[name] = item
                case LimitsItem():
                    self.limits = item
        for entries in self.entries.values():
            # Longest first, so that the first that begins the path is the one; names settle ties the same everywhere.
            entries.sort(key=lambda entry: (-len(entry.prefix), entry.name))

    def select_entry(self, *, host: str, path: str) -> RouteItem | None:
        for entry in self.entries.get(host, ()):
            if path.startswith(entry.prefix):
                return entry
        return None


def hold_timeout(entry: RouteItem) -> timedelta:
    return timedelta(seconds=min(entry.hold_seconds, MAX_DURATION_SECONDS))


def latency_target(entry: RouteItem) -> timedelta:
    return timedelta(seconds=min(entry.aim_seconds, MAX_DURATION_SECONDS))
