"""Events and commands of the core of a proxy under bundles; the sidecar uses some of them too."""

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

# The commands about keys that are submitted to the log: a claim, a settlement or a release.
HoldCommand = ClaimKey | CompleteKey | ReleaseKey


class RequestArrived(NamedTuple):
    """A request of a client or of the local server, read completely."""

    ticket: int
    # The service of the local server that sent the request; empty for a client.
    caller: str
    client: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    key: str
    # The instance that the local server names in its call, and the names of headers that occurred more than once.
    instance: str = ""
    twice: tuple[str, ...] = ()


class ClientDisconnected(NamedTuple):
    """The client closed its connection."""

    ticket: int


class HoldAnswered(NamedTuple):
    """The result of a claim, a settlement or a release; outcome is None if no core machine answered."""

    number: int
    outcome: Outcome | None
    # Without an outcome: whether the log may have accepted the command or may still do so.
    maybe_accepted: bool = True


class ForwardAnswered(NamedTuple):
    """The target's proxy answered an attempt."""

    number: int
    answer: BundleForwardAnswer


class ForwardFailed(NamedTuple):
    """An attempt got no answer; `unsent` means that nothing was ever written to the target."""

    number: int
    unsent: bool


class ForwardWithheld(NamedTuple):
    """This proxy withheld an attempt before its first byte, because its lease had expired or it had been frozen."""

    number: int


class ForwardArrived(NamedTuple):
    """Another proxy forwards an attempt for the local server; `frozen` if this process was frozen meanwhile."""

    ticket: int
    call: BundleForwardCall
    frozen: bool


class ServerAnswered(NamedTuple):
    """The local server answered a request that it ran."""

    number: int
    status: int
    headers: dict[str, str]
    body: bytes


class ServerFailed(NamedTuple):
    """The local server gave no answer to a request; `unsent` means that nothing was written to it."""

    number: int
    unsent: bool
    error: MeshError


class HealthReported(NamedTuple):
    """The local server reported its health."""

    service: str
    instance: str
    address: str
    state: str


class ConfigurationChanged(NamedTuple):
    """Another configuration is in force."""

    view: View


class LeaseRenewed(NamedTuple):
    """The configuration was confirmed to be in force at this time."""

    start: timedelta


class StopRequested(NamedTuple):
    """The process was asked to stop."""


class Ticked(NamedTuple):
    """A tick of the node's timer."""


class AnswerClient(NamedTuple):
    """The final answer to a client."""

    ticket: int
    outcome: str
    status: int
    headers: dict[str, str]
    body: bytes
    error: MeshError | None
    retry_after: timedelta | None


class SubmitHold(NamedTuple):
    """Submits a claim, a settlement or a release of a key to the log."""

    number: int
    command: HoldCommand
    # The time until which an answer is useful; None for the default timeout.
    deadline: timedelta | None = None


class ForwardRequest(NamedTuple):
    """Forwards an attempt to the proxy at this address."""

    number: int
    address: str
    call: BundleForwardCall
    within: timedelta


class RunOnServer(NamedTuple):
    """Runs an attempt on the local server."""

    number: int
    address: str
    call: BundleForwardCall
    within: timedelta


class AnswerForward(NamedTuple):
    """Answers a forwarded attempt."""

    ticket: int
    answer: BundleForwardAnswer


class ReportHealth(NamedTuple):
    """Reports the local server's state immediately instead of with the next heartbeat."""


class Announce(NamedTuple):
    """Records an event for operators."""

    kind: str
    detail: dict


class Count(NamedTuple):
    """Increments a counter."""

    name: str
