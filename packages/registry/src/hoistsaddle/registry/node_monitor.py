"""Sole duties: the first live node in an agreed order does a duty, under an epoch the log hands out."""

from datetime import timedelta
from typing import Any

from hoistsaddle.statemachine.commands import AcquireSingletonRole, Purge, RegisterNode, RegisterServer
from hoistsaddle.statemachine.state import GONE, NODE_MONITOR_ROLE
from hoistsaddle.statemachine.view import View

PURGE_INTERVAL = timedelta(seconds=30)
RAISE_LEVEL_INTERVAL = timedelta(seconds=1)


class NodeMonitor:
    """Watches that proxies are heard of, and logs as gone what was not. Only while it holds the duty."""

    def __init__(self, *, node: str, health_span: timedelta) -> None:
        self.node = node
        self.health_span = health_span
        self.last_heard: dict[str, timedelta] = {}
        self.active_since: timedelta | None = None
        self.last_checked_at: timedelta | None = None
        # Each proxy's life and the release level it says it supports.
        self.levels: dict[str, tuple[str, int]] = {}
        self.last_purge_at: timedelta | None = None
        self.last_raise_at: timedelta | None = None

    def record_heartbeat(self, proxy: str, *, now: timedelta) -> None:
        self.last_heard[proxy] = now

    def _is_silent(self, proxy: str, *, now: timedelta) -> bool:
        return now - max(self.last_heard.get(proxy, self.active_since), self.active_since) > self.health_span

    def handle(self, *, view: View, live_registries: list[str], fresh: bool, now: timedelta) -> list[Any]:
        """What to log now. Names are the agreed order: the first live registry takes the duty."""
        was_paused = self.last_checked_at is not None and now - self.last_checked_at > self.health_span / 2
        self.last_checked_at = now
        if not fresh or was_paused:
            # Without a fresh lease this node can't know whose turn it is, and after a freeze it heard nobody.
            self.active_since = None
            return []
        duty = view.singleton_roles.get(NODE_MONITOR_ROLE)
        first = min([*live_registries, self.node])
        if first != self.node:
            self.active_since = None
            return []
        if duty is None or duty.node != self.node:
            self.active_since = None
            return [AcquireSingletonRole(NODE_MONITOR_ROLE, self.node, (duty.epoch if duty else 0) + 1)]
        if self.active_since is None:
            # Proxies get a full span to be heard by their new warden before any is called gone.
            self.active_since = now
        commands: list[Any] = []
        for server in view.servers.values():
            if server.state != GONE and self._is_silent(server.proxy, now=now):
                commands.append(
                    RegisterServer(
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
                )
        for node in view.nodes.values():
            if node.kind == "stall" and node.state != GONE and self._is_silent(node.node, now=now):
                commands.append(
                    RegisterNode(node.node, node.kind, node.address, node.zone, node.incarnation, GONE, duty.epoch)
                )
        states = [server.state for server in view.servers.values()] + [node.state for node in view.nodes.values()]
        if (
            view.level > 1
            and GONE in states
            and (self.last_purge_at is None or now - self.last_purge_at >= PURGE_INTERVAL)
        ):
            # How long they must have been gone is the log's own rule; this only has it looked at.
            self.last_purge_at = now
            commands.append(Purge(duty.epoch))
        self._forget_unknown_nodes(view, now=now)
        return commands

    def _forget_unknown_nodes(self, view: View, *, now: timedelta) -> None:
        """What is remembered of proxies nobody knows any more goes, so that a year of them leaves nothing behind."""
        # One heard just now may not have reached the view yet.
        self.last_heard = {
            name: timestamp
            for name, timestamp in self.last_heard.items()
            if name in view.nodes or now - timestamp < PURGE_INTERVAL
        }
        self.levels = {name: known for name, known in self.levels.items() if name in self.last_heard}

    def should_raise_level(self, *, view: View, level: int, now: timedelta) -> bool:
        """Whether it is time to ask for a higher release level: this node has the duty and every proxy supports it."""
        if self.active_since is None or view.level >= level:
            return False
        if self.last_raise_at is not None and now - self.last_raise_at < RAISE_LEVEL_INTERVAL:
            return False
        self.last_raise_at = now
        proxies = [(proxy.node, proxy.incarnation) for proxy in view.live_proxies()]
        known = [self.levels.get(name, ("", 0)) for name, _ in proxies]
        return all(
            reported[0] == life and reported[1] >= level for reported, (_, life) in zip(known, proxies, strict=True)
        )
