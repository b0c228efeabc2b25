"""The ingress side: validates requests from clients and the local server, forwards them to a server, and responds.

Requests are never queued here. Each is forwarded to a server's sidecar, waits for the log to grant its key, or has its
response: a request that no server can take is rejected at once, with a Retry-After.
"""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.errors import (
    BodyTooLarge,
    DeadlineExceeded,
    ErrorKind,
    KeyInUse,
    LeaseExpired,
    MeshError,
    NoConfiguration,
    NoResponse,
    NoRoute,
    NoServer,
    ShuttingDown,
    Unreachable,
)
from hoistsaddle.config.items import IDEMPOTENT, ONCE_PER_KEY, RouteItem, hold_timeout
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN
from hoistsaddle.rpc.messages import AbandonCall, ForwardAnswer, ForwardCall
from hoistsaddle.sidecar.attempt_follower import AttemptFollower, AttemptOutcome
from hoistsaddle.sidecar.body_announcements import (
    BodyAnnouncements,
    BodyGranted,
    BodyRefused,
    BodyTooLate,
    BodyUnanswered,
)
from hoistsaddle.sidecar.configuration_freshness import ConfigurationFreshness
from hoistsaddle.sidecar.errors import HeadersTooLarge, KeyOutcomeUnknown, attempt_rejected
from hoistsaddle.sidecar.key_claims import (
    KeyAnswered,
    KeyBusy,
    KeyClaims,
    KeyDecision,
    KeyGranted,
    KeyLost,
    KeyRefused,
)
from hoistsaddle.sidecar.messages import (
    Abandon,
    BodyAnnouncementAnswered,
    Followed,
    ForwardAnswered,
    ForwardFailed,
    ForwardRequest,
    Reply,
    RequestArrived,
)
from hoistsaddle.sidecar.request_table import AttemptState, PendingRequest, RequestTable
from hoistsaddle.sidecar.retry_allowance import RetryAllowance
from hoistsaddle.sidecar.server_selection import ServerSelection, is_large
from hoistsaddle.sidecar.unanswered_keys import UnansweredKeys
from hoistsaddle.statemachine.state import ServerRecord

# The budget of a request whose client sends none.
DEFAULT_BUDGET = timedelta(seconds=30)
# Each sidecar that rejects an attempt costs a hop, so after this many the client is told to retry later.
MAX_SIDECARS_TRIED = 4
# A large body is sent over a link at most twice.
MAX_LARGE_BODIES_SENT = 2
# Refusals for a full queue or link don't predict the outcome of the next request, so the server isn't avoided for them.
LOAD_REFUSALS = (ErrorKind.QUEUE_FULL, ErrorKind.LINK_FULL)
# How long a sidecar is avoided, while others are available, after it was unreachable or rejected an attempt.
UNREACHABLE_AVOIDANCE = timedelta(seconds=1)
REJECTION_AVOIDANCE = UNREACHABLE_AVOIDANCE / 4
# The bounds of Retry-After. A leader change of the core or a full queue takes about a second to clear.
MIN_RETRY_AFTER = milliseconds(50)
MAX_RETRY_AFTER = timedelta(seconds=1)
# Retry-After is a fixed plus a random share of its bound, so that clients rejected together don't retry together.
FIXED_RETRY_AFTER_SHARE, RANDOM_RETRY_AFTER_SHARE = 0.4, 0.6
# From this status on, the server ran the request and failed.
SERVER_ERROR_STATUS = 500


class IngressCore:
    """Owns every request that clients sent to this sidecar, from its arrival to its final response."""

    def __init__(
        self,
        *,
        state: CoreState,
        freshness: ConfigurationFreshness,
        service: str,
        key_lifetime: timedelta,
        retry_percent: int,
        retry_margin: int,
        max_kept_bytes: int,
    ) -> None:
        """Start without requests.

        Args:
            state: the state of the core, which collects the commands.
            freshness: says whether the configuration may still be used.
            service: the service of the local server, from the settings.
            key_lifetime: how long a claimed key stays claimed.
            retry_percent: retries per hundred first attempts, over the whole fleet.
            retry_margin: retries beyond that share in ten seconds, over the whole fleet.
            max_kept_bytes: the most bytes of answers that are kept for repeated requests with a key.
        """
        self._state = state
        self._freshness = freshness
        self._service = service
        self.requests = RequestTable()
        self.servers = ServerSelection(state=state)
        self.retries = RetryAllowance(state=state, percent=retry_percent, margin=retry_margin)
        self.keys = KeyClaims(
            state=state, requests=self.requests, key_lifetime=key_lifetime, max_kept_bytes=max_kept_bytes
        )
        self._unanswered = UnansweredKeys(state=state, records=self.keys.records)
        self._follower = AttemptFollower(state=state, requests=self.requests)
        self._bodies = BodyAnnouncements(state=state, requests=self.requests)

    # -- admission ---------------------------------------------------------------------------------------------------

    def request_arrived(self, event: RequestArrived) -> None:
        """Validate a request, and forward it or claim its key."""
        now = self._state.now
        # The budget counts from when the request was sent; it may have waited unread while this process was frozen.
        deadline = now + (DEFAULT_BUDGET if event.budget is None else event.budget) - event.unread
        if self._state.closing:
            return self._reject_arrival(event, deadline, ShuttingDown("This proxy is shutting down."))
        items = self._state.view.items
        if items is None:
            return self._reject_arrival(event, deadline, NoConfiguration("No configuration is in force here yet."))
        if not self._freshness.usable():
            # A newer configuration may be in force elsewhere, and it may not allow what this one does.
            message = "The configuration here has not been confirmed recently enough."
            return self._reject_arrival(event, deadline, LeaseExpired(message, remedy="Retry later."))
        path = event.path.partition("?")[0]
        route = items.match_route(host=event.host, path=path)
        if route is None and not self._state.has_lease():
            # The route may have been added since: a 404 must hold for the current configuration, not for an older one.
            message = "No matching route in a configuration that may be outdated."
            return self._reject_arrival(event, deadline, LeaseExpired(message, remedy="Retry later."))
        if route is None:
            return self._refuse_arrival(event, 404, NoRoute(f"No route for {event.host} {path[:80]}."))
        if event.header_bytes > items.limits.header_bytes:
            return self._refuse_arrival(event, 431, HeadersTooLarge("The headers are over their limit."))
        if len(event.body) > items.limits.body_bytes:
            return self._refuse_arrival(event, 413, BodyTooLarge("The body is over its limit.", field="body"))
        request = PendingRequest(
            event=event,
            route=route,
            service=self._pick_service(route),
            now=now,
            deadline=min(deadline, now + hold_timeout(route)),
        )
        self.requests.add(request)
        if route.kind == ONCE_PER_KEY and event.key:
            return self.keys.claim(request)
        return self._place(request)

    def _pick_service(self, route: RouteItem) -> str:
        if len(route.parts) == 1:
            return route.parts[0].service
        weights = [part.weight for part in route.parts]
        return self._state.random.choices([part.service for part in route.parts], weights=weights)[0]

    def _reject_arrival(self, event: RequestArrived, deadline: timedelta, error: MeshError) -> None:
        """Reject a request that wasn't admitted but may be retried."""
        self._state.out.append(Reply(event.ticket, 503, b"", b"", error, self._retry_after(deadline)))

    def _refuse_arrival(self, event: RequestArrived, status: int, error: MeshError) -> None:
        """Reject a request for which a retry is pointless."""
        self._state.out.append(Reply(event.ticket, status, b"", b"", error, None))

    # -- forwarding --------------------------------------------------------------------------------------------------

    def _place(self, request: PendingRequest) -> None:
        """Forward the request to the best server's sidecar, or send its final response."""
        if self._state.now >= request.deadline:
            return self._expire(request)
        tried_enough = (
            request.sidecars_tried >= MAX_SIDECARS_TRIED or request.large_bodies_sent >= MAX_LARGE_BODIES_SENT
        )
        if tried_enough or request.attempts >= max(1, request.route.most_sends):
            return self._give_up(request)
        server = self.servers.select(request)
        if server is None or not self.retries.admit(request):
            return self._give_up(request)
        return self._forward(request, server)

    def _forward(self, request: PendingRequest, server: ServerRecord) -> None:
        """Forward the request to a server's sidecar; a large body is announced to it first."""
        state, event, route = self._state, request.event, request.route
        node = state.view.nodes[server.proxy]
        self.servers.attempt_sent(server.proxy)
        request.sidecars_tried += 1
        request.attempt_id = f"{state.settings.name}.{state.settings.incarnation}.{state.next_number()}"
        request.target = server.proxy
        request.target_incarnation = node.incarnation
        request.target_address = node.address
        request.follow_ups = 0
        request.unanswered_at = None
        budget = request.deadline - state.now
        call = ForwardCall(
            attempt_id=request.attempt_id,
            service_name=server.service,
            target=server.proxy,
            instance=server.instance,
            budget=budget,
            latency_target=max(ZERO, request.latency_deadline - state.now),
            rank=route.rank,
            route=route.name,
            method=event.method,
            path=event.path.encode("utf-8", "surrogateescape"),
            headers=event.headers,
            body=event.body,
            caller=self._service,
            client_attempt_id=event.client_attempt_id,
            ordinal=request.attempts + 1,
            repeatable=route.kind == IDEMPOTENT,
        )
        if is_large(event.body) and server.proxy != state.settings.name:
            return self._bodies.announce(request, call)
        return self._send(request, call)

    def body_announcement_answered(self, event: BodyAnnouncementAnswered) -> None:
        """Send a body that was granted, or end its attempt, of which nothing was sent."""
        decision = self._bodies.answered(event)
        if decision is None:
            return None
        request = decision.request
        if isinstance(decision, BodyGranted | BodyRefused):
            self.servers.link_reported(request.target, decision.link_wait)
        if isinstance(decision, BodyGranted):
            request.large_bodies_sent += 1
            return self._send(request, decision.call, rate=decision.rate)
        self.servers.attempt_ended(request.target)
        request.attempt_state = AttemptState.NONE
        match decision:
            case BodyRefused(kind=kind):
                return self._attempt_rejected(request, kind)
            case BodyTooLate():
                return self._expire(request)
            case BodyUnanswered():
                self.servers.avoid(request.target, duration=UNREACHABLE_AVOIDANCE)
                request.excluded.add(request.target)
                request.last_error = Unreachable(
                    f"{request.target} did not answer the announcement.", remedy="Retry later."
                )
                return self._place(request)

    def _send(self, request: PendingRequest, call: ForwardCall, *, rate: int = 0) -> None:
        number = self._state.next_number()
        self.requests.begin_call(request, number)
        request.attempt_state = AttemptState.SENT
        within = request.deadline - self._state.now
        self._state.out.append(ForwardRequest(number, request.target_address, call, within, rate))

    # -- answers -----------------------------------------------------------------------------------------------------

    def _attempt_ended(self, number: int) -> PendingRequest | None:
        """End an attempt and return its request, if the request still waits for this attempt."""
        request = self.requests.end_call(number)
        if request is None or request.call_number != number:
            return None
        self.servers.attempt_ended(request.target)
        request.attempt_state = AttemptState.NONE
        return request

    def forward_answered(self, event: ForwardAnswered) -> None:
        """Handle the target sidecar's answer to an attempt."""
        answer = event.answer
        request = self._attempt_ended(event.number)
        if request is None:
            return self.keys.records.late_answer(event.number, answer)
        self.servers.load_reported(request.target, answer)
        if answer.outcome == NOT_RUN:
            return self._attempt_rejected(request, ErrorKind(answer.error))
        request.attempts += 1
        if answer.error == ErrorKind.ANSWER_BROKEN:
            self.servers.answer_broken(request.target, request.route.name)
        if answer.outcome != ANSWERED or answer.attempt_id != request.attempt_id:
            return self._attempt_uncertain(request, NoResponse("The server gave no complete answer."))
        if answer.status < SERVER_ERROR_STATUS:
            self.servers.answer_received(request.target, request.route.name, answer)
        elif request.route.kind == IDEMPOTENT:
            # The server ran the request and failed: another server may succeed, if one more attempt is allowed.
            request.server_failure = answer
            request.excluded.add(request.target)
            return self._place(request)
        return self._answer(request, answer)

    def forward_failed(self, event: ForwardFailed) -> None:
        """Handle a failed connection to the target's sidecar."""
        request = self._attempt_ended(event.number)
        if request is None:
            return self.keys.records.late_failure(event.number)
        self.servers.avoid(request.target, duration=UNREACHABLE_AVOIDANCE)
        if event.unsent:
            # No connection was made, so nothing can arrive later.
            request.excluded.add(request.target)
            request.last_error = Unreachable(f"{request.target} accepts no connections.", remedy="Retry later.")
            return self._place(request)
        follows = request.route.kind != IDEMPOTENT and request.target_incarnation
        if follows and self._state.now < request.deadline:
            # The attempt may be running there, or may never have arrived: it isn't retried before its sidecar has said.
            return self._follower.follow(request)
        return self._attempt_unanswered(request)

    def followed(self, event: Followed) -> None:
        """Handle the target sidecar's answer about an attempt whose connection broke."""
        answer = event.answer
        request = self.requests.end_call(event.number)
        if request is None or request.call_number != event.number:
            if answer is None or answer.outcome == NOT_RUN:
                # The target's "not run" is reliable only until the request's deadline.
                return self.keys.records.late_failure(event.number)
            return self.keys.records.late_answer(event.number, answer)
        outcome = self._follower.followed(request, event)
        if outcome is AttemptOutcome.UNKNOWN:
            return self._attempt_unanswered(request)
        if outcome is AttemptOutcome.PENDING or answer is None:
            return None
        if outcome is AttemptOutcome.NOT_RUN:
            return self._attempt_rejected(request, ErrorKind(answer.error))
        request.attempts += 1
        return self._answer(request, answer)

    def _attempt_rejected(self, request: PendingRequest, kind: ErrorKind) -> None:
        """Try another server's sidecar after an attempt that did not run."""
        request.excluded.add(request.target)
        request.last_error = attempt_rejected(kind, proxy=request.target)
        if kind == ErrorKind.SERVER_FULL:
            # The attempt reached a server, so it counts although nothing ran.
            request.attempts += 1
        elif kind not in LOAD_REFUSALS:
            self.servers.avoid(request.target, duration=REJECTION_AVOIDANCE)
            request.sidecars_tried -= 1 if request.sidecars_tried < MAX_SIDECARS_TRIED else 0
        self._place(request)

    def _attempt_unanswered(self, request: PendingRequest) -> None:
        request.attempts += 1
        self._attempt_uncertain(request, NoResponse(f"{request.target} gave no answer."))

    def _attempt_uncertain(self, request: PendingRequest, error: MeshError) -> None:
        """Handle an attempt that may have run: only an idempotent request is retried."""
        request.uncertain = True
        request.last_error = error
        request.excluded.add(request.target)
        if request.route.kind == IDEMPOTENT and self._state.now < request.deadline:
            return self._place(request)
        return self._answer_unknown(request)

    def key_decided(self, decision: KeyDecision | None) -> None:
        """Carry out the decision about a request's key."""
        match decision:
            case KeyGranted(request):
                self._place(request)
            case KeyRefused(request, error):
                self._reject(request, error)
            case KeyAnswered(request, answer):
                self._reply(request, answer.status, headers=answer.headers, body=answer.body)
            case KeyBusy(request):
                busy = KeyInUse("The first request with this key is still running.", remedy="Retry shortly.")
                self._reply(request, 409, error=busy, retry_after=self._retry_after(request.deadline))
            case KeyLost(request):
                # 503 says only that this repeat did not and will not run; the first request's outcome stays unknown.
                unknown = KeyOutcomeUnknown("The outcome of this key's first request is unknown; this one did not run.")
                self._reply(request, 503, error=unknown, retry_after=self._retry_after(request.deadline))

    # -- final responses ---------------------------------------------------------------------------------------------

    def _answer(self, request: PendingRequest, answer: ForwardAnswer) -> None:
        if request.claimed:
            self.keys.records.answered(request.claim, answer)
        self._reply(request, answer.status, headers=answer.headers, body=answer.body)

    def _give_up(self, request: PendingRequest) -> None:
        if request.server_failure is not None:
            return self._answer(request, request.server_failure)
        if request.uncertain:
            return self._answer_unknown(request)
        error = request.last_error or NoServer(f"No server of {request.service} accepts requests.")
        return self._reject(request, error)

    def _reject(self, request: PendingRequest, error: MeshError) -> None:
        """Respond with a Retry-After to a request that has not run and will not run."""
        if request.uncertain:
            return self._answer_unknown(request)
        # An attempt that a full server rejected counted as sent, but has not run either.
        request.attempts = 0
        self.keys.release_unused(request)
        return self._reply(request, 503, error=error, retry_after=self._retry_after(request.deadline))

    def _retry_after(self, deadline: timedelta) -> timedelta:
        """Return a random Retry-After within a third of the remaining time."""
        left = max(ZERO, deadline - self._state.now)
        spread = FIXED_RETRY_AFTER_SHARE + RANDOM_RETRY_AFTER_SHARE * self._state.random.random()
        return max(MIN_RETRY_AFTER, min(left / 3, MAX_RETRY_AFTER) * spread)

    def _answer_unknown(self, request: PendingRequest) -> None:
        if request.claimed:
            pending_call = request.call_number if self.requests.has_call(request) else None
            self._unanswered.ended(request)
            self.keys.records.ended_unanswered(request.claim, call_number=pending_call)
        status = 504 if self._state.now >= request.deadline else 502
        self._reply(request, status, error=request.last_error or NoResponse("No answer arrived before the deadline."))

    def _expire(self, request: PendingRequest) -> None:
        self._end(request, DeadlineExceeded("The deadline passed before it was sent.", remedy="Use a larger budget."))

    def end_all(self) -> None:
        """Respond to every request before the process exits: a closed connection would tell its client nothing."""
        for request in list(self.requests.requests.values()):
            self._end(request, ShuttingDown("This sidecar is exiting."))

    def _end(self, request: PendingRequest, unsent: MeshError) -> None:
        """Send the final response now, whatever is still in flight; `unsent` is its error if nothing was sent."""
        if request.attempt_state.may_have_run():
            request.uncertain = True
        if request.uncertain or request.server_failure is not None:
            return self._give_up(request)
        return self._reject(request, request.last_error or unsent)

    def _reply(
        self,
        request: PendingRequest,
        status: int,
        *,
        headers: bytes = b"",
        body: bytes = b"",
        error: MeshError | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        self._forget(request)
        self._state.out.append(Reply(request.ticket, status, headers, body, error, retry_after))

    def _forget(self, request: PendingRequest) -> None:
        self.requests.remove(request)
        self.requests.end_call(request.call_number)
        if request.attempt_state in (AttemptState.SENT, AttemptState.ANNOUNCED):
            self.servers.attempt_ended(request.target)
        if request.attempt_state is AttemptState.ANNOUNCED:
            self._bodies.withdraw(request)

    # -- other events ------------------------------------------------------------------------------------------------

    def client_disconnected(self, ticket: int) -> None:
        """Abandon the client's request, unless it has a key or a non-idempotent attempt may already have run."""
        request = self.requests.get(ticket)
        if request is None or request.claim:
            return
        if request.attempt_state.may_have_run():
            if request.route.kind != IDEMPOTENT:
                return
            self._state.out.append(Abandon(request.target_address, AbandonCall(request.attempt_id)))
        self._forget(request)

    def tick(self) -> None:
        """Respond to requests that are past a deadline, and retry calls that got no answer."""
        for request in self.requests.expired(self._state.now):
            self._expire(request)
        for refused in self.keys.overdue():
            self._reject(refused.request, refused.error)
        self.keys.retry_due()
        self._follower.retry_due()
        self._unanswered.tick()
