"""Probes whether the core is unavailable, once the configuration has not been confirmed for a while.

All core machines and a few other sidecars, the witnesses, are probed at once. If a witness answers and no core machine
does, this sidecar's own link works and the core is unavailable. If none answers, nothing is known. A core machine that
answers is polled: it confirms the configuration, or reports that it has no majority itself.
"""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import MeshError
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.rpc.messages import ProbeAnswer, ProbeCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.sidecar.configuration_freshness import ConfigurationFreshness
from hoistsaddle.statemachine.state import GONE

CHECK_INTERVAL = milliseconds(100)
# Shares of the configuration's maximum age: when probing starts, the probe timeout, and the shortest and longest pause
# between probes.
ASK_SHARE = 0.5
TIMEOUT_SHARE = 0.2
MIN_PAUSE_SHARE, MAX_PAUSE_SHARE = 0.1, 0.5
# How many other sidecars are probed; more than one, as one may be down too.
WITNESSES = 2


class CoreProber:
    """Probes the core machines and some witnesses while the configuration is not confirmed."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        counters: Counters,
        core: CoreState,
        freshness: ConfigurationFreshness,
        poll: Callable[[str], Awaitable[object]],
    ) -> None:
        """Start without probing.

        Args:
            runtime: provides the clock, random numbers and connections.
            counters: the counters of the process.
            core: the state of the core; its view lists the machines.
            freshness: records the evidence.
            poll: polls the core machine at an address for the configuration.
        """
        self._runtime = runtime
        self._counters = counters
        self._core = core
        self._freshness = freshness
        self._poll = poll
        # The address of the core machine that last answered about the configuration.
        self._responsive_core = ""

    async def run(self) -> None:
        """Probe whenever it is due, until the process exits."""
        pause = MIN_PAUSE_SHARE
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            if not self._freshness.due_for_evidence(ASK_SHARE):
                pause = MIN_PAUSE_SHARE
                continue
            await self.look_for_evidence()
            await asyncio.sleep((self._freshness.max_age * pause).total_seconds())
            pause = min(pause * 2, MAX_PAUSE_SHARE)

    async def look_for_evidence(self) -> None:
        """Ask the core machine that answered last, and if that gives no evidence, probe all at once."""
        if self._responsive_core and await self._ask_about_configuration(self._responsive_core):
            return
        self._responsive_core = await self._find_responsive_core()
        if self._responsive_core:
            await self._ask_about_configuration(self._responsive_core)

    async def _ask_about_configuration(self, address: str) -> bool:
        """Poll a core machine; return whether it confirmed the configuration or that the core is unavailable."""
        before = self._freshness.current_as_of()
        await self._poll(address)
        return self._freshness.current_as_of() != before

    async def _find_responsive_core(self) -> str:
        """Probe all core machines and some witnesses; return a core machine that answered, or an empty string."""
        asked_at = self._runtime.now()
        witnesses = self._witnesses()
        core_answers, witness_answers = await asyncio.gather(
            self._answering(self._addresses("bourse")), self._answering(witnesses)
        )
        self._counters.add("core_probes")
        if core_answers:
            # The core is available, so a newer configuration may be in force, whatever delays it here.
            return self._runtime.random.choice(core_answers)
        if witnesses and not witness_answers:
            self._counters.add("core_probes.unanswered")
            return ""
        self._counters.add("core_probes.core_absent")
        self._freshness.core_absent(asked_at)
        return ""

    def _addresses(self, kind: str) -> list[str]:
        own = self._core.settings.name
        nodes = self._core.view.nodes.values()
        return [node.address for node in nodes if node.kind == kind and node.state != GONE and node.node != own]

    def _witnesses(self) -> list[str]:
        proxies = self._addresses("stall")
        return self._runtime.random.sample(proxies, min(WITNESSES, len(proxies)))

    async def _answering(self, addresses: list[str]) -> list[str]:
        """Probe all these addresses at once; return those that answer in time."""
        call = ProbeCall(self._core.settings.name, ())
        within = self._freshness.max_age * TIMEOUT_SHARE
        answers = await asyncio.gather(
            *(self._runtime.rpc_client.call(address, call, within=within) for address in addresses)
        )
        return [address for address, answer in zip(addresses, answers, strict=True) if _is_probe_answer(answer)]


def _is_probe_answer(answer: Result[tuple, MeshError]) -> bool:
    return isinstance(answer, Success) and isinstance(answer.unwrap(), ProbeAnswer)
