"""Ejects a server from the choice for a route on which its answers are broken, one after the other.

A server that fails at once looks idle and fast, so that without this it would attract most requests of the route.
"""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO

# The broken answers in a row after which a server is ejected.
MAX_BROKEN_IN_A_ROW = 3
# How long it is ejected the first time. Each further broken answer doubles the time, up to the limit.
FIRST_EJECTION = timedelta(seconds=1)
MAX_EJECTION = timedelta(seconds=8)
MAX_DOUBLINGS = MAX_EJECTION // FIRST_EJECTION


class BrokenAnswers:
    """The broken answers of one server on one route since its last complete one."""

    __slots__ = ("_ejected_until", "_in_a_row")

    def __init__(self) -> None:
        self._in_a_row = 0
        self._ejected_until = ZERO

    def add(self, now: timedelta) -> bool:
        """Count a broken answer; return whether the server is ejected by it."""
        if now < self._ejected_until:
            # It answers an attempt that was sent before the ejection.
            return False
        self._in_a_row += 1
        doublings = self._in_a_row - MAX_BROKEN_IN_A_ROW
        if doublings < 0:
            return False
        self._ejected_until = now + min(MAX_EJECTION, FIRST_EJECTION * 2 ** min(doublings, MAX_DOUBLINGS))
        return True

    def ejected(self, now: timedelta) -> bool:
        """Whether the server is ejected now."""
        return now < self._ejected_until
