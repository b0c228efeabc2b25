"""The pending requests of this sidecar's clients, and the calls to the log or to sidecars that belong to each."""

from datetime import timedelta
from enum import Enum, auto

from hoistsaddle.common.errors import MeshError
from hoistsaddle.config.items import RouteItem, latency_target
from hoistsaddle.rpc.messages import ForwardAnswer, ForwardCall
from hoistsaddle.sidecar.messages import RequestArrived

# The call number of a request without a call; real numbers begin at 1.
NO_CALL = 0


class AttemptState(Enum):
    """The state of a request's newest attempt."""

    # There is no attempt, or its outcome is known.
    NONE = auto()
    # Its body is announced, but nothing of it was sent.
    ANNOUNCED = auto()
    # It was sent and awaits its answer.
    SENT = auto()
    # Its connection broke, and a follow call that asks for its outcome is in flight.
    FOLLOWING = auto()
    # The last follow call got no answer, and the next one is due later: nothing is in flight.
    BETWEEN_FOLLOW_CALLS = auto()

    def may_have_run(self) -> bool:
        """Whether the attempt was sent and its outcome is unknown."""
        return self in (AttemptState.SENT, AttemptState.FOLLOWING, AttemptState.BETWEEN_FOLLOW_CALLS)


class PendingRequest:
    """An admitted client request that has no final response yet."""

    def __init__(
        self, *, event: RequestArrived, route: RouteItem, service: str, now: timedelta, deadline: timedelta
    ) -> None:
        """Store the request.

        Args:
            event: the request as it arrived.
            route: the route that its host and path match.
            service: the service that was picked from those of the route.
            now: when it arrived.
            deadline: when it must have its final response.
        """
        self.event = event
        self.ticket = event.ticket
        self.route = route
        self.service = service
        self.arrived = now
        self.deadline = deadline
        self.latency_deadline = min(deadline, now + latency_target(route))
        # How many sidecars were sent an attempt, and which ones must not be sent another.
        self.sidecars_tried = 0
        self.excluded: set[str] = set()
        # Attempts that may have reached a server.
        self.attempts = 0
        # Whether an attempt may have run whose outcome is unknown.
        self.uncertain = False
        self.last_error: MeshError | None = None
        # A 5xx answer of a server: the final response if no other attempt succeeds.
        self.server_failure: ForwardAnswer | None = None
        # Whether its first attempt has been credited to the retry budget.
        self.counted = False
        # The number of the newest call for it, to the log or to a sidecar.
        self.call_number = NO_CALL
        # The newest attempt: its id, its target, and how many follow calls about it got no answer.
        self.attempt_id = ""
        self.target = ""
        self.target_incarnation = ""
        self.target_address = ""
        self.follow_ups = 0
        self.attempt_state = AttemptState.NONE
        # When the last follow call about it ended without an answer.
        self.unanswered_at: timedelta | None = None
        # The call whose body was announced but not sent yet, and how often a large body was sent.
        self.announced: ForwardCall | None = None
        self.large_bodies_sent = 0
        # The key's claim in the log, whether it was granted, and the claim that it may replace.
        self.scope = ""
        self.claim = ""
        self.claimed = False
        self.replaces_claim = ""
        # The claim of another request that was queried for its outcome.
        self.queried_claim = ""


class RequestTable:
    """All pending requests by ticket, and the calls in flight by number.

    A call is listed from the command that starts it until the event that ends it.
    """

    def __init__(self) -> None:
        self.requests: dict[int, PendingRequest] = {}
        self.tickets: dict[int, int] = {}

    def add(self, request: PendingRequest) -> None:
        """Add an admitted request."""
        self.requests[request.ticket] = request

    def remove(self, request: PendingRequest) -> None:
        """Remove a request that has its final response."""
        del self.requests[request.ticket]

    def get(self, ticket: int) -> PendingRequest | None:
        """Return the pending request with this ticket."""
        return self.requests.get(ticket)

    def begin_call(self, request: PendingRequest, number: int) -> None:
        """Record the call with this number as the request's newest one."""
        request.call_number = number
        self.tickets[number] = request.ticket

    def end_call(self, number: int) -> PendingRequest | None:
        """End a call and return its request; None if the request has its final response."""
        return self.requests.get(self.tickets.pop(number, -1))

    def has_call(self, request: PendingRequest) -> bool:
        """Whether the request's newest call is still in flight."""
        return request.call_number in self.tickets

    def expired(self, now: timedelta) -> list[PendingRequest]:
        """Return the requests whose deadline has passed."""
        return [request for request in self.requests.values() if now >= request.deadline]
