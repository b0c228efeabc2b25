"""Time as `timedelta`: durations, and timestamps of a monotonic clock."""

import time
from datetime import timedelta

ZERO = timedelta()
MICROSECOND = timedelta(microseconds=1)


def monotonic_now() -> timedelta:
    """The time on this machine's monotonic clock."""
    # CLOCK_MONOTONIC keeps running while the process is stopped, and is not affected by jumps of the wall clock.
    return timedelta(seconds=time.monotonic())


def to_microseconds(span: timedelta) -> int:
    """A duration in whole microseconds, as encoded in messages."""
    return span // MICROSECOND


def from_microseconds(count: int) -> timedelta:
    """The duration of that many microseconds."""
    return timedelta(microseconds=count)


def milliseconds(count: float) -> timedelta:
    """The duration of that many milliseconds."""
    return timedelta(milliseconds=count)
