"""Sole duties: the first live node in an agreed order does a duty, under an epoch the log hands out."""

from datetime import timedelta
from typing import Any

from hoistsaddle.statemachine.commands import NoteNode, NoteServer, Purge, TakeDuty
from hoistsaddle.statemachine.state import GONE, WARDEN
from hoistsaddle.statemachine.view import View

PURGE_EVERY = timedelta(seconds=30)
RAISE_EVERY = timedelta(seconds=1)


class Warden:
    """Watches that stalls are heard of, and logs as gone what was not. Only while it holds the duty."""

    def __init__(self, *, node: str, vitals_span: timedelta) -> None:
        self.node = node
        self.vitals_span = vitals_span
        self.heard: dict[str, timedelta] = {}
        self.holds_since: timedelta | None = None
        self.looked_at: timedelta | None = None
        # Each stall's life and the release level it says it supports.
        self.levels: dict[str, tuple[str, int]] = {}
        self.purged_at: timedelta | None = None
        self.raised_at: timedelta | None = None

    def hear(self, stall: str, *, now: timedelta) -> None:
        self.heard[stall] = now

    def _silent(self, stall: str, *, now: timedelta) -> bool:
        return now - max(self.heard.get(stall, self.holds_since), self.holds_since) > self.vitals_span

    def handle(self, *, view: View, live_bourses: list[str], fresh: bool, now: timedelta) -> list[Any]:
        """What to log now. Names are the agreed order: the first live bourse takes the duty."""
        stood_still = self.looked_at is not None and now - self.looked_at > self.vitals_span / 2
        self.looked_at = now
        if not fresh or stood_still:
            # Without a fresh lease this node can't know whose turn it is, and after a freeze it heard nobody.
            self.holds_since = None
            return []
        duty = view.duties.get(WARDEN)
        first = min([*live_bourses, self.node])
        if first != self.node:
            self.holds_since = None
            return []
        if duty is None or duty.node != self.node:
            self.holds_since = None
            return [TakeDuty(WARDEN, self.node, (duty.epoch if duty else 0) + 1)]
        if self.holds_since is None:
            # Stalls get a full span to be heard by their new warden before any is called gone.
            self.holds_since = now
        commands: list[Any] = []
        for server in view.servers.values():
            if server.state != GONE and self._silent(server.stall, now=now):
                commands.append(
                    NoteServer(
                        server.stall,
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
            if node.kind == "stall" and node.state != GONE and self._silent(node.node, now=now):
                commands.append(
                    NoteNode(node.node, node.kind, node.address, node.zone, node.incarnation, GONE, duty.epoch)
                )
        states = [server.state for server in view.servers.values()] + [node.state for node in view.nodes.values()]
        if view.level > 1 and GONE in states and (self.purged_at is None or now - self.purged_at >= PURGE_EVERY):
            # How long they must have been gone is the log's own rule; this only has it looked at.
            self.purged_at = now
            commands.append(Purge(duty.epoch))
        self._forget_strangers(view, now=now)
        return commands

    def _forget_strangers(self, view: View, *, now: timedelta) -> None:
        """What is remembered of stalls nobody knows any more goes, so that a year of them leaves nothing behind."""
        # One heard just now may not have reached the view yet.
        self.heard = {
            name: moment for name, moment in self.heard.items() if name in view.nodes or now - moment < PURGE_EVERY
        }
        self.levels = {name: known for name, known in self.levels.items() if name in self.heard}

    def may_raise(self, *, view: View, level: int, now: timedelta) -> bool:
        """Whether it is time to ask for a higher release level: this node has the duty and every stall supports it."""
        if self.holds_since is None or view.level >= level:
            return False
        if self.raised_at is not None and now - self.raised_at < RAISE_EVERY:
            return False
        self.raised_at = now
        stalls = [(stall.node, stall.incarnation) for stall in view.live_stalls()]
        known = [self.levels.get(name, ("", 0)) for name, _ in stalls]
        return all(told[0] == life and told[1] >= level for told, (_, life) in zip(known, stalls, strict=True))
