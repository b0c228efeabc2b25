"""A stall's node with the broker's core: the same lines, tree, vitals and schedule, other requests."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import msgspec
from returns.result import Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import MishapKind
from hoistsaddle.common.settings import SidecarParams
from hoistsaddle.membership.member import MemberPace
from hoistsaddle.membership.relay import select_parents
from hoistsaddle.proxy.messages import Announce, AskHold, ReportVitals, StopAsked
from hoistsaddle.proxy.node import FROZEN_GAP, ProxyNode
from hoistsaddle.rpc.connection import call_age
from hoistsaddle.rpc.messages import AbandonCall, DealAnswer, DealCall, FollowCall, RecallAnswer, RecallCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.messages import (
    Abandon,
    AbandonArrived,
    AbortServe,
    AnswerAbandon,
    AnswerDeal,
    AnswerRecall,
    Asked,
    CloseAsked,
    DealAnswered,
    DealArrived,
    DealMissed,
    DealOn,
    Follow,
    FollowArrived,
    Followed,
    Gone,
    GraceSpent,
    Recall,
    RecallAnswered,
    RecallArrived,
    Reply,
    Serve,
)
from hoistsaddle.statemachine.state import GONE
from hoistsaddle.statemachine.view import View

# How much of its last moments a stopping stall waits for its door to fall quiet. The rest is for what it took by then:
# a platform that sends it visitors to the end must not have them cut off.
OPEN_SHARE = 0.55
RECALL_SPAN = milliseconds(400)
# Whoever doesn't hear within this that a client has left finds out by the attempt's deadline.
ABANDON_SPAN = milliseconds(400)
FAN_OUT = 8
# The roots' links are far wider than a sidecar's: they feed a zone of this size themselves.
ROOT_FAN_OUT = 24
Server = Callable[[Serve], Awaitable[tuple]]


class SidecarNode(ProxyNode):
    poll_hold = milliseconds(300)
    vitals_every = timedelta(seconds=1)
    poll_span = milliseconds(800)
    tick = milliseconds(20)
    same_polls = 1
    member_pace = MemberPace(
        period=timedelta(seconds=1),
        probe_span=milliseconds(500),
        opinion_span=milliseconds(900),
        suspicion=timedelta(seconds=2),
        seed_turns=20,
        spread=6,
    )

    def __init__(self, *, params: SidecarParams, runtime: Runtime, serve: Server) -> None:
        self.serve = serve
        self.broker_params = params
        # The tree's places follow from the view alone: looked up anew with each view, not with each poll.
        self.parents_of: View | None = None
        self.parents: list[str] = []
        # What runs on the own server, by its number.
        self.serving: dict[int, asyncio.Task] = {}
        # When the door was last called.
        self.asked_at = runtime.now()
        super().__init__(params=params, runtime=runtime, run_server=serve)

    def _make_core(self) -> Any:
        params = self.broker_params
        return SidecarCore(
            params=self._params_view(),
            seed=self.runtime.random,
            now=self.runtime.now(),
            server=params.server,
            drain_span=timedelta(seconds=params.drain_seconds),
            further_percent=params.further_percent,
            further_margin=params.further_margin,
            key_span=timedelta(seconds=params.key_seconds),
            service=params.service,
        )

    async def request_items(self, make: Callable[[int], Asked]) -> Reply:
        self.asked_at = self.runtime.now()
        ticket, future = self._ticket()
        self.feed(make(ticket)._replace(unread=self.unread()))
        try:
            return await future
        except asyncio.CancelledError:
            self.feed(Gone(ticket))
            raise

    def feed(self, event: tuple) -> None:
        for command in self.core.handle(event, now=self.runtime.now()):
            match command:
                case (
                    Reply(ticket=ticket)
                    | AnswerDeal(ticket=ticket)
                    | AnswerRecall(ticket=ticket)
                    | AnswerAbandon(ticket=ticket)
                ):
                    future = self.answers.pop(ticket, None)
                    if future is not None and not future.done():
                        future.set_result(command)
                case DealOn():
                    self._spawn(self._deal_on(command, decided=self.runtime.now()))
                case Serve():
                    task = self._spawn(self._run_deal(command, decided=self.runtime.now()))
                    self.serving[command.number] = task
                    task.add_done_callback(lambda _, number=command.number: self.serving.pop(number, None))
                case AbortServe(number=number):
                    if (task := self.serving.pop(number, None)) is not None:
                        task.cancel()
                case Abandon():
                    self._spawn(self._abandon(command))
                case Follow():
                    self._spawn(self._follow(command))
                case AskHold():
                    self._spawn(self._ask_hold(command))
                case Recall():
                    self._spawn(self._recall(command))
                case ReportVitals():
                    self.vitals_due.set()
                case Announce(kind=kind, detail=detail):
                    self.counters.happen(kind, **detail)

    async def answer(self, message: tuple) -> tuple | None:
        match message:
            case DealCall():
                ticket, future = self._ticket()
                self.feed(DealArrived(ticket, message, self._age()))
                return (await future).answer
            case FollowCall():
                ticket, future = self._ticket()
                self.feed(FollowArrived(ticket, message))
                return (await future).answer
            case AbandonCall():
                ticket, future = self._ticket()
                self.feed(AbandonArrived(ticket, message))
                return (await future).answer
            case RecallCall():
                ticket, future = self._ticket()
                self.feed(RecallArrived(ticket, message))
                return (await future).answer
        return await super().answer(message)

    def _age(self) -> timedelta:
        """How old the call may be that is being answered."""
        known = call_age()
        age = timedelta(seconds=known.age)
        return age + self.unread() if known.first else age

    async def _deal_on(self, command: DealOn, *, decided: timedelta) -> None:
        self.counters.add(f"sends.{command.call.service_name}")

        def still() -> bool:
            # Nothing goes out that was decided before a standstill of this process: its time is told as it was then.
            return self.runtime.now() - decided <= FROZEN_GAP

        match await self.runtime.lines.call(command.address, command.call, within=command.within, still=still):
            case Success(DealAnswer() as answer):
                self.feed(DealAnswered(command.number, answer))
            case result:
                unsent = not isinstance(result, Success) and result.failure().kind == MishapKind.UNREACHABLE
                self.counters.add("sends.missed")
                self.feed(DealMissed(command.number, unsent))

    async def _run_deal(self, command: Serve, *, decided: timedelta) -> None:
        self.counters.add("runs")
        # A standstill may lie between deciding and now.
        self.feed(await self.serve(command._replace(within=command.within - (self.runtime.now() - decided))))

    async def _follow(self, command: Follow) -> None:
        self.counters.add("sends.followed")
        match await self.runtime.lines.call(command.address, command.call, within=command.within):
            case Success(DealAnswer() as answer):
                self.counters.add(f"sends.followed.{answer.outcome}")
                self.feed(Followed(command.number, answer))
            case result:
                refused = not isinstance(result, Success) and result.failure().kind == MishapKind.UNREACHABLE
                self.feed(Followed(command.number, None, refused))

    async def _abandon(self, command: Abandon) -> None:
        self.counters.add("sends.abandoned")
        await self.runtime.lines.call(command.address, command.call, within=ABANDON_SPAN)

    async def _recall(self, command: Recall) -> None:
        match await self.runtime.lines.call(command.address, command.call, within=RECALL_SPAN):
            case Success(RecallAnswer() as answer):
                self.feed(RecallAnswered(command.number, answer))
            case _:
                self.feed(RecallAnswered(command.number, None))

    def _parents(self) -> list[str]:
        """The own zone's part of the tree first: news then crosses between zones once for each zone's root."""
        view = self.core.view
        if self.parents_of is view:
            return self.parents
        nodes = [node for node in view.nodes.values() if node.state != GONE]
        roots = [(node.node, node.address) for node in nodes if node.kind == "bourse"]
        near = [(node.node, node.address) for node in nodes if node.kind == "bourse" and node.zone == self.params.zone]
        stalls = [
            (node.node, node.address)
            for node in nodes
            if node.kind == "stall" and (not near or node.zone == self.params.zone)
        ]
        parents = select_parents(
            node=self.params.name, stalls=stalls, roots=near or roots, fan_out=FAN_OUT, root_fan_out=ROOT_FAN_OUT
        )
        parents += [address for _, address in roots if address not in parents]
        self.parents_of = view
        self.parents = parents + [seed for seed in self.params.seeds if seed not in parents]
        return self.parents

    def revise(self, params: SidecarParams) -> None:
        """Takes up what may change under a running stall: whom to turn to, and the figures it keeps."""
        self.counters.happen("params revised", seeds=params.seeds)
        # Its own addresses are where its doors stand open: those stay until the next start.
        self.params = self.broker_params = msgspec.structs.replace(
            self.broker_params,
            seeds=params.seeds,
            further_percent=params.further_percent,
            further_margin=params.further_margin,
            key_seconds=params.key_seconds,
            grace_seconds=params.grace_seconds,
            drain_seconds=params.drain_seconds,
        )
        self.member.seeds = params.seeds
        core = self.core
        core.set_further(percent=params.further_percent, margin=params.further_margin)
        core.key_span = timedelta(seconds=params.key_seconds)
        core.drain_span = timedelta(seconds=params.drain_seconds)

    async def wind_down(self, *, quiet: timedelta, most: timedelta) -> None:
        """Planned stop: says so at once, goes on with all that comes, and ends once nothing has come for a while."""
        began = self.asked_at = self.runtime.now()
        self.feed(StopAsked())
        # The server beside goes on being reached from everywhere; only the door must fall quiet.
        while self.runtime.now() - began < most * OPEN_SHARE and not (
            self.runtime.now() - self.asked_at >= quiet and not self.core.deals
        ):
            await asyncio.sleep(self.tick.total_seconds())
        self.feed(CloseAsked())
        while self.runtime.now() - began < most and not self.core.idle():
            await asyncio.sleep(self.tick.total_seconds())
        if self.core.deals:
            self.counters.happen("requests ended with the grace", count=len(self.core.deals))
            self.feed(GraceSpent())
