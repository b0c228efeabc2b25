"""The upstream side of a proxy under bundles: admits attempts of other proxies, runs them, and settles their keys."""

from collections import OrderedDict
from datetime import timedelta

from hoistsaddle.common.errors import ErrorKind, MeshError, QueueFull
from hoistsaddle.config.bundle_checks import MAX_ONCE_ANSWER_BYTES
from hoistsaddle.proxy.bundle_state import MAX_CORE_OUTAGE, SETTLE_RETRY_INTERVAL, BundleState, digest_of_body
from hoistsaddle.proxy.core_state import LocalServer
from hoistsaddle.proxy.errors import AlreadySeen, KeyMissing
from hoistsaddle.proxy.messages import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    AnswerForward,
    ForwardArrived,
    HealthReported,
    RunOnServer,
    ServerAnswered,
    ServerFailed,
    SubmitHold,
)
from hoistsaddle.proxy.upstream_admission import admit
from hoistsaddle.rpc.messages import BundleForwardAnswer, BundleForwardCall
from hoistsaddle.statemachine.commands import CompleteKey, Outcome
from hoistsaddle.statemachine.state import GONE

# How long the ids of attempts that were refused or run are kept: longer than any request's budget can be.
SEEN_RETENTION = timedelta(seconds=120)
# Errors that a short outage of the core can cause: such an attempt is parked for a while, and then admitted again.
PARKED_KINDS = (ErrorKind.LEASE_LAPSED, ErrorKind.BUNDLE_UNKNOWN)
LOGGED_SCOPE_LENGTH = 12


class _Run:
    """An attempt on the local server, until its answer is sent and its key is settled."""

    def __init__(self, *, ticket: int, call: BundleForwardCall, arrived: timedelta) -> None:
        self.ticket = ticket
        self.call = call
        self.deadline = arrived + call.budget
        self.answer: BundleForwardAnswer | None = None
        self.settlement: CompleteKey | None = None
        self.settle_at: timedelta | None = None
        self.answered = False


class UpstreamCore:
    """Owns the attempts that other proxies forward to the local server."""

    def __init__(self, *, state: BundleState) -> None:
        self._state = state
        self.runs: dict[int, _Run] = {}
        # Maps the calls of settlements that the log hasn't answered to the numbers of their runs.
        self._settlements: dict[int, int] = {}
        # Attempts that wait out an outage of the core, by ticket: the event, its arrival, and until when it is parked.
        self.parked: dict[int, tuple[ForwardArrived, timedelta, timedelta]] = {}
        # Ids of attempts that were run or refused here, the oldest first.
        self._seen: OrderedDict[str, timedelta] = OrderedDict()

    # -- admission ---------------------------------------------------------------------------------------------------

    def health_reported(self, event: HealthReported) -> None:
        """Handle the server's health report, unless its instance has ended since."""
        state = self._state
        if not state.accept_report(event.instance, state=event.state):
            return
        before, state_before = state.server, state.server_state()
        server = LocalServer(event.service, event.instance, event.address, event.state, state.now)
        state.server = server
        if before is None or not before.same_as(server) or state_before != state.server_state():
            state.announce("server told", service=event.service, instance=event.instance, state=event.state)
            state.report_health()

    def forward_arrived(self, event: ForwardArrived) -> None:
        """Run, park or refuse an attempt from another proxy."""
        error = self._admission_error(event)
        parkable = error is not None and error.kind in PARKED_KINDS
        if parkable and len(self.parked) < self._state.settings.backlog:
            # Outages of the core are short: wait for up to half the budget before the sender has to try another proxy.
            now = self._state.now
            self.parked[event.ticket] = (event, now, now + min(event.call.budget / 2, MAX_CORE_OUTAGE))
            return
        self._run_or_refuse(event, error)

    def _run_or_refuse(self, event: ForwardArrived, error: MeshError | None) -> None:
        call, server = event.call, self._state.server
        if error is None and server is not None:
            self._record_attempt(call.attempt_id)
            number = self._state.next_number()
            self.runs[number] = _Run(ticket=event.ticket, call=call, arrived=self._state.now)
            self._state.out.append(RunOnServer(number, server.address, call, call.budget))
        elif error is not None and error.kind == ErrorKind.ALREADY_SEEN:
            # An attempt with this id was run or refused before, so the outcome of this second copy is unknown.
            self._refuse(event, UNKNOWN, error)
        elif error is not None:
            # The refusal is final: a copy of this attempt that arrives later must not run either.
            self._record_attempt(call.attempt_id)
            self._refuse(event, NOT_RUN, error)

    def _refuse(self, event: ForwardArrived, outcome: str, error: MeshError) -> None:
        answer = BundleForwardAnswer(event.call.attempt_id, outcome, str(error.kind), error.message)
        self._state.out.append(AnswerForward(event.ticket, answer))

    def retry_parked(self) -> None:
        """Admit parked attempts again after a change, and refuse those that have waited long enough."""
        state = self._state
        for ticket, (event, arrived, until) in list(self.parked.items()):
            newest = max((each.number for each in state.view.active_bundles), default=0)
            if (state.has_lease() and event.call.bundle <= newest) or state.now >= until:
                # It continues with the rest of its budget; once its time is over, a refusal is final.
                del self.parked[ticket]
                left = event.call.budget - (state.now - arrived)
                event = event._replace(call=event.call._replace(budget=left))
                self._run_or_refuse(event, self._admission_error(event))

    def _record_attempt(self, attempt_id: str) -> None:
        now = self._state.now
        self._seen[attempt_id] = now
        while self._seen and now - next(iter(self._seen.values())) > SEEN_RETENTION:
            self._seen.popitem(last=False)

    def _admission_error(self, event: ForwardArrived) -> MeshError | None:
        """Return why the attempt may not run now; None if it may."""
        call = event.call
        parked_duplicate = any(
            parked.ticket != event.ticket and parked.call.attempt_id == call.attempt_id
            for parked, _, _ in self.parked.values()
        )
        if call.attempt_id in self._seen or parked_duplicate:
            return AlreadySeen("An attempt with this id arrived before.")
        route = admit(self._state, event)
        if isinstance(route, MeshError):
            return route
        if len(self.runs) >= self._state.settings.backlog:
            return QueueFull("Too many requests are running on this server.", remedy="Send it elsewhere.")
        if route.once and not call.hold:
            return KeyMissing(f"{route.name} runs once per key.", remedy="Claim its key first.")
        return None

    # -- runs --------------------------------------------------------------------------------------------------------

    def server_answered(self, event: ServerAnswered) -> None:
        """Pass the server's answer on, after settling its key if it has one."""
        run = self.runs.get(event.number)
        if run is None:
            return None
        call = run.call
        run.answer = BundleForwardAnswer(
            call.attempt_id, ANSWERED, "", "", event.status, event.headers, event.body, digest_of_body(event.body)
        )
        if not call.hold:
            return self._answer_run(event.number, run, run.answer)
        scope, _, claim = call.hold.partition(" ")
        kept = len(event.body) <= min(call.answer_bytes, MAX_ONCE_ANSWER_BYTES)
        run.settlement = CompleteKey(
            scope, claim, event.status, event.headers if kept else {}, event.body if kept else b"", kept
        )
        return self._settle(event.number, run, run.settlement)

    def _settle(self, number: int, run: _Run, settlement: CompleteKey) -> None:
        call_number = self._state.next_number()
        run.settle_at = None
        self._settlements[call_number] = number
        self._state.out.append(SubmitHold(call_number, settlement))

    def is_settlement(self, number: int) -> bool:
        """Whether this call to the log is a settlement."""
        return number in self._settlements

    def settlement_answered(self, number: int, outcome: Outcome | None) -> None:
        """Handle the log's answer to a settlement; None is no answer."""
        run_number = self._settlements.pop(number)
        run = self.runs.get(run_number)
        if run is None or run.settlement is None or run.answer is None:
            return
        if outcome is None:
            # The settlement is retried even after the answer was sent: a repeated request must get the same answer.
            run.settle_at = self._state.now + SETTLE_RETRY_INTERVAL
            return
        scope = run.settlement.scope[:LOGGED_SCOPE_LENGTH]
        self._state.announce("key settled", scope=scope, entry=run.call.route)
        run.settlement = None
        self._answer_run(run_number, run, run.answer)

    def _answer_run(self, number: int, run: _Run, answer: BundleForwardAnswer) -> None:
        if not run.answered:
            run.answered = True
            self._state.out.append(AnswerForward(run.ticket, answer))
        if run.settlement is None:
            self.runs.pop(number, None)

    def server_failed(self, event: ServerFailed) -> None:
        """Report to the sender that the server gave no answer."""
        run = self.runs.pop(event.number, None)
        if run is None:
            return
        state, server = self._state, self._state.server
        same_instance = server is not None and server.instance == run.call.instance
        if event.unsent and same_instance and state.server_state() != GONE:
            # The server's address accepts no connections any more: don't wait until its health report expires.
            state.mark_server_gone()
        outcome = NOT_RUN if event.unsent else UNKNOWN
        answer = BundleForwardAnswer(run.call.attempt_id, outcome, str(event.error.kind), event.error.message)
        state.out.append(AnswerForward(run.ticket, answer))

    def tick(self) -> None:
        """Send the answers that are due, and submit unanswered settlements again."""
        now = self._state.now
        for number, run in list(self.runs.items()):
            if run.answer is not None and not run.answered and now >= run.deadline:
                # The run is complete and its answer valid, even if its key can't be settled yet.
                self._answer_run(number, run, run.answer)
            if run.settlement is not None and run.settle_at is not None and now >= run.settle_at:
                self._settle(number, run, run.settlement)
