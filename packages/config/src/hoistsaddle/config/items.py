"""Items: a configuration in parts. Each route, service and the limits have a revision of their own; the highest counts.

A patch sets some items and drops others; item_checks.py reads and checks it. Fields keep the names under which they are
packed into the log and sent by the platform: where a field here is named otherwise, the declared name is given.
"""

import hashlib
from datetime import timedelta
from typing import Any, Literal

import msgspec

# Kinds of a route, by how often its requests may run; encoded.
IDEMPOTENT = "repeatable"
ONCE_PER_ATTEMPT = "once per send"
ONCE_PER_KEY = "once per key"
UPLOAD = "upload"
# Kinds of an item; encoded.
Kind = Literal["entry", "service", "limits"]
ENTRY: Kind = "entry"
SERVICE: Kind = "service"
LIMITS: Kind = "limits"
# Bytes of a content's digest: 2**48 contents under one revision before two of them are taken for one.
DIGEST_BYTES = 12
# A longer timeout or target counts as a day: clocks and timers have limits.
MAX_DURATION_SECONDS = 86400.0


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service's weight in a route."""

    service: str
    weight: float = 1.0


class RouteItem(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which requests go to which services, and how."""

    name: str
    host: str
    # Begins and ends with a slash; of a host's routes, the longest prefix of the path is taken.
    prefix: str
    kind: Literal["repeatable", "once per send", "once per key", "upload"]
    parts: list[Part]
    # The longest time for which a request is held, and the latency target within which its answer has its full value.
    hold_seconds: float
    aim_seconds: float
    # The priority of its requests; 0 is served first.
    rank: int = 0
    # The most servers that one request may be tried at.
    most_sends: int = 1


class ServiceItem(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"health_path": "vitals_path"}):
    """A service: how its servers are checked, and how much each of them takes."""

    name: str
    # The path of health checks.
    health_path: str = "/"
    # The most connections that one of its servers takes from the whole mesh.
    connections: int = 100
    # Whether its servers keep their own record of idempotency keys.
    keeps_keys: bool = False


class LimitsItem(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a client may send, how long it may take for it, and how long it may stay idle."""

    name: str = LIMITS
    header_bytes: int = 16384
    body_bytes: int = 8 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


Item = RouteItem | ServiceItem | LimitsItem
KINDS: dict[str, type] = {ENTRY: RouteItem, SERVICE: ServiceItem, LIMITS: LimitsItem}


class ItemUpsert(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An item to set, with its revision."""

    kind: Kind
    revision: int
    item: dict
    # The operator's own text of it, which is given back as it is.
    source: bytes = msgspec.field(name="said", default=b"")


class ItemDeletion(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An item to drop, with the revision at which it is dropped."""

    kind: Kind
    revision: int
    name: str


class Patch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of the configuration that takes effect as a whole or not at all."""

    sets: list[ItemUpsert] = []
    drops: list[ItemDeletion] = []


def key_of(kind: str, name: str) -> str:
    """The key of an item in the state."""
    return f"{kind}:{name}"


def pack_patch(patch: Patch) -> bytes:
    """A patch as the log holds it."""
    return msgspec.msgpack.encode(patch)


def pack_item(item: Item) -> bytes:
    """An item as the state holds it."""
    return msgspec.msgpack.encode(item)


def unpack_item(kind: str, data: bytes) -> Item:
    """The item that pack_item packed."""
    return msgspec.msgpack.decode(data, type=KINDS[kind])


def content_digest(*, body: bytes, source: bytes) -> bytes:
    """A digest by which two settings under one revision are told apart: of what they mean and what is given back.

    The order of a text's fields and its white space don't matter. A text that isn't JSON is compared byte by byte.

    Args:
        body: The packed item.
        source: The operator's own text of it.
    """
    try:
        source = msgspec.json.encode(_normalize_numbers(msgspec.json.decode(source)), order="sorted")
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError):
        pass
    return hashlib.blake2b(len(body).to_bytes(8) + body + source, digest_size=DIGEST_BYTES).digest()


def _normalize_numbers(value: Any) -> Any:
    """The value with numbers that are equal written alike, such as 3 and 3.0."""
    match value:
        case float() if value.is_integer():
            return int(value)
        case dict():
            return {key: _normalize_numbers(each) for key, each in value.items()}
        case list():
            return [_normalize_numbers(each) for each in value]
    return value


# The digest of a dropped item's content: the same for every name, and no setting's.
DROPPED_DIGEST = hashlib.blake2b(b"dropped", digest_size=DIGEST_BYTES).digest()


class ItemConfiguration:
    """The items in force, ready for look-ups.

    Attributes:
        routes: Host to its routes, the longest prefix first.
        services: Name to the service.
        limits: What clients may send.
    """

    def __init__(self, *, items: dict[str, Item]) -> None:
        self.routes: dict[str, list[RouteItem]] = {}
        self.services: dict[str, ServiceItem] = {}
        self.limits = LimitsItem()
        for item in items.values():
            match item:
                case RouteItem(host=host):
                    self.routes.setdefault(host, []).append(item)
                case ServiceItem(name=name):
                    self.services[name] = item
                case LimitsItem():
                    self.limits = item
        for routes in self.routes.values():
            # Of prefixes of one length, names decide, so that every proxy takes the same.
            routes.sort(key=lambda route: (-len(route.prefix), route.name))

    def match_route(self, *, host: str, path: str) -> RouteItem | None:
        """The route of a request: of its host's, the one with the longest prefix of the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def hold_timeout(route: RouteItem) -> timedelta:
    """The longest time for which a request of a route is held."""
    return timedelta(seconds=min(route.hold_seconds, MAX_DURATION_SECONDS))


def latency_target(route: RouteItem) -> timedelta:
    """The time within which an answer of a route has its full value."""
    return timedelta(seconds=min(route.aim_seconds, MAX_DURATION_SECONDS))
