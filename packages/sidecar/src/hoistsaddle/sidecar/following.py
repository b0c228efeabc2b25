"""Attempts whose connection broke: the life of the sidecar that they went to is asked what became of them.

What may not be repeated is never sent again on a guess. That life's own word decides: its answer, that it never came
and is shut out now, or that nobody knows.
"""

from datetime import timedelta

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import MishapKind
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN
from hoistsaddle.proxy.standing import mishap_of
from hoistsaddle.rpc.messages import DealAnswer, FollowCall
from hoistsaddle.sidecar.messages import DealAnswered, Follow, Followed
from hoistsaddle.sidecar.requests import Deal, RequestSide

# Nobody answered: asked again this much later each time, for as long as the request's own time lasts.
FOLLOW_AGAIN = milliseconds(100)


class FollowSide(RequestSide):
    def __init__(self, **needs) -> None:
        super().__init__(**needs)
        # When to ask again, and after which request.
        self.follow_again: list[tuple[timedelta, int]] = []

    def _follow(self, ticket: int, deal: Deal) -> None:
        deal.number = self._number()
        self.by_number[deal.number] = ticket
        left = deal.deadline - self.now
        node = self.view.nodes.get(deal.target.stall)
        address = node.address if node is not None else deal.address
        self._out.append(Follow(deal.number, address, FollowCall(deal.send, deal.life, left), left))

    def _followed(self, event: Followed) -> None:
        ticket = self.by_number.pop(event.number, -1)
        deal = self.deals.get(ticket)
        answer = event.answer
        if deal is None or deal.number != event.number:
            if answer is None or answer.outcome == NOT_RUN:
                # What the target still knows of it is sure only within its time.
                return self._late_miss(event.number)
            return self._late_answer(DealAnswered(event.number, answer))
        if answer is None:
            if event.refused:
                # Nobody listens there: that life is over, and what it did isn't known.
                return self._unanswered(ticket, deal)
            self.by_number[event.number] = ticket
            deal.follows += 1
            self.follow_again.append((self.now + FOLLOW_AGAIN * deal.follows, ticket))
            return None
        if answer.send != deal.send:
            return self._unanswered(ticket, deal)
        if answer.outcome == NOT_RUN and self.now < deal.deadline:
            return self._not_taken(ticket, deal, MishapKind(answer.mishap))
        deal.sends += 1
        if answer.outcome == ANSWERED:
            return self._answered(ticket, deal, answer)
        self._unanswered(ticket, deal, counted=True)

    def _unanswered(self, ticket: int, deal: Deal, *, counted: bool = False) -> None:
        if not counted:
            deal.sends += 1
        mishap = mishap_of(MishapKind.SILENT, f"{deal.target.stall} gave no answer.", "Ask what became of it.")
        self._uncertain(ticket, deal, mishap)

    def _follow_tick(self) -> None:
        again, self.follow_again = self.follow_again, []
        for moment, ticket in again:
            if self.now < moment:
                self.follow_again.append((moment, ticket))
            elif (deal := self.deals.get(ticket)) is not None:
                self.by_number.pop(deal.number, None)
                self._follow(ticket, deal)

    def _late_answer(self, event: DealAnswered) -> None:
        raise NotImplementedError

    def _late_miss(self, number: int) -> None:
        raise NotImplementedError

    def _not_taken(self, ticket: int, deal: Deal, kind: MishapKind) -> None:
        raise NotImplementedError

    def _answered(self, ticket: int, deal: Deal, answer: DealAnswer) -> None:
        raise NotImplementedError

    def _uncertain(self, ticket: int, deal: Deal, mishap) -> None:
        raise NotImplementedError
