"""Who is alive: probes to a few others in turn, second opinions through third parties, suspicion before removal."""

import random
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import ZERO
from hoistsaddle.rpc.messages import MemberState

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
DEAD_RETENTION = timedelta(minutes=10)
_weight = {ALIVE: 0, SUSPECT: 1, DEAD: 2}


class ProbeAnswered(NamedTuple):
    node: str
    member_states: tuple[MemberState, ...]


class ProbeTimedOut(NamedTuple):
    """No answer to a direct probe."""

    node: str


class IndirectProbesAnswered(NamedTuple):
    """The third parties' word, after a direct probe was missed."""

    node: str
    alive: bool


class GossipReceived(NamedTuple):
    member_states: tuple[MemberState, ...]


class Ticked(NamedTuple):
    pass


class Probe(NamedTuple):
    node: str
    address: str
    member_states: tuple[MemberState, ...]


class RequestIndirectProbes(NamedTuple):
    node: str
    address: str
    helpers: tuple[str, ...]


class Changed(NamedTuple):
    member_state: MemberState


class Membership:
    def __init__(
        self,
        *,
        me: MemberState,
        seed: random.Random,
        period: timedelta,
        suspicion: timedelta,
        helpers: int = 2,
        max_gossip: int = 24,
        retransmit_limit: int | None = None,
    ) -> None:
        # How often a rumour is passed on before it counts as known; None passes everything on for ever.
        self.retransmit_limit = retransmit_limit
        self.me = me
        self.random = seed
        self.period = period
        self.suspicion = suspicion
        self.helpers = helpers
        self.max_gossip = max_gossip
        self.members: dict[str, MemberState] = {me.node: me}
        self.suspected: dict[str, timedelta] = {}
        # Since when the removed have been removed: after a while their names go too.
        self.removed: dict[str, timedelta] = {}
        self.transmissions: dict[str, int] = {me.node: 0}
        self.turn: list[str] = []
        self.probed_at = ZERO

    def alive(self, *, kind: str) -> list[MemberState]:
        """Everyone not removed: a suspect still counts until its suspicion runs out."""
        return [member for member in self.members.values() if member.kind == kind and member.state != DEAD]

    def knows(self, node: str) -> bool:
        return node in self.members

    def member_states(self, *, complete: bool = False) -> tuple[MemberState, ...]:
        """Oneself and what was told least; whole, for one just met, also what everybody else knows by now."""
        transmissions = [
            (self.transmissions.get(node, 0), node)
            for node in self.members
            if node != self.me.node
            and (complete or self.retransmit_limit is None or self.transmissions.get(node, 0) < self.retransmit_limit)
        ]
        most = len(transmissions) if complete else self.max_gossip - 1
        # Stable by what was told alone: members keep the order in which they were met.
        order = [node for _, node in sorted(transmissions, key=lambda each: each[0])]
        picked = [self.me.node, *order[:most]]
        for node in picked:
            self.transmissions[node] = self.transmissions.get(node, 0) + 1
        return tuple(self.members[node] for node in picked)

    def handle(self, event: tuple, *, now: timedelta) -> list[tuple]:
        match event:
            case GossipReceived(member_states=member_states):
                return self._merge(member_states, now)
            case ProbeAnswered(member_states=member_states):
                return self._merge(member_states, now)
            case ProbeTimedOut(node=node):
                member = self.members.get(node)
                if member is None:
                    return []
                others = [
                    each
                    for each in self.members.values()
                    if each.state == ALIVE and each.node not in (node, self.me.node)
                ]
                helpers = tuple(each.address for each in self.random.sample(others, min(self.helpers, len(others))))
                return [RequestIndirectProbes(node, member.address, helpers)]
            case IndirectProbesAnswered(node=node, alive=alive):
                member = self.members.get(node)
                if alive or member is None or member.state != ALIVE:
                    return []
                return self._merge((member._replace(state=SUSPECT),), now)
            case Ticked():
                return self._tick(now)
        return []

    def _merge(self, member_states: tuple[MemberState, ...], now: timedelta) -> list[tuple]:
        changes: list[tuple] = []
        for member_state in member_states:
            if member_state.node == self.me.node:
                # Said to be suspect or dead, or known from an earlier life: outbid it with a higher count.
                if member_state.count >= self.me.count and (
                    member_state.state != ALIVE or member_state.incarnation != self.me.incarnation
                ):
                    self.me = self.me._replace(count=member_state.count + 1)
                    self.members[self.me.node] = self.me
                    self.transmissions[self.me.node] = 0
                continue
            known = self.members.get(member_state.node)
            if known is None and member_state.state == DEAD:
                # Nobody needs to learn a name in order to forget it.
                continue
            if known is not None and (member_state.count, _weight[member_state.state]) <= (
                known.count,
                _weight[known.state],
            ):
                continue
            self.members[member_state.node] = member_state
            self.transmissions[member_state.node] = 0
            if member_state.state == DEAD:
                self.removed.setdefault(member_state.node, now)
            else:
                self.removed.pop(member_state.node, None)
            if member_state.state == SUSPECT:
                self.suspected.setdefault(member_state.node, now)
            else:
                self.suspected.pop(member_state.node, None)
            if known is None or known.state != member_state.state or known.incarnation != member_state.incarnation:
                changes.append(Changed(member_state))
        return changes

    def _tick(self, now: timedelta) -> list[tuple]:
        commands: list[tuple] = []
        for node, since in list(self.suspected.items()):
            # A suspect that did not answer back in its span is removed.
            if now - since >= self.suspicion:
                commands += self._merge((self.members[node]._replace(state=DEAD),), now)
        for node, since in list(self.removed.items()):
            # Long enough for a cut to heal; whoever comes back later is met anew through the seeds.
            if now - since >= DEAD_RETENTION:
                for kept in (self.removed, self.members, self.transmissions, self.suspected):
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
            commands.append(Probe(member.node, member.address, self.member_states()))
        return commands
