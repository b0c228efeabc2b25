"""What clients, servers and operators of the emulator observed, and the faults injected: all that its checkers read.

Times are seconds of simulated time. Identifiers of attempts, runs and changes are unique in a history.
"""

from collections import defaultdict
from typing import Any, NamedTuple, TypeVar

from hoistsaddle.testbed.emulator.site import Route

Event = TypeVar("Event")


class RequestSent(NamedTuple):
    """One attempt of a client, or of a server's nested call, at the proxy of a machine."""

    at: float
    attempt: str
    machine: str
    # Which process of the machine, counted by the emulator.
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
    """A request reached a server, whether or not it runs there."""

    at: float
    attempt: str
    service: str
    instance: str
    machine: str
    # The request was meant for another instance, and the server says so.
    misdirected: bool


class RunStarted(NamedTuple):
    """A server began to work on a request."""

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
    """A server ended its work; complete says whether its answer was sent completely."""

    at: float
    run: str
    status: int
    body: str
    complete: bool


class RequestResult(NamedTuple):
    """How an attempt ended: answered, broken (closed without an answer), unreached, or given up by its client."""

    at: float
    attempt: str
    outcome: str
    status: int = 0
    # The run whose server gave the answer; empty for a proxy's own answer.
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
    # Every route as it was encoded by the operator, to compare with what is read back.
    encoded_routes: dict[str, Any]
    # Other changes use the same revision for other contents: one of them may be confirmed, the others refused.
    contested: bool = False


class ChangeAnswered(NamedTuple):
    """The operator got an answer to a change; status 0 is a time-out."""

    at: float
    change_request: str
    status: int
    machine: str


class ChangeAnswerLost(NamedTuple):
    """A core machine's answer to a change was lost on the way: the operator doesn't know of it."""

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
    """A program started on a machine; incarnation is the emulator's count of processes."""

    at: float
    machine: str
    service: str
    incarnation: int


class FaultStarted(NamedTuple):
    """A fault begins on a machine; planned is one by an operator's own hand."""

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
    """The day's last fault struck at `at`; the machines returned at `recovered_at`."""

    at: float
    recovered_at: float


class ConfigurationRead(NamedTuple):
    """What one core machine returned when its configuration was read at the end; None is no answer."""

    at: float
    machine: str
    routes: dict[str, dict] | None


class ProgramFailed(NamedTuple):
    """A program under test ended or raised by itself."""

    at: float
    what: str


class History:
    """All events of a day, in order and by kind."""

    def __init__(self) -> None:
        self.events: list[Any] = []
        self.by_kind: dict[type, list] = defaultdict(list)

    def add(self, event: NamedTuple) -> None:
        """Appends an event."""
        self.events.append(event)
        self.by_kind[type(event)].append(event)

    def of(self, kind: type[Event]) -> list[Event]:
        """The events of one kind, in order."""
        return self.by_kind[kind]
