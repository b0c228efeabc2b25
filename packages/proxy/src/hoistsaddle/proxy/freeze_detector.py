"""Standstills of the own process: after one, what is read or was decided before it may be old."""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.rpc.runtime import Runtime

# A gap this long between ticks means that the process stood still; what is read right after may be old.
FROZEN_GAP = milliseconds(400)


class FreezeDetector:
    """Notices a standstill by the time between two ticks."""

    def __init__(self, *, runtime: Runtime, counters: Counters) -> None:
        self._runtime = runtime
        self._counters = counters
        self.ticked_at = self.thawed_at = runtime.now()
        # How long the last standstill was.
        self.stood = ZERO

    def tick(self) -> None:
        """Note that the process runs now."""
        now = self._runtime.now()
        gap = now - self.ticked_at
        if gap > FROZEN_GAP:
            self._counters.record_event("stood still", seconds=round(gap.total_seconds(), 3))
            # What came in meanwhile is read over the next moments, in pieces; none of it is young.
            self.thawed_at = now + FROZEN_GAP
            self.stood = gap
        self.ticked_at = now

    def frozen(self) -> bool:
        """Whether the process stands still or has just gone on."""
        now = self._runtime.now()
        return now - self.ticked_at > FROZEN_GAP or now < self.thawed_at

    def unread(self) -> timedelta:
        """Return for how long at most a standstill may have left unread what is read now."""
        now = self._runtime.now()
        if (gap := now - self.ticked_at) > FROZEN_GAP:
            return gap
        return self.stood + now - (self.thawed_at - FROZEN_GAP) if now < self.thawed_at else ZERO
