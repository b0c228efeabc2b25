"""Attempts whose connection broke: the life of the sidecar that they went to is asked what became of them.

What may not be repeated is never sent again on a guess. That life's own word decides: its answer, that it never came
and is shut out now, or that nobody knows.
"""

from datetime import timedelta

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.core_state import mesh_error
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN
from hoistsaddle.rpc.messages import FollowCall, ForwardAnswer
from hoistsaddle.sidecar.messages import Follow, Followed, ForwardAnswered
from hoistsaddle.sidecar.request_table import PendingRequest, RequestTable

# Nobody answered: asked again this much later each time, for as long as the request's own time lasts.
FOLLOW_AGAIN = milliseconds(100)


class AttemptFollower(RequestTable):
    def __init__(self, **needs) -> None:
        super().__init__(**needs)
        # When to ask again, and after which request.
        self.follow_again: list[tuple[timedelta, int]] = []

    def _follow(self, ticket: int, request: PendingRequest) -> None:
        request.number = self._number()
        self.by_number[request.number] = ticket
        left = request.deadline - self.now
        node = self.view.nodes.get(request.target.proxy)
        address = node.address if node is not None else request.address
        self._out.append(Follow(request.number, address, FollowCall(request.send, request.life, left), left))

    def _followed(self, event: Followed) -> None:
        ticket = self.by_number.pop(event.number, -1)
        request = self.pending_requests.get(ticket)
        answer = event.answer
        if request is None or request.number != event.number:
            if answer is None or answer.outcome == NOT_RUN:
                # What the target still knows of it is sure only within its time.
                return self._late_miss(event.number)
            return self._late_answer(ForwardAnswered(event.number, answer))
        if answer is None:
            if event.refused:
                # Nobody listens there: that life is over, and what it did isn't known.
                return self._unanswered(ticket, request)
            self.by_number[event.number] = ticket
            request.follows += 1
            self.follow_again.append((self.now + FOLLOW_AGAIN * request.follows, ticket))
            return None
        if answer.send != request.send:
            return self._unanswered(ticket, request)
        if answer.outcome == NOT_RUN and self.now < request.deadline:
            return self._not_taken(ticket, request, ErrorKind(answer.error))
        request.sends += 1
        if answer.outcome == ANSWERED:
            return self._answered(ticket, request, answer)
        self._unanswered(ticket, request, counted=True)

    def _unanswered(self, ticket: int, request: PendingRequest, *, counted: bool = False) -> None:
        if not counted:
            request.sends += 1
        error = mesh_error(ErrorKind.SILENT, f"{request.target.proxy} gave no answer.", "Ask what became of it.")
        self._uncertain(ticket, request, error)

    def _follow_tick(self) -> None:
        again, self.follow_again = self.follow_again, []
        for timestamp, ticket in again:
            if self.now < timestamp:
                self.follow_again.append((timestamp, ticket))
            elif (request := self.pending_requests.get(ticket)) is not None:
                self.by_number.pop(request.number, None)
                self._follow(ticket, request)

    def _late_answer(self, event: ForwardAnswered) -> None:
        raise NotImplementedError

    def _late_miss(self, number: int) -> None:
        raise NotImplementedError

    def _not_taken(self, ticket: int, request: PendingRequest, kind: ErrorKind) -> None:
        raise NotImplementedError

    def _answered(self, ticket: int, request: PendingRequest, answer: ForwardAnswer) -> None:
        raise NotImplementedError

    def _uncertain(self, ticket: int, request: PendingRequest, error) -> None:
        raise NotImplementedError
