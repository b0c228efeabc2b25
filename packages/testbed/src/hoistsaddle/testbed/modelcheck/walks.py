"""Random walks over the modelled cluster, drawn by hypothesis, and the minimization of walks that violate a rule."""

import contextlib
import time
import unittest
from collections.abc import Callable, Iterable
from typing import NamedTuple

from hypothesis import HealthCheck, Phase, given, settings, strategies
from hypothesis import seed as seeded

from hoistsaddle.testbed.modelcheck.cluster import Cluster
from hoistsaddle.testbed.modelcheck.faults import InjectedFault
from hoistsaddle.testbed.modelcheck.invariants import InvariantViolated
from hoistsaddle.testbed.modelcheck.steps import Step, StepKind, Walk

# How often each kind is drawn. Losses are rare, so that records are committed between them.
WEIGHTS = {
    StepKind.RUN: 14,
    StepKind.DELIVER: 14,
    StepKind.DROP: 3,
    StepKind.DUPLICATE: 3,
    StepKind.DISK: 8,
    StepKind.TICK: 4,
    StepKind.ADVANCE: 4,
    StepKind.CRASH: 3,
    StepKind.START: 5,
    StepKind.TEAR: 1,
    StepKind.WIPE: 2,
    StepKind.CUT: 2,
    StepKind.CUT_ONE_WAY: 2,
    StepKind.CUT_OFF: 2,
    StepKind.HEAL: 3,
    StepKind.FREEZE: 2,
    StepKind.THAW: 3,
    StepKind.ADD_SPARE: 1,
    StepKind.REPLACE: 2,
    StepKind.LEAVE: 3,
    StepKind.PROPOSE: 10,
    StepKind.BATCH: 3,
    StepKind.STALL_DISK: 3,
    StepKind.RESUME_DISK: 3,
    StepKind.READ: 6,
    StepKind.ALL_LOSE_POWER: 1,
}
# The first number of a RUN step counts units of 50 ms: up to two seconds.
MAX_UNITS = 39
MAX_STEPS = 60
NO_EXCEPTION_RULE = "no core raises"


class StopDrawing(unittest.SkipTest):
    """Stops a hypothesis run; it draws no further examples after this."""


class Script(NamedTuple):
    """A complete walk, sufficient to replay it."""

    size: int
    seed: int
    steps: tuple[Step, ...]

    def __str__(self) -> str:
        return f"size {self.size}, seed {self.seed}: " + ", ".join(map(str, self.steps))


class Counterexample(NamedTuple):
    """A violated rule, and a walk that violates it."""

    rule: str
    description: str
    script: Script


class WalkTotals(NamedTuple):
    """The totals of a number of walks."""

    walks: int = 0
    steps: int = 0
    skipped: int = 0
    events: int = 0
    longest: int = 0
    losses_settled: int = 0
    figures: tuple[tuple[str, int], ...] = ()

    def with_walk(self, walk: Walk) -> "WalkTotals":
        """These totals and one more walk."""
        steps = len(walk.done)
        figures = tuple(sorted(walk.cluster.invariants.figures.items()))
        return self.merged_with(WalkTotals(1, steps, walk.skipped, walk.cluster.events, steps, walk.settled, figures))

    def merged_with(self, other: "WalkTotals") -> "WalkTotals":
        """The sum of both totals."""
        figures = dict(self.figures)
        for name, number in other.figures:
            figures[name] = figures.get(name, 0) + number
        return WalkTotals(
            self.walks + other.walks,
            self.steps + other.steps,
            self.skipped + other.skipped,
            self.events + other.events,
            max(self.longest, other.longest),
            self.losses_settled + other.losses_settled,
            tuple(sorted(figures.items())),
        )

    def __str__(self) -> str:
        figures = ", ".join(f"{number} {name}" for name, number in self.figures)
        return (
            f"{self.walks} walks, {self.steps} steps ({self.skipped} could not be done), longest {self.longest}, "
            f"{self.events} events, {self.losses_settled} losses settled, {figures}"
        )


def play(script: Script, *, fault: InjectedFault | None = None) -> Walk:
    """Replays a walk and its final checks; raises InvariantViolated, also for any exception of a core."""
    walk = Walk(Cluster(size=script.size, seed=script.seed, fault=fault))
    _play_steps(walk, script)
    return walk


def _play_steps(walk: Walk, script: Script) -> None:
    try:
        # Most walks start with a leader; faults of the first election alone are covered by the exhaustive exploration.
        walk.take(Step(StepKind.RUN, MAX_UNITS))
        for step in script.steps:
            walk.take(step)
        walk.finish()
    except InvariantViolated:
        raise
    except Exception as problem:
        raise InvariantViolated(NO_EXCEPTION_RULE, f"{type(problem).__name__}: {problem}") from problem


def broken_by(script: Script, *, fault: InjectedFault | None = None) -> InvariantViolated | None:
    """The violation that a walk leads to, if any."""
    try:
        play(script, fault=fault)
    except InvariantViolated as broken:
        return broken
    return None


def steps_of(kinds: Iterable[StepKind]) -> strategies.SearchStrategy[Step]:
    """A strategy that draws one step, with its kind by weight."""
    weighted = [kind for kind in kinds for _ in range(WEIGHTS[kind])]
    return strategies.builds(
        Step, strategies.sampled_from(weighted), strategies.integers(0, MAX_UNITS), strategies.integers(0, 23)
    )


def walk_randomly(
    *,
    seed: int,
    walks: int,
    sizes: tuple[int, ...] = (3, 5),
    kinds: Iterable[StepKind] = tuple(StepKind),
    fault: Callable[[], InjectedFault] = InjectedFault,
    max_steps: int = MAX_STEPS,
    until: float = float("inf"),
) -> tuple[WalkTotals, Counterexample | None]:
    """Draws and plays `walks` walks from a seed; stops at the first violation or at the monotonic time `until`."""
    total = WalkTotals()
    found: Counterexample | None = None

    @seeded(seed)
    @settings(
        max_examples=walks,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
        report_multiple_bugs=False,
        print_blob=False,
    )
    @given(
        strategies.builds(
            Script,
            strategies.sampled_from(sizes),
            strategies.integers(0, 9999),
            strategies.lists(steps_of(kinds), min_size=max_steps // 3, max_size=max_steps).map(tuple),
        )
    )
    def check(script: Script) -> None:
        nonlocal total, found
        if time.monotonic() > until:
            raise StopDrawing("no further examples are needed")
        walk = Walk(Cluster(size=script.size, seed=script.seed, fault=fault()))
        try:
            _play_steps(walk, script)
        except InvariantViolated as broken:
            found = Counterexample(broken.rule, str(broken), script)
        total = total.with_walk(walk)
        if found is not None:
            raise StopDrawing("no further examples are needed")

    with contextlib.suppress(StopDrawing):
        check()
    return total, found


def minimize(
    found: Counterexample, *, fault: Callable[[], InjectedFault] = InjectedFault, max_attempts: int = 600
) -> Counterexample:
    """Minimizes a walk: removes steps, in blocks and then singly, and zeroes numbers, while the same rule fails."""
    attempts = 0

    def breaks_same_rule(script: Script) -> bool:
        nonlocal found, attempts
        attempts += 1
        broken = broken_by(script, fault=fault()) if attempts <= max_attempts else None
        if broken is None or broken.rule != found.rule:
            return False
        found = Counterexample(broken.rule, str(broken), script)
        return True

    block = max(1, len(found.script.steps) // 2)
    while attempts <= max_attempts:
        before = found.script
        position = len(before.steps)
        while position > 0:
            steps = found.script.steps
            position = min(position, len(steps))
            breaks_same_rule(found.script._replace(steps=steps[: max(0, position - block)] + steps[position:]))
            position -= block
        if block > 1:
            block //= 2
        elif found.script == before:
            break
    for position, step in enumerate(found.script.steps):
        for smaller in (step._replace(first=0, second=0), step._replace(second=0), step._replace(first=0)):
            steps = found.script.steps
            if smaller != step and breaks_same_rule(
                found.script._replace(steps=(*steps[:position], smaller, *steps[position + 1 :]))
            ):
                break
    return found
