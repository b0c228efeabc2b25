"""Servers whose reports come late or out of order, in simulated time: what said that it leaves gets no request."""

import os
from concurrent.futures import ProcessPoolExecutor

from testtools import TestCase
from testtools.matchers import Equals

from emulator_faults import small_day
from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.emulator import play
from hoistsaddle.testbed.emulator.scheduled_events import LateHeartbeats, RestartServer

SEEDS = tuple(range(1, 9))
MACHINES = ("side-00", "side-01", "side-02")


def broken(day: Day) -> dict[str, list[str]]:
    return {rule: found for rule, found in check(play(day).history, day).items() if found}


def late_day(seed: int, *, announced: bool) -> Day:
    """Heartbeats that were sent before three servers left arrive after it."""
    late = [LateHeartbeats(0.2, machine, 6.0, 3.0) for machine in MACHINES]
    leaving = [RestartServer(1.5 + place, machine, announced) for place, machine in enumerate(MACHINES)]
    return small_day(*late, *leaving, seconds=10.0, seed=seed)


class LateReports(TestCase):
    def assertHold(self, *, announced: bool) -> None:
        print("small days of seeds", SEEDS)
        days = [late_day(seed, announced=announced) for seed in SEEDS]
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip(SEEDS, pool.map(broken, days), strict=True))
        self.assertThat({seed: rules for seed, rules in found.items() if rules}, Equals({}))

    def test_a_server_that_signed_off_is_not_taken_back_by_a_late_heartbeat(self) -> None:
        self.assertHold(announced=False)

    def test_nor_one_that_had_announced_that_it_leaves(self) -> None:
        self.assertHold(announced=True)
