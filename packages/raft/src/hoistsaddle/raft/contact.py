"""Since when a leader knows that a majority follows it, dated by when it asked and never by when it was answered.

Fetches wait in sockets while a leader is frozen and arrive as if they were young. Each carries the newest round that
its sender had heard of, and the leader remembers when it began each round: so a fetch proves no more than it can.
"""

from collections import deque
from datetime import timedelta

from hoistsaddle.raft.voters import ReplicaKey

# Rounds begin every begin_epoch_interval at most and with each read; fetches older than so many rounds prove nothing.
ROUNDS_KEPT = 4096
# The age of a state that isn't known to have been the newest at any time.
NEVER = timedelta(days=3650)


class Rounds:
    """A leader's rounds in one epoch, and when each began."""

    def __init__(self, *, now: timedelta) -> None:
        """Begins round zero."""
        self.newest = 0
        self._began: deque[timedelta] = deque([now], maxlen=ROUNDS_KEPT)

    def begin(self, *, now: timedelta) -> int:
        """Begins the next round and returns its number."""
        self.newest += 1
        self._began.append(now)
        return self.newest

    def latest(self) -> timedelta:
        """When the newest round began."""
        return self._began[-1]

    def began(self, number: int) -> timedelta | None:
        """When that round began; None for one that is forgotten by now, or never was."""
        index = len(self._began) - 1 - (self.newest - number)
        return self._began[index] if 0 <= index < len(self._began) else None


def majority_contact(
    *,
    voter_sets: list[dict[int, str]],
    me: ReplicaKey,
    now: timedelta,
    heard: dict[ReplicaKey, timedelta | None],
) -> timedelta | None:
    """The newest time after which a majority of every voter set still followed.

    Args:
        voter_sets: The sets of voters in force, each from replica to incarnation.
        me: The leader, which always follows itself.
        now: The present time.
        heard: When each replica is known to have followed last.

    Returns:
        None if no majority is known to have followed at any time.
    """
    oldest = now
    for voters in voter_sets:
        timestamps = [now if voter == me else heard.get(voter) for voter in voters.items()]
        known = sorted((timestamp for timestamp in timestamps if timestamp is not None), reverse=True)
        needed = len(voters) // 2 + 1
        if not voters or len(known) < needed:
            return None
        oldest = min(oldest, known[needed - 1])
    return oldest
