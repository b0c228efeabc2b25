"""Random days over the emulator: which rules they break, and the failing day made smaller.

A library for drawn tests would shrink the numbers a day is drawn from, and with them everything else, over hundreds of
runs of ten seconds each. Here the day is data, and whole happenings are left out one after the other.
"""

import hashlib
import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day, draw_day
from hoistsaddle.testbed.emulator.emulator import play
from hoistsaddle.testbed.emulator.history import RequestResult, RequestSent

MAX_RUNS = 60


class DayCase(NamedTuple):
    """One day to play: its seed, and which of its happenings to keep; None keeps all."""

    seed: int
    small: bool = False
    only: tuple[int, ...] | None = None


class Verdict(NamedTuple):
    day_case: DayCase
    sent: int
    served: int
    # Of the whole history, so that two runs can be told apart in their last detail.
    digest: str
    broken: dict[str, list[str]]
    failed: str = ""


def day_of(day_case: DayCase) -> Day:
    day = draw_day(day_case.seed, small=day_case.small)
    if day_case.only is None:
        return day
    return day._replace(events=tuple(day.events[place] for place in day_case.only))


def carry_out(day_case: DayCase) -> Verdict:
    day = day_of(day_case)
    try:
        history = play(day).history
    except Exception as problem:
        # One day that can't go on must not hide what the others found.
        return Verdict(day_case, 0, 0, "", {}, f"{type(problem).__name__}: {str(problem)[:600]}")
    broken = {rule: found for rule, found in check(history, day).items() if found}
    served = sum(result.outcome == "answered" and result.status < 300 for result in history.of(RequestResult))
    digest = hashlib.sha256(repr(history.events).encode()).hexdigest()
    return Verdict(day_case, len(history.of(RequestSent)), served, digest, broken)


def hunt(hunts: list[DayCase], *, workers: int | None = None) -> Iterator[Verdict]:
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        yield from pool.map(carry_out, hunts)


def make_smaller(
    verdict: Verdict, *, write_line: Callable[[str], None], run: Callable[[DayCase], Verdict] = carry_out
) -> Verdict:
    """Leaves out whatever the broken rule doesn't need: halves first, then one happening after the other."""
    rules = set(verdict.broken)
    best = verdict
    kept = (
        tuple(range(len(day_of(verdict.day_case).events))) if verdict.day_case.only is None else verdict.day_case.only
    )
    tries, size = 0, max(1, len(kept) // 2)
    while tries < MAX_RUNS:
        place, shrunk = 0, False
        while place < len(kept) and tries < MAX_RUNS:
            fewer = kept[:place] + kept[place + size :]
            tries += 1
            tried = run(verdict.day_case._replace(only=fewer))
            # The same rule: a smaller day that breaks another one is another find.
            if rules & set(tried.broken):
                kept, best, shrunk = fewer, tried, True
                write_line(f"  {len(kept)} happenings left after {tries} runs")
            else:
                place += size
        if size == 1 and not shrunk:
            break
        size = max(1, size // 2)
    return best
