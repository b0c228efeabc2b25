"""Detects freezes of this process: after one, data read now or decisions made before it may be outdated."""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.rpc.runtime import Runtime

# A gap this long between ticks means that the process was frozen; data read right after it may be old.
FROZEN_GAP = milliseconds(400)


class FreezeDetector:
    """Detects a freeze by the time between two ticks."""

    def __init__(self, *, runtime: Runtime, counters: Counters) -> None:
        self._runtime = runtime
        self._counters = counters
        self.ticked_at = self.thawed_at = runtime.now()
        # The duration of the last freeze.
        self.last_freeze = ZERO

    def tick(self) -> None:
        """Record that the process is running now."""
        now = self._runtime.now()
        gap = now - self.ticked_at
        if gap > FROZEN_GAP:
            self._counters.record_event("stood still", seconds=round(gap.total_seconds(), 3))
            # Data received during the freeze is read in pieces over the next moments, and all of it may be old.
            self.thawed_at = now + FROZEN_GAP
            self.last_freeze = gap
        self.ticked_at = now

    def frozen(self) -> bool:
        """Whether the process is frozen or has only just resumed."""
        now = self._runtime.now()
        return now - self.ticked_at > FROZEN_GAP or now < self.thawed_at

    def unread(self) -> timedelta:
        """Return the longest time for which data read now may have been left unread by a freeze."""
        now = self._runtime.now()
        if (gap := now - self.ticked_at) > FROZEN_GAP:
            return gap
        return self.last_freeze + now - (self.thawed_at - FROZEN_GAP) if now < self.thawed_at else ZERO
