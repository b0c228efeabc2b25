"""The ingress side of a proxy under bundles: admits requests, claims keys, forwards attempts, and answers."""

from collections import deque
from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import (
    DeadlineExceeded,
    ErrorKind,
    InvalidAnswer,
    KeyInUse,
    LeaseExpired,
    MeshError,
    NoLeader,
    NoResponse,
    NoServer,
    QueueFull,
    ShuttingDown,
    Unreachable,
)
from hoistsaddle.config.bundle import SAFE_METHODS, Bundle, Route, Service, budget_of
from hoistsaddle.proxy.admission import Refusal, admit, caller_of, runs_once
from hoistsaddle.proxy.bundle_state import MAX_CORE_OUTAGE, BundleState, digest_of_body
from hoistsaddle.proxy.client_identity import identify_client
from hoistsaddle.proxy.client_request import NO_CALL, ClientRequest, Phase
from hoistsaddle.proxy.errors import CallerUnnamed, RetryBudgetExhausted
from hoistsaddle.proxy.key_claims import KeyClaims
from hoistsaddle.proxy.messages import (
    ANSWERED,
    NOT_RUN,
    REFUSED,
    STILL_WORKING,
    UNKNOWN,
    AnswerClient,
    ForwardRequest,
    HoldAnswered,
    RequestArrived,
)
from hoistsaddle.proxy.retry_budget import RetryBudget, retry_quota_of
from hoistsaddle.proxy.server_selection import ServerSelection
from hoistsaddle.rpc.messages import BundleForwardAnswer, BundleForwardCall
from hoistsaddle.statemachine.commands import ClaimKey, ReleaseKey
from hoistsaddle.statemachine.idempotency import hold_scope
from hoistsaddle.statemachine.state import SETTLED, ServerRecord
from hoistsaddle.statemachine.view import View

# The Retry-After of answers to clients that may send the request again.
RETRY_AFTER = timedelta(seconds=1)
# Refusals of a target whose bundle does not route the request to its server, although the local bundle does.
BUNDLE_MISMATCH_KINDS = (ErrorKind.NO_ENTRY, ErrorKind.NOT_ALLOWED)
# The longest wait of a request for its key, counted from its arrival: one claim that the core doesn't answer, and the
# outage that is waited out after it. A request whose claim is still in flight then gets its final answer without it.
MAX_KEY_WAIT = 2 * MAX_CORE_OUTAGE
# The factor by which a lease may outlast its span on another machine, since clocks run at different rates.
CLOCK_TOLERANCE = 1.05
# Once the queue is half full, one client may occupy at most an eighth of it.
CROWDED_QUEUE_DIVISOR = 2
CLIENT_QUEUE_DIVISOR = 8
# How many characters of a key's scope go into the events for operators.
LOGGED_SCOPE_LENGTH = 12
# HTTP statuses for claims that the log refuses; others get 503.
CLAIM_STATUSES: dict[str, int] = {ErrorKind.KEY_OTHER_BODY: 422, ErrorKind.KEY_CLIENT_UNSURE: 409}
ASK_BEFORE_RETRY = "Ask what became of the request before sending it again."
REPEAT_HEADER = {"X-Hoistsaddle-Repeat": "true"}

# Maps service, route, caller and outcome to the numbers of requests, retries, request bytes and answer bytes.
Usage = dict[tuple[str, str, str, str], list[int]]


class IngressCore:
    """Owns every request that clients or the local server sent to this proxy, from its arrival to its final answer."""

    def __init__(self, *, state: BundleState) -> None:
        self._state = state
        self.requests: dict[int, ClientRequest] = {}
        self._waiting: deque[int] = deque()
        # Maps each call in flight, to the log or to a target, to the ticket of its request.
        self._tickets: dict[int, int] = {}
        self._servers = ServerSelection(state=state)
        self.keys = KeyClaims(state=state)
        self.retry_budget = RetryBudget(wait=state.settings.lease_span * CLOCK_TOLERANCE)
        # Services whose retry budget is exhausted here, and since when services have had no available server.
        self._exhausted: set[str] = set()
        self._unavailable_since: dict[str, timedelta] = {}
        self.usage: Usage = {}

    # -- admission ---------------------------------------------------------------------------------------------------

    def request_arrived(self, event: RequestArrived) -> None:
        """Start handling a request."""
        state = self._state
        request = ClientRequest(event=event, arrived=state.now)
        self.requests[event.ticket] = request
        # During shutdown requests in progress are finished, and new clients are sent to other proxies.
        if state.stopping and not event.caller:
            return self._not_run(request, ShuttingDown("This proxy is stopping."))
        if event.caller and (state.server is None or event.instance != state.server.instance):
            # A replaced server process may still send calls after its successor's first health report. Without this
            # check of the instance they would count as calls of the new service.
            return self._refuse(request, 403, _caller_unnamed(event))
        if len(self._waiting) >= state.settings.backlog:
            return self._not_run(request, QueueFull("Too many requests are queued at this proxy."))
        return self._advance(request)

    def _wait(self, request: ClientRequest, error: MeshError, *, since: timedelta | None = None) -> None:
        """Queue the request until something changes.

        Args:
            request: the request to queue.
            error: why it has to wait.
            since: when the cause began; None if only capacity is lacking.
        """
        state = self._state
        if since is not None and state.now - since >= MAX_CORE_OUTAGE:
            # This is longer than a short outage: this request and later ones get their final answer immediately.
            return self._not_run(request, error)
        request.phase = Phase.WAITING
        request.last_error = error
        if request.ticket in self._waiting:
            return None
        waiting, limit = len(self._waiting), state.settings.backlog
        client = request.event.client
        same_client = sum(
            self.requests[other].event.client == client for other in self._waiting if other in self.requests
        )
        # One client with many requests must not fill the queue for all others.
        over_share = waiting * CROWDED_QUEUE_DIVISOR >= limit and same_client * CLIENT_QUEUE_DIVISOR >= limit
        if over_share or waiting >= limit:
            return self._not_run(request, QueueFull("Too many requests are queued at this proxy."))
        self._waiting.append(request.ticket)
        return None

    def retry_waiting(self) -> None:
        """Try every queued request again, as something has changed."""
        tickets, self._waiting = self._waiting, deque()
        for ticket in tickets:
            if (request := self.requests.get(ticket)) is not None:
                self._advance(request)

    def _advance(self, request: ClientRequest) -> None:
        """Admit the request under the current configuration and take its next step."""
        state, event = self._state, request.event
        # The process may have been frozen, so deadline and lease are checked again before every step.
        if state.now >= request.deadline:
            return self._expire(request)
        bundle = state.acting_bundle()
        if isinstance(bundle, MeshError):
            since = ZERO if bundle.kind == ErrorKind.BUNDLE_UNKNOWN else state.unready_since
            return self._wait(request, bundle, since=since)
        route = admit(bundle, event)
        if isinstance(route, Refusal):
            return self._refuse(request, route.status, route.error)
        if request.route is None:
            request.route = route
            request.deadline = request.arrived + budget_of(route)
            if state.now >= request.deadline:
                return self._expire(request)
        request.route = route
        # While rollout stages run different bundles, a request with a key that any active bundle runs once per key is
        # claimed at every proxy.
        once = route.once or (event.key and any(runs_once(each, event) for each in state.view.active_bundles))
        if once and not request.claimed:
            return self._claim(request, bundle, route)
        return self._send(request, route)

    # -- keys --------------------------------------------------------------------------------------------------------

    def _claim(self, request: ClientRequest, bundle: Bundle, route: Route) -> None:
        event = request.event
        if self.keys.is_blocked(after=MAX_CORE_OUTAGE):
            # One claim at a time tests whether the core answers again; the other requests are rejected immediately.
            return self._not_run(request, _log_unavailable())
        identity = request.identity
        if not request.claim or identity is None:
            identified = identify_client(
                caller=event.caller, declared=bundle.client, headers=event.headers, twice=event.twice
            )
            if isinstance(identified, MeshError):
                return self._refuse(request, 400, identified)
            identity = identified
            self.keys.prepare(request, identity, route)
        request.phase = Phase.CLAIMING
        request.call_number = self.keys.submit(request, identity, route)
        self._tickets[request.call_number] = request.ticket
        return None

    def hold_answered(self, event: HoldAnswered) -> None:
        """Handle the log's answer to a claim or a release, or that no answer came."""
        number, outcome = event.number, event.outcome
        if self.keys.releases.answered(number, outcome):
            return None
        command = self.keys.answered(number)
        request = self.requests.get(self._tickets.pop(number, -1))
        if request is None or request.claim != command.claim:
            return self._abandoned_claim_answered(command, event)
        if outcome is None and event.maybe_accepted:
            request.unconfirmed_claim = command
        if request.phase is not Phase.CLAIMING or request.call_number != number:
            return None
        if outcome is None:
            # A retry submits the same claim, which the log recognises. The wait is counted from the first unanswered
            # claim of this request, as the log may have answered other claims meanwhile.
            request.claim_unanswered_since = request.claim_unanswered_since or self._state.now
            return self._wait(request, _log_unavailable(), since=request.claim_unanswered_since)
        if outcome.error:
            # The log holds no key for this claim, so nothing has to be released.
            request.claim = ""
            error = MeshError(outcome.error, outcome.message, outcome.remedy, outcome.field)
            return self._refuse(request, CLAIM_STATUSES.get(outcome.error, 503), error)
        request.scope = outcome.detail.get("scope", command.scope)
        return self._claim_decided(request, outcome.detail)

    def _abandoned_claim_answered(self, command: ClaimKey, event: HoldAnswered) -> None:
        """Release the key of a claim whose request has ended: no attempt was sent under it."""
        if event.outcome is None:
            if event.maybe_accepted:
                self._release_unconfirmed(command)
        elif event.outcome.detail.get("phase") == "granted":
            scope = event.outcome.detail.get("scope", command.scope)
            self.keys.releases.submit(ReleaseKey(scope, command.claim))

    def _release_unconfirmed(self, command: ClaimKey) -> None:
        """Release a claim that got no answer, under every name that the log may hold it by."""
        for scope in dict.fromkeys((hold_scope(command), command.scope)):
            self.keys.releases.schedule(ReleaseKey(scope, command.claim))

    def _claim_decided(self, request: ClientRequest, detail: dict) -> None:
        match detail["phase"]:
            case "granted":
                request.claimed = True
                name = request.route.name if request.route is not None else ""
                self._state.announce("key held", scope=request.scope[:LOGGED_SCOPE_LENGTH], entry=name)
                self._advance(request)
            case phase if phase == SETTLED and detail["kept"]:
                headers = {**detail["headers"], **REPEAT_HEADER}
                self._answer(request, ANSWERED, detail["status"], headers, detail["body"])
            case phase if phase == SETTLED:
                # The answer was too large to keep and was passed on only once; the log knows only that the request ran.
                self._answer(request, ANSWERED, detail["status"], dict(REPEAT_HEADER), b"")
            case _:
                error = KeyInUse("The first request with this key is still working.", field="Idempotency-Key")
                self._answer(request, STILL_WORKING, 409, {}, b"", error, RETRY_AFTER)

    def _fail_late_claims(self) -> None:
        """Answer requests whose claim is unanswered after MAX_KEY_WAIT; a key granted later is released."""
        late = [
            request
            for request in self.requests.values()
            if request.phase is Phase.CLAIMING and self._state.now - request.arrived >= MAX_KEY_WAIT
        ]
        for request in late:
            self._not_run(request, _log_unavailable())

    # -- forwarding --------------------------------------------------------------------------------------------------

    def update_quota(self, name: str) -> Service | None:
        """Update this proxy's quota of a service's retry budget to the current configuration."""
        state = self._state
        service = state.view.service(name)
        if service is None:
            return None
        proxies = [proxy.node for proxy in state.view.live_proxies()]
        quota = retry_quota_of(service=name, proxy=state.settings.name, proxies=proxies, margin=service.further_margin)
        self.retry_budget.set_quota(name, quota=quota, percent=service.further_percent, now=state.now)
        return service

    def configuration_changed(self, view: View) -> None:
        """Handle that another configuration is in force."""
        available = {server.service for server in view.available_servers()}
        self._unavailable_since = {
            name: since for name, since in self._unavailable_since.items() if name not in available
        }
        for bundle in view.active_bundles:
            for service in bundle.services:
                self.update_quota(service.name)

    def _send(self, request: ClientRequest, route: Route) -> None:
        state = self._state
        if request.mismatch_revision is not None and request.mismatch_revision < state.view.revision:
            # A newer configuration has arrived since the target refused; it decides which servers admit the request.
            request.mismatch_revision = None
            request.refused_by.clear()
        servers = self._servers.admitting(request, route)
        target = self._servers.select(request, servers)
        if target is None:
            return self._without_server(request, route, any_admitting=bool(servers))
        if not self._charge_attempt(request, target.service):
            error = RetryBudgetExhausted(f"The retry budget of {route.service} is exhausted at this proxy.")
            return self._unknown(request, error) if request.uncertain else self._not_run(request, error)
        return self._forward(request, route, target)

    def _without_server(self, request: ClientRequest, route: Route, *, any_admitting: bool) -> None:
        no_server = NoServer(f"No server of {route.service} is available.")
        if request.mismatch_revision is not None:
            # The target refused under a newer bundle, which has not reached this proxy yet.
            return self._wait(request, request.last_error or no_server, since=request.mismatch_since)
        if request.refused_by:
            # Every available server has refused it: give the final answer now, not near the deadline.
            return self._not_run(request, request.last_error or no_server)
        since = None if any_admitting else self._unavailable_since.setdefault(route.service, self._state.now)
        return self._wait(request, no_server, since=since)

    def _charge_attempt(self, request: ClientRequest, name: str) -> bool:
        """Whether the next attempt may go to this service: a first attempt always, a retry if the budget allows it."""
        state = self._state
        service = self.update_quota(name)
        if request.attempts == 0:
            if not request.credited:
                request.credited = True
                self.retry_budget.earn(name, percent=service.further_percent if service is not None else 0)
                if name in self._exhausted and self.retry_budget.available(name, now=state.now) >= 1:
                    self._exhausted.discard(name)
                    state.announce("room again", service=name)
            return True
        charged_to = self.retry_budget.try_spend(name, now=state.now)
        if charged_to:
            request.charged_to = charged_to
        elif name not in self._exhausted:
            self._exhausted.add(name)
            state.announce("room spent", service=name)
        return bool(charged_to)

    def _forward(self, request: ClientRequest, route: Route, target: ServerRecord) -> None:
        state, event = self._state, request.event
        request.attempts += 1
        request.phase = Phase.FORWARDED
        request.target = target.proxy
        request.target_service = target.service
        request.attempt_id = f"{state.settings.name}.{state.settings.incarnation}.{state.next_number()}"
        request.call_number = state.next_number()
        self._tickets[request.call_number] = request.ticket
        self._servers.attempt_sent(target.proxy)
        budget = request.deadline - state.now
        call = BundleForwardCall(
            attempt_id=request.attempt_id,
            caller=caller_of(event),
            client=event.client,
            service_name=target.service,
            target=target.proxy,
            instance=target.instance,
            bundle=state.view.bundle_number,
            route=route.name,
            budget=budget,
            method=event.method,
            path=event.path + (f"?{event.query}" if event.query else ""),
            headers=event.headers,
            body=event.body,
            hold=f"{request.scope} {request.claim}" if request.claimed else "",
            answer_bytes=route.answer_bytes,
            ordinal=request.attempts,
        )
        state.out.append(ForwardRequest(request.call_number, state.view.nodes[target.proxy].address, call, budget))

    # -- answers -----------------------------------------------------------------------------------------------------

    def _attempt_ended(self, number: int) -> ClientRequest | None:
        """Close an attempt and return its request, if the request still waits for this attempt."""
        request = self.requests.get(self._tickets.pop(number, -1))
        if request is None or request.call_number != number:
            return None
        self._servers.attempt_ended(request.target)
        return request

    def forward_answered(self, number: int, answer: BundleForwardAnswer) -> None:
        """Handle the target proxy's answer to an attempt."""
        request = self._attempt_ended(number)
        if request is None:
            return None
        # An answer to another attempt, or one that was altered in transit, is not used.
        altered = answer.outcome == ANSWERED and digest_of_body(answer.body) != answer.digest
        if answer.attempt_id != request.attempt_id or altered:
            return self._attempt_uncertain(
                request, InvalidAnswer("The answer was altered in transit or belongs to another attempt.")
            )
        if answer.outcome == ANSWERED:
            return self._answer(request, ANSWERED, answer.status, answer.headers, answer.body)
        if answer.outcome == NOT_RUN:
            return self._attempt_refused(
                request, MeshError(answer.error, answer.detail, "Retry after the time in Retry-After.")
            )
        return self._attempt_uncertain(request, MeshError(answer.error, answer.detail, ASK_BEFORE_RETRY))

    def forward_failed(self, number: int, *, unsent: bool) -> None:
        """Handle that an attempt got no answer; `unsent` if nothing was ever written to the target."""
        request = self._attempt_ended(number)
        if request is None:
            return None
        if unsent:
            # No connection was made, so the attempt can't arrive later either.
            return self._attempt_refused(
                request,
                Unreachable(f"{request.target} accepts no connection.", remedy="Retry after the time in Retry-After."),
            )
        return self._attempt_uncertain(
            request, NoResponse(f"{request.target} gave no answer.", remedy=ASK_BEFORE_RETRY)
        )

    def forward_withheld(self, number: int) -> None:
        """Handle that an attempt was never sent: it doesn't count, and its retry is refunded."""
        request = self._attempt_ended(number)
        if request is None:
            return
        request.attempts -= 1
        if request.attempts:
            self.retry_budget.refund(request.target_service, request.charged_to)
        self._wait(request, LeaseExpired("This proxy has no valid lease from the core."))

    def _attempt_refused(self, request: ClientRequest, error: MeshError) -> None:
        """Handle that an attempt did not run: another server may run it."""
        request.refused_by.add(request.target)
        request.last_error = error
        if error.kind in BUNDLE_MISMATCH_KINDS:
            request.mismatch_revision = self._state.view.revision
            request.mismatch_since = request.mismatch_since or self._state.now
        self._advance(request)

    def _attempt_uncertain(self, request: ClientRequest, error: MeshError) -> None:
        """Handle that an attempt may have run: only a request with a safe method may be sent again."""
        request.uncertain = True
        request.last_error = error
        if request.event.method in SAFE_METHODS and self._state.now < request.deadline:
            request.refused_by.add(request.target)
            route = request.route
            if route is not None and self._servers.select(request, self._servers.admitting(request, route)):
                return self._advance(request)
        return self._unknown(request, error)

    # -- final answers -----------------------------------------------------------------------------------------------

    def _expire(self, request: ClientRequest) -> None:
        if request.phase is Phase.FORWARDED or request.uncertain:
            late = DeadlineExceeded("No answer came within the entry's budget.", remedy=ASK_BEFORE_RETRY)
            return self._unknown(request, request.last_error or late)
        unsent = DeadlineExceeded("The entry's budget ran out before it was sent.")
        return self._not_run(request, request.last_error or unsent)

    def _refuse(self, request: ClientRequest, status: int, error: MeshError) -> None:
        self._release_unused(request)
        self._answer(request, REFUSED, status, {}, b"", error, RETRY_AFTER if status == 503 else None)

    def _not_run(self, request: ClientRequest, error: MeshError) -> None:
        if request.uncertain:
            # An earlier attempt may have run, even if the last one did not.
            return self._unknown(request, error)
        self._release_unused(request)
        # The final answer goes out immediately with Retry-After; the request isn't held to slow the client down.
        return self._answer(request, NOT_RUN, 503, {}, b"", error, RETRY_AFTER)

    def _unknown(self, request: ClientRequest, error: MeshError) -> None:
        # With a key the same request may be sent again at any time without running twice.
        self._answer(request, UNKNOWN, 504, {}, b"", error, RETRY_AFTER if request.claim else None)

    def _answer(
        self,
        request: ClientRequest,
        outcome: str,
        status: int,
        headers: dict[str, str],
        body: bytes,
        error: MeshError | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        self._forget(request)
        if request.route is not None:
            key = (request.route.service, request.route.name, caller_of(request.event), outcome)
            totals = self.usage.setdefault(key, [0, 0, 0, 0])
            for index, amount in enumerate((1, max(0, request.attempts - 1), len(request.event.body), len(body))):
                totals[index] += amount
        self._state.out.append(AnswerClient(request.ticket, outcome, status, headers, body, error, retry_after))

    def _forget(self, request: ClientRequest) -> None:
        del self.requests[request.ticket]
        forwarded = request.call_number != NO_CALL and request.phase is Phase.FORWARDED
        if forwarded and self._tickets.pop(request.call_number, None) is not None:
            self._servers.attempt_ended(request.target)

    def _release_unused(self, request: ClientRequest) -> None:
        """Release the request's key, if it claimed one and no attempt can have run under it."""
        if not request.claim or request.uncertain:
            return
        if request.claimed:
            name = request.route.name if request.route is not None else ""
            self._state.announce("key given back", scope=request.scope[:LOGGED_SCOPE_LENGTH], entry=name)
            self.keys.releases.submit(ReleaseKey(request.scope, request.claim))
        elif request.unconfirmed_claim is not None:
            self._release_unconfirmed(request.unconfirmed_claim)

    # -- other events ------------------------------------------------------------------------------------------------

    def client_disconnected(self, ticket: int) -> None:
        """Drop the request, unless an attempt is in flight: that is followed to its end, so that its key is settled."""
        request = self.requests.get(ticket)
        if request is not None and request.phase is not Phase.FORWARDED:
            self._release_unused(request)
            self._forget(request)

    def tick(self) -> None:
        """Give the final answers that are due, and try the queued requests again."""
        for request in [each for each in self.requests.values() if self._state.now >= each.deadline]:
            self._expire(request)
        self._fail_late_claims()
        self._waiting = deque(ticket for ticket in self._waiting if ticket in self.requests)
        self.retry_waiting()


def _caller_unnamed(event: RequestArrived) -> MeshError:
    named = f"names {event.instance}" if event.instance else "names no instance"
    return CallerUnnamed(
        f"The call {named}, which is not the server that reported its health last.", field="X-Hoistsaddle-Instance"
    )


def _log_unavailable() -> MeshError:
    return NoLeader("No core machine is available to store the key.")
