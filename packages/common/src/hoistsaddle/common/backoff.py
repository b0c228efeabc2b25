"""Exponential backoff between attempts, shared by all who attempt the same thing."""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO


class ExponentialBackoff:
    """A delay from `least`, twice as long after each failure, up to `most`; a success starts it over.

    Several attempts that fail side by side are one failure: the delay grows once for each delay that has passed.
    """

    def __init__(self, *, least: timedelta, most: timedelta) -> None:
        """Begins without a failure."""
        self.least = least
        self.most = max(least, most)
        self.delay = least
        self._failed_at: timedelta | None = None

    @property
    def failing(self) -> bool:
        """Whether the last attempt failed."""
        return self._failed_at is not None

    def failed(self, *, now: timedelta) -> None:
        """Notes a failed attempt."""
        if self._failed_at is None:
            self.delay = self.least
        elif now - self._failed_at >= self.delay:
            self.delay = min(self.delay * 2, self.most)
        else:
            return
        self._failed_at = now

    def left(self, *, now: timedelta) -> timedelta:
        """How long until the next attempt is due."""
        return ZERO if self._failed_at is None else max(ZERO, self._failed_at + self.delay - now)

    def reset(self) -> None:
        """Notes a success."""
        self.delay = self.least
        self._failed_at = None
