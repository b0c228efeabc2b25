"""Metrics of forwarded calls as they arrive at a sidecar: ages, body bytes, and body bytes of refused calls.

A call that is old when it is read has waited for a link, here or at its sender. The body of a call that is then refused
was transferred in vain.
"""

from datetime import timedelta

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.proxy.messages import NOT_RUN
from hoistsaddle.rpc.messages import ForwardAnswer, ForwardCall

# A call older than this on arrival is late.
LATE_AGE = milliseconds(200)
# The length of the window over which late calls are counted.
WINDOW = timedelta(seconds=1)
# Above this share of late calls in a window, calls count as arriving late.
LATE_SHARE = 0.25


class ArrivalRecord:
    """Counts forwarded calls as they arrive and end, and records an event when calls start or stop arriving late."""

    def __init__(self, *, counters: Counters, now: timedelta) -> None:
        """Start in the state in which calls arrive in time.

        Args:
            counters: the counters of the process.
            now: the time of the monotonic clock.
        """
        self._counters = counters
        self._window_began = now
        self._calls = 0
        self._late_calls = 0
        self._body_octets = 0
        self._oldest = timedelta()
        self._arriving_late = False

    def arrived(self, call: ForwardCall, *, age: timedelta, now: timedelta) -> None:
        """Count a call that was read just now.

        Args:
            call: the forwarded call.
            age: how long ago it was sent.
            now: the time of the monotonic clock.
        """
        self._close_window(now)
        self._calls += 1
        self._body_octets += len(call.body)
        self._oldest = max(self._oldest, age)
        self._counters.add("forwarded.calls")
        self._counters.add("forwarded.body_octets", len(call.body))
        if age > LATE_AGE:
            self._late_calls += 1
            self._counters.add("forwarded.late")

    def answered(self, call: ForwardCall, answer: ForwardAnswer) -> None:
        """Count a call if it was refused, and the body bytes that it transferred in vain."""
        if answer.outcome == NOT_RUN:
            self._counters.add(f"forwarded.refused.{answer.error}")
            self._counters.add("forwarded.refused_body_octets", len(call.body))

    def _close_window(self, now: timedelta) -> None:
        if now - self._window_began < WINDOW:
            return
        late = self._late_calls > self._calls * LATE_SHARE
        if late != self._arriving_late:
            self._arriving_late = late
            self._counters.record_event(
                "calls arrive late" if late else "calls arrive in time",
                calls=self._calls,
                late=self._late_calls,
                oldest_milliseconds=round(self._oldest.total_seconds() * 1000),
                body_octets=self._body_octets,
                so_far={
                    name: int(count)
                    for name, count in self._counters.read()["counts"].items()
                    if name.startswith("forwarded.")
                },
            )
        self._window_began = now
        self._calls = self._late_calls = self._body_octets = 0
        self._oldest = timedelta()
