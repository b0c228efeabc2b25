"""How many calls may be in flight at once, learned from how they end: additive increase, multiplicative decrease."""

from datetime import timedelta

# Below one, a limit is the share of the time in which a call may be under way.
LEAST = 1 / 16
# Below one, a call in time raises the limit by this part of it: by one call a round it would be left at once.
SLOW_INCREASE = 0.5


class ConcurrencyLimit:
    """A limit on calls in flight; where one at a time is too much, it makes pauses between calls."""

    def __init__(self, *, most: int) -> None:
        """Begin at one call, with the maximum number of calls."""
        self._most = float(most)
        self._limit = 1.0

    @property
    def value(self) -> int:
        """The most calls that may be in flight now."""
        return max(1, int(self._limit))

    def increase(self) -> None:
        """Note a call that was answered in time: a whole round of them adds one."""
        step = 1 / self._limit if self._limit >= 1 else self._limit * SLOW_INCREASE
        self._limit = min(self._most, self._limit + step)

    def decrease(self) -> None:
        """Note a call that failed, or was answered too late: half as many from now on."""
        self._limit = max(LEAST, self._limit / 2)

    def pause_after(self, duration: timedelta) -> timedelta:
        """How long no call may follow one that took so long."""
        return duration * (1 / self._limit - 1) if self._limit < 1 else timedelta()
