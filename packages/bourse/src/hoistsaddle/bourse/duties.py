"""Sole duties: the first live node in an agreed order does a duty, under an epoch the log hands out."""
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.shelf.commands import NoteNode, NoteServer, TakeDuty
from hoistsaddle.shelf.state import GONE, WARDEN
from hoistsaddle.shelf.view import View


class Heartbeat(NamedTuple):
    moment: timedelta
    incarnation: str


class Warden:
    """Watches that stalls are heard of, and logs as gone what was not. Only while it holds the duty."""

    def __init__(self, *, node: str, vitals_span: timedelta) -> None:
        self.node = node
        self.vitals_span = vitals_span
        self.heard: dict[str, Heartbeat] = {}
        self.holds_since: timedelta | None = None
        self.looked_at: timedelta | None = None

    def hear(self, stall: str, *, incarnation: str, now: timedelta) -> None:
        self.heard[stall] = Heartbeat(now, incarnation)

    def handle(self, *, view: View, live_bourses: list[str], fresh: bool, now: timedelta) -> list[tuple]:
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
        commands: list[tuple] = []
        for server in view.servers.values():
            heard = self.heard.get(server.stall)
            since = max(heard.moment if heard else self.holds_since, self.holds_since)
            if server.state != GONE and now - since > self.vitals_span:
                commands.append(NoteServer(server.stall, server.service, server.instance, server.address, server.zone, GONE, server.serial, server.incarnation, duty.epoch))
        for node in view.nodes.values():
            if node.kind != "stall" or node.state == GONE:
                continue
            heard = self.heard.get(node.node)
            since = max(heard.moment if heard else self.holds_since, self.holds_since)
            if now - since > self.vitals_span:
                commands.append(NoteNode(node.node, node.kind, node.address, node.zone, node.incarnation, GONE, duty.epoch))
        return commands
