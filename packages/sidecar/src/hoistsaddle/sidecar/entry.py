"""The entry's side: what visitors and the own server ask is checked, its key held, a server selected, and answered.

Nothing waits here. A request is with a server's stall, with the log for its key, or answered: one that nobody can take
gets its final answer at once, with when to come back.
"""

from collections import OrderedDict
from datetime import timedelta

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.config.items import ONCE_PER_KEY, REPEATABLE, EntryItem, aim_of, hold_of
from hoistsaddle.proxy.further import FurtherSends, part_of
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN, AskHold
from hoistsaddle.proxy.standing import SETTLE_AGAIN, Standing, mishap_of
from hoistsaddle.proxy.visitors import digest_of_parts
from hoistsaddle.rpc.messages import DealAnswer, DealCall, RecallAnswer, RecallCall
from hoistsaddle.sidecar.messages import (
    AnswerRecall,
    Asked,
    DealAnswered,
    DealMissed,
    DealOn,
    Recall,
    RecallAnswered,
    RecallArrived,
    Reply,
)
from hoistsaddle.statemachine.commands import ClaimHold, Outcome, ReleaseHold
from hoistsaddle.statemachine.keys import handle_of
from hoistsaddle.statemachine.state import GONE, ServerEntry
from hoistsaddle.statemachine.view import View

DEFAULT_BUDGET = timedelta(seconds=30)
# Stalls that turn a request away cost a hop each: so many are asked, then it is told to come back.
MOST_ASKED = 4
# A body this large crosses the links twice at the most.
LARGE_BODY = 8192
# A stall that couldn't be reached is left alone for so long, while there are others.
LEFT_ALONE = timedelta(seconds=1)
# How fast what others have sent to a stall is taken to be worked off, once it said how much that was.
FADE = timedelta(seconds=1)
# What another zone must save to be worth the way, as a share of the request's aim: something for any request, and more
# the more bytes would cross. Of all that a mesh spends, bytes between zones are the dearest.
ZONE_SHARE = 0.1
ZONE_BYTES = 20000
MOST_ZONE_SHARE = 1.5
# How much of its aim a request waits for its key.
KEY_SHARE = 0.22
# Hex digits of a key's digest: 96 bits tell keys apart, and the log holds hundreds of them a second.
SCOPE_LENGTH = 24
RELEASE_SPAN = timedelta(seconds=10)
SOON = milliseconds(50)
# Nobody is sent away for longer: a second is what a takeover of the core or a queue takes to be over.
MOST_AWAY = timedelta(seconds=1)
# A claim that got no answer is asked again this soon, for as long as waiting costs the visitor little.
CLAIM_AGAIN = milliseconds(40)
WORKING = "working"
KEPT = "kept"
FREE = "free"
UNKNOWN_RUN = "unknown"


class Seen:
    """What this stall knows of another's server."""

    def __init__(self) -> None:
        self.mine = 0
        # What it had beside this stall's own, when it said so.
        self.others = 0.0
        self.room = 4
        self.told_at = ZERO
        self.spans: dict[str, timedelta] = {}
        self.alone_until = ZERO

    def load(self, now: timedelta) -> float:
        age = (now - self.told_at) / FADE
        return self.mine + self.others * max(0.0, 1.0 - age / 2)


class _Deal:
    def __init__(self, *, event: Asked, now: timedelta) -> None:
        self.event = event
        self.arrived = now
        self.deadline = now + (DEFAULT_BUDGET if event.budget is None else event.budget)
        self.aim_at = self.deadline
        self.entry: EntryItem | None = None
        self.service = ""
        self.asked = 0
        self.avoid: set[str] = set()
        # Sends that may have reached a server.
        self.sends = 0
        self.uncertain = False
        self.why: Mishap | None = None
        self.best: DealAnswer | None = None
        self.number: int | None = None
        self.target: ServerEntry | None = None
        self.way = ""
        self.counted = False
        self.scope = ""
        self.claim = ""
        self.claimed = False
        self.after = ""
        self.recalled = ""


class _Kept:
    """What became of a claim of this stall's: repeats at any door ask here."""

    def __init__(self, *, until: timedelta) -> None:
        self.standing = WORKING
        self.until = until
        self.answer: DealAnswer | None = None


def _no_core() -> Mishap:
    return mishap_of(MishapKind.NO_LEADER, "No core machine could hold the key.", "Come back after the time given.")


class EntrySide(Standing):
    def __init__(
        self, *, further_percent: int, further_margin: int, key_span: timedelta, service: str, **needs
    ) -> None:
        super().__init__(**needs)
        self.service_here = service
        self.set_further(percent=further_percent, margin=further_margin)
        self.key_span = key_span
        self.further = FurtherSends(wait=self.params.lease_span * 1.05)
        self.deals: dict[int, _Deal] = {}
        self.by_number: dict[int, int] = {}
        self.claims: dict[int, ClaimHold] = {}
        self.recalls: dict[int, int] = {}
        self.releases: dict[int, tuple[ReleaseHold, timedelta]] = {}
        self.release_again: list[tuple[timedelta, ReleaseHold, timedelta]] = []
        self.claim_again: list[tuple[timedelta, int]] = []
        self.kept: OrderedDict[str, _Kept] = OrderedDict()
        # Sends whose requests were answered before they came back, to the claims they ran under.
        self.late: dict[int, str] = {}
        self.seen: dict[str, Seen] = {}
        # Entry to the usual size of its answers.
        self.answer_bytes: dict[str, float] = {}
        # The view that was read in: service to its open servers, and to this stall's part of the further sends.
        self.read_in: View | None = None
        self.servers: dict[str, list[ServerEntry]] = {}
        self.parts: dict[str, int] = {}
        # Since when the core gives no answer about keys.
        self.silent_since: timedelta | None = None

    def set_further(self, *, percent: int, margin: int) -> None:
        # A quarter of the share is kept back: where a run repeats, the calls it makes count as repeats as well, at
        # services that this side never sees.
        self.further_percent = percent * 3 // 4
        self.further_margin = margin

    # -- admitting ---------------------------------------------------------------------------------------------------

    def _asked(self, event: Asked) -> None:
        deal = self.deals[event.ticket] = _Deal(event=event, now=self.now)
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

    # -- keys --------------------------------------------------------------------------------------------------------

    def _claim(self, ticket: int) -> None:
        deal = self.deals[ticket]
        if not deal.claim:
            # One operation is known by its key alone, whichever door it reaches and whatever else it carries.
            deal.scope = digest_of_parts("operation", deal.event.key)[:SCOPE_LENGTH]
            deal.claim = f"{self.params.name}.{self.params.incarnation}.{self._number()}"
        deal.number = self._number()
        self.by_number[deal.number] = ticket
        command = self.claims[deal.number] = self._claim_of(deal)
        self._out.append(AskHold(deal.number, command))

    def _claim_of(self, deal: _Deal) -> ClaimHold:
        return ClaimHold(
            deal.scope,
            deal.claim,
            self.params.name,
            "",
            deal.scope,
            "operation",
            "",
            deal.entry.name,
            max(1, round(self.key_span.total_seconds())),
            deal.after,
        )

    def _hold_answered(self, number: int, outcome: Outcome | None) -> None:
        if outcome is not None:
            self.silent_since = None
        elif self.silent_since is None:
            self.silent_since = self.now
        if number in self.releases:
            released, until = self.releases.pop(number)
            if outcome is None and self.now < until:
                self.release_again.append((self.now + SETTLE_AGAIN, released, until))
            return None
        command = self.claims.pop(number, None)
        if command is None:
            return None
        ticket = self.by_number.pop(number, -1)
        deal = self.deals.get(ticket)
        granted = outcome is not None and outcome.detail.get("phase") == "granted"
        if deal is None or deal.number != number or deal.claimed:
            # Granted after its request was given up: nothing was sent under it, so the key goes back.
            if granted and (deal is None or deal.claim != command.claim):
                self._release(command)
            return None
        if outcome is None:
            return self._claim_missed(ticket, deal)
        if outcome.mishap:
            mishap = Mishap(outcome.mishap, outcome.message, outcome.remedy, outcome.field)
            return self._turned_back(ticket, mishap)
        if granted:
            deal.claimed = True
            self._keep(deal.claim)
            self._announce_key("key held", deal)
            return self._place(ticket)
        self._ask_holder(ticket, deal, outcome.detail["stall"], outcome.detail["claim"])

    def _claim_missed(self, ticket: int, deal: _Deal) -> None:
        """Claiming again under the same claim is one claim: the log knows it."""
        if self.now < self._patience(deal):
            self.claim_again.append((self.now + CLAIM_AGAIN, ticket))
            return
        self._key_out_of_reach(ticket, deal)

    @staticmethod
    def _patience(deal: _Deal) -> timedelta:
        """Until when a key may be waited for: who is told by then loses little by coming back."""
        return deal.arrived + (deal.aim_at - deal.arrived) * KEY_SHARE

    def _key_out_of_reach(self, ticket: int, deal: _Deal) -> None:
        """It may be in the log for all we know: should it turn up as granted later, it is given back then."""
        self._turned_back(ticket, _no_core())

    def _ask_holder(self, ticket: int, deal: _Deal, stall: str, claim: str) -> None:
        """Somebody holds the key: only that stall knows what became of it."""
        deal.recalled = claim
        number = self._number()
        self.recalls[number] = ticket
        node = self.view.nodes.get(stall)
        if stall == self.params.name:
            return self._recall_answered(RecallAnswered(number, self._standing_of(claim)))
        if node is None or node.state == GONE:
            return self._recall_answered(RecallAnswered(number, None))
        self._out.append(Recall(number, node.address, RecallCall(claim)))

    def _recall_answered(self, event: RecallAnswered) -> None:
        ticket = self.recalls.pop(event.number, -1)
        deal = self.deals.get(ticket)
        if deal is None:
            return
        answer = event.answer
        match answer.standing if answer is not None else "":
            case "kept":
                self._reply(ticket, answer.status, headers=answer.headers, body=answer.body)
            case "working":
                mishap = mishap_of(
                    MishapKind.KEY_HELD, "The first request with this key is still working.", "Ask again shortly."
                )
                self._reply(ticket, 409, mishap=mishap, retry_after=self._soon(deal))
            case "free" if deal.after != deal.recalled:
                deal.after = deal.recalled
                self._claim(ticket)
            case _:
                mishap = mishap_of(
                    MishapKind.SILENT, "What became of this key's first request is not known.", "Ask what became of it."
                )
                self._reply(ticket, 502, mishap=mishap)

    def _recall(self, event: RecallArrived) -> None:
        self._out.append(AnswerRecall(event.ticket, self._standing_of(event.call.claim)))

    def _standing_of(self, claim: str) -> RecallAnswer:
        kept = self.kept.get(claim)
        if kept is None:
            # A former life's, or forgotten: whether it ran is not known here.
            return RecallAnswer(UNKNOWN_RUN)
        if kept.answer is not None:
            return RecallAnswer(KEPT, kept.answer.status, kept.answer.headers, kept.answer.body)
        return RecallAnswer(kept.standing)

    def _keep(self, claim: str) -> _Kept:
        while self.kept and next(iter(self.kept.values())).until <= self.now:
            self.kept.popitem(last=False)
        return self.kept.setdefault(claim, _Kept(until=self.now + self.key_span))

    def _let_go(self, deal: _Deal) -> None:
        """Gives a claimed key back: nothing ran under it and nothing will."""
        if not deal.claim or deal.uncertain or deal.sends:
            return
        # Also a claim that was never answered: should it be in the log, a repeat that meets it may take it over.
        self._keep(deal.claim).standing = FREE
        self._release(self._claim_of(deal))

    def _release(self, command: ClaimHold) -> None:
        self._ask_release(ReleaseHold(handle_of(command), command.claim), self.now + RELEASE_SPAN)

    def _ask_release(self, command: ReleaseHold, until: timedelta) -> None:
        number = self._number()
        self.releases[number] = (command, until)
        self._out.append(AskHold(number, command))

    def _announce_key(self, kind: str, deal: _Deal) -> None:
        """Keys are counted, not told one by one: there are hundreds a second."""

    # -- selecting a server ------------------------------------------------------------------------------------------

    def seen_of(self, stall: str) -> Seen:
        known = self.seen.get(stall)
        if known is None:
            known = self.seen[stall] = Seen()
        return known

    def _score(self, server: ServerEntry, deal: _Deal) -> float:
        """Seconds until an answer is expected from there, and what the way to another zone must save."""
        seen = self.seen_of(server.stall)
        span = seen.spans.get(deal.entry.name)
        if span is None:
            # Never met: as quick as the quickest, so that it is met soon.
            met = [each.spans[deal.entry.name] for each in self.seen.values() if deal.entry.name in each.spans]
            span = min(met, default=SOON)
        load = seen.load(self.now)
        wait = max(0.0, load + 1 - seen.room) / seen.room
        busy = min(1.0, load / seen.room)
        score = span.total_seconds() * (1 + wait + busy * 0.25)
        if server.zone != self.params.zone:
            crossing = len(deal.event.body) + self.answer_bytes.get(deal.entry.name, 0.0)
            share = min(MOST_ZONE_SHARE, ZONE_SHARE + crossing / ZONE_BYTES)
            score += (deal.aim_at - deal.arrived).total_seconds() * share
        return score

    def _select(self, deal: _Deal) -> ServerEntry | None:
        open_servers = [
            server
            for server in self._servers_of(deal.service)
            if server.stall not in deal.avoid and (server.stall != self.params.name or self.server_state() == "ready")
        ]
        rested = [server for server in open_servers if self.seen_of(server.stall).alone_until <= self.now]
        candidates = rested or open_servers
        if not candidates:
            return None
        scored = [(self._score(server, deal), server) for server in candidates]
        least = min(score for score, _ in scored)
        # Among those as good as equal chance decides: all doors preferring one server would flood it.
        near = [server for score, server in scored if score <= least * 1.05]
        return near[0] if len(near) == 1 else self.random.choice(near)

    def _read_in(self) -> None:
        """What each request asks of the setup, worked out once a view: setups change seldom, requests don't stop."""
        if self.read_in is self.view:
            return
        self.read_in = self.view
        self.parts = {}
        self.servers = {}
        for server in self.view.open_servers():
            if self.view.nodes[server.stall].state != GONE:
                self.servers.setdefault(server.service, []).append(server)

    def _servers_of(self, service: str) -> list[ServerEntry]:
        self._read_in()
        return self.servers.get(service, [])

    def _allot(self, service: str) -> None:
        self._read_in()
        part = self.parts.get(service)
        if part is None:
            stalls = [stall.node for stall in self.view.live_stalls()]
            part = part_of(service=service, stall=self.params.name, stalls=stalls, margin=self.further_margin)
            self.parts[service] = part
        self.further.allot(service, part=part, percent=self.further_percent, now=self.now)

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
        call = DealCall(
            send=f"{self.params.name}.{self.params.incarnation}.{deal.number}",
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
        self._out.append(DealOn(deal.number, self.view.nodes[target.stall].address, call, budget))

    # -- what comes back ---------------------------------------------------------------------------------------------

    def _back(self, number: int) -> tuple[int, _Deal | None]:
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
        if answer.outcome != ANSWERED or answer.send != f"{self.params.name}.{self.params.incarnation}.{event.number}":
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
        if kept is not None and event.answer.outcome == ANSWERED:
            kept.answer = event.answer

    def _answered(self, ticket: int, deal: _Deal, answer: DealAnswer) -> None:
        if deal.claimed and (kept := self.kept.get(deal.claim)) is not None:
            kept.answer = answer
        self._reply(ticket, answer.status, headers=answer.headers, body=answer.body)

    def _not_taken(self, ticket: int, deal: _Deal, kind: MishapKind) -> None:
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
            if (kept := self.kept.get(self.late.pop(event.number, ""))) is not None:
                kept.standing = UNKNOWN_RUN
            return None
        self.seen_of(deal.target.stall).alone_until = self.now + LEFT_ALONE
        if event.unsent:
            # No connection was made, so nothing can arrive later either.
            deal.avoid.add(deal.target.stall)
            deal.why = mishap_of(MishapKind.UNREACHABLE, f"{deal.target.stall} takes no connection.", "Come back.")
            return self._place(ticket)
        deal.sends += 1
        self._uncertain(
            ticket, deal, mishap_of(MishapKind.SILENT, f"{deal.target.stall} gave no answer.", "Ask what became of it.")
        )

    def _uncertain(self, ticket: int, deal: _Deal, mishap: Mishap) -> None:
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

    def _soon(self, deal: _Deal) -> timedelta:
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
        deal = self.deals[ticket]
        under_way = deal.number is not None and deal.number in self.by_number and deal.target is not None
        if under_way and deal.number not in self.claims:
            deal.uncertain = True
        if deal.uncertain or deal.best is not None:
            return self._give_up(ticket)
        mishap = mishap_of(MishapKind.BUDGET_SPENT, "Its time ran out before it was sent.", "Give it more time.")
        self._turned_back(ticket, deal.why or mishap)

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
        deal = self.deals.pop(ticket)
        if deal.number is not None and deal.target is not None and self.by_number.pop(deal.number, None) is not None:
            seen = self.seen_of(deal.target.stall)
            seen.mine = max(0, seen.mine - 1)
        self._out.append(Reply(ticket, status, headers, body, mishap, retry_after))

    def _visitor_gone(self, ticket: int) -> None:
        """What was sent is followed to its end, so that its key's answer is kept."""

    def _entry_tick(self) -> None:
        for ticket in [ticket for ticket, deal in self.deals.items() if self.now >= deal.deadline]:
            if ticket in self.deals:
                self._spent(ticket)
        # A key that doesn't come: the log may answer any time, but the visitor is better told now.
        keyless = [
            (ticket, deal)
            for ticket, deal in self.deals.items()
            if deal.claim and not deal.claimed and not deal.recalled and self.now >= self._patience(deal)
        ]
        for ticket, deal in keyless:
            self._key_out_of_reach(ticket, deal)
        again, self.claim_again = self.claim_again, []
        for moment, ticket in again:
            if self.now < moment:
                self.claim_again.append((moment, ticket))
            elif ticket in self.deals:
                self._claim(ticket)
        releases, self.release_again = self.release_again, []
        for moment, command, until in releases:
            if self.now >= moment:
                self._ask_release(command, until)
            else:
                self.release_again.append((moment, command, until))


def _no_answer() -> Mishap:
    return mishap_of(MishapKind.SILENT, "No answer came within its time.", "Ask what became of it.")
