"""Longer runs of the model check on all processors, with a report of their results."""

import os
import time
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from datetime import timedelta
from typing import NamedTuple, cast

from hoistsaddle.testbed.modelcheck.exhaustive import ExplorationResult, explore
from hoistsaddle.testbed.modelcheck.loss_sequences import SequenceCounterexample, draw_loss_sequences
from hoistsaddle.testbed.modelcheck.pending_requests import REQUEST_SPACES, RequestExploration, explore_requests
from hoistsaddle.testbed.modelcheck.spaces import SPACES
from hoistsaddle.testbed.modelcheck.walks import Counterexample, WalkTotals, minimize, walk_randomly

# Walks from one seed: few enough that workers check the time often, many enough to outweigh the cost of a job.
WALKS_PER_SEED = 40
# Loss sequences from one seed, and the settling time that each loss must meet: the platform's shortest.
SEQUENCES_PER_SEED = 4
SETTLE_TIMEOUT = timedelta(seconds=4)


class Batch(NamedTuple):
    """The results of the walks and loss sequences of one seed."""

    seed: int
    total: WalkTotals
    found: Counterexample | None
    # The settling time of each loss, and a sequence in which a loss didn't settle.
    settle_times: list[timedelta]
    unsettled: SequenceCounterexample | None


def walk_batch(seed: int, until: float) -> Batch:
    """Plays the walks and loss sequences of one seed, and minimizes the first walk that violates a rule."""
    total, found = walk_randomly(seed=seed, walks=WALKS_PER_SEED, until=until)
    settle_times, unsettled = draw_loss_sequences(seed=seed, runs=SEQUENCES_PER_SEED, settle=SETTLE_TIMEOUT)
    return Batch(seed, total, minimize(found) if found is not None else None, settle_times, unsettled)


def format_durations(durations: list[timedelta]) -> str:
    """The count, median, 95th percentile and maximum, in seconds."""
    if not durations:
        return "none"
    ordered = sorted(duration.total_seconds() for duration in durations)
    median, high = ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.95)]
    return f"{len(ordered)}, median {median:.2f} s, 95th percentile {high:.2f} s, longest {ordered[-1]:.2f} s"


def check(*, minutes: float, seed: int, workers: int | None, write_line: Callable[[str], None]) -> int:
    """Explores every space one step deeper than the tests do, and plays walks until the time is over.

    Args:
        minutes: how long to start new batches of walks.
        seed: the first seed.
        workers: the number of worker processes; one for each processor by default.
        write_line: is called with each line of the report.

    Returns:
        The number of violations found.
    """
    workers = workers or os.cpu_count() or 1
    until = time.monotonic() + minutes * 60
    total, broken = WalkTotals(), 0
    settle_times: list[timedelta] = []
    with ProcessPoolExecutor(workers) as pool:
        exploring: set[Future] = {pool.submit(_explore, index) for index in range(len(SPACES))}
        exploring |= {pool.submit(_explore_requests, index) for index in range(len(REQUEST_SPACES))}
        walking = {pool.submit(walk_batch, seed + number, until) for number in range(workers)}
        next_seed = seed + workers
        while exploring or walking:
            ended, _ = wait(exploring | walking, return_when=FIRST_COMPLETED)
            for exploration in ended & exploring:
                explored = cast(Future[ExplorationResult | RequestExploration], exploration).result()
                write_line(str(explored))
                broken += bool(explored.broken)
            for finished in ended & walking:
                batch = cast(Future[Batch], finished).result()
                total = total.merged_with(batch.total)
                if batch.found is not None:
                    broken += 1
                    write_line(
                        f"BROKEN seed {batch.seed}: {batch.found.description} (smallest walk: {batch.found.script})"
                    )
                settle_times += batch.settle_times
                if batch.unsettled is not None:
                    broken += 1
                    write_line(
                        f"BROKEN seed {batch.seed}: {batch.unsettled.description} (run: {batch.unsettled.sequence})"
                    )
                if time.monotonic() < until:
                    walking.add(pool.submit(walk_batch, next_seed, until))
                    next_seed += 1
            exploring -= ended
            walking -= ended
    write_line(f"seeds {seed}-{next_seed - 1}: {total}")
    write_line(f"losses in sequence, settled: {format_durations(settle_times)}")
    write_line(f"{broken} broken")
    return broken


def _explore(index: int) -> ExplorationResult:
    return explore(SPACES[index], depth=SPACES[index].depth + 1)


def _explore_requests(index: int) -> RequestExploration:
    return explore_requests(REQUEST_SPACES[index], depth=REQUEST_SPACES[index].depth + 1)
