"""A pause between tries that grows while they fail, shared by all who try the same thing."""

from datetime import timedelta


class GrowingPause:
    """From `least`, twice as long each time, up to `most`; a success starts it over.

    Several tries that fail side by side are one failure: it grows once for each span that has passed.
    """

    def __init__(self, *, least: timedelta, most: timedelta) -> None:
        self.least = least
        self.most = max(least, most)
        self.span = least
        self.failing = False
        self._grown_at: timedelta | None = None

    def after_failure(self, *, now: timedelta) -> timedelta:
        """How long to wait before the next try."""
        if self._grown_at is None:
            self.span = self.least
            self._grown_at = now
        elif now - self._grown_at >= self.span:
            self.span = min(self.span * 2, self.most)
            self._grown_at = now
        self.failing = True
        return self.span

    def reset(self) -> None:
        self.span = self.least
        self.failing = False
        self._grown_at = None
