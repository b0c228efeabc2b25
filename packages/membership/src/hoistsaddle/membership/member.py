"""Connections and timers round the membership core, the same for registries and proxies."""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, NamedTuple

from returns.result import Success

from hoistsaddle.common.counters import Counters
from hoistsaddle.membership.membership import (
    Changed,
    Command,
    Event,
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
    """How often others are probed, and how long an answer and a suspicion may take."""

    probe_interval: timedelta = PROBE_INTERVAL
    probe_timeout: timedelta = PROBE_TIMEOUT
    indirect_probe_timeout: timedelta = INDIRECT_PROBE_TIMEOUT
    suspicion_timeout: timedelta = SUSPICION_TIMEOUT
    # Ticks between two calls of the seeds; there are two ticks in a probe interval.
    seed_interval: int = 40
    # How often a state is passed on before everybody is taken to know it; None for ever.
    retransmit_limit: int | None = None


class Member:
    """One process as a member: probes others and answers their probes.

    Attributes:
        core: What it knows of the members.
    """

    def __init__(
        self,
        *,
        me: MemberState,
        seeds: list[str],
        runtime: Runtime,
        counters: Counters,
        timings: MemberTimings = MemberTimings(),  # noqa: B008
    ) -> None:
        """Knows of nobody else yet.

        Args:
            me: This member's own state.
            seeds: Addresses of members through which it finds the others.
            runtime: Gives time, connections and random numbers.
            counters: Where probes and changes are counted.
            timings: Intervals and timeouts.
        """
        self.core = Membership(
            me=me,
            rng=runtime.random,
            probe_interval=timings.probe_interval,
            suspicion_timeout=timings.suspicion_timeout,
            retransmit_limit=timings.retransmit_limit,
        )
        self._timings = timings
        self.seeds = seeds
        self._runtime = runtime
        self._counters = counters
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Probes others until it is cancelled."""
        tick = 0
        while True:
            # Seeds are called while nobody else is known, and now and then after, so that two halves find each other.
            if len(self.core.members) < 2 or tick % self._timings.seed_interval == 0:
                for seed in self.seeds:
                    if seed != self.core.me.address:
                        self._spawn(self._meet(seed))
            tick += 1
            self._handle(Ticked())
            await asyncio.sleep(self._timings.probe_interval.total_seconds() / 2)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _handle(self, event: Event) -> None:
        for command in self.core.handle(event, now=self._runtime.now()):
            self._carry_out(command)

    def _carry_out(self, command: Command) -> None:
        match command:
            case Probe():
                self._spawn(self._probe(command))
            case RequestIndirectProbes():
                self._spawn(self._probe_indirectly(command))
            case Changed(member_state=member):
                self._counters.record_event("member changed", node=member.node, state=member.state)

    async def _call_probe(self, address: str, member_states: tuple[MemberState, ...]) -> ProbeAnswer | None:
        call = ProbeCall(self.core.me.node, member_states)
        match await self._runtime.rpc_client.call(address, call, within=self._timings.probe_timeout):
            case Success(ProbeAnswer() as answer):
                return answer
        return None

    async def _meet(self, seed: str) -> None:
        answer = await self._call_probe(seed, self.core.member_states())
        if answer is not None:
            self._handle(ProbeAnswered(answer.node, answer.member_states))

    async def _probe(self, probe: Probe) -> None:
        self._counters.add("probes.sent")
        answer = await self._call_probe(probe.address, probe.member_states)
        if answer is not None and answer.node == probe.node:
            self._handle(ProbeAnswered(answer.node, answer.member_states))
        else:
            self._counters.add("probes.missed")
            self._handle(ProbeTimedOut(probe.node))

    async def _probe_indirectly(self, request: RequestIndirectProbes) -> None:
        call = IndirectProbeCall(self.core.me.node, request.address)
        within = self._timings.indirect_probe_timeout
        answers = await asyncio.gather(
            *(self._runtime.rpc_client.call(helper, call, within=within) for helper in request.helpers)
        )
        alive = any(isinstance(answer, Success) and answer.unwrap().alive for answer in answers)
        self._handle(IndirectProbesAnswered(request.node, alive))

    async def answer(self, message: tuple) -> ProbeAnswer | IndirectProbeAnswer | None:
        """The answer to another member's call; None if it is no call of the membership."""
        match message:
            case ProbeCall(caller=asker, member_states=member_states):
                # A member just met is told of everybody, the others only what is new.
                complete = not self.core.knows(asker) and self.core.retransmit_limit is not None
                self._handle(GossipReceived(member_states))
                return ProbeAnswer(self.core.me.node, self.core.member_states(complete=complete))
            case IndirectProbeCall(address=address):
                answer = await self._call_probe(address, self.core.member_states())
                if answer is None:
                    return IndirectProbeAnswer(False, ())
                self._handle(GossipReceived(answer.member_states))
                return IndirectProbeAnswer(True, answer.member_states)
        return None

    def stop(self) -> None:
        """Cancels all calls under way."""
        for task in list(self._tasks):
            task.cancel()
