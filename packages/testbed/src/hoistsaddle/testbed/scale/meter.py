"""Figures of a scale run: counts, and processor time measured in several rounds."""

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
    # The maximum over the rounds; equal to the value for a count.
    most: float


class Meter:
    """Collects the figures of one slope; processor time is measured in `rounds` rounds."""

    def __init__(self, *, slope: str, rounds: int) -> None:
        self.slope = slope
        self.rounds = rounds
        self.figures: list[Measured] = []

    def count(self, point: float, what: str, unit: str, value: float) -> None:
        """Adds a figure that is the same in every round."""
        self.figures.append(Measured(self.slope, point, what, unit, value, value))

    def measure_time(
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
            point: the point of the slope.
            what: the name of the figure.
            work: the function to measure; it receives the result of `prepare`, if that is given.
            times: the number of calls in a round; the figure is their mean.
            prepare: called before each round, outside the measurement.

        Returns:
            The result of the last call of `work`.
        """
        milliseconds = []
        for _ in range(self.rounds):
            arguments = () if prepare is None else (prepare(),)
            began = time.process_time()
            for _ in range(times):
                result = work(*arguments)
            milliseconds.append((time.process_time() - began) * 1000 / times)
        self.figures.append(Measured(self.slope, point, what, "ms", min(milliseconds), max(milliseconds)))
        return result


def memory_of(make: Callable[[], Any]) -> int:
    """The memory, in bytes, of the object that `make` creates."""
    tracemalloc.start()
    created = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return size
