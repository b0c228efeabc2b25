"""Looks for evidence that the core is away, once the configuration has not been confirmed for a while.

All core machines are asked at once, and a few other sidecars: if these answer and those don't, this sidecar's own link
is sound and the core is away. If nobody answers, nothing is known. A core machine that answers is polled: it confirms
the configuration, or has no majority itself.
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
# Shares of the configuration's greatest age: when to begin to ask, how long to wait for answers, and how long to wait
# at the least and at the most before asking again.
ASK_SHARE = 0.5
TIMEOUT_SHARE = 0.2
MIN_PAUSE_SHARE, MAX_PAUSE_SHARE = 0.1, 0.5
# Other sidecars that are asked: one of them may be away too.
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
        """Begin without asking anybody.

        Args:
            runtime: clock, chance and connections.
            counters: what operators read.
            core: whose view names the machines.
            freshness: takes the evidence.
            poll: polls the core machine at an address for the configuration.
        """
        self._runtime = runtime
        self._counters = counters
        self._core = core
        self._freshness = freshness
        self._poll = poll
        # The core machine that said something of the configuration last.
        self._informant = ""

    async def run(self) -> None:
        """Ask whenever it is due, for as long as the process runs."""
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
        """Ask whoever knew something last, and if that brings nothing, everybody at once."""
        if self._informant and await self._ask_about_configuration(self._informant):
            return
        self._informant = await self._find_informant()
        if self._informant:
            await self._ask_about_configuration(self._informant)

    async def _ask_about_configuration(self, address: str) -> bool:
        """Poll a core machine; return whether it confirmed the configuration, or that the core is away."""
        before = self._freshness.current_as_of()
        await self._poll(address)
        return self._freshness.current_as_of() != before

    async def _find_informant(self) -> str:
        """Probe all core machines and some witnesses; return a core machine that is there, if one answers."""
        asked_at = self._runtime.now()
        witnesses = self._witnesses()
        present, heard = await asyncio.gather(self._answering(self._addresses("bourse")), self._answering(witnesses))
        self._counters.add("core_probes")
        if present:
            # Whatever delays its configuration is no reason to act on an older one.
            return self._runtime.random.choice(present)
        if witnesses and not heard:
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
        """Probe these addresses at once; return those that answer in time."""
        call = ProbeCall(self._core.settings.name, ())
        within = self._freshness.max_age * TIMEOUT_SHARE
        answers = await asyncio.gather(
            *(self._runtime.rpc_client.call(address, call, within=within) for address in addresses)
        )
        return [address for address, answer in zip(addresses, answers, strict=True) if _is_probe_answer(answer)]


def _is_probe_answer(answer: Result[tuple, MeshError]) -> bool:
    return isinstance(answer, Success) and isinstance(answer.unwrap(), ProbeAnswer)
