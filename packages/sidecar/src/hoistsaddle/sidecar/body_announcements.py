"""Outgoing large bodies: each is announced to the target's sidecar, and sent once that sidecar grants it.

Until then nothing of the request has been sent, so the attempt can't have run however it ends.
"""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.rpc.messages import AbandonCall, AnnounceBodyCall, ForwardCall
from hoistsaddle.sidecar.messages import Abandon, AnnounceBody, BodyAnnouncementAnswered
from hoistsaddle.sidecar.request_table import AttemptState, PendingRequest, RequestTable

# An announcement times out after its latency target, or after this if that is longer, and the body is tried elsewhere.
MIN_ANNOUNCE_TIMEOUT = milliseconds(400)


class BodyGranted(NamedTuple):
    """The body may be sent now at this rate in bytes a second; the call's budget counts from its last byte."""

    request: PendingRequest
    call: ForwardCall
    rate: int
    link_wait: timedelta


class BodyRefused(NamedTuple):
    """The target's sidecar refused the body."""

    request: PendingRequest
    kind: ErrorKind
    link_wait: timedelta


class BodyUnanswered(NamedTuple):
    """The target's sidecar gave no answer."""

    request: PendingRequest


class BodyTooLate(NamedTuple):
    """The body was granted, but would arrive after its deadline."""

    request: PendingRequest


BodyDecision = BodyGranted | BodyRefused | BodyUnanswered | BodyTooLate


class BodyAnnouncements:
    """Announces the bodies of pending requests, and turns the answers into decisions."""

    def __init__(self, *, state: CoreState, requests: RequestTable) -> None:
        self._state = state
        self._requests = requests

    def announce(self, request: PendingRequest, call: ForwardCall) -> None:
        """Announce the call's body to the target's sidecar, which answers when the body may be sent."""
        number = self._state.next_number()
        self._requests.begin_call(request, number)
        request.announced = call
        request.attempt_state = AttemptState.ANNOUNCED
        announcement = AnnounceBodyCall(
            attempt_id=call.attempt_id,
            service_name=call.service_name,
            target=call.target,
            instance=call.instance,
            budget=call.budget,
            latency_target=call.latency_target,
            rank=call.rank,
            route=call.route,
            body_octets=len(call.body),
        )
        within = min(call.budget, max(call.latency_target, MIN_ANNOUNCE_TIMEOUT))
        self._state.out.append(AnnounceBody(number, request.target_address, announcement, within))

    def answered(self, event: BodyAnnouncementAnswered) -> BodyDecision | None:
        """Handle the answer to an announcement; None if the request no longer waits for it."""
        request = self._requests.end_call(event.number)
        if request is None or request.call_number != event.number or request.announced is None:
            return None
        call, answer = request.announced, event.answer
        request.announced = None
        if answer is None:
            self.withdraw(request)
            return BodyUnanswered(request)
        if answer.error:
            return BodyRefused(request, ErrorKind(answer.error), answer.link_wait)
        duration = timedelta(seconds=len(call.body) / max(1, answer.rate))
        arrives_at = self._state.now + duration
        if arrives_at >= request.deadline:
            self.withdraw(request)
            return BodyTooLate(request)
        call = call._replace(
            budget=request.deadline - arrives_at,
            latency_target=max(ZERO, request.latency_deadline - arrives_at),
        )
        return BodyGranted(request, call, answer.rate, answer.link_wait)

    def withdraw(self, request: PendingRequest) -> None:
        """Tell the target's sidecar that an announced body won't be sent, so that others can use the link."""
        self._state.out.append(Abandon(request.target_address, AbandonCall(request.attempt_id)))
