"""The configuration as a node of the data plane sees it, decoded from its copy of the data plane's items."""

from typing import NamedTuple

import msgspec
from returns.result import Failure, Success

from hoistsaddle.config.bundle import Bundle, Service
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.config.items import Item, ItemConfiguration, unpack_item
from hoistsaddle.statemachine import data_plane
from hoistsaddle.statemachine.state import GONE, IN_FORCE, READY, NodeRecord, ServerRecord, SingletonRoleRecord

# The node kind of a proxy; encoded.
PROXY_KIND = "stall"


class View(NamedTuple):
    """One revision of the configuration, for one node."""

    revision: int = -1
    # The bundle that applies at this node: the newest bundle whose rollout has reached it.
    bundle: Bundle | None = None
    # The number of the bundle that is rolling out; 0 for none.
    rolling: int = 0
    # The number of a bundle that this node couldn't parse, 0 for none, and the error.
    refused_bundle: int = 0
    refusal: str = ""
    servers: dict[str, ServerRecord] = {}
    nodes: dict[str, NodeRecord] = {}
    singleton_roles: dict[str, SingletonRoleRecord] = {}
    level: int = 1
    # The bundle in force and the bundle rolling out: the one that doesn't apply here may apply at other nodes.
    active_bundles: tuple[Bundle, ...] = ()
    # The bundle that applies at each proxy, judged by its rollout stages.
    bundle_by_proxy: dict[str, Bundle] = {}
    # The items in force, and the revision of each by its key.
    items: ItemConfiguration | None = None
    item_revisions: dict[str, int] = {}

    @property
    def bundle_number(self) -> int:
        """The number of this node's bundle; 0 for none."""
        return self.bundle.number if self.bundle else 0

    def available_servers(self) -> list[ServerRecord]:
        """Returns the servers that may get new requests: ready, not marked for draining, and with a known proxy."""
        return [
            each
            for each in self.servers.values()
            if each.state == READY and not each.drained_by and each.proxy in self.nodes
        ]

    def service(self, name: str) -> Service | None:
        """Returns the service as this node's bundle declares it, or else as another active bundle does."""
        declared = [each.service(name) for each in (self.bundle, *self.active_bundles) if each is not None]
        return next((service for service in declared if service is not None), None)

    def live_proxies(self) -> list[NodeRecord]:
        """Returns the proxies whose state is not "gone"."""
        return [each for each in self.nodes.values() if each.kind == PROXY_KIND and each.state != GONE]


class _ActiveBundle(NamedTuple):
    phase: str
    stage: int
    bundle: Bundle

    def reaches(self, *, proxy: str, zone: str) -> bool:
        """Whether the bundle is in force, or a stage that its rollout has reached includes the proxy."""
        return self.phase == IN_FORCE or self.bundle.in_stage(stage=self.stage, proxy=proxy, zone=zone)


class _DecodedItems:
    """The items of a copy of the data plane, decoded by kind."""

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
        # Every node validates the whole bundle itself; a bundle that it can't parse has no effect at this node.
        match read_bundle(text):
            case Success(bundle):
                self.bundles.append(_ActiveBundle(phase, stage, bundle))
            case Failure(error):
                self.refused_bundle, self.refusal = int(name), str(error)

    def bundle_for(self, *, proxy: str, zone: str) -> Bundle | None:
        """Returns the newest bundle whose rollout has reached a proxy."""
        reached = [each.bundle for each in self.bundles if each.reaches(proxy=proxy, zone=zone)]
        return max(reached, key=lambda bundle: bundle.number, default=None)

    def bundle_by_proxy(self) -> dict[str, Bundle]:
        """Returns the bundle that applies at each node that a rollout has reached."""
        bundles = ((each.node, self.bundle_for(proxy=each.node, zone=each.zone)) for each in self.nodes.values())
        return {node: bundle for node, bundle in bundles if bundle is not None}


def read_view(*, revision: int, items: dict[str, tuple[int, bytes]], node: str, zone: str, before: View) -> View:
    """Builds a node's view from its copy of the data plane's items.

    Args:
        revision: The copy's revision.
        items: Key to (offset of its last change, encoded value); see data_plane.py.
        node: The node's name.
        zone: The node's zone.
        before: The node's view of the preceding revision. Its bundle stays in force while the next bundle can't be
            parsed.
    """
    decoded = _DecodedItems(items)
    bundle = decoded.bundle_for(proxy=node, zone=zone)
    if decoded.refused_bundle and bundle is None:
        bundle = before.bundle
    rolling = (each.bundle.number for each in decoded.bundles if each.phase != IN_FORCE)
    unchanged = decoded.item_revisions == before.item_revisions
    return View(
        revision=revision,
        bundle=bundle,
        rolling=max(rolling, default=0),
        refused_bundle=decoded.refused_bundle,
        refusal=decoded.refusal,
        servers=decoded.servers,
        nodes=decoded.nodes,
        singleton_roles=decoded.singleton_roles,
        level=decoded.level,
        active_bundles=tuple(each.bundle for each in decoded.bundles),
        bundle_by_proxy=decoded.bundle_by_proxy(),
        items=before.items if unchanged else _item_configuration(decoded.item_bodies),
        item_revisions=decoded.item_revisions,
    )


def _item_configuration(bodies: dict[str, bytes]) -> ItemConfiguration:
    items: dict[str, Item] = {key: unpack_item(key.partition(":")[0], body) for key, body in sorted(bodies.items())}
    return ItemConfiguration(items=items)
