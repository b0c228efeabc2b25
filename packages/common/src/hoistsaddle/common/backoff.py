"""Exponential backoff between attempts, shared by concurrent attempts at the same operation."""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO


class ExponentialBackoff:
    """A delay that starts at `least`, doubles after each failure up to `most`, and is reset by a success.

    Concurrent attempts that fail together count as one failure: the delay doubles only after it has elapsed.
    """

    def __init__(self, *, least: timedelta, most: timedelta) -> None:
        """Starts without a failure."""
        self.least = least
        self.most = max(least, most)
        self.delay = least
        self._failed_at: timedelta | None = None

    @property
    def failing(self) -> bool:
        """Whether the last attempt failed."""
        return self._failed_at is not None

    def failed(self, *, now: timedelta) -> None:
        """Records a failed attempt."""
        if self._failed_at is None:
            self.delay = self.least
        elif now - self._failed_at >= self.delay:
            self.delay = min(self.delay * 2, self.most)
        else:
            return
        self._failed_at = now

    def left(self, *, now: timedelta) -> timedelta:
        """The time until the next attempt is due."""
        return ZERO if self._failed_at is None else max(ZERO, self._failed_at + self.delay - now)

    def reset(self) -> None:
        """Records a successful attempt."""
        self.delay = self.least
        self._failed_at = None
