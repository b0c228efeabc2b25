"""Random walks over the modelled cluster, drawn and made smaller by hypothesis."""

import contextlib
import time
import unittest
from collections.abc import Callable, Iterable
from typing import NamedTuple

from hypothesis import HealthCheck, Phase, given, settings, strategies
from hypothesis import seed as seeded

from hoistsaddle.testbed.modelcheck.cluster import Cluster, Twist
from hoistsaddle.testbed.modelcheck.invariants import Broken
from hoistsaddle.testbed.modelcheck.steps import Kind, Step, Walk

# How often each kind is drawn: losses are rare, so that between them something happens that they can spoil.
WEIGHTS = {
    Kind.RUN: 14,
    Kind.DELIVER: 14,
    Kind.DROP: 3,
    Kind.DOUBLE: 3,
    Kind.DISK: 8,
    Kind.TICK: 4,
    Kind.ADVANCE: 4,
    Kind.CRASH: 3,
    Kind.START: 5,
    Kind.TEAR: 1,
    Kind.WIPE: 2,
    Kind.CUT: 2,
    Kind.CUT_ONE_WAY: 2,
    Kind.CUT_OFF: 2,
    Kind.HEAL: 3,
    Kind.FREEZE: 2,
    Kind.THAW: 3,
    Kind.SPARE: 1,
    Kind.REPLACE: 2,
    Kind.LEAVE: 3,
    Kind.PROPOSE: 10,
    Kind.BATCH: 3,
    Kind.STALL: 3,
    Kind.GO_ON: 3,
    Kind.READ: 6,
    Kind.ALL_LOSE_POWER: 1,
}
# A run's first number counts units of 50 ms: up to two seconds.
MOST_UNITS = 39
MOST_STEPS = 60
RAISES = "no core raises"


class Enough(unittest.SkipTest):
    """Ends a run of the library early; it draws no further example after this."""


class Script(NamedTuple):
    """A whole walk: enough to do it again."""

    size: int
    seed: int
    steps: tuple[Step, ...]

    def __str__(self) -> str:
        return f"size {self.size}, seed {self.seed}: " + ", ".join(map(str, self.steps))


class Found(NamedTuple):
    """A rule that was broken, and a walk that does it."""

    rule: str
    told: str
    script: Script


class Sum(NamedTuple):
    """What a number of walks came to."""

    walks: int = 0
    steps: int = 0
    passed_over: int = 0
    events: int = 0
    longest: int = 0
    losses_settled: int = 0
    figures: tuple[tuple[str, int], ...] = ()

    def plus(self, walk: Walk) -> "Sum":
        """With one more walk."""
        steps = len(walk.done)
        figures = tuple(sorted(walk.cluster.checks.figures.items()))
        return self.with_sum(Sum(1, steps, walk.passed_over, walk.cluster.events, steps, walk.settled, figures))

    def with_sum(self, other: "Sum") -> "Sum":
        """Both together."""
        figures = dict(self.figures)
        for name, number in other.figures:
            figures[name] = figures.get(name, 0) + number
        return Sum(
            self.walks + other.walks,
            self.steps + other.steps,
            self.passed_over + other.passed_over,
            self.events + other.events,
            max(self.longest, other.longest),
            self.losses_settled + other.losses_settled,
            tuple(sorted(figures.items())),
        )

    def __str__(self) -> str:
        figures = ", ".join(f"{number} {name}" for name, number in self.figures)
        return (
            f"{self.walks} walks, {self.steps} steps ({self.passed_over} could not be done), longest {self.longest}, "
            f"{self.events} events, {self.losses_settled} losses settled, {figures}"
        )


def play(script: Script, *, twist: Twist | None = None) -> Walk:
    """Does a walk and its ending; raises Broken, also for whatever a core raises."""
    walk = Walk(Cluster(size=script.size, seed=script.seed, twist=twist))
    _go(walk, script)
    return walk


def _go(walk: Walk, script: Script) -> None:
    try:
        # Most walks begin with a leader: what a first election alone can break, the exhaustive part looks at.
        walk.take(Step(Kind.RUN, MOST_UNITS))
        for step in script.steps:
            walk.take(step)
        walk.finish()
    except Broken:
        raise
    except Exception as problem:
        raise Broken(RAISES, f"{type(problem).__name__}: {problem}") from problem


def broken_by(script: Script, *, twist: Twist | None = None) -> Broken | None:
    """The rule a walk breaks, if any."""
    try:
        play(script, twist=twist)
    except Broken as broken:
        return broken
    return None


def steps_of(kinds: Iterable[Kind]) -> strategies.SearchStrategy[Step]:
    """Draws one step, the kinds by their weights."""
    weighted = [kind for kind in kinds for _ in range(WEIGHTS[kind])]
    return strategies.builds(
        Step, strategies.sampled_from(weighted), strategies.integers(0, MOST_UNITS), strategies.integers(0, 23)
    )


def walk_randomly(
    *,
    seed: int,
    walks: int,
    sizes: tuple[int, ...] = (3, 5),
    kinds: Iterable[Kind] = tuple(Kind),
    twist: Callable[[], Twist] = Twist,
    most_steps: int = MOST_STEPS,
    until: float = float("inf"),
) -> tuple[Sum, Found | None]:
    """So many walks drawn from this seed, fewer once the monotonic moment is over; ends at the first break."""
    total = Sum()
    found: Found | None = None

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
            strategies.lists(steps_of(kinds), min_size=most_steps // 3, max_size=most_steps).map(tuple),
        )
    )
    def check(script: Script) -> None:
        nonlocal total, found
        if time.monotonic() > until:
            raise Enough("no further example is wanted")
        walk = Walk(Cluster(size=script.size, seed=script.seed, twist=twist()))
        try:
            _go(walk, script)
        except Broken as broken:
            found = Found(broken.rule, str(broken), script)
        total = total.plus(walk)
        if found is not None:
            raise Enough("no further example is wanted")

    with contextlib.suppress(Enough):
        check()
    return total, found


def make_smaller(found: Found, *, twist: Callable[[], Twist] = Twist, most_tries: int = 600) -> Found:
    """Leaves out steps, many at a time and then single ones, and lessens numbers, while the same rule breaks."""
    tries = 0

    def still(script: Script) -> bool:
        nonlocal found, tries
        tries += 1
        broken = broken_by(script, twist=twist()) if tries <= most_tries else None
        if broken is None or broken.rule != found.rule:
            return False
        found = Found(broken.rule, str(broken), script)
        return True

    span = max(1, len(found.script.steps) // 2)
    while tries <= most_tries:
        before = found.script
        place = len(before.steps)
        while place > 0:
            steps = found.script.steps
            place = min(place, len(steps))
            still(found.script._replace(steps=steps[: max(0, place - span)] + steps[place:]))
            place -= span
        if span > 1:
            span //= 2
        elif found.script == before:
            break
    for place, step in enumerate(found.script.steps):
        for smaller in (step._replace(first=0, second=0), step._replace(second=0), step._replace(first=0)):
            steps = found.script.steps
            if smaller != step and still(found.script._replace(steps=(*steps[:place], smaller, *steps[place + 1 :]))):
                break
    return found
