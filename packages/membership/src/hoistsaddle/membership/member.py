"""Sockets and schedule round the membership core, shared by registries and proxies."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from returns.result import Success

from hoistsaddle.common.counters import Counters
from hoistsaddle.membership.membership import (
    Changed,
    GossipReceived,
    IndirectProbesAnswered,
    Membership,
    Probe,
    ProbeAnswered,
    ProbeTimedOut,
    RequestIndirectProbes,
    Ticked,
)
from hoistsaddle.rpc.messages import IndirectProbeAnswer, IndirectProbeCall, MemberState, ProbeAnswer, ProbeCall
from hoistsaddle.rpc.runtime import Runtime

PROBE_INTERVAL = timedelta(milliseconds=250)
PROBE_TIMEOUT = timedelta(milliseconds=300)
INDIRECT_PROBE_TIMEOUT = timedelta(milliseconds=600)
SUSPICION_TIMEOUT = timedelta(milliseconds=1200)


class MemberTimings(NamedTuple):
    """How often others are probed, and how long an answer, an opinion and a suspicion may last."""

    period: timedelta = PROBE_INTERVAL
    probe_timeout: timedelta = PROBE_TIMEOUT
    indirect_probe_timeout: timedelta = INDIRECT_PROBE_TIMEOUT
    suspicion: timedelta = SUSPICION_TIMEOUT
    # Turns between two looks at the seeds, and how often a rumour is passed on.
    seed_interval: int = 40
    retransmit_limit: int | None = None


class Member:
    def __init__(
        self,
        *,
        me: MemberState,
        seeds: list[str],
        runtime: Runtime,
        counters: Counters,
        pace: MemberTimings = MemberTimings(),  # noqa: B008
    ) -> None:
        self.pace = pace
        self.core = Membership(
            me=me,
            seed=runtime.random,
            period=pace.period,
            suspicion=pace.suspicion,
            retransmit_limit=pace.retransmit_limit,
        )
        self.seeds = seeds
        self.runtime = runtime
        self.counters = counters
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        turn = 0
        while True:
            # Seeds are asked while nobody else is known, and now and then after, so that two halves find each other.
            if len(self.core.members) < 2 or turn % self.pace.seed_interval == 0:
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
                case RequestIndirectProbes():
                    self._spawn(self._probe_indirectly(command))
                case Changed(member_state=member_state):
                    self.counters.record_event("member changed", node=member_state.node, state=member_state.state)

    def feed(self, event: tuple) -> None:
        self._carry_out(self.core.handle(event, now=self.runtime.now()))

    async def _meet(self, seed: str) -> None:
        match await self.runtime.rpc_client.call(
            seed, ProbeCall(self.core.me.node, self.core.member_states()), within=self.pace.probe_timeout
        ):
            case Success(ProbeAnswer(node=node, member_states=member_states)):
                self.feed(ProbeAnswered(node, member_states))

    async def _probe(self, probe: Probe) -> None:
        self.counters.add("probes.sent")
        match await self.runtime.rpc_client.call(
            probe.address, ProbeCall(self.core.me.node, probe.member_states), within=self.pace.probe_timeout
        ):
            case Success(ProbeAnswer(node=node, member_states=member_states)) if node == probe.node:
                self.feed(ProbeAnswered(node, member_states))
            case _:
                self.counters.add("probes.missed")
                self.feed(ProbeTimedOut(probe.node))

    async def _probe_indirectly(self, ask: RequestIndirectProbes) -> None:
        calls = [
            self.runtime.rpc_client.call(
                helper, IndirectProbeCall(self.core.me.node, ask.address), within=self.pace.indirect_probe_timeout
            )
            for helper in ask.helpers
        ]
        answers = await asyncio.gather(*calls)
        alive = any(isinstance(answer, Success) and answer.unwrap().alive for answer in answers)
        self.feed(IndirectProbesAnswered(ask.node, alive))

    async def answer(self, message: tuple) -> tuple | None:
        match message:
            case ProbeCall(caller=asker, member_states=member_states):
                # One just met hears of everybody; the others only what is new.
                complete = not self.core.knows(asker) and self.core.retransmit_limit is not None
                self.feed(GossipReceived(member_states))
                return ProbeAnswer(self.core.me.node, self.core.member_states(complete=complete))
            case IndirectProbeCall(address=address):
                match await self.runtime.rpc_client.call(
                    address, ProbeCall(self.core.me.node, self.core.member_states()), within=self.pace.probe_timeout
                ):
                    case Success(ProbeAnswer(member_states=member_states)):
                        self.feed(GossipReceived(member_states))
                        return IndirectProbeAnswer(True, member_states)
                return IndirectProbeAnswer(False, ())
        return None

    def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
