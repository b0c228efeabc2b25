"""Messages between the replicas of the log: fetches (KIP-595), snapshots (KIP-630), elections."""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.rpc.messages.values import UNKNOWN_AGE, UNSET

# What a leader says to a replica that leaves; a former release says nothing.
LEAVE_UNANSWERED = 0
LEAVE_WAIT = 1
LEAVE_GO = 2


class Record(NamedTuple):
    """One record of the log; stamp is mesh time."""

    offset: int
    epoch: int
    stamp: timedelta
    payload: bytes


class FetchCall(NamedTuple):
    """A follower asks the leader for the records from an offset on, and says that it has those below."""

    mesh: str
    replica: int
    incarnation: str
    epoch: int
    fetch_offset: int
    # The epoch of the record below the offset.
    fetch_epoch: int
    # The leader's newest round that the follower has heard of.
    round: int
    # Whether the follower holds a state, so that its log counts.
    complete: bool
    # The highest release level the replica supports; a former release doesn't say.
    level: int = 1
    # Its process is to stop: it goes once the leader says that it may.
    leaving: bool = False


class FetchAnswer(NamedTuple):
    """Records, or where the follower's log parts from the leader's, or the checkpoint to begin with."""

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
    # How long ago, when this was made, the leader last knew that a majority followed it and its state was the newest.
    contact_age: timedelta = UNKNOWN_AGE


class FetchSnapshotCall(NamedTuple):
    """A follower asks for a chunk of a checkpoint; the position is in bytes."""

    replica: int
    epoch: int
    checkpoint_offset: int
    checkpoint_epoch: int
    position: int
    max_bytes: int


class FetchSnapshotAnswer(NamedTuple):
    """The chunk; continues says whether more follow."""

    error: str
    epoch: int
    checkpoint_offset: int
    checkpoint_epoch: int
    position: int = 0
    data: bytes = b""
    continues: bool = False


class VoteCall(NamedTuple):
    """A candidate asks for a vote, or for a pre-vote that binds nobody."""

    mesh: str
    epoch: int
    replica: int
    incarnation: str
    # The end of the candidate's log.
    last_offset: int
    last_epoch: int
    pre_vote: bool
    level: int = 1
    # The leader named this replica for its place: whoever still hears that leader may vote all the same.
    leadership_transfer: bool = False


class VoteAnswer(NamedTuple):
    """Whether the vote is granted; vote_epoch is the epoch that was asked for."""

    epoch: int
    replica: int
    incarnation: str
    granted: bool
    pre_vote: bool
    vote_epoch: int


class BeginEpochCall(NamedTuple):
    """A leader says that it leads."""

    mesh: str
    epoch: int
    leader: int


class EndEpochCall(NamedTuple):
    """A leader says that it resigns."""

    epoch: int
    leader: int
    # Whom the leader calls to stand at once; UNSET if it names nobody.
    successor: int = UNSET


class EpochAcknowledged(NamedTuple):
    """The answer to both: the epoch of the replica that was called."""

    epoch: int
