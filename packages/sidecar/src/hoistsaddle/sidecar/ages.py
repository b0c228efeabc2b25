"""How old a call is that is read only now: what is left of its time is judged by its sender's clock, not by its words.

A call says how much time it has left as it is written. Bytes that wait in a socket, because this process stood still,
the sender did, or the way between them was cut, say the same for ever. So each call carries its sender's monotonic
clock. The least difference between the own clock and a sender's is their offset and the shortest way; what a call's
difference has beyond that is its age.
"""

from datetime import timedelta
from typing import NamedTuple

# A least difference counts in its own span and the next one that brings calls: drift of two clocks stays far below a
# millisecond meanwhile, and a clock that was set back with its machine is believed again after two of them.
OFFSET_SPAN = timedelta(seconds=5)
# Senders that said nothing for so long are forgotten: their lives are over, or their next call is a first one.
FORGOTTEN = timedelta(minutes=10)
# Looked through only when there are so many.
MOST_SENDERS = 1000


class _Offset(NamedTuple):
    # When the present span began, and the least differences of it and of the span before.
    began: timedelta
    least: timedelta
    before: timedelta


class Ages:
    """Offsets of the clocks of other processes' lives."""

    def __init__(self) -> None:
        self._offsets: dict[str, _Offset] = {}

    def age(self, *, sender: str, sent: timedelta, now: timedelta, unread: timedelta) -> timedelta:
        """How old a call is that its sender's life wrote at `sent` by its clock.

        A first call has nothing to be compared with: it counts as old as its connection, and as this process may have
        left it unread.
        """
        difference = now - sent
        known = self._offsets.get(sender)
        if known is None:
            if len(self._offsets) >= MOST_SENDERS:
                self._forget(now)
            # Its own age is part of the difference, as far as that is known.
            difference -= unread
            self._offsets[sender] = _Offset(now, difference, difference)
            return unread
        if now - known.began >= OFFSET_SPAN:
            known = _Offset(now, difference, known.least)
        known = known._replace(least=min(known.least, difference))
        self._offsets[sender] = known
        return difference - min(known.least, known.before)

    def _forget(self, now: timedelta) -> None:
        self._offsets = {sender: offset for sender, offset in self._offsets.items() if now - offset.began < FORGOTTEN}
