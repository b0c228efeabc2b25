"""Figures of a scale run: counts, and processor time taken over several rounds."""

import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple


class Measured(NamedTuple):
    """One figure at one point of one slope."""

    slope: str
    point: float
    what: str
    unit: str
    value: float
    # The largest of the rounds; the same as the value where it is a count.
    most: float


class Meter:
    """Collects the figures of one slope; processor time is taken over so many rounds."""

    def __init__(self, *, slope: str, rounds: int) -> None:
        self.slope = slope
        self.rounds = rounds
        self.found: list[Measured] = []

    def count(self, point: float, what: str, unit: str, value: float) -> None:
        """Adds a figure that comes out the same each time."""
        self.found.append(Measured(self.slope, point, what, unit, value, value))

    def spend(
        self,
        point: float,
        what: str,
        work: Callable[..., Any],
        *,
        times: int = 1,
        prepare: Callable[[], Any] | None = None,
    ) -> Any:
        """Measures this process's processor time for some work, in milliseconds.

        Args:
            point: of the slope.
            what: the figure's name.
            work: what is measured; it gets what `prepare` returned, if that is given.
            times: how often the work is done in a round; the figure is the mean.
            prepare: done before each round, not measured.

        Returns:
            What the work returned last.
        """
        milliseconds = []
        for _ in range(self.rounds):
            arguments = () if prepare is None else (prepare(),)
            began = time.process_time()
            for _ in range(times):
                result = work(*arguments)
            milliseconds.append((time.process_time() - began) * 1000 / times)
        self.found.append(Measured(self.slope, point, what, "ms", min(milliseconds), max(milliseconds)))
        return result


def memory_of(make: Callable[[], Any]) -> int:
    """The bytes of memory of what `make` returns."""
    tracemalloc.start()
    made = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return size
