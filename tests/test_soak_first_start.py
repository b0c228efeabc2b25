"""First starts of real processes under kills, stops, freezes and disk losses within two seconds: one mesh comes up."""

import asyncio
import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.scheduled_events import Kill
from hoistsaddle.testbed.soak.first_start import FirstStartReport, draw_first_start, run_first_start
from hoistsaddle.testbed.soak.size import Size, site_of

SIZE = Size(3, 6)
SEEDS = (1, 2, 3)


def first_start(day: Day) -> FirstStartReport:
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-first-start-") as folder:
        return asyncio.run(run_first_start(day, folder=Path(folder)))


class StruckFirstStarts(TestCase):
    """Guards against bootstrap progress kept in memory only, and processes that exit during their start (issue 44)."""

    def test_the_first_seed_and_then_all_controllers_are_killed(self) -> None:
        site = site_of(SIZE, seed=SEEDS[0])
        core = tuple(machine.name for machine in site.core)
        report = first_start(Day(SEEDS[0], site, (), 0.0, (Kill(0.3, core[:1], 0.5), Kill(1.2, core, 0.3))))
        self.assertThat(report.succeeded, Equals(True), str(report))

    def test_series_of_faults(self) -> None:
        print("seeds", SEEDS)
        for seed in SEEDS:
            site = site_of(SIZE, seed=seed)
            report = first_start(Day(seed, site, (), 0.0, draw_first_start(site, seed=seed)))
            self.assertThat(report.succeeded, Equals(True), str(report))
