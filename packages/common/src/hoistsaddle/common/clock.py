"""Time as timedelta: durations, and timestamps on a monotonic clock."""

import time
from datetime import timedelta

ZERO = timedelta()
MICROSECOND = timedelta(microseconds=1)


def monotonic_now() -> timedelta:
    """The time on this machine's monotonic clock."""
    # CLOCK_MONOTONIC goes on while a process is stopped and never follows wall-clock jumps.
    return timedelta(seconds=time.monotonic())


def to_microseconds(span: timedelta) -> int:
    """A duration in complete microseconds, as it is encoded."""
    return span // MICROSECOND


def from_microseconds(count: int) -> timedelta:
    """The duration of that many microseconds."""
    return timedelta(microseconds=count)


def milliseconds(count: float) -> timedelta:
    """The duration of that many milliseconds."""
    return timedelta(milliseconds=count)
