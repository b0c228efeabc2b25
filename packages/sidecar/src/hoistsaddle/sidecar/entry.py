"""The entry's side: what clients and the own server ask is checked, its key held, a server selected, and answered.

Nothing waits here. A request is with a server's sidecar, with the log for its key, or answered: one that nobody can
take gets its final answer at once, with when to come back.
"""

from datetime import timedelta

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.config.items import ONCE_PER_KEY, REPEATABLE, EntryItem, aim_of, hold_of
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN
from hoistsaddle.proxy.standing import mishap_of
from hoistsaddle.rpc.messages import AbandonCall, DealAnswer, DealCall
from hoistsaddle.sidecar.following import FollowSide
from hoistsaddle.sidecar.keyside import FREE, UNKNOWN_RUN, WORKING, KeySide
from hoistsaddle.sidecar.messages import Abandon, Asked, DealAnswered, DealMissed, DealOn, Reply
from hoistsaddle.sidecar.requests import Deal
from hoistsaddle.sidecar.selection import SelectionSide

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


class EntrySide(KeySide, SelectionSide, FollowSide):
    def __init__(self, *, service: str, **needs) -> None:
        super().__init__(**needs)
        self.service_here = service

    # -- admitting ---------------------------------------------------------------------------------------------------

    def _asked(self, event: Asked) -> None:
        deal = self.deals[event.ticket] = Deal(event=event, now=self.now)
        items = self.view.items
        if self.closing:
            mishap = mishap_of(MishapKind.WINDING_DOWN, "This stall is about to end.", "Send it to another machine.")
            return self._turned_back(event.ticket, mishap)
        if items is None:
            return self._turned_back(
                event.ticket, mishap_of(MishapKind.NO_SETUP, "No setup is in force here yet.", "Come back shortly.")
            )
        path = event.path.partition("?")[0]
        entry = items.select_entry(host=event.host, path=path)
        if entry is None and not self.fresh():
            # It may have been added since: "not declared" is a word about now, and this configuration is older.
            mishap = mishap_of(
                MishapKind.LEASE_LAPSED, "No such entry in a configuration that may have been overtaken.", "Come back."
            )
            return self._turned_back(event.ticket, mishap)
        if entry is None:
            mishap = mishap_of(MishapKind.NO_ENTRY, f"No entry for {event.host} {path[:80]}.", "Call a declared entry.")
            return self._reply(event.ticket, 404, mishap=mishap)
        if event.header_bytes > items.limits.header_bytes:
            mishap = mishap_of(MishapKind.REQUEST_BROKEN, "The headers are over their limit.", "Send less.")
            return self._reply(event.ticket, 431, mishap=mishap)
        if len(event.body) > items.limits.body_bytes:
            mishap = mishap_of(MishapKind.BODY_TOO_LARGE, "The body is over its limit.", "Send a smaller body.", "body")
            return self._reply(event.ticket, 413, mishap=mishap)
        deal.entry = entry
        deal.deadline = min(deal.deadline, self.now + hold_of(entry))
        deal.aim_at = min(deal.deadline, self.now + aim_of(entry))
        deal.service = self._select_service(entry)
        if entry.kind == ONCE_PER_KEY and event.key:
            return self._claim(event.ticket)
        self._place(event.ticket)

    def _select_service(self, entry: EntryItem) -> str:
        if len(entry.parts) == 1:
            return entry.parts[0].service
        weights = [part.weight for part in entry.parts]
        return self.random.choices([part.service for part in entry.parts], weights=weights)[0]

    # -- sending it on ------------------------------------------------------------------------------------------------

    def _place(self, ticket: int) -> None:
        """Sends the request to the best server's stall, or gives its final answer."""
        deal = self.deals[ticket]
        if self.now >= deal.deadline:
            return self._spent(ticket)
        most = MOST_ASKED if len(deal.event.body) <= LARGE_BODY else 2
        if deal.asked >= most or deal.sends >= max(1, deal.entry.most_sends):
            return self._give_up(ticket)
        target = self._select(deal)
        if target is None:
            return self._give_up(ticket)
        self._allot(deal.service)
        if deal.sends == 0:
            if not deal.counted:
                deal.counted = True
                self.further.first(deal.service, percent=self.further_percent)
        elif not (way := self.further.gate(deal.service, now=self.now)):
            return self._give_up(ticket)
        else:
            deal.way = way
        deal.asked += 1
        deal.target = target
        deal.number = self._number()
        self.by_number[deal.number] = ticket
        self.seen_of(target.stall).mine += 1
        event = deal.event
        budget = deal.deadline - self.now
        node = self.view.nodes[target.stall]
        deal.send = f"{self.params.name}.{self.params.incarnation}.{deal.number}"
        deal.life, deal.address, deal.follows = node.incarnation, node.address, 0
        call = DealCall(
            send=deal.send,
            service_name=target.service,
            target=target.stall,
            instance=target.instance,
            budget=budget,
            aim=max(ZERO, deal.aim_at - self.now),
            rank=deal.entry.rank,
            entry=deal.entry.name,
            method=event.method,
            path=event.path.encode("utf-8", "surrogateescape"),
            headers=event.headers,
            body=event.body,
            caller=self.service_here,
            send_id=event.send_id,
            ordinal=deal.sends + 1,
            repeatable=deal.entry.kind == REPEATABLE,
        )
        self._out.append(DealOn(deal.number, node.address, call, budget))

    # -- what comes back ---------------------------------------------------------------------------------------------

    def _back(self, number: int) -> tuple[int, Deal | None]:
        ticket = self.by_number.pop(number, -1)
        deal = self.deals.get(ticket)
        if deal is None or deal.number != number:
            return ticket, None
        seen = self.seen_of(deal.target.stall)
        seen.mine = max(0, seen.mine - 1)
        return ticket, deal

    def _deal_answered(self, event: DealAnswered) -> None:
        answer = event.answer
        ticket, deal = self._back(event.number)
        if deal is None:
            return self._late_answer(event)
        seen = self.seen_of(deal.target.stall)
        seen.room, seen.told_at = max(1, answer.room), self.now
        seen.others = max(0, answer.load - seen.mine)
        if answer.outcome == NOT_RUN:
            return self._not_taken(ticket, deal, MishapKind(answer.mishap))
        deal.sends += 1
        if answer.outcome != ANSWERED or answer.send != deal.send:
            return self._uncertain(
                ticket, deal, mishap_of(MishapKind.SILENT, "The server gave no whole answer.", "Ask what became of it.")
            )
        if answer.status < 500:
            usual = self.answer_bytes.get(deal.entry.name, float(len(answer.body)))
            self.answer_bytes[deal.entry.name] = usual + (len(answer.body) - usual) * 0.1
            known = seen.spans.get(deal.entry.name)
            seen.spans[deal.entry.name] = answer.took if known is None else known + (answer.took - known) * 0.15
        elif deal.entry.kind == REPEATABLE:
            # The server ran it and failed: another may do better, if there is room for one more send.
            deal.best = answer
            deal.avoid.add(deal.target.stall)
            return self._place(ticket)
        self._answered(ticket, deal, answer)

    def _late_answer(self, event: DealAnswered) -> None:
        """Its visitor has given up, but a repeat of its key still wants the first answer."""
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

    def _answered(self, ticket: int, deal: Deal, answer: DealAnswer) -> None:
        if deal.claimed and (kept := self.kept.get(deal.claim)) is not None:
            kept.answer = answer
        self._reply(ticket, answer.status, headers=answer.headers, body=answer.body)

    def _not_taken(self, ticket: int, deal: Deal, kind: MishapKind) -> None:
        deal.avoid.add(deal.target.stall)
        deal.why = mishap_of(kind, f"{deal.target.stall} could not take it.", "Come back after the time given.")
        if kind == MishapKind.SERVER_FULL:
            # It did arrive at a server, which counts as a send though nothing ran.
            deal.sends += 1
        elif kind != MishapKind.BACKLOG_FULL:
            self.seen_of(deal.target.stall).alone_until = self.now + LEFT_ALONE / 4
            deal.asked -= 1 if deal.asked < MOST_ASKED else 0
        self._place(ticket)

    def _deal_missed(self, event: DealMissed) -> None:
        ticket, deal = self._back(event.number)
        if deal is None:
            return self._late_miss(event.number)
        self.seen_of(deal.target.stall).alone_until = self.now + LEFT_ALONE
        if event.unsent:
            # No connection was made, so nothing can arrive later either.
            deal.avoid.add(deal.target.stall)
            deal.why = mishap_of(MishapKind.UNREACHABLE, f"{deal.target.stall} takes no connection.", "Come back.")
            return self._place(ticket)
        if deal.entry.kind != REPEATABLE and deal.life and self.now < deal.deadline:
            # It may be at work there, or never have come: its sidecar knows, and nothing is sent again before it said.
            return self._follow(ticket, deal)
        self._unanswered(ticket, deal)

    def _uncertain(self, ticket: int, deal: Deal, mishap: Mishap) -> None:
        """It may have run. Only what may be repeated is sent again."""
        deal.uncertain = True
        deal.why = mishap
        deal.avoid.add(deal.target.stall)
        if deal.entry.kind == REPEATABLE and self.now < deal.deadline:
            return self._place(ticket)
        self._unknown(ticket)

    # -- final answers -----------------------------------------------------------------------------------------------

    def _give_up(self, ticket: int) -> None:
        deal = self.deals[ticket]
        if deal.best is not None:
            # A server's own failure is its answer.
            return self._answered(ticket, deal, deal.best)
        if deal.uncertain:
            return self._unknown(ticket)
        mishap = deal.why or mishap_of(
            MishapKind.NO_SERVER, f"No server of {deal.service} takes work.", "Come back after the time given."
        )
        self._turned_back(ticket, mishap)

    def _turned_back(self, ticket: int, mishap: Mishap) -> None:
        """Nothing ran and nothing will: said at once, with when to come back."""
        deal = self.deals[ticket]
        if deal.uncertain:
            return self._unknown(ticket)
        # Also a send that a full server turned away has not run.
        deal.sends = 0
        self._let_go(deal)
        self._reply(ticket, 503, mishap=mishap, retry_after=self._soon(deal))

    def _soon(self, deal: Deal) -> timedelta:
        """Spread over up to a third of what is left: those turned back together must not come back together."""
        left = max(ZERO, deal.deadline - self.now)
        return max(SOON, min(left / 3, MOST_AWAY) * (0.4 + 0.6 * self.random.random()))

    def _unknown(self, ticket: int) -> None:
        deal = self.deals[ticket]
        if deal.claimed and (kept := self.kept.get(deal.claim)) is not None:
            kept.standing = UNKNOWN_RUN
            if deal.number in self.by_number:
                kept.standing = WORKING
                self.late[deal.number] = deal.claim
        self._reply(ticket, 504 if self.now >= deal.deadline else 502, mishap=deal.why or _no_answer())

    def _spent(self, ticket: int) -> None:
        mishap = mishap_of(MishapKind.BUDGET_SPENT, "Its time ran out before it was sent.", "Give it more time.")
        self._end(ticket, mishap)

    def _end_all(self) -> None:
        """The process ends: a closed connection would tell its clients nothing, so each is told what is known."""
        for ticket in list(self.deals):
            mishap = mishap_of(MishapKind.WINDING_DOWN, "This sidecar ends now.", "Send it to another machine.")
            self._end(ticket, mishap)

    def _end(self, ticket: int, unsent: Mishap) -> None:
        """The final answer now, whatever is still under way; `unsent` is why if nothing was sent."""
        deal = self.deals[ticket]
        under_way = deal.number is not None and deal.number in self.by_number and deal.target is not None
        if under_way and deal.number not in self.claims:
            deal.uncertain = True
        if deal.uncertain or deal.best is not None:
            return self._give_up(ticket)
        self._turned_back(ticket, deal.why or unsent)

    def _reply(
        self,
        ticket: int,
        status: int,
        *,
        headers: bytes = b"",
        body: bytes = b"",
        mishap: Mishap | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        self._forget(ticket)
        self._out.append(Reply(ticket, status, headers, body, mishap, retry_after))

    def _forget(self, ticket: int) -> None:
        deal = self.deals.pop(ticket)
        if deal.number is not None and deal.target is not None and self.by_number.pop(deal.number, None) is not None:
            seen = self.seen_of(deal.target.stall)
            seen.mine = max(0, seen.mine - 1)

    def _client_gone(self, ticket: int) -> None:
        """Nobody waits for the answer: it is given up, but for work under a key and what may not be repeated."""
        deal = self.deals.get(ticket)
        if deal is None or deal.claim:
            return
        under_way = deal.number is not None and deal.number in self.by_number
        if under_way and deal.entry.kind != REPEATABLE:
            return
        if under_way:
            self._out.append(Abandon(deal.address, AbandonCall(deal.send)))
        self._forget(ticket)

    def _entry_tick(self) -> None:
        for ticket in [ticket for ticket, deal in self.deals.items() if self.now >= deal.deadline]:
            if ticket in self.deals:
                self._spent(ticket)
        self._key_tick()
        self._follow_tick()


def _no_answer() -> Mishap:
    return mishap_of(MishapKind.SILENT, "No answer came within its time.", "Ask what became of it.")
