"""A day as it is drawn: troubles, planned work and the closing fault, each at its moment."""

import random
from typing import Any, NamedTuple

from hoistsaddle.testbed.benchdays.site import BenchSite

# Traffic begins calmly, and a day's last seconds belong to the closing fault.
CALM_START = 1.0
CALM_END = 2.5


class DayEntry(NamedTuple):
    """One entry of a day: its moment, its kind, and the fields that fit the kind."""

    at: float
    kind: str
    fields: dict[str, Any]


class Draft:
    """One day while it is drawn. The seed alone decides what it becomes."""

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
        return self.site.length - CALM_END

    def time_between(self, first: float = CALM_START, last: float | None = None) -> float:
        return self.random.uniform(first, max(first, min(last or self.last, self.last)))

    def duration(self, least: float, most: float, *, at: float) -> float:
        """A length that ends before the day does."""
        return max(0.2, min(self.random.uniform(least, most), self.site.length - at - 0.5))

    def pick(self, *choices: Any) -> Any:
        return self.random.choice(choices)

    def chance(self, share: float) -> bool:
        return self.random.random() < share

    def fault(self, at: float, kind: str, **fields: Any) -> None:
        self.faults.append(DayEntry(at, kind, fields))

    def planned(self, at: float, kind: str, **fields: Any) -> None:
        self.plan.append(DayEntry(at, kind, fields))

    def service(self) -> dict[str, str]:
        """One service by name, or nothing: then the day's own seed picks."""
        names = self.site.services
        return {"service": self.random.choice(names)} if names and self.chance(0.5) else {}

    def words(self, *optional: tuple[str, float]) -> str:
        """The words of a variant, each with its own chance."""
        return " ".join(word for word, share in optional if self.chance(share))
