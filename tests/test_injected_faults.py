"""Tests the checkers: each fault that is injected into the code must be caught by the checker of the line it breaks."""

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
from injected_faults import INJECTED_FAULTS  # noqa: E402


def is_caught(index: int) -> bool | str:
    injected_fault = INJECTED_FAULTS[index]
    warnings.simplefilter("ignore", RuntimeWarning)
    for seed in injected_fault.seeds:
        try:
            with injected_fault.patch():
                simulation = simulate(
                    deployment=DEPLOYMENTS[injected_fault.deployment], seed=seed, scenario=injected_fault.scenario
                )
        except Exception as error:
            # A run that ends with an error reveals the fault, but doesn't show that the checker detects it.
            return f"{type(error).__name__}: {str(error)[:300]}"
        if check(simulation.history, simulation.deployment)[injected_fault.line]:
            return True
    return False


class InjectedFaults(TestCase):
    def test_every_line_has_an_injected_fault(self) -> None:
        self.assertThat({injected_fault.line for injected_fault in INJECTED_FAULTS}, Equals(set(CHECKERS)))

    def test_every_injected_fault_is_caught(self) -> None:
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            caught = dict(
                zip(
                    (injected_fault.name for injected_fault in INJECTED_FAULTS),
                    pool.map(is_caught, range(len(INJECTED_FAULTS))),
                    strict=True,
                )
            )
        self.assertThat(dict.fromkeys(caught, True), Equals(caught))
