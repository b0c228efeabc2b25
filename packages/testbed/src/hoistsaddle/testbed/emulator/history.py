"""What clients, servers and operators observed, and the injected faults: the only input of the checkers.

Times are seconds of simulated time. Identifiers of attempts, runs and changes are unique within a history.
"""

from collections import defaultdict
from typing import Any, NamedTuple, TypeVar

from hoistsaddle.testbed.emulator.site import Route

Event = TypeVar("Event")


class RequestSent(NamedTuple):
    """One attempt of a client's request or of a server's nested call, sent to a machine's proxy."""

    at: float
    attempt: str
    machine: str
    # The machine's process at that time, numbered by the emulator.
    incarnation: int
    service: str
    route: str
    method: str
    path: str
    body: str
    key: str
    deadline: float
    # The run that made this nested call; empty for a client's request.
    parent: str = ""


class RequestArrived(NamedTuple):
    """A request arrived at a server, whether or not it runs there."""

    at: float
    attempt: str
    service: str
    instance: str
    machine: str
    # The request was sent to another instance, and the server rejects it for that reason.
    misdirected: bool


class RunStarted(NamedTuple):
    """A server started to run a request."""

    at: float
    run: str
    attempt: str
    service: str
    instance: str
    machine: str
    caller: str
    method: str
    path: str
    body: str
    key: str


class RunEnded(NamedTuple):
    """A server ended a run; `complete` tells whether its whole answer was sent."""

    at: float
    run: str
    status: int
    body: str
    complete: bool


class RequestResult(NamedTuple):
    """How an attempt ended: "answered", "broken" (closed without an answer), "unreached" or "given up"."""

    at: float
    attempt: str
    outcome: str
    status: int = 0
    # The run that produced the answer; empty for an answer of the proxy itself.
    seal: str = ""
    body: str = ""
    retry_after: float | None = None


class RouteChange(NamedTuple):
    """A route at a revision; None removes it."""

    name: str
    revision: int
    route: Route | None


class ChangeSubmitted(NamedTuple):
    """An operator submits a change for the first time."""

    at: float
    change_request: str
    routes: tuple[RouteChange, ...]
    valid: bool
    # Every route as the operator encoded it, to compare with the configuration read at the end.
    encoded_routes: dict[str, Any]
    # Other changes use the same revision with different contents: one may be confirmed, the others are rejected.
    contested: bool = False


class ChangeAnswered(NamedTuple):
    """The operator got an answer to a change; status 0 is a timeout."""

    at: float
    change_request: str
    status: int
    machine: str


class ChangeAnswerLost(NamedTuple):
    """A core machine's answer to a change was lost before it reached the operator."""

    at: float
    change_request: str
    status: int
    machine: str


class FinalChange(NamedTuple):
    """The change submitted at the end of the day, without faults: a core with a majority can commit it."""

    at: float
    change_request: str


class HeartbeatAcknowledged(NamedTuple):
    """A sidecar acknowledged a heartbeat of its server."""

    at: float
    machine: str
    instance: str
    state: str


class ProcessStarted(NamedTuple):
    """A program started on a machine; `incarnation` is the emulator's number for the process."""

    at: float
    machine: str
    service: str
    incarnation: int


class FaultStarted(NamedTuple):
    """A fault started on a machine; `planned` marks an operator's action, such as a stop."""

    at: float
    number: int
    machine: str
    kind: str
    planned: bool = False


class FaultEnded(NamedTuple):
    """The fault of this number ended."""

    at: float
    number: int


class FinalFaultEnded(NamedTuple):
    """The final fault began at `at`; the machines were restarted by `recovered_at`."""

    at: float
    recovered_at: float


class ConfigurationRead(NamedTuple):
    """The configuration that one core machine returned at the end; `routes` is None if it didn't answer."""

    at: float
    machine: str
    routes: dict[str, dict] | None


class ProgramFailed(NamedTuple):
    """A program under test exited or raised without an injected fault."""

    at: float
    what: str


class History:
    """All events of a day, in the order of recording and by type."""

    def __init__(self) -> None:
        self.events: list[Any] = []
        self.by_kind: dict[type, list] = defaultdict(list)

    def add(self, event: NamedTuple) -> None:
        """Appends an event."""
        self.events.append(event)
        self.by_kind[type(event)].append(event)

    def of(self, kind: type[Event]) -> list[Event]:
        """The events of one type, in the order of recording."""
        return self.by_kind[kind]
