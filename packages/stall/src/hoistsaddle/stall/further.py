"""Further sends: over the whole fleet at most a share of a service's traffic plus a margin, in any ten seconds."""
from collections import deque
from datetime import timedelta

WINDOW = timedelta(seconds=10)


class FurtherSends:
    """One stall's part of the bound. The share is of its own first sends; the margin is divided among the stalls.

    Summed over the fleet that is the bound itself, however traffic falls on the stalls.
    """

    def __init__(self, *, now: timedelta) -> None:
        self.born = now
        self.firsts: dict[str, deque[timedelta]] = {}
        self.furthers: dict[str, deque[timedelta]] = {}
        self.stalls: deque[tuple[timedelta, int]] = deque()

    @staticmethod
    def _trim(moments: deque, now: timedelta) -> None:
        while moments and now - moments[0] >= WINDOW:
            moments.popleft()

    def count_stalls(self, count: int, *, now: timedelta) -> None:
        self.stalls.append((now, count))
        while len(self.stalls) > 1 and now - self.stalls[1][0] >= WINDOW:
            self.stalls.popleft()

    def first(self, service: str, *, now: timedelta) -> None:
        moments = self.firsts.setdefault(service, deque())
        self._trim(moments, now)
        moments.append(now)

    def admit(self, service: str, *, percent: int, margin: int, now: timedelta) -> bool:
        firsts = self.firsts.setdefault(service, deque())
        furthers = self.furthers.setdefault(service, deque())
        self._trim(firsts, now)
        self._trim(furthers, now)
        # The largest count seen in the window divides the margin: a fleet that shrank can't spend it twice.
        most = max((count for _, count in self.stalls), default=0)
        # A newborn stall doesn't know what its former life spent, so its part of the margin waits one window.
        part = margin / most if most and now - self.born >= WINDOW else 0.0
        if len(furthers) + 1 > len(firsts) * percent / 100 + part:
            return False
        furthers.append(now)
        return True
