"""Events that reach a sidecar's core and the commands it answers with. Headers are msgpack of pairs of bytes."""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.errors import MeshError
from hoistsaddle.rpc.messages import (
    AbandonAnswer,
    AbandonCall,
    ClaimQueryAnswer,
    ClaimQueryCall,
    FollowCall,
    ForwardAnswer,
    ForwardCall,
)


class RequestArrived(NamedTuple):
    """A request at this proxy's door, read whole."""

    ticket: int
    method: str
    host: str
    # Path and query as they came.
    path: str
    headers: bytes
    header_bytes: int
    body: bytes
    # What its sender gives it; None leaves it to the entry.
    budget: timedelta | None
    key: str
    client_attempt_id: str
    # For how long this process may have left it unread, as far as it stood still itself.
    unread: timedelta = timedelta()


class ClientDisconnected(NamedTuple):
    """The client hung up. What may not be repeated is followed to its end; the rest is given up."""

    ticket: int


class ForwardAnswered(NamedTuple):
    number: int
    answer: ForwardAnswer


class ForwardFailed(NamedTuple):
    """No answer. unsent means that nothing was ever written to the target."""

    number: int
    unsent: bool


class ForwardArrived(NamedTuple):
    ticket: int
    call: ForwardCall
    # How old it was as it was read: its words say what time it had left as it was written.
    age: timedelta = timedelta()


class FollowArrived(NamedTuple):
    ticket: int
    call: FollowCall


class Followed(NamedTuple):
    """What the target's life said of the attempt; answer is None when nobody said anything."""

    number: int
    answer: ForwardAnswer | None
    # Nobody listens at its address.
    refused: bool = False


class AbandonArrived(NamedTuple):
    ticket: int
    call: AbandonCall


class ServerAnswered(NamedTuple):
    number: int
    status: int
    headers: bytes
    body: bytes
    # The server says itself that it did not run it.
    not_run: bool


class ServerFailed(NamedTuple):
    number: int
    unsent: bool
    error: MeshError


class ClaimQueryArrived(NamedTuple):
    ticket: int
    call: ClaimQueryCall


class ClaimQueryAnswered(NamedTuple):
    """answer is None when the proxy that holds the key said nothing."""

    number: int
    answer: ClaimQueryAnswer | None


class HealthReported(NamedTuple):
    """What the own server says of itself."""

    service: str
    instance: str
    address: str
    state: str
    room: int
    cold: timedelta


class CloseRequested(NamedTuple):
    """Nothing more comes through this proxy: what runs is finished, and no more taken."""


class GraceExpired(NamedTuple):
    """The process ends in a moment: every request that still waits here gets its final answer now."""


class Abandon(NamedTuple):
    """Tell the sidecar at this address that nobody waits for the attempt."""

    address: str
    call: AbandonCall


class AnswerAbandon(NamedTuple):
    ticket: int
    answer: AbandonAnswer


class CancelRun(NamedTuple):
    """Break off what runs on the own server under this number: its connection closes, and its end isn't told."""

    number: int


class Reply(NamedTuple):
    """The final answer at the door; headers are only the server's own."""

    ticket: int
    status: int
    headers: bytes
    body: bytes
    error: MeshError | None
    retry_after: timedelta | None


class ForwardRequest(NamedTuple):
    number: int
    address: str
    call: ForwardCall
    within: timedelta


class Follow(NamedTuple):
    """Asks the target's sidecar what became of an attempt."""

    number: int
    address: str
    call: FollowCall
    within: timedelta


class RunOnServer(NamedTuple):
    number: int
    address: str
    call: ForwardCall
    within: timedelta


class QueryClaim(NamedTuple):
    number: int
    address: str
    call: ClaimQueryCall


class AnswerForward(NamedTuple):
    ticket: int
    answer: ForwardAnswer


class AnswerClaimQuery(NamedTuple):
    ticket: int
    answer: ClaimQueryAnswer
