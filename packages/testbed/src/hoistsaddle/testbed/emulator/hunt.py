"""Random days of the emulator: which rules they break, and failing days made smaller.

A library for property tests would shrink the numbers a day is drawn from, and with them everything else, over hundreds
of runs of ten seconds each. Here the day is data, and complete events are left out one after the other.
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

# Runs that making one day smaller may take.
MAX_RUNS = 60


class DayCase(NamedTuple):
    """One day to play: its seed, and which of its events to keep by position; None keeps all."""

    seed: int
    small: bool = False
    only: tuple[int, ...] | None = None


class Verdict(NamedTuple):
    """What a day showed: requests, violations by rule, and why it could not be played, if so."""

    day_case: DayCase
    sent: int
    served: int
    # Of the whole history, so that two runs can be told apart in their last detail.
    digest: str
    broken: dict[str, list[str]]
    failed: str = ""


def day_of(day_case: DayCase) -> Day:
    """The day that a case stands for."""
    day = draw_day(day_case.seed, small=day_case.small)
    if day_case.only is None:
        return day
    return day._replace(events=tuple(day.events[position] for position in day_case.only))


def carry_out(day_case: DayCase) -> Verdict:
    """Plays and checks one day; whatever it raises goes into the verdict."""
    day = day_of(day_case)
    try:
        history = play(day).history
    except Exception as error:
        # One day that can't go on must not hide what the others found.
        return Verdict(day_case, 0, 0, "", {}, f"{type(error).__name__}: {str(error)[:600]}")
    broken = {rule: found for rule, found in check(history, day).items() if found}
    served = sum(result.outcome == "answered" and result.status < 300 for result in history.of(RequestResult))
    digest = hashlib.sha256(repr(history.events).encode()).hexdigest()
    return Verdict(day_case, len(history.of(RequestSent)), served, digest, broken)


def hunt(cases: list[DayCase], *, workers: int | None = None) -> Iterator[Verdict]:
    """Plays all days, several at once; verdicts come in the order of the cases."""
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        yield from pool.map(carry_out, cases)


def make_smaller(
    verdict: Verdict, *, write_line: Callable[[str], None], run: Callable[[DayCase], Verdict] = carry_out
) -> Verdict:
    """Leaves out the events that the broken rule doesn't need: halves first, then one after the other."""
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
            # The same rule: a smaller day that breaks another one is another finding.
            if rules & set(smaller.broken):
                kept, best, shrunk = fewer, smaller, True
                write_line(f"  {len(kept)} events left after {runs} runs")
            else:
                position += size
        if size == 1 and not shrunk:
            break
        size = max(1, size // 2)
    return best
