"""Messages to a store: writes, confirmed reads, the bootstrap of a mesh, status, release levels."""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.rpc.messages.values import UNSET

# As an event's number: above all that will ever be.
NO_EVENTS = 2**62


class BootstrapCall(NamedTuple):
    """Begin a mesh: voters are incarnations by replica, operators are keys by name."""

    mesh: str
    voters: dict[int, str]
    operators: dict[str, str]
    level: int = 1


class BootstrapAnswer(NamedTuple):
    """The mesh that the store belongs to now, and its disk's incarnation."""

    error: str
    mesh: str
    incarnation: str


class FoundingStatusCall(NamedTuple):
    """Ask a store what it knows of a founding."""

    caller: str


class FoundingStatusAnswer(NamedTuple):
    """Whether a replica's disk belongs to a mesh, and what it would found one by."""

    # Empty for a blank disk.
    mesh: str
    replica: int
    incarnation: str
    # Of the recorded first start; without one the controllers that it knows of, itself among them.
    seeds: tuple[int, ...]
    # Whether this disk was there at the first start of all and has kept what it acknowledged since.
    first_start: bool


class StatusCall(NamedTuple):
    """Ask a store for its status."""

    caller: str
    # Events above this number go along; by default none.
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
    # Why the replica can't go on; empty while it can.
    halted: str = ""
    # How long the oldest write has been waiting for its sync.
    unsynced: timedelta = timedelta()


class RaiseLevelCall(NamedTuple):
    """Raise the release level of the log."""

    level: int


class RaiseLevelAnswer(NamedTuple):
    """The kind of the error, empty if the level is raised."""

    error: str
    message: str


class WriteCall(NamedTuple):
    """Append payloads to the log, one record each."""

    caller: str
    payloads: tuple[bytes, ...]


class WriteAnswer(NamedTuple):
    """The outcome of each record, and the last one's offset; or the kind of the error and who leads."""

    error: str
    leader: int
    outcomes: tuple[bytes, ...] = ()
    offset: int = UNSET


class ReadCall(NamedTuple):
    """Read a part of the state, confirmed by a majority."""

    caller: str
    part: str
    known_revision: int


class ReadAnswer(NamedTuple):
    """The part's content at a revision of the configuration, or the kind of the error and who leads."""

    error: str
    leader: int
    revision: int = UNSET
    offset: int = UNSET
    content: bytes = b""
    # Of every range of the configuration at this revision, as the log has it.
    digests: tuple[int, ...] = ()
    # Of the leader that confirmed the read; 0 from a former release.
    epoch: int = 0
