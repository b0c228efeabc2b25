"""Items: the separately changeable parts of a configuration. Each route, each service and the limits are one item.

Each item has its own revision, and the highest revision prevails. A patch sets some items and drops others;
item_checks.py decodes and validates it. Fields keep the names under which they are packed into the log and sent by the
platform: if a field here has another name, `rename` or `name` gives the encoded name.
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
# The size of a content digest in bytes: a collision is expected only after 2**48 contents under one revision.
DIGEST_BYTES = 12
# Longer timeouts and targets are reduced to a day: clocks and timers have a limited range.
MAX_DURATION_SECONDS = 86400.0


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The weight of one service in a route."""

    service: str
    weight: float = 1.0


class RouteItem(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A route: which requests go to which services, and with which timeouts and priority."""

    name: str
    host: str
    # Begins and ends with a slash. Of the routes of a host, the one with the longest matching prefix is used.
    prefix: str
    kind: Literal["repeatable", "once per send", "once per key", "upload"]
    parts: list[Part]
    # The longest time for which a request is held, and the latency target: the time within which its answer has its
    # full value.
    hold_seconds: float
    aim_seconds: float
    # The priority of its requests; 0 is the highest.
    rank: int = 0
    # The most servers to which one request may be sent.
    most_sends: int = 1


class ServiceItem(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"health_path": "vitals_path"}):
    """A service: how its servers are health-checked, and how many connections each of them accepts."""

    name: str
    # The path of health checks.
    health_path: str = "/"
    # The most connections that the whole mesh may open to one of its servers.
    connections: int = 100
    # Whether its servers deduplicate by idempotency key themselves.
    keeps_keys: bool = False


class LimitsItem(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The limits of a client: the sizes of its requests, the time to send headers, and the time that it may be idle."""

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
    # The operator's source text of the item, which is returned unchanged.
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
    """Returns the key of an item in the state."""
    return f"{kind}:{name}"


def pack_patch(patch: Patch) -> bytes:
    """Packs a patch for the log."""
    return msgspec.msgpack.encode(patch)


def pack_item(item: Item) -> bytes:
    """Packs an item for the state."""
    return msgspec.msgpack.encode(item)


def unpack_item(kind: str, data: bytes) -> Item:
    """Unpacks an item that pack_item packed."""
    return msgspec.msgpack.decode(data, type=KINDS[kind])


def content_digest(*, body: bytes, source: bytes) -> bytes:
    """Returns a digest of an item's content, which distinguishes two upserts under one revision.

    It covers the item and the source text. The order of the text's fields and its white space make no difference. The
    bytes of a text that isn't JSON are used unchanged.

    Args:
        body: The packed item.
        source: The operator's source text of the item.
    """
    try:
        source = msgspec.json.encode(_normalize_numbers(msgspec.json.decode(source)), order="sorted")
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError):
        pass
    return hashlib.blake2b(len(body).to_bytes(8) + body + source, digest_size=DIGEST_BYTES).digest()


def _normalize_numbers(value: Any) -> Any:
    """Returns the value with equal numbers in the same form, such as 3 and 3.0."""
    match value:
        case float() if value.is_integer():
            return int(value)
        case dict():
            return {key: _normalize_numbers(each) for key, each in value.items()}
        case list():
            return [_normalize_numbers(each) for each in value]
    return value


# The content digest of a dropped item: the same for every name, and different from that of any upsert.
DROPPED_DIGEST = hashlib.blake2b(b"dropped", digest_size=DIGEST_BYTES).digest()


class ItemConfiguration:
    """The items in force, indexed for lookups.

    Attributes:
        routes: Host to the routes of the host, the longest prefix first.
        services: Service name to the service.
        limits: The limits of clients.
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
            # Prefixes of equal length are ordered by name, so that every proxy selects the same route.
            routes.sort(key=lambda route: (-len(route.prefix), route.name))

    def match_route(self, *, host: str, path: str) -> RouteItem | None:
        """Returns the route of a request: of the routes of its host, the one with the longest matching prefix."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def hold_timeout(route: RouteItem) -> timedelta:
    """Returns the longest time for which a request of a route is held."""
    return timedelta(seconds=min(route.hold_seconds, MAX_DURATION_SECONDS))


def latency_target(route: RouteItem) -> timedelta:
    """Returns the latency target of a route: the time within which its answers have their full value."""
    return timedelta(seconds=min(route.aim_seconds, MAX_DURATION_SECONDS))
