"""Many seeds of many scenarios, spread over the machine's cores; each run is the same wherever it lands."""

import hashlib
import os
import warnings
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from hoistsaddle.testbed.checkers import check, worst_retry_window
from hoistsaddle.testbed.deployments import DEPLOYMENTS
from hoistsaddle.testbed.history import RequestResult
from hoistsaddle.testbed.simulation.catalogue import CORE_SCENARIOS, SCENARIOS
from hoistsaddle.testbed.simulation.deployment import simulate


class Run(NamedTuple):
    deployment: str
    scenario: str
    seed: int


class Outcome(NamedTuple):
    run: Run
    asked: int
    answered: int
    # The part of the further sends allowed that the fullest ten seconds used.
    retry_share: float
    # Of the whole history, so that two runs can be told apart in their last detail.
    digest: str
    broken: dict[str, list[str]]
    # What stopped the run before its end; empty for one that came through.
    failed: str = ""


def carry_out(run: Run) -> Outcome:
    with warnings.catch_warnings():
        # Killed lives leave coroutines behind that nobody will ever await.
        warnings.simplefilter("ignore", RuntimeWarning)
        scenario = {**SCENARIOS, **CORE_SCENARIOS}[run.scenario]
        simulation = simulate(deployment=DEPLOYMENTS[run.deployment], seed=run.seed, scenario=scenario)
    response = simulation.history.of(RequestResult)
    broken = {line: found for line, found in check(simulation.history, simulation.deployment).items() if found}
    retry_share = (
        worst_retry_window(simulation.history, simulation.deployment)[0] if simulation.deployment.services else 0.0
    )
    digest = hashlib.sha256(repr(simulation.history.events).encode()).hexdigest()
    return Outcome(
        run, len(response), sum(each.outcome == "answered" for each in response), round(retry_share, 3), digest, broken
    )


def carry_out_or_tell(run: Run) -> Outcome:
    try:
        return carry_out(run)
    except Exception as problem:
        # One run that can't go on must not hide what the others found.
        return Outcome(run, 0, 0, 0.0, "", {}, f"{type(problem).__name__}: {str(problem)[:600]}")


def carry_out_all(runs: list[Run], *, workers: int | None = None) -> list[Outcome]:
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        return list(pool.map(carry_out_or_tell, runs))
