"""Longer runs of the model check on all processors, and what they came to."""

import os
import time
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from typing import NamedTuple, cast

from hoistsaddle.testbed.modelcheck.exhaustive import SPACES, Explored, explore
from hoistsaddle.testbed.modelcheck.walks import Found, Sum, make_smaller, walk_randomly

# Walks from one seed: few enough that a worker looks at the clock often, many enough to be worth drawing.
WALKS_A_SEED = 40


class Batch(NamedTuple):
    """What the walks from one seed came to."""

    seed: int
    total: Sum
    found: Found | None


def walk_batch(seed: int, until: float) -> Batch:
    """The walks of one seed, and the first break among them made smaller."""
    total, found = walk_randomly(seed=seed, walks=WALKS_A_SEED, until=until)
    return Batch(seed, total, make_smaller(found) if found is not None else None)


def check(*, minutes: float, seed: int, workers: int | None, say: Callable[[str], None]) -> int:
    """Explores every space one step deeper than the tests do, then walks until the time is over; gives the breaks."""
    workers = workers or os.cpu_count() or 1
    until = time.monotonic() + minutes * 60
    total, broken = Sum(), 0
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
                if time.monotonic() < until:
                    walking.add(pool.submit(walk_batch, following, until))
                    following += 1
            exploring -= ended
            walking -= ended
    say(f"seeds {seed}-{following - 1}: {total}")
    say(f"{broken} broken")
    return broken


def _explore(place: int) -> Explored:
    return explore(SPACES[place], depth=SPACES[place].depth + 1)
