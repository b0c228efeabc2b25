"""Computes how long ago a call was written, from its sender's clock.

A call states the time it has left when it is written. That value is outdated if the bytes then wait in a socket,
because this process or the sender was frozen or the link between them was down. So each frame carries its sender's
monotonic clock. The smallest difference between this process's clock and the sender's is the clock offset plus the
shortest transit time; the excess of a call's difference over it is the call's age.
"""

from typing import NamedTuple

# In seconds. The minimum difference of a window is used in that window and in the next one with calls. Two clocks drift
# apart by far less than a millisecond in that time. If the sender's clock falls behind, for example because its machine
# slept, ages are correct again after two windows.
OFFSET_WINDOW = 5.0


class CallAge(NamedTuple):
    """The seconds since a call was written, as estimated on its connection."""

    age: float = 0.0
    # Set for the first frame of a connection, which can't be compared with earlier frames: its age is at most that of
    # the connection, plus the time for which this process may have left both unread.
    first: bool = True


class FrameAges:
    """Computes the ages of the frames of one connection, which all carry the same sender's clock."""

    def __init__(self, *, accepted: float) -> None:
        """Starts with a new connection.

        Args:
            accepted: When the connection was accepted, in seconds of this process's monotonic clock.
        """
        self.accepted = accepted
        # When the present window started, and the minimum differences of this window and of the previous one.
        self.window_start = 0.0
        self.min_difference: float | None = None
        self.previous_min_difference = 0.0

    def age(self, *, sent: float, now: float) -> CallAge:
        """The age of a frame that is read now.

        Args:
            sent: The sender's monotonic clock in seconds; 0 if the frame doesn't carry it.
            now: This process's monotonic clock in seconds.
        """
        if not sent:
            # Frames of a former release don't carry the sender's clock.
            return CallAge(0.0, True)
        difference = now - sent
        if self.min_difference is None:
            # A frame can't be older than its connection, so at most that part of the difference is age.
            age = now - self.accepted
            self.window_start, self.min_difference, self.previous_min_difference = (
                now,
                difference - age,
                difference - age,
            )
            return CallAge(age, True)
        if now - self.window_start >= OFFSET_WINDOW:
            self.window_start, self.previous_min_difference, self.min_difference = now, self.min_difference, difference
        self.min_difference = min(self.min_difference, difference)
        return CallAge(difference - min(self.min_difference, self.previous_min_difference), False)
