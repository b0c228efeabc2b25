"""Sockets and schedule round the membership core, shared by bourses and stalls."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from returns.result import Success

from hoistsaddle.common.counters import Counters
from hoistsaddle.membership.membership import (
    AskOpinions,
    Changed,
    Membership,
    OpinionsIn,
    Probe,
    ProbeAnswered,
    ProbeMissed,
    RumoursArrived,
    Ticked,
)
from hoistsaddle.rpc.messages import ProbeAnswer, ProbeCall, ProbeForAnswer, ProbeForCall, Rumour
from hoistsaddle.rpc.runtime import Runtime

PERIOD = timedelta(milliseconds=250)
PROBE_SPAN = timedelta(milliseconds=300)
OPINION_SPAN = timedelta(milliseconds=600)
SUSPICION = timedelta(milliseconds=1200)


class MemberPace(NamedTuple):
    """How often others are probed, and how long an answer, an opinion and a suspicion may last."""

    period: timedelta = PERIOD
    probe_span: timedelta = PROBE_SPAN
    opinion_span: timedelta = OPINION_SPAN
    suspicion: timedelta = SUSPICION
    # Turns between two looks at the seeds, and how often a rumour is passed on.
    seed_turns: int = 40
    spread: int | None = None


class Member:
    def __init__(
        self,
        *,
        me: Rumour,
        seeds: list[str],
        runtime: Runtime,
        counters: Counters,
        pace: MemberPace = MemberPace(),  # noqa: B008
    ) -> None:
        self.pace = pace
        self.core = Membership(
            me=me, seed=runtime.random, period=pace.period, suspicion=pace.suspicion, spread=pace.spread
        )
        self.seeds = seeds
        self.runtime = runtime
        self.counters = counters
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        turn = 0
        while True:
            # Seeds are asked while nobody else is known, and now and then after, so that two halves find each other.
            if len(self.core.members) < 2 or turn % self.pace.seed_turns == 0:
                for seed in self.seeds:
                    if seed != self.core.me.address:
                        self._spawn(self._meet(seed))
            turn += 1
            self._carry_out(self.core.handle(Ticked(), now=self.runtime.now()))
            await asyncio.sleep(self.pace.period.total_seconds() / 2)

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _carry_out(self, commands: list[tuple]) -> None:
        for command in commands:
            match command:
                case Probe():
                    self._spawn(self._probe(command))
                case AskOpinions():
                    self._spawn(self._ask(command))
                case Changed(rumour=rumour):
                    self.counters.happen("member changed", node=rumour.node, state=rumour.state)

    def feed(self, event: tuple) -> None:
        self._carry_out(self.core.handle(event, now=self.runtime.now()))

    async def _meet(self, seed: str) -> None:
        match await self.runtime.lines.call(
            seed, ProbeCall(self.core.me.node, self.core.rumours()), within=self.pace.probe_span
        ):
            case Success(ProbeAnswer(node=node, rumours=rumours)):
                self.feed(ProbeAnswered(node, rumours))

    async def _probe(self, probe: Probe) -> None:
        self.counters.add("probes.sent")
        match await self.runtime.lines.call(
            probe.address, ProbeCall(self.core.me.node, probe.rumours), within=self.pace.probe_span
        ):
            case Success(ProbeAnswer(node=node, rumours=rumours)) if node == probe.node:
                self.feed(ProbeAnswered(node, rumours))
            case _:
                self.counters.add("probes.missed")
                self.feed(ProbeMissed(probe.node))

    async def _ask(self, ask: AskOpinions) -> None:
        calls = [
            self.runtime.lines.call(helper, ProbeForCall(self.core.me.node, ask.address), within=self.pace.opinion_span)
            for helper in ask.helpers
        ]
        answers = await asyncio.gather(*calls)
        alive = any(isinstance(answer, Success) and answer.unwrap().alive for answer in answers)
        self.feed(OpinionsIn(ask.node, alive))

    async def answer(self, message: tuple) -> tuple | None:
        match message:
            case ProbeCall(asker=asker, rumours=rumours):
                # One just met hears of everybody; the others only what is new.
                whole = not self.core.knows(asker) and self.core.spread is not None
                self.feed(RumoursArrived(rumours))
                return ProbeAnswer(self.core.me.node, self.core.rumours(whole=whole))
            case ProbeForCall(address=address):
                match await self.runtime.lines.call(
                    address, ProbeCall(self.core.me.node, self.core.rumours()), within=self.pace.probe_span
                ):
                    case Success(ProbeAnswer(rumours=rumours)):
                        self.feed(RumoursArrived(rumours))
                        return ProbeForAnswer(True, rumours)
                return ProbeForAnswer(False, ())
        return None

    def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
