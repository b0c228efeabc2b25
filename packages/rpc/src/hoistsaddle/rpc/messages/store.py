"""Messages to a store: writes, confirmed reads, the bootstrap of a mesh, status, release levels."""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.rpc.messages.values import UNSET

# An event number above all that can occur, so that no events are requested.
NO_EVENTS = 2**62


class BootstrapCall(NamedTuple):
    """Bootstraps a mesh: `voters` maps replicas to incarnations, `operators` maps names to keys."""

    mesh: str
    voters: dict[int, str]
    operators: dict[str, str]
    level: int = 1


class BootstrapAnswer(NamedTuple):
    """The mesh to which the store belongs now, and the incarnation of its disk."""

    error: str
    mesh: str
    incarnation: str


class FoundingStatusCall(NamedTuple):
    """Requests what a store knows about the founding of the mesh."""

    caller: str


class FoundingStatusAnswer(NamedTuple):
    """Whether a replica's disk belongs to a mesh, and the data that it would use to found one."""

    # Empty for a blank disk.
    mesh: str
    replica: int
    incarnation: str
    # The seeds of the recorded first start, or, without such a record, the controllers that it knows, including itself.
    seeds: tuple[int, ...]
    # Whether this disk took part in the very first start and still has everything that it has acknowledged since.
    first_start: bool
    # A former release doesn't send it.
    zone: str = ""


class StatusCall(NamedTuple):
    """Requests the status of a store."""

    caller: str
    # The answer contains the events above this number; by default none.
    after: int = NO_EVENTS


class StatusAnswer(NamedTuple):
    """A replica's role and positions; counters and events are JSON."""

    mesh: str
    replica: int
    incarnation: str
    epoch: int
    leader: int
    role: str
    last_offset: int
    high_watermark: int
    begin_offset: int
    counters: bytes
    events: bytes
    level: int = 1
    # Why the replica has halted; empty while it runs.
    halted: str = ""
    # How long the oldest write has been waiting to be synced to disk.
    unsynced: timedelta = timedelta()


class RaiseLevelCall(NamedTuple):
    """Raises the release level of the log."""

    level: int


class RaiseLevelAnswer(NamedTuple):
    """The kind and message of the error; the kind is empty if the level was raised."""

    error: str
    message: str


class WriteCall(NamedTuple):
    """Appends payloads to the log, one record each."""

    caller: str
    payloads: tuple[bytes, ...]


class WriteAnswer(NamedTuple):
    """The outcome of each record and the offset of the last one, or the kind of the error; and the leader."""

    error: str
    leader: int
    outcomes: tuple[bytes, ...] = ()
    offset: int = UNSET


class ReadCall(NamedTuple):
    """Reads a part of the state, confirmed by a majority."""

    caller: str
    part: str
    known_revision: int


class ReadAnswer(NamedTuple):
    """The part's content at a revision of the configuration, or the kind of the error; and the leader."""

    error: str
    leader: int
    revision: int = UNSET
    offset: int = UNSET
    content: bytes = b""
    # The digest of each range of the configuration at this revision, as computed from the log.
    digests: tuple[int, ...] = ()
    # The epoch of the leader that confirmed the read; 0 from a former release.
    epoch: int = 0
