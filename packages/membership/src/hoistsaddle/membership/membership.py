"""Which members are alive, after SWIM (Das, Gupta, Motivala, 2002): a core without I/O that takes events.

Members probe a few others in turn. Who doesn't answer is probed by third parties too, is then a suspect, and is dead
when the suspicion has lasted. What members learn of each other travels along with probes and their answers.
"""

import random
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import ZERO
from hoistsaddle.rpc.messages import MemberState

# A member's states; on the wire.
ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
# Of two states with one count, the one with the higher rank prevails.
_rank = {ALIVE: 0, SUSPECT: 1, DEAD: 2}
# How long the dead are remembered, and probed: long enough for a network partition to heal.
DEAD_RETENTION = timedelta(minutes=10)


class ProbeAnswered(NamedTuple):
    """A member answered a probe."""

    node: str
    member_states: tuple[MemberState, ...]


class ProbeTimedOut(NamedTuple):
    """A member did not answer a probe in time."""

    node: str


class IndirectProbesAnswered(NamedTuple):
    """Third parties have probed a member: whether it answered any of them."""

    node: str
    alive: bool


class GossipReceived(NamedTuple):
    """Another member told what it knows of some members."""

    member_states: tuple[MemberState, ...]


class Ticked(NamedTuple):
    """Time has passed."""


class Probe(NamedTuple):
    """Command: probe a member, and pass these states on to it."""

    node: str
    address: str
    member_states: tuple[MemberState, ...]


class RequestIndirectProbes(NamedTuple):
    """Command: have third parties, by their addresses, probe a member."""

    node: str
    address: str
    helpers: tuple[str, ...]


class Changed(NamedTuple):
    """Command: tell that a member is new, has another state or another incarnation."""

    member_state: MemberState


Event = ProbeAnswered | ProbeTimedOut | IndirectProbesAnswered | GossipReceived | Ticked
Command = Probe | RequestIndirectProbes | Changed


class Membership:
    """What one member knows of all.

    Attributes:
        me: This member's own state.
        members: The latest state of each member, this one included.
    """

    def __init__(
        self,
        *,
        me: MemberState,
        rng: random.Random,
        probe_interval: timedelta,
        suspicion_timeout: timedelta,
        helpers: int = 2,
        max_gossip: int = 24,
        retransmit_limit: int | None = None,
    ) -> None:
        """Knows of nobody else yet.

        Args:
            me: This member's own state.
            rng: Draws the order of probes and the third parties.
            probe_interval: The time between two probes.
            suspicion_timeout: How long a suspect has to prove that it is alive.
            helpers: Third parties that are asked to probe a member that didn't answer.
            max_gossip: The most states that are passed on at once, this member's own included.
            retransmit_limit: How often a state is passed on before everybody is taken to know it; None for ever.
        """
        self.me = me
        self.members: dict[str, MemberState] = {me.node: me}
        self._rng = rng
        self._probe_interval = probe_interval
        self._suspicion_timeout = suspicion_timeout
        self._helpers = helpers
        self._max_gossip = max_gossip
        self.retransmit_limit = retransmit_limit
        # Since when a member is a suspect, and dead.
        self._suspected_since: dict[str, timedelta] = {}
        self._dead_since: dict[str, timedelta] = {}
        # How often each member's state was passed on.
        self.transmissions: dict[str, int] = {me.node: 0}
        # The members to probe in this round, the next one last.
        self._probe_order: list[str] = []
        self._probed_at = ZERO

    def alive(self, *, kind: str) -> list[MemberState]:
        """The members of a kind that aren't dead: a suspect counts until its suspicion has lasted."""
        return [member for member in self.members.values() if member.kind == kind and member.state != DEAD]

    def knows(self, node: str) -> bool:
        """Whether it has heard of a member."""
        return node in self.members

    def member_states(self, *, complete: bool = False) -> tuple[MemberState, ...]:
        """The states to pass on: this member's own, and those that were passed on least.

        Args:
            complete: For a member just met: all states, also those that everybody else is taken to know.
        """
        others = [node for node in self.members if node != self.me.node and (complete or self._is_gossip(node))]
        most = len(others) if complete else self._max_gossip - 1
        # Sorting is stable: members that were passed on as often keep the order in which they were met.
        others.sort(key=self._times_transmitted)
        selected = [self.me.node, *others[:most]]
        for node in selected:
            self.transmissions[node] = self._times_transmitted(node) + 1
        return tuple(self.members[node] for node in selected)

    def _is_gossip(self, node: str) -> bool:
        return self.retransmit_limit is None or self._times_transmitted(node) < self.retransmit_limit

    def _times_transmitted(self, node: str) -> int:
        return self.transmissions.get(node, 0)

    def handle(self, event: Event, *, now: timedelta) -> list[Command]:
        """What is to be done after an event."""
        match event:
            case GossipReceived(member_states=member_states) | ProbeAnswered(member_states=member_states):
                return self._merge(member_states, now)
            case ProbeTimedOut(node=node):
                return self._request_indirect_probes(node)
            case IndirectProbesAnswered(node=node, alive=alive):
                return [] if alive else self._suspect(node, now)
            case Ticked():
                return self._tick(now)
        return []

    def _request_indirect_probes(self, node: str) -> list[Command]:
        member = self.members.get(node)
        if member is None:
            return []
        others = [
            each for each in self.members.values() if each.state == ALIVE and each.node not in (node, self.me.node)
        ]
        helpers = self._rng.sample(others, min(self._helpers, len(others)))
        return [RequestIndirectProbes(node, member.address, tuple(each.address for each in helpers))]

    def _suspect(self, node: str, now: timedelta) -> list[Command]:
        member = self.members.get(node)
        if member is None or member.state != ALIVE:
            return []
        return self._merge((member._replace(state=SUSPECT),), now)

    def _merge(self, member_states: tuple[MemberState, ...], now: timedelta) -> list[Command]:
        """Takes what is newer than what is known."""
        changes: list[Command] = []
        for member in member_states:
            if member.node == self.me.node:
                self._refute(member)
                continue
            known = self.members.get(member.node)
            if known is None and member.state == DEAD:
                # Nobody has to learn a name in order to forget it.
                continue
            if known is not None and _precedence(member) <= _precedence(known):
                continue
            self._store(member, now)
            if known is None or known.state != member.state or known.incarnation != member.incarnation:
                changes.append(Changed(member))
        return changes

    def _refute(self, claimed: MemberState) -> None:
        """Overrides what is told of this member if it is wrong: with a higher count its own state prevails."""
        is_wrong = claimed.state != ALIVE or claimed.incarnation != self.me.incarnation
        if claimed.count >= self.me.count and is_wrong:
            self.me = self.me._replace(count=claimed.count + 1)
            self.members[self.me.node] = self.me
            self.transmissions[self.me.node] = 0

    def _store(self, member: MemberState, now: timedelta) -> None:
        self.members[member.node] = member
        self.transmissions[member.node] = 0
        if member.state == DEAD:
            self._dead_since.setdefault(member.node, now)
        else:
            self._dead_since.pop(member.node, None)
        if member.state == SUSPECT:
            self._suspected_since.setdefault(member.node, now)
        else:
            self._suspected_since.pop(member.node, None)

    def _tick(self, now: timedelta) -> list[Command]:
        commands = self._end_suspicions(now)
        self._forget_dead(now)
        if now - self._probed_at >= self._probe_interval:
            self._probed_at = now
            commands += self._next_probe()
        return commands

    def _end_suspicions(self, now: timedelta) -> list[Command]:
        changes: list[Command] = []
        for node, since in list(self._suspected_since.items()):
            if now - since >= self._suspicion_timeout:
                changes += self._merge((self.members[node]._replace(state=DEAD),), now)
        return changes

    def _forget_dead(self, now: timedelta) -> None:
        """Forgets who has been dead for long; whoever comes back later is met anew through the seeds."""
        for node, since in list(self._dead_since.items()):
            if now - since < DEAD_RETENTION:
                continue
            del self._dead_since[node]
            self.members.pop(node, None)
            self.transmissions.pop(node, None)
            self._suspected_since.pop(node, None)

    def _next_probe(self) -> list[Command]:
        while self._probe_order and self._probe_order[-1] not in self.members:
            self._probe_order.pop()
        if not self._probe_order:
            # Shuffled anew: everybody is probed once a round, in an order that nobody can foresee.
            self._probe_order = sorted(node for node in self.members if node != self.me.node)
            self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return []
        # The dead are probed too, so that both halves meet again when a partition heals.
        member = self.members[self._probe_order.pop()]
        return [Probe(member.node, member.address, self.member_states())]


def _precedence(member: MemberState) -> tuple[int, int]:
    return member.count, _rank[member.state]
