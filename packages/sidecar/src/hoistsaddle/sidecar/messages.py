"""Events that a sidecar's core handles and commands that it returns. Headers are msgpack-encoded pairs of bytes."""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.errors import MeshError
from hoistsaddle.rpc.messages import (
    AbandonAnswer,
    AbandonCall,
    AnnounceBodyAnswer,
    AnnounceBodyCall,
    ClaimQueryAnswer,
    ClaimQueryCall,
    FollowCall,
    ForwardAnswer,
    ForwardCall,
)


class RequestArrived(NamedTuple):
    """A client's request, read completely."""

    ticket: int
    method: str
    host: str
    # Path and query as received.
    path: str
    headers: bytes
    header_bytes: int
    body: bytes
    # The time that the client allows; None for the default.
    budget: timedelta | None
    key: str
    client_attempt_id: str
    # How long it may have waited unread because this process was frozen.
    unread: timedelta = timedelta()


class ForwardAnswered(NamedTuple):
    """The target's sidecar has answered an attempt."""

    number: int
    answer: ForwardAnswer


class ForwardFailed(NamedTuple):
    """An attempt got no answer; `unsent` means that nothing was written to the target."""

    number: int
    unsent: bool


class ForwardArrived(NamedTuple):
    """Another sidecar forwards an attempt for the local server."""

    ticket: int
    call: ForwardCall
    # The age of the call when it was read; its budget counts from when it was written.
    age: timedelta = timedelta()


class BodyAnnounced(NamedTuple):
    """Another sidecar is about to forward a request with a large body."""

    ticket: int
    call: AnnounceBodyCall


class BodyAnnouncementAnswered(NamedTuple):
    """The target sidecar's answer to an announced body; `answer` is None if there was none."""

    number: int
    answer: AnnounceBodyAnswer | None


class FollowArrived(NamedTuple):
    """Another sidecar asks for the outcome of an attempt."""

    ticket: int
    call: FollowCall


class Followed(NamedTuple):
    """The target sidecar's answer to a follow call; `answer` is None if there was none."""

    number: int
    answer: ForwardAnswer | None
    # The connection was refused: no process listens at the address.
    refused: bool = False


class AbandonArrived(NamedTuple):
    """Another sidecar reports that an attempt's client no longer waits for it."""

    ticket: int
    call: AbandonCall


class ServerAnswered(NamedTuple):
    """The local server has answered a run."""

    number: int
    status: int
    headers: bytes
    body: bytes
    # Whether the server reports that it did not run the request.
    not_run: bool


class ServerFailed(NamedTuple):
    """The local server gave no answer to a run; `unsent` means that nothing was written to it."""

    number: int
    unsent: bool
    error: MeshError


class ClaimQueryArrived(NamedTuple):
    """Another sidecar asks for the outcome of a claim of this sidecar."""

    ticket: int
    call: ClaimQueryCall


class ClaimQueryAnswered(NamedTuple):
    """A sidecar's answer to a query about its claim; `answer` is None if there was none."""

    number: int
    answer: ClaimQueryAnswer | None


class HealthReported(NamedTuple):
    """A health report of the local server."""

    service: str
    instance: str
    address: str
    state: str
    # How many requests it runs concurrently.
    capacity: int
    # How long it will still be slow after its start.
    warm_up: timedelta
    # The report's sequence number, which rises with each report of the server; 0 if its reports carry none.
    sequence: int = 0


class ServerSignedOff(NamedTuple):
    """An instance of the local server accepts no new requests from now on; running ones may still finish."""

    instance: str


class CloseRequested(NamedTuple):
    """No new requests are accepted; those in progress are finished."""


class GraceExpired(NamedTuple):
    """The process exits in a moment: every pending request gets its final response now."""


class Abandon(NamedTuple):
    """Tells the sidecar at this address that the attempt's client no longer waits for it."""

    address: str
    call: AbandonCall


class AnswerAbandon(NamedTuple):
    """Answers a sidecar's call to abandon an attempt."""

    ticket: int
    answer: AbandonAnswer


class CancelRun(NamedTuple):
    """Cancels a run on the local server: its connection is closed, and its end isn't reported to the core."""

    number: int


class Reply(NamedTuple):
    """The final response to a client; `headers` holds only those of the server."""

    ticket: int
    status: int
    headers: bytes
    body: bytes
    error: MeshError | None
    retry_after: timedelta | None


class ForwardRequest(NamedTuple):
    """Forwards an attempt to the sidecar at this address."""

    number: int
    address: str
    call: ForwardCall
    within: timedelta
    # The rate limit in bytes a second; 0 for none.
    rate: int = 0


class AnnounceBody(NamedTuple):
    """Announces a large body to the sidecar at this address."""

    number: int
    address: str
    call: AnnounceBodyCall
    within: timedelta


class AnswerBodyAnnouncement(NamedTuple):
    """Answers a sidecar that announced a body."""

    ticket: int
    answer: AnnounceBodyAnswer


class Follow(NamedTuple):
    """Asks the sidecar at this address for the outcome of an attempt."""

    number: int
    address: str
    call: FollowCall
    within: timedelta


class RunOnServer(NamedTuple):
    """Runs an attempt on the local server."""

    number: int
    address: str
    call: ForwardCall
    within: timedelta


class QueryClaim(NamedTuple):
    """Asks the sidecar at this address for the outcome of its claim."""

    number: int
    address: str
    call: ClaimQueryCall


class AnswerForward(NamedTuple):
    """Answers a forwarded attempt, or a follow call about one."""

    ticket: int
    answer: ForwardAnswer


class AnswerClaimQuery(NamedTuple):
    """Answers a sidecar's query about a claim."""

    ticket: int
    answer: ClaimQueryAnswer
