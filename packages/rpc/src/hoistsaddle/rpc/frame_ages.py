"""How old a call is that is read only now: judged by its sender's clock, not by what it says of its time.

A call says how much time it has left as it is written. Bytes that wait in a socket, because this process stood still,
the sender did, or the way between them was cut, say the same for ever. So each frame carries its sender's monotonic
clock. The least difference between the own clock and the sender's is their offset and the shortest way; what a call's
difference has beyond that is its age.
"""

from typing import NamedTuple

# Seconds. A least difference counts in its own window and the next one that brings calls: drift of two clocks stays far
# below a millisecond meanwhile, and a clock that was set back with its machine is believed again after two of them.
OFFSET_WINDOW = 5.0


class CallAge(NamedTuple):
    """Seconds since a call was written, as far as its connection can know."""

    age: float = 0.0
    # The first frame of its connection has nothing to be compared with: it is as old as the connection at the most,
    # and as this process may have left both unread.
    first: bool = True


class FrameAges:
    """The ages of the frames of one connection, whose sender's clock is one."""

    def __init__(self, *, accepted: float) -> None:
        """Begins with the connection.

        Args:
            accepted: When the connection was accepted, in seconds of the own monotonic clock.
        """
        self.accepted = accepted
        # When the present window began, and the least differences of it and of the window before.
        self.began = 0.0
        self.least: float | None = None
        self.least_before = 0.0

    def age(self, *, sent: float, now: float) -> CallAge:
        """The age of a frame that is read now.

        Args:
            sent: Its sender's monotonic clock in seconds; 0 where it says nothing.
            now: The own monotonic clock in seconds.
        """
        if not sent:
            # A former release's frame says nothing of its sender's clock.
            return CallAge(0.0, True)
        difference = now - sent
        if self.least is None:
            # Nothing on a connection is older than the connection: that much of the difference may be age.
            age = now - self.accepted
            self.began, self.least, self.least_before = now, difference - age, difference - age
            return CallAge(age, True)
        if now - self.began >= OFFSET_WINDOW:
            self.began, self.least_before, self.least = now, self.least, difference
        self.least = min(self.least, difference)
        return CallAge(difference - min(self.least, self.least_before), False)
