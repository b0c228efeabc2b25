"""Days that end with the loss of disks while all other machines, including sidecars, lose power at the same moment."""

import os
from concurrent.futures import ProcessPoolExecutor

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from emulator_faults import small_day
from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.emulator import play
from hoistsaddle.testbed.emulator.history import ProcessStarted
from hoistsaddle.testbed.emulator.scheduled_events import (
    ACKNOWLEDGED,
    SENT,
    SNAPSHOT,
    TAKEN,
    Change,
    FinalFault,
    Kill,
)

SEEDS = tuple(range(1, 9))
TRIGGERS = (ACKNOWLEDGED, SENT, TAKEN, SNAPSHOT)


def closing_day(seed: int) -> Day:
    """A disk is lost and its machine rejoins; during further changes another disk is lost together with all power."""
    changes = [Change(0.6 + 0.4 * number, "move", seed * 20 + number) for number in range(14)]
    final_fault = FinalFault(7.0, "wipe and all power", 0.5 + 0.2 * (seed % 4), TRIGGERS[seed % len(TRIGGERS)])
    lost = Kill(0.5, (f"core-{seed % 3}",), 0.5, power=True, wipe=True)
    day = small_day(lost, *changes, final_fault, seconds=7.0, seed=seed)
    return day._replace(site=day.site._replace(snapshot_records=40))


def outcome(seed: int) -> tuple[dict[str, list[str]], int]:
    """Broken rules, and how often machines were started."""
    day = closing_day(seed)
    history = play(day).history
    broken = {rule: found for rule, found in check(history, day).items() if found}
    return broken, len(history.of(ProcessStarted))


class ClosingLosses(TestCase):
    """Guards against the loss of acknowledged changes when disks are lost and no other machine keeps its memory."""

    def test_nothing_acknowledged_is_lost_with_a_disk_and_all_power(self) -> None:
        print("small days of seeds", SEEDS)
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip(SEEDS, pool.map(outcome, SEEDS), strict=True))
        self.assertThat({seed: broken for seed, (broken, _) in found.items() if broken}, Equals({}))
        for seed, (_, starts) in found.items():
            site = closing_day(seed).site
            # Every machine was started twice, and the machine whose disk was lost first a third time.
            self.assertThat(starts, GreaterThan(2 * (len(site.core) + len(site.sidecars))))
