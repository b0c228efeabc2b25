"""Sidecars whose links are full for seconds must not handle requests by an outdated configuration."""

import os
from concurrent.futures import ProcessPoolExecutor

from testtools import TestCase
from testtools.matchers import Equals

from emulator_faults import small_day
from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.emulator import play
from hoistsaddle.testbed.emulator.history import RequestResult, RequestSent, RunStarted
from hoistsaddle.testbed.emulator.scheduled_events import Change, Freeze, JammedLink, Kill, ScheduledEvent

CORE = ("core-0", "core-1", "core-2")
SEEDS = tuple(range(1, 9))


def broken(day: Day) -> dict[str, list[str]]:
    return {rule: found for rule, found in check(play(day).history, day).items() if found}


def full_link_day(seed: int) -> Day:
    """Two links are full for some seconds while routes move to other services under a high request rate."""
    jams = [JammedLink(1.0, "side-00", 4.5, 1.0), JammedLink(6.0, "side-01", 6.0, 1.0)]
    changes = [Change(1.2 + 0.7 * number, "move", seed * 20 + number) for number in range(14)]
    day = small_day(*jams, *changes, seconds=14.0, seed=seed)
    return day._replace(site=day.site._replace(rate=60.0))


class FullLinks(TestCase):
    def test_a_sidecar_behind_a_full_link_does_not_act_on_an_outdated_configuration(self) -> None:
        print("small days of seeds", SEEDS)
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip(SEEDS, pool.map(broken, map(full_link_day, SEEDS)), strict=True))
        self.assertThat({seed: rules for seed, rules in found.items() if rules}, Equals({}))


def statuses_without_core(how: ScheduledEvent) -> set[tuple[str, int]]:
    """The results of requests without a key on a day on which the core fails at 3 s and returns 8 s later."""
    day = small_day(how, seconds=14.0)
    history = play(day._replace(site=day.site._replace(rate=40.0))).history
    keyed_runs = {run.run for run in history.of(RunStarted) if run.key}
    deadlines = {kind.route: kind.deadline for kind in day.site.nested_kinds}
    left_out = set()
    for request in history.of(RequestSent):
        # A keyed request that waited for the core may leave its nested call less time than the call's usual deadline.
        cut_short = request.parent in keyed_runs and request.deadline - request.at < deadlines[request.route]
        if request.key or cut_short:
            left_out.add(request.attempt)
    return {(each.outcome, each.status) for each in history.of(RequestResult) if each.attempt not in left_out}


class CoreAway(TestCase):
    def test_without_a_core_sidecars_keep_using_their_configuration(self) -> None:
        days = [Kill(3.0, CORE, 8.0, power=True), Kill(3.0, CORE, 8.0), Freeze(3.0, CORE, 8.0)]
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = list(pool.map(statuses_without_core, days))
        self.assertThat(found, Equals([{("answered", 200)}] * len(days)))
