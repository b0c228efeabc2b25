"""Monitoring of the nodes: a singleton role, held by the first live registry by name under an epoch from the log."""

from datetime import timedelta

from hoistsaddle.statemachine.commands import AcquireSingletonRole, Purge, RegisterNode, RegisterServer
from hoistsaddle.statemachine.state import GONE, NODE_MONITOR_ROLE, NodeRecord, ServerRecord, SingletonRoleRecord
from hoistsaddle.statemachine.view import View

PURGE_INTERVAL = timedelta(seconds=30)
RAISE_LEVEL_INTERVAL = timedelta(seconds=1)
PROXY_KIND = "stall"
# The first release level whose state machine purges nodes and servers that have been gone for long.
PURGE_LEVEL = 2

MonitorCommand = AcquireSingletonRole | RegisterServer | RegisterNode | Purge


class NodeMonitor:
    """Records proxies' heartbeats and, while this registry has the role, logs proxies without heartbeats as gone."""

    def __init__(self, *, node: str, health_span: timedelta) -> None:
        """Starts without the role.

        Args:
            node: This registry's name.
            health_span: How long after its last heartbeat a proxy counts as gone.
        """
        self.node = node
        self.health_span = health_span
        self.last_heard: dict[str, timedelta] = {}
        self.active_since: timedelta | None = None
        self.last_checked_at: timedelta | None = None
        # Each proxy's incarnation and the release level that it reports as supported.
        self.levels: dict[str, tuple[str, int]] = {}
        self.last_purge_at: timedelta | None = None
        self.last_raise_at: timedelta | None = None

    def record_heartbeat(self, proxy: str, *, now: timedelta) -> None:
        """Records that a heartbeat of this proxy has arrived."""
        self.last_heard[proxy] = now

    def handle(self, *, view: View, live_registries: list[str], fresh: bool, now: timedelta) -> list[MonitorCommand]:
        """The commands to log now: acquiring the role, or, with the role, recording and purging what is gone.

        Args:
            view: The configuration as this registry knows it.
            live_registries: The names of the registries that answer probes; the first by name takes the role.
            fresh: Whether the lease on the configuration is fresh.
            now: The time on this node's clock.
        """
        was_paused = self.last_checked_at is not None and now - self.last_checked_at > self.health_span / 2
        self.last_checked_at = now
        role = view.singleton_roles.get(NODE_MONITOR_ROLE)
        is_first = min([*live_registries, self.node]) == self.node
        # Without a fresh lease this node can't know who has the role; after a freeze it has missed heartbeats.
        if not fresh or was_paused or not is_first:
            self.active_since = None
            return []
        if role is None or role.node != self.node:
            self.active_since = None
            return [AcquireSingletonRole(NODE_MONITOR_ROLE, self.node, (role.epoch if role else 0) + 1)]
        if self.active_since is None:
            # Proxies get a full health span to reach their new monitor before any is logged as gone.
            self.active_since = now
        commands = self._commands_for_gone(view, role, since=self.active_since, now=now)
        commands += self._purge_commands(view, role, now=now)
        self._forget_unknown_nodes(view, now=now)
        return commands

    def _is_unresponsive(self, proxy: str, *, since: timedelta, now: timedelta) -> bool:
        return now - max(self.last_heard.get(proxy, since), since) > self.health_span

    def _commands_for_gone(
        self, view: View, role: SingletonRoleRecord, *, since: timedelta, now: timedelta
    ) -> list[MonitorCommand]:
        """Commands that log the servers of unresponsive proxies as gone, then the proxies themselves."""
        commands: list[MonitorCommand] = []
        for server in view.servers.values():
            if server.state != GONE and self._is_unresponsive(server.proxy, since=since, now=now):
                commands.append(_server_gone_command(server, role))
        for node in view.nodes.values():
            is_live_proxy = node.kind == PROXY_KIND and node.state != GONE
            if is_live_proxy and self._is_unresponsive(node.node, since=since, now=now):
                commands.append(_node_gone_command(node, role))
        return commands

    def _purge_commands(self, view: View, role: SingletonRoleRecord, *, now: timedelta) -> list[MonitorCommand]:
        """Commands that purge nodes and servers gone for long; the state machine decides how long that is."""
        if view.level < PURGE_LEVEL:
            return []
        if self.last_purge_at is not None and now - self.last_purge_at < PURGE_INTERVAL:
            return []
        records: list[ServerRecord | NodeRecord] = [*view.servers.values(), *view.nodes.values()]
        if all(record.state != GONE for record in records):
            return []
        self.last_purge_at = now
        return [Purge(role.epoch)]

    def _forget_unknown_nodes(self, view: View, *, now: timedelta) -> None:
        """Drops the data of proxies that the view no longer contains, so that memory does not grow over time."""
        # A proxy with a recent heartbeat may not be in the view yet.
        self.last_heard = {
            name: heard_at
            for name, heard_at in self.last_heard.items()
            if name in view.nodes or now - heard_at < PURGE_INTERVAL
        }
        self.levels = {name: known for name, known in self.levels.items() if name in self.last_heard}

    def should_raise_level(self, *, view: View, level: int, now: timedelta) -> bool:
        """Whether to request a higher release level now: this node has the role and all live proxies support it."""
        if self.active_since is None or view.level >= level:
            return False
        if self.last_raise_at is not None and now - self.last_raise_at < RAISE_LEVEL_INTERVAL:
            return False
        self.last_raise_at = now
        return all(self._supports(proxy, level) for proxy in view.live_proxies())

    def _supports(self, proxy: NodeRecord, level: int) -> bool:
        """Whether the live incarnation of this proxy has reported that it supports the level."""
        incarnation, supported = self.levels.get(proxy.node, ("", 0))
        return incarnation == proxy.incarnation and supported >= level


def _server_gone_command(server: ServerRecord, role: SingletonRoleRecord) -> RegisterServer:
    return RegisterServer(
        server.proxy,
        server.service,
        server.instance,
        server.address,
        server.zone,
        GONE,
        server.serial,
        server.incarnation,
        role.epoch,
    )


def _node_gone_command(node: NodeRecord, role: SingletonRoleRecord) -> RegisterNode:
    return RegisterNode(node.node, node.kind, node.address, node.zone, node.incarnation, GONE, role.epoch)
