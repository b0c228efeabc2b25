"""A pause between tries that grows while they fail, shared by all who try the same thing."""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO


class ExponentialBackoff:
    """From `least`, twice as long each time, up to `most`; a success starts it over.

    Several tries that fail side by side are one failure: it grows once for each span that has passed.
    """

    def __init__(self, *, least: timedelta, most: timedelta) -> None:
        self.least = least
        self.most = max(least, most)
        self.span = least
        self._failed_at: timedelta | None = None

    @property
    def failing(self) -> bool:
        return self._failed_at is not None

    def failed(self, *, now: timedelta) -> None:
        if self._failed_at is None:
            self.span = self.least
        elif now - self._failed_at >= self.span:
            self.span = min(self.span * 2, self.most)
        else:
            return
        self._failed_at = now

    def left(self, *, now: timedelta) -> timedelta:
        """How long until the next try is due."""
        return ZERO if self._failed_at is None else max(ZERO, self._failed_at + self.span - now)

    def reset(self) -> None:
        self.span = self.least
        self._failed_at = None
