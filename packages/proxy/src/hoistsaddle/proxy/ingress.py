"""The entry's side of a proxy: it admits what clients and its own server ask, holds keys, sends, and answers."""

from collections import deque
from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.bundle import CLIENTS, SAFE_METHODS, Bundle, Route, Service, budget_of
from hoistsaddle.proxy.client_identity import ClientIdentity, digest_of_parts, identify_client
from hoistsaddle.proxy.core_state import GAP, SETTLE_AGAIN, CoreState, digest_of_body, mesh_error, number_of
from hoistsaddle.proxy.messages import (
    ANSWERED,
    NOT_RUN,
    REFUSED,
    STILL_WORKING,
    UNKNOWN,
    AnswerClient,
    ForwardRequest,
    RequestArrived,
    SubmitHold,
)
from hoistsaddle.proxy.retry_budget import RetryBudget, retry_quota_of
from hoistsaddle.rpc.messages import BundleForwardAnswer, BundleForwardCall
from hoistsaddle.statemachine.commands import ClaimKey, Outcome, ReleaseKey
from hoistsaddle.statemachine.state import READY, SETTLED, ServerRecord

DEFAULT_BUDGET = timedelta(seconds=5)
RELEASE_SPAN = timedelta(seconds=60)
COME_BACK = timedelta(seconds=1)
# What a target says whose bundle doesn't let the request to its server, though the one here does.
JUDGED_OTHERWISE = (ErrorKind.NO_ENTRY, ErrorKind.NOT_ALLOWED)
# The longest that a request waits for its key, from its arrival on: one claim that finds the core silent, and the gap
# that is waited out after it. A claim that is still under way then is overtaken by the final answer.
MAX_KEY_WAIT = 2 * GAP


class _Request:
    """A request at its entry's proxy."""

    def __init__(self, *, event: RequestArrived, arrived: timedelta) -> None:
        self.event = event
        self.arrived = arrived
        self.deadline = arrived + DEFAULT_BUDGET
        self.entry: Route | None = None
        self.phase = "waiting"
        self.scope = ""
        self.claim = ""
        self.known: ClientIdentity | None = None
        self.claimed = False
        self.asked: int | None = None
        self.send = ""
        self.target: ServerRecord | None = None
        self.refused_by: set[str] = set()
        # The revision here, and when, as a target whose bundle is newer judged it otherwise; None while none did.
        self.judged_under: int | None = None
        self.judged_at: timedelta | None = None
        self.sends = 0
        # Set once a send may have run and nobody can say.
        self.uncertain = False
        self.why: MeshError | None = None
        # Whether its first send has earned its share of a further one.
        self.counted = False
        # By what its last further send went out.
        self.way = ""
        # When the core first gave no answer about its key.
        self.missed_at: timedelta | None = None


def _no_core() -> MeshError:
    return mesh_error(ErrorKind.NO_LEADER, "No core machine could hold the key.", "Come back after the time given.")


class IngressCore(CoreState):
    def __init__(self, **needs) -> None:
        super().__init__(**needs)
        # A lease's span and a twentieth, for clocks that run apart: the rule of acceptance.
        self.further = RetryBudget(wait=self.settings.lease_span * 1.05)
        # Since when the core is silent about keys, or a service has no open server.
        self.silent_since: timedelta | None = None
        self.closed_since: dict[str, timedelta] = {}
        # Services whose room for further sends ran out here.
        self.spent: set[str] = set()
        self.requests: dict[int, _Request] = {}
        self.waiting: deque[int] = deque()
        self.by_number: dict[int, int] = {}
        self.claims: dict[int, ClaimKey] = {}
        self.releases: dict[int, tuple[ReleaseKey, timedelta]] = {}
        self.release_again: list[tuple[timedelta, ReleaseKey, timedelta]] = []
        self.outstanding: dict[str, int] = {}
        # Service, entry, caller and outcome to requests, further sends, bytes in and bytes out.
        self.usage: dict[tuple[str, str, str, str], list[int]] = {}

    def _request(self, event: RequestArrived) -> None:
        request = _Request(event=event, arrived=self.now)
        self.requests[event.ticket] = request
        # Winding down: what is mid-answer is finished, new clients go elsewhere.
        if self.stopping and not event.caller:
            return self._not_run(
                event.ticket,
                mesh_error(ErrorKind.WINDING_DOWN, "This proxy is stopping.", "Send it to another machine."),
            )
        if event.caller and (self.server is None or event.instance != self.server.instance):
            # An old process may outlive its replacement's first word; unnamed, it would pass for the new service.
            return self._refuse(event.ticket, 403, self._unnamed(event))
        if len(self.waiting) >= self.settings.backlog:
            return self._not_run(
                event.ticket,
                mesh_error(ErrorKind.QUEUE_FULL, "Too many requests wait here.", "Come back after the time given."),
            )
        self._go_on(event.ticket)

    def _unnamed(self, event: RequestArrived) -> MeshError:
        told = f"names {event.instance}" if event.instance else "names no instance"
        return mesh_error(
            ErrorKind.CALLER_UNNAMED,
            f"The call {told}, and that isn't the server whose health reports came last.",
            "Send X-Hoistsaddle-Instance with the instance told in the health reports, and the health reports first.",
            "X-Hoistsaddle-Instance",
        )

    def _wait(self, ticket: int, why: MeshError, *, since: timedelta | None = None) -> None:
        """Keeps the request until something changes; since when the cause lasts, unless it is only want of room."""
        request = self.requests[ticket]
        if since is not None and self.now - since >= GAP:
            # No short gap explains it: the final answer goes at once, and so do those of later requests.
            return self._not_run(ticket, why)
        request.phase = "waiting"
        request.why = why
        if ticket not in self.waiting:
            client = request.event.client
            mine = sum(self.requests[other].event.client == client for other in self.waiting if other in self.requests)
            # Once half the room is taken, nobody may hold more than an eighth of it: one crowd doesn't shut
            # out the rest.
            crowded = len(self.waiting) * 2 >= self.settings.backlog and mine * 8 >= self.settings.backlog
            if crowded or len(self.waiting) >= self.settings.backlog:
                return self._not_run(
                    ticket,
                    mesh_error(ErrorKind.QUEUE_FULL, "Too many requests wait here.", "Come back after the time given."),
                )
            self.waiting.append(ticket)

    def _retry_waiting(self) -> None:
        tickets, self.waiting = self.waiting, deque()
        for ticket in tickets:
            if ticket in self.requests:
                self._go_on(ticket)

    def _go_on(self, ticket: int) -> None:
        """Admits the request under the configuration of this moment and moves it one step on."""
        request = self.requests[ticket]
        # After a freeze the moment is late: deadline and lease are looked at again before every step.
        if self.now >= request.deadline:
            return self._spent(ticket)
        if (error := self._unready()) is not None:
            since = ZERO if error.kind == ErrorKind.BUNDLE_UNKNOWN else self.unready_since
            return self._wait(ticket, error, since=since)
        event = request.event
        entry = self.view.bundle.select_entry(method=event.method, path=event.path)
        caller = event.caller or CLIENTS
        if entry is None:
            return self._refuse(
                ticket,
                404,
                mesh_error(
                    ErrorKind.NO_ENTRY, f"No entry for {event.method} {event.path}.", "Call a declared entry.", "path"
                ),
            )
        if caller not in entry.callers:
            return self._refuse(
                ticket,
                403,
                mesh_error(
                    ErrorKind.NOT_ALLOWED, f"{caller} may not call {entry.name}.", "Have a bundle allow it.", "callers"
                ),
            )
        if len(event.body) > entry.body_bytes:
            return self._refuse(
                ticket,
                413,
                mesh_error(
                    ErrorKind.BODY_TOO_LARGE,
                    f"The body is over {entry.body_bytes} bytes.",
                    "Send a smaller body.",
                    "body",
                ),
            )
        if entry.once and not event.key:
            return self._refuse(
                ticket,
                400,
                mesh_error(
                    ErrorKind.KEY_MISSING,
                    f"{entry.name} runs once per key.",
                    "Send an Idempotency-Key header.",
                    "Idempotency-Key",
                ),
            )
        if request.entry is None:
            request.entry = entry
            request.deadline = request.arrived + budget_of(entry)
            if self.now >= request.deadline:
                return self._spent(ticket)
        request.entry = entry
        # While stages differ, what either bundle runs once is run once wherever it enters.
        once = entry.once or (event.key and any(self._once_in(each, event) for each in self.view.active_bundles))
        if once and not request.claimed:
            return self._claim(ticket)
        self._send(ticket)

    @staticmethod
    def _once_in(bundle: Bundle, event: RequestArrived) -> bool:
        entry = bundle.select_entry(method=event.method, path=event.path)
        return entry is not None and entry.once

    def _claim(self, ticket: int) -> None:
        request = self.requests[ticket]
        event = request.event
        if self.silent_since is not None and self.now - self.silent_since >= GAP and self.claims:
            # One claim at a time finds out whether the core answers again; the others are told at once.
            return self._not_run(ticket, _no_core())
        if not request.claim:
            known = identify_client(
                caller=event.caller, declared=self.view.bundle.client, headers=event.headers, twice=event.twice
            )
            if isinstance(known, MeshError):
                return self._refuse(ticket, 400, known)
            request.known = known
            # Where level 1 keeps the key; from level 2 on the log finds it by the bucket.
            request.scope = digest_of_parts(event.caller, event.client, request.entry.name, event.key)
            request.claim = f"{self.settings.name}.{self.settings.incarnation}.{self._number()}"
        request.phase = "claiming"
        request.asked = self._number()
        self.by_number[request.asked] = ticket
        # The body's digest covers method, path and query too: another request under the same key is refused.
        digest = digest_of_body("\0".join((event.method, event.path, event.query, "")).encode() + event.body)
        command = self.claims[request.asked] = ClaimKey(
            request.scope,
            request.claim,
            self.settings.name,
            digest,
            digest_of_parts("bucket", event.caller, event.method, event.path, event.key),
            request.known.by,
            request.known.who,
            request.entry.name,
        )
        self._out.append(SubmitHold(request.asked, command))

    def _give_up_late_claims(self) -> None:
        """Answers requests whose claim goes on past their patience; a grant that comes later is given back."""
        late = [
            ticket
            for ticket, request in self.requests.items()
            if request.phase == "claiming" and self.now - request.arrived >= MAX_KEY_WAIT
        ]
        for ticket in late:
            self._not_run(ticket, _no_core())

    def _hold_answered(self, number: int, outcome: Outcome | None) -> None:
        if number in self.releases:
            released, until = self.releases.pop(number)
            if outcome is None and self.now < until:
                self.release_again.append((self.now + SETTLE_AGAIN, released, until))
            return None
        command = self.claims.pop(number)
        ticket = self.by_number.pop(number, None)
        request = self.requests.get(ticket)
        scope = outcome.detail.get("scope", command.scope) if outcome is not None else command.scope
        if request is None or request.phase != "claiming" or request.asked != number:
            # Granted after its request was given up: nothing was sent under it, so the key goes back.
            if (
                outcome is not None
                and outcome.detail.get("phase") == "granted"
                and (request is None or request.claim != command.claim)
            ):
                self._release(ReleaseKey(scope, command.claim), self.now + RELEASE_SPAN)
            return None
        if outcome is None:
            # Claiming again under the same claim is one claim: the log knows it.
            # Others may have got theirs meanwhile: this one's wait counts from its own first miss.
            request.missed_at = request.missed_at or self.now
            return self._wait(ticket, _no_core(), since=request.missed_at)
        if outcome.error:
            statuses: dict[str, int] = {ErrorKind.KEY_OTHER_BODY: 422, ErrorKind.KEY_CLIENT_UNSURE: 409}
            # Nothing is held under this claim, so there is nothing to give back.
            request.claim = ""
            error = MeshError(outcome.error, outcome.message, outcome.remedy, outcome.field)
            return self._refuse(ticket, statuses.get(outcome.error, 503), error)
        request.scope = scope
        detail = outcome.detail
        match detail["phase"]:
            case "granted":
                request.claimed = True
                self._announce("key held", scope=request.scope[:12], entry=request.entry.name)
                self._go_on(ticket)
            case phase if phase == SETTLED and detail["kept"]:
                self._answer(
                    ticket,
                    ANSWERED,
                    detail["status"],
                    {**detail["headers"], "X-Hoistsaddle-Repeat": "true"},
                    detail["body"],
                )
            case phase if phase == SETTLED:
                # The answer went over its cap and was passed on once; what remains is that it ran.
                self._answer(ticket, ANSWERED, detail["status"], {"X-Hoistsaddle-Repeat": "true"}, b"")
            case _:
                error = mesh_error(
                    ErrorKind.KEY_HELD,
                    "The first request with this key is still working.",
                    "Ask again with the same key after the time given.",
                    "Idempotency-Key",
                )
                self._answer(ticket, STILL_WORKING, 409, {}, b"", error, COME_BACK)

    def _open_for(self, request: _Request) -> list[ServerRecord]:
        """The open servers whose proxy, in its stage, admits the request: of the entry's service if there are any."""
        event = request.event
        caller = event.caller or CLIENTS
        admitting = []
        for server in self.view.available_servers():
            # The own proxy knows its server's standing before any news of it has travelled.
            if server.proxy == self.settings.name and self.server_state() != READY:
                continue
            # The newer of the two proxies' bundles decides, here as at the target.
            bundle = max(self.view.bundle_by_proxy.get(server.proxy, self.view.bundle), self.view.bundle, key=number_of)
            entry = bundle.select_entry(method=event.method, path=event.path)
            if entry is None or entry.service != server.service or caller not in entry.callers:
                continue
            if len(event.body) <= entry.body_bytes and (request.claimed or not entry.once):
                admitting.append(server)
        own = [each for each in admitting if each.service == request.entry.service]
        # Moved by a bundle that stages haven't brought everywhere: better the other's server than none.
        return own or admitting

    def _select(self, request: _Request, available_servers: list[ServerRecord]) -> ServerRecord | None:
        """The least loaded open server, the own zone's first, those that refused this request last not at all."""
        available_servers = [
            each
            for each in available_servers
            if each.proxy not in request.refused_by and self.outstanding.get(each.proxy, 0) < self.settings.outstanding
        ]
        near = [each for each in available_servers if each.zone == self.settings.zone]
        if near and len(near) < len(available_servers):
            # A zone with few servers isn't flooded: it keeps its own only while they are no busier than the rest.
            least_near = min(self.outstanding.get(each.proxy, 0) for each in near)
            least_all = min(self.outstanding.get(each.proxy, 0) for each in available_servers)
            if least_near > least_all + 2:
                near = []
        candidates = near or available_servers
        if not candidates:
            return None
        least = min(self.outstanding.get(each.proxy, 0) for each in candidates)
        return self.random.choice([each for each in candidates if self.outstanding.get(each.proxy, 0) == least])

    def _allot(self, name: str) -> Service:
        """Brings this proxy's room for further sends to a service up to the present configuration."""
        service = self.view.service(name)
        proxies = [proxy.node for proxy in self.view.live_proxies()]
        part = retry_quota_of(service=name, proxy=self.settings.name, proxies=proxies, margin=service.further_margin)
        self.further.allot(name, part=part, percent=service.further_percent, now=self.now)
        return service

    def _send(self, ticket: int) -> None:
        request = self.requests[ticket]
        entry, event = request.entry, request.event
        if request.judged_under is not None and request.judged_under < self.view.revision:
            # The news that the target had is here by now, and says who takes it.
            request.judged_under = None
            request.refused_by.clear()
        available_servers = self._open_for(request)
        target = self._select(request, available_servers)
        if target is None:
            none = mesh_error(
                ErrorKind.NO_SERVER, f"No server of {entry.service} takes work.", "Come back after the time given."
            )
            if request.judged_under is not None:
                # A bundle that isn't here yet decides: it is on its way.
                return self._wait(ticket, request.why, since=request.judged_at)
            if request.refused_by:
                # Everyone open has refused it: give the final answer now, not near the deadline.
                return self._not_run(ticket, request.why or none)
            since = None if available_servers else self.closed_since.setdefault(entry.service, self.now)
            return self._wait(ticket, none, since=since)
        service = self._allot(target.service)
        if request.sends == 0:
            if not request.counted:
                request.counted = True
                self.further.first(target.service, percent=service.further_percent)
                if target.service in self.spent and self.further.room(target.service, now=self.now) >= 1:
                    self.spent.discard(target.service)
                    self._announce("room again", service=target.service)
        elif not (way := self.further.gate(target.service, now=self.now)):
            if target.service not in self.spent:
                self.spent.add(target.service)
                self._announce("room spent", service=target.service)
            error = mesh_error(
                ErrorKind.FURTHER_SENDS_SPENT,
                f"{entry.service} has no room for further sends.",
                "Come back after the time given.",
            )
            return self._unknown(ticket, error) if request.uncertain else self._not_run(ticket, error)
        else:
            request.way = way
        request.sends += 1
        request.phase = "passing"
        request.target = target
        request.send = f"{self.settings.name}.{self.settings.incarnation}.{self._number()}"
        request.asked = self._number()
        self.by_number[request.asked] = ticket
        self.outstanding[target.proxy] = self.outstanding.get(target.proxy, 0) + 1
        budget = request.deadline - self.now
        call = BundleForwardCall(
            send=request.send,
            caller=event.caller or CLIENTS,
            client=event.client,
            service_name=target.service,
            target=target.proxy,
            instance=target.instance,
            bundle=self.view.bundle_number,
            entry=entry.name,
            budget=budget,
            method=event.method,
            path=event.path + (f"?{event.query}" if event.query else ""),
            headers=event.headers,
            body=event.body,
            hold=f"{request.scope} {request.claim}" if request.claimed else "",
            answer_bytes=entry.answer_bytes,
            ordinal=request.sends,
        )
        self._out.append(ForwardRequest(request.asked, self.view.nodes[target.proxy].address, call, budget))

    def _passed(self, number: int) -> tuple[int, _Request] | None:
        ticket = self.by_number.pop(number, None)
        request = self.requests.get(ticket)
        if request is None or request.asked != number:
            return None
        left = self.outstanding.get(request.target.proxy, 0) - 1
        self.outstanding[request.target.proxy] = max(0, left)
        return ticket, request

    def _forward_answered(self, number: int, answer: BundleForwardAnswer) -> None:
        found = self._passed(number)
        if found is None:
            return None
        ticket, request = found
        # An answer that isn't to this very send, or that changed on its way, is nobody's answer.
        broken = answer.send != request.send or (
            answer.outcome == ANSWERED and digest_of_body(answer.body) != answer.digest
        )
        if broken:
            return self._uncertain(
                ticket,
                mesh_error(
                    ErrorKind.ANSWER_BROKEN,
                    "The answer came back altered.",
                    "Ask what became of the request before sending it again.",
                ),
            )
        match answer.outcome:
            case "answered":
                self._answer(ticket, ANSWERED, answer.status, answer.headers, answer.body)
            case "not-run":
                error = MeshError(answer.error, answer.detail, "Come back after the time given.")
                self._send_again(ticket, error)
            case _:
                self._uncertain(
                    ticket,
                    MeshError(answer.error, answer.detail, "Ask what became of the request before sending it again."),
                )

    def _forward_failed(self, number: int, unsent: bool) -> None:
        found = self._passed(number)
        if found is None:
            return None
        ticket, request = found
        if unsent:
            # No connection was made, so no envelope can arrive later either.
            return self._send_again(
                ticket,
                mesh_error(
                    ErrorKind.UNREACHABLE,
                    f"{request.target.proxy} takes no connection.",
                    "Come back after the time given.",
                ),
            )
        self._uncertain(
            ticket,
            mesh_error(
                ErrorKind.SILENT,
                f"{request.target.proxy} gave no answer.",
                "Ask what became of the request before sending it again.",
            ),
        )

    def _forward_withheld(self, number: int) -> None:
        found = self._passed(number)
        if found is None:
            return
        ticket, request = found
        # Nothing left this proxy, so this was no send and costs none.
        request.sends -= 1
        if request.sends:
            self.further.give_back(request.target.service, request.way)
        self._wait(
            ticket,
            mesh_error(ErrorKind.LEASE_LAPSED, "No fresh news from the core.", "Come back after the time given."),
        )

    def _send_again(self, ticket: int, error: MeshError) -> None:
        request = self.requests[ticket]
        request.refused_by.add(request.target.proxy)
        request.why = error
        if error.kind in JUDGED_OTHERWISE:
            request.judged_under = self.view.revision
            request.judged_at = request.judged_at or self.now
        self._go_on(ticket)

    def _uncertain(self, ticket: int, error: MeshError) -> None:
        """It may have run. Only a safe method may be sent again."""
        request = self.requests[ticket]
        request.uncertain = True
        request.why = error
        if request.event.method in SAFE_METHODS and self.now < request.deadline:
            request.refused_by.add(request.target.proxy)
            if self._select(request, self._open_for(request)) is not None:
                return self._go_on(ticket)
        self._unknown(ticket, error)

    def _spent(self, ticket: int) -> None:
        request = self.requests[ticket]
        if request.phase == "passing" or request.uncertain:
            error = request.why or mesh_error(
                ErrorKind.BUDGET_SPENT,
                "No answer within the entry's budget.",
                "Ask what became of the request before sending it again.",
            )
            return self._unknown(ticket, error)
        error = request.why or mesh_error(
            ErrorKind.BUDGET_SPENT, "The entry's budget ran out before it was sent.", "Come back after the time given."
        )
        self._not_run(ticket, error)

    def _finish(self, ticket: int) -> _Request:
        request = self.requests.pop(ticket)
        if (
            request.asked is not None
            and request.phase == "passing"
            and self.by_number.pop(request.asked, None) is not None
        ):
            self.outstanding[request.target.proxy] = max(0, self.outstanding.get(request.target.proxy, 0) - 1)
        return request

    def _answer(
        self,
        ticket: int,
        outcome: str,
        status: int,
        headers: dict[str, str],
        body: bytes,
        error: MeshError | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        request = self._finish(ticket)
        if request.entry is not None:
            used = self.usage.setdefault(
                (request.entry.service, request.entry.name, request.event.caller or CLIENTS, outcome), [0, 0, 0, 0]
            )
            for place, amount in enumerate((1, max(0, request.sends - 1), len(request.event.body), len(body))):
                used[place] += amount
        self._out.append(AnswerClient(ticket, outcome, status, headers, body, error, retry_after))

    def _refuse(self, ticket: int, status: int, error: MeshError) -> None:
        self._let_go(self.requests[ticket])
        self._answer(ticket, REFUSED, status, {}, b"", error, COME_BACK if status == 503 else None)

    def _not_run(self, ticket: int, error: MeshError) -> None:
        request = self.requests[ticket]
        if request.uncertain:
            # An earlier send of it may have run, whatever the last one says.
            return self._unknown(ticket, error)
        self._let_go(request)
        # The final answer goes at once, with the time to come back; nothing is held to keep the caller busy.
        self._answer(ticket, NOT_RUN, 503, {}, b"", error, COME_BACK)

    def _unknown(self, ticket: int, error: MeshError) -> None:
        # Under a key the same request may be asked again at any time: it runs no second time.
        retry_after = COME_BACK if self.requests[ticket].claim else None
        self._answer(ticket, UNKNOWN, 504, {}, b"", error, retry_after)

    def _let_go(self, request: _Request) -> None:
        """Gives a claimed key back: nothing ran under it and nothing will."""
        if request.claim and not request.uncertain:
            self._announce("key given back", scope=request.scope[:12], entry=request.entry.name)
            self._release(ReleaseKey(request.scope, request.claim), self.now + RELEASE_SPAN)

    def _release(self, command: ReleaseKey, until: timedelta) -> None:
        number = self._number()
        self.releases[number] = (command, until)
        self._out.append(SubmitHold(number, command))

    def _gone(self, ticket: int) -> None:
        request = self.requests.get(ticket)
        if request is None:
            return
        # Sent work is followed to its end, so that its hold settles; unsent work is dropped.
        if request.phase != "passing":
            self._let_go(request)
            self._finish(ticket)
