"""Counters, gauges and events of a process: each is counted, and only changes of state become log lines."""

import threading
from collections import defaultdict, deque
from datetime import UTC, datetime
from typing import NamedTuple

from loguru import logger

EVENTS_KEPT = 2000


class Event(NamedTuple):
    """A change of state, numbered from one since the process started; the timestamp is for people to read."""

    number: int
    timestamp: datetime
    kind: str
    detail: dict


class Counters:
    """The counters of one process, under its name. Every thread may use them."""

    def __init__(self, *, owner: str, keep: int = EVENTS_KEPT) -> None:
        """Counts for `owner` and keeps its last `keep` events."""
        self.owner = owner
        self._counts: defaultdict[str, float] = defaultdict(float)
        self._gauges: dict[str, float] = {}
        # The store's disk thread counts too.
        self._lock = threading.Lock()
        self._events: deque[Event] = deque(maxlen=keep)
        self._number = 0

    def add(self, name: str, amount: float = 1) -> None:
        """Adds to a count."""
        with self._lock:
            self._counts[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        with self._lock:
            self._gauges[name] = value

    def record_event(self, kind: str, **detail) -> None:
        """Notes a change of state: counted, kept for `hoistsaddle watch`, and one log line.

        Args:
            kind: The event's name; it and the details' names are part of the operators' interface.
            detail: What the event is about, as JSON takes it.
        """
        with self._lock:
            self._number += 1
            self._counts[f"happening.{kind}"] += 1
            self._events.append(Event(self._number, datetime.now(UTC), kind, detail))
        logger.info("{} {} {}", self.owner, kind, detail)

    def events(self, *, after: int) -> dict:
        """The kept events above a number, and the newest number, as the operators' interface shows them."""
        with self._lock:
            shown = [self._describe(event) for event in self._events if event.number > after]
            return {"newest": self._number, "happenings": shown}

    def _describe(self, event: Event) -> dict:
        return {
            "number": event.number,
            "moment": event.timestamp.isoformat(),
            "owner": self.owner,
            "kind": event.kind,
            "detail": event.detail,
        }

    def read(self) -> dict:
        """All counts and gauges, sorted by name."""
        with self._lock:
            return {
                "owner": self.owner,
                "counts": dict(sorted(self._counts.items())),
                "gauges": dict(sorted(self._gauges.items())),
            }
