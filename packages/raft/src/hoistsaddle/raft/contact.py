"""The time of a leader's last contact with a majority, measured from when rounds began, not from when fetches arrived.

While a leader is frozen, fetches wait in its sockets and appear recent when they are read. So each fetch carries the
newest round that its sender has seen, and the leader remembers when each round began: a fetch proves contact as of that
time only.
"""

from collections import deque
from datetime import timedelta

from hoistsaddle.raft.voters import ReplicaKey

# Rounds begin with answers to fetches, a quarter of fetch_max_wait apart at least, and with each read; a fetch older
# than so many rounds proves nothing.
ROUNDS_KEPT = 4096
# The age of a state that isn't known to have been current at any time.
UNBOUNDED_AGE = timedelta(days=3650)


class Rounds:
    """A leader's rounds in one epoch, and the time at which each began."""

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
        """When that round began; None for a round that is too old to be remembered or never began."""
        index = len(self._began) - 1 - (self.newest - number)
        return self._began[index] if 0 <= index < len(self._began) else None


def majority_contact(
    *,
    voter_sets: list[dict[int, str]],
    leader: ReplicaKey,
    now: timedelta,
    last_contact: dict[ReplicaKey, timedelta | None],
) -> timedelta | None:
    """The latest time at which a majority of every voter set is known to have followed the leader.

    Args:
        voter_sets: The voter sets in force, each a map from replica to incarnation.
        leader: The leader's own key; it counts as following itself at all times.
        now: The current time.
        last_contact: When each replica is known to have followed last.

    Returns:
        None if no majority is known to have followed at any time.
    """
    oldest = now
    for voters in voter_sets:
        timestamps = [now if voter == leader else last_contact.get(voter) for voter in voters.items()]
        known = sorted((timestamp for timestamp in timestamps if timestamp is not None), reverse=True)
        needed = len(voters) // 2 + 1
        if not voters or len(known) < needed:
            return None
        oldest = min(oldest, known[needed - 1])
    return oldest
