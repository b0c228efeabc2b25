"""Time as the standard library knows it: moments and spans are both timedelta, moments on a monotonic clock."""

import time
from datetime import timedelta

ZERO = timedelta()
MICROSECOND = timedelta(microseconds=1)


def monotonic_now() -> timedelta:
    # CLOCK_MONOTONIC goes on while a process is stopped and never follows wall-clock jumps.
    return timedelta(seconds=time.monotonic())


def to_microseconds(span: timedelta) -> int:
    return span // MICROSECOND


def from_microseconds(count: int) -> timedelta:
    return timedelta(microseconds=count)


def milliseconds(count: float) -> timedelta:
    return timedelta(milliseconds=count)
