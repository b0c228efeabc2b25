"""Plays random days, reports the rules that they break, and shrinks failing days.

A property-testing library would shrink the random numbers behind a day, which changes everything drawn after them and
would take hundreds of runs of ten seconds each. Here a day is plain data, and whole events are left out.
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

# Maximum number of runs for shrinking one day.
MAX_RUNS = 60


class DayCase(NamedTuple):
    """One day to play: its seed, and the positions of the events to keep; None keeps all."""

    seed: int
    small: bool = False
    only: tuple[int, ...] | None = None


class Verdict(NamedTuple):
    """The result of a day: requests, violations by rule, and the error if it could not be played."""

    day_case: DayCase
    sent: int
    served: int
    # Of the whole history, so that any difference between two runs shows.
    digest: str
    broken: dict[str, list[str]]
    failed: str = ""


def day_of(day_case: DayCase) -> Day:
    """The day of a case, with the events to keep."""
    day = draw_day(day_case.seed, small=day_case.small)
    if day_case.only is None:
        return day
    return day._replace(events=tuple(day.events[position] for position in day_case.only))


def carry_out(day_case: DayCase) -> Verdict:
    """Plays and checks one day; an exception becomes part of the verdict."""
    day = day_of(day_case)
    try:
        history = play(day).history
    except Exception as error:
        # One day that raises must not hide the results of the others.
        return Verdict(day_case, 0, 0, "", {}, f"{type(error).__name__}: {str(error)[:600]}")
    broken = {rule: found for rule, found in check(history, day).items() if found}
    served = sum(result.outcome == "answered" and result.status < 300 for result in history.of(RequestResult))
    digest = hashlib.sha256(repr(history.events).encode()).hexdigest()
    return Verdict(day_case, len(history.of(RequestSent)), served, digest, broken)


def hunt(cases: list[DayCase], *, workers: int | None = None) -> Iterator[Verdict]:
    """Plays all days in parallel; yields the verdicts in the order of the cases."""
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        yield from pool.map(carry_out, cases)


def make_smaller(
    verdict: Verdict, *, write_line: Callable[[str], None], run: Callable[[DayCase], Verdict] = carry_out
) -> Verdict:
    """Shrinks a failing day by leaving out events that the violation doesn't need: halves first, then single events."""
    rules = set(verdict.broken)
    best = verdict
    kept = (
        tuple(range(len(day_of(verdict.day_case).events))) if verdict.day_case.only is None else verdict.day_case.only
    )
    runs, size = 0, max(1, len(kept) // 2)
    while runs < MAX_RUNS:
        position, shrunk = 0, False
        while position < len(kept) and runs < MAX_RUNS:
            fewer = kept[:position] + kept[position + size :]
            runs += 1
            smaller = run(verdict.day_case._replace(only=fewer))
            # Only the same rules count: a smaller day that breaks another rule shows a different failure.
            if rules & set(smaller.broken):
                kept, best, shrunk = fewer, smaller, True
                write_line(f"  {len(kept)} events left after {runs} runs")
            else:
                position += size
        if size == 1 and not shrunk:
            break
        size = max(1, size // 2)
    return best
