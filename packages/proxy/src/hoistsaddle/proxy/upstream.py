"""The target's side of a proxy: it admits sends from other proxies, has its server run them, and settles keys."""

from collections import OrderedDict
from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.bundle import MAX_ONCE_ANSWER_BYTES
from hoistsaddle.proxy.core_state import GAP, SETTLE_AGAIN, CoreState, digest_of_body, mesh_error, number_of
from hoistsaddle.proxy.messages import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    AnswerForward,
    ForwardArrived,
    RunOnServer,
    ServerAnswered,
    ServerFailed,
    SubmitHold,
)
from hoistsaddle.rpc.messages import BundleForwardAnswer, BundleForwardCall
from hoistsaddle.statemachine.commands import CompleteKey, Outcome
from hoistsaddle.statemachine.state import GONE, READY

# How long a target's proxy remembers what it refused or ran: longer than any envelope's budget can be.
REMEMBERED = timedelta(seconds=120)


class _Run:
    """A send at its target's proxy."""

    def __init__(self, *, ticket: int, call: BundleForwardCall, arrived: timedelta) -> None:
        self.ticket = ticket
        self.call = call
        self.deadline = arrived + call.budget
        self.answer: BundleForwardAnswer | None = None
        self.settle: CompleteKey | None = None
        self.settle_at: timedelta | None = None
        self.answered = False


class UpstreamSide(CoreState):
    def __init__(self, **needs) -> None:
        super().__init__(**needs)
        self.runs: dict[int, _Run] = {}
        self.settles: dict[int, int] = {}
        self.parked: dict[int, tuple[ForwardArrived, timedelta, timedelta]] = {}
        self.seen: OrderedDict[str, timedelta] = OrderedDict()

    def _pass(self, event: ForwardArrived, *, again: bool = False) -> None:
        call = event.call
        error = self._gate(event)
        if (
            error is not None
            and error.kind in (ErrorKind.LEASE_LAPSED, ErrorKind.BUNDLE_UNKNOWN)
            and len(self.parked) < self.settings.backlog
            and not again
        ):
            # A gap of the core's is short: wait it out for half the budget before troubling another proxy.
            self.parked[event.ticket] = (event, self.now, self.now + min(call.budget / 2, GAP))
            return
        if error is None:
            self._remember(call.send)
            number = self._number()
            self.runs[number] = _Run(ticket=event.ticket, call=call, arrived=self.now)
            self._out.append(RunOnServer(number, self.server.address, call, call.budget))
            return
        if error.kind == ErrorKind.ALREADY_SEEN:
            # It ran or was refused under this very id: nothing certain can be said to the second copy.
            self._out.append(
                AnswerForward(event.ticket, BundleForwardAnswer(call.send, UNKNOWN, str(error.kind), error.message))
            )
            return
        # Refused for good: should a copy of this envelope turn up later, it won't run either.
        self._remember(call.send)
        self._out.append(
            AnswerForward(event.ticket, BundleForwardAnswer(call.send, NOT_RUN, str(error.kind), error.message))
        )

    def _retry_parked(self) -> None:
        for ticket, (event, came, until) in list(self.parked.items()):
            newest = max((each.number for each in self.view.active_bundles), default=0)
            if (self.fresh() and event.call.bundle <= newest) or self.now >= until:
                # Admitted anew, with what of its budget is left; past its time the refusal stands.
                del self.parked[ticket]
                left = event.call.budget - (self.now - came)
                self._pass(event._replace(call=event.call._replace(budget=left)), again=True)

    def _remember(self, send: str) -> None:
        self.seen[send] = self.now
        while self.seen and self.now - next(iter(self.seen.values())) > REMEMBERED:
            self.seen.popitem(last=False)

    def _gate(self, event: ForwardArrived) -> MeshError | None:
        call = event.call
        if call.send in self.seen or any(
            parked.ticket != event.ticket and parked.call.send == call.send for parked, _, _ in self.parked.values()
        ):
            return mesh_error(ErrorKind.ALREADY_SEEN, "This send was here before.", "Never send one id twice.")
        if event.frozen:
            # After standing still nobody can tell how old the envelope is.
            return mesh_error(
                ErrorKind.FROZEN, "This proxy stood still while the request waited.", "Send it elsewhere."
            )
        if call.budget <= ZERO:
            return mesh_error(ErrorKind.BUDGET_SPENT, "The budget is spent.", "Send sooner.")
        if not self.fresh() or not self.noted():
            return mesh_error(ErrorKind.LEASE_LAPSED, "No fresh news from the core.", "Send it elsewhere.")
        if self.stopping or self.server_state() != READY:
            return mesh_error(
                ErrorKind.WINDING_DOWN,
                f"The server beside {self.settings.name} is {self.server_state()}.",
                "Send it elsewhere.",
            )
        server = self.server
        if (call.target, call.service_name, call.instance) != (self.settings.name, server.service, server.instance):
            return mesh_error(
                ErrorKind.WRONG_INSTANCE,
                "The server it was meant for is not the one here.",
                "Send it to a server the news names.",
            )
        known = self.view.servers.get(self.settings.name)
        # An address passed to another service takes work only once the log knows whose it is.
        if known is None or (known.service, known.instance) != (server.service, server.instance) or known.drained_by:
            return mesh_error(ErrorKind.WINDING_DOWN, "The log doesn't name this server as open.", "Send it elsewhere.")
        bundle = self.view.bundle
        newest = max(self.view.active_bundles, key=number_of, default=bundle)
        if newest is not None and call.bundle > newest.number:
            return mesh_error(
                ErrorKind.BUNDLE_UNKNOWN, f"News of bundle {call.bundle} isn't here yet.", "Send it again shortly."
            )
        if bundle is not None and call.bundle > bundle.number:
            # The newer of the two proxies' bundles decides: it is signed, and in force where the request came in.
            bundle = next((each for each in self.view.active_bundles if each.number == call.bundle), bundle)
        path = call.path.partition("?")[0]
        # Names play no part: an entry may be called otherwise where the request came in.
        entry = bundle.select_entry(method=call.method, path=path) if bundle else None
        if entry is None or entry.service != server.service:
            return mesh_error(
                ErrorKind.NO_ENTRY,
                f"{call.method} {path} is not this service's here.",
                "Wait until the bundle reached both machines.",
            )
        if call.caller not in entry.callers:
            return mesh_error(
                ErrorKind.NOT_ALLOWED, f"{call.caller} may not call {entry.name}.", "Have a bundle allow it."
            )
        if len(call.body) > entry.body_bytes:
            return mesh_error(
                ErrorKind.BODY_TOO_LARGE, f"The body is over {entry.body_bytes} bytes.", "Send a smaller body."
            )
        if len(self.runs) >= self.settings.backlog:
            return mesh_error(ErrorKind.QUEUE_FULL, "Too many runs are under way on this server.", "Send it elsewhere.")
        # Once entries run under a key on this side too.
        if entry.once and not call.hold:
            return mesh_error(ErrorKind.KEY_MISSING, f"{entry.name} runs once per key.", "Claim its key first.")
        return None

    def _server_answered(self, event: ServerAnswered) -> None:
        run = self.runs.get(event.number)
        if run is None:
            return None
        call = run.call
        run.answer = BundleForwardAnswer(
            call.send, ANSWERED, "", "", event.status, event.headers, event.body, digest_of_body(event.body)
        )
        if not call.hold:
            return self._answer_run(event.number, run)
        scope, _, claim = call.hold.partition(" ")
        kept = len(event.body) <= min(call.answer_bytes, MAX_ONCE_ANSWER_BYTES)
        run.settle = CompleteKey(
            scope, claim, event.status, event.headers if kept else {}, event.body if kept else b"", kept
        )
        self._settle(event.number, run)

    def _settle(self, number: int, run: _Run) -> None:
        asked = self._number()
        run.settle_at = None
        self.settles[asked] = number
        self._out.append(SubmitHold(asked, run.settle))

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
            self._out.append(AnswerForward(run.ticket, run.answer))
        if run.settle is None:
            self.runs.pop(number, None)

    def _server_missed(self, event: ServerFailed) -> None:
        run = self.runs.pop(event.number, None)
        if run is None:
            return
        if (
            event.unsent
            and self.server is not None
            and self.server.instance == run.call.instance
            and self.server_state() != GONE
        ):
            # Nobody listens there any more: no need to wait until its health reports run out.
            self._silence()
        outcome = NOT_RUN if event.unsent else UNKNOWN
        self._out.append(
            AnswerForward(
                run.ticket, BundleForwardAnswer(run.call.send, outcome, str(event.error.kind), event.error.message)
            )
        )
