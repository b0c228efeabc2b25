"""Runs scenarios with many seeds in parallel processes; the outcome of a run does not depend on its process."""

import hashlib
import os
import warnings
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from hoistsaddle.testbed.checkers import check, worst_retry_window
from hoistsaddle.testbed.deployments import DEPLOYMENTS
from hoistsaddle.testbed.history import RequestResult
from hoistsaddle.testbed.simulation.catalogue import find_scenario
from hoistsaddle.testbed.simulation.deployment import simulate


class Run(NamedTuple):
    """One scenario on one deployment with one seed."""

    deployment: str
    scenario: str
    seed: int


class Outcome(NamedTuple):
    """The outcome of a run.

    Attributes:
        run: the run.
        asked: how many requests were sent.
        answered: how many of them were answered.
        retry_share: the largest share of the allowed retries that any ten seconds used.
        digest: the digest of the whole history, which differs if two runs differ in any detail.
        broken: the violations of each rule of the checkers.
        failed: the error that ended the run early; empty for a complete run.
    """

    run: Run
    asked: int
    answered: int
    retry_share: float
    digest: str
    broken: dict[str, list[str]]
    failed: str = ""


MAX_ERROR_CHARACTERS = 600


def carry_out(run: Run) -> Outcome:
    """Carries out one run and checks its history.

    Raises:
        KeyError: no scenario has this name.
    """
    scenario = find_scenario(run.scenario)
    if scenario is None:
        raise KeyError(run.scenario)
    deployment = DEPLOYMENTS[run.deployment]
    with warnings.catch_warnings():
        # Killed processes leave coroutines behind that are never awaited.
        warnings.simplefilter("ignore", RuntimeWarning)
        simulation = simulate(deployment=deployment, seed=run.seed, scenario=scenario)
    history = simulation.history
    results = history.of(RequestResult)
    retry_share = worst_retry_window(history, deployment)[0] if deployment.services else 0.0
    return Outcome(
        run=run,
        asked=len(results),
        answered=sum(result.outcome == "answered" for result in results),
        retry_share=round(retry_share, 3),
        digest=hashlib.sha256(repr(history.events).encode()).hexdigest(),
        broken={rule: violations for rule, violations in check(history, deployment).items() if violations},
    )


def _carry_out_or_report(run: Run) -> Outcome:
    """Carries out one run; an exception becomes part of the outcome, so that the other runs are still reported."""
    try:
        return carry_out(run)
    except Exception as error:
        return Outcome(run, 0, 0, 0.0, "", {}, f"{type(error).__name__}: {str(error)[:MAX_ERROR_CHARACTERS]}")


def carry_out_all(runs: list[Run], *, workers: int | None = None) -> list[Outcome]:
    """Carries out runs in parallel, by default with one process per processor; outcomes have the order of the runs."""
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        return list(pool.map(_carry_out_or_report, runs))
