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

# When a client that is turned away shall come back.
RETRY_AFTER = timedelta(seconds=1)
# What a target says whose bundle doesn't let the request to its server, though the one here does.
JUDGED_OTHERWISE = (ErrorKind.NO_ENTRY, ErrorKind.NOT_ALLOWED)
# The longest that a request waits for its key, from its arrival on: one claim that finds the core silent, and the
# outage that is waited out after it. A claim that is still under way then is overtaken by the final answer.
MAX_KEY_WAIT = 2 * MAX_CORE_OUTAGE
# By how much a lease may outlast its span elsewhere, as clocks run apart.
CLOCK_TOLERANCE = 1.05
# Once the waiting room is filled to a half, one client may hold an eighth of it at the most.
CROWDED_PART = 2
CLIENT_PART = 8
# How much of a key's scope operators are shown.
SHOWN_SCOPE_LENGTH = 12
# Statuses of the log's refusals of a claim.
CLAIM_STATUSES: dict[str, int] = {ErrorKind.KEY_OTHER_BODY: 422, ErrorKind.KEY_CLIENT_UNSURE: 409}
ASK_BEFORE_RETRY = "Ask what became of the request before sending it again."
REPEAT_HEADER = {"X-Hoistsaddle-Repeat": "true"}

# Service, route, caller and outcome to requests, retries, bytes in and bytes out.
Usage = dict[tuple[str, str, str, str], list[int]]


class IngressCore:
    """Owns every request that came in at this proxy, from its arrival to its final answer."""

    def __init__(self, *, state: BundleState) -> None:
        self._state = state
        self.requests: dict[int, ClientRequest] = {}
        self._waiting: deque[int] = deque()
        # Calls under way, to the log and to targets, to their request's ticket.
        self._tickets: dict[int, int] = {}
        self._servers = ServerSelection(state=state)
        self.keys = KeyClaims(state=state)
        self.retry_budget = RetryBudget(wait=state.settings.lease_span * CLOCK_TOLERANCE)
        # Services whose retry budget ran out here, and since when others have no available server.
        self._exhausted: set[str] = set()
        self._closed_since: dict[str, timedelta] = {}
        self.usage: Usage = {}

    # -- admission ---------------------------------------------------------------------------------------------------

    def request_arrived(self, event: RequestArrived) -> None:
        """Take up a request."""
        state = self._state
        request = ClientRequest(event=event, arrived=state.now)
        self.requests[event.ticket] = request
        # Shutting down: what is under way is finished, new clients go elsewhere.
        if state.stopping and not event.caller:
            return self._not_run(request, ShuttingDown("This proxy is stopping."))
        if event.caller and (state.server is None or event.instance != state.server.instance):
            # An old process may outlive its replacement's first report; unnamed, it would pass for the new service.
            return self._refuse(request, 403, _caller_unnamed(event))
        if len(self._waiting) >= state.settings.backlog:
            return self._not_run(request, QueueFull("Too many requests wait here."))
        return self._advance(request)

    def _wait(self, request: ClientRequest, error: MeshError, *, since: timedelta | None = None) -> None:
        """Keep the request until something changes; since when the cause lasts, unless it is only want of capacity."""
        state = self._state
        if since is not None and state.now - since >= MAX_CORE_OUTAGE:
            # No short outage explains it: the final answer goes at once, and so do those of later requests.
            return self._not_run(request, error)
        request.phase = Phase.WAITING
        request.last_error = error
        if request.ticket in self._waiting:
            return None
        waiting, most = len(self._waiting), state.settings.backlog
        client = request.event.client
        same_client = sum(
            self.requests[other].event.client == client for other in self._waiting if other in self.requests
        )
        # One crowd doesn't shut out the rest.
        crowded = waiting * CROWDED_PART >= most and same_client * CLIENT_PART >= most
        if crowded or waiting >= most:
            return self._not_run(request, QueueFull("Too many requests wait here."))
        self._waiting.append(request.ticket)
        return None

    def retry_waiting(self) -> None:
        """Move on whatever can be, as something has changed."""
        tickets, self._waiting = self._waiting, deque()
        for ticket in tickets:
            if (request := self.requests.get(ticket)) is not None:
                self._advance(request)

    def _advance(self, request: ClientRequest) -> None:
        """Admit the request under the present configuration and move it one step on."""
        state, event = self._state, request.event
        # After a freeze it is late: deadline and lease are looked at again before every step.
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
        # While stages differ, what either bundle runs once is run once wherever it enters.
        once = route.once or (event.key and any(runs_once(each, event) for each in state.view.active_bundles))
        if once and not request.claimed:
            return self._claim(request, bundle, route)
        return self._send(request, route)

    # -- keys --------------------------------------------------------------------------------------------------------

    def _claim(self, request: ClientRequest, bundle: Bundle, route: Route) -> None:
        event = request.event
        if self.keys.is_blocked(after=MAX_CORE_OUTAGE):
            # One claim at a time finds out whether the core answers again; the others are told at once.
            return self._not_run(request, _log_unavailable())
        identity = request.identity
        if not request.claim or identity is None:
            found = identify_client(
                caller=event.caller, declared=bundle.client, headers=event.headers, twice=event.twice
            )
            if isinstance(found, MeshError):
                return self._refuse(request, 400, found)
            identity = found
            self.keys.prepare(request, identity, route)
        request.phase = Phase.CLAIMING
        request.call_number = self.keys.submit(request, identity, route)
        self._tickets[request.call_number] = request.ticket
        return None

    def hold_answered(self, event: HoldAnswered) -> None:
        """Take the log's answer to a claim or a release, or that there is none."""
        number, outcome = event.number, event.outcome
        if self.keys.releases.answered(number, outcome):
            return None
        command = self.keys.answered(number)
        request = self.requests.get(self._tickets.pop(number, -1))
        if request is None or request.claim != command.claim:
            return self._answered_in_vain(command, event)
        if outcome is None and event.maybe_accepted:
            request.unsure_claim = command
        if request.phase is not Phase.CLAIMING or request.call_number != number:
            return None
        if outcome is None:
            # Claiming again under the same claim is one claim: the log knows it.
            # Others may have got theirs meanwhile: this one's wait counts from its own first miss.
            request.claim_missed_at = request.claim_missed_at or self._state.now
            return self._wait(request, _log_unavailable(), since=request.claim_missed_at)
        if outcome.error:
            # Nothing is held under this claim, so there is nothing to give back.
            request.claim = ""
            error = MeshError(outcome.error, outcome.message, outcome.remedy, outcome.field)
            return self._refuse(request, CLAIM_STATUSES.get(outcome.error, 503), error)
        request.scope = outcome.detail.get("scope", command.scope)
        return self._claim_decided(request, outcome.detail)

    def _answered_in_vain(self, command: ClaimKey, event: HoldAnswered) -> None:
        """Give back the key of a claim whose request was given up: nothing was sent under it."""
        if event.outcome is None:
            if event.maybe_accepted:
                self._release_unsure(command)
        elif event.outcome.detail.get("phase") == "granted":
            scope = event.outcome.detail.get("scope", command.scope)
            self.keys.releases.submit(ReleaseKey(scope, command.claim))

    def _release_unsure(self, command: ClaimKey) -> None:
        """Release a claim that got no answer, under each name by which the log may hold it."""
        for scope in dict.fromkeys((hold_scope(command), command.scope)):
            self.keys.releases.schedule(ReleaseKey(scope, command.claim))

    def _claim_decided(self, request: ClientRequest, detail: dict) -> None:
        match detail["phase"]:
            case "granted":
                request.claimed = True
                name = request.route.name if request.route is not None else ""
                self._state.announce("key held", scope=request.scope[:SHOWN_SCOPE_LENGTH], entry=name)
                self._advance(request)
            case phase if phase == SETTLED and detail["kept"]:
                headers = {**detail["headers"], **REPEAT_HEADER}
                self._answer(request, ANSWERED, detail["status"], headers, detail["body"])
            case phase if phase == SETTLED:
                # The answer went over its cap and was passed on once; what remains is that it ran.
                self._answer(request, ANSWERED, detail["status"], dict(REPEAT_HEADER), b"")
            case _:
                error = KeyInUse("The first request with this key is still working.", field="Idempotency-Key")
                self._answer(request, STILL_WORKING, 409, {}, b"", error, RETRY_AFTER)

    def _give_up_late_claims(self) -> None:
        """Answer requests whose claim goes on past their patience; a grant that comes later is given back."""
        late = [
            request
            for request in self.requests.values()
            if request.phase is Phase.CLAIMING and self._state.now - request.arrived >= MAX_KEY_WAIT
        ]
        for request in late:
            self._not_run(request, _log_unavailable())

    # -- forwarding --------------------------------------------------------------------------------------------------

    def update_quota(self, name: str) -> Service | None:
        """Bring this proxy's part of a service's retry budget up to the present configuration."""
        state = self._state
        service = state.view.service(name)
        if service is None:
            return None
        proxies = [proxy.node for proxy in state.view.live_proxies()]
        quota = retry_quota_of(service=name, proxy=state.settings.name, proxies=proxies, margin=service.further_margin)
        self.retry_budget.set_quota(name, quota=quota, percent=service.further_percent, now=state.now)
        return service

    def configuration_changed(self, view: View) -> None:
        """Take that another configuration is in force."""
        available = {server.service for server in view.available_servers()}
        self._closed_since = {name: since for name, since in self._closed_since.items() if name not in available}
        for bundle in view.active_bundles:
            for service in bundle.services:
                self.update_quota(service.name)

    def _send(self, request: ClientRequest, route: Route) -> None:
        state = self._state
        if request.judged_under is not None and request.judged_under < state.view.revision:
            # The configuration that the target had is here by now, and says who takes it.
            request.judged_under = None
            request.refused_by.clear()
        servers = self._servers.admitting(request, route)
        target = self._servers.select(request, servers)
        if target is None:
            return self._without_server(request, route, any_open=bool(servers))
        if not self._pay_for_attempt(request, target.service):
            error = RetryBudgetExhausted(f"{route.service} has no room for further sends.")
            return self._unknown(request, error) if request.uncertain else self._not_run(request, error)
        return self._forward(request, route, target)

    def _without_server(self, request: ClientRequest, route: Route, *, any_open: bool) -> None:
        none = NoServer(f"No server of {route.service} takes work.")
        if request.judged_under is not None:
            # A bundle that isn't here yet decides: it is on its way.
            return self._wait(request, request.last_error or none, since=request.judged_at)
        if request.refused_by:
            # Everyone open has refused it: give the final answer now, not near the deadline.
            return self._not_run(request, request.last_error or none)
        since = None if any_open else self._closed_since.setdefault(route.service, self._state.now)
        return self._wait(request, none, since=since)

    def _pay_for_attempt(self, request: ClientRequest, name: str) -> bool:
        """Whether the next attempt may go to this service: a first one always, a retry if the budget pays for it."""
        state = self._state
        service = self.update_quota(name)
        if request.attempts == 0:
            if not request.counted:
                request.counted = True
                self.retry_budget.earn(name, percent=service.further_percent if service is not None else 0)
                if name in self._exhausted and self.retry_budget.available(name, now=state.now) >= 1:
                    self._exhausted.discard(name)
                    state.announce("room again", service=name)
            return True
        paid_by = self.retry_budget.try_spend(name, now=state.now)
        if paid_by:
            request.paid_by = paid_by
        elif name not in self._exhausted:
            self._exhausted.add(name)
            state.announce("room spent", service=name)
        return bool(paid_by)

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
        """Close an attempt and return its request, if that still waits for this attempt."""
        request = self.requests.get(self._tickets.pop(number, -1))
        if request is None or request.call_number != number:
            return None
        self._servers.attempt_ended(request.target)
        return request

    def forward_answered(self, number: int, answer: BundleForwardAnswer) -> None:
        """Take what the target's proxy answered to an attempt."""
        request = self._attempt_ended(number)
        if request is None:
            return None
        # An answer that isn't to this very attempt, or that changed on its way, is nobody's answer.
        altered = answer.outcome == ANSWERED and digest_of_body(answer.body) != answer.digest
        if answer.attempt_id != request.attempt_id or altered:
            return self._attempt_uncertain(request, InvalidAnswer("The answer came back altered."))
        if answer.outcome == ANSWERED:
            return self._answer(request, ANSWERED, answer.status, answer.headers, answer.body)
        if answer.outcome == NOT_RUN:
            return self._attempt_refused(
                request, MeshError(answer.error, answer.detail, "Come back after the time given.")
            )
        return self._attempt_uncertain(request, MeshError(answer.error, answer.detail, ASK_BEFORE_RETRY))

    def forward_failed(self, number: int, *, unsent: bool) -> None:
        """Take that an attempt got no answer; `unsent` if nothing was ever written to the target."""
        request = self._attempt_ended(number)
        if request is None:
            return None
        if unsent:
            # No connection was made, so nothing can arrive later either.
            return self._attempt_refused(
                request,
                Unreachable(f"{request.target} takes no connection.", remedy="Come back after the time given."),
            )
        return self._attempt_uncertain(
            request, NoResponse(f"{request.target} gave no answer.", remedy=ASK_BEFORE_RETRY)
        )

    def forward_withheld(self, number: int) -> None:
        """Take that an attempt never left this proxy: it was none, and costs none."""
        request = self._attempt_ended(number)
        if request is None:
            return
        request.attempts -= 1
        if request.attempts:
            self.retry_budget.refund(request.target_service, request.paid_by)
        self._wait(request, LeaseExpired("No fresh news from the core."))

    def _attempt_refused(self, request: ClientRequest, error: MeshError) -> None:
        """Nothing ran: another server may take it."""
        request.refused_by.add(request.target)
        request.last_error = error
        if error.kind in JUDGED_OTHERWISE:
            request.judged_under = self._state.view.revision
            request.judged_at = request.judged_at or self._state.now
        self._advance(request)

    def _attempt_uncertain(self, request: ClientRequest, error: MeshError) -> None:
        """It may have run: only a safe method may be sent again."""
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
            late = DeadlineExceeded("No answer within the entry's budget.", remedy=ASK_BEFORE_RETRY)
            return self._unknown(request, request.last_error or late)
        unsent = DeadlineExceeded("The entry's budget ran out before it was sent.")
        return self._not_run(request, request.last_error or unsent)

    def _refuse(self, request: ClientRequest, status: int, error: MeshError) -> None:
        self._release_unused(request)
        self._answer(request, REFUSED, status, {}, b"", error, RETRY_AFTER if status == 503 else None)

    def _not_run(self, request: ClientRequest, error: MeshError) -> None:
        if request.uncertain:
            # An earlier attempt of it may have run, whatever the last one says.
            return self._unknown(request, error)
        self._release_unused(request)
        # The final answer goes at once, with the time to come back; nothing is held to keep the caller busy.
        return self._answer(request, NOT_RUN, 503, {}, b"", error, RETRY_AFTER)

    def _unknown(self, request: ClientRequest, error: MeshError) -> None:
        # Under a key the same request may be sent again at any time: it runs no second time.
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
            used = self.usage.setdefault(key, [0, 0, 0, 0])
            for place, amount in enumerate((1, max(0, request.attempts - 1), len(request.event.body), len(body))):
                used[place] += amount
        self._state.out.append(AnswerClient(request.ticket, outcome, status, headers, body, error, retry_after))

    def _forget(self, request: ClientRequest) -> None:
        del self.requests[request.ticket]
        forwarded = request.call_number != NO_CALL and request.phase is Phase.FORWARDED
        if forwarded and self._tickets.pop(request.call_number, None) is not None:
            self._servers.attempt_ended(request.target)

    def _release_unused(self, request: ClientRequest) -> None:
        """Release the request's key, if it claimed one and nothing ran under it."""
        if not request.claim or request.uncertain:
            return
        if request.claimed:
            name = request.route.name if request.route is not None else ""
            self._state.announce("key given back", scope=request.scope[:SHOWN_SCOPE_LENGTH], entry=name)
            self.keys.releases.submit(ReleaseKey(request.scope, request.claim))
        elif request.unsure_claim is not None:
            self._release_unsure(request.unsure_claim)

    # -- other events ------------------------------------------------------------------------------------------------

    def client_disconnected(self, ticket: int) -> None:
        """Drop what was not sent; what was is followed to its end, so that its key settles."""
        request = self.requests.get(ticket)
        if request is not None and request.phase is not Phase.FORWARDED:
            self._release_unused(request)
            self._forget(request)

    def tick(self) -> None:
        """Give the final answers that are due, and move on what can be."""
        for request in [each for each in self.requests.values() if self._state.now >= each.deadline]:
            self._expire(request)
        self._give_up_late_claims()
        self._waiting = deque(ticket for ticket in self._waiting if ticket in self.requests)
        self.retry_waiting()


def _caller_unnamed(event: RequestArrived) -> MeshError:
    named = f"names {event.instance}" if event.instance else "names no instance"
    return CallerUnnamed(
        f"The call {named}, and that isn't the server whose health reports came last.", field="X-Hoistsaddle-Instance"
    )


def _log_unavailable() -> MeshError:
    return NoLeader("No core machine could hold the key.")
