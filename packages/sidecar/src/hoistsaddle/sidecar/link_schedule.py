"""The receiver's schedule of its machine's link: when the next body may be sent, and at which rate.

Only the receiver knows the demand of all senders, so it grants its link to one body after the other, at a rate that
leaves bandwidth for other traffic. The capacity is taken from the settings and adjusted by how long bodies take.
"""

import math
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import ZERO, milliseconds

# The share of the link that is granted to bodies: calls, configuration and heartbeats must not wait for them.
USED_SHARE = 0.9
# Bodies always get this share of the link, however much other traffic there is.
MIN_BODY_SHARE = 0.1
# Link capacity in bytes a second: the initial one where the settings have none, and the bounds.
INITIAL_CAPACITY = 1_000_000.0
MIN_CAPACITY, MAX_CAPACITY = 16_000.0, 1_250_000_000.0
# The time constant with which bytes of other traffic than announced bodies decay.
OTHER_TRAFFIC_WINDOW = timedelta(seconds=2)
# A grant is sent this long before the link is free, as it takes a one-way trip to reach the sender.
START_EARLY = milliseconds(30)
# The most bodies in flight at once; more than one, so that a slow sender doesn't block the link for others.
MAX_IN_FLIGHT = 3
# The time of a transfer besides its bytes: the trip of the grant, a new connection, and delays in two busy processes.
TRANSFER_OVERHEAD = milliseconds(60)
# Bounds for the moving average of the ratio between a body's actual and planned transfer time: from LATE_RATIO on the
# capacity is decreased, up to TIMELY_RATIO it is increased. An average, as single bodies are delayed by client traffic.
LATE_RATIO, TIMELY_RATIO = 1.3, 1.1
RATIO_WEIGHT = 0.1
DECREASE, INCREASE = 0.8, 1.03
# Until bodies are late for the first time, an unknown capacity is increased in larger steps.
SEARCH_INCREASE = 1.25
# A granted body that hasn't arrived after this many times its duration plus this extra time no longer counts.
LOST_FACTOR, LOST_EXTRA = 2.0, milliseconds(300)


class _Transfer(NamedTuple):
    """A granted body that has not arrived yet."""

    octets: int
    granted: timedelta
    rate: float

    def duration(self) -> timedelta:
        return timedelta(seconds=self.octets / self.rate)


class LinkSchedule:
    """Grants the link to bodies, and estimates its capacity."""

    def __init__(self, *, bytes_per_second: float, now: timedelta) -> None:
        """Start with a free link.

        Args:
            bytes_per_second: the capacity of the link from the settings; 0 if they have none.
            now: the time of the monotonic clock.
        """
        # The capacity from the settings is an upper bound of the estimate.
        self._limit = bytes_per_second or MAX_CAPACITY
        self.capacity = bytes_per_second or INITIAL_CAPACITY
        self._searching = not bytes_per_second
        # Bytes a second of other traffic, and the time of that estimate.
        self._others = 0.0
        self._others_as_of = now
        self._delay_ratio = 1.0
        self._corrected_at = now
        self._free_at = now
        self._transfers: dict[str, _Transfer] = {}

    def others_arrived(self, octets: int, *, now: timedelta) -> None:
        """Count received bytes of other traffic than announced bodies."""
        self._others = self._other_rate(now) + octets / OTHER_TRAFFIC_WINDOW.total_seconds()
        self._others_as_of = now

    def _other_rate(self, now: timedelta) -> float:
        return self._others * math.exp(-((now - self._others_as_of) / OTHER_TRAFFIC_WINDOW))

    def rate(self, now: timedelta) -> float:
        """Return the rate in bytes a second that is available for bodies."""
        return max(self.capacity * MIN_BODY_SHARE, self.capacity * USED_SHARE - self._other_rate(now))

    def wait(self, now: timedelta) -> timedelta:
        """Return how long the link is taken by granted bodies."""
        return max(ZERO, self._free_at - now)

    def duration(self, octets: int, *, now: timedelta) -> timedelta:
        """Return how long a transfer of this size takes at the current rate."""
        return timedelta(seconds=octets / self.rate(now))

    def is_free(self, now: timedelta) -> bool:
        """Whether the next body may be granted."""
        return self.wait(now) <= START_EARLY and len(self._transfers) < MAX_IN_FLIGHT

    def idle(self) -> bool:
        """Whether no body is in flight."""
        return not self._transfers

    def grant(self, attempt_id: str, octets: int, *, now: timedelta) -> float:
        """Grant the link to a body.

        Args:
            attempt_id: the id of the body's attempt.
            octets: the size of the body.
            now: the time of the monotonic clock.

        Returns:
            The rate in bytes a second at which it may be sent.
        """
        transfer = self._transfers[attempt_id] = _Transfer(octets, now, self.rate(now))
        self._free_at = max(self._free_at, now) + transfer.duration()
        return transfer.rate

    def arrived(self, attempt_id: str, *, now: timedelta) -> bool:
        """Handle the arrival of a body and adjust the capacity by its transfer time; False if it had no grant."""
        transfer = self._transfers.pop(attempt_id, None)
        if transfer is None:
            return False
        # A body granted before the last correction was sent at the old rate, and would cause the same correction again.
        if transfer.granted >= self._corrected_at:
            taken = max(ZERO, now - transfer.granted - TRANSFER_OVERHEAD)
            self._adjust_capacity(max(1.0, taken / transfer.duration()), now=now)
        return True

    def _adjust_capacity(self, delay_ratio: float, *, now: timedelta) -> None:
        self._delay_ratio += (delay_ratio - self._delay_ratio) * RATIO_WEIGHT
        if self._delay_ratio >= LATE_RATIO:
            self._searching = False
            self._delay_ratio = 1.0
            self._corrected_at = now
            self.capacity = max(MIN_CAPACITY, self.capacity * DECREASE)
        elif self._delay_ratio <= TIMELY_RATIO:
            self.capacity = min(self._limit, self.capacity * (SEARCH_INCREASE if self._searching else INCREASE))

    def cancelled(self, attempt_id: str, *, now: timedelta) -> bool:
        """Release the link time of a granted body that won't be sent; False if it had no grant."""
        transfer = self._transfers.pop(attempt_id, None)
        if transfer is None:
            return False
        self._free_at -= min(transfer.duration(), self.wait(now))
        return True

    def expire(self, now: timedelta) -> None:
        """Forget granted bodies that didn't arrive in time: their senders are assumed to be gone."""
        for attempt_id, transfer in list(self._transfers.items()):
            if now - transfer.granted > transfer.duration() * LOST_FACTOR + LOST_EXTRA:
                del self._transfers[attempt_id]
