"""Monitoring of the nodes, a singleton role: the first live registry by name has it, under an epoch from the log."""

from datetime import timedelta

from hoistsaddle.statemachine.commands import AcquireSingletonRole, Purge, RegisterNode, RegisterServer
from hoistsaddle.statemachine.state import GONE, NODE_MONITOR_ROLE, NodeRecord, ServerRecord, SingletonRoleRecord
from hoistsaddle.statemachine.view import View

PURGE_INTERVAL = timedelta(seconds=30)
RAISE_LEVEL_INTERVAL = timedelta(seconds=1)
PROXY_KIND = "stall"
# The first release level whose state machine purges what was gone for long.
PURGE_LEVEL = 2

MonitorCommand = AcquireSingletonRole | RegisterServer | RegisterNode | Purge


class NodeMonitor:
    """Notes proxies' heartbeats and logs as gone those without one, while this registry has the role."""

    def __init__(self, *, node: str, health_span: timedelta) -> None:
        """Has no role yet.

        Args:
            node: This registry's name.
            health_span: How long a proxy may be silent before it counts as gone.
        """
        self.node = node
        self.health_span = health_span
        self.last_heard: dict[str, timedelta] = {}
        self.active_since: timedelta | None = None
        self.last_checked_at: timedelta | None = None
        # Each proxy's incarnation and the release level it says it supports.
        self.levels: dict[str, tuple[str, int]] = {}
        self.last_purge_at: timedelta | None = None
        self.last_raise_at: timedelta | None = None

    def record_heartbeat(self, proxy: str, *, now: timedelta) -> None:
        """Notes that a proxy was heard of."""
        self.last_heard[proxy] = now

    def handle(self, *, view: View, live_registries: list[str], fresh: bool, now: timedelta) -> list[MonitorCommand]:
        """What to log now: the role itself, then whatever is gone.

        Args:
            view: The configuration as this registry knows it.
            live_registries: The names of the registries that answer probes; the first by name takes the role.
            fresh: Whether the lease on the configuration is fresh.
            now: The time on this node's clock.
        """
        was_paused = self.last_checked_at is not None and now - self.last_checked_at > self.health_span / 2
        self.last_checked_at = now
        duty = view.singleton_roles.get(NODE_MONITOR_ROLE)
        is_first = min([*live_registries, self.node]) == self.node
        # Without a fresh lease this node can't know whose turn it is, and after a freeze it heard nobody.
        if not fresh or was_paused or not is_first:
            self.active_since = None
            return []
        if duty is None or duty.node != self.node:
            self.active_since = None
            return [AcquireSingletonRole(NODE_MONITOR_ROLE, self.node, (duty.epoch if duty else 0) + 1)]
        if self.active_since is None:
            # Proxies get a full span to be heard by their new monitor before any is called gone.
            self.active_since = now
        commands = self._note_gone(view, duty, since=self.active_since, now=now)
        commands += self._purge(view, duty, now=now)
        self._forget_unknown_nodes(view, now=now)
        return commands

    def _is_silent(self, proxy: str, *, since: timedelta, now: timedelta) -> bool:
        return now - max(self.last_heard.get(proxy, since), since) > self.health_span

    def _note_gone(
        self, view: View, duty: SingletonRoleRecord, *, since: timedelta, now: timedelta
    ) -> list[MonitorCommand]:
        """Servers beside silent proxies are gone, then the proxies themselves."""
        commands: list[MonitorCommand] = []
        for server in view.servers.values():
            if server.state != GONE and self._is_silent(server.proxy, since=since, now=now):
                commands.append(_server_gone(server, duty))
        for node in view.nodes.values():
            is_live_proxy = node.kind == PROXY_KIND and node.state != GONE
            if is_live_proxy and self._is_silent(node.node, since=since, now=now):
                commands.append(_node_gone(node, duty))
        return commands

    def _purge(self, view: View, duty: SingletonRoleRecord, *, now: timedelta) -> list[MonitorCommand]:
        """Has the log forget what was gone for long; how long that must be is the log's own rule."""
        if view.level < PURGE_LEVEL:
            return []
        if self.last_purge_at is not None and now - self.last_purge_at < PURGE_INTERVAL:
            return []
        records: list[ServerRecord | NodeRecord] = [*view.servers.values(), *view.nodes.values()]
        if all(record.state != GONE for record in records):
            return []
        self.last_purge_at = now
        return [Purge(duty.epoch)]

    def _forget_unknown_nodes(self, view: View, *, now: timedelta) -> None:
        """What is remembered of proxies nobody knows any more goes, so that a year of them leaves nothing behind."""
        # One heard just now may not have reached the view yet.
        self.last_heard = {
            name: heard_at
            for name, heard_at in self.last_heard.items()
            if name in view.nodes or now - heard_at < PURGE_INTERVAL
        }
        self.levels = {name: known for name, known in self.levels.items() if name in self.last_heard}

    def should_raise_level(self, *, view: View, level: int, now: timedelta) -> bool:
        """Whether to ask for a higher release level now: this node has the role and every live proxy supports it."""
        if self.active_since is None or view.level >= level:
            return False
        if self.last_raise_at is not None and now - self.last_raise_at < RAISE_LEVEL_INTERVAL:
            return False
        self.last_raise_at = now
        return all(self._supports(proxy, level) for proxy in view.live_proxies())

    def _supports(self, proxy: NodeRecord, level: int) -> bool:
        """Whether the process that is alive under this name has reported that it supports the level."""
        incarnation, supported = self.levels.get(proxy.node, ("", 0))
        return incarnation == proxy.incarnation and supported >= level


def _server_gone(server: ServerRecord, duty: SingletonRoleRecord) -> RegisterServer:
    return RegisterServer(
        server.proxy,
        server.service,
        server.instance,
        server.address,
        server.zone,
        GONE,
        server.serial,
        server.incarnation,
        duty.epoch,
    )


def _node_gone(node: NodeRecord, duty: SingletonRoleRecord) -> RegisterNode:
    return RegisterNode(node.node, node.kind, node.address, node.zone, node.incarnation, GONE, duty.epoch)
