"""Calls to the log about keys: claims, settlements and releases are submitted to one registry after the other."""

import asyncio
from datetime import timedelta

from returns.result import Success

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.proxy.registry_addresses import RegistryAddresses
from hoistsaddle.rpc.messages import WriteAnswer, WriteCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.commands import ClaimKey, CompleteKey, Outcome, ReleaseKey
from hoistsaddle.statemachine.encoding import pack_command, tag_of, unpack_outcome

# How long one command is tried at all, and how long one registry gets for it: the next may not be frozen.
SUBMIT_TIMEOUT = milliseconds(1500)
ATTEMPT_TIMEOUT = milliseconds(500)
# How often each registry is tried within that time.
ROUNDS = 2


class HoldClient:
    """Submits commands about keys. While no registry answers, one command probes for all of them."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        counters: Counters,
        core: CoreState,
        registries: RegistryAddresses,
        backoff: ExponentialBackoff,
    ) -> None:
        """Begin as if the registries answered.

        Args:
            runtime: clock and connections.
            counters: what operators read.
            core: whose view says which registry is beside the log's leader.
            registries: which are tried, in their order.
            backoff: between two attempts that failed.
        """
        self._runtime = runtime
        self._counters = counters
        self._core = core
        self._registries = registries
        self._backoff = backoff
        self._probing = False
        # Set when the probe under way has ended.
        self._probed = asyncio.Event()

    async def submit(self, command: ClaimKey | CompleteKey | ReleaseKey) -> Outcome | None:
        """Submit one command.

        Returns:
            What the log made of it; None if no registry answered in time.
        """
        self._counters.add(f"holds.{tag_of(command)}")
        call = WriteCall(self._core.settings.name, (pack_command(command),))
        began = self._runtime.now()
        deadline = began + SUBMIT_TIMEOUT
        outcome: Outcome | None = None
        for _ in range(len(self._registries.addresses) * ROUNDS):
            if not self._backoff.failing:
                outcome = await self._attempt(call, min(ATTEMPT_TIMEOUT, deadline - self._runtime.now()))
            elif not self._probing:
                outcome = await self._probe(call)
            else:
                await self._await_probe(deadline)
            if outcome is not None or self._runtime.now() >= deadline:
                break
        if outcome is None:
            self._counters.add("holds.mishaps")
        else:
            self._counters.add("holds.answered")
            self._counters.add("holds.answer_milliseconds", (self._runtime.now() - began) / milliseconds(1))
        return outcome

    async def _probe(self, call: WriteCall) -> Outcome | None:
        """One attempt for all that wait, with a whole attempt's time, however little its own command has left."""
        self._probing = True
        self._counters.add("holds.paused")
        try:
            await asyncio.sleep(self._backoff.left(now=self._runtime.now()).total_seconds())
            return await self._attempt(call, ATTEMPT_TIMEOUT)
        finally:
            self._probing = False
            self._probed.set()
            self._probed = asyncio.Event()

    async def _await_probe(self, deadline: timedelta) -> None:
        try:
            async with asyncio.timeout((deadline - self._runtime.now()).total_seconds()):
                await self._probed.wait()
        except TimeoutError:
            pass

    async def _attempt(self, call: WriteCall, within: timedelta) -> Outcome | None:
        address = self._registries.first
        match await self._runtime.rpc_client.call(address, call, within=within):
            case Success(WriteAnswer(error="", leader=leader, outcomes=(outcome,))):
                self._backoff.reset()
                self._prefer_leader(leader)
                return unpack_outcome(outcome)
        # The next registry may reach the leader; the command is the same command there.
        self._registries.demote(address)
        self._backoff.failed(now=self._runtime.now())
        return None

    def _prefer_leader(self, leader: int) -> None:
        """Try the registry beside the leader first from now on."""
        node = self._core.view.nodes.get(f"bourse-{leader}")
        if node is not None:
            self._registries.promote(node.address)
