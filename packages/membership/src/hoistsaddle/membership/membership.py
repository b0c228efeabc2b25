"""SWIM membership and failure detection (Das, Gupta, Motivala, 2002), as an event-driven core without I/O.

Members probe each other in turn. A member that doesn't answer is probed indirectly through third parties. If that fails
too, it becomes a suspect, and when the suspicion timeout expires it is declared dead. Member states are gossiped on
probes and their answers.
"""

import random
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import ZERO
from hoistsaddle.rpc.messages import MemberState

# The states of a member; these values go on the wire.
ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
# Of two states with the same count, the one with the higher rank takes precedence.
_STATE_RANKS = {ALIVE: 0, SUSPECT: 1, DEAD: 2}
# How long dead members are kept and probed: long enough for a network partition to heal.
DEAD_RETENTION = timedelta(minutes=10)


class ProbeAnswered(NamedTuple):
    """A member answered a probe."""

    node: str
    member_states: tuple[MemberState, ...]


class ProbeTimedOut(NamedTuple):
    """A member did not answer a probe in time."""

    node: str


class IndirectProbesAnswered(NamedTuple):
    """Third parties probed a member; `alive` is set if it answered any of them."""

    node: str
    alive: bool


class GossipReceived(NamedTuple):
    """Another member sent the states of some members that it knows."""

    member_states: tuple[MemberState, ...]


class Ticked(NamedTuple):
    """Time has passed."""


class Probe(NamedTuple):
    """Command: probe a member and gossip these states to it."""

    node: str
    address: str
    member_states: tuple[MemberState, ...]


class RequestIndirectProbes(NamedTuple):
    """Command: ask the members at the addresses in `helpers` to probe a member."""

    node: str
    address: str
    helpers: tuple[str, ...]


class Changed(NamedTuple):
    """Command: report that a member is new or that its state or incarnation changed."""

    member_state: MemberState


Event = ProbeAnswered | ProbeTimedOut | IndirectProbesAnswered | GossipReceived | Ticked
Command = Probe | RequestIndirectProbes | Changed


class Membership:
    """One member's view of all members.

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
        """Starts with this member alone.

        Args:
            me: This member's own state.
            rng: Chooses the probe order and the third parties.
            probe_interval: The time between two probes.
            suspicion_timeout: How long a suspect has to refute the suspicion before it is declared dead.
            helpers: How many third parties are asked to probe a member that didn't answer.
            max_gossip: The most states in one message, this member's own included.
            retransmit_limit: How often a state is sent before all members are assumed to know it; None for no limit.
        """
        self.me = me
        self.members: dict[str, MemberState] = {me.node: me}
        self._rng = rng
        self._probe_interval = probe_interval
        self._suspicion_timeout = suspicion_timeout
        self._helpers = helpers
        self._max_gossip = max_gossip
        self.retransmit_limit = retransmit_limit
        # When each suspect became one, and when each dead member was declared dead.
        self._suspected_since: dict[str, timedelta] = {}
        self._dead_since: dict[str, timedelta] = {}
        # How often each member's state was sent.
        self.transmissions: dict[str, int] = {me.node: 0}
        # The members still to be probed in this round; the next one is at the end.
        self._probe_order: list[str] = []
        self._probed_at = ZERO

    def alive(self, *, kind: str) -> list[MemberState]:
        """The members of a kind that aren't dead; a suspect counts as alive until its suspicion times out."""
        return [member for member in self.members.values() if member.kind == kind and member.state != DEAD]

    def knows(self, node: str) -> bool:
        """Whether the member is in this view."""
        return node in self.members

    def member_states(self, *, complete: bool = False) -> tuple[MemberState, ...]:
        """The states to gossip: this member's own, and those that were sent least often.

        Args:
            complete: Whether to include all states, also those over the retransmit limit, for a new member.
        """
        others = [
            node for node in self.members if node != self.me.node and (complete or self._below_retransmit_limit(node))
        ]
        limit = len(others) if complete else self._max_gossip - 1
        # Sorting is stable: states that were sent equally often keep the order in which the members were added.
        others.sort(key=self._transmission_count)
        selected = [self.me.node, *others[:limit]]
        for node in selected:
            self.transmissions[node] = self._transmission_count(node) + 1
        return tuple(self.members[node] for node in selected)

    def _below_retransmit_limit(self, node: str) -> bool:
        return self.retransmit_limit is None or self._transmission_count(node) < self.retransmit_limit

    def _transmission_count(self, node: str) -> int:
        return self.transmissions.get(node, 0)

    def handle(self, event: Event, *, now: timedelta) -> list[Command]:
        """Processes an event and returns the commands to carry out."""
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
        """Stores the states that are newer than the known ones, and returns the changes to report."""
        changes: list[Command] = []
        for member in member_states:
            if member.node == self.me.node:
                self._refute(member)
                continue
            known = self.members.get(member.node)
            if known is None and member.state == DEAD:
                # An unknown member that is dead already need not be stored: it would only be removed again.
                continue
            if known is not None and _precedence(member) <= _precedence(known):
                continue
            self._store(member, now)
            if known is None or known.state != member.state or known.incarnation != member.incarnation:
                changes.append(Changed(member))
        return changes

    def _refute(self, received: MemberState) -> None:
        """Refutes a wrong state of this member: its own state, sent with a higher count, takes precedence."""
        is_wrong = received.state != ALIVE or received.incarnation != self.me.incarnation
        if received.count >= self.me.count and is_wrong:
            self.me = self.me._replace(count=received.count + 1)
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
        commands = self._expire_suspicions(now)
        self._remove_dead(now)
        if now - self._probed_at >= self._probe_interval:
            self._probed_at = now
            commands += self._next_probe()
        return commands

    def _expire_suspicions(self, now: timedelta) -> list[Command]:
        changes: list[Command] = []
        for node, since in list(self._suspected_since.items()):
            if now - since >= self._suspicion_timeout:
                changes += self._merge((self.members[node]._replace(state=DEAD),), now)
        return changes

    def _remove_dead(self, now: timedelta) -> None:
        """Removes members that were dead for DEAD_RETENTION; one that comes back later rejoins through the seeds."""
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
            # Each member is probed once a round, in an order that is shuffled again for each round.
            self._probe_order = sorted(node for node in self.members if node != self.me.node)
            self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return []
        # Dead members are probed too, so that both sides find each other again when a partition heals.
        member = self.members[self._probe_order.pop()]
        return [Probe(member.node, member.address, self.member_states())]


def _precedence(member: MemberState) -> tuple[int, int]:
    return member.count, _STATE_RANKS[member.state]
