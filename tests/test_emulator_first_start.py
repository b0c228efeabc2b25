"""Faults at any moment of the first start: the site still comes up, and as a single mesh."""

import os
import random
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from testtools import TestCase
from testtools.matchers import Equals

from emulator_faults import small_day
from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.emulator import play
from hoistsaddle.testbed.emulator.scheduled_events import (
    DiskFault,
    Freeze,
    Kill,
    Partition,
    RewriteSettings,
    ScheduledEvent,
    Stop,
)

SITE_SEED = 1
DAY = small_day(seconds=1.0, seed=SITE_SEED)
# Faults of a series end at the latest 8 s after the start; traffic begins after 5 s and must outlast them.
SERIES_SECONDS = 8.0
CORE = tuple(machine.name for machine in DAY.site.core)
SIDECARS = tuple(machine.name for machine in DAY.site.sidecars)
FIRST, SECOND, _ = CORE
# Seconds from the start of the machines; denser while the seeds discover each other and the mesh is bootstrapped.
STRIKE_TIMES = tuple(number * 0.02 for number in range(25)) + tuple(0.5 + number * 0.25 for number in range(7))
DOWN_SECONDS = 0.5
SERIES_SEEDS = tuple(range(1, 81))


class Strike(NamedTuple):
    """One kind of fault: the machines that fail, and how."""

    name: str
    victims: tuple[str, ...]
    power: bool = False
    wipe: bool = False

    def at(self, strike_time: float) -> tuple[ScheduledEvent, ...]:
        """The fault as a scheduled event at this time."""
        return (Kill(strike_time, self.victims, DOWN_SECONDS, power=self.power, wipe=self.wipe),)


STRIKES = (
    Strike("the first seed is killed", (FIRST,)),
    Strike("the first seed loses its disk", (FIRST,), power=True, wipe=True),
    Strike("another seed loses its disk", (SECOND,), power=True, wipe=True),
    Strike("all controllers are killed", CORE),
    Strike("all controllers lose power", CORE, power=True),
    Strike("everything loses power", (*CORE, *SIDECARS), power=True),
)


def draw_series(seed: int) -> tuple[ScheduledEvent, ...]:
    """Overlapping faults of all kinds within two seconds, with at most one lost disk."""
    rng = random.Random(f"series {seed}")
    events: list[ScheduledEvent] = []
    at, wiped = rng.uniform(0, 0.4), False
    while at < 2.0:
        name = rng.choice((FIRST, *CORE))
        seconds = rng.uniform(0.05, 1.5)
        match rng.choice(("kill", "herd", "power", "wipe", "freeze", "stop", "cut", "one way", "disk", "settings")):
            case "kill":
                events.append(Kill(at, (name,), seconds))
            case "herd":
                events.append(Kill(at, CORE, seconds, power=rng.random() < 0.5))
            case "power":
                events.append(Kill(at, (name,), seconds, power=True))
            case "wipe" if not wiped:
                wiped = True
                events.append(Kill(at, (name,), seconds, power=True, wipe=True))
            case "freeze":
                events.append(Freeze(at, (name,), rng.uniform(0.2, 6.0)))
            case "stop":
                events.append(Stop(at, name, seconds))
            case "cut":
                events.append(Partition(at, (name,), (*CORE, *SIDECARS), rng.uniform(0.2, 6.0)))
            case "one way":
                events.append(Partition(at, (name,), CORE, rng.uniform(0.2, 6.0), one_way=True))
            case "disk":
                events.append(DiskFault(at, name, rng.uniform(0.2, 3.0), rng.choice(("stalled", "full"))))
            case "settings":
                events.append(RewriteSettings(at))
        at += rng.expovariate(3.0)
    return tuple(events)


def failures_of(day: Day) -> list[str]:
    """Violations after a day's first start; empty if the site is up as one mesh."""
    played = play(day)
    found = [f"{rule}: {lines[0]}" for rule, lines in check(played.history, day).items() if lines]
    if len(set(played.meshes.values())) != 1 or "" in played.meshes.values():
        found.append(f"meshes {played.meshes}")
    return found


def strike_failures(case: tuple[Strike, float]) -> list[str]:
    strike, strike_time = case
    return failures_of(DAY._replace(first_start=strike.at(strike_time)))


def series_failures(seed: int) -> list[str]:
    return failures_of(DAY._replace(seed=seed, seconds=SERIES_SECONDS, first_start=draw_series(seed)))


class StruckFirstStarts(TestCase):
    """Guards against a deployment that never comes up because its bootstrap was kept only in memory (issue 44)."""

    def test_it_comes_up_as_one_mesh_whenever_a_fault_occurs(self) -> None:
        cases = [(strike, strike_time) for strike in STRIKES for strike_time in STRIKE_TIMES]
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = zip(cases, pool.map(strike_failures, cases, chunksize=4), strict=True)
            broken = {f"{strike.name} at {strike_time:.2f} s": lines for (strike, strike_time), lines in found if lines}
        self.assertThat(broken, Equals({}), f"{len(broken)} of {len(cases)}")

    def test_it_comes_up_as_one_mesh_after_a_series_of_faults(self) -> None:
        print("series of seeds", SERIES_SEEDS[0], "to", SERIES_SEEDS[-1])
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip(SERIES_SEEDS, pool.map(series_failures, SERIES_SEEDS, chunksize=4), strict=True))
        broken = {seed: lines for seed, lines in found.items() if lines}
        self.assertThat(broken, Equals({}), f"{len(broken)} of {len(SERIES_SEEDS)}")
