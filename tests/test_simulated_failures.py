"""Every failure that docs/brief.md names, in simulated time under load; every line of "What must never happen" checked.

The seeds are fixed here; a longer run takes more of them: `hoistsaddle fleet simulate --seeds 1-100`.
"""

import os
import subprocess
import sys

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from hoistsaddle.testbed.simulation.catalogue import CORE_SCENARIOS, SCENARIOS
from hoistsaddle.testbed.simulation.runs import Run, carry_out_all

SEEDS = (1, 2, 3)
NO_SERVICE = ("servers_misbehave", "servers_change", "retry_margins_kept", "isolated", "keys_travel")
# Ten minutes and more of simulated time: one seed is enough here.
LONG = ("replaced_machines_forgotten",)


class SimulatedFailures(TestCase):
    def check(self, runs: list[Run], *, answers: bool = True) -> None:
        print("runs:", *(f"{run.deployment}/{run.scenario}/{run.seed}" for run in runs))
        for outcome in carry_out_all(runs):
            self.assertThat((outcome.broken, outcome.failed), Equals(({}, "")), str(outcome.run))
            if answers:
                # A mesh that refuses everything would break no line either.
                self.assertThat(outcome.answered * 2, GreaterThan(outcome.asked), str(outcome.run))

    def test_small_deployment(self) -> None:
        names = [name for name in SCENARIOS if name not in NO_SERVICE]
        self.check([Run("thimble", name, seed) for name in names for seed in (SEEDS[:1] if name in LONG else SEEDS)])

    def test_misbehaving_servers(self) -> None:
        # A third of the servers loses every answer here, so many outcomes are truly unknown; or a service has no
        # server for seconds, and whoever asks is told so at once, as often as it asks.
        self.check([Run("thimble", name, seed) for name in NO_SERVICE for seed in SEEDS], answers=False)

    def test_core_machines_alone(self) -> None:
        self.check(
            [
                Run(deployment, name, seed)
                for deployment in ("three", "five")
                for name in CORE_SCENARIOS
                for seed in SEEDS
            ],
            answers=False,
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
        """Each process hashes names with a secret of its own, so an order taken from a set or a map shows here."""
        code = (
            "from hoistsaddle.testbed.simulation.runs import Run, carry_out\n"
            "print(*(carry_out(Run('brindlefield', name, 1)).digest for name in ('frozen', 'servers_change')))"
        )
        said = [
            subprocess.run(
                [sys.executable, "-c", code],
                env={**os.environ, "PYTHONHASHSEED": secret},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for secret in ("1", "2", "3")
        ]
        self.assertThat(set(said), Equals({said[0]}))
