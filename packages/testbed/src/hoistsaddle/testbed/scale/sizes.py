"""Sizes of meshes, and configurations of a size with names, addresses and items of realistic length."""

from typing import NamedTuple

from immutables import Map

from hoistsaddle.config.item_checks import ValidatedPatch, check_patch
from hoistsaddle.config.items import ENTRY, SERVICE, ItemUpsert, Patch, key_of, pack_item
from hoistsaddle.proxy.client_identity import digest_of_parts
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.statemachine.state import (
    CLAIMED,
    NODE_MONITOR_ROLE,
    READY,
    ItemRecord,
    KeyHold,
    NodeRecord,
    ServerRecord,
    SingletonRoleRecord,
    State,
    initial_state,
)

HOST = "scale.internal"


class Size(NamedTuple):
    """The size of a mesh."""

    nodes: int
    services: int
    routes: int
    holds: int = 0
    zones: int = 7


# The target size of the users. They give no number of routes; two per service are assumed.
GOAL = Size(760, 150, 300)


def sized(nodes: int) -> Size:
    """The size with this number of nodes, and services and routes in proportion to the target size."""
    services = max(1, round(GOAL.services * nodes / GOAL.nodes))
    return Size(nodes, services, max(1, round(GOAL.routes * nodes / GOAL.nodes)))


def service_name(number: int) -> str:
    """A service's name."""
    return f"service-{number:03d}"


def proxy_name(number: int) -> str:
    """A proxy's name."""
    return f"stall-{number:04d}"


def zone_name(number: int, size: Size) -> str:
    """The zone of a proxy or core machine."""
    return f"zone-{number % size.zones + 1}"


def prefix_of(route: int) -> str:
    """The path prefix of a route."""
    return f"/route-{route:04d}/"


def route_item(route: int, size: Size, *, revision: int) -> ItemUpsert:
    """One route as an operator patches it."""
    item = {
        "name": f"route-{route:04d}",
        "host": HOST,
        "prefix": prefix_of(route),
        # One in four is keyed, the others are repeatable.
        "kind": "once per key" if route % 4 == 1 else "repeatable",
        "parts": [{"service": service_name(route % size.services), "weight": 1.0}],
        "hold_seconds": 10.0,
        "aim_seconds": 0.5,
        "rank": route % 3,
        "most_sends": 3,
    }
    # The operator's own text of an item, of about the same length.
    return ItemUpsert(ENTRY, revision, item, str(item).encode())


def items_of(size: Size) -> list[ItemUpsert]:
    """All services and routes."""
    services = [
        ItemUpsert(SERVICE, 1, {"name": service_name(number)}, b'{"name": "%s"}' % service_name(number).encode())
        for number in range(size.services)
    ]
    return services + [route_item(number, size, revision=1) for number in range(size.routes)]


def validated_items(size: Size) -> ValidatedPatch:
    """All services and routes as a validated patch."""
    return check_patch(Patch(items_of(size))).unwrap()


def node_record(number: int, size: Size, *, address: str = "", incarnation: str = "", offset: int = 1) -> NodeRecord:
    """The record of a proxy's node."""
    address = address or f"127.10.{number // 200}.{number % 200 + 1}:7100"
    return NodeRecord(
        proxy_name(number),
        "stall",
        address,
        zone_name(number, size),
        incarnation or f"{number:012x}",
        "alive",
        offset,
        10**12 + number,
    )


def server_record(number: int, size: Size, *, offset: int = 1) -> ServerRecord:
    """The record of the server beside a proxy."""
    node = node_record(number, size)
    service = service_name(number % size.services)
    return ServerRecord(
        node.node,
        service,
        f"{service}-{number}-1",
        node.address.replace(":7100", ":9000"),
        node.zone,
        READY,
        1,
        node.incarnation,
        "",
        offset,
        10**12 + number,
    )


def key_hold(number: int, *, expires: int = 10**15) -> tuple[str, KeyHold]:
    """The scope of a key and its hold; `expires` is in microseconds of the mesh's clock."""
    scope = digest_of_parts("operation", f"key-{number}")
    proxy = proxy_name(number % GOAL.nodes)
    claim = f"{proxy}.{number % GOAL.nodes:012x}.{number}"
    return scope, KeyHold(
        claim, proxy, "", CLAIMED, expires, 0, {}, b"", False, scope, "operation", scope, "route-0003"
    )


def make_state(size: Size) -> State:
    """A state of this size: nodes, servers, items and held keys."""
    state = initial_state(
        mesh="0123456789abcdef", voters={1: "a" * 12, 2: "b" * 12, 3: "c" * 12}, operators={}, level=3
    )
    items = {
        key_of(upsert.kind, item.name): ItemRecord(1, 1, False, pack_item(item), upsert.source)
        for upsert, item in validated_items(size).sets
    }
    holds = dict(key_hold(number) for number in range(size.holds))
    return state._replace(
        data_plane_revision=1,
        offset=1,
        level=LEVEL,
        nodes=Map({proxy_name(number): node_record(number, size) for number in range(size.nodes)}),
        servers=Map({proxy_name(number): server_record(number, size) for number in range(size.nodes)}),
        singleton_roles=Map({NODE_MONITOR_ROLE: SingletonRoleRecord(NODE_MONITOR_ROLE, "bourse-1", 1, 1)}),
        items=Map(items),
        holds=Map(holds),
        buckets=Map({scope: (scope,) for scope in holds}),
    )
