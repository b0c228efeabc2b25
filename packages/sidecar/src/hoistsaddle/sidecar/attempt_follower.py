"""Attempts whose connection broke: the incarnation of the sidecar that they were sent to is asked what became of them.

What may not be repeated is never sent again on a guess. Only that incarnation can say: the answer, that the attempt
never arrived and is shut out now, or that nobody knows.
"""

from datetime import timedelta
from enum import Enum, auto

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN
from hoistsaddle.rpc.messages import FollowCall
from hoistsaddle.sidecar.messages import Follow, Followed
from hoistsaddle.sidecar.request_table import AttemptState, PendingRequest, RequestTable

# After a question without an answer the next one waits this much longer each time, until the request's deadline.
RETRY_BACKOFF = milliseconds(100)


class AttemptOutcome(Enum):
    """What became of an attempt, as far as the sidecar that it was sent to says."""

    # Nobody answered: it is asked again.
    PENDING = auto()
    # It never arrived, and won't be let in any more.
    NOT_RUN = auto()
    ANSWERED = auto()
    # It may have run, and nobody can say any more.
    UNKNOWN = auto()


class AttemptFollower:
    """Asks sidecars what became of attempts, and again where no answer comes."""

    def __init__(self, *, state: CoreState, requests: RequestTable) -> None:
        self._state = state
        self._requests = requests
        # When to ask again, and after which request.
        self._retries: list[tuple[timedelta, int]] = []

    def follow(self, request: PendingRequest) -> None:
        """Ask what became of the request's newest attempt."""
        number = self._state.next_number()
        self._requests.begin_call(request, number)
        request.attempt_state = AttemptState.ASKED
        left = request.deadline - self._state.now
        node = self._state.view.nodes.get(request.target)
        address = node.address if node is not None else request.target_address
        call = FollowCall(request.attempt_id, request.target_incarnation, left)
        self._state.out.append(Follow(number, address, call, left))

    def followed(self, request: PendingRequest, event: Followed) -> AttemptOutcome:
        """Take the answer to a question about the request's newest attempt."""
        answer = event.answer
        request.attempt_state = AttemptState.NONE
        if answer is None and event.refused:
            # Nobody listens there: that incarnation has ended, and what it did isn't known.
            return AttemptOutcome.UNKNOWN
        if answer is None:
            return self._unanswered(request)
        if answer.attempt_id != request.attempt_id:
            return AttemptOutcome.UNKNOWN
        if answer.outcome == NOT_RUN and self._state.now < request.deadline:
            # What that sidecar still knows of it is sure only within the request's time.
            return AttemptOutcome.NOT_RUN
        return AttemptOutcome.ANSWERED if answer.outcome == ANSWERED else AttemptOutcome.UNKNOWN

    def _unanswered(self, request: PendingRequest) -> AttemptOutcome:
        request.unanswered_at = self._state.now
        if self._state.now >= request.deadline:
            # There is no time for another question, and none is under way that could still say.
            return AttemptOutcome.UNKNOWN
        request.attempt_state = AttemptState.BETWEEN_QUESTIONS
        request.follow_ups += 1
        self._retries.append((self._state.now + RETRY_BACKOFF * request.follow_ups, request.ticket))
        return AttemptOutcome.PENDING

    def retry_due(self) -> None:
        """Ask again what is due."""
        retries, self._retries = self._retries, []
        for due, ticket in retries:
            if self._state.now < due:
                self._retries.append((due, ticket))
            elif (request := self._requests.get(ticket)) is not None:
                self.follow(request)
