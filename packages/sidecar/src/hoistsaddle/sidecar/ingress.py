"""The entry's side: what clients and the own server ask is checked, its key held, a server selected, and answered.

Nothing waits here. A request is with a server's sidecar, with the log for its key, or answered: one that nobody can
take gets its final answer at once, with when to come back.
"""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.items import IDEMPOTENT, ONCE_PER_KEY, RouteItem, hold_timeout, latency_target
from hoistsaddle.proxy.core_state import mesh_error
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN
from hoistsaddle.rpc.messages import AbandonCall, ForwardAnswer, ForwardCall
from hoistsaddle.sidecar.attempt_follower import AttemptFollower
from hoistsaddle.sidecar.key_claims import FREE, UNKNOWN_RUN, WORKING, KeyClaims
from hoistsaddle.sidecar.messages import Abandon, ForwardAnswered, ForwardFailed, ForwardRequest, Reply, RequestArrived
from hoistsaddle.sidecar.request_table import PendingRequest
from hoistsaddle.sidecar.server_selection import ServerSelection

# Sidecars that turn a request away cost a hop each: so many are asked, then it is told to come back.
MOST_ASKED = 4
# A body this large crosses the links twice at the most.
LARGE_BODY = 8192
# A sidecar that couldn't be reached is left alone for so long, while there are others.
LEFT_ALONE = timedelta(seconds=1)
# Nobody is told to come back sooner.
SOON = milliseconds(50)
# Nobody is sent away for longer: a second is what a takeover of the core or a queue takes to be over.
MOST_AWAY = timedelta(seconds=1)


class IngressCore(KeyClaims, ServerSelection, AttemptFollower):
    def __init__(self, *, service: str, **needs) -> None:
        super().__init__(**needs)
        self.service_here = service

    # -- admitting ---------------------------------------------------------------------------------------------------

    def _asked(self, event: RequestArrived) -> None:
        request = self.pending_requests[event.ticket] = PendingRequest(event=event, now=self.now)
        items = self.view.items
        if self.closing:
            error = mesh_error(ErrorKind.WINDING_DOWN, "This proxy is about to end.", "Send it to another machine.")
            return self._turned_back(event.ticket, error)
        if items is None:
            return self._turned_back(
                event.ticket,
                mesh_error(ErrorKind.NO_CONFIGURATION, "No configuration is in force here yet.", "Come back shortly."),
            )
        path = event.path.partition("?")[0]
        entry = items.match_route(host=event.host, path=path)
        if entry is None and not self.fresh():
            # It may have been added since: "not declared" is a word about now, and this configuration is older.
            error = mesh_error(
                ErrorKind.LEASE_LAPSED, "No such entry in a configuration that may have been overtaken.", "Come back."
            )
            return self._turned_back(event.ticket, error)
        if entry is None:
            error = mesh_error(ErrorKind.NO_ENTRY, f"No entry for {event.host} {path[:80]}.", "Call a declared entry.")
            return self._reply(event.ticket, 404, error=error)
        if event.header_bytes > items.limits.header_bytes:
            error = mesh_error(ErrorKind.REQUEST_BROKEN, "The headers are over their limit.", "Send less.")
            return self._reply(event.ticket, 431, error=error)
        if len(event.body) > items.limits.body_bytes:
            error = mesh_error(ErrorKind.BODY_TOO_LARGE, "The body is over its limit.", "Send a smaller body.", "body")
            return self._reply(event.ticket, 413, error=error)
        request.entry = entry
        request.deadline = min(request.deadline, self.now + hold_timeout(entry))
        request.aim_at = min(request.deadline, self.now + latency_target(entry))
        request.service = self._select_service(entry)
        if entry.kind == ONCE_PER_KEY and event.key:
            return self._claim(event.ticket)
        self._place(event.ticket)

    def _select_service(self, entry: RouteItem) -> str:
        if len(entry.parts) == 1:
            return entry.parts[0].service
        weights = [part.weight for part in entry.parts]
        return self.random.choices([part.service for part in entry.parts], weights=weights)[0]

    # -- sending it on ------------------------------------------------------------------------------------------------

    def _place(self, ticket: int) -> None:
        """Sends the request to the best server's proxy, or gives its final answer."""
        request = self.pending_requests[ticket]
        if self.now >= request.deadline:
            return self._spent(ticket)
        most = MOST_ASKED if len(request.event.body) <= LARGE_BODY else 2
        if request.asked >= most or request.sends >= max(1, request.entry.most_sends):
            return self._give_up(ticket)
        target = self._select(request)
        if target is None:
            return self._give_up(ticket)
        self._allot(request.service)
        if request.sends == 0:
            if not request.counted:
                request.counted = True
                self.further.first(request.service, percent=self.further_percent)
        elif not (way := self.further.gate(request.service, now=self.now)):
            return self._give_up(ticket)
        else:
            request.way = way
        request.asked += 1
        request.target = target
        request.number = self._number()
        self.by_number[request.number] = ticket
        self.seen_of(target.proxy).mine += 1
        event = request.event
        budget = request.deadline - self.now
        node = self.view.nodes[target.proxy]
        request.send = f"{self.settings.name}.{self.settings.incarnation}.{request.number}"
        request.life, request.address, request.follows = node.incarnation, node.address, 0
        call = ForwardCall(
            send=request.send,
            service_name=target.service,
            target=target.proxy,
            instance=target.instance,
            budget=budget,
            aim=max(ZERO, request.aim_at - self.now),
            rank=request.entry.rank,
            entry=request.entry.name,
            method=event.method,
            path=event.path.encode("utf-8", "surrogateescape"),
            headers=event.headers,
            body=event.body,
            caller=self.service_here,
            client_attempt_id=event.client_attempt_id,
            ordinal=request.sends + 1,
            repeatable=request.entry.kind == IDEMPOTENT,
        )
        self._out.append(ForwardRequest(request.number, node.address, call, budget))

    # -- what comes back ---------------------------------------------------------------------------------------------

    def _back(self, number: int) -> tuple[int, PendingRequest | None]:
        ticket = self.by_number.pop(number, -1)
        request = self.pending_requests.get(ticket)
        if request is None or request.number != number:
            return ticket, None
        seen = self.seen_of(request.target.proxy)
        seen.mine = max(0, seen.mine - 1)
        return ticket, request

    def _forward_answered(self, event: ForwardAnswered) -> None:
        answer = event.answer
        ticket, request = self._back(event.number)
        if request is None:
            return self._late_answer(event)
        seen = self.seen_of(request.target.proxy)
        seen.room, seen.told_at = max(1, answer.room), self.now
        seen.others = max(0, answer.load - seen.mine)
        if answer.outcome == NOT_RUN:
            return self._not_taken(ticket, request, ErrorKind(answer.error))
        request.sends += 1
        if answer.outcome != ANSWERED or answer.send != request.send:
            return self._uncertain(
                ticket,
                request,
                mesh_error(ErrorKind.SILENT, "The server gave no whole answer.", "Ask what became of it."),
            )
        if answer.status < 500:
            usual = self.answer_bytes.get(request.entry.name, float(len(answer.body)))
            self.answer_bytes[request.entry.name] = usual + (len(answer.body) - usual) * 0.1
            known = seen.spans.get(request.entry.name)
            seen.spans[request.entry.name] = answer.took if known is None else known + (answer.took - known) * 0.15
        elif request.entry.kind == IDEMPOTENT:
            # The server ran it and failed: another may do better, if there is room for one more send.
            request.best = answer
            request.avoid.add(request.target.proxy)
            return self._place(ticket)
        self._answered(ticket, request, answer)

    def _late_answer(self, event: ForwardAnswered) -> None:
        """Its client has given up, but a repeat of its key still wants the first answer."""
        kept = self.kept.get(self.late.pop(event.number, ""))
        if kept is None:
            return
        if event.answer.outcome == ANSWERED:
            kept.answer = event.answer
        else:
            # Turned away after all: nothing ran under the claim, and no other attempt of it is under way.
            kept.standing = FREE if event.answer.outcome == NOT_RUN else UNKNOWN_RUN

    def _late_miss(self, number: int) -> None:
        if (kept := self.kept.get(self.late.pop(number, ""))) is not None:
            kept.standing = UNKNOWN_RUN

    def _answered(self, ticket: int, request: PendingRequest, answer: ForwardAnswer) -> None:
        if request.claimed and (kept := self.kept.get(request.claim)) is not None:
            kept.answer = answer
        self._reply(ticket, answer.status, headers=answer.headers, body=answer.body)

    def _not_taken(self, ticket: int, request: PendingRequest, kind: ErrorKind) -> None:
        request.avoid.add(request.target.proxy)
        request.why = mesh_error(kind, f"{request.target.proxy} could not take it.", "Come back after the time given.")
        if kind == ErrorKind.SERVER_FULL:
            # It did arrive at a server, which counts as a send though nothing ran.
            request.sends += 1
        elif kind != ErrorKind.QUEUE_FULL:
            self.seen_of(request.target.proxy).alone_until = self.now + LEFT_ALONE / 4
            request.asked -= 1 if request.asked < MOST_ASKED else 0
        self._place(ticket)

    def _forward_failed(self, event: ForwardFailed) -> None:
        ticket, request = self._back(event.number)
        if request is None:
            return self._late_miss(event.number)
        self.seen_of(request.target.proxy).alone_until = self.now + LEFT_ALONE
        if event.unsent:
            # No connection was made, so nothing can arrive later either.
            request.avoid.add(request.target.proxy)
            request.why = mesh_error(
                ErrorKind.UNREACHABLE, f"{request.target.proxy} takes no connection.", "Come back."
            )
            return self._place(ticket)
        if request.entry.kind != IDEMPOTENT and request.life and self.now < request.deadline:
            # It may be at work there, or never have come: its sidecar knows, and nothing is sent again before it said.
            return self._follow(ticket, request)
        self._unanswered(ticket, request)

    def _uncertain(self, ticket: int, request: PendingRequest, error: MeshError) -> None:
        """It may have run. Only what may be repeated is sent again."""
        request.uncertain = True
        request.why = error
        request.avoid.add(request.target.proxy)
        if request.entry.kind == IDEMPOTENT and self.now < request.deadline:
            return self._place(ticket)
        self._unknown(ticket)

    # -- final answers -----------------------------------------------------------------------------------------------

    def _give_up(self, ticket: int) -> None:
        request = self.pending_requests[ticket]
        if request.best is not None:
            # A server's own failure is its answer.
            return self._answered(ticket, request, request.best)
        if request.uncertain:
            return self._unknown(ticket)
        error = request.why or mesh_error(
            ErrorKind.NO_SERVER, f"No server of {request.service} takes work.", "Come back after the time given."
        )
        self._turned_back(ticket, error)

    def _turned_back(self, ticket: int, error: MeshError) -> None:
        """Nothing ran and nothing will: said at once, with when to come back."""
        request = self.pending_requests[ticket]
        if request.uncertain:
            return self._unknown(ticket)
        # Also a send that a full server turned away has not run.
        request.sends = 0
        self._let_go(request)
        self._reply(ticket, 503, error=error, retry_after=self._soon(request))

    def _soon(self, request: PendingRequest) -> timedelta:
        """Spread over up to a third of what is left: those turned back together must not come back together."""
        left = max(ZERO, request.deadline - self.now)
        return max(SOON, min(left / 3, MOST_AWAY) * (0.4 + 0.6 * self.random.random()))

    def _unknown(self, ticket: int) -> None:
        request = self.pending_requests[ticket]
        if request.claimed and (kept := self.kept.get(request.claim)) is not None:
            kept.standing = UNKNOWN_RUN
            if request.number in self.by_number:
                kept.standing = WORKING
                self.late[request.number] = request.claim
        self._reply(ticket, 504 if self.now >= request.deadline else 502, error=request.why or _no_answer())

    def _spent(self, ticket: int) -> None:
        error = mesh_error(ErrorKind.BUDGET_SPENT, "Its time ran out before it was sent.", "Give it more time.")
        self._end(ticket, error)

    def _end_all(self) -> None:
        """The process ends: a closed connection would tell its clients nothing, so each is told what is known."""
        for ticket in list(self.pending_requests):
            error = mesh_error(ErrorKind.WINDING_DOWN, "This sidecar ends now.", "Send it to another machine.")
            self._end(ticket, error)

    def _end(self, ticket: int, unsent: MeshError) -> None:
        """The final answer now, whatever is still under way; `unsent` is why if nothing was sent."""
        request = self.pending_requests[ticket]
        under_way = request.number is not None and request.number in self.by_number and request.target is not None
        if under_way and request.number not in self.claims:
            request.uncertain = True
        if request.uncertain or request.best is not None:
            return self._give_up(ticket)
        self._turned_back(ticket, request.why or unsent)

    def _reply(
        self,
        ticket: int,
        status: int,
        *,
        headers: bytes = b"",
        body: bytes = b"",
        error: MeshError | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        self._forget(ticket)
        self._out.append(Reply(ticket, status, headers, body, error, retry_after))

    def _forget(self, ticket: int) -> None:
        request = self.pending_requests.pop(ticket)
        if (
            request.number is not None
            and request.target is not None
            and self.by_number.pop(request.number, None) is not None
        ):
            seen = self.seen_of(request.target.proxy)
            seen.mine = max(0, seen.mine - 1)

    def _client_gone(self, ticket: int) -> None:
        """Nobody waits for the answer: it is given up, but for work under a key and what may not be repeated."""
        request = self.pending_requests.get(ticket)
        if request is None or request.claim:
            return
        under_way = request.number is not None and request.number in self.by_number
        if under_way and request.entry.kind != IDEMPOTENT:
            return
        if under_way:
            self._out.append(Abandon(request.address, AbandonCall(request.send)))
        self._forget(ticket)

    def _ingress_tick(self) -> None:
        for ticket in [ticket for ticket, request in self.pending_requests.items() if self.now >= request.deadline]:
            if ticket in self.pending_requests:
                self._spent(ticket)
        self._key_tick()
        self._follow_tick()


def _no_answer() -> MeshError:
    return mesh_error(ErrorKind.SILENT, "No answer came within its time.", "Ask what became of it.")
