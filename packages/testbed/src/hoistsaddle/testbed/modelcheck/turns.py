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
from hoistsaddle.raft.shell import TICK
from hoistsaddle.testbed.modelcheck.cluster import Cluster, Machine
from hoistsaddle.testbed.modelcheck.invariants import Broken
from hoistsaddle.testbed.modelcheck.steps import UNIT, Walk
from hoistsaddle.testbed.modelcheck.walks import Enough

# How often an operator sends an order meanwhile.
ORDER_EVERY = milliseconds(250)
# A machine away comes back, or its successor comes up, after at most so many units.
MOST_AWAY = 40
MOST_LOSSES = 6


class Way(StrEnum):
    """How a machine is lost."""

    WIPED = "wiped"
    REPLACED = "replaced"
    LEAVES = "leaves"
    POWER = "power"
    FROZEN = "frozen"
    CUT_OFF = "cut off"


class Loss(NamedTuple):
    """One loss: how, who (0 is the leader), how long nobody is in its place, how long after its span the next comes."""

    way: Way
    who: int
    away: int
    later: int


class Turns(NamedTuple):
    """A whole run of losses."""

    size: int
    seed: int
    settle: timedelta
    losses: tuple[Loss, ...]


class Settled(NamedTuple):
    """What a run came to: how long each loss took to settle, from the moment its return or successor was up."""

    spans: tuple[timedelta, ...]


class TurnsFound(NamedTuple):
    """A run that broke, and how."""

    told: str
    turns: Turns


class _Run:
    def __init__(self, turns: Turns) -> None:
        self.turns = turns
        self.cluster = Cluster(size=turns.size, seed=turns.seed, slice_span=TICK)
        self.walk = Walk(self.cluster)
        self.ordered_at = ZERO
        self.orders = 0

    def go(self) -> Settled:
        self._pass(timedelta(seconds=2))
        return Settled(tuple(self._lose(loss) for loss in self.turns.losses))

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
        self._begin(loss.way, victim, loss.away)
        self._pass(UNIT * loss.away)
        self._end(loss.way, victim)
        began = self.cluster.now
        if not self._pass(self.turns.settle, until=self.walk.is_settled):
            voters = sorted(self.cluster.checks.voters.items())
            raise Broken(
                "a loss settles within its span",
                f"{loss.way} of {victim.replica} has not after {self.turns.settle}: leader {self.cluster.leader()}, "
                f"voters {voters}",
            )
        span = self.cluster.now - began
        self._pass(self.turns.settle - span + UNIT * loss.later)
        return span

    def _victim(self, who: int) -> Machine:
        voters = sorted(self.cluster.checks.voters)
        leader = self.cluster.leader()
        return self.cluster.machines[leader if who == 0 and leader is not None else voters[who % len(voters)]]

    def _begin(self, way: Way, victim: Machine, away: int) -> None:
        cluster, replica = self.cluster, victim.replica
        match way:
            case Way.WIPED | Way.POWER:
                cluster.crash(replica, kept=0)
            case Way.REPLACED:
                cluster.remove(replica)
            case Way.LEAVES:
                cluster.ask_to_leave(replica, span=UNIT * away)
            case Way.FROZEN:
                victim.frozen = True
            case Way.CUT_OFF:
                cluster.cuts |= {pair for each in cluster.machines for pair in ((each, replica), (replica, each))}

    def _end(self, way: Way, victim: Machine) -> None:
        cluster, replica = self.cluster, victim.replica
        match way:
            case Way.WIPED:
                cluster.wipe(replica)
                cluster.start(replica)
            case Way.POWER:
                cluster.start(replica)
            case Way.REPLACED | Way.LEAVES:
                cluster.remove(replica)
                cluster.add_spare()
            case Way.FROZEN:
                victim.frozen = False
            case Way.CUT_OFF:
                cluster.cuts.clear()


def lose_in_turn(turns: Turns) -> Settled:
    """Does the run; raises Broken."""
    return _Run(turns).go()


def losses_in_turn(
    *, seed: int, runs: int, settle: timedelta, sizes: tuple[int, ...] = (3, 5)
) -> tuple[list[timedelta], TurnsFound | None]:
    """So many runs drawn from this seed: the spans in which losses settled, and the first break."""
    spans: list[timedelta] = []
    found: TurnsFound | None = None
    loss = strategies.builds(
        Loss,
        strategies.sampled_from(list(Way)),
        strategies.integers(0, 4),
        strategies.integers(0, MOST_AWAY),
        strategies.integers(0, MOST_AWAY),
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
            Turns,
            strategies.sampled_from(sizes),
            strategies.integers(0, 9999),
            strategies.just(settle),
            strategies.lists(loss, min_size=2, max_size=MOST_LOSSES).map(tuple),
        )
    )
    def check(turns: Turns) -> None:
        nonlocal found
        try:
            spans.extend(lose_in_turn(turns).spans)
        except Broken as broken:
            found = TurnsFound(str(broken), turns)
            raise Enough("the first break is enough") from broken

    with contextlib.suppress(Enough):
        check()
    return spans, found
