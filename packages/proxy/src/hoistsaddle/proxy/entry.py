"""The entry's side of a stall: it admits what visitors and its own server ask, holds keys, sends, and answers."""

from collections import deque
from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.config.bundle import SAFE_METHODS, VISITORS, Bundle, Entry, Service, budget_of
from hoistsaddle.proxy.further import FurtherSends, part_of
from hoistsaddle.proxy.messages import (
    ANSWERED,
    NOT_RUN,
    REFUSED,
    STILL_WORKING,
    UNKNOWN,
    AnswerVisitor,
    AskHold,
    PassOn,
    RequestArrived,
)
from hoistsaddle.proxy.standing import GAP, SETTLE_AGAIN, Standing, digest_of_body, mishap_of, number_of
from hoistsaddle.proxy.visitors import KnownBy, digest_of_parts, known_by
from hoistsaddle.rpc.messages import PassAnswer, PassCall
from hoistsaddle.statemachine.commands import ClaimHold, Outcome, ReleaseHold
from hoistsaddle.statemachine.state import READY, SETTLED, ServerEntry

DEFAULT_BUDGET = timedelta(seconds=5)
RELEASE_SPAN = timedelta(seconds=60)
COME_BACK = timedelta(seconds=1)
# What a target says whose bundle doesn't let the request to its server, though the one here does.
JUDGED_OTHERWISE = (MishapKind.NO_ENTRY, MishapKind.NOT_ALLOWED)
# The longest that a request waits for its key, from its arrival on: one claim that finds the core silent, and the gap
# that is waited out after it. A claim that is still under way then is overtaken by the final answer.
KEY_PATIENCE = 2 * GAP


class _Request:
    """A request at its entry's stall."""

    def __init__(self, *, event: RequestArrived, arrived: timedelta) -> None:
        self.event = event
        self.arrived = arrived
        self.deadline = arrived + DEFAULT_BUDGET
        self.entry: Entry | None = None
        self.phase = "waiting"
        self.scope = ""
        self.claim = ""
        self.known: KnownBy | None = None
        self.claimed = False
        self.asked: int | None = None
        self.send = ""
        self.target: ServerEntry | None = None
        self.refused_by: set[str] = set()
        # The revision here, and when, as a target whose bundle is newer judged it otherwise; None while none did.
        self.judged_under: int | None = None
        self.judged_at: timedelta | None = None
        self.sends = 0
        # Set once a send may have run and nobody can say.
        self.uncertain = False
        self.why: Mishap | None = None
        # Whether its first send has earned its share of a further one.
        self.counted = False
        # By what its last further send went out.
        self.way = ""
        # When the core first gave no answer about its key.
        self.missed_at: timedelta | None = None


def _no_core() -> Mishap:
    return mishap_of(MishapKind.NO_LEADER, "No core machine could hold the key.", "Come back after the time given.")


class EntrySide(Standing):
    def __init__(self, **needs) -> None:
        super().__init__(**needs)
        # A lease's span and a twentieth, for clocks that run apart: the rule of acceptance.
        self.further = FurtherSends(wait=self.params.lease_span * 1.05)
        # Since when the core is silent about keys, or a service has no open server.
        self.silent_since: timedelta | None = None
        self.closed_since: dict[str, timedelta] = {}
        # Services whose room for further sends ran out here.
        self.spent: set[str] = set()
        self.requests: dict[int, _Request] = {}
        self.waiting: deque[int] = deque()
        self.by_number: dict[int, int] = {}
        self.claims: dict[int, ClaimHold] = {}
        self.releases: dict[int, tuple[ReleaseHold, timedelta]] = {}
        self.release_again: list[tuple[timedelta, ReleaseHold, timedelta]] = []
        self.outstanding: dict[str, int] = {}
        # Service, entry, caller and outcome to requests, further sends, bytes in and bytes out.
        self.usage: dict[tuple[str, str, str, str], list[int]] = {}

    def _request(self, event: RequestArrived) -> None:
        request = _Request(event=event, arrived=self.now)
        self.requests[event.ticket] = request
        # Winding down: what is mid-answer is finished, new visitors go elsewhere.
        if self.stopping and not event.caller:
            return self._not_run(
                event.ticket,
                mishap_of(MishapKind.WINDING_DOWN, "This stall is stopping.", "Send it to another machine."),
            )
        if event.caller and (self.server is None or event.instance != self.server.instance):
            # An old process may outlive its replacement's first word; unnamed, it would pass for the new service.
            return self._refuse(event.ticket, 403, self._unnamed(event))
        if len(self.waiting) >= self.params.backlog:
            return self._not_run(
                event.ticket,
                mishap_of(MishapKind.BACKLOG_FULL, "Too many requests wait here.", "Come back after the time given."),
            )
        self._go_on(event.ticket)

    def _unnamed(self, event: RequestArrived) -> Mishap:
        told = f"names {event.instance}" if event.instance else "names no instance"
        return mishap_of(
            MishapKind.CALLER_UNNAMED,
            f"The call {told}, and that isn't the server whose vitals came last.",
            "Send X-Hoistsaddle-Instance with the instance told in the vitals, and the vitals first.",
            "X-Hoistsaddle-Instance",
        )

    def _wait(self, ticket: int, why: Mishap, *, since: timedelta | None = None) -> None:
        """Keeps the request until something changes; since when the cause lasts, unless it is only want of room."""
        request = self.requests[ticket]
        if since is not None and self.now - since >= GAP:
            # No short gap explains it: the final answer goes at once, and so do those of later requests.
            return self._not_run(ticket, why)
        request.phase = "waiting"
        request.why = why
        if ticket not in self.waiting:
            visitor = request.event.visitor
            mine = sum(
                self.requests[other].event.visitor == visitor for other in self.waiting if other in self.requests
            )
            # Once half the room is taken, nobody may hold more than an eighth of it: one crowd doesn't shut
            # out the rest.
            crowded = len(self.waiting) * 2 >= self.params.backlog and mine * 8 >= self.params.backlog
            if crowded or len(self.waiting) >= self.params.backlog:
                return self._not_run(
                    ticket,
                    mishap_of(
                        MishapKind.BACKLOG_FULL, "Too many requests wait here.", "Come back after the time given."
                    ),
                )
            self.waiting.append(ticket)

    def _retry_waiting(self) -> None:
        tickets, self.waiting = self.waiting, deque()
        for ticket in tickets:
            if ticket in self.requests:
                self._go_on(ticket)

    def _go_on(self, ticket: int) -> None:
        """Admits the request under the setup of this moment and moves it one step on."""
        request = self.requests[ticket]
        # After a freeze the moment is late: deadline and lease are looked at again before every step.
        if self.now >= request.deadline:
            return self._spent(ticket)
        if (mishap := self._unready()) is not None:
            since = ZERO if mishap.kind == MishapKind.BUNDLE_UNKNOWN else self.unready_since
            return self._wait(ticket, mishap, since=since)
        event = request.event
        entry = self.view.bundle.select_entry(method=event.method, path=event.path)
        caller = event.caller or VISITORS
        if entry is None:
            return self._refuse(
                ticket,
                404,
                mishap_of(
                    MishapKind.NO_ENTRY, f"No entry for {event.method} {event.path}.", "Call a declared entry.", "path"
                ),
            )
        if caller not in entry.callers:
            return self._refuse(
                ticket,
                403,
                mishap_of(
                    MishapKind.NOT_ALLOWED, f"{caller} may not call {entry.name}.", "Have a bundle allow it.", "callers"
                ),
            )
        if len(event.body) > entry.body_bytes:
            return self._refuse(
                ticket,
                413,
                mishap_of(
                    MishapKind.BODY_TOO_LARGE,
                    f"The body is over {entry.body_bytes} bytes.",
                    "Send a smaller body.",
                    "body",
                ),
            )
        if entry.once and not event.key:
            return self._refuse(
                ticket,
                400,
                mishap_of(
                    MishapKind.KEY_MISSING,
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
        once = entry.once or (event.key and any(self._once_in(each, event) for each in self.view.in_play))
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
            known = known_by(
                caller=event.caller, declared=self.view.bundle.visitor, headers=event.headers, twice=event.twice
            )
            if isinstance(known, Mishap):
                return self._refuse(ticket, 400, known)
            request.known = known
            # Where level 1 keeps the key; from level 2 on the log finds it by the bucket.
            request.scope = digest_of_parts(event.caller, event.visitor, request.entry.name, event.key)
            request.claim = f"{self.params.name}.{self.params.incarnation}.{self._number()}"
        request.phase = "claiming"
        request.asked = self._number()
        self.by_number[request.asked] = ticket
        # The body's digest covers method, path and query too: another request under the same key is refused.
        digest = digest_of_body("\0".join((event.method, event.path, event.query, "")).encode() + event.body)
        command = self.claims[request.asked] = ClaimHold(
            request.scope,
            request.claim,
            self.params.name,
            digest,
            digest_of_parts("bucket", event.caller, event.method, event.path, event.key),
            request.known.by,
            request.known.who,
            request.entry.name,
        )
        self._out.append(AskHold(request.asked, command))

    def _give_up_late_claims(self) -> None:
        """Answers requests whose claim goes on past their patience; a grant that comes later is given back."""
        late = [
            ticket
            for ticket, request in self.requests.items()
            if request.phase == "claiming" and self.now - request.arrived >= KEY_PATIENCE
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
                self._release(ReleaseHold(scope, command.claim), self.now + RELEASE_SPAN)
            return None
        if outcome is None:
            # Claiming again under the same claim is one claim: the log knows it.
            # Others may have got theirs meanwhile: this one's wait counts from its own first miss.
            request.missed_at = request.missed_at or self.now
            return self._wait(ticket, _no_core(), since=request.missed_at)
        if outcome.mishap:
            statuses: dict[str, int] = {MishapKind.KEY_OTHER_BODY: 422, MishapKind.KEY_VISITOR_UNSURE: 409}
            # Nothing is held under this claim, so there is nothing to give back.
            request.claim = ""
            mishap = Mishap(outcome.mishap, outcome.message, outcome.remedy, outcome.field)
            return self._refuse(ticket, statuses.get(outcome.mishap, 503), mishap)
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
                mishap = mishap_of(
                    MishapKind.KEY_HELD,
                    "The first request with this key is still working.",
                    "Ask again with the same key after the time given.",
                    "Idempotency-Key",
                )
                self._answer(ticket, STILL_WORKING, 409, {}, b"", mishap, COME_BACK)

    def _open_for(self, request: _Request) -> list[ServerEntry]:
        """The open servers whose stall, in its stage, admits the request: of the entry's service if there are any."""
        event = request.event
        caller = event.caller or VISITORS
        admitting = []
        for server in self.view.open_servers():
            # The own stall knows its server's standing before any news of it has travelled.
            if server.stall == self.params.name and self.server_state() != READY:
                continue
            # The newer of the two stalls' bundles decides, here as at the target.
            bundle = max(self.view.acting.get(server.stall, self.view.bundle), self.view.bundle, key=number_of)
            entry = bundle.select_entry(method=event.method, path=event.path)
            if entry is None or entry.service != server.service or caller not in entry.callers:
                continue
            if len(event.body) <= entry.body_bytes and (request.claimed or not entry.once):
                admitting.append(server)
        own = [each for each in admitting if each.service == request.entry.service]
        # Moved by a bundle that stages haven't brought everywhere: better the other's server than none.
        return own or admitting

    def _select(self, request: _Request, open_servers: list[ServerEntry]) -> ServerEntry | None:
        """The least loaded open server, the own zone's first, those that refused this request last not at all."""
        open_servers = [
            each
            for each in open_servers
            if each.stall not in request.refused_by and self.outstanding.get(each.stall, 0) < self.params.outstanding
        ]
        near = [each for each in open_servers if each.zone == self.params.zone]
        if near and len(near) < len(open_servers):
            # A zone with few servers isn't flooded: it keeps its own only while they are no busier than the rest.
            least_near = min(self.outstanding.get(each.stall, 0) for each in near)
            least_all = min(self.outstanding.get(each.stall, 0) for each in open_servers)
            if least_near > least_all + 2:
                near = []
        candidates = near or open_servers
        if not candidates:
            return None
        least = min(self.outstanding.get(each.stall, 0) for each in candidates)
        return self.random.choice([each for each in candidates if self.outstanding.get(each.stall, 0) == least])

    def _allot(self, name: str) -> Service:
        """Brings this stall's room for further sends to a service up to the present setup."""
        service = self.view.service(name)
        stalls = [stall.node for stall in self.view.live_stalls()]
        part = part_of(service=name, stall=self.params.name, stalls=stalls, margin=service.further_margin)
        self.further.allot(name, part=part, percent=service.further_percent, now=self.now)
        return service

    def _send(self, ticket: int) -> None:
        request = self.requests[ticket]
        entry, event = request.entry, request.event
        if request.judged_under is not None and request.judged_under < self.view.revision:
            # The news that the target had is here by now, and says who takes it.
            request.judged_under = None
            request.refused_by.clear()
        open_servers = self._open_for(request)
        target = self._select(request, open_servers)
        if target is None:
            none = mishap_of(
                MishapKind.NO_SERVER, f"No server of {entry.service} takes work.", "Come back after the time given."
            )
            if request.judged_under is not None:
                # A bundle that isn't here yet decides: it is on its way.
                return self._wait(ticket, request.why, since=request.judged_at)
            if request.refused_by:
                # Everyone open has refused it: give the final answer now, not near the deadline.
                return self._not_run(ticket, request.why or none)
            since = None if open_servers else self.closed_since.setdefault(entry.service, self.now)
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
            mishap = mishap_of(
                MishapKind.FURTHER_SENDS_SPENT,
                f"{entry.service} has no room for further sends.",
                "Come back after the time given.",
            )
            return self._unknown(ticket, mishap) if request.uncertain else self._not_run(ticket, mishap)
        else:
            request.way = way
        request.sends += 1
        request.phase = "passing"
        request.target = target
        request.send = f"{self.params.name}.{self.params.incarnation}.{self._number()}"
        request.asked = self._number()
        self.by_number[request.asked] = ticket
        self.outstanding[target.stall] = self.outstanding.get(target.stall, 0) + 1
        budget = request.deadline - self.now
        call = PassCall(
            send=request.send,
            caller=event.caller or VISITORS,
            visitor=event.visitor,
            service_name=target.service,
            target=target.stall,
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
        self._out.append(PassOn(request.asked, self.view.nodes[target.stall].address, call, budget))

    def _passed(self, number: int) -> tuple[int, _Request] | None:
        ticket = self.by_number.pop(number, None)
        request = self.requests.get(ticket)
        if request is None or request.asked != number:
            return None
        left = self.outstanding.get(request.target.stall, 0) - 1
        self.outstanding[request.target.stall] = max(0, left)
        return ticket, request

    def _pass_answered(self, number: int, answer: PassAnswer) -> None:
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
                mishap_of(
                    MishapKind.ANSWER_BROKEN,
                    "The answer came back altered.",
                    "Ask what became of the request before sending it again.",
                ),
            )
        match answer.outcome:
            case "answered":
                self._answer(ticket, ANSWERED, answer.status, answer.headers, answer.body)
            case "not-run":
                mishap = Mishap(answer.mishap, answer.detail, "Come back after the time given.")
                self._send_again(ticket, mishap)
            case _:
                self._uncertain(
                    ticket,
                    Mishap(answer.mishap, answer.detail, "Ask what became of the request before sending it again."),
                )

    def _pass_missed(self, number: int, unsent: bool) -> None:
        found = self._passed(number)
        if found is None:
            return None
        ticket, request = found
        if unsent:
            # No connection was made, so no envelope can arrive later either.
            return self._send_again(
                ticket,
                mishap_of(
                    MishapKind.UNREACHABLE,
                    f"{request.target.stall} takes no connection.",
                    "Come back after the time given.",
                ),
            )
        self._uncertain(
            ticket,
            mishap_of(
                MishapKind.SILENT,
                f"{request.target.stall} gave no answer.",
                "Ask what became of the request before sending it again.",
            ),
        )

    def _pass_held(self, number: int) -> None:
        found = self._passed(number)
        if found is None:
            return
        ticket, request = found
        # Nothing left this stall, so this was no send and costs none.
        request.sends -= 1
        if request.sends:
            self.further.give_back(request.target.service, request.way)
        self._wait(
            ticket,
            mishap_of(MishapKind.LEASE_LAPSED, "No fresh news from the core.", "Come back after the time given."),
        )

    def _send_again(self, ticket: int, mishap: Mishap) -> None:
        request = self.requests[ticket]
        request.refused_by.add(request.target.stall)
        request.why = mishap
        if mishap.kind in JUDGED_OTHERWISE:
            request.judged_under = self.view.revision
            request.judged_at = request.judged_at or self.now
        self._go_on(ticket)

    def _uncertain(self, ticket: int, mishap: Mishap) -> None:
        """It may have run. Only a safe method may be sent again."""
        request = self.requests[ticket]
        request.uncertain = True
        request.why = mishap
        if request.event.method in SAFE_METHODS and self.now < request.deadline:
            request.refused_by.add(request.target.stall)
            if self._select(request, self._open_for(request)) is not None:
                return self._go_on(ticket)
        self._unknown(ticket, mishap)

    def _spent(self, ticket: int) -> None:
        request = self.requests[ticket]
        if request.phase == "passing" or request.uncertain:
            mishap = request.why or mishap_of(
                MishapKind.BUDGET_SPENT,
                "No answer within the entry's budget.",
                "Ask what became of the request before sending it again.",
            )
            return self._unknown(ticket, mishap)
        mishap = request.why or mishap_of(
            MishapKind.BUDGET_SPENT, "The entry's budget ran out before it was sent.", "Come back after the time given."
        )
        self._not_run(ticket, mishap)

    def _finish(self, ticket: int) -> _Request:
        request = self.requests.pop(ticket)
        if (
            request.asked is not None
            and request.phase == "passing"
            and self.by_number.pop(request.asked, None) is not None
        ):
            self.outstanding[request.target.stall] = max(0, self.outstanding.get(request.target.stall, 0) - 1)
        return request

    def _answer(
        self,
        ticket: int,
        outcome: str,
        status: int,
        headers: dict[str, str],
        body: bytes,
        mishap: Mishap | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        request = self._finish(ticket)
        if request.entry is not None:
            used = self.usage.setdefault(
                (request.entry.service, request.entry.name, request.event.caller or VISITORS, outcome), [0, 0, 0, 0]
            )
            for place, amount in enumerate((1, max(0, request.sends - 1), len(request.event.body), len(body))):
                used[place] += amount
        self._out.append(AnswerVisitor(ticket, outcome, status, headers, body, mishap, retry_after))

    def _refuse(self, ticket: int, status: int, mishap: Mishap) -> None:
        self._let_go(self.requests[ticket])
        self._answer(ticket, REFUSED, status, {}, b"", mishap, COME_BACK if status == 503 else None)

    def _not_run(self, ticket: int, mishap: Mishap) -> None:
        request = self.requests[ticket]
        if request.uncertain:
            # An earlier send of it may have run, whatever the last one says.
            return self._unknown(ticket, mishap)
        self._let_go(request)
        # The final answer goes at once, with the time to come back; nothing is held to keep the caller busy.
        self._answer(ticket, NOT_RUN, 503, {}, b"", mishap, COME_BACK)

    def _unknown(self, ticket: int, mishap: Mishap) -> None:
        # Under a key the same request may be asked again at any time: it runs no second time.
        retry_after = COME_BACK if self.requests[ticket].claim else None
        self._answer(ticket, UNKNOWN, 504, {}, b"", mishap, retry_after)

    def _let_go(self, request: _Request) -> None:
        """Gives a claimed key back: nothing ran under it and nothing will."""
        if request.claim and not request.uncertain:
            self._announce("key given back", scope=request.scope[:12], entry=request.entry.name)
            self._release(ReleaseHold(request.scope, request.claim), self.now + RELEASE_SPAN)

    def _release(self, command: ReleaseHold, until: timedelta) -> None:
        number = self._number()
        self.releases[number] = (command, until)
        self._out.append(AskHold(number, command))

    def _gone(self, ticket: int) -> None:
        request = self.requests.get(ticket)
        if request is None:
            return
        # Sent work is followed to its end, so that its hold settles; unsent work is dropped.
        if request.phase != "passing":
            self._let_go(request)
            self._finish(ticket)
