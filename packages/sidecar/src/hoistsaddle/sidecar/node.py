"""The mesh node of a sidecar: feeds events to its core and executes the core's commands, without the HTTP listeners."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

import msgspec
from loguru import logger
from returns.result import Result, Success

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind, MeshError, NoLeader
from hoistsaddle.common.settings import SidecarSettings
from hoistsaddle.membership.distribution_tree import select_parents
from hoistsaddle.membership.member import MemberTimings
from hoistsaddle.proxy.core_state import CoreSettings
from hoistsaddle.proxy.freeze_detector import FROZEN_GAP
from hoistsaddle.proxy.mesh_node import MeshNode, NodeTimings
from hoistsaddle.proxy.messages import Announce, Count, ReportHealth, StopRequested, SubmitHold
from hoistsaddle.rpc.call_context import call_age
from hoistsaddle.rpc.messages import (
    AbandonCall,
    AnnounceBodyAnswer,
    AnnounceBodyCall,
    ClaimQueryAnswer,
    ClaimQueryCall,
    FollowCall,
    ForwardAnswer,
    ForwardCall,
    PollAnswer,
)
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.sidecar.abandoned_bodies import AbandonedBodies
from hoistsaddle.sidecar.arrivals import ArrivalRecord
from hoistsaddle.sidecar.claim_records import MAX_KEPT_BYTES
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.core_prober import CoreProber
from hoistsaddle.sidecar.errors import server_answer_missing
from hoistsaddle.sidecar.messages import (
    Abandon,
    AbandonArrived,
    AnnounceBody,
    AnswerAbandon,
    AnswerBodyAnnouncement,
    AnswerClaimQuery,
    AnswerForward,
    BodyAnnounced,
    BodyAnnouncementAnswered,
    CancelRun,
    ClaimQueryAnswered,
    ClaimQueryArrived,
    CloseRequested,
    Follow,
    FollowArrived,
    Followed,
    ForwardAnswered,
    ForwardArrived,
    ForwardFailed,
    ForwardRequest,
    GraceExpired,
    HealthReported,
    QueryClaim,
    Reply,
    RequestArrived,
    RunOnServer,
    ServerFailed,
    ServerSignedOff,
)
from hoistsaddle.statemachine.state import GONE, READY
from hoistsaddle.statemachine.view import View

# The share of its grace period for which a stopping sidecar accepts requests while its clients still send some. The
# rest is for finishing them: a platform may send it clients to the end, and their requests must not be cut off.
OPEN_SHARE = 0.55
CLAIM_QUERY_TIMEOUT = milliseconds(400)
# A target that doesn't receive the call within this keeps the attempt until its deadline.
ABANDON_TIMEOUT = milliseconds(400)
# Below the second that a server waits for the acknowledgement of its shutdown.
LEAVE_RECORD_TIMEOUT = milliseconds(800)
FAN_OUT = 8
# The links of the tree's roots have far more bandwidth than a sidecar's: a root serves a zone of this size directly.
ROOT_FAN_OUT = 24
BYTES_PER_MEGABIT = 125_000
# The share of the memory for request and answer data in which answers to requests with keys are kept.
KEPT_ANSWERS_SHARE = 0.25
# Runs a request on the local server and returns the event with its outcome.
Runner = Callable[[RunOnServer], Awaitable[tuple]]


class SidecarNode(MeshNode):
    """A sidecar as a member of the mesh."""

    timings = NodeTimings(
        long_poll=milliseconds(300),
        poll_timeout=milliseconds(800),
        health_interval=timedelta(seconds=1),
        tick=milliseconds(20),
        max_same_answers=1,
        member=MemberTimings(
            probe_interval=timedelta(seconds=1),
            probe_timeout=milliseconds(500),
            indirect_probe_timeout=milliseconds(900),
            suspicion_timeout=timedelta(seconds=2),
            seed_interval=20,
            retransmit_limit=6,
        ),
    )
    core: SidecarCore
    # Counts bodies of requests that go on without their client; None where memory is not limited.
    abandoned_bodies: AbandonedBodies | None = None

    def __init__(self, *, settings: SidecarSettings, runtime: Runtime, serve: Runner) -> None:
        """Start without a configuration.

        Args:
            settings: the settings of the process.
            runtime: provides the clock, random numbers and connections.
            serve: runs a request on the local server.
        """
        self._serve = serve
        self.sidecar_settings = settings
        # The parents in the distribution tree depend on the view alone: computed once per view, not with each poll.
        self._parents_of: View | None = None
        self._parent_addresses: list[str] = []
        # Tasks of the runs on the local server, by run number.
        self._run_tasks: dict[int, asyncio.Task] = {}
        # When the last client request arrived.
        self.last_request_at = runtime.now()
        super().__init__(settings=settings, runtime=runtime)
        self._arrivals = ArrivalRecord(counters=self.counters, now=runtime.now())

    def _make_core(self, settings: CoreSettings) -> SidecarCore:
        own = self.sidecar_settings
        return SidecarCore(
            settings=settings,
            seed=self.runtime.random,
            now=self.runtime.now(),
            service=own.service,
            server_address=own.server,
            drain_timeout=timedelta(seconds=own.drain_seconds),
            retry_percent=own.further_percent,
            retry_margin=own.further_margin,
            key_lifetime=timedelta(seconds=own.key_seconds),
            max_configuration_age=timedelta(seconds=own.apply_seconds),
            link_bytes_per_second=own.link_megabits * BYTES_PER_MEGABIT,
            max_kept_bytes=_max_kept_bytes(own.memory_megabytes),
        )

    async def start(self) -> None:
        """Listen for mesh calls, and start polling, ticks, health reports and probing of an unresponsive core."""
        await super().start()
        prober = CoreProber(
            runtime=self.runtime,
            counters=self.counters,
            core=self.core,
            freshness=self.core.freshness,
            poll=lambda address: self.poller.poll_once(address, within=self.timings.poll_timeout),
        )
        self.tasks.start("core prober", prober.run)

    def _poll_refused(self, address: str, refusal: PollAnswer, sent: timedelta) -> None:
        """Handle a refused poll: a core machine with this configuration but without a lease has lost its majority.

        A core machine that has only just started has no configuration yet, and its refusal proves nothing.
        """
        view = self.core.view
        is_root = any(node.kind == "bourse" and node.address == address for node in view.nodes.values())
        if is_root and refusal.error == ErrorKind.LEASE_LAPSED and refusal.revision >= view.revision:
            self.core.freshness.core_absent(sent)

    async def handle_request(self, make: Callable[[int], RequestArrived]) -> Reply:
        """Pass a client's request to the core, and return its final response.

        Args:
            make: returns the request's event for a ticket.
        """
        self.last_request_at = self.runtime.now()
        ticket, future = self.open_ticket()
        request = make(ticket)._replace(unread=self.freezes.unread())
        self.feed(request)
        try:
            return await self.final_answer(ticket, future)
        except asyncio.CancelledError:
            if self.abandoned_bodies is not None and ticket in self.core.ingress.requests.requests:
                self.abandoned_bodies.add(ticket, len(request.body))
            raise

    def feed(self, event: tuple) -> None:
        """Pass an event to the core, and execute the commands that it returns."""
        for command in self.core.handle(event, now=self.runtime.now()):
            match command:
                case (
                    Reply(ticket=ticket)
                    | AnswerForward(ticket=ticket)
                    | AnswerClaimQuery(ticket=ticket)
                    | AnswerAbandon(ticket=ticket)
                    | AnswerBodyAnnouncement(ticket=ticket)
                ):
                    self.close_ticket(ticket, command)
                case ForwardRequest():
                    self.spawn(self._forward_attempt(command, decided=self.runtime.now()))
                case AnnounceBody():
                    self.spawn(self._announce_body(command))
                case RunOnServer():
                    task = self.spawn(self._run_on_server(command, decided=self.runtime.now()))
                    self._run_tasks[command.number] = task
                    task.add_done_callback(partial(self._run_ended, command.number))
                case CancelRun(number=number):
                    if (running := self._run_tasks.pop(number, None)) is not None:
                        running.cancel()
                case Abandon():
                    self.spawn(self._abandon(command))
                case Follow():
                    self.spawn(self._follow(command))
                case SubmitHold():
                    self.spawn(self.submit_hold(command))
                case QueryClaim():
                    self.spawn(self._query_claim(command))
                case ReportHealth():
                    self.health.due.set()
                case Count(name=name):
                    self.counters.add(name)
                case Announce(kind=kind, detail=detail):
                    self.counters.record_event(kind, **detail)
        if self.abandoned_bodies is not None:
            self.abandoned_bodies.release_ended(self.core.ingress.requests.requests)

    def _run_ended(self, number: int, _: asyncio.Task) -> None:
        self._run_tasks.pop(number, None)

    async def answer(self, message: tuple) -> tuple | None:
        """Answer a mesh call; None if its type isn't known."""
        match message:
            case ForwardCall():
                return await self._answer_forward(message)
            case AnnounceBodyCall():
                ticket, future = self.open_ticket()
                self.feed(BodyAnnounced(ticket, message))
                return (await future).answer
            case FollowCall():
                ticket, future = self.open_ticket()
                self.feed(FollowArrived(ticket, message))
                return (await future).answer
            case AbandonCall():
                ticket, future = self.open_ticket()
                self.feed(AbandonArrived(ticket, message))
                return (await future).answer
            case ClaimQueryCall():
                ticket, future = self.open_ticket()
                self.feed(ClaimQueryArrived(ticket, message))
                return (await future).answer
        return await super().answer(message)

    async def _answer_forward(self, call: ForwardCall) -> ForwardAnswer:
        age = self._call_age()
        # The first call on a connection has only an upper bound of its age, which says nothing about the link.
        known_age = timedelta() if call_age().first else age
        self._arrivals.arrived(call, age=known_age, now=self.runtime.now())
        ticket, future = self.open_ticket()
        self.feed(ForwardArrived(ticket, call, age))
        answer = (await future).answer
        self._arrivals.answered(call, answer)
        return answer

    def _call_age(self) -> timedelta:
        """Return the maximum age of the call that is being answered."""
        known = call_age()
        age = timedelta(seconds=known.age)
        return age + self.freezes.unread() if known.first else age

    async def report_server(self, report: HealthReported | ServerSignedOff) -> MeshError | None:
        """Handle a report of the local server.

        Its shutdown takes effect here at once, but may be acknowledged only once the log has recorded it: after a
        restart, a sidecar assumes the server's state from the log.

        Args:
            report: the report of the server.

        Returns:
            Why the report must not be acknowledged, or None.
        """
        self.feed(report)
        if isinstance(report, HealthReported) and report.state == READY:
            return None
        # Before the first configuration it isn't known here whether the log lists this server.
        known = self.core.server is not None or self.core.view.items is not None
        if known and await self.health.wait_recorded(self.core.serial, within=LEAVE_RECORD_TIMEOUT):
            return None
        return NoLeader("The core has not recorded the server's shutdown.", remedy="Report it again.")

    async def _forward_attempt(self, command: ForwardRequest, *, decided: timedelta) -> None:
        self.counters.add(f"sends.{command.call.service_name}")

        def still() -> bool:
            # A call decided before this process was frozen isn't sent: its budget counts from the decision.
            return self.runtime.now() - decided <= FROZEN_GAP

        sent = self.runtime.rpc_client.call(
            command.address, command.call, within=command.within, still=still, rate=command.rate
        )
        match await sent:
            case Success(ForwardAnswer() as answer):
                self.feed(ForwardAnswered(command.number, answer))
            case result:
                self.counters.add("sends.missed")
                self.feed(ForwardFailed(command.number, _was_unreachable(result)))

    async def _announce_body(self, command: AnnounceBody) -> None:
        self.counters.add("bodies.announced")
        match await self.runtime.rpc_client.call(command.address, command.call, within=command.within):
            case Success(AnnounceBodyAnswer() as answer):
                self.counters.add(f"bodies.refused.{answer.error}" if answer.error else "bodies.granted")
                self.feed(BodyAnnouncementAnswered(command.number, answer))
            case _:
                self.counters.add("bodies.unanswered")
                self.feed(BodyAnnouncementAnswered(command.number, None))

    async def _run_on_server(self, command: RunOnServer, *, decided: timedelta) -> None:
        self.counters.add("runs")
        # The process may have been frozen since the decision, so that time is subtracted.
        within = command.within - (self.runtime.now() - decided)
        try:
            outcome = await self._serve(command._replace(within=within))
        except Exception as problem:
            # Without an outcome the run would take its place among the server's requests for good.
            logger.opt(exception=problem).error("run {} on the server failed", command.number)
            outcome = ServerFailed(command.number, False, server_answer_missing(ErrorKind.ANSWER_BROKEN))
        self.feed(outcome)

    async def _follow(self, command: Follow) -> None:
        self.counters.add("sends.followed")
        match await self.runtime.rpc_client.call(command.address, command.call, within=command.within):
            case Success(ForwardAnswer() as answer):
                self.counters.add(f"sends.followed.{answer.outcome}")
                self.feed(Followed(command.number, answer))
            case result:
                self.feed(Followed(command.number, None, _was_unreachable(result)))

    async def _abandon(self, command: Abandon) -> None:
        self.counters.add("sends.abandoned")
        await self.runtime.rpc_client.call(command.address, command.call, within=ABANDON_TIMEOUT)

    async def _query_claim(self, command: QueryClaim) -> None:
        match await self.runtime.rpc_client.call(command.address, command.call, within=CLAIM_QUERY_TIMEOUT):
            case Success(ClaimQueryAnswer() as answer):
                self.feed(ClaimQueryAnswered(command.number, answer))
            case _:
                self.feed(ClaimQueryAnswered(command.number, None))

    def _parents(self) -> list[str]:
        """Return the parents to poll, those of the own zone first: an update then crosses zones only to each root."""
        view = self.core.view
        if self._parents_of is view:
            return self._parent_addresses
        zone = self.settings.zone
        nodes = [node for node in view.nodes.values() if node.state != GONE]
        roots = [(node.node, node.address) for node in nodes if node.kind == "bourse"]
        near = [(node.node, node.address) for node in nodes if node.kind == "bourse" and node.zone == zone]
        proxies = [
            (node.node, node.address) for node in nodes if node.kind == "stall" and (not near or node.zone == zone)
        ]
        parents = select_parents(
            node=self.settings.name, proxies=proxies, roots=near or roots, fan_out=FAN_OUT, root_fan_out=ROOT_FAN_OUT
        )
        parents += [address for _, address in roots if address not in parents]
        self._parents_of = view
        self._parent_addresses = parents + [seed for seed in self.settings.seeds if seed not in parents]
        return self._parent_addresses

    def apply_settings(self, settings: SidecarSettings) -> None:
        """Apply the settings that may change at runtime: seeds, retry limits, key lifetime, and the time limits."""
        self.counters.record_event("params revised", seeds=settings.seeds)
        # The process's own addresses are in use by its listeners and don't change until the next start.
        self.settings = self.sidecar_settings = msgspec.structs.replace(
            self.sidecar_settings,
            seeds=settings.seeds,
            further_percent=settings.further_percent,
            further_margin=settings.further_margin,
            key_seconds=settings.key_seconds,
            grace_seconds=settings.grace_seconds,
            drain_seconds=settings.drain_seconds,
            apply_seconds=settings.apply_seconds,
        )
        self.member.seeds = settings.seeds
        core = self.core
        core.ingress.retries.set_limits(percent=settings.further_percent, margin=settings.further_margin)
        core.ingress.keys.key_lifetime = timedelta(seconds=settings.key_seconds)
        core.freshness.max_age = timedelta(seconds=settings.apply_seconds)
        core.upstream.drain_timeout = timedelta(seconds=settings.drain_seconds)

    async def wind_down(self, *, quiet: timedelta, most: timedelta) -> None:
        """Shut down gracefully: report not ready at once, but serve requests until none has arrived for a while.

        Args:
            quiet: how long there must have been no client request.
            most: the longest that this may take.
        """
        began = self.last_request_at = self.runtime.now()
        self.feed(StopRequested())
        # Other sidecars still reach the local server; only this sidecar's own clients must have gone elsewhere.
        while self.runtime.now() - began < most * OPEN_SHARE and not (
            self.runtime.now() - self.last_request_at >= quiet and not self.core.pending_count()
        ):
            await asyncio.sleep(self.timings.tick.total_seconds())
        self.feed(CloseRequested())
        while self.runtime.now() - began < most and not self.core.idle():
            await asyncio.sleep(self.timings.tick.total_seconds())
        if count := self.core.pending_count():
            self.counters.record_event("requests ended with the grace", count=count)
            self.feed(GraceExpired())


def _max_kept_bytes(memory_megabytes: float) -> int:
    """Return the most bytes of answers that a process with this memory keeps for repeated requests."""
    most = ByteBudget(memory_megabytes=memory_megabytes).max_bytes
    return MAX_KEPT_BYTES if most is None else min(MAX_KEPT_BYTES, int(most * KEPT_ANSWERS_SHARE))


def _was_unreachable(result: Result) -> bool:
    """Whether a call failed before anything was sent."""
    return not isinstance(result, Success) and result.failure().kind == ErrorKind.UNREACHABLE
