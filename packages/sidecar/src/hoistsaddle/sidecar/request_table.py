"""The requests that clients of this sidecar wait for, and which log or mesh call belongs to which of them."""

from datetime import timedelta
from enum import Enum, auto

from hoistsaddle.common.errors import MeshError
from hoistsaddle.config.items import RouteItem, latency_target
from hoistsaddle.rpc.messages import ForwardAnswer, ForwardCall
from hoistsaddle.sidecar.messages import RequestArrived

# Of a request without a call so far; numbers of calls begin at 1.
NO_CALL = 0


class AttemptState(Enum):
    """Where a request's newest attempt stands."""

    # There is none, or what became of it is known.
    NONE = auto()
    # Its body is announced, and nothing of it was sent.
    ANNOUNCED = auto()
    # It was sent, and its answer is under way.
    SENT = auto()
    # Its connection broke, and a question what became of it is under way.
    ASKED = auto()
    # Its last question ended without an answer, and the next one is due later: nothing is under way.
    BETWEEN_QUESTIONS = auto()

    def may_have_run(self) -> bool:
        """Whether the attempt was sent and nobody has said what became of it."""
        return self in (AttemptState.SENT, AttemptState.ASKED, AttemptState.BETWEEN_QUESTIONS)


class PendingRequest:
    """One admitted request of a client, until its final answer."""

    def __init__(
        self, *, event: RequestArrived, route: RouteItem, service: str, now: timedelta, deadline: timedelta
    ) -> None:
        """Keep the request.

        Args:
            event: the request as it arrived.
            route: the route that its host and path match.
            service: the service that was picked of the route's.
            now: when it arrived.
            deadline: when it must have its final answer.
        """
        self.event = event
        self.ticket = event.ticket
        self.route = route
        self.service = service
        self.arrived = now
        self.deadline = deadline
        self.latency_deadline = min(deadline, now + latency_target(route))
        # Sidecars that were sent an attempt, and those that get no further one.
        self.sidecars_tried = 0
        self.excluded: set[str] = set()
        # Attempts that may have reached a server.
        self.attempts = 0
        # Set once an attempt may have run and nobody can say.
        self.uncertain = False
        self.last_error: MeshError | None = None
        # A server's own failure: the final answer if no other attempt does better.
        self.server_failure: ForwardAnswer | None = None
        # Whether its first attempt has earned its share of a retry.
        self.counted = False
        # The newest call about it, to the log or to a sidecar.
        self.call_number = NO_CALL
        # The newest attempt: its id, where it went, and how often that sidecar was asked what became of it.
        self.attempt_id = ""
        self.target = ""
        self.target_incarnation = ""
        self.target_address = ""
        self.follow_ups = 0
        self.attempt_state = AttemptState.NONE
        # When a question about it ended last without an answer.
        self.unanswered_at: timedelta | None = None
        # The call whose body was announced and not sent so far, and how often a large body was sent.
        self.announced: ForwardCall | None = None
        self.large_bodies_sent = 0
        # The key's claim in the log, whether it was granted, and the claim that it may replace.
        self.scope = ""
        self.claim = ""
        self.claimed = False
        self.replaces_claim = ""
        # The other request's claim whose outcome was asked for.
        self.queried_claim = ""


class RequestTable:
    """All pending requests by ticket, and the calls under way by their number.

    A call is here from the command that makes it until the event that ends it, and no longer.
    """

    def __init__(self) -> None:
        self.requests: dict[int, PendingRequest] = {}
        self.tickets: dict[int, int] = {}

    def add(self, request: PendingRequest) -> None:
        """Take up an admitted request."""
        self.requests[request.ticket] = request

    def remove(self, request: PendingRequest) -> None:
        """Forget a request that has its final answer."""
        del self.requests[request.ticket]

    def get(self, ticket: int) -> PendingRequest | None:
        """Return the pending request with this ticket."""
        return self.requests.get(ticket)

    def begin_call(self, request: PendingRequest, number: int) -> None:
        """Note that the call with this number is the newest one about the request."""
        request.call_number = number
        self.tickets[number] = request.ticket

    def end_call(self, number: int) -> PendingRequest | None:
        """Close a call and return its request; None if that has its final answer."""
        return self.requests.get(self.tickets.pop(number, -1))

    def has_call(self, request: PendingRequest) -> bool:
        """Whether the newest call about the request is still under way."""
        return request.call_number in self.tickets

    def expired(self, now: timedelta) -> list[PendingRequest]:
        """Return the requests whose deadline has passed."""
        return [request for request in self.requests.values() if now >= request.deadline]
