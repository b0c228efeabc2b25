"""Runs the membership core with real connections and timers; the same for registries and proxies."""

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
    """The intervals and timeouts of probes and suspicions."""

    probe_interval: timedelta = PROBE_INTERVAL
    probe_timeout: timedelta = PROBE_TIMEOUT
    indirect_probe_timeout: timedelta = INDIRECT_PROBE_TIMEOUT
    suspicion_timeout: timedelta = SUSPICION_TIMEOUT
    # The number of ticks between two rounds of calls to the seeds; a probe interval has two ticks.
    seed_interval: int = 40
    # How often a state is sent before all members are assumed to know it; None for no limit.
    retransmit_limit: int | None = None


class Member:
    """One process as a member: probes other members and answers their probes.

    Attributes:
        core: The membership core, with this member's view of all members.
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
        """Starts with this member alone.

        Args:
            me: This member's own state.
            seeds: Addresses of members through which the others are found.
            runtime: Provides time, connections and random numbers.
            counters: Counts probes and changes.
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
            # Seeds are called while no other member is known, and periodically after that, so that the two sides of a
            # partition find each other again.
            if len(self.core.members) < 2 or tick % self._timings.seed_interval == 0:
                for seed in self.seeds:
                    if seed != self.core.me.address:
                        self._spawn(self._call_seed(seed))
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

    async def _call_seed(self, seed: str) -> None:
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
        """Answers another member's call; None if it is not a membership call."""
        match message:
            case ProbeCall(caller=calling_node, member_states=member_states):
                # A new member gets all states, the others only those below the retransmit limit.
                complete = not self.core.knows(calling_node) and self.core.retransmit_limit is not None
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
        """Cancels all calls in flight."""
        for task in list(self._tasks):
            task.cancel()
