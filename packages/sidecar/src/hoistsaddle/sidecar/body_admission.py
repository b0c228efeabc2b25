"""Admission of large bodies: each is announced before it is sent, and granted the link in its turn or refused at once.

No byte of a body that is refused here has been sent.
"""

import heapq
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.core_state import CoreState, LocalServer
from hoistsaddle.rpc.messages import AnnounceBodyAnswer, AnnounceBodyCall
from hoistsaddle.sidecar.latency import LatencyEstimates
from hoistsaddle.sidecar.link_schedule import LinkSchedule
from hoistsaddle.sidecar.messages import AnswerBodyAnnouncement, BodyAnnounced

# A wait shorter than this share of the expected run time is no reason for a refusal.
SHORT_WAIT_SHARE = 0.25
# After this time without a refusal the link counts as free again.
LINK_FREE_DELAY = timedelta(seconds=1)
# Returns the local server if it can accept a call, or why it can't.
ServerCheck = Callable[[AnnounceBodyCall], LocalServer | ErrorKind]
# Returns how long a call of this rank and due time would wait for the local server if it arrived now.
ServerWait = Callable[[int, timedelta], timedelta]


class _Waiting(NamedTuple):
    """An announced body's entry in the queue for the link; the smallest entry is granted first."""

    rank: int
    due: timedelta
    number: int


class _Announced(NamedTuple):
    """An announced body that waits for the link."""

    ticket: int
    call: AnnounceBodyCall
    deadline: timedelta


class BodyAdmission:
    """Owns the queue of bodies that wait for this machine's link."""

    def __init__(
        self,
        *,
        state: CoreState,
        link: LinkSchedule,
        latencies: LatencyEstimates,
        check_server: ServerCheck,
        server_wait: ServerWait,
    ) -> None:
        """Start without announced bodies.

        Args:
            state: the state of the core, which collects the commands.
            link: the schedule of this machine's link.
            latencies: the latency estimates for the local server.
            check_server: says whether the local server can accept a call.
            server_wait: says how long a call would wait for the local server.
        """
        self._state = state
        self.link = link
        self._latencies = latencies
        self._check_server = check_server
        self._server_wait = server_wait
        self._queue: list[_Waiting] = []
        # The queued bodies by their number.
        self._announced: dict[int, _Announced] = {}
        # When a body was last refused because the link was full; None while the link counts as free.
        self._refused_at: timedelta | None = None

    def announced(self, event: BodyAnnounced) -> None:
        """Grant, queue or refuse an announced body."""
        call, now = event.call, self._state.now
        refusal = self._refusal(call)
        if refusal is ErrorKind.LINK_FULL:
            self._link_refused()
        if refusal is not None:
            return self._refuse(event.ticket, call.attempt_id, refusal)
        number = self._state.next_number()
        self._announced[number] = _Announced(event.ticket, call, now + call.budget)
        heapq.heappush(self._queue, _Waiting(call.rank, now + call.latency_target, number))
        return self.tick()

    def arrived(self, attempt_id: str) -> bool:
        """Handle the arrival of a body; False if it had no grant."""
        granted = self.link.arrived(attempt_id, now=self._state.now)
        if granted:
            self.tick()
        return granted

    def abandon(self, attempt_id: str) -> bool:
        """Drop a body that won't be sent, whether it is queued or granted; False if it isn't known."""
        waiting = next((each for each in self._announced.items() if each[1].call.attempt_id == attempt_id), None)
        if waiting is None:
            return self.link.cancelled(attempt_id, now=self._state.now)
        number, announced = waiting
        del self._announced[number]
        self._queue = [each for each in self._queue if each.number != number]
        heapq.heapify(self._queue)
        self._refuse(announced.ticket, attempt_id, ErrorKind.SILENT)
        return True

    def idle(self) -> bool:
        """Whether no body is queued or in flight."""
        return not self._queue and self.link.idle()

    def tick(self) -> None:
        """Grant the link to the next bodies, and refuse those that would be late or whose server is unavailable."""
        now = self._state.now
        self.link.expire(now)
        if self._refused_at is not None and now - self._refused_at > LINK_FREE_DELAY:
            self._refused_at = None
            self._announce("link free")
        while self._queue:
            number = self._queue[0].number
            announced = self._announced[number]
            call = announced.call
            server = self._check_server(call)
            late = now + self._needed(call) > announced.deadline
            if not late and isinstance(server, LocalServer) and not self.link.is_free(now):
                return
            heapq.heappop(self._queue)
            del self._announced[number]
            if isinstance(server, ErrorKind):
                self._refuse(announced.ticket, call.attempt_id, server)
            elif late:
                self._refuse(announced.ticket, call.attempt_id, ErrorKind.BUDGET_SPENT)
            else:
                rate = self.link.grant(call.attempt_id, call.body_octets, now=now)
                answer = AnnounceBodyAnswer("", round(rate), self._link_wait())
                self._state.out.append(AnswerBodyAnnouncement(announced.ticket, answer))

    def _duration(self, octets: int) -> timedelta:
        return self.link.duration(octets, now=self._state.now)

    def _needed(self, call: AnnounceBodyCall) -> timedelta:
        """Return the expected time of a body's transfer and its run."""
        return self._duration(call.body_octets) + self._latencies.expected(call)

    def _refusal(self, call: AnnounceBodyCall) -> ErrorKind | None:
        """Return why a body must not be sent, or None."""
        server = self._check_server(call)
        if isinstance(server, ErrorKind):
            return server
        due = self._state.now + call.latency_target
        link_wait = self._link_wait(before=(call.rank, due))
        if link_wait + self._needed(call) > call.budget:
            return ErrorKind.LINK_FULL
        arrives_in = link_wait + self._duration(call.body_octets)
        server_wait = self._server_wait(call.rank, due)
        # A body isn't refused for its own long transfer, only if waiting for others would make it late.
        long_wait = max(link_wait, server_wait) > self._latencies.expected(call) * SHORT_WAIT_SHARE
        in_time = max(arrives_in, server_wait) + self._latencies.safe(call) <= self._latencies.admission_limit(call)
        if in_time or not long_wait:
            return None
        return ErrorKind.LINK_FULL if arrives_in >= server_wait else ErrorKind.QUEUE_FULL

    def _link_wait(self, *, before: tuple[int, timedelta] | None = None) -> timedelta:
        """Return how long the link is taken by granted bodies and by those queued before this rank and due time."""
        octets = sum(
            self._announced[waiting.number].call.body_octets
            for waiting in self._queue
            if before is None or (waiting.rank, waiting.due) <= before
        )
        return self.link.wait(self._state.now) + self._duration(octets)

    def _refuse(self, ticket: int, attempt_id: str, kind: ErrorKind) -> None:
        link_wait = self._link_wait() if self._queue or not self.link.idle() else ZERO
        self._state.out.append(AnswerBodyAnnouncement(ticket, AnnounceBodyAnswer(str(kind), 0, link_wait)))

    def _link_refused(self) -> None:
        """Record the time of a refusal for a full link, and an event at the first one."""
        if self._refused_at is None:
            self._announce("link full")
        self._refused_at = self._state.now

    def _announce(self, kind: str) -> None:
        self._state.announce(
            kind,
            waiting=len(self._queue),
            wait_milliseconds=round(self._link_wait().total_seconds() * 1000),
            bytes_per_second=round(self.link.rate(self._state.now)),
        )
