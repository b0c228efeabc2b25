"""A proxy's node with the sidecar's core: the same lines, tree, health reports and schedule, other requests."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import msgspec
from returns.result import Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.common.settings import SidecarSettings
from hoistsaddle.membership.distribution_tree import select_parents
from hoistsaddle.membership.member import MemberTimings
from hoistsaddle.proxy.messages import Announce, ReportHealth, StopRequested, SubmitHold
from hoistsaddle.proxy.node import FROZEN_GAP, ProxyNode
from hoistsaddle.rpc.call_context import call_age
from hoistsaddle.rpc.messages import (
    AbandonCall,
    ClaimQueryAnswer,
    ClaimQueryCall,
    FollowCall,
    ForwardAnswer,
    ForwardCall,
)
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.messages import (
    Abandon,
    AbandonArrived,
    AnswerAbandon,
    AnswerClaimQuery,
    AnswerForward,
    CancelRun,
    ClaimQueryAnswered,
    ClaimQueryArrived,
    ClientDisconnected,
    CloseRequested,
    Follow,
    FollowArrived,
    Followed,
    ForwardAnswered,
    ForwardArrived,
    ForwardFailed,
    ForwardRequest,
    GraceExpired,
    QueryClaim,
    Reply,
    RequestArrived,
    RunOnServer,
)
from hoistsaddle.statemachine.state import GONE
from hoistsaddle.statemachine.view import View

# How much of its last moments a stopping proxy waits for its door to fall quiet. The rest is for what it took by then:
# a platform that sends it clients to the end must not have them cut off.
OPEN_SHARE = 0.55
RECALL_SPAN = milliseconds(400)
# Whoever doesn't hear within this that a client has left finds out by the attempt's deadline.
ABANDON_SPAN = milliseconds(400)
FAN_OUT = 8
# The roots' links are far wider than a sidecar's: they feed a zone of this size themselves.
ROOT_FAN_OUT = 24
Server = Callable[[RunOnServer], Awaitable[tuple]]


class SidecarNode(ProxyNode):
    poll_hold = milliseconds(300)
    health_every = timedelta(seconds=1)
    poll_span = milliseconds(800)
    tick = milliseconds(20)
    same_polls = 1
    member_timings = MemberTimings(
        probe_interval=timedelta(seconds=1),
        probe_timeout=milliseconds(500),
        indirect_probe_timeout=milliseconds(900),
        suspicion_timeout=timedelta(seconds=2),
        seed_interval=20,
        retransmit_limit=6,
    )

    def __init__(self, *, settings: SidecarSettings, runtime: Runtime, serve: Server) -> None:
        self.serve = serve
        self.sidecar_settings = settings
        # The tree's places follow from the view alone: looked up anew with each view, not with each poll.
        self.parents_of: View | None = None
        self.parents: list[str] = []
        # What runs on the own server, by its number.
        self.serving: dict[int, asyncio.Task] = {}
        # When the door was last called.
        self.asked_at = runtime.now()
        super().__init__(settings=settings, runtime=runtime, run_server=serve)

    def _make_core(self) -> Any:
        settings = self.sidecar_settings
        return SidecarCore(
            settings=self._core_settings_view(),
            seed=self.runtime.random,
            now=self.runtime.now(),
            server=settings.server,
            drain_span=timedelta(seconds=settings.drain_seconds),
            further_percent=settings.further_percent,
            further_margin=settings.further_margin,
            key_span=timedelta(seconds=settings.key_seconds),
            service=settings.service,
        )

    async def handle_request(self, make: Callable[[int], RequestArrived]) -> Reply:
        self.asked_at = self.runtime.now()
        ticket, future = self._ticket()
        self.feed(make(ticket)._replace(unread=self.unread()))
        try:
            return await future
        except asyncio.CancelledError:
            self.feed(ClientDisconnected(ticket))
            raise

    def feed(self, event: tuple) -> None:
        for command in self.core.handle(event, now=self.runtime.now()):
            match command:
                case (
                    Reply(ticket=ticket)
                    | AnswerForward(ticket=ticket)
                    | AnswerClaimQuery(ticket=ticket)
                    | AnswerAbandon(ticket=ticket)
                ):
                    future = self.answers.pop(ticket, None)
                    if future is not None and not future.done():
                        future.set_result(command)
                case ForwardRequest():
                    self._spawn(self._forward_attempt(command, decided=self.runtime.now()))
                case RunOnServer():
                    task = self._spawn(self._run_on_server(command, decided=self.runtime.now()))
                    self.serving[command.number] = task
                    task.add_done_callback(lambda _, number=command.number: self.serving.pop(number, None))
                case CancelRun(number=number):
                    if (task := self.serving.pop(number, None)) is not None:
                        task.cancel()
                case Abandon():
                    self._spawn(self._abandon(command))
                case Follow():
                    self._spawn(self._follow(command))
                case SubmitHold():
                    self._spawn(self._ask_hold(command))
                case QueryClaim():
                    self._spawn(self._recall(command))
                case ReportHealth():
                    self.health_due.set()
                case Announce(kind=kind, detail=detail):
                    self.counters.record_event(kind, **detail)

    async def answer(self, message: tuple) -> tuple | None:
        match message:
            case ForwardCall():
                ticket, future = self._ticket()
                self.feed(ForwardArrived(ticket, message, self._age()))
                return (await future).answer
            case FollowCall():
                ticket, future = self._ticket()
                self.feed(FollowArrived(ticket, message))
                return (await future).answer
            case AbandonCall():
                ticket, future = self._ticket()
                self.feed(AbandonArrived(ticket, message))
                return (await future).answer
            case ClaimQueryCall():
                ticket, future = self._ticket()
                self.feed(ClaimQueryArrived(ticket, message))
                return (await future).answer
        return await super().answer(message)

    def _age(self) -> timedelta:
        """How old the call may be that is being answered."""
        known = call_age()
        age = timedelta(seconds=known.age)
        return age + self.unread() if known.first else age

    async def _forward_attempt(self, command: ForwardRequest, *, decided: timedelta) -> None:
        self.counters.add(f"sends.{command.call.service_name}")

        def still() -> bool:
            # Nothing goes out that was decided before a standstill of this process: its time is told as it was then.
            return self.runtime.now() - decided <= FROZEN_GAP

        match await self.runtime.rpc_client.call(command.address, command.call, within=command.within, still=still):
            case Success(ForwardAnswer() as answer):
                self.feed(ForwardAnswered(command.number, answer))
            case result:
                unsent = not isinstance(result, Success) and result.failure().kind == ErrorKind.UNREACHABLE
                self.counters.add("sends.missed")
                self.feed(ForwardFailed(command.number, unsent))

    async def _run_on_server(self, command: RunOnServer, *, decided: timedelta) -> None:
        self.counters.add("runs")
        # A standstill may lie between deciding and now.
        self.feed(await self.serve(command._replace(within=command.within - (self.runtime.now() - decided))))

    async def _follow(self, command: Follow) -> None:
        self.counters.add("sends.followed")
        match await self.runtime.rpc_client.call(command.address, command.call, within=command.within):
            case Success(ForwardAnswer() as answer):
                self.counters.add(f"sends.followed.{answer.outcome}")
                self.feed(Followed(command.number, answer))
            case result:
                refused = not isinstance(result, Success) and result.failure().kind == ErrorKind.UNREACHABLE
                self.feed(Followed(command.number, None, refused))

    async def _abandon(self, command: Abandon) -> None:
        self.counters.add("sends.abandoned")
        await self.runtime.rpc_client.call(command.address, command.call, within=ABANDON_SPAN)

    async def _recall(self, command: QueryClaim) -> None:
        match await self.runtime.rpc_client.call(command.address, command.call, within=RECALL_SPAN):
            case Success(ClaimQueryAnswer() as answer):
                self.feed(ClaimQueryAnswered(command.number, answer))
            case _:
                self.feed(ClaimQueryAnswered(command.number, None))

    def _parents(self) -> list[str]:
        """The own zone's part of the tree first: news then crosses between zones once for each zone's root."""
        view = self.core.view
        if self.parents_of is view:
            return self.parents
        nodes = [node for node in view.nodes.values() if node.state != GONE]
        roots = [(node.node, node.address) for node in nodes if node.kind == "bourse"]
        near = [
            (node.node, node.address) for node in nodes if node.kind == "bourse" and node.zone == self.settings.zone
        ]
        proxies = [
            (node.node, node.address)
            for node in nodes
            if node.kind == "stall" and (not near or node.zone == self.settings.zone)
        ]
        parents = select_parents(
            node=self.settings.name, proxies=proxies, roots=near or roots, fan_out=FAN_OUT, root_fan_out=ROOT_FAN_OUT
        )
        parents += [address for _, address in roots if address not in parents]
        self.parents_of = view
        self.parents = parents + [seed for seed in self.settings.seeds if seed not in parents]
        return self.parents

    def apply_settings(self, settings: SidecarSettings) -> None:
        """Takes up what may change under a running stall: whom to turn to, and the figures it keeps."""
        self.counters.record_event("params revised", seeds=settings.seeds)
        # Its own addresses are where its doors stand open: those stay until the next start.
        self.settings = self.sidecar_settings = msgspec.structs.replace(
            self.sidecar_settings,
            seeds=settings.seeds,
            further_percent=settings.further_percent,
            further_margin=settings.further_margin,
            key_seconds=settings.key_seconds,
            grace_seconds=settings.grace_seconds,
            drain_seconds=settings.drain_seconds,
        )
        self.member.seeds = settings.seeds
        core = self.core
        core.set_further(percent=settings.further_percent, margin=settings.further_margin)
        core.key_span = timedelta(seconds=settings.key_seconds)
        core.drain_span = timedelta(seconds=settings.drain_seconds)

    async def wind_down(self, *, quiet: timedelta, most: timedelta) -> None:
        """Planned stop: says so at once, goes on with all that comes, and ends once nothing has come for a while."""
        began = self.asked_at = self.runtime.now()
        self.feed(StopRequested())
        # The server beside goes on being reached from everywhere; only the door must fall quiet.
        while self.runtime.now() - began < most * OPEN_SHARE and not (
            self.runtime.now() - self.asked_at >= quiet and not self.core.pending_requests
        ):
            await asyncio.sleep(self.tick.total_seconds())
        self.feed(CloseRequested())
        while self.runtime.now() - began < most and not self.core.idle():
            await asyncio.sleep(self.tick.total_seconds())
        if self.core.pending_requests:
            self.counters.record_event("requests ended with the grace", count=len(self.core.pending_requests))
            self.feed(GraceExpired())
