"""Messages between the replicas of the log: fetches (KIP-595), snapshots (KIP-630), elections."""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.rpc.messages.values import UNKNOWN_AGE, UNSET

# The leader's answer to a replica that is leaving; a former release sends none (LEAVE_UNANSWERED).
LEAVE_UNANSWERED = 0
LEAVE_WAIT = 1
LEAVE_ALLOWED = 2


class Record(NamedTuple):
    """One record of the log; the stamp is in mesh time."""

    offset: int
    epoch: int
    stamp: timedelta
    payload: bytes


class FetchCall(NamedTuple):
    """Requests the records from an offset on, and acknowledges those below it."""

    mesh: str
    replica: int
    incarnation: str
    epoch: int
    fetch_offset: int
    # The epoch of the record below the offset.
    fetch_epoch: int
    # The newest round of the leader that the follower has received.
    round: int
    # Whether the follower has a complete state, so that its log counts.
    complete: bool
    # The highest release level that the replica supports; a former release doesn't send it.
    level: int = 1
    # Whether the replica's process is shutting down: it stops once the leader allows it to leave.
    leaving: bool = False


class FetchAnswer(NamedTuple):
    """Records, or where the follower's log diverges from the leader's, or the checkpoint to fetch first."""

    error: str
    epoch: int
    leader: int
    high_watermark: int = UNSET
    begin_offset: int = UNSET
    records: tuple[Record, ...] = ()
    diverging_offset: int = UNSET
    diverging_epoch: int = UNSET
    checkpoint_offset: int = UNSET
    checkpoint_epoch: int = UNSET
    next_offset: int = UNSET
    round: int = 0
    leave: int = LEAVE_UNANSWERED
    # The time, as of this answer, since the leader last knew that a majority followed it and that its state was the
    # newest.
    contact_age: timedelta = UNKNOWN_AGE


class FetchSnapshotCall(NamedTuple):
    """Requests a chunk of a checkpoint; the position is in bytes."""

    replica: int
    epoch: int
    checkpoint_offset: int
    checkpoint_epoch: int
    position: int
    max_bytes: int


class FetchSnapshotAnswer(NamedTuple):
    """A chunk of a checkpoint; `continues` is set if more chunks follow."""

    error: str
    epoch: int
    checkpoint_offset: int
    checkpoint_epoch: int
    position: int = 0
    data: bytes = b""
    continues: bool = False


class VoteCall(NamedTuple):
    """Requests a vote for the candidate, or a pre-vote, which is not binding."""

    mesh: str
    epoch: int
    replica: int
    incarnation: str
    # The offset and epoch at the end of the candidate's log.
    last_offset: int
    last_epoch: int
    pre_vote: bool
    level: int = 1
    # Whether the leader transfers its leadership to this replica: replicas that are still in contact with that leader
    # may then vote too.
    leadership_transfer: bool = False


class VoteAnswer(NamedTuple):
    """Whether the vote is granted; `vote_epoch` is the epoch of the request."""

    epoch: int
    replica: int
    incarnation: str
    granted: bool
    pre_vote: bool
    vote_epoch: int


class BeginEpochCall(NamedTuple):
    """Announces a new leader to the other replicas."""

    mesh: str
    epoch: int
    leader: int


class EndEpochCall(NamedTuple):
    """Announces that the leader resigns."""

    epoch: int
    leader: int
    # The replica that is to become a candidate immediately (leadership transfer); UNSET for none.
    successor: int = UNSET


class EpochAcknowledged(NamedTuple):
    """The answer to BeginEpochCall and EndEpochCall: the epoch of the called replica."""

    epoch: int
