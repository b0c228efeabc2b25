"""Runs the scenario of every failure that docs/brief.md names, in simulated time and under load.

The checkers test the history of each run against every line of "What must never happen" in the brief. The seeds are
fixed here; `hoistsaddle fleet simulate --seeds 1-100` runs more of them.
"""

import os
import subprocess
import sys

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from hoistsaddle.testbed.simulation.catalogue import CORE_SCENARIOS, SCENARIOS
from hoistsaddle.testbed.simulation.runs import Run, carry_out_all

SEEDS = (1, 2, 3)
# Scenarios that leave many requests without an answer.
MANY_UNANSWERED = ("servers_misbehave", "servers_change", "retry_margins_kept", "isolated", "keys_travel")
# These simulate ten minutes or more, so they run with one seed only.
LONG_RUNS = ("replaced_machines_forgotten",)


class SimulatedFailures(TestCase):
    def check(self, runs: list[Run], *, expect_answers: bool = True) -> None:
        print("runs:", *(f"{run.deployment}/{run.scenario}/{run.seed}" for run in runs))
        for outcome in carry_out_all(runs):
            self.assertThat((outcome.broken, outcome.failed), Equals(({}, "")), str(outcome.run))
            if expect_answers:
                # A mesh that rejects every request would also violate no line.
                self.assertThat(outcome.answered * 2, GreaterThan(outcome.asked), str(outcome.run))

    def test_small_deployment(self) -> None:
        names = [name for name in SCENARIOS if name not in MANY_UNANSWERED]
        self.check(
            [Run("thimble", name, seed) for name in names for seed in (SEEDS[:1] if name in LONG_RUNS else SEEDS)]
        )

    def test_misbehaving_servers(self) -> None:
        # A third of the servers loses every answer, so many outcomes are unknown; or a service has no server for
        # seconds, and every request to it is answered at once with that error.
        self.check([Run("thimble", name, seed) for name in MANY_UNANSWERED for seed in SEEDS], expect_answers=False)

    def test_core_machines_alone(self) -> None:
        self.check(
            [
                Run(deployment, name, seed)
                for deployment in ("three", "five")
                for name in CORE_SCENARIOS
                for seed in SEEDS
            ],
            expect_answers=False,
        )

    def test_brindlefield(self) -> None:
        self.check(
            [Run("brindlefield", name, 1) for name in ("disk_wiped", "disks_fail", "servers_change", "anything")]
        )

    def test_kadiri(self) -> None:
        self.check([Run("kadiri", name, 1) for name in ("frozen", "all_processes_killed", "cut_apart", "anything")])

    def test_a_seed_gives_the_same_run_again(self) -> None:
        first, again = carry_out_all([Run("thimble", "anything", 5)] * 2)
        self.assertThat(first, Equals(again))

    def test_a_seed_gives_the_same_run_in_every_process(self) -> None:
        """Guards against an order that depends on the hashes of strings, which differ between processes."""
        code = (
            "from hoistsaddle.testbed.simulation.runs import Run, carry_out\n"
            "print(*(carry_out(Run('brindlefield', name, 1)).digest for name in ('frozen', 'servers_change')))"
        )
        outputs = [
            subprocess.run(
                [sys.executable, "-c", code],
                env={**os.environ, "PYTHONHASHSEED": hash_seed},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for hash_seed in ("1", "2", "3")
        ]
        self.assertThat(set(outputs), Equals({outputs[0]}))
