"""The emulator's network: machines without power are silent, and connections may be reset."""

import asyncio
from collections.abc import Iterable
from typing import Any

from returns.result import Failure

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.rpc.client import CONNECT_TIMEOUT
from hoistsaddle.testbed.simulation.event_loop import SimulatedProcess
from hoistsaddle.testbed.simulation.world import World

# How long a connection's keep-alive takes to notice that a machine is silent.
KEEP_ALIVE_SECONDS = 0.9
_NO_ANSWER = Failure(MeshError(ErrorKind.SILENT, "no answer", "simulated"))


class EmulatedWorld(World):
    """A simulated world whose machines may lose power: then nothing comes back, not even a reset."""

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.disks: Any = None
        self.powered_off: set[str] = set()
        self.delay_probability = 0.002
        self.duplicate_probability = 0.002
        # Calls in flight: the machine that calls, and the host that is called.
        self.calls: dict[asyncio.Future, tuple[str, str]] = {}

    def start_call(
        self, process: SimulatedProcess, address: str, message: tuple, future: asyncio.Future, within: float
    ) -> None:
        """Starts a call; one to a host without power times out."""
        host = address.partition(":")[0]
        self.calls[future] = (process.name, host)
        future.add_done_callback(lambda done: self.calls.pop(done, None))
        if host in self.powered_off:
            timeout = min(within, CONNECT_TIMEOUT.total_seconds())
            # Nobody listens there: the answer of a host with power, only later.
            self.loop.call_later(
                timeout,
                lambda: World.start_call(self, process, address, message, future, within),
                context=process.context,
            )
            return
        super().start_call(process, address, message, future, within)

    def kill(self, process: SimulatedProcess, *, power: bool = False) -> None:
        """Ends a process; without power its callers notice only by the keep-alive."""
        waiting = self.pending.pop(process, {}) if power else {}
        super().kill(process)
        for future in waiting:
            self.loop.call_later(KEEP_ALIVE_SECONDS, self._settle, future, _NO_ANSWER)

    def reset(self, *, names: Iterable[str], hosts: Iterable[str], share: float) -> None:
        """A share of the calls from or to these machines breaks off; requests that arrived are still handled."""
        callers, called = set(names), set(hosts)
        for future, (caller, host) in list(self.calls.items()):
            if (caller in callers or host in called) and self.random.random() < share:
                self.loop.call_later(self.latency(), self._settle, future, _NO_ANSWER)
