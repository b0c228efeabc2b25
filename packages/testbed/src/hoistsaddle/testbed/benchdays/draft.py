"""A day while it is generated: faults, planned work and the final fault, with times in seconds."""

import random
from typing import Any, NamedTuple

from hoistsaddle.testbed.benchdays.site import BenchSite

# Seconds without faults after the start of traffic, and before the final fault.
CALM_START = 1.0
CALM_END = 2.5
# The minimum duration of an event, and the minimum time from its end to the end of the day, in seconds.
MIN_DURATION, MIN_REST = 0.2, 0.5


class DayEntry(NamedTuple):
    """One entry of a day's table: its time, its kind, and the fields of that kind."""

    at: float
    kind: str
    fields: dict[str, Any]


class Draft:
    """One day while it is generated; site, point, seed and number determine the result."""

    def __init__(self, *, site: BenchSite, seed: int, point: str, number: int) -> None:
        self.site = site
        self.point = point
        self.number = number
        self.random = random.Random(f"bench day {point} {seed} {number}")
        self.seed = self.random.randrange(1, 2**28)
        self.plan: list[DayEntry] = []
        self.faults: list[DayEntry] = []
        self.closing: dict[str, Any] | None = None
        self.spares_left = site.spares

    @property
    def last(self) -> float:
        """The latest time at which an event may start."""
        return self.site.length - CALM_END

    def time_between(self, first: float = CALM_START, last: float | None = None) -> float:
        """A random time for an event, from `first` to `last` or the latest possible time."""
        return self.random.uniform(first, max(first, min(last or self.last, self.last)))

    def duration(self, least: float, most: float, *, at: float) -> float:
        """A random duration in seconds for an event at this time, limited so that it ends before the day does."""
        return max(MIN_DURATION, min(self.random.uniform(least, most), self.site.length - at - MIN_REST))

    def pick(self, *choices: Any) -> Any:
        """A random one of the given values."""
        return self.random.choice(choices)

    def chance(self, share: float) -> bool:
        """True with this probability."""
        return self.random.random() < share

    def fault(self, at: float, kind: str, **fields: Any) -> None:
        """Adds a fault."""
        self.faults.append(DayEntry(at, kind, fields))

    def planned(self, at: float, kind: str, **fields: Any) -> None:
        """Adds planned work: changes, stops, restarts."""
        self.plan.append(DayEntry(at, kind, fields))

    def service(self) -> dict[str, str]:
        """A field that names a random service, or no field: then the bench chooses the service by the day's seed."""
        names = self.site.services
        return {"service": self.random.choice(names)} if names and self.chance(0.5) else {}

    def words(self, *optional: tuple[str, float]) -> str:
        """The words of a variant, each included with its own probability."""
        return " ".join(word for word, share in optional if self.chance(share))
