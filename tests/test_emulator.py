"""Days of the emulated platform must break no rule, and every rule must detect a fault injected for it.

The seeds are fixed here; `hoistsaddle fleet hunt --seeds 1-40` plays more of them.
"""

import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.config.items import Patch, pack_patch
from hoistsaddle.statemachine import items
from hoistsaddle.statemachine.commands import LEVEL, Outcome, PatchItems
from hoistsaddle.statemachine.state import State, initial_state
from hoistsaddle.testbed.emulator.checkers import RULES, check
from hoistsaddle.testbed.emulator.day import Day, draw_day
from hoistsaddle.testbed.emulator.emulator import play
from hoistsaddle.testbed.emulator.hunt import DayCase, Verdict, day_of, hunt, make_smaller
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.scheduled_events import Kill

sys.path.insert(0, str(Path(__file__).parent))
from emulator_faults import DAYS, INJECTED_FAULTS  # noqa: E402

# Ordinary days, and two control-plane days with replaced machines, contested revisions and repeated changes.
SEEDS = (1, 2, 5)


def broken(day: Day) -> dict[str, list[str]]:
    return {rule: found for rule, found in check(play(day).history, day).items() if found}


def rules_missed(place: int) -> set[str]:
    injected_fault = INJECTED_FAULTS[place]
    with injected_fault.patch():
        return set(injected_fault.rules) - set(broken(DAYS[injected_fault.day]))


class EmulatorDays(TestCase):
    def test_days_of_the_injected_faults_break_no_rule_without_them(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip(DAYS, pool.map(broken, DAYS.values()), strict=True))
        self.assertThat(found, Equals({name: {} for name in DAYS}))

    def test_drawn_days_break_no_rule(self) -> None:
        print("small days of seeds", SEEDS)
        for verdict in hunt([DayCase(seed, small=True) for seed in SEEDS]):
            self.assertThat((verdict.broken, verdict.failed), Equals(({}, "")), str(verdict.day_case))
            # A day that serves almost nothing would break few rules.
            self.assertThat(verdict.served * 2, GreaterThan(verdict.sent), str(verdict.day_case))

    def test_a_seed_gives_the_same_day_again(self) -> None:
        first, again = hunt([DayCase(1, small=True, only=(0, 1, 2))] * 2)
        self.assertThat(first, Equals(again))
        # Hash seeds differ between processes, so any dependence on the iteration order of a set changes the digest.
        code = (
            "from hoistsaddle.testbed.emulator.hunt import DayCase, carry_out\n"
            "print(carry_out(DayCase(1, small=True, only=(0, 1, 2))).digest)"
        )
        for secret in ("1", "2"):
            output = subprocess.run(
                [sys.executable, "-c", code],
                env={**os.environ, "PYTHONHASHSEED": secret},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            self.assertThat(output.strip(), Equals(first.digest))


class EmulatorFaults(TestCase):
    def test_every_rule_has_an_injected_fault(self) -> None:
        self.assertThat(
            {rule for injected_fault in INJECTED_FAULTS for rule in injected_fault.rules}, Equals(set(RULES))
        )

    def test_every_injected_fault_is_caught(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = pool.map(rules_missed, range(len(INJECTED_FAULTS)))
            missed = dict(zip((injected_fault.name for injected_fault in INJECTED_FAULTS), found, strict=True))
        self.assertThat(missed, Equals({injected_fault.name: set() for injected_fault in INJECTED_FAULTS}))


class PlatformChanges(TestCase):
    def test_a_service_named_beside_a_split_is_checked_too(self) -> None:
        """Regression, found with seed 52: such a change was acknowledged although the service was not declared."""
        samples = adapter("samples")
        route = samples.route(
            name="r",
            host="h",
            prefix="/r/",
            kind="repeatable",
            parts=[("known", 2.0), ("other", 1.0)],
            hold=1.0,
            aim=0.5,
            rank=0,
            sends=1,
            revision=3,
        )
        patch = adapter("config_items").read_call(samples.call(routes=[{**route, "service": "nobody"}])).unwrap()
        state = initial_state(mesh="m", voters={}, operators={}, level=LEVEL)
        services = samples.call(services=[samples.service(name=name, revision=1) for name in ("known", "other")])

        def put(state: State, patch: Patch, offset: int) -> tuple[State, Outcome]:
            return items.patch(state, PatchItems("request", "desk", "signer", pack_patch(patch)), offset)

        state, first = put(state, adapter("config_items").read_call(services).unwrap(), 1)
        _, second = put(state, patch, 2)
        self.assertThat((first.error, second.error), Equals(("", ErrorKind.ITEM_BROKEN)))


class Shrinking(TestCase):
    def test_a_failing_day_is_reduced_to_the_events_it_needs(self) -> None:
        day_case = next(
            each
            for each in (DayCase(seed) for seed in range(1, 100))
            if sum(isinstance(event, Kill) for event in day_of(each).events) >= 2
        )
        kills = [place for place, each in enumerate(day_of(day_case).events) if isinstance(each, Kill)][:2]

        def run(tried: DayCase) -> Verdict:
            # The rule is broken only if both kills are kept.
            bad = set(kills) <= set(tried.only or ())
            return Verdict(tried, 0, 0, "", {"TWICE": ["planted"]} if bad else {})

        first = run(day_case._replace(only=tuple(range(len(draw_day(day_case.seed).events)))))
        smaller = make_smaller(first, write_line=lambda text: None, run=run)
        self.assertThat(smaller.day_case.only, Equals(tuple(kills)))
