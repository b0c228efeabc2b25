"""Events that reach the ledger's core and commands it gives back. The core does no input or output itself."""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.rpc.messages import FetchSnapshotCall, Record
from hoistsaddle.statemachine.commands import Outcome
from hoistsaddle.statemachine.state import State


class OffsetAndEpoch(NamedTuple):
    """Names a checkpoint: the largest offset it includes and that record's epoch."""

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


class CallArrived(NamedTuple):
    ticket: int
    message: tuple


class AnswerArrived(NamedTuple):
    number: int
    replica: int
    message: tuple


class CallRefused(NamedTuple):
    """Nobody takes connections where that replica was: its process is gone, unlike one that is only silent."""

    replica: int


class Ticked(NamedTuple):
    pass


class Synced(NamedTuple):
    sequence: int


class RaiseArrived(NamedTuple):
    """Somebody who knows that every other process supports the level asks for it."""

    ticket: int
    level: int


class CheckpointStored(NamedTuple):
    checkpoint_id: OffsetAndEpoch
    size: int


class CheckpointFailed(NamedTuple):
    checkpoint_id: OffsetAndEpoch


class CheckpointLoaded(NamedTuple):
    """A pulled checkpoint, whole and checked; state is None when the check failed."""

    checkpoint_id: OffsetAndEpoch
    state: State | None


class ProposalArrived(NamedTuple):
    ticket: int
    payloads: tuple[bytes, ...]


class ReadArrived(NamedTuple):
    ticket: int


class StopRequested(NamedTuple):
    """The process is to end. Within the span the replica hands over what hangs on it alone; then it ends regardless."""

    span: timedelta = timedelta()


class Send(NamedTuple):
    number: int
    replica: int
    message: tuple
    after: int


class Answer(NamedTuple):
    ticket: int
    message: tuple
    after: int


class Write(NamedTuple):
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
    checkpoint_id: OffsetAndEpoch
    state: State


class DropCheckpoints(NamedTuple):
    """Those below the offset go, but for any that somebody is still pulling."""

    below: int
    keep: tuple[OffsetAndEpoch, ...] = ()


class StoreChunk(NamedTuple):
    checkpoint_id: OffsetAndEpoch
    position: int
    data: bytes
    last: bool


class ReadChunk(NamedTuple):
    ticket: int
    epoch: int
    call: FetchSnapshotCall
    max_bytes: int


class ProposalResult(NamedTuple):
    ticket: int
    error: str
    leader: int
    offset: int
    outcomes: tuple[Outcome, ...]


class ReadResult(NamedTuple):
    ticket: int
    error: str
    leader: int
    state: State | None


class Ended(NamedTuple):
    """Nothing keeps the process any longer; why says whether all was handed over."""

    why: str


class Announce(NamedTuple):
    kind: str
    detail: dict


class RaftTimings(NamedTuple):
    """Spans and sizes of the ledger; the defaults are ours and measured in docs/measurements.md."""

    fetch_max_wait: timedelta = timedelta(milliseconds=100)
    # How long new records wait for each other before they go to a replica without a vote: nothing commits by its
    # fetches, and each costs the leader as much as a voter's.
    observer_batch_delay: timedelta = timedelta(milliseconds=40)
    # The least time between two answers with records to one voter: under load records then go in batches, and the first
    # after a pause still goes at once.
    voter_batch_interval: timedelta = timedelta()
    fetch_timeout: timedelta = timedelta(milliseconds=350)
    election_timeout_min: timedelta = timedelta(milliseconds=500)
    election_timeout_max: timedelta = timedelta(milliseconds=850)
    # The part of an election's span that a replica waits for a leader after its own start.
    startup_election_fraction: float = 1.0
    vote_retry_interval: timedelta = timedelta(milliseconds=250)
    quorum_timeout: timedelta = timedelta(milliseconds=1000)
    begin_epoch_interval: timedelta = timedelta(milliseconds=150)
    liveness_timeout: timedelta = timedelta(seconds=3)
    lag_wait: timedelta = timedelta(seconds=10)
    disk_stall_timeout: timedelta = timedelta(seconds=1)
    tick_record_interval: timedelta = timedelta(seconds=1)
    checkpoint_records: int = 2000
    # How often a replica that no leader knows of asks for one.
    leader_discovery_interval: timedelta = timedelta(milliseconds=300)
    # How long a voter must be silent to be replaced: replace_span_of the defaults of the settings.
    replacement_timeout: timedelta = timedelta(seconds=1)
    chunk_bytes: int = 65536
    fetch_records: int = 500
    # An answer larger than this would take longer than a fetch waits, on a slow link shared with other traffic.
    fetch_bytes: int = 256 * 1024


def replacement_timeout_for(*, settle: timedelta, losses: int) -> timedelta:
    """How long a voter must be silent before a ready successor takes its place.

    From the successor's readiness to its counted vote no more than half of the settling span may go by, also when as
    many voters as may be lost fall silent at once: they are replaced one after the other, each change in a part of
    that half, and the silence that must come first is one part more. Below two fetches that got no answer a voter that
    is merely busy would look lost.
    """
    return max(settle / 2 / (losses + 1), RaftTimings().fetch_timeout * 2)
