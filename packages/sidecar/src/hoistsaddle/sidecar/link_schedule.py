"""When the link of this machine is free for the next body, and how fast bodies may come over it.

Only the receiver knows what all senders want of its link, so it hands the link out: one body after the other, at a rate
that leaves room for what else arrives. What the link carries is taken from the settings and corrected by what arrives.
"""

import math
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import ZERO, milliseconds

# The share of a link that is given away: calls, configuration and heartbeats must not wait for bodies.
USED_SHARE = 0.9
# Bodies always get this share of a link, whatever else arrives.
MIN_BODY_SHARE = 0.1
# Bytes a second: what a link is taken to carry where the settings don't say, and the least and the most ever.
INITIAL_CAPACITY = 1_000_000.0
MIN_CAPACITY, MAX_CAPACITY = 16_000.0, 1_250_000_000.0
# For how long bytes that arrived beside the announced bodies count.
OTHER_TRAFFIC_WINDOW = timedelta(seconds=2)
# A body may start so much before the link is free: its sender hears of it only after a way.
START_EARLY = milliseconds(30)
# Bodies that may be under way at once: a slow sender must not keep the link from others.
MAX_UNDER_WAY = 3
# What a body's way takes beside its bytes: the way of its grant, a new connection, and two busy processes.
TRANSFER_OVERHEAD = milliseconds(60)
# How many times their duration bodies take, as a moving average: from LATE on the link carries less than it is taken
# to, up to TIMELY it may carry more. Single bodies are late behind what clients send.
LATE, TIMELY = 1.3, 1.1
STRETCH_WEIGHT = 0.1
DECREASE, INCREASE = 0.8, 1.03
# Until bodies first come late, an unknown capacity is searched for in larger steps.
SEARCH_INCREASE = 1.25
# A body that hasn't come by so many times its duration, and this much longer, keeps the link from nobody any more.
LOST_FACTOR, LOST_EXTRA = 2.0, milliseconds(300)


class _Transfer(NamedTuple):
    """A body that may be under way."""

    octets: int
    granted: timedelta
    rate: float

    def duration(self) -> timedelta:
        return timedelta(seconds=self.octets / self.rate)


class LinkSchedule:
    """The bodies that were granted the link, and the rate at which they come."""

    def __init__(self, *, bytes_per_second: float, now: timedelta) -> None:
        """Begin with a free link.

        Args:
            bytes_per_second: what the link carries, as the settings say; 0 if they don't.
            now: the monotonic clock's time.
        """
        # The settings are an upper bound of what the link is taken to carry.
        self._limit = bytes_per_second or MAX_CAPACITY
        self.capacity = bytes_per_second or INITIAL_CAPACITY
        self._searching = not bytes_per_second
        # Bytes a second that arrive beside announced bodies, as of a moment.
        self._others = 0.0
        self._others_as_of = now
        self._stretch = 1.0
        self._corrected_at = now
        self._free_at = now
        self._transfers: dict[str, _Transfer] = {}

    def others_arrived(self, octets: int, *, now: timedelta) -> None:
        """Count bytes that arrived beside announced bodies."""
        self._others = self._other_rate(now) + octets / OTHER_TRAFFIC_WINDOW.total_seconds()
        self._others_as_of = now

    def _other_rate(self, now: timedelta) -> float:
        return self._others * math.exp(-((now - self._others_as_of) / OTHER_TRAFFIC_WINDOW))

    def rate(self, now: timedelta) -> float:
        """Return bytes a second that bodies may take of the link."""
        return max(self.capacity * MIN_BODY_SHARE, self.capacity * USED_SHARE - self._other_rate(now))

    def wait(self, now: timedelta) -> timedelta:
        """Return for how long the link is given away."""
        return max(ZERO, self._free_at - now)

    def duration(self, octets: int, *, now: timedelta) -> timedelta:
        """Return how long so many bytes take at the present rate."""
        return timedelta(seconds=octets / self.rate(now))

    def is_free(self, now: timedelta) -> bool:
        """Whether the next body may start."""
        return self.wait(now) <= START_EARLY and len(self._transfers) < MAX_UNDER_WAY

    def idle(self) -> bool:
        """Whether no body is under way."""
        return not self._transfers

    def grant(self, attempt_id: str, octets: int, *, now: timedelta) -> float:
        """Give the link to a body.

        Args:
            attempt_id: the attempt whose body it is.
            octets: its size.
            now: the monotonic clock's time.

        Returns:
            Bytes a second at which it may be sent.
        """
        transfer = self._transfers[attempt_id] = _Transfer(octets, now, self.rate(now))
        self._free_at = max(self._free_at, now) + transfer.duration()
        return transfer.rate

    def arrived(self, attempt_id: str, *, now: timedelta) -> bool:
        """Take that a body has come, and learn from how long it took; False if it had no grant."""
        transfer = self._transfers.pop(attempt_id, None)
        if transfer is None:
            return False
        # What was granted before the last correction says the same once more.
        if transfer.granted >= self._corrected_at:
            taken = max(ZERO, now - transfer.granted - TRANSFER_OVERHEAD)
            self._learn(max(1.0, taken / transfer.duration()), now=now)
        return True

    def _learn(self, stretch: float, *, now: timedelta) -> None:
        self._stretch += (stretch - self._stretch) * STRETCH_WEIGHT
        if self._stretch >= LATE:
            self._searching = False
            self._stretch = 1.0
            self._corrected_at = now
            self.capacity = max(MIN_CAPACITY, self.capacity * DECREASE)
        elif self._stretch <= TIMELY:
            self.capacity = min(self._limit, self.capacity * (SEARCH_INCREASE if self._searching else INCREASE))

    def cancelled(self, attempt_id: str, *, now: timedelta) -> bool:
        """Take back the time of a body that isn't sent after all; False if it had no grant."""
        transfer = self._transfers.pop(attempt_id, None)
        if transfer is None:
            return False
        self._free_at -= min(transfer.duration(), self.wait(now))
        return True

    def expire(self, now: timedelta) -> None:
        """Forget bodies that aren't coming: their senders are gone."""
        for attempt_id, transfer in list(self._transfers.items()):
            if now - transfer.granted > transfer.duration() * LOST_FACTOR + LOST_EXTRA:
                del self._transfers[attempt_id]
