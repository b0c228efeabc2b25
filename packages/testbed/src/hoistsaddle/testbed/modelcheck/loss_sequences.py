"""Losses one after the other, as the platform counts them: by time, on a network that is well.

A machine counts as lost until its return or successor has been up for the settling span. However the losses follow each
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
from hoistsaddle.testbed.modelcheck.cluster import Cluster, Machine
from hoistsaddle.testbed.modelcheck.invariants import InvariantViolated
from hoistsaddle.testbed.modelcheck.steps import UNIT, Walk
from hoistsaddle.testbed.modelcheck.walks import StopDrawing

# How often an operator sends an order meanwhile.
ORDER_EVERY = milliseconds(250)
# A machine away comes back, or its successor comes up, after at most so many units.
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
    """One loss: how, who (0 is the leader), how long nobody is in its place, how long after its span the next comes."""

    kind: LossKind
    who: int
    away: int
    later: int


class LossSequence(NamedTuple):
    """A whole run of losses."""

    size: int
    seed: int
    settle: timedelta
    losses: tuple[Loss, ...]


class SequenceResult(NamedTuple):
    """What a run came to: how long each loss took to settle, from the moment its return or successor was up."""

    spans: tuple[timedelta, ...]


class SequenceCounterexample(NamedTuple):
    """A run that broke, and how."""

    description: str
    turns: LossSequence


class _Run:
    def __init__(self, turns: LossSequence) -> None:
        self.turns = turns
        self.cluster = Cluster(size=turns.size, seed=turns.seed, time_step=TICK)
        self.walk = Walk(self.cluster)
        self.ordered_at = ZERO
        self.orders = 0

    def go(self) -> SequenceResult:
        self._pass(timedelta(seconds=2))
        return SequenceResult(tuple(self._lose(loss) for loss in self.turns.losses))

    def _pass(self, span: timedelta, *, until=lambda: False) -> bool:
        """Time goes by, with an order now and then."""
        end = self.cluster.now + span
        while self.cluster.now < end:
            if self.cluster.run(UNIT, until=until):
                return True
            leader = self.cluster.leader()
            if leader is not None and self.cluster.now - self.ordered_at >= ORDER_EVERY:
                self.ordered_at = self.cluster.now
                self.orders += 1
                self.walk.order(leader, self.orders)
        return False

    def _lose(self, loss: Loss) -> timedelta:
        victim = self._victim(loss.who)
        self.walk.lost.add(victim.replica)
        self._begin(loss.kind, victim, loss.away)
        self._pass(UNIT * loss.away)
        self._end(loss.kind, victim)
        began = self.cluster.now
        if not self._pass(self.turns.settle, until=self.walk.is_settled):
            voters = sorted(self.cluster.invariants.voters.items())
            raise InvariantViolated(
                "a loss settles within its span",
                f"{loss.kind} of {victim.replica} has not after {self.turns.settle}: leader {self.cluster.leader()}, "
                f"voters {voters}",
            )
        span = self.cluster.now - began
        self._pass(self.turns.settle - span + UNIT * loss.later)
        return span

    def _victim(self, who: int) -> Machine:
        voters = sorted(self.cluster.invariants.voters)
        leader = self.cluster.leader()
        return self.cluster.machines[leader if who == 0 and leader is not None else voters[who % len(voters)]]

    def _begin(self, kind: LossKind, victim: Machine, away: int) -> None:
        cluster, replica = self.cluster, victim.replica
        match kind:
            case LossKind.WIPED | LossKind.POWER:
                cluster.crash(replica, kept=0)
            case LossKind.REPLACED:
                cluster.remove(replica)
            case LossKind.LEAVES:
                cluster.ask_to_leave(replica, span=UNIT * away)
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


def run_loss_sequence(turns: LossSequence) -> SequenceResult:
    """Does the run; raises Broken."""
    return _Run(turns).go()


def draw_loss_sequences(
    *, seed: int, runs: int, settle: timedelta, sizes: tuple[int, ...] = (3, 5)
) -> tuple[list[timedelta], SequenceCounterexample | None]:
    """So many runs drawn from this seed: the spans in which losses settled, and the first break."""
    spans: list[timedelta] = []
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
    def check(turns: LossSequence) -> None:
        nonlocal found
        try:
            spans.extend(run_loss_sequence(turns).spans)
        except InvariantViolated as broken:
            found = SequenceCounterexample(str(broken), turns)
            raise StopDrawing("the first break is enough") from broken

    with contextlib.suppress(StopDrawing):
        check()
    return spans, found
