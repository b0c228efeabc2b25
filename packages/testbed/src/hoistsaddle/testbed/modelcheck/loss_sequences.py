"""Losses one after the other, as the platform counts them: by time, on a network without faults.

A machine counts as lost until its return or successor has been up for the settling time. However the losses follow each
other, each must have settled by then in the log itself, and the cluster serves all the while.
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

# How often an operator sends an order meanwhile.
ORDER_INTERVAL = milliseconds(250)
# A lost machine comes back, or its successor comes up, after at most so many units.
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
        victim: which machine; 0 is the leader.
        units_away: how long nobody is in its place.
        units_after: how long after its settling time the next loss comes.
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
    """How long each loss took to settle, from the time when its return or successor was up."""

    settle_times: tuple[timedelta, ...]


class SequenceCounterexample(NamedTuple):
    """A sequence that violates a rule, and how."""

    description: str
    sequence: LossSequence


class _Run:
    """Does one sequence on a cluster of its own."""

    def __init__(self, sequence: LossSequence) -> None:
        self.sequence = sequence
        self.cluster = Cluster(size=sequence.size, seed=sequence.seed, time_step=TICK)
        self.walk = Walk(self.cluster)
        self.ordered_at = ZERO
        self.orders = 0

    def run(self) -> SequenceResult:
        self._pass(timedelta(seconds=2))
        return SequenceResult(tuple(self._lose(loss) for loss in self.sequence.losses))

    def _pass(self, duration: timedelta, *, until=lambda: False) -> bool:
        """Time goes by, with an order now and then."""
        end = self.cluster.now + duration
        while self.cluster.now < end:
            if self.cluster.run(UNIT, until=until):
                return True
            leader = self.cluster.leader()
            if leader is not None and self.cluster.now - self.ordered_at >= ORDER_INTERVAL:
                self.ordered_at = self.cluster.now
                self.orders += 1
                self.walk.order(leader, self.orders)
        return False

    def _lose(self, loss: Loss) -> timedelta:
        victim = self._victim(loss.victim)
        self.walk.lost.add(victim.replica)
        self._begin(loss.kind, victim, loss.units_away)
        self._pass(UNIT * loss.units_away)
        self._end(loss.kind, victim)
        began = self.cluster.now
        if not self._pass(self.sequence.settle, until=self.walk.is_settled):
            voters = sorted(self.cluster.invariants.voters.items())
            raise InvariantViolated(
                "a loss settles within its span",
                f"{loss.kind} of {victim.replica} has not after {self.sequence.settle}: "
                f"leader {self.cluster.leader()}, voters {voters}",
            )
        settle_time = self.cluster.now - began
        self._pass(self.sequence.settle - settle_time + UNIT * loss.units_after)
        return settle_time

    def _victim(self, victim: int) -> Machine:
        voters = sorted(self.cluster.invariants.voters)
        leader = self.cluster.leader()
        return self.cluster.machines[leader if victim == 0 and leader is not None else voters[victim % len(voters)]]

    def _begin(self, kind: LossKind, victim: Machine, units_away: int) -> None:
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

    def _end(self, kind: LossKind, victim: Machine) -> None:
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
    """Does the sequence.

    Raises:
        InvariantViolated: a rule is broken, or a loss doesn't settle in time.
    """
    return _Run(sequence).run()


def draw_loss_sequences(
    *, seed: int, runs: int, settle: timedelta, sizes: tuple[int, ...] = (3, 5)
) -> tuple[list[timedelta], SequenceCounterexample | None]:
    """Draws sequences from a seed and does them; gives how long losses took to settle, and the first violation."""
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
