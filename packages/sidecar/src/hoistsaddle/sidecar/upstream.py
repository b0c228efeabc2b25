"""The target's side: what runs on the server beside this proxy, what waits for it, and what is turned away at once.

Nobody else reaches this server, so this side alone decides how much it works on at a time. Waiting work is ordered by
rank and then by when it is due. Work that can't be done in its time is refused the moment that is known.
"""

import heapq
from collections.abc import Sequence
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.core_state import CoreState, LocalServer
from hoistsaddle.proxy.messages import ANSWERED, NOT_RUN, UNKNOWN
from hoistsaddle.rpc.messages import AbandonAnswer, FollowCall, ForwardAnswer, ForwardCall
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

# What a server of unknown pace is taken to need for one request, as a share of the request's aim.
FIRST_GUESS = 0.33
# The newest run's share in what is expected of the next, once there were a few.
WEIGHT = 0.1
# By how many of its usual deviations a run may outlast its usual time and still be in time.
MARGIN = 1.0
# A wait this short, as a share of the run itself, is no reason to turn anybody away: a slow server whose line is
# always empty stands idle between two arrivals.
SHORT_WAIT = 0.25
# Runs this much shorter than the usual one here are the calls of other servers, whose own work is lost with them.
# They hardly keep anybody, so they may use their whole budget.
SHORT_RUN = 0.5
BUDGET_SHARE = 0.8
# What a run over its usual time is taken to need still, as a share of that time.
OVERTIME = 0.15
# A waiting run is given up this long before its time is over: the word that it didn't run must reach its client's
# sidecar before that one has to call it unknown. Two ticks, and a way between two regions.
NOTICE = milliseconds(80)
# A call this old lay somewhere, and is due that much sooner.
LAIN = milliseconds(400)


class _Run:
    def __init__(self, *, ticket: int, call: ForwardCall, now: timedelta) -> None:
        # Who is to be answered: the call, and entries that asked what became of it.
        self.tickets = [ticket]
        self.call = call
        self.arrived = now
        self.deadline = now + call.budget
        self.started: timedelta | None = None


class LatencyEstimate:
    """How long runs of one entry take here: their mean, and how far they lie from it."""

    def __init__(self) -> None:
        self.mean = ZERO
        self.deviation = ZERO
        self.count = 0

    def learn(self, took: timedelta) -> None:
        self.count += 1
        if self.count == 1:
            self.mean, self.deviation = took, took / 3
            return
        # The first few count alike: a mean that begins with one odd run would stay odd for long.
        weight = max(WEIGHT, 1 / self.count)
        self.deviation += (abs(took - self.mean) - self.deviation) * weight
        self.mean += (took - self.mean) * weight


class Waiting(NamedTuple):
    rank: int
    due: timedelta
    deadline: timedelta
    number: int


class UpstreamSide(CoreState):
    def __init__(self, **needs) -> None:
        super().__init__(**needs)
        self.room = 1
        self.runs: dict[int, _Run] = {}
        self.running: set[int] = set()
        self.line: list[Waiting] = []
        # Entry to the time its runs take here.
        self.latencies: dict[str, LatencyEstimate] = {}
        # The same over all entries.
        self.usual = LatencyEstimate()
        self.drain_span = timedelta(seconds=2)
        self.closed_at: timedelta | None = None
        # Of the attempts that may not be repeated, and which run or waiting call is which.
        self.taken = ReceivedAttempts()
        self.by_send: dict[str, _Run] = {}

    # -- the own server ----------------------------------------------------------------------------------------------

    def _health_reported(self, event: HealthReported) -> None:
        before = self.server
        was = self.server_state()
        self.server = LocalServer(event.service, event.instance, event.address, event.state, self.now)
        self.room = max(1, event.room)
        if event.state == READY:
            self.closed_at = None
        elif self.closed_at is None or (before is not None and before.instance != event.instance):
            self.closed_at = self.now
        if before is None or before[:4] != self.server[:4] or was != self.server_state():
            self._announce("server told", service=event.service, instance=event.instance, state=event.state)
            self._report()
        # More room may have come, or those that wait may wait for a life that is over.
        self._sift()

    def server_state(self) -> str:
        """Its own word while that is young. A proxy that stops says nothing of its server: it is back in a moment."""
        if self.server is None or self.now - self.server.heard > self.settings.health_span:
            return GONE
        return self.server.state

    def assume_server(self, server: LocalServer) -> None:
        """After a restart: the one the log names here, until its own next word. A wrong guess runs nothing."""
        if self.server is None:
            self.server = server
            self._report()

    # -- what is expected --------------------------------------------------------------------------------------------

    def _span_of(self, call: ForwardCall) -> timedelta:
        pace = self.latencies.get(call.entry)
        return call.aim * FIRST_GUESS if pace is None else pace.mean

    def _safe_span_of(self, call: ForwardCall) -> timedelta:
        """A time that most of its runs keep within: admitted by the mean alone, half of a full line would be late."""
        pace = self.latencies.get(call.entry)
        return call.aim * FIRST_GUESS * 1.5 if pace is None else pace.mean + pace.deviation * MARGIN

    def wait_for(self, *, rank: int, due: timedelta) -> timedelta:
        """How long until a request of this rank and due time would start, if it came now."""
        slots = [ZERO] * max(0, self.room - len(self.running))
        for number in self.running:
            run = self.runs[number]
            span = self._span_of(run.call)
            # A run over its usual time is taken to need some more of it.
            slots.append(max(span - (self.now - run.started), span * OVERTIME))
        heapq.heapify(slots)
        for waiting in sorted(self.line):
            if (waiting.rank, waiting.due) > (rank, due):
                break
            # What stands before it takes the slots as they come free.
            heapq.heapreplace(slots, slots[0] + self._span_of(self.runs[waiting.number].call))
        return slots[0]

    def load(self) -> int:
        return len(self.running) + len(self.line)

    def _limit_of(self, call: ForwardCall) -> timedelta:
        """Within which time it must be likely to be done to be taken."""
        pace = self.latencies.get(call.entry)
        short = pace is not None and pace.mean <= self.usual.mean * SHORT_RUN
        return max(call.aim, call.budget * BUDGET_SHARE) if short else call.aim

    def _learn(self, run: _Run, took: timedelta) -> None:
        self.usual.learn(took)
        self.latencies.setdefault(run.call.entry, LatencyEstimate()).learn(took)

    # -- deals -------------------------------------------------------------------------------------------------------

    def _forward_arrived(self, event: ForwardArrived) -> None:
        call = self._aged(event)
        # Its entry may ask for it as long as its own words say, however old they are taken to be here.
        ends = self.now + event.call.budget
        if not call.repeatable and not self.taken.take(call.send, ends=ends, now=self.now):
            # It came before, or its entry was told that it never did: it doesn't run again, and is only asked for.
            return self._follow_arrived(
                FollowArrived(event.ticket, FollowCall(call.send, self.settings.incarnation, call.budget))
            )
        if (kind := self._refusal(call)) is not None:
            return self._turn_away((event.ticket,), call, kind)
        due = self.now + call.aim
        wait = self.wait_for(rank=call.rank, due=due)
        # Whoever comes back later finds it emptier; whoever waits here past the aim keeps others from theirs.
        if wait > self._span_of(call) * SHORT_WAIT and wait + self._safe_span_of(call) > self._limit_of(call):
            return self._turn_away((event.ticket,), call, ErrorKind.QUEUE_FULL)
        if len(self.line) >= self.settings.backlog:
            return self._turn_away((event.ticket,), call, ErrorKind.QUEUE_FULL)
        number = self._number()
        run = self.runs[number] = self.by_send[call.send] = _Run(ticket=event.ticket, call=call, now=self.now)
        if len(self.running) < self.room:
            return self._start(number, run)
        heapq.heappush(self.line, Waiting(call.rank, due, run.deadline, number))

    def _aged(self, event: ForwardArrived) -> ForwardCall:
        """The call with what is really left of its time: its words may have waited in a socket."""
        call, age = event.call, event.age
        if not age:
            return call
        # What a call gains or loses on an ordinary way says little of when it is due: judged by that, many would be
        # turned away on a quiet day that are in time after all.
        aim = call.aim if age < LAIN else max(ZERO, call.aim - age)
        return call._replace(budget=call.budget - age, aim=aim)

    def _refusal(self, call: ForwardCall) -> ErrorKind | None:
        if call.budget <= ZERO:
            return ErrorKind.BUDGET_SPENT
        server = self.server
        if server is None or self.server_state() == GONE:
            return ErrorKind.NO_SERVER
        if server.state != READY or self.closing:
            return ErrorKind.WINDING_DOWN
        if (call.target, call.service_name) != (self.settings.name, server.service):
            return ErrorKind.WRONG_INSTANCE
        if call.instance != server.instance:
            return ErrorKind.WRONG_INSTANCE
        return None

    def _turn_away(self, tickets: Sequence[int], call: ForwardCall, kind: ErrorKind) -> None:
        answer = ForwardAnswer(call.send, NOT_RUN, str(kind), load=self.load(), room=self.room)
        self._tell(tickets, call, answer)

    def _tell(self, tickets: Sequence[int], call: ForwardCall, answer: ForwardAnswer) -> None:
        """The attempt's end, to all who wait for it, and kept for an entry whose connection breaks just now."""
        self.by_send.pop(call.send, None)
        if not call.repeatable:
            self.taken.answered(answer, now=self.now)
        self._out += [AnswerForward(ticket, answer) for ticket in tickets]

    def _follow_arrived(self, event: FollowArrived) -> None:
        call = event.call
        if (run := self.by_send.get(call.send)) is not None:
            run.tickets.append(event.ticket)
            return
        answer = self.taken.answer_of(call.send)
        if answer is None:
            # Another life of this sidecar can't know what the one it went to did.
            never = call.life == self.settings.incarnation and self.taken.shut_out(call.send, now=self.now)
            outcome, kind = (NOT_RUN, ErrorKind.UNREACHABLE) if never else (UNKNOWN, ErrorKind.SILENT)
            answer = ForwardAnswer(call.send, outcome, str(kind), load=self.load(), room=self.room)
        self._out.append(AnswerForward(event.ticket, answer))

    def _abandoned(self, event: AbandonArrived) -> None:
        """Its client has left: what waits is dropped, what runs is broken off, and the next one takes its place."""
        run = self.by_send.get(event.call.send)
        known = run is not None and run.call.repeatable
        self._out.append(AnswerAbandon(event.ticket, AbandonAnswer(known)))
        if not known:
            return None
        number = next(found for found, each in self.runs.items() if each is run)
        del self.runs[number]
        if run.started is None:
            self.line = [each for each in self.line if each.number != number]
            heapq.heapify(self.line)
            return self._turn_away(run.tickets, run.call, ErrorKind.SILENT)
        self.running.discard(number)
        self._out.append(CancelRun(number))
        answer = ForwardAnswer(run.call.send, UNKNOWN, str(ErrorKind.SILENT), load=self.load(), room=self.room)
        self._tell(run.tickets, run.call, answer)
        self._next()

    def _start(self, number: int, run: _Run) -> None:
        run.started = self.now
        self.running.add(number)
        within = run.deadline - self.now
        self._out.append(RunOnServer(number, self.server.address, run.call, within))

    def _in_vain(self, run: _Run) -> ErrorKind | None:
        """Why a waiting run won't start any more."""
        # What was promised to a server that leaves ends before its last moment; what can't be in time, now.
        leaving = self.closed_at is not None and self.now - self.closed_at > self.drain_span * 0.7
        if leaving or self.server is None or self.server.instance != run.call.instance or self.server_state() == GONE:
            return ErrorKind.WINDING_DOWN
        needs = max(self._span_of(run.call) / 2, NOTICE)
        return ErrorKind.BUDGET_SPENT if self.now + needs > run.deadline else None

    def _next(self) -> None:
        while self.line and len(self.running) < self.room:
            number = heapq.heappop(self.line).number
            run = self.runs[number]
            if (kind := self._in_vain(run)) is not None:
                del self.runs[number]
                self._turn_away(run.tickets, run.call, kind)
                continue
            self._start(number, run)

    def _sift(self) -> None:
        """What can no longer be done is told so now, not when a slot comes free; then the rest goes on."""
        for each, kind in [(each, self._in_vain(self.runs[each.number])) for each in self.line]:
            if kind is not None:
                self.line.remove(each)
                run = self.runs.pop(each.number)
                self._turn_away(run.tickets, run.call, kind)
        heapq.heapify(self.line)
        self._next()

    def _served(self, event: ServerAnswered) -> None:
        run = self.runs.pop(event.number, None)
        if run is None:
            return
        self.running.discard(event.number)
        took = self.now - run.started
        if event.not_run:
            # A full server's word for "not run" says nothing of its pace.
            answer = ForwardAnswer(run.call.send, NOT_RUN, str(ErrorKind.SERVER_FULL), load=self.load(), room=self.room)
        else:
            if event.status < 500:
                self._learn(run, took)
            answer = ForwardAnswer(
                run.call.send, ANSWERED, "", event.status, event.headers, event.body, self.load(), self.room, took
            )
        self._tell(run.tickets, run.call, answer)
        self._next()

    def _serve_missed(self, event: ServerFailed) -> None:
        run = self.runs.pop(event.number, None)
        if run is None:
            return
        self.running.discard(event.number)
        if (
            event.unsent
            and event.error.kind == ErrorKind.UNREACHABLE
            and self.server is not None
            and self.server.instance == run.call.instance
            and self.server_state() != GONE
        ):
            # Nobody listens there any more: no need to wait until its health reports run out.
            self._silence()
        outcome = NOT_RUN if event.unsent else UNKNOWN
        kind = ErrorKind.NO_SERVER if event.error.kind == ErrorKind.UNREACHABLE else event.error.kind
        answer = ForwardAnswer(run.call.send, outcome, str(kind), load=self.load(), room=self.room)
        self._tell(run.tickets, run.call, answer)
        self._next()

    def _upstream_tick(self) -> None:
        if self.server is not None and self.server.state != GONE and self.server_state() == GONE:
            self._silence()
        if self.line:
            self._sift()
