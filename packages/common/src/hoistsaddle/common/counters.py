"""Counters, gauges and events of a process. Only changes of state are recorded as events and logged."""

import threading
from collections import defaultdict, deque
from datetime import UTC, datetime
from typing import NamedTuple

from loguru import logger

MAX_EVENTS = 2000


class Event(NamedTuple):
    """A change of state, numbered from 1 since the process started; the wall-clock timestamp is only for display."""

    number: int
    timestamp: datetime
    kind: str
    detail: dict


class Counters:
    """The counters of one process, labelled with its name; thread-safe."""

    def __init__(self, *, owner: str, keep: int = MAX_EVENTS) -> None:
        """Starts without counts for the process `owner`; the last `keep` events are kept."""
        self.owner = owner
        self._counts: defaultdict[str, float] = defaultdict(float)
        self._gauges: dict[str, float] = {}
        # The store's disk thread also updates counters.
        self._lock = threading.Lock()
        self._events: deque[Event] = deque(maxlen=keep)
        self._number = 0

    def add(self, name: str, amount: float = 1) -> None:
        """Adds to a counter."""
        with self._lock:
            self._counts[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        with self._lock:
            self._gauges[name] = value

    def record_event(self, kind: str, **detail) -> None:
        """Records a change of state: it is counted, kept for `hoistsaddle watch`, and logged.

        Args:
            kind: The event's name; it and the names of the details are part of the operators' API.
            detail: The details of the event, as values that JSON can encode.
        """
        with self._lock:
            self._number += 1
            self._counts[f"happening.{kind}"] += 1
            self._events.append(Event(self._number, datetime.now(UTC), kind, detail))
        logger.info("{} {} {}", self.owner, kind, detail)

    def events(self, *, after: int) -> dict:
        """The kept events after a number, and the newest event's number, in the form of the operators' API."""
        with self._lock:
            selected = [self._describe(event) for event in self._events if event.number > after]
            return {"newest": self._number, "happenings": selected}

    def _describe(self, event: Event) -> dict:
        return {
            "number": event.number,
            "moment": event.timestamp.isoformat(),
            "owner": self.owner,
            "kind": event.kind,
            "detail": event.detail,
        }

    def read(self) -> dict:
        """All counters and gauges, sorted by name."""
        with self._lock:
            return {
                "owner": self.owner,
                "counts": dict(sorted(self._counts.items())),
                "gauges": dict(sorted(self._gauges.items())),
            }
