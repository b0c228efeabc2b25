"""Follow calls: after a connection broke, the incarnation that an attempt was sent to is asked for its outcome.

A request that isn't idempotent is never retried on a guess. Only that incarnation of the target's sidecar knows the
outcome: an answer, that the attempt never arrived and is barred from now on, or that its outcome is unknown.
"""

from datetime import timedelta
from enum import Enum, auto

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN
from hoistsaddle.rpc.messages import FollowCall
from hoistsaddle.sidecar.messages import Follow, Followed
from hoistsaddle.sidecar.request_table import AttemptState, PendingRequest, RequestTable

# The delay before the next follow call grows by this with each unanswered one, until the request's deadline.
RETRY_BACKOFF = milliseconds(100)


class AttemptOutcome(Enum):
    """The outcome of an attempt, according to the sidecar that it was sent to."""

    # The follow call got no answer and is retried.
    PENDING = auto()
    # The attempt never arrived and is barred from running later.
    NOT_RUN = auto()
    ANSWERED = auto()
    # The attempt may have run, and its outcome can't be found out any more.
    UNKNOWN = auto()


class AttemptFollower:
    """Sends follow calls that ask sidecars for the outcome of attempts, and retries unanswered ones."""

    def __init__(self, *, state: CoreState, requests: RequestTable) -> None:
        self._state = state
        self._requests = requests
        # When to retry, and the ticket of the request.
        self._retries: list[tuple[timedelta, int]] = []

    def follow(self, request: PendingRequest) -> None:
        """Ask for the outcome of the request's newest attempt."""
        number = self._state.next_number()
        self._requests.begin_call(request, number)
        request.attempt_state = AttemptState.FOLLOWING
        left = request.deadline - self._state.now
        node = self._state.view.nodes.get(request.target)
        address = node.address if node is not None else request.target_address
        call = FollowCall(request.attempt_id, request.target_incarnation, left)
        self._state.out.append(Follow(number, address, call, left))

    def followed(self, request: PendingRequest, event: Followed) -> AttemptOutcome:
        """Handle the answer to a follow call about the request's newest attempt."""
        answer = event.answer
        request.attempt_state = AttemptState.NONE
        if answer is None and event.refused:
            # The connection was refused: that incarnation has ended, and the outcome is unknown.
            return AttemptOutcome.UNKNOWN
        if answer is None:
            return self._unanswered(request)
        if answer.attempt_id != request.attempt_id:
            return AttemptOutcome.UNKNOWN
        if answer.outcome == NOT_RUN and self._state.now < request.deadline:
            # "Not run" is reliable only until the request's deadline.
            return AttemptOutcome.NOT_RUN
        return AttemptOutcome.ANSWERED if answer.outcome == ANSWERED else AttemptOutcome.UNKNOWN

    def _unanswered(self, request: PendingRequest) -> AttemptOutcome:
        request.unanswered_at = self._state.now
        if self._state.now >= request.deadline:
            # There is no time for another follow call, and none is in flight that could return the outcome.
            return AttemptOutcome.UNKNOWN
        request.attempt_state = AttemptState.BETWEEN_FOLLOW_CALLS
        request.follow_ups += 1
        self._retries.append((self._state.now + RETRY_BACKOFF * request.follow_ups, request.ticket))
        return AttemptOutcome.PENDING

    def retry_due(self) -> None:
        """Retry the follow calls that are due."""
        retries, self._retries = self._retries, []
        for due, ticket in retries:
            if self._state.now < due:
                self._retries.append((due, ticket))
            elif (request := self._requests.get(ticket)) is not None:
                self.follow(request)
