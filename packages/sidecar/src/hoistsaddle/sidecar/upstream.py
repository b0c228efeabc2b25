"""The upstream side: admits, queues and runs requests on the local server, and rejects those it can't finish in time.

The local server is reached only through this sidecar, so this side alone limits its concurrency. The queue is ordered
by rank and then by due time. A request is rejected as soon as it is known that it can't finish before its deadline.
"""

import heapq
from collections.abc import Sequence
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.core_state import CoreState, LocalServer
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN, UNKNOWN
from hoistsaddle.rpc.messages import AbandonAnswer, AnnounceBodyCall, FollowCall, ForwardAnswer, ForwardCall
from hoistsaddle.sidecar.body_admission import SHORT_WAIT_SHARE, BodyAdmission
from hoistsaddle.sidecar.latency import LatencyEstimates
from hoistsaddle.sidecar.link_schedule import LinkSchedule
from hoistsaddle.sidecar.messages import (
    AbandonArrived,
    AnswerAbandon,
    AnswerForward,
    CancelRun,
    FollowArrived,
    ForwardArrived,
    HealthReported,
    RunOnServer,
    ServerAnswered,
    ServerFailed,
)
from hoistsaddle.sidecar.received_attempts import ReceivedAttempts
from hoistsaddle.statemachine.state import GONE, READY

# The remaining time assumed for a run that exceeds its expected time, as a share of that time.
OVERTIME_SHARE = 0.15
# A queued run is rejected this long before its deadline: the answer that it didn't run must reach the client's sidecar
# before that sidecar has to report an unknown outcome. Two ticks, and a one-way trip between two regions.
REJECTION_LEAD_TIME = milliseconds(80)
# From this age on, a call's age is subtracted from its latency target: it was held up on its way. Below it the age is
# ordinary network latency; subtracting that would reject many calls on a quiet day that are in time after all.
OLD_CALL_AGE = milliseconds(400)
# Share of the drain timeout after which queued runs are no longer started on a server that is shutting down.
DRAIN_START_SHARE = 0.7
# From this status on, the server failed, and its run time isn't used for the latency estimates.
SERVER_ERROR_STATUS = 500


class _Run:
    """A call that waits for the server or runs on it."""

    def __init__(self, *, number: int, ticket: int, call: ForwardCall, now: timedelta) -> None:
        self.number = number
        # The tickets to answer: the call's own, and those of follow calls about this attempt.
        self.tickets = [ticket]
        self.call = call
        self.deadline = now + call.budget


class _Queued(NamedTuple):
    """A run's entry in the queue; the smallest entry is started first."""

    rank: int
    due: timedelta
    deadline: timedelta
    number: int


class UpstreamCore:
    """Owns the attempts forwarded to the local server: admission, queue, runs, and the outcome of each."""

    def __init__(self, *, state: CoreState, drain_timeout: timedelta, link: LinkSchedule) -> None:
        """Start with no runs.

        Args:
            state: the state of the core, which collects the commands.
            drain_timeout: how long queued runs are still started on a server that is shutting down.
            link: the schedule of this machine's link.
        """
        self._state = state
        self.drain_timeout = drain_timeout
        # How many requests the server runs concurrently, and since when it accepts no new ones.
        self._capacity = 1
        self._draining_since: timedelta | None = None
        # All runs by number, the start times of those on the server, and the queue of the others.
        self.runs: dict[int, _Run] = {}
        self._running: dict[int, timedelta] = {}
        self._queue: list[_Queued] = []
        self._by_attempt: dict[str, _Run] = {}
        self.latencies = LatencyEstimates()
        # Attempts that must not run twice.
        self._received = ReceivedAttempts()
        # Large bodies that wait for a slot on this machine's link.
        self.bodies = BodyAdmission(
            state=state,
            link=link,
            latencies=self.latencies,
            check_server=self._check_server,
            server_wait=lambda rank, due: self.wait_for(rank=rank, due=due),
        )

    # -- the local server --------------------------------------------------------------------------------------------

    def health_reported(self, event: HealthReported) -> None:
        """Handle a health report of the local server, unless a newer one has been handled already."""
        state = self._state
        if not state.accept_report(event.instance, state=event.state, sequence=event.sequence):
            return
        before = state.server
        state_before = state.server_state()
        server = LocalServer(event.service, event.instance, event.address, event.state, state.now)
        state.server = server
        self._capacity = max(1, event.capacity)
        if event.state == READY:
            self._draining_since = None
        elif self._draining_since is None or (before is not None and before.instance != event.instance):
            self._draining_since = state.now
        if before is None or not before.same_as(server) or state_before != state.server_state():
            state.announce(
                "server told",
                service=event.service,
                instance=event.instance,
                state=event.state,
                sequence=event.sequence,
            )
            state.report_health()
        # The capacity may have grown, or queued runs may belong to an instance that has ended.
        self._review_queue()

    def signed_off(self, instance: str) -> None:
        """Handle the shutdown of a server instance: no new runs are started on it."""
        state = self._state
        state.reports.sign_off(instance)
        if state.server is None or state.server.instance != instance or state.server.state == GONE:
            return
        state.server = state.server._replace(state=GONE, reported_at=state.now)
        state.announce("server signed off", service=state.server.service, instance=instance)
        state.report_health()
        self._review_queue()

    def assume_server(self, server: LocalServer) -> None:
        """After a restart, use the server that the log records here until its next health report.

        If that record is outdated, no run reaches a wrong server. An instance that has signed off since is reported to
        the log as gone.
        """
        state = self._state
        if state.server is not None:
            return
        state.reports.assume(server.instance)
        if state.reports.has_signed_off(server.instance):
            server = server._replace(state=GONE)
        state.server = server
        state.announce("server assumed", service=server.service, instance=server.instance, state=server.state)
        state.report_health()

    # -- admission ---------------------------------------------------------------------------------------------------

    def forward_arrived(self, event: ForwardArrived) -> None:
        """Start, queue or reject an attempt that another sidecar forwards."""
        state = self._state
        call = self.without_age(event)
        # The sender may ask about the attempt until its own deadline, which the age of the call doesn't shorten.
        deadline = state.now + event.call.budget
        if not call.repeatable and not self._received.receive(call.attempt_id, deadline=deadline, now=state.now):
            # It arrived before, or its sender was told that it never arrived: it doesn't run, only its outcome is sent.
            follow = FollowCall(call.attempt_id, state.settings.incarnation, call.budget)
            return self.follow_arrived(FollowArrived(event.ticket, follow))
        # A body that was granted the link was admitted before it was sent.
        granted = self.bodies.arrived(call.attempt_id)
        admission = self._check_server(call) if granted else self._admit(call)
        own = call.attempt_id.startswith(f"{state.settings.name}.")
        if not granted and not own:
            self.bodies.link.others_arrived(len(call.headers) + len(call.body), now=state.now)
        if isinstance(admission, ErrorKind):
            return self._reject((event.ticket,), call, admission)
        number = state.next_number()
        run = _Run(number=number, ticket=event.ticket, call=call, now=state.now)
        self.runs[number] = self._by_attempt[call.attempt_id] = run
        if len(self._running) < self._capacity:
            return self._start(run, admission)
        heapq.heappush(self._queue, _Queued(call.rank, state.now + call.latency_target, run.deadline, number))
        return None

    def without_age(self, event: ForwardArrived) -> ForwardCall:
        """Return the call with its remaining budget: its bytes may have waited in a socket buffer."""
        call, age = event.call, event.age
        if not age:
            return call
        target = call.latency_target if age < OLD_CALL_AGE else max(ZERO, call.latency_target - age)
        return call._replace(budget=call.budget - age, latency_target=target)

    def _check_server(self, call: ForwardCall | AnnounceBodyCall) -> LocalServer | ErrorKind:
        """Return the server that the call is for, or why the server can't accept it."""
        state = self._state
        if call.budget <= ZERO:
            return ErrorKind.BUDGET_SPENT
        server = state.server
        if server is None or state.server_state() == GONE:
            return ErrorKind.NO_SERVER
        if server.state != READY or state.closing:
            return ErrorKind.WINDING_DOWN
        if (call.target, call.service_name) != (state.settings.name, server.service):
            return ErrorKind.WRONG_INSTANCE
        if call.instance != server.instance:
            return ErrorKind.WRONG_INSTANCE
        return server if len(self._queue) < state.settings.backlog else ErrorKind.QUEUE_FULL

    def _admit(self, call: ForwardCall) -> LocalServer | ErrorKind:
        """Return the server that the call is admitted to, or why it is rejected."""
        state = self._state
        server = self._check_server(call)
        if isinstance(server, ErrorKind):
            return server
        # Short waits are always admitted: a slow server whose queue is kept empty would be idle between arrivals.
        wait = self.wait_for(rank=call.rank, due=state.now + call.latency_target)
        # A client that retries later finds a shorter queue; a request queued past its target delays others past theirs.
        long_wait = wait > self.latencies.expected(call) * SHORT_WAIT_SHARE
        if long_wait and wait + self.latencies.safe(call) > self.latencies.admission_limit(call):
            return ErrorKind.QUEUE_FULL
        return server

    def wait_for(self, *, rank: int, due: timedelta) -> timedelta:
        """Return how long a request of this rank and due time would wait for its start if it arrived now."""
        # The request and those queued before it take at most this many slots, however many a server reports.
        free = min(self._capacity - len(self._running), len(self._queue) + 1)
        slots = [ZERO] * max(0, free)
        for number, started in self._running.items():
            expected = self.latencies.expected(self.runs[number].call)
            # A run that exceeds its expected time is assumed to need a little more.
            slots.append(max(expected - (self._state.now - started), expected * OVERTIME_SHARE))
        heapq.heapify(slots)
        for queued in sorted(self._queue):
            if (queued.rank, queued.due) > (rank, due):
                break
            # Runs queued before it take the slots as they become free.
            heapq.heapreplace(slots, slots[0] + self.latencies.expected(self.runs[queued.number].call))
        return slots[0]

    def load(self) -> int:
        """Return how many requests run on the server or are queued for it."""
        return len(self._running) + len(self._queue)

    # -- answers to other sidecars -----------------------------------------------------------------------------------

    def follow_arrived(self, event: FollowArrived) -> None:
        """Answer a follow call with the outcome of its attempt, as soon as that is known."""
        call = event.call
        if (run := self._by_attempt.get(call.attempt_id)) is not None:
            run.tickets.append(event.ticket)
            return
        answer = self._received.answer_of(call.attempt_id)
        if answer is None:
            # An attempt that was sent to an earlier incarnation of this sidecar has an unknown outcome here.
            same_incarnation = call.incarnation == self._state.settings.incarnation
            if same_incarnation and self._received.bar(call.attempt_id, now=self._state.now):
                answer = self._without_run(call.attempt_id, NOT_RUN, ErrorKind.UNREACHABLE)
            else:
                answer = self._without_run(call.attempt_id, UNKNOWN, ErrorKind.SILENT)
        self._state.out.append(AnswerForward(event.ticket, answer))

    def abandon_arrived(self, event: AbandonArrived) -> None:
        """Drop an attempt whose client has disconnected: dequeue or cancel its run, and start the next one."""
        if self.bodies.abandon(event.call.attempt_id):
            self._state.out.append(AnswerAbandon(event.ticket, AbandonAnswer(True)))
            return None
        run = self._by_attempt.get(event.call.attempt_id)
        if run is None or not run.call.repeatable:
            self._state.out.append(AnswerAbandon(event.ticket, AbandonAnswer(False)))
            return None
        self._state.out.append(AnswerAbandon(event.ticket, AbandonAnswer(True)))
        del self.runs[run.number]
        if self._running.pop(run.number, None) is None:
            self._queue = [queued for queued in self._queue if queued.number != run.number]
            heapq.heapify(self._queue)
            return self._reject(run.tickets, run.call, ErrorKind.SILENT)
        self._state.out.append(CancelRun(run.number))
        self._answer(run.tickets, run.call, self._without_run(run.call.attempt_id, UNKNOWN, ErrorKind.SILENT))
        return self._start_next()

    def _without_run(self, attempt_id: str, outcome: str, kind: str) -> ForwardAnswer:
        """Return an answer to an attempt for which there is no response of the server."""
        return ForwardAnswer(attempt_id, outcome, str(kind), load=self.load(), capacity=self._capacity)

    def _reject(self, tickets: Sequence[int], call: ForwardCall, kind: ErrorKind) -> None:
        self._answer(tickets, call, self._without_run(call.attempt_id, NOT_RUN, kind))

    def _answer(self, tickets: Sequence[int], call: ForwardCall, answer: ForwardAnswer) -> None:
        """Answer all calls that wait for the attempt, and keep the answer in case the sender's connection breaks."""
        self._by_attempt.pop(call.attempt_id, None)
        if not call.repeatable:
            self._received.answered(answer, now=self._state.now)
        self._state.out += [AnswerForward(ticket, answer) for ticket in tickets]

    # -- runs --------------------------------------------------------------------------------------------------------

    def _start(self, run: _Run, server: LocalServer) -> None:
        now = self._state.now
        self._running[run.number] = now
        self._state.out.append(RunOnServer(run.number, server.address, run.call, run.deadline - now))

    def _startable(self, run: _Run) -> LocalServer | ErrorKind:
        """Return the server for a queued run, or why the run must be rejected."""
        state = self._state
        server = state.server
        # Runs queued for a server that is shutting down are rejected before its drain timeout ends.
        late = (
            self._draining_since is not None
            and state.now - self._draining_since > self.drain_timeout * DRAIN_START_SHARE
        )
        if late or server is None or server.instance != run.call.instance or state.server_state() == GONE:
            return ErrorKind.WINDING_DOWN
        needed = max(self.latencies.expected(run.call) / 2, REJECTION_LEAD_TIME)
        return ErrorKind.BUDGET_SPENT if state.now + needed > run.deadline else server

    def _start_next(self) -> None:
        while self._queue and len(self._running) < self._capacity:
            run = self.runs[heapq.heappop(self._queue).number]
            server = self._startable(run)
            if isinstance(server, ErrorKind):
                del self.runs[run.number]
                self._reject(run.tickets, run.call, server)
            else:
                self._start(run, server)

    def _review_queue(self) -> None:
        """Reject queued runs that can't finish in time now, not when a slot becomes free; then start what can run."""
        for queued, server in [(queued, self._startable(self.runs[queued.number])) for queued in self._queue]:
            if isinstance(server, ErrorKind):
                self._queue.remove(queued)
                run = self.runs.pop(queued.number)
                self._reject(run.tickets, run.call, server)
        heapq.heapify(self._queue)
        self._start_next()

    def server_answered(self, event: ServerAnswered) -> None:
        """Pass the server's answer on, and start the next run."""
        run = self.runs.pop(event.number, None)
        if run is None:
            return
        run_time = self._state.now - self._running.pop(event.number)
        attempt_id = run.call.attempt_id
        if event.not_run:
            # A "not run" response of a full server says nothing about how long runs take.
            answer = self._without_run(attempt_id, NOT_RUN, ErrorKind.SERVER_FULL)
        else:
            if event.status < SERVER_ERROR_STATUS:
                self.latencies.learn(run.call.route, run_time)
            answer = ForwardAnswer(
                attempt_id,
                ANSWERED,
                "",
                event.status,
                event.headers,
                event.body,
                self.load(),
                self._capacity,
                run_time,
            )
        self._answer(run.tickets, run.call, answer)
        self._start_next()

    def server_failed(self, event: ServerFailed) -> None:
        """Report to the sender that the server gave no answer, and start the next run."""
        run = self.runs.pop(event.number, None)
        if run is None:
            return
        self._running.pop(event.number, None)
        state, kind = self._state, event.error.kind
        server = state.server
        if (
            event.unsent
            and kind == ErrorKind.UNREACHABLE
            and server is not None
            and server.instance == run.call.instance
            and state.server_state() != GONE
        ):
            # The server no longer listens: there is no need to wait until its health report expires.
            state.mark_server_gone()
        outcome = NOT_RUN if event.unsent else UNKNOWN
        reported_kind = ErrorKind.NO_SERVER if kind == ErrorKind.UNREACHABLE else kind
        self._answer(run.tickets, run.call, self._without_run(run.call.attempt_id, outcome, reported_kind))
        self._start_next()

    def tick(self) -> None:
        """Expire the server's health report, and reject queued runs that can't finish in time."""
        self._state.expire_server()
        if self._queue:
            self._review_queue()
        self.bodies.tick()
