"""The target's side of a stall: it admits sends from other stalls, has its server run them, and settles keys."""

from collections import OrderedDict
from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.config.bundle import LARGEST_ONCE_ANSWER
from hoistsaddle.proxy.messages import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    AnswerPass,
    AskHold,
    PassArrived,
    RunServer,
    ServerAnswered,
    ServerMissed,
)
from hoistsaddle.proxy.standing import GAP, SETTLE_AGAIN, Standing, digest_of_body, mishap_of, number_of
from hoistsaddle.rpc.messages import PassAnswer, PassCall
from hoistsaddle.statemachine.commands import Outcome, SettleHold
from hoistsaddle.statemachine.state import GONE, READY

# How long a target's stall remembers what it refused or ran: longer than any envelope's budget can be.
REMEMBERED = timedelta(seconds=120)


class _Run:
    """A send at its target's stall."""

    def __init__(self, *, ticket: int, call: PassCall, arrived: timedelta) -> None:
        self.ticket = ticket
        self.call = call
        self.deadline = arrived + call.budget
        self.answer: PassAnswer | None = None
        self.settle: SettleHold | None = None
        self.settle_at: timedelta | None = None
        self.answered = False


class TargetSide(Standing):
    def __init__(self, **needs) -> None:
        super().__init__(**needs)
        self.runs: dict[int, _Run] = {}
        self.settles: dict[int, int] = {}
        self.parked: dict[int, tuple[PassArrived, timedelta, timedelta]] = {}
        self.seen: OrderedDict[str, timedelta] = OrderedDict()

    def _pass(self, event: PassArrived, *, again: bool = False) -> None:
        call = event.call
        mishap = self._gate(event)
        if (
            mishap is not None
            and mishap.kind in (MishapKind.LEASE_LAPSED, MishapKind.BUNDLE_UNKNOWN)
            and len(self.parked) < self.params.backlog
            and not again
        ):
            # A gap of the core's is short: wait it out for half the budget before troubling another stall.
            self.parked[event.ticket] = (event, self.now, self.now + min(call.budget / 2, GAP))
            return
        if mishap is None:
            self._remember(call.send)
            number = self._number()
            self.runs[number] = _Run(ticket=event.ticket, call=call, arrived=self.now)
            self._out.append(RunServer(number, self.server.address, call, call.budget))
            return
        if mishap.kind == MishapKind.ALREADY_SEEN:
            # It ran or was refused under this very id: nothing certain can be said to the second copy.
            self._out.append(AnswerPass(event.ticket, PassAnswer(call.send, UNKNOWN, str(mishap.kind), mishap.message)))
            return
        # Refused for good: should a copy of this envelope turn up later, it won't run either.
        self._remember(call.send)
        self._out.append(AnswerPass(event.ticket, PassAnswer(call.send, NOT_RUN, str(mishap.kind), mishap.message)))

    def _retry_parked(self) -> None:
        for ticket, (event, came, until) in list(self.parked.items()):
            newest = max((each.number for each in self.view.in_play), default=0)
            if (self.fresh() and event.call.bundle <= newest) or self.now >= until:
                # Admitted anew, with what of its budget is left; past its time the refusal stands.
                del self.parked[ticket]
                left = event.call.budget - (self.now - came)
                self._pass(event._replace(call=event.call._replace(budget=left)), again=True)

    def _remember(self, send: str) -> None:
        self.seen[send] = self.now
        while self.seen and self.now - next(iter(self.seen.values())) > REMEMBERED:
            self.seen.popitem(last=False)

    def _gate(self, event: PassArrived) -> Mishap | None:
        call = event.call
        if call.send in self.seen or any(
            parked.ticket != event.ticket and parked.call.send == call.send for parked, _, _ in self.parked.values()
        ):
            return mishap_of(MishapKind.ALREADY_SEEN, "This send was here before.", "Never send one id twice.")
        if event.frozen:
            # After standing still nobody can tell how old the envelope is.
            return mishap_of(
                MishapKind.FROZEN, "This stall stood still while the request waited.", "Send it elsewhere."
            )
        if call.budget <= ZERO:
            return mishap_of(MishapKind.BUDGET_SPENT, "The budget is spent.", "Send sooner.")
        if not self.fresh() or not self.noted():
            return mishap_of(MishapKind.LEASE_LAPSED, "No fresh news from the core.", "Send it elsewhere.")
        if self.stopping or self.server_state() != READY:
            return mishap_of(
                MishapKind.WINDING_DOWN,
                f"The server beside {self.params.name} is {self.server_state()}.",
                "Send it elsewhere.",
            )
        server = self.server
        if (call.target, call.service_name, call.instance) != (self.params.name, server.service, server.instance):
            return mishap_of(
                MishapKind.WRONG_INSTANCE,
                "The server it was meant for is not the one here.",
                "Send it to a server the news names.",
            )
        known = self.view.servers.get(self.params.name)
        # An address passed to another service takes work only once the log knows whose it is.
        if known is None or (known.service, known.instance) != (server.service, server.instance) or known.drained_by:
            return mishap_of(MishapKind.WINDING_DOWN, "The log doesn't name this server as open.", "Send it elsewhere.")
        bundle = self.view.bundle
        newest = max(self.view.in_play, key=number_of, default=bundle)
        if newest is not None and call.bundle > newest.number:
            return mishap_of(
                MishapKind.BUNDLE_UNKNOWN, f"News of bundle {call.bundle} isn't here yet.", "Send it again shortly."
            )
        if bundle is not None and call.bundle > bundle.number:
            # The newer of the two stalls' bundles decides: it is signed, and in force where the request came in.
            bundle = next((each for each in self.view.in_play if each.number == call.bundle), bundle)
        path = call.path.partition("?")[0]
        # Names play no part: an entry may be called otherwise where the request came in.
        entry = bundle.select_entry(method=call.method, path=path) if bundle else None
        if entry is None or entry.service != server.service:
            return mishap_of(
                MishapKind.NO_ENTRY,
                f"{call.method} {path} is not this service's here.",
                "Wait until the bundle reached both machines.",
            )
        if call.caller not in entry.callers:
            return mishap_of(
                MishapKind.NOT_ALLOWED, f"{call.caller} may not call {entry.name}.", "Have a bundle allow it."
            )
        if len(call.body) > entry.body_bytes:
            return mishap_of(
                MishapKind.BODY_TOO_LARGE, f"The body is over {entry.body_bytes} bytes.", "Send a smaller body."
            )
        if len(self.runs) >= self.params.backlog:
            return mishap_of(
                MishapKind.BACKLOG_FULL, "Too many runs are under way on this server.", "Send it elsewhere."
            )
        # Once entries run under a key on this side too.
        if entry.once and not call.hold:
            return mishap_of(MishapKind.KEY_MISSING, f"{entry.name} runs once per key.", "Claim its key first.")
        return None

    def _server_answered(self, event: ServerAnswered) -> None:
        run = self.runs.get(event.number)
        if run is None:
            return None
        call = run.call
        run.answer = PassAnswer(
            call.send, ANSWERED, "", "", event.status, event.headers, event.body, digest_of_body(event.body)
        )
        if not call.hold:
            return self._answer_run(event.number, run)
        scope, _, claim = call.hold.partition(" ")
        kept = len(event.body) <= min(call.answer_bytes, LARGEST_ONCE_ANSWER)
        run.settle = SettleHold(
            scope, claim, event.status, event.headers if kept else {}, event.body if kept else b"", kept
        )
        self._settle(event.number, run)

    def _settle(self, number: int, run: _Run) -> None:
        asked = self._number()
        run.settle_at = None
        self.settles[asked] = number
        self._out.append(AskHold(asked, run.settle))

    def _settled(self, asked: int, outcome: Outcome | None) -> None:
        number = self.settles.pop(asked)
        run = self.runs.get(number)
        if run is None:
            return
        if outcome is None:
            # Settling goes on past the answer: a repeat must find what the first one got.
            run.settle_at = self.now + SETTLE_AGAIN
            return
        self._announce("key settled", scope=run.settle.scope[:12], entry=run.call.entry)
        run.settle = None
        self._answer_run(number, run)

    def _answer_run(self, number: int, run: _Run) -> None:
        if not run.answered:
            run.answered = True
            self._out.append(AnswerPass(run.ticket, run.answer))
        if run.settle is None:
            self.runs.pop(number, None)

    def _server_missed(self, event: ServerMissed) -> None:
        run = self.runs.pop(event.number, None)
        if run is None:
            return
        if (
            event.unsent
            and self.server is not None
            and self.server.instance == run.call.instance
            and self.server_state() != GONE
        ):
            # Nobody listens there any more: no need to wait until its vitals run out.
            self._silence()
        outcome = NOT_RUN if event.unsent else UNKNOWN
        self._out.append(
            AnswerPass(run.ticket, PassAnswer(run.call.send, outcome, str(event.mishap.kind), event.mishap.message))
        )
