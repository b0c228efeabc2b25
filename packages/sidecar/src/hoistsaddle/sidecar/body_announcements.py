"""Large bodies on their way out: announced to the target's sidecar, and sent once that one says so.

Until then nothing of a request has been sent, so whatever ends its attempt is no uncertain end.
"""

from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.rpc.messages import AbandonCall, AnnounceBodyCall, ForwardCall
from hoistsaddle.sidecar.messages import Abandon, AnnounceBody, BodyAnnouncementAnswered
from hoistsaddle.sidecar.request_table import AttemptState, PendingRequest, RequestTable

# An announced body is tried elsewhere if nothing is heard within its latency target, or within this if that is shorter.
MIN_ANNOUNCE_TIMEOUT = milliseconds(400)


class BodyGranted(NamedTuple):
    """The body may be sent now, at most at so many bytes a second. The call's time is that of its last byte."""

    request: PendingRequest
    call: ForwardCall
    rate: int
    link_wait: timedelta


class BodyRefused(NamedTuple):
    """The target's sidecar takes no such body now."""

    request: PendingRequest
    kind: ErrorKind
    link_wait: timedelta


class BodyUnanswered(NamedTuple):
    """The target's sidecar said nothing."""

    request: PendingRequest


class BodyTooLate(NamedTuple):
    """It may be sent, but would be there only after its deadline."""

    request: PendingRequest


BodyDecision = BodyGranted | BodyRefused | BodyUnanswered | BodyTooLate


class BodyAnnouncements:
    """Announces the bodies of pending requests, and decides what the answers mean for them."""

    def __init__(self, *, state: CoreState, requests: RequestTable) -> None:
        self._state = state
        self._requests = requests

    def announce(self, request: PendingRequest, call: ForwardCall) -> None:
        """Ask the target's sidecar whether and when the call's body may be sent."""
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
        """Take the answer to an announcement; None if nobody waits for it any more."""
        request = self._requests.end_call(event.number)
        if request is None or request.call_number != event.number or request.announced is None:
            return None
        call, answer = request.announced, event.answer
        request.announced = None
        if answer is None:
            self.take_back(request)
            return BodyUnanswered(request)
        if answer.error:
            return BodyRefused(request, ErrorKind(answer.error), answer.link_wait)
        duration = timedelta(seconds=len(call.body) / max(1, answer.rate))
        arrives_at = self._state.now + duration
        if arrives_at >= request.deadline:
            self.take_back(request)
            return BodyTooLate(request)
        call = call._replace(
            budget=request.deadline - arrives_at,
            latency_target=max(ZERO, request.latency_deadline - arrives_at),
        )
        return BodyGranted(request, call, answer.rate, answer.link_wait)

    def take_back(self, request: PendingRequest) -> None:
        """Tell the target's sidecar that an announced body isn't coming: others may have its place on the link."""
        self._state.out.append(Abandon(request.target_address, AbandonCall(request.attempt_id)))
