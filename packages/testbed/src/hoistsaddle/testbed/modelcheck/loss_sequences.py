"""Sequences of machine losses, counted by time as the platform does, on a network without faults.

A machine counts as lost until it or its successor has been up for the settling time. In any sequence, each loss must
have settled in the log within that time, and the cluster must serve throughout.
"""

import contextlib
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from hypothesis import HealthCheck, Phase, given, settings, strategies
from hypothesis import seed as seeded

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.raft.runner import TICK
from hoistsaddle.testbed.modelcheck.cluster import Cluster
from hoistsaddle.testbed.modelcheck.invariants import InvariantViolated
from hoistsaddle.testbed.modelcheck.machine import Machine
from hoistsaddle.testbed.modelcheck.steps import UNIT, Walk
from hoistsaddle.testbed.modelcheck.walks import StopDrawing

# The interval between the proposals of an operator during a sequence.
PROPOSAL_INTERVAL = milliseconds(250)
# The longest time, in units, until a lost machine returns or its successor starts.
MAX_UNITS_AWAY = 40
MAX_LOSSES = 6


class LossKind(StrEnum):
    """How a machine is lost."""

    WIPED = "wiped"
    REPLACED = "replaced"
    LEAVES = "leaves"
    POWER = "power"
    FROZEN = "frozen"
    CUT_OFF = "cut off"


class Loss(NamedTuple):
    """One loss.

    Attributes:
        kind: how the machine is lost.
        victim: the index of the machine among the voters; 0 is the leader.
        units_away: time in units until it returns or its successor starts.
        units_after: time in units between the end of its settling time and the next loss.
    """

    kind: LossKind
    victim: int
    units_away: int
    units_after: int


class LossSequence(NamedTuple):
    """A sequence of losses on one cluster."""

    size: int
    seed: int
    settle: timedelta
    losses: tuple[Loss, ...]


class SequenceResult(NamedTuple):
    """The time that each loss took to settle, from the start of the returned machine or its successor."""

    settle_times: tuple[timedelta, ...]


class SequenceCounterexample(NamedTuple):
    """A sequence that violates a rule, with a description of the violation."""

    description: str
    sequence: LossSequence


class _Run:
    """Plays one sequence on a new cluster."""

    def __init__(self, sequence: LossSequence) -> None:
        self.sequence = sequence
        self.cluster = Cluster(size=sequence.size, seed=sequence.seed, time_step=TICK)
        self.walk = Walk(self.cluster)
        self.last_proposal_at = ZERO
        self.proposals = 0

    def run(self) -> SequenceResult:
        self._advance(timedelta(seconds=2))
        return SequenceResult(tuple(self._lose(loss) for loss in self.sequence.losses))

    def _advance(self, duration: timedelta, *, until=lambda: False) -> bool:
        """Advances time, with a proposal every PROPOSAL_INTERVAL; returns True as soon as the condition holds."""
        end = self.cluster.now + duration
        while self.cluster.now < end:
            if self.cluster.run(UNIT, until=until):
                return True
            leader = self.cluster.leader()
            if leader is not None and self.cluster.now - self.last_proposal_at >= PROPOSAL_INTERVAL:
                self.last_proposal_at = self.cluster.now
                self.proposals += 1
                self.walk.propose_item(leader, self.proposals)
        return False

    def _lose(self, loss: Loss) -> timedelta:
        victim = self._victim(loss.victim)
        self.walk.lost.add(victim.replica)
        self._begin_loss(loss.kind, victim, loss.units_away)
        self._advance(UNIT * loss.units_away)
        self._end_loss(loss.kind, victim)
        started_at = self.cluster.now
        if not self._advance(self.sequence.settle, until=self.walk.is_settled):
            voters = sorted(self.cluster.invariants.voters.items())
            raise InvariantViolated(
                "a loss settles within its span",
                f"{loss.kind} of {victim.replica} has not settled after {self.sequence.settle}: "
                f"leader {self.cluster.leader()}, voters {voters}",
            )
        settle_time = self.cluster.now - started_at
        self._advance(self.sequence.settle - settle_time + UNIT * loss.units_after)
        return settle_time

    def _victim(self, victim: int) -> Machine:
        voters = sorted(self.cluster.invariants.voters)
        leader = self.cluster.leader()
        return self.cluster.machines[leader if victim == 0 and leader is not None else voters[victim % len(voters)]]

    def _begin_loss(self, kind: LossKind, victim: Machine, units_away: int) -> None:
        cluster, replica = self.cluster, victim.replica
        match kind:
            case LossKind.WIPED | LossKind.POWER:
                cluster.crash(replica, kept=0)
            case LossKind.REPLACED:
                cluster.remove(replica)
            case LossKind.LEAVES:
                cluster.request_stop(replica, duration=UNIT * units_away)
            case LossKind.FROZEN:
                victim.frozen = True
            case LossKind.CUT_OFF:
                cluster.cuts |= {pair for each in cluster.machines for pair in ((each, replica), (replica, each))}

    def _end_loss(self, kind: LossKind, victim: Machine) -> None:
        cluster, replica = self.cluster, victim.replica
        match kind:
            case LossKind.WIPED:
                cluster.wipe(replica)
                cluster.start(replica)
            case LossKind.POWER:
                cluster.start(replica)
            case LossKind.REPLACED | LossKind.LEAVES:
                cluster.remove(replica)
                cluster.add_spare()
            case LossKind.FROZEN:
                victim.frozen = False
            case LossKind.CUT_OFF:
                cluster.cuts.clear()


def run_loss_sequence(sequence: LossSequence) -> SequenceResult:
    """Plays the sequence and returns its settling times.

    Raises:
        InvariantViolated: an invariant is violated, or a loss doesn't settle in time.
    """
    return _Run(sequence).run()


def draw_loss_sequences(
    *, seed: int, runs: int, settle: timedelta, sizes: tuple[int, ...] = (3, 5)
) -> tuple[list[timedelta], SequenceCounterexample | None]:
    """Plays sequences drawn from a seed; returns the settling times and the first violation."""
    settle_times: list[timedelta] = []
    found: SequenceCounterexample | None = None
    loss = strategies.builds(
        Loss,
        strategies.sampled_from(list(LossKind)),
        strategies.integers(0, 4),
        strategies.integers(0, MAX_UNITS_AWAY),
        strategies.integers(0, MAX_UNITS_AWAY),
    )

    @seeded(seed)
    @settings(
        max_examples=runs,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(
        strategies.builds(
            LossSequence,
            strategies.sampled_from(sizes),
            strategies.integers(0, 9999),
            strategies.just(settle),
            strategies.lists(loss, min_size=2, max_size=MAX_LOSSES).map(tuple),
        )
    )
    def check(sequence: LossSequence) -> None:
        nonlocal found
        try:
            settle_times.extend(run_loss_sequence(sequence).settle_times)
        except InvariantViolated as broken:
            found = SequenceCounterexample(str(broken), sequence)
            raise StopDrawing("the first violation is enough") from broken

    with contextlib.suppress(StopDrawing):
        check()
    return settle_times, found
