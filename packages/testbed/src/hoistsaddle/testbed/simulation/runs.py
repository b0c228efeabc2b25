"""Many seeds of many scenarios, spread over the machine's cores; each run is the same wherever it lands."""

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
    """One scenario on one deployment from one seed."""

    deployment: str
    scenario: str
    seed: int


class Outcome(NamedTuple):
    """What a run came to.

    Attributes:
        run: which run it was.
        asked: how many requests were sent.
        answered: how many of them were answered.
        retry_share: the part of the retries allowed that the fullest ten seconds used.
        digest: of the whole history, so that two runs can be told apart in their last detail.
        broken: what broke each rule of the checkers.
        failed: what stopped the run before its end; empty for one that came through.
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
    """Does one run and checks its history.

    Raises:
        KeyError: there is no scenario of this name.
    """
    scenario = find_scenario(run.scenario)
    if scenario is None:
        raise KeyError(run.scenario)
    deployment = DEPLOYMENTS[run.deployment]
    with warnings.catch_warnings():
        # Killed processes leave coroutines behind that nobody will ever await.
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
        broken={rule: found for rule, found in check(history, deployment).items() if found},
    )


def _carry_out_or_report(run: Run) -> Outcome:
    """Does one run; an exception is reported in the outcome, so that it doesn't hide what the other runs found."""
    try:
        return carry_out(run)
    except Exception as error:
        return Outcome(run, 0, 0, 0.0, "", {}, f"{type(error).__name__}: {str(error)[:MAX_ERROR_CHARACTERS]}")


def carry_out_all(runs: list[Run], *, workers: int | None = None) -> list[Outcome]:
    """Does many runs on so many processes, by default one for each processor; outcomes come in the runs' order."""
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        return list(pool.map(_carry_out_or_report, runs))
