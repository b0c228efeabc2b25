"""The events that the Raft core handles, the commands that it returns, and its timings. The core does no I/O."""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.rpc.messages import FetchSnapshotCall, Record
from hoistsaddle.statemachine.commands import Outcome
from hoistsaddle.statemachine.state import State


class OffsetAndEpoch(NamedTuple):
    """A position in the log: a record's offset and its epoch.

    Also names a checkpoint (KIP-630): the largest offset that it includes, and that record's epoch.
    """

    offset: int
    epoch: int


class Boot(NamedTuple):
    """What a replica's disk held when its process started."""

    replica: int
    incarnation: str
    epoch: int = 0
    vote: tuple[int, str] | None = None
    voters: tuple[tuple[int, str], ...] = ()
    mesh: str = ""
    begin: OffsetAndEpoch = OffsetAndEpoch(0, 0)
    catching: bool = False
    records: tuple[Record, ...] = ()
    checkpoint: OffsetAndEpoch | None = None
    state: State | None = None
    # The highest offset known to be committed when the disk was last written.
    committed: int = 0
    # The seeds of the mesh's first start, if this incarnation of the disk took part in it.
    first_seeds: tuple[int, ...] = ()


# -- events ----------------------------------------------------------------------------------------------------------


class CallArrived(NamedTuple):
    """Another replica's call; the ticket identifies the answer."""

    ticket: int
    message: tuple


class AnswerArrived(NamedTuple):
    """A replica's answer to the call with the number."""

    number: int
    replica: int
    message: tuple


class CallRefused(NamedTuple):
    """A replica's address refuses connections: its process has gone, unlike one that merely doesn't answer."""

    replica: int


class Ticked(NamedTuple):
    """The timer fired; arrives every few milliseconds."""


class Synced(NamedTuple):
    """Every write up to the sequence number is durable."""

    sequence: int


class RaiseArrived(NamedTuple):
    """A request to raise the release level, from a process that has checked that all nodes support it."""

    ticket: int
    level: int


class CheckpointStored(NamedTuple):
    """A captured checkpoint is on the disk."""

    checkpoint_id: OffsetAndEpoch
    size: int


class CheckpointFailed(NamedTuple):
    """A captured checkpoint could not be stored."""

    checkpoint_id: OffsetAndEpoch


class CheckpointLoaded(NamedTuple):
    """A checkpoint has been fetched completely; state is None if its verification failed."""

    checkpoint_id: OffsetAndEpoch
    state: State | None


class ProposalArrived(NamedTuple):
    """Payloads to append to the log as one record each."""

    ticket: int
    payloads: tuple[bytes, ...]


class ReadArrived(NamedTuple):
    """A request for the state, confirmed by a majority."""

    ticket: int


class StopRequested(NamedTuple):
    """The process is to stop.

    Within the span the replica makes sure that all committed records are on a majority without it; then it ends in any
    case.
    """

    span: timedelta = timedelta()


# -- commands --------------------------------------------------------------------------------------------------------


class Send(NamedTuple):
    """Send a call to a replica once the write with the sequence number `after` is synced."""

    number: int
    replica: int
    message: tuple
    after: int


class Answer(NamedTuple):
    """Answer the call with the ticket once the write with the sequence number `after` is synced."""

    ticket: int
    message: tuple
    after: int


class Write(NamedTuple):
    """Store epoch, vote and the other facts, and change the log: clear it, truncate it, then add the records."""

    sequence: int
    epoch: int
    vote: tuple[int, str] | None
    voters: tuple[tuple[int, str], ...]
    mesh: str
    begin: OffsetAndEpoch
    catching: bool
    clear: bool
    truncate_from: int
    records: tuple[Record, ...]
    committed: int = 0


class Capture(NamedTuple):
    """Store the state as a checkpoint."""

    checkpoint_id: OffsetAndEpoch
    state: State


class DropCheckpoints(NamedTuple):
    """Remove the checkpoints below the offset, except those that a replica is still fetching."""

    below: int
    keep: tuple[OffsetAndEpoch, ...] = ()


class StoreChunk(NamedTuple):
    """Store one chunk of a checkpoint that is being fetched; the position is in bytes."""

    checkpoint_id: OffsetAndEpoch
    position: int
    data: bytes
    last: bool


class ReadChunk(NamedTuple):
    """Read one chunk of a checkpoint and answer the ticket's call with it."""

    ticket: int
    epoch: int
    call: FetchSnapshotCall
    max_bytes: int


class ProposalResult(NamedTuple):
    """The result of a proposal; error is the kind of the error, empty if its records were committed."""

    ticket: int
    error: str
    leader: int
    offset: int
    outcomes: tuple[Outcome, ...]


class ReadResult(NamedTuple):
    """The result of a confirmed read: the state, or the kind of the error."""

    ticket: int
    error: str
    leader: int
    state: State | None


class Ended(NamedTuple):
    """The replica has ended and the process may exit; why gives the reason."""

    why: str


class Announce(NamedTuple):
    """A change of state for the event list that operators see; kind and the detail's keys are their interface."""

    kind: str
    detail: dict


class RaftTimings(NamedTuple):
    """Timeouts, intervals and batch sizes of a replica; docs/measurements.md says how the defaults were measured."""

    # How long a leader keeps a fetch pending while it has no records for it (Kafka's fetch.max.wait.ms).
    fetch_max_wait: timedelta = timedelta(milliseconds=100)
    # How long new records are batched before they are sent to an observer: its fetches commit nothing, but each costs
    # the leader as much as a voter's.
    observer_batch_delay: timedelta = timedelta(milliseconds=40)
    # The minimum time between two answers with records to one voter. Under load it batches records; the first record
    # after a pause is still sent at once.
    voter_batch_interval: timedelta = timedelta()
    # A fetch that got no answer for this long is sent again.
    fetch_timeout: timedelta = timedelta(milliseconds=350)
    # Each election timeout is drawn at random between these two.
    election_timeout_min: timedelta = timedelta(milliseconds=500)
    election_timeout_max: timedelta = timedelta(milliseconds=850)
    # The fraction of an election timeout that a replica waits for a leader after it has started.
    startup_election_fraction: float = 1.0
    # How long a candidate waits for a majority before it retries, plus a fraction of an election timeout.
    vote_retry_interval: timedelta = timedelta(milliseconds=250)
    # A leader that no majority has fetched from for this long steps down.
    quorum_timeout: timedelta = timedelta(milliseconds=1000)
    # How often a leader announces itself to the replicas that don't fetch from it.
    begin_epoch_interval: timedelta = timedelta(milliseconds=150)
    # A replica that fetched within this time counts as alive.
    liveness_timeout: timedelta = timedelta(seconds=3)
    # How long the log is kept for live replicas that have not fetched it yet.
    lag_wait: timedelta = timedelta(seconds=10)
    # A leader whose oldest unsynced write has waited this long steps down.
    disk_stall_timeout: timedelta = timedelta(seconds=1)
    # How often a leader logs the time while keys are held and nothing else is written.
    tick_record_interval: timedelta = timedelta(seconds=1)
    # The number of applied records after which a checkpoint is captured.
    checkpoint_records: int = 2000
    # How often a replica that is unknown to the leader looks for one.
    leader_discovery_interval: timedelta = timedelta(milliseconds=300)
    # How long a voter must be silent before it is replaced: replacement_timeout_for() of the default settings.
    replacement_timeout: timedelta = timedelta(seconds=1)
    # The size of a chunk of a fetched checkpoint, in bytes.
    chunk_bytes: int = 65536
    # The maximum number of records in one answer to a fetch.
    fetch_records: int = 500
    # The maximum bytes of records in one answer: on a slow link shared with other traffic, sending more would exceed
    # the fetch timeout.
    fetch_bytes: int = 256 * 1024


def replacement_timeout_for(*, settle: timedelta, losses: int) -> timedelta:
    """How long a voter must be silent before a ready successor takes its place.

    A ready successor must become a voter within half of the settle time, even if the maximum number of voters is lost
    at once. They are replaced one after the other, so that half is divided into one part for each change and one part
    for the preceding silence. The result is at least two fetch timeouts, because a voter that is merely busy would look
    lost otherwise.

    Args:
        settle: The time within which the mesh must have recovered from losses.
        losses: How many voters may be lost at once.
    """
    return max(settle / 2 / (losses + 1), RaftTimings().fetch_timeout * 2)
