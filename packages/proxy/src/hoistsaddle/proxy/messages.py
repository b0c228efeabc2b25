"""Events that reach a proxy's core and the commands it answers with."""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.errors import MeshError
from hoistsaddle.rpc.messages import BundleForwardAnswer, BundleForwardCall
from hoistsaddle.statemachine.commands import ClaimKey, CompleteKey, Outcome, ReleaseKey
from hoistsaddle.statemachine.view import View

ANSWERED = "answered"
NOT_RUN = "not-run"
STILL_WORKING = "still-working"
UNKNOWN = "unknown"
REFUSED = "refused"


class RequestArrived(NamedTuple):
    ticket: int
    # The service whose server calls through its own door; empty for a client.
    caller: str
    client: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    key: str
    # The server's own name for itself on an inner call, and the names of headers that came more than once.
    instance: str = ""
    twice: tuple[str, ...] = ()


class ClientDisconnected(NamedTuple):
    """The client hung up; what was sent is still followed to its end."""

    ticket: int


class HoldAnswered(NamedTuple):
    """What came of a claim, settling or release; outcome is None when no core machine answered."""

    number: int
    outcome: Outcome | None


class ForwardAnswered(NamedTuple):
    number: int
    answer: BundleForwardAnswer


class ForwardFailed(NamedTuple):
    """No answer. unsent means that nothing was ever written to the target."""

    number: int
    unsent: bool


class ForwardWithheld(NamedTuple):
    """This proxy held the send back itself, directly before its first byte: its lease had lapsed, or
    it had stood still."""

    number: int


class ForwardArrived(NamedTuple):
    ticket: int
    call: BundleForwardCall
    frozen: bool


class ServerAnswered(NamedTuple):
    number: int
    status: int
    headers: dict[str, str]
    body: bytes


class ServerFailed(NamedTuple):
    number: int
    unsent: bool
    error: MeshError


class HealthReported(NamedTuple):
    service: str
    instance: str
    address: str
    state: str


class ConfigurationChanged(NamedTuple):
    view: View


class LeaseRenewed(NamedTuple):
    start: timedelta


class StopRequested(NamedTuple):
    pass


class Ticked(NamedTuple):
    pass


class AnswerClient(NamedTuple):
    ticket: int
    outcome: str
    status: int
    headers: dict[str, str]
    body: bytes
    error: MeshError | None
    retry_after: timedelta | None


class SubmitHold(NamedTuple):
    number: int
    command: ClaimKey | CompleteKey | ReleaseKey


class ForwardRequest(NamedTuple):
    number: int
    address: str
    call: BundleForwardCall
    within: timedelta


class RunOnServer(NamedTuple):
    number: int
    address: str
    call: BundleForwardCall
    within: timedelta


class AnswerForward(NamedTuple):
    ticket: int
    answer: BundleForwardAnswer


class ReportHealth(NamedTuple):
    """The server's standing changed and must travel at once, not with the next heartbeat."""


class Announce(NamedTuple):
    kind: str
    detail: dict
