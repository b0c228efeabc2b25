"""Counters come first: what happened is counted, and only changes of state become log lines."""

import threading
from collections import defaultdict, deque
from datetime import UTC, datetime
from typing import NamedTuple

from loguru import logger


class Event(NamedTuple):
    number: int
    timestamp: datetime
    kind: str
    detail: dict


class Counters:
    def __init__(self, *, owner: str, keep: int = 2000) -> None:
        self.owner = owner
        self._counts: defaultdict[str, float] = defaultdict(float)
        self._gauges: dict[str, float] = {}
        self._lock = threading.Lock()
        self._events: deque[Event] = deque(maxlen=keep)
        self._number = 0

    def add(self, name: str, amount: float = 1) -> None:
        # The store's disk thread counts too, hence the short lock.
        with self._lock:
            self._counts[name] += amount

    def gauge(self, name: str, value: float) -> None:
        with self._lock:
            self._gauges[name] = value

    def record_event(self, kind: str, **detail) -> None:
        """A change of state: counted, kept for `hoistsaddle watch`, and one log line."""
        with self._lock:
            self._number += 1
            self._counts[f"happening.{kind}"] += 1
            self._events.append(Event(self._number, datetime.now(UTC), kind, detail))
        logger.info("{} {} {}", self.owner, kind, detail)

    def events(self, *, after: int) -> dict:
        with self._lock:
            told = [
                {
                    "number": each.number,
                    "moment": each.timestamp.isoformat(),
                    "owner": self.owner,
                    "kind": each.kind,
                    "detail": each.detail,
                }
                for each in self._events
                if each.number > after
            ]
            return {"newest": self._number, "happenings": told}

    def read(self) -> dict:
        with self._lock:
            return {
                "owner": self.owner,
                "counts": dict(sorted(self._counts.items())),
                "gauges": dict(sorted(self._gauges.items())),
            }
