"""Since when a leader knows that a majority follows it, dated by when it asked and never by when it was answered.

Fetches wait in sockets while a leader is frozen and arrive as if they were young. Each carries the newest round that
its sender had heard of, and the leader remembers when it began each round: so a fetch proves no more than it can.
"""

from collections import deque
from datetime import timedelta

# Rounds begin every lead_every at most and with each read; fetches that are older than so many of them prove nothing.
ROUNDS_KEPT = 4096
# The age of a word that isn't known to have been the newest at any moment.
NEVER = timedelta(days=3650)


class Rounds:
    """A leader's rounds in one epoch, and when each began."""

    def __init__(self, *, now: timedelta) -> None:
        self.newest = 0
        self._began: deque[timedelta] = deque([now], maxlen=ROUNDS_KEPT)

    def begin(self, *, now: timedelta) -> int:
        self.newest += 1
        self._began.append(now)
        return self.newest

    def latest(self) -> timedelta:
        return self._began[-1]

    def began(self, number: int) -> timedelta | None:
        """When that round began; None for one that is unknown by now, or never was."""
        place = len(self._began) - 1 - (self.newest - number)
        return self._began[place] if 0 <= place < len(self._began) else None


def majority_contact(
    *,
    voter_sets: list[dict[int, str]],
    me: tuple[int, str],
    now: timedelta,
    heard: dict[tuple[int, str], timedelta | None],
) -> timedelta | None:
    """The newest moment after which a majority of every voter set still followed."""
    oldest = now
    for voters in voter_sets:
        timestamps = [now if voter == me else heard.get(voter) for voter in voters.items()]
        known = sorted((timestamp for timestamp in timestamps if timestamp is not None), reverse=True)
        needed = len(voters) // 2 + 1
        if not voters or len(known) < needed:
            return None
        oldest = min(oldest, known[needed - 1])
    return oldest
