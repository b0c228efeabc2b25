"""An adaptive limit on concurrent calls: additive increase on success, multiplicative decrease on failure."""

from datetime import timedelta

# A limit below one is the share of the time in which a call may be in flight.
MIN_LIMIT = 1 / 16
# Below one, a call answered in time raises the limit by this fraction of itself. The additive increase of one call per
# round would raise it above one immediately.
SLOW_INCREASE = 0.5


class ConcurrencyLimit:
    """A limit on calls in flight; below one call at a time, it requires pauses between calls."""

    def __init__(self, *, max_limit: int) -> None:
        """Start at one call; `max_limit` is the maximum number of calls."""
        self._max_limit = float(max_limit)
        self._limit = 1.0

    @property
    def value(self) -> int:
        """The maximum number of calls that may be in flight now."""
        return max(1, int(self._limit))

    def increase(self) -> None:
        """Record a call that was answered in time: a whole round of them raises the limit by one."""
        step = 1 / self._limit if self._limit >= 1 else self._limit * SLOW_INCREASE
        self._limit = min(self._max_limit, self._limit + step)

    def decrease(self) -> None:
        """Record a call that failed or was answered too late: halves the limit."""
        self._limit = max(MIN_LIMIT, self._limit / 2)

    def pause_after(self, duration: timedelta) -> timedelta:
        """Return the pause that is required after a call of this duration."""
        return duration * (1 / self._limit - 1) if self._limit < 1 else timedelta()
