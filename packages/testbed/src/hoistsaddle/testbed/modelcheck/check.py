"""Longer runs of the model check on all processors, and what they came to."""

import os
import time
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from datetime import timedelta
from typing import NamedTuple, cast

from hoistsaddle.testbed.modelcheck.exhaustive import SPACES, Explored, explore
from hoistsaddle.testbed.modelcheck.turns import TurnsFound, losses_in_turn
from hoistsaddle.testbed.modelcheck.walks import Found, Sum, make_smaller, walk_randomly

# Walks from one seed: few enough that a worker looks at the clock often, many enough to be worth drawing.
WALKS_A_SEED = 40


# Runs of losses one after the other from one seed, and the settling span they are judged by: the platform's shortest.
TURNS_A_SEED = 4
SETTLE = timedelta(seconds=4)


class Batch(NamedTuple):
    """What the walks from one seed came to."""

    seed: int
    total: Sum
    found: Found | None
    # How long each loss took to settle, and the run in which one didn't.
    spans: list[timedelta]
    unsettled: TurnsFound | None


def walk_batch(seed: int, until: float) -> Batch:
    """The walks and losses of one seed, and the first break among the walks made smaller."""
    total, found = walk_randomly(seed=seed, walks=WALKS_A_SEED, until=until)
    spans, unsettled = losses_in_turn(seed=seed, runs=TURNS_A_SEED, settle=SETTLE)
    return Batch(seed, total, make_smaller(found) if found is not None else None, spans, unsettled)


def told_spans(spans: list[timedelta]) -> str:
    """Median, 95th of 100 and longest, in seconds."""
    if not spans:
        return "none"
    ordered = sorted(span.total_seconds() for span in spans)
    middle, late = ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.95)]
    return f"{len(ordered)}, median {middle:.2f} s, 95th of 100 {late:.2f} s, longest {ordered[-1]:.2f} s"


def check(*, minutes: float, seed: int, workers: int | None, say: Callable[[str], None]) -> int:
    """Explores every space one step deeper than the tests do, then walks until the time is over; gives the breaks."""
    workers = workers or os.cpu_count() or 1
    until = time.monotonic() + minutes * 60
    total, broken = Sum(), 0
    spans: list[timedelta] = []
    with ProcessPoolExecutor(workers) as pool:
        exploring = {pool.submit(_explore, place) for place in range(len(SPACES))}
        walking = {pool.submit(walk_batch, seed + number, until) for number in range(workers)}
        following = seed + workers
        while exploring or walking:
            ended, _ = wait(exploring | walking, return_when=FIRST_COMPLETED)
            for space in ended & exploring:
                explored = cast(Future[Explored], space).result()
                say(str(explored))
                broken += bool(explored.broken)
            for walked in ended & walking:
                batch = cast(Future[Batch], walked).result()
                total = total.with_sum(batch.total)
                if batch.found is not None:
                    broken += 1
                    say(f"BROKEN seed {batch.seed}: {batch.found.told} (smallest walk: {batch.found.script})")
                spans += batch.spans
                if batch.unsettled is not None:
                    broken += 1
                    say(f"BROKEN seed {batch.seed}: {batch.unsettled.told} (run: {batch.unsettled.turns})")
                if time.monotonic() < until:
                    walking.add(pool.submit(walk_batch, following, until))
                    following += 1
            exploring -= ended
            walking -= ended
    say(f"seeds {seed}-{following - 1}: {total}")
    say(f"losses one after the other, settled: {told_spans(spans)}")
    say(f"{broken} broken")
    return broken


def _explore(place: int) -> Explored:
    return explore(SPACES[place], depth=SPACES[place].depth + 1)
