"""The emulator's network: machines that lose power say nothing, and connections may be reset."""

import asyncio
from collections.abc import Iterable
from typing import Any

from returns.result import Failure

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.rpc.connection import CONNECT_TIMEOUT
from hoistsaddle.testbed.simulation.event_loop import SimulatedProcess
from hoistsaddle.testbed.simulation.world import World

# How long a line with a pulse takes to miss a machine that says nothing.
PULSE_SECONDS = 0.9
_silent = Failure(MeshError(ErrorKind.SILENT, "no answer", "simulated"))


class EmulatedWorld(World):
    """A world whose machines may lose power: then nothing comes back, not even a reset."""

    def __init__(self, **needs: Any) -> None:
        super().__init__(**needs)
        self.disks: Any = None
        self.powered_off: set[str] = set()
        self.delay_probability = 0.002
        self.duplicate_probability = 0.002
        # Calls under way: who calls, and the host that is called.
        self.under_way: dict[asyncio.Future, tuple[str, str]] = {}

    def start_call(
        self, life: SimulatedProcess, address: str, message: tuple, future: asyncio.Future, within: float
    ) -> None:
        host = address.partition(":")[0]
        self.under_way[future] = (life.name, host)
        future.add_done_callback(lambda done: self.under_way.pop(done, None))
        if host in self.powered_off:
            span = min(within, CONNECT_TIMEOUT.total_seconds())
            # No listener stands there: the plain world's answer, only later.
            self.loop.call_later(
                span, lambda: World.start_call(self, life, address, message, future, within), context=life.context
            )
            return
        super().start_call(life, address, message, future, within)

    def kill(self, life: SimulatedProcess, *, power: bool = False) -> None:
        waiting = self.pending.pop(life, {}) if power else {}
        super().kill(life)
        for future in waiting:
            self.loop.call_later(PULSE_SECONDS, self._settle, future, _silent)

    def reset(self, *, names: Iterable[str], hosts: Iterable[str], share: float) -> None:
        """Calls from or to these machines break off; what was received already goes on there, unheard."""
        some, at = set(names), set(hosts)
        for future, (caller, host) in list(self.under_way.items()):
            if (caller in some or host in at) and self.random.random() < share:
                self.loop.call_later(self.latency(), self._settle, future, _silent)
