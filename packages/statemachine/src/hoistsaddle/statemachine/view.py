"""The configuration as a node of the data plane sees it, read out of its copy of the data plane's items."""

from typing import NamedTuple

import msgspec
from returns.result import Failure, Success

from hoistsaddle.config.bundle import Bundle, Service
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.config.items import Item, ItemConfiguration, unpack_item
from hoistsaddle.statemachine import data_plane
from hoistsaddle.statemachine.state import GONE, IN_FORCE, READY, NodeRecord, ServerRecord, SingletonRoleRecord

# The kind of a node that is a proxy; encoded.
PROXY_KIND = "stall"


class View(NamedTuple):
    """One revision of the configuration, for one node."""

    revision: int = -1
    # The bundle that this node acts under: the newest whose stages have reached it.
    bundle: Bundle | None = None
    # The number of the bundle that is rolling out; 0 for none.
    rolling: int = 0
    # A bundle that this node couldn't read, and why.
    refused_bundle: int = 0
    refusal: str = ""
    servers: dict[str, ServerRecord] = {}
    nodes: dict[str, NodeRecord] = {}
    singleton_roles: dict[str, SingletonRoleRecord] = {}
    level: int = 1
    # The bundle in force and the one rolling out: other nodes may act under the one that this node doesn't.
    active_bundles: tuple[Bundle, ...] = ()
    # The bundle that each proxy acts under, as far as its stage tells.
    bundle_by_proxy: dict[str, Bundle] = {}
    # The items in force and the revision of each.
    items: ItemConfiguration | None = None
    item_revisions: dict[str, int] = {}

    @property
    def bundle_number(self) -> int:
        """The number of this node's bundle; 0 for none."""
        return self.bundle.number if self.bundle else 0

    def available_servers(self) -> list[ServerRecord]:
        """Servers that may get new work: ready, not marked for draining, their proxy known."""
        return [
            each
            for each in self.servers.values()
            if each.state == READY and not each.drained_by and each.proxy in self.nodes
        ]

    def service(self, name: str) -> Service | None:
        """The service as this node's bundle declares it, or else another active one."""
        declared = [each.service(name) for each in (self.bundle, *self.active_bundles) if each is not None]
        return next((service for service in declared if service is not None), None)

    def live_proxies(self) -> list[NodeRecord]:
        """The proxies that aren't gone."""
        return [each for each in self.nodes.values() if each.kind == PROXY_KIND and each.state != GONE]


class _ActiveBundle(NamedTuple):
    phase: str
    stage: int
    bundle: Bundle

    def reaches(self, *, proxy: str, zone: str) -> bool:
        """Whether it is in force, or one of its stages so far names the proxy."""
        return self.phase == IN_FORCE or self.bundle.in_stage(stage=self.stage, proxy=proxy, zone=zone)


class _Contents:
    """The items of a copy, decoded by kind."""

    def __init__(self, items: dict[str, tuple[int, bytes]]) -> None:
        self.servers: dict[str, ServerRecord] = {}
        self.nodes: dict[str, NodeRecord] = {}
        self.singleton_roles: dict[str, SingletonRoleRecord] = {}
        self.bundles: list[_ActiveBundle] = []
        self.refused_bundle = 0
        self.refusal = ""
        self.level = 1
        self.item_revisions: dict[str, int] = {}
        self.item_bodies: dict[str, bytes] = {}
        for key, (_, value) in items.items():
            kind, _, name = key.partition(":")
            self._add(kind, name, msgspec.msgpack.decode(value))

    def _add(self, kind: str, name: str, fields: list) -> None:
        match kind:
            case data_plane.SERVER:
                self.servers[name] = ServerRecord(*fields[: len(ServerRecord._fields)])
            case data_plane.NODE:
                self.nodes[name] = NodeRecord(*fields[: len(NodeRecord._fields)])
            case data_plane.SINGLETON_ROLE:
                self.singleton_roles[name] = SingletonRoleRecord(*fields[: len(SingletonRoleRecord._fields)])
            case data_plane.ITEM:
                self.item_revisions[name], self.item_bodies[name] = fields
            case data_plane.LEVEL:
                self.level = fields[0]
            case data_plane.BUNDLE:
                self._add_bundle(name, *fields)

    def _add_bundle(self, name: str, phase: str, stage: int, text: str) -> None:
        # Every node checks the whole bundle itself: one that it can't read has no effect here.
        match read_bundle(text):
            case Success(bundle):
                self.bundles.append(_ActiveBundle(phase, stage, bundle))
            case Failure(error):
                self.refused_bundle, self.refusal = int(name), str(error)

    def bundle_for(self, *, proxy: str, zone: str) -> Bundle | None:
        """The newest bundle that has reached a proxy."""
        reached = [each.bundle for each in self.bundles if each.reaches(proxy=proxy, zone=zone)]
        return max(reached, key=lambda bundle: bundle.number, default=None)

    def bundle_by_proxy(self) -> dict[str, Bundle]:
        """The bundle that each node acts under, where one has reached it."""
        found = ((each.node, self.bundle_for(proxy=each.node, zone=each.zone)) for each in self.nodes.values())
        return {node: bundle for node, bundle in found if bundle is not None}


def read_view(*, revision: int, items: dict[str, tuple[int, bytes]], node: str, zone: str, before: View) -> View:
    """The view that a node gets from a copy of the data plane's items.

    Args:
        revision: The copy's revision.
        items: Key to (offset of its last change, encoded value); see data_plane.py.
        node: The node's name.
        zone: The node's zone.
        before: Its view of the revision before. Its bundle stays in force while the next one can't be read.
    """
    contents = _Contents(items)
    bundle = contents.bundle_for(proxy=node, zone=zone)
    if contents.refused_bundle and bundle is None:
        bundle = before.bundle
    rolling = (each.bundle.number for each in contents.bundles if each.phase != IN_FORCE)
    unchanged = contents.item_revisions == before.item_revisions
    return View(
        revision=revision,
        bundle=bundle,
        rolling=max(rolling, default=0),
        refused_bundle=contents.refused_bundle,
        refusal=contents.refusal,
        servers=contents.servers,
        nodes=contents.nodes,
        singleton_roles=contents.singleton_roles,
        level=contents.level,
        active_bundles=tuple(each.bundle for each in contents.bundles),
        bundle_by_proxy=contents.bundle_by_proxy(),
        items=before.items if unchanged else _item_configuration(contents.item_bodies),
        item_revisions=contents.item_revisions,
    )


def _item_configuration(bodies: dict[str, bytes]) -> ItemConfiguration:
    items: dict[str, Item] = {key: unpack_item(key.partition(":")[0], body) for key, body in sorted(bodies.items())}
    return ItemConfiguration(items=items)
