"""The upstream side: what runs on the server beside this sidecar, what is queued for it, and what is rejected at once.

Nobody else reaches this server, so this side alone decides how much it works on at a time. Queued work is ordered by
rank and then by when it is due. Work that can't be done in its time is rejected the moment that is known.
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

# What a run over its usual time is taken to need still, as a share of that time.
OVERTIME_SHARE = 0.15
# A queued run is given up this long before its deadline: the answer that it didn't run must reach its client's sidecar
# before that one has to call it unknown. Two ticks, and a way between two regions.
REJECTION_LEAD_TIME = milliseconds(80)
# A call this old lay somewhere, and is due that much sooner. What a call gains or loses on an ordinary way says little
# of when it is due: judged by that, many would be rejected on a quiet day that are in time after all.
OLD_CALL_AGE = milliseconds(400)
# Share of the drain time after which nothing queued is started on a server that leaves.
DRAIN_START_SHARE = 0.7
# Answers with a status from this one on say that the server failed, and nothing of how long its runs take.
SERVER_ERROR_STATUS = 500


class _Run:
    """A call that waits for the server or runs on it."""

    def __init__(self, *, number: int, ticket: int, call: ForwardCall, now: timedelta) -> None:
        self.number = number
        # Who is to be answered: the call, and senders that asked what became of it.
        self.tickets = [ticket]
        self.call = call
        self.deadline = now + call.budget


class _Queued(NamedTuple):
    """A run's place in the queue: the least is started first."""

    rank: int
    due: timedelta
    deadline: timedelta
    number: int


class UpstreamCore:
    """Owns what was forwarded to the local server: admission, queue, runs, and what became of each attempt."""

    def __init__(self, *, state: CoreState, drain_timeout: timedelta, link: LinkSchedule) -> None:
        """Begin without work.

        Args:
            state: of the core that the commands go out from.
            drain_timeout: how long a server that leaves still gets work that was queued before.
            link: of this machine.
        """
        self._state = state
        self.drain_timeout = drain_timeout
        # How many requests the server works on at a time, and since when it takes no new ones.
        self._capacity = 1
        self._draining_since: timedelta | None = None
        # Every run by its number, those on the server with when they were started, and those queued.
        self.runs: dict[int, _Run] = {}
        self._running: dict[int, timedelta] = {}
        self._queue: list[_Queued] = []
        self._by_attempt: dict[str, _Run] = {}
        self.latencies = LatencyEstimates()
        # Attempts that may not be repeated.
        self._received = ReceivedAttempts()
        # Large bodies that wait for this machine's link.
        self.bodies = BodyAdmission(
            state=state,
            link=link,
            latencies=self.latencies,
            check_server=self._check_server,
            server_wait=lambda rank, due: self.wait_for(rank=rank, due=due),
        )

    # -- the local server --------------------------------------------------------------------------------------------

    def health_reported(self, event: HealthReported) -> None:
        """Take what the server says of itself, unless a later word of it was heard already."""
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
        # There may be more capacity now, or what is queued may wait for a server that has ended.
        self._review_queue()

    def signed_off(self, instance: str) -> None:
        """Take that an instance of the server ends: nothing new is started on it."""
        state = self._state
        state.reports.sign_off(instance)
        if state.server is None or state.server.instance != instance or state.server.state == GONE:
            return
        state.server = state.server._replace(state=GONE, reported_at=state.now)
        state.announce("server signed off", service=state.server.service, instance=instance)
        state.report_health()
        self._review_queue()

    def assume_server(self, server: LocalServer) -> None:
        """After a restart, take the server that the log names here until its next report. A wrong one runs nothing.

        One that has signed off since is told to the log as gone.
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
        """Start, queue or reject a call of another sidecar."""
        state = self._state
        call = self.without_age(event)
        # Its sender may ask for it until its own deadline, however old the call is taken to be here.
        deadline = state.now + event.call.budget
        if not call.repeatable and not self._received.receive(call.attempt_id, deadline=deadline, now=state.now):
            # It arrived before, or its sender was told that it never did: it doesn't run again, and is only asked for.
            follow = FollowCall(call.attempt_id, state.settings.incarnation, call.budget)
            return self.follow_arrived(FollowArrived(event.ticket, follow))
        # What was granted the link was admitted before it was sent.
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
        """Return the call with what is really left of its time: its bytes may have waited in a socket."""
        call, age = event.call, event.age
        if not age:
            return call
        target = call.latency_target if age < OLD_CALL_AGE else max(ZERO, call.latency_target - age)
        return call._replace(budget=call.budget - age, latency_target=target)

    def _check_server(self, call: ForwardCall | AnnounceBodyCall) -> LocalServer | ErrorKind:
        """Return the server that the call is for, or why it takes none."""
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
        """Return the server that takes the call, or why none does."""
        state = self._state
        server = self._check_server(call)
        if isinstance(server, ErrorKind):
            return server
        # A slow server whose queue is always empty stands idle between two arrivals, so short waits refuse nobody.
        wait = self.wait_for(rank=call.rank, due=state.now + call.latency_target)
        # Whoever comes back later finds the queue shorter; whoever waits past the target keeps others from theirs.
        long_wait = wait > self.latencies.expected(call) * SHORT_WAIT_SHARE
        if long_wait and wait + self.latencies.safe(call) > self.latencies.admission_limit(call):
            return ErrorKind.QUEUE_FULL
        return server

    def wait_for(self, *, rank: int, due: timedelta) -> timedelta:
        """Return how long until a request of this rank and due time would start, if it came now."""
        slots = [ZERO] * max(0, self._capacity - len(self._running))
        for number, started in self._running.items():
            expected = self.latencies.expected(self.runs[number].call)
            # A run over its usual time is taken to need some more of it.
            slots.append(max(expected - (self._state.now - started), expected * OVERTIME_SHARE))
        heapq.heapify(slots)
        for queued in sorted(self._queue):
            if (queued.rank, queued.due) > (rank, due):
                break
            # What stands before it takes the slots as they come free.
            heapq.heapreplace(slots, slots[0] + self.latencies.expected(self.runs[queued.number].call))
        return slots[0]

    def load(self) -> int:
        """Return how many requests run on the server or are queued for it."""
        return len(self._running) + len(self._queue)

    # -- answers to other sidecars -----------------------------------------------------------------------------------

    def follow_arrived(self, event: FollowArrived) -> None:
        """Answer what became of an attempt, as soon as that is known."""
        call = event.call
        if (run := self._by_attempt.get(call.attempt_id)) is not None:
            run.tickets.append(event.ticket)
            return
        answer = self._received.answer_of(call.attempt_id)
        if answer is None:
            # Another incarnation of this sidecar can't know what the one it was sent to did.
            same_incarnation = call.incarnation == self._state.settings.incarnation
            if same_incarnation and self._received.bar(call.attempt_id, now=self._state.now):
                answer = self._without_run(call.attempt_id, NOT_RUN, ErrorKind.UNREACHABLE)
            else:
                answer = self._without_run(call.attempt_id, UNKNOWN, ErrorKind.SILENT)
        self._state.out.append(AnswerForward(event.ticket, answer))

    def abandon_arrived(self, event: AbandonArrived) -> None:
        """Drop what waits for a client that has left, cancel what runs for it, and start the next."""
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
        """Return an answer that holds no server's answer."""
        return ForwardAnswer(attempt_id, outcome, str(kind), load=self.load(), capacity=self._capacity)

    def _reject(self, tickets: Sequence[int], call: ForwardCall, kind: ErrorKind) -> None:
        self._answer(tickets, call, self._without_run(call.attempt_id, NOT_RUN, kind))

    def _answer(self, tickets: Sequence[int], call: ForwardCall, answer: ForwardAnswer) -> None:
        """Answer all who wait for the attempt, and keep the answer for a sender whose connection breaks just now."""
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
        """Return the server for a queued run, or why it won't be started any more."""
        state = self._state
        server = state.server
        # What was queued for a server that leaves ends before its last moment; what can't be in time, now.
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
        """Reject what can no longer be done now, not when a slot comes free; then start what can be."""
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
            # A full server's word for "not run" says nothing of how long its runs take.
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
        """Pass on that the server gave no answer, and start the next run."""
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
            # Nobody listens there any more: no need to wait until its health report expires.
            state.mark_server_gone()
        outcome = NOT_RUN if event.unsent else UNKNOWN
        told_kind = ErrorKind.NO_SERVER if kind == ErrorKind.UNREACHABLE else kind
        self._answer(run.tickets, run.call, self._without_run(run.call.attempt_id, outcome, told_kind))
        self._start_next()

    def tick(self) -> None:
        """Notice that the server has fallen silent, and reject what can't be done in time any more."""
        self._state.expire_server()
        if self._queue:
            self._review_queue()
        self.bodies.tick()
