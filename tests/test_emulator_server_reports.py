"""Servers that have reported that they leave get no requests, even if their heartbeats arrive late or out of order."""

import os
from concurrent.futures import ProcessPoolExecutor

from testtools import TestCase
from testtools.matchers import Equals

from emulator_faults import small_day
from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.emulator import play
from hoistsaddle.testbed.emulator.scheduled_events import (
    LEFT,
    LateHeartbeats,
    RestartServer,
    ScheduledEvent,
    TriggeredFault,
)

SEEDS = tuple(range(1, 9))
MACHINES = ("side-00", "side-01", "side-02")


def broken(day: Day) -> dict[str, list[str]]:
    return {rule: found for rule, found in check(play(day).history, day).items() if found}


def late_day(seed: int, *, announced: bool) -> Day:
    """Heartbeats that three servers sent before they left arrive afterwards."""
    late = [LateHeartbeats(0.2, machine, 6.0, 3.0) for machine in MACHINES]
    leaving = [RestartServer(1.5 + place, machine, announced) for place, machine in enumerate(MACHINES)]
    return small_day(*late, *leaving, seconds=10.0, seed=seed)


def killed_day(seed: int) -> Day:
    """Three servers deregister and keep serving; the sidecar is killed right after acknowledging that, and restarts."""
    events: list[ScheduledEvent] = []
    for place, machine in enumerate(MACHINES):
        at = 1.0 + 2.5 * place
        events.append(TriggeredFault(at, "kill", 0.3, LEFT))
        events.append(RestartServer(at + 0.1, machine, announced=False))
    return small_day(*events, seconds=14.0, seed=seed)


def late_killed_day(seed: int) -> Day:
    """Both: the restarted sidecar receives a heartbeat that was sent before the server deregistered."""
    late = [LateHeartbeats(0.2, machine, 12.0, 3.0) for machine in MACHINES]
    day = killed_day(seed)
    return day._replace(events=(*late, *day.events))


class LateReports(TestCase):
    def assertNoRuleBroken(self, days: list[Day]) -> None:
        print("small days of seeds", SEEDS)
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip(SEEDS, pool.map(broken, days), strict=True))
        self.assertThat({seed: rules for seed, rules in found.items() if rules}, Equals({}))

    def test_a_deregistered_server_is_not_restored_by_a_late_heartbeat(self) -> None:
        self.assertNoRuleBroken([late_day(seed, announced=False) for seed in SEEDS])

    def test_a_server_that_announced_its_leave_is_not_restored_by_a_late_heartbeat(self) -> None:
        self.assertNoRuleBroken([late_day(seed, announced=True) for seed in SEEDS])

    def test_a_deregistered_server_is_not_restored_when_its_sidecar_is_killed_right_after(self) -> None:
        self.assertNoRuleBroken([killed_day(seed) for seed in SEEDS])

    def test_a_late_heartbeat_at_a_restarted_sidecar_does_not_restore_the_server(self) -> None:
        """Seed 216 of small hunts: a restarted sidecar had lost the deregistration, and the log accepted its report."""
        self.assertNoRuleBroken([late_killed_day(seed) for seed in SEEDS])
