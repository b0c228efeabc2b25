"""The node of a sidecar: carries out its core's commands, without the HTTP listeners."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

import msgspec
from returns.result import Result, Success

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
from hoistsaddle.sidecar.arrivals import ArrivalRecord
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.core_prober import CoreProber
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
    ServerSignedOff,
)
from hoistsaddle.statemachine.state import GONE, READY
from hoistsaddle.statemachine.view import View

# How much of its grace a stopping sidecar waits for its clients to stay away. The rest is for what it took by then: a
# platform that sends it clients to the end must not have them cut off.
OPEN_SHARE = 0.55
CLAIM_QUERY_TIMEOUT = milliseconds(400)
# Whoever doesn't hear within this that a client has left finds out by the attempt's deadline.
ABANDON_TIMEOUT = milliseconds(400)
# A server waits a second for the acknowledgement that it leaves.
LEAVE_RECORD_TIMEOUT = milliseconds(800)
FAN_OUT = 8
# The roots' links are far wider than a sidecar's: they feed a zone of this size themselves.
ROOT_FAN_OUT = 24
BYTES_PER_MEGABIT = 125_000
# Runs a request on the local server and returns the event that says what came of it.
Runner = Callable[[RunOnServer], Awaitable[tuple]]


class SidecarNode(MeshNode):
    """A sidecar, as far as the mesh sees it."""

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

    def __init__(self, *, settings: SidecarSettings, runtime: Runtime, serve: Runner) -> None:
        """Begin without a configuration.

        Args:
            settings: of the process.
            runtime: clock, chance and connections.
            serve: runs a request on the local server.
        """
        self._serve = serve
        self.sidecar_settings = settings
        # The tree's parents follow from the view alone: worked out anew with each view, not with each poll.
        self._parents_of: View | None = None
        self._parent_addresses: list[str] = []
        # What runs on the local server, by its number.
        self._serving: dict[int, asyncio.Task] = {}
        # When a client called last.
        self.asked_at = runtime.now()
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
        )

    async def start(self) -> None:
        """Listen for calls of the mesh, and begin to poll, tick, report, and look for the core when it is silent."""
        await super().start()
        prober = CoreProber(
            runtime=self.runtime,
            counters=self.counters,
            core=self.core,
            freshness=self.core.freshness,
            poll=lambda address: self.poller.poll_once(address, within=self.timings.poll_timeout),
        )
        self.tasks.append(asyncio.ensure_future(prober.run()))

    def _poll_refused(self, address: str, refusal: PollAnswer, sent: timedelta) -> None:
        """Take that a core machine which had this configuration has lost its own lease: there is no majority.

        One that has only just started holds none yet, and says nothing of the others.
        """
        view = self.core.view
        is_root = any(node.kind == "bourse" and node.address == address for node in view.nodes.values())
        if is_root and refusal.error == ErrorKind.LEASE_LAPSED and refusal.revision >= view.revision:
            self.core.freshness.core_absent(sent)

    async def handle_request(self, make: Callable[[int], RequestArrived]) -> Reply:
        """Pass a client's request to the core, and return its final answer.

        Args:
            make: gives the request's event under a ticket.
        """
        self.asked_at = self.runtime.now()
        ticket, future = self.open_ticket()
        self.feed(make(ticket)._replace(unread=self.freezes.unread()))
        return await self.final_answer(ticket, future)

    def feed(self, event: tuple) -> None:
        """Give the core an event, and carry out its commands."""
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
                    self._serving[command.number] = task
                    task.add_done_callback(partial(self._run_ended, command.number))
                case CancelRun(number=number):
                    if (running := self._serving.pop(number, None)) is not None:
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

    def _run_ended(self, number: int, _: asyncio.Task) -> None:
        self._serving.pop(number, None)

    async def answer(self, message: tuple) -> tuple | None:
        """Answer a call of the mesh; None if it isn't known."""
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
        # A connection's first call is as old as the connection at the most, which says nothing of the link.
        known_age = timedelta() if call_age().first else age
        self._arrivals.arrived(call, age=known_age, now=self.runtime.now())
        ticket, future = self.open_ticket()
        self.feed(ForwardArrived(ticket, call, age))
        answer = (await future).answer
        self._arrivals.answered(call, answer)
        return answer

    def _call_age(self) -> timedelta:
        """Return how old the call may be that is being answered."""
        known = call_age()
        age = timedelta(seconds=known.age)
        return age + self.freezes.unread() if known.first else age

    async def report_server(self, report: HealthReported | ServerSignedOff) -> MeshError | None:
        """Take a report of the local server.

        That it leaves is in force here at once. It may be acknowledged only once the log has it: a sidecar that starts
        after this one takes the server for what the log says.

        Args:
            report: what the server says.

        Returns:
            Why it may not be acknowledged, if so.
        """
        self.feed(report)
        if isinstance(report, HealthReported) and report.state == READY:
            return None
        # Before the first configuration, what the log says of this server is not known here.
        known = self.core.server is not None or self.core.view.items is not None
        if known and await self.health.wait_recorded(self.core.serial, within=LEAVE_RECORD_TIMEOUT):
            return None
        return NoLeader("The core has not recorded that the server leaves.", remedy="Report it again.")

    async def _forward_attempt(self, command: ForwardRequest, *, decided: timedelta) -> None:
        self.counters.add(f"sends.{command.call.service_name}")

        def still() -> bool:
            # Nothing goes out that was decided before a standstill of this process: its budget is as of then.
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
        # A standstill may lie between deciding and now.
        self.feed(await self._serve(command._replace(within=command.within - (self.runtime.now() - decided))))

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
        """Return the own zone's part of the tree first: updates cross between zones once for each zone's root."""
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
        """Apply what may change while the process runs: seeds, retry limits, key lifetime, grace and drain time."""
        self.counters.record_event("params revised", seeds=settings.seeds)
        # Its own addresses are where it listens: those stay until the next start.
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
        """Stop as planned: say so at once, go on with all that comes, and end once nothing has come for a while.

        Args:
            quiet: how long no client may have called.
            most: how long this may take at most.
        """
        began = self.asked_at = self.runtime.now()
        self.feed(StopRequested())
        # The local server goes on being reached from everywhere; only the own clients must stay away.
        while self.runtime.now() - began < most * OPEN_SHARE and not (
            self.runtime.now() - self.asked_at >= quiet and not self.core.pending_count()
        ):
            await asyncio.sleep(self.timings.tick.total_seconds())
        self.feed(CloseRequested())
        while self.runtime.now() - began < most and not self.core.idle():
            await asyncio.sleep(self.timings.tick.total_seconds())
        if count := self.core.pending_count():
            self.counters.record_event("requests ended with the grace", count=count)
            self.feed(GraceExpired())


def _was_unreachable(result: Result) -> bool:
    """Whether a call failed before anything was sent."""
    return not isinstance(result, Success) and result.failure().kind == ErrorKind.UNREACHABLE
