"""The configuration as a node of the data plane reads it out of its copy of the news."""

from typing import NamedTuple

import msgspec
from returns.result import Failure, Success

from hoistsaddle.config.bundle import Bundle, Service, read_bundle
from hoistsaddle.config.items import Item, ItemConfiguration, unpack_item
from hoistsaddle.statemachine.state import GONE, IN_FORCE, READY, NodeRecord, ServerRecord, SingletonRoleRecord


class View(NamedTuple):
    revision: int = -1
    bundle: Bundle | None = None
    rolling: int = 0
    refused_bundle: int = 0
    refusal: str = ""
    servers: dict[str, ServerRecord] = {}
    nodes: dict[str, NodeRecord] = {}
    duties: dict[str, SingletonRoleRecord] = {}
    level: int = 1
    # Both bundles in play: while stages differ, others may act under the one this node doesn't.
    active_bundles: tuple[Bundle, ...] = ()
    # Under which of them each proxy acts, as far as its stage tells.
    acting: dict[str, Bundle] = {}
    # The items in force, and the revision of each; None while there are none.
    items: ItemConfiguration | None = None
    item_revisions: dict[str, int] = {}

    @property
    def bundle_number(self) -> int:
        return self.bundle.number if self.bundle else 0

    def available_servers(self) -> list[ServerRecord]:
        """Servers that may get new work: ready, not marked for draining, their proxy known."""
        return [
            each
            for each in self.servers.values()
            if each.state == READY and not each.drained_by and each.proxy in self.nodes
        ]

    def service(self, name: str) -> Service | None:
        """As this node's bundle declares it, or else another one in play."""
        declared = [each.service(name) for each in (self.bundle, *self.active_bundles) if each is not None]
        return next((service for service in declared if service is not None), None)

    def live_proxies(self) -> list[NodeRecord]:
        return [each for each in self.nodes.values() if each.kind == "stall" and each.state != GONE]


def read_view(*, revision: int, items: dict[str, tuple[int, bytes]], node: str, zone: str, before: View) -> View:
    servers: dict[str, ServerRecord] = {}
    nodes: dict[str, NodeRecord] = {}
    duties: dict[str, SingletonRoleRecord] = {}
    bundles: list[tuple[str, int, Bundle]] = []
    refused, refusal, level = 0, "", 1
    marks: dict[str, int] = {}
    bodies: dict[str, bytes] = {}
    for key, (_, value) in items.items():
        kind, _, name = key.partition(":")
        fields = msgspec.msgpack.decode(value)
        match kind:
            case "server":
                servers[name] = ServerRecord(*fields[: len(ServerRecord._fields)])
            case "node":
                nodes[name] = NodeRecord(*fields[: len(NodeRecord._fields)])
            case "duty":
                duties[name] = SingletonRoleRecord(*fields[: len(SingletonRoleRecord._fields)])
            case "item":
                marks[name], bodies[name] = fields
            case "level":
                level = fields[0]
            case "bundle":
                phase, stage, text = fields
                # Every proxy checks the whole bundle itself: one it can't read in full takes no effect here.
                match read_bundle(text):
                    case Success(bundle):
                        bundles.append((phase, stage, bundle))
                    case Failure(error):
                        refused, refusal = int(name), str(error)
    bundle = _acting(bundles, proxy=node, zone=zone)
    rolling = max((each.number for phase, _, each in bundles if phase != IN_FORCE), default=0)
    # What was in force stays in force while its successor is refused here.
    if refused and bundle is None:
        bundle = before.bundle
    active_bundles = tuple(each for _, _, each in bundles)
    acting = {
        each.node: found
        for each in nodes.values()
        if (found := _acting(bundles, proxy=each.node, zone=each.zone)) is not None
    }
    item_configuration = before.items if marks == before.item_revisions else _item_configuration(bodies)
    return View(
        revision,
        bundle,
        rolling,
        refused,
        refusal,
        servers,
        nodes,
        duties,
        level,
        active_bundles,
        acting,
        item_configuration,
        marks,
    )


def _item_configuration(bodies: dict[str, bytes]) -> ItemConfiguration:
    items: dict[str, Item] = {key: unpack_item(key.partition(":")[0], body) for key, body in sorted(bodies.items())}
    return ItemConfiguration(items=items)


def _acting(bundles: list[tuple[str, int, Bundle]], *, proxy: str, zone: str) -> Bundle | None:
    """The newest bundle that is in force, or whose stages so far name the proxy."""
    reached = [
        each
        for phase, stage, each in bundles
        if phase == IN_FORCE or each.in_stage(stage=stage, proxy=proxy, zone=zone)
    ]
    return max(reached, key=lambda each: each.number, default=None)
