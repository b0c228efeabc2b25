"""What clients, servers and operators of the emulator saw, and the troubles made: all that its checkers read."""

from collections import defaultdict
from typing import Any, NamedTuple, TypeVar

from hoistsaddle.testbed.emulator.site import Route

Event = TypeVar("Event")


class RequestSent(NamedTuple):
    """One try of a client, or of a server's own call, at a machine's door."""

    at: float
    attempt: str
    machine: str
    # The life of the machine's process, counted by the emulator.
    life: int
    service: str
    route: str
    method: str
    path: str
    body: str
    key: str
    deadline: float
    # The run that made this call; empty for a client's.
    parent: str = ""


class RequestArrived(NamedTuple):
    """A request reached a server, whether or not it runs there."""

    at: float
    attempt: str
    service: str
    instance: str
    machine: str
    # The server's word that it is another one.
    misdirected: bool


class RunStarted(NamedTuple):
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
    """A server ended its work; whole says whether its answer went out whole."""

    at: float
    run: str
    status: int
    body: str
    complete: bool


class RequestResult(NamedTuple):
    """How a try ended: answered, broken (closed without an answer), unreached, or given up by its client."""

    at: float
    attempt: str
    outcome: str
    status: int = 0
    seal: str = ""
    body: str = ""
    retry_after: float | None = None


class ChangeSubmitted(NamedTuple):
    """An operator's order is sent for the first time. Routes by name with their revision; None drops."""

    at: float
    change_request: str
    routes: tuple[tuple[str, int, Route | None], ...]
    proper: bool
    # Every item with the operator's own words, to compare with what is read back.
    said: dict[str, Any]
    # Other orders use the same version for another content: one of them may be confirmed, the others refused.
    contested: bool = False


class ChangeAnswered(NamedTuple):
    """The operator got an answer to an order; 0 is silence."""

    at: float
    change_request: str
    status: int
    machine: str


class ChangeAnswerLost(NamedTuple):
    """A core machine's answer to an order, lost on its way: the operator knows nothing of it."""

    at: float
    change_request: str
    status: int
    machine: str


class FinalChange(NamedTuple):
    """The order that is sent in calm at the day's end: whoever has a majority can take it."""

    at: float
    change_request: str


class HeartbeatAcknowledged(NamedTuple):
    """A sidecar acknowledged what its server said."""

    at: float
    machine: str
    instance: str
    state: str


class ProcessStarted(NamedTuple):
    at: float
    machine: str
    service: str
    life: int


class FaultStarted(NamedTuple):
    """Trouble begins on a machine. planned: by the operator's own hand."""

    at: float
    number: int
    machine: str
    kind: str
    planned: bool = False


class FaultEnded(NamedTuple):
    at: float
    number: int


class FinalFaultEnded(NamedTuple):
    """The day's last fault struck; back is when the machines returned."""

    at: float
    back: float


class ConfigurationRead(NamedTuple):
    """What one core machine said at the end; None is no answer."""

    at: float
    machine: str
    routes: dict[str, dict] | None


class ProgramFailed(NamedTuple):
    """A program of ours ended or raised by itself."""

    at: float
    what: str


class History:
    def __init__(self) -> None:
        self.events: list[Any] = []
        self.by_kind: dict[type, list] = defaultdict(list)

    def add(self, event: NamedTuple) -> None:
        self.events.append(event)
        self.by_kind[type(event)].append(event)

    def of(self, kind: type[Event]) -> list[Event]:
        return self.by_kind[kind]
