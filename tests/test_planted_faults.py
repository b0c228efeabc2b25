"""Each checker is seen to fail: a fault planted in the code must be caught by the line it breaks."""

import os
import sys
import warnings
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.testbed.checkers import CHECKERS, check
from hoistsaddle.testbed.deployments import DEPLOYMENTS
from hoistsaddle.testbed.simulation.deployment import simulate

sys.path.insert(0, str(Path(__file__).parent))
from plants import PLANTS  # noqa: E402


def caught(place: int) -> bool | str:
    plant = PLANTS[place]
    warnings.simplefilter("ignore", RuntimeWarning)
    for seed in plant.seeds:
        try:
            with plant.patch():
                whole = simulate(deployment=DEPLOYMENTS[plant.deployment], seed=seed, scenario=plant.scenario)
        except Exception as problem:
            # A run that can't go on shows the fault, but not that its checker sees it.
            return f"{type(problem).__name__}: {str(problem)[:300]}"
        if check(whole.history, whole.deployment)[plant.line]:
            return True
    return False


class PlantedFaults(TestCase):
    def test_every_line_has_a_plant(self) -> None:
        self.assertThat({plant.line for plant in PLANTS}, Equals(set(CHECKERS)))

    def test_every_plant_is_caught(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            found = dict(zip((plant.name for plant in PLANTS), pool.map(caught, range(len(PLANTS))), strict=True))
        self.assertThat(dict.fromkeys(found, True), Equals(found))
