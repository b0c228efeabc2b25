"""The users' platform in simulated time: days that must hold, and for each rule a planted fault that must be caught.

The seeds are fixed here; more of them: `hoistsaddle fleet hunt --seeds 1-40`.
"""

import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from hoistsaddle.common.errors import MishapKind
from hoistsaddle.config.items import Patch, pack_patch
from hoistsaddle.statemachine import items
from hoistsaddle.statemachine.commands import LEVEL, Outcome, PatchItems
from hoistsaddle.statemachine.state import State, found_state
from hoistsaddle.testbed.emulator.arena import play
from hoistsaddle.testbed.emulator.checkers import RULES, check
from hoistsaddle.testbed.emulator.customs import adapter
from hoistsaddle.testbed.emulator.day import Day, draw_day
from hoistsaddle.testbed.emulator.hunt import Hunted, Verdict, day_of, hunt, make_smaller
from hoistsaddle.testbed.emulator.troubles import Kill

sys.path.insert(0, str(Path(__file__).parent))
from arcade_plants import DAYS, PLANTS  # noqa: E402

# Plain days, and two about the control side with replaced machines, contested versions and repeated orders.
SEEDS = (1, 2, 5)


def broken(day: Day) -> dict[str, list[str]]:
    return {rule: found for rule, found in check(play(day).history, day).items() if found}


def rules_missed(place: int) -> set[str]:
    plant = PLANTS[place]
    with plant.patch():
        return set(plant.rules) - set(broken(DAYS[plant.day]))


class ArcadeDays(TestCase):
    def test_days_of_the_plants_hold_without_them(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip(DAYS, pool.map(broken, DAYS.values()), strict=True))
        self.assertThat(found, Equals({name: {} for name in DAYS}))

    def test_drawn_days_hold(self) -> None:
        print("small days of seeds", SEEDS)
        for verdict in hunt([Hunted(seed, small=True) for seed in SEEDS]):
            self.assertThat((verdict.broken, verdict.failed), Equals(({}, "")), str(verdict.hunted))
            # A day that serves nothing would break few rules.
            self.assertThat(verdict.served * 2, GreaterThan(verdict.sent), str(verdict.hunted))

    def test_a_seed_gives_the_same_day_again(self) -> None:
        first, again = hunt([Hunted(1, small=True, only=(0, 1, 2))] * 2)
        self.assertThat(first, Equals(again))
        # Each process hashes names with a secret of its own, so an order taken from a set or a map shows here.
        code = (
            "from hoistsaddle.testbed.emulator.hunt import Hunted, carry_out\n"
            "print(carry_out(Hunted(1, small=True, only=(0, 1, 2))).digest)"
        )
        for secret in ("1", "2"):
            said = subprocess.run(
                [sys.executable, "-c", code],
                env={**os.environ, "PYTHONHASHSEED": secret},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            self.assertThat(said.strip(), Equals(first.digest))


class ArcadePlants(TestCase):
    def test_every_rule_has_a_plant(self) -> None:
        self.assertThat({rule for plant in PLANTS for rule in plant.rules}, Equals(set(RULES)))

    def test_every_plant_is_caught(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = pool.map(rules_missed, range(len(PLANTS)))
            missed = dict(zip((plant.name for plant in PLANTS), found, strict=True))
        self.assertThat(missed, Equals({plant.name: set() for plant in PLANTS}))


class OrdersOfThePlatform(TestCase):
    def test_a_service_named_beside_a_split_is_checked_too(self) -> None:
        """The arcade's seed 52: such an order was acknowledged, though nobody knew the service."""
        samples = adapter("samples")
        told = samples.route(
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
        patch = adapter("config_items").read_call(samples.call(routes=[{**told, "service": "nobody"}])).unwrap()
        state = found_state(mesh="m", voters={}, operators={}, level=LEVEL)
        services = samples.call(services=[samples.service(name=name, revision=1) for name in ("known", "other")])

        def put(state: State, patch: Patch, offset: int) -> tuple[State, Outcome]:
            return items.patch(state, PatchItems("request", "desk", "signer", pack_patch(patch)), offset)

        state, first = put(state, adapter("config_items").read_call(services).unwrap(), 1)
        _, second = put(state, patch, 2)
        self.assertThat((first.mishap, second.mishap), Equals(("", MishapKind.ITEM_BROKEN)))


class Shrinking(TestCase):
    def test_a_failing_day_is_left_with_what_it_needs(self) -> None:
        hunted = next(
            each
            for each in (Hunted(seed) for seed in range(1, 100))
            if sum(isinstance(happening, Kill) for happening in day_of(each).happenings) >= 2
        )
        kills = [place for place, each in enumerate(day_of(hunted).happenings) if isinstance(each, Kill)][:2]

        def run(tried: Hunted) -> Verdict:
            # Only both kills together break the rule.
            bad = set(kills) <= set(tried.only or ())
            return Verdict(tried, 0, 0, "", {"TWICE": ["planted"]} if bad else {})

        first = run(hunted._replace(only=tuple(range(len(draw_day(hunted.seed).happenings)))))
        smaller = make_smaller(first, say=lambda text: None, run=run)
        self.assertThat(smaller.hunted.only, Equals(tuple(kills)))
