"""Who is alive: probes to a few others in turn, second opinions through third parties, suspicion before removal."""

import random
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import ZERO
from hoistsaddle.rpc.messages import Rumour

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
FORGET = timedelta(minutes=10)
_weight = {ALIVE: 0, SUSPECT: 1, DEAD: 2}


class ProbeAnswered(NamedTuple):
    node: str
    rumours: tuple[Rumour, ...]


class ProbeMissed(NamedTuple):
    """No answer to a direct probe."""

    node: str


class OpinionsIn(NamedTuple):
    """The third parties' word, after a direct probe was missed."""

    node: str
    alive: bool


class RumoursArrived(NamedTuple):
    rumours: tuple[Rumour, ...]


class Ticked(NamedTuple):
    pass


class Probe(NamedTuple):
    node: str
    address: str
    rumours: tuple[Rumour, ...]


class AskOpinions(NamedTuple):
    node: str
    address: str
    helpers: tuple[str, ...]


class Changed(NamedTuple):
    rumour: Rumour


class Membership:
    def __init__(
        self,
        *,
        me: Rumour,
        seed: random.Random,
        period: timedelta,
        suspicion: timedelta,
        helpers: int = 2,
        most_rumours: int = 24,
        spread: int | None = None,
    ) -> None:
        # How often a rumour is passed on before it counts as known; None passes everything on for ever.
        self.spread = spread
        self.me = me
        self.random = seed
        self.period = period
        self.suspicion = suspicion
        self.helpers = helpers
        self.most_rumours = most_rumours
        self.members: dict[str, Rumour] = {me.node: me}
        self.suspected: dict[str, timedelta] = {}
        # Since when the removed have been removed: after a while their names go too.
        self.removed: dict[str, timedelta] = {}
        self.told: dict[str, int] = {me.node: 0}
        self.turn: list[str] = []
        self.probed_at = ZERO

    def alive(self, *, kind: str) -> list[Rumour]:
        """Everyone not removed: a suspect still counts until its suspicion runs out."""
        return [member for member in self.members.values() if member.kind == kind and member.state != DEAD]

    def knows(self, node: str) -> bool:
        return node in self.members

    def rumours(self, *, whole: bool = False) -> tuple[Rumour, ...]:
        """Oneself and what was told least; whole, for one just met, also what everybody else knows by now."""
        told = [
            (self.told.get(node, 0), node)
            for node in self.members
            if node != self.me.node and (whole or self.spread is None or self.told.get(node, 0) < self.spread)
        ]
        most = len(told) if whole else self.most_rumours - 1
        # Stable by what was told alone: members keep the order in which they were met.
        order = [node for _, node in sorted(told, key=lambda each: each[0])]
        picked = [self.me.node, *order[:most]]
        for node in picked:
            self.told[node] = self.told.get(node, 0) + 1
        return tuple(self.members[node] for node in picked)

    def handle(self, event: tuple, *, now: timedelta) -> list[tuple]:
        match event:
            case RumoursArrived(rumours=rumours):
                return self._hear(rumours, now)
            case ProbeAnswered(rumours=rumours):
                return self._hear(rumours, now)
            case ProbeMissed(node=node):
                member = self.members.get(node)
                if member is None:
                    return []
                others = [
                    each
                    for each in self.members.values()
                    if each.state == ALIVE and each.node not in (node, self.me.node)
                ]
                helpers = tuple(each.address for each in self.random.sample(others, min(self.helpers, len(others))))
                return [AskOpinions(node, member.address, helpers)]
            case OpinionsIn(node=node, alive=alive):
                member = self.members.get(node)
                if alive or member is None or member.state != ALIVE:
                    return []
                return self._hear((member._replace(state=SUSPECT),), now)
            case Ticked():
                return self._tick(now)
        return []

    def _hear(self, rumours: tuple[Rumour, ...], now: timedelta) -> list[tuple]:
        changes: list[tuple] = []
        for rumour in rumours:
            if rumour.node == self.me.node:
                # Said to be suspect or dead, or known from an earlier life: outbid it with a higher count.
                if rumour.count >= self.me.count and (
                    rumour.state != ALIVE or rumour.incarnation != self.me.incarnation
                ):
                    self.me = self.me._replace(count=rumour.count + 1)
                    self.members[self.me.node] = self.me
                    self.told[self.me.node] = 0
                continue
            known = self.members.get(rumour.node)
            if known is None and rumour.state == DEAD:
                # Nobody needs to learn a name in order to forget it.
                continue
            if known is not None and (rumour.count, _weight[rumour.state]) <= (known.count, _weight[known.state]):
                continue
            self.members[rumour.node] = rumour
            self.told[rumour.node] = 0
            if rumour.state == DEAD:
                self.removed.setdefault(rumour.node, now)
            else:
                self.removed.pop(rumour.node, None)
            if rumour.state == SUSPECT:
                self.suspected.setdefault(rumour.node, now)
            else:
                self.suspected.pop(rumour.node, None)
            if known is None or known.state != rumour.state or known.incarnation != rumour.incarnation:
                changes.append(Changed(rumour))
        return changes

    def _tick(self, now: timedelta) -> list[tuple]:
        commands: list[tuple] = []
        for node, since in list(self.suspected.items()):
            # A suspect that did not answer back in its span is removed.
            if now - since >= self.suspicion:
                commands += self._hear((self.members[node]._replace(state=DEAD),), now)
        for node, since in list(self.removed.items()):
            # Long enough for a cut to heal; whoever comes back later is met anew through the seeds.
            if now - since >= FORGET:
                for kept in (self.removed, self.members, self.told, self.suspected):
                    kept.pop(node, None)
        if now - self.probed_at < self.period:
            return commands
        self.probed_at = now
        while self.turn and self.turn[-1] not in self.members:
            self.turn.pop()
        if not self.turn:
            # A fresh shuffle each turn: everyone is probed once a turn, in no order an observer could rely on.
            self.turn = sorted(node for node in self.members if node != self.me.node)
            self.random.shuffle(self.turn)
        if self.turn:
            member = self.members[self.turn.pop()]
            # The dead are probed too: a cut that heals brings them back.
            commands.append(Probe(member.node, member.address, self.rumours()))
        return commands
