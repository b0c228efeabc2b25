"""Events that reach a sidecar's core and the commands it answers with. Headers are msgpack of pairs of bytes."""

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
    # Path and query as they came.
    path: str
    headers: bytes
    header_bytes: int
    body: bytes
    # The time that its sender gives it; None leaves it to the route.
    budget: timedelta | None
    key: str
    client_attempt_id: str
    # For how long this process may have left it unread, as it stood still itself.
    unread: timedelta = timedelta()


class ForwardAnswered(NamedTuple):
    """The target's sidecar answered an attempt."""

    number: int
    answer: ForwardAnswer


class ForwardFailed(NamedTuple):
    """An attempt got no answer; unsent means that nothing was ever written to the target."""

    number: int
    unsent: bool


class ForwardArrived(NamedTuple):
    """Another sidecar forwards an attempt for the local server."""

    ticket: int
    call: ForwardCall
    # How old it was as it was read: its budget is of when it was written.
    age: timedelta = timedelta()


class BodyAnnounced(NamedTuple):
    """Another sidecar is about to forward a request with a large body."""

    ticket: int
    call: AnnounceBodyCall


class BodyAnnouncementAnswered(NamedTuple):
    """What the target's sidecar said to an announced body; answer is None when it said nothing."""

    number: int
    answer: AnnounceBodyAnswer | None


class FollowArrived(NamedTuple):
    """Another sidecar asks what became of an attempt."""

    ticket: int
    call: FollowCall


class Followed(NamedTuple):
    """What the target's sidecar said of an attempt; answer is None when it said nothing."""

    number: int
    answer: ForwardAnswer | None
    # Nobody listens at its address.
    refused: bool = False


class AbandonArrived(NamedTuple):
    """Another sidecar says that nobody waits for an attempt any more."""

    ticket: int
    call: AbandonCall


class ServerAnswered(NamedTuple):
    """The local server answered a run."""

    number: int
    status: int
    headers: bytes
    body: bytes
    # The server itself says that it did not run it.
    not_run: bool


class ServerFailed(NamedTuple):
    """The local server gave no answer to a run; unsent means that nothing was written to it."""

    number: int
    unsent: bool
    error: MeshError


class ClaimQueryArrived(NamedTuple):
    """Another sidecar asks what became of a claim of this one."""

    ticket: int
    call: ClaimQueryCall


class ClaimQueryAnswered(NamedTuple):
    """What a sidecar said of its claim; answer is None when it said nothing."""

    number: int
    answer: ClaimQueryAnswer | None


class HealthReported(NamedTuple):
    """What the local server reports of itself."""

    service: str
    instance: str
    address: str
    state: str
    # How many requests it works on at a time.
    capacity: int
    # For how long it still is slow after its start.
    warm_up: timedelta
    # The report's number at its server, rising with each; 0 where reports carry none.
    sequence: int = 0


class ServerSignedOff(NamedTuple):
    """The local server's instance takes no new work and never will; what it works on may still end."""

    instance: str


class CloseRequested(NamedTuple):
    """No more requests are taken: what runs is finished."""


class GraceExpired(NamedTuple):
    """The process ends in a moment: every pending request gets its final answer now."""


class Abandon(NamedTuple):
    """Tells the sidecar at this address that nobody waits for the attempt any more."""

    address: str
    call: AbandonCall


class AnswerAbandon(NamedTuple):
    """Answers a sidecar's call to abandon an attempt."""

    ticket: int
    answer: AbandonAnswer


class CancelRun(NamedTuple):
    """Cancels a run on the local server: its connection closes, and its end isn't reported."""

    number: int


class Reply(NamedTuple):
    """The final answer to a client; headers are only the server's own."""

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
    # At most so many bytes a second; 0 for as fast as they go.
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
    """Asks the sidecar at this address what became of an attempt."""

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
    """Asks the sidecar at this address what became of its claim."""

    number: int
    address: str
    call: ClaimQueryCall


class AnswerForward(NamedTuple):
    """Answers a forwarded attempt, or a question about one."""

    ticket: int
    answer: ForwardAnswer


class AnswerClaimQuery(NamedTuple):
    """Answers a sidecar's question about a claim."""

    ticket: int
    answer: ClaimQueryAnswer
