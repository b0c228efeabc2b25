"""Events that reach a stall's core and the commands it answers with."""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.errors import Mishap
from hoistsaddle.rpc.messages import PassAnswer, PassCall
from hoistsaddle.statemachine.commands import ClaimHold, Outcome, ReleaseHold, SettleHold
from hoistsaddle.statemachine.view import View

ANSWERED = "answered"
NOT_RUN = "not-run"
STILL_WORKING = "still-working"
UNKNOWN = "unknown"
REFUSED = "refused"


class RequestArrived(NamedTuple):
    ticket: int
    # The service whose server calls through its own door; empty for a visitor.
    caller: str
    visitor: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    key: str
    # The server's own name for itself on an inner call, and the names of headers that came more than once.
    instance: str = ""
    twice: tuple[str, ...] = ()


class RequestGone(NamedTuple):
    """The visitor hung up; what was sent is still followed to its end."""

    ticket: int


class HoldAnswered(NamedTuple):
    """What came of a claim, settling or release; outcome is None when no core machine answered."""

    number: int
    outcome: Outcome | None


class PassAnswered(NamedTuple):
    number: int
    answer: PassAnswer


class PassMissed(NamedTuple):
    """No answer. unsent means that nothing was ever written to the target."""

    number: int
    unsent: bool


class PassHeld(NamedTuple):
    """This stall held the send back itself, directly before its first byte: its lease had lapsed, or
    it had stood still."""

    number: int


class PassArrived(NamedTuple):
    ticket: int
    call: PassCall
    frozen: bool


class ServerAnswered(NamedTuple):
    number: int
    status: int
    headers: dict[str, str]
    body: bytes


class ServerMissed(NamedTuple):
    number: int
    unsent: bool
    mishap: Mishap


class VitalsArrived(NamedTuple):
    service: str
    instance: str
    address: str
    state: str


class SetupChanged(NamedTuple):
    view: View


class LeaseRenewed(NamedTuple):
    start: timedelta


class StopAsked(NamedTuple):
    pass


class Ticked(NamedTuple):
    pass


class AnswerVisitor(NamedTuple):
    ticket: int
    outcome: str
    status: int
    headers: dict[str, str]
    body: bytes
    mishap: Mishap | None
    retry_after: timedelta | None


class AskHold(NamedTuple):
    number: int
    command: ClaimHold | SettleHold | ReleaseHold


class PassOn(NamedTuple):
    number: int
    address: str
    call: PassCall
    within: timedelta


class RunServer(NamedTuple):
    number: int
    address: str
    call: PassCall
    within: timedelta


class AnswerPass(NamedTuple):
    ticket: int
    answer: PassAnswer


class ReportVitals(NamedTuple):
    """The server's standing changed and must travel at once, not with the next heartbeat."""


class Announce(NamedTuple):
    kind: str
    detail: dict
