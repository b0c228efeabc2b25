"""Events that reach the Raft core, commands that it gives back, and its timings. The core itself does no I/O."""

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
    # Up to here the log was known to be committed when it was last written.
    committed: int = 0
    # The seeds of the first start of all, if this incarnation of the disk was there.
    first_seeds: tuple[int, ...] = ()


# -- events ----------------------------------------------------------------------------------------------------------


class CallArrived(NamedTuple):
    """Another replica's call; the answer names the ticket."""

    ticket: int
    message: tuple


class AnswerArrived(NamedTuple):
    """A replica's answer to the call that was sent under the number."""

    number: int
    replica: int
    message: tuple


class CallRefused(NamedTuple):
    """A replica's address takes no connections: its process is gone, unlike one that only gives no answer."""

    replica: int


class Ticked(NamedTuple):
    """Time went on; comes every few milliseconds."""


class Synced(NamedTuple):
    """Every write up to the sequence number lasts on the disk."""

    sequence: int


class RaiseArrived(NamedTuple):
    """A request to raise the release level, from a process that knows that all nodes support it."""

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
    """A checkpoint that was fetched completely; state is None when its check failed."""

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

    Within the span the replica hands over what would otherwise hang on it alone; then it ends regardless.
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
    """What became of a proposal; error is the kind of the error, empty if its records were committed."""

    ticket: int
    error: str
    leader: int
    offset: int
    outcomes: tuple[Outcome, ...]


class ReadResult(NamedTuple):
    """A confirmed state, or the kind of the error."""

    ticket: int
    error: str
    leader: int
    state: State | None


class Ended(NamedTuple):
    """Nothing keeps the process any longer; why says whether all was handed over."""

    why: str


class Announce(NamedTuple):
    """A change of state for the event list that operators see; kind and the detail's keys are their interface."""

    kind: str
    detail: dict


class RaftTimings(NamedTuple):
    """Time-outs, intervals and batch sizes of a replica; docs/measurements.md says how the defaults were measured."""

    # How long a leader holds a fetch that it has no records for (Kafka's fetch.max.wait.ms).
    fetch_max_wait: timedelta = timedelta(milliseconds=100)
    # How long new records wait for each other before they go to a replica without a vote: nothing commits by its
    # fetches, and each costs the leader as much as a voter's.
    observer_batch_delay: timedelta = timedelta(milliseconds=40)
    # The least time between two answers with records to one voter: under load records then go in batches, and the first
    # after a pause still goes at once.
    voter_batch_interval: timedelta = timedelta()
    # A fetch that got no answer for this long is sent again.
    fetch_timeout: timedelta = timedelta(milliseconds=350)
    # An election time-out is drawn anew between the two each time.
    election_timeout_min: timedelta = timedelta(milliseconds=500)
    election_timeout_max: timedelta = timedelta(milliseconds=850)
    # The part of an election time-out that a replica waits for a leader after its own start.
    startup_election_fraction: float = 1.0
    # How long a candidate waits for a majority, beside a part of an election time-out.
    vote_retry_interval: timedelta = timedelta(milliseconds=250)
    # A leader that no majority has fetched from for this long steps down.
    quorum_timeout: timedelta = timedelta(milliseconds=1000)
    # How often a leader tells the replicas that don't fetch from it that it leads.
    begin_epoch_interval: timedelta = timedelta(milliseconds=150)
    # A replica that fetched within this time counts as alive.
    liveness_timeout: timedelta = timedelta(seconds=3)
    # How long the log is kept for live replicas that have not fetched it yet.
    lag_wait: timedelta = timedelta(seconds=10)
    # A leader whose oldest write has waited this long for its sync steps down.
    disk_stall_timeout: timedelta = timedelta(seconds=1)
    # How often a leader logs the time while keys are held and nothing else is written.
    tick_record_interval: timedelta = timedelta(seconds=1)
    # A checkpoint is captured after so many records.
    checkpoint_records: int = 2000
    # How often a replica that no leader knows of asks for one.
    leader_discovery_interval: timedelta = timedelta(milliseconds=300)
    # How long a voter must be silent to be replaced: replacement_timeout_for the defaults of the settings.
    replacement_timeout: timedelta = timedelta(seconds=1)
    # The size of a chunk of a fetched checkpoint, in bytes.
    chunk_bytes: int = 65536
    # The most records in one answer to a fetch.
    fetch_records: int = 500
    # An answer larger than this would take longer than a fetch waits, on a slow link shared with other traffic.
    fetch_bytes: int = 256 * 1024


def replacement_timeout_for(*, settle: timedelta, losses: int) -> timedelta:
    """How long a voter must be silent before a ready successor takes its place.

    From the successor's readiness to its counted vote no more than half of the settling time may go by, also when as
    many voters as may be lost fall silent at once: they are replaced one after the other, each change in a part of
    that half, and the silence that must come first is one part more. Below two fetches that got no answer a voter that
    is merely busy would look lost.

    Args:
        settle: The time within which the mesh must have recovered from losses.
        losses: How many voters may be lost at once.
    """
    return max(settle / 2 / (losses + 1), RaftTimings().fetch_timeout * 2)
