"""The messages as tuples, and their passage to and from thrift. Field names and order are mesh.thrift's."""

import re
from collections.abc import Callable
from datetime import timedelta
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from hoistsaddle.common.clock import from_microseconds, to_microseconds

mesh_thrift = thriftpy2.load(str(Path(__file__).with_name("mesh.thrift")), module_name="hoistsaddle_mesh_thrift")
_protocol = TCyBinaryProtocolFactory()

UNSET = -1
# An age that nobody told: from a former release, or where nothing is known.
UNKNOWN_AGE = timedelta(microseconds=-1)


class Record(NamedTuple):
    offset: int
    epoch: int
    stamp: timedelta
    payload: bytes


class FetchCall(NamedTuple):
    mesh: str
    replica: int
    incarnation: str
    epoch: int
    fetch_offset: int
    fetch_epoch: int
    round: int
    complete: bool
    # The highest release level the replica supports; a former release doesn't say.
    level: int = 1
    # Its process was told to stop: it goes once the leader says that it may.
    leaving: bool = False


# What a leader says to a replica that leaves; a former release says nothing.
LEAVE_UNANSWERED = 0
LEAVE_WAIT = 1
LEAVE_GO = 2


class FetchAnswer(NamedTuple):
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
    replica: int
    epoch: int
    checkpoint_offset: int
    checkpoint_epoch: int
    position: int
    max_bytes: int


class FetchSnapshotAnswer(NamedTuple):
    error: str
    epoch: int
    checkpoint_offset: int
    checkpoint_epoch: int
    position: int = 0
    data: bytes = b""
    continues: bool = False


class VoteCall(NamedTuple):
    mesh: str
    epoch: int
    replica: int
    incarnation: str
    last_offset: int
    last_epoch: int
    pre_vote: bool
    level: int = 1
    # The leader named this replica for its place: whoever still hears that leader may vote all the same.
    handed: bool = False


class VoteAnswer(NamedTuple):
    epoch: int
    replica: int
    incarnation: str
    granted: bool
    pre_vote: bool
    vote_epoch: int


class BeginEpochCall(NamedTuple):
    mesh: str
    epoch: int
    leader: int


class EndEpochCall(NamedTuple):
    epoch: int
    leader: int
    # Whom the leader calls to stand at once; UNSET if it names nobody.
    successor: int = UNSET


class Heard(NamedTuple):
    epoch: int


class BootstrapCall(NamedTuple):
    mesh: str
    voters: dict[int, str]
    operators: dict[str, str]
    level: int = 1


class BootstrapAnswer(NamedTuple):
    error: str
    mesh: str
    incarnation: str


class StatusCall(NamedTuple):
    asker: str
    # Happenings above this number go along; by default none.
    after: int = 2**62


class StatusAnswer(NamedTuple):
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
    halted: str = ""
    # How long the oldest write has been waiting for its sync.
    unsynced: timedelta = timedelta()


class RaiseLevelCall(NamedTuple):
    level: int


class RaiseLevelAnswer(NamedTuple):
    error: str
    message: str


class WriteCall(NamedTuple):
    asker: str
    payloads: tuple[bytes, ...]


class WriteAnswer(NamedTuple):
    error: str
    leader: int
    outcomes: tuple[bytes, ...] = ()
    offset: int = UNSET


class ReadCall(NamedTuple):
    asker: str
    part: str
    known_revision: int


class ReadAnswer(NamedTuple):
    error: str
    leader: int
    revision: int = UNSET
    offset: int = UNSET
    content: bytes = b""
    # Of every range of the news at this revision, as the log has it.
    digests: tuple[int, ...] = ()
    # Of the leader that confirmed the read; 0 from a former release.
    epoch: int = 0


class AppliedVersion(NamedTuple):
    node: str
    revision: int
    bundle: int
    refusal: str
    incarnation: str
    refused_bundle: int


class ConfigurationItem(NamedTuple):
    key: str
    revision: int
    value: bytes


class PollCall(NamedTuple):
    node: str
    incarnation: str
    mesh: str
    revision: int
    digests: tuple[int, ...]
    applied_versions: tuple[AppliedVersion, ...]
    # Whether the answer may hold the changes since `revision` alone, and its items in one block. A former release knows
    # neither.
    takes_changes: bool = False
    takes_block: bool = False


class PollAnswer(NamedTuple):
    error: str
    mesh: str
    revision: int
    lease_age: timedelta
    ranges: tuple[int, ...] = ()
    items: tuple[ConfigurationItem, ...] = ()
    expected_digests: tuple[int, ...] = ()
    # Under which leader's epoch the news was confirmed; 0 from a former release.
    epoch: int = 0
    # The items are what was set since the asker's revision, and `removed` what was removed since; no range is whole.
    only_changes: bool = False
    removed: tuple[str, ...] = ()
    # The items, compressed, for an asker that takes them so.
    block: bytes = b""


class AppliedVersionsCall(NamedTuple):
    asker: str


class AppliedVersionsAnswer(NamedTuple):
    applied_versions: tuple[AppliedVersion, ...]
    level: int = 1


class HealthCall(NamedTuple):
    node: str
    incarnation: str
    address: str
    zone: str
    service_name: str
    instance: str
    server: str
    state: str
    serial: int
    seen: int = -1
    level: int = 1


class HealthAnswer(NamedTuple):
    error: str
    state: str
    serial: int


class MemberState(NamedTuple):
    node: str
    kind: str
    address: str
    zone: str
    incarnation: str
    count: int  # type: ignore[assignment]
    state: str


class ProbeCall(NamedTuple):
    asker: str
    member_states: tuple[MemberState, ...]


class ProbeAnswer(NamedTuple):
    node: str
    member_states: tuple[MemberState, ...]


class IndirectProbeCall(NamedTuple):
    asker: str
    address: str


class IndirectProbeAnswer(NamedTuple):
    alive: bool
    member_states: tuple[MemberState, ...]


class BundleForwardCall(NamedTuple):
    send: str
    caller: str
    client: str
    service_name: str
    target: str
    instance: str
    bundle: int
    entry: str
    budget: timedelta
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    hold: str
    answer_bytes: int
    # 1 for a request's first send, more for further ones.
    ordinal: int = 1


class BundleForwardAnswer(NamedTuple):
    send: str
    outcome: str
    error: str = ""
    detail: str = ""
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    digest: str = ""


class ForwardCall(NamedTuple):
    """A request under items. Headers are msgpack of name, value pairs of bytes, in their order."""

    send: str
    service_name: str
    target: str
    instance: str
    budget: timedelta
    aim: timedelta
    rank: int
    entry: str
    method: str
    path: bytes
    headers: bytes
    body: bytes
    caller: str
    # The client's own id of this try.
    client_attempt_id: str
    ordinal: int = 1
    repeatable: bool = False


class ForwardAnswer(NamedTuple):
    send: str
    outcome: str
    error: str = ""
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    # Requests running and waiting at the target's server, how many it works on at a time, and what this one took.
    load: int = 0
    room: int = 1
    took: timedelta = timedelta()


class FollowCall(NamedTuple):
    """What became of an attempt whose connection broke. Answered as the attempt itself would be."""

    send: str
    # The life of the sidecar that it went to: another one can't know.
    life: str
    budget: timedelta


class AbandonCall(NamedTuple):
    """The client of a repeatable attempt has left: nobody waits for its answer any more."""

    send: str


class AbandonAnswer(NamedTuple):
    # Whether the attempt was waiting or running there.
    known: bool


class ClaimQueryCall(NamedTuple):
    claim: str


class ClaimQueryAnswer(NamedTuple):
    standing: str
    status: int = 0
    headers: bytes = b""
    body: bytes = b""


class PingCall(NamedTuple):
    asker: str


class PingAnswer(NamedTuple):
    node: str


MESSAGES: dict[str, Any] = {
    name: value
    for name, value in list(globals().items())
    if isinstance(value, type) and issubclass(value, tuple) and hasattr(value, "_fields")
}


Converter = Callable[[Any], Any]


@cache
def tag_of(kind: Any) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", kind.__name__).lower()


def _writer_of(hint: Any) -> Converter | None:
    """Turns a field's value into its thrift form; None where the two are the same."""
    if hint is timedelta:
        return to_microseconds
    if get_origin(hint) is tuple:
        write = _writer_of(get_args(hint)[0])
        return list if write is None else lambda values: [write(value) for value in values]
    return to_thrift if _is_message(hint) else None


def _reader_of(hint: Any) -> Converter | None:
    """Turns a field's thrift form into its value; None where the two are the same."""
    if hint is timedelta:
        return from_microseconds
    if get_origin(hint) is tuple:
        read = _reader_of(get_args(hint)[0])
        if read is None:
            return lambda values: tuple(values or ())
        return lambda values: tuple([read(value) for value in values or ()])
    if get_origin(hint) is dict:
        return lambda value: dict(value or {})
    if hint is bytes:
        return lambda value: value if isinstance(value, bytes) else (value or "").encode()
    return from_thrift if _is_message(hint) else None


def _is_message(hint: Any) -> bool:
    return isinstance(hint, type) and hasattr(hint, "_fields")


class _Field(NamedTuple):
    """One field of a message, with what turns it into thrift and back."""

    name: str
    write: Converter | None
    read: Converter | None
    has_default: bool


@cache
def _fields_of(kind: Any) -> tuple[_Field, ...]:
    # Looking the hints up for each message was half of a busy controller's processor time: once a kind is enough.
    hints = get_type_hints(kind)
    return tuple(
        _Field(name, _writer_of(hints[name]), _reader_of(hints[name]), name in kind._field_defaults)
        for name in kind._fields
    )


def to_thrift(message: Any) -> object:
    kind: Any = type(message)
    struct = getattr(mesh_thrift, kind.__name__)()
    for field, value in zip(_fields_of(kind), message, strict=True):
        setattr(struct, field.name, value if field.write is None else field.write(value))
    return struct


def from_thrift(struct: object) -> tuple:
    kind = MESSAGES[type(struct).__name__]
    values = {}
    for field in _fields_of(kind):
        value = getattr(struct, field.name)
        # A field an older sender doesn't know arrives unset and falls back to the tuple's default.
        if value is None and field.has_default:
            continue
        values[field.name] = value if field.read is None else field.read(value)
    return kind(**values)


def pack(*, number: int, answer: bool, message: tuple, sent: float = 0.0) -> bytes:
    message = mesh_thrift.Message(**{tag_of(type(message)): to_thrift(message)})
    return serialize(
        mesh_thrift.Frame(number=number, answer=answer, message=message, sent=round(sent * 1e6) or None), _protocol
    )


class Frame(NamedTuple):
    number: int
    answer: bool
    # None for one that only a newer release knows.
    message: tuple | None
    # Its sender's monotonic clock in seconds; 0 where it says nothing.
    sent: float = 0.0


def unpack_frame(data: bytes) -> Frame:
    frame = deserialize(mesh_thrift.Frame(), data, _protocol)
    message = next((from_thrift(value) for value in vars(frame.message).values() if value is not None), None)
    return Frame(frame.number, bool(frame.answer), message, (frame.sent or 0) / 1e6)


def unpack(data: bytes) -> tuple[int, bool, tuple | None]:
    """Number, whether it is an answer, and the message."""
    return unpack_frame(data)[:3]
