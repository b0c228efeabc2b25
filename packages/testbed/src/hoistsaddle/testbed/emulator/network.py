"""The emulator's network: machines without power are silent, connections may be reset.

Links may have a bandwidth, and processors a speed.
"""

import asyncio
from collections.abc import Iterable
from typing import Any, NamedTuple

from returns.result import Failure, Success

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.rpc.client import CONNECT_TIMEOUT
from hoistsaddle.rpc.messages import ForwardAnswer, ForwardCall
from hoistsaddle.testbed.emulator.links import Links
from hoistsaddle.testbed.emulator.processors import Processors
from hoistsaddle.testbed.simulation.event_loop import SimulatedProcess
from hoistsaddle.testbed.simulation.world import World

# How long a connection's keep-alive takes to notice that a machine is silent, and how often it looks.
KEEP_ALIVE_SECONDS = 0.9
KEEP_ALIVE_CHECK_SECONDS = 0.25
_NO_ANSWER = Failure(MeshError(ErrorKind.SILENT, "no answer", "simulated"))


class JammedUntil(NamedTuple):
    """When what clients sent to a machine meanwhile arrives, and when what other machines sent."""

    clients: float
    machines: float


def body_octets(message: Any) -> int:
    """Return the bytes of a message's body: all else in it is small."""
    return len(message.body) if isinstance(message, ForwardCall | ForwardAnswer) else 0


class EmulatedWorld(World):
    """A simulated world whose machines may lose power: then nothing comes back, not even a reset."""

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.disks: Any = None
        self.powered_off: set[str] = set()
        # The jams of links by the machine's name and by its host.
        self.jammed: dict[str, JammedUntil] = {}
        self.delay_probability = 0.002
        self.duplicate_probability = 0.002
        # Calls in flight: the machine that calls, and the host that is called.
        self.calls: dict[asyncio.Future, tuple[str, str]] = {}
        self.links = Links(loop=self.loop)
        self.processors = Processors(loop=self.loop)

    def start_call(
        self,
        process: SimulatedProcess,
        address: str,
        message: tuple,
        future: asyncio.Future,
        within: float,
        *,
        rate: int = 0,
    ) -> None:
        """Starts a call; one to a host without power times out."""
        host = address.partition(":")[0]
        if (wait := self._machine_wait(host)) > 0:
            # It waits in front of the link, also once its caller has given it up.
            self.loop.call_later(wait, self._start_late_call, process, address, message, future, within)
            return
        if self.jammed:
            future = self._behind_jam(process, future)
        self.calls[future] = (process.name, host)
        future.add_done_callback(lambda done: self.calls.pop(done, None))
        self._check_silence_later(process, address, future)
        if host in self.powered_off:
            timeout = min(within, CONNECT_TIMEOUT.total_seconds())
            # Nobody listens there: the answer of a host with power, only later.
            self.loop.call_later(
                timeout,
                lambda: World.start_call(self, process, address, message, future, within),
                context=process.context,
            )
            return
        self._send_over_links(process, address, message, future, within, rate)

    def _check_silence_later(self, process: SimulatedProcess, address: str, future: asyncio.Future) -> None:
        """Breaks a call's connection off once the process that it went to has stood still for too long.

        What was sent lies in its machine's socket and is read when it wakes, as with a real connection.
        """
        listener = self.listeners.get(address)
        if listener is None:
            return
        target, sent_at = listener[0], self.loop.time()

        def check() -> None:
            if future.done():
                return
            silence = self.loop.time() - max(sent_at, target.frozen_at) if target.frozen else 0.0
            if silence >= KEEP_ALIVE_SECONDS:
                self._settle(future, _NO_ANSWER)
                return
            self.loop.call_later(KEEP_ALIVE_CHECK_SECONDS, check, context=process.context)

        self.loop.call_later(KEEP_ALIVE_SECONDS, check, context=process.context)

    def _send_over_links(
        self,
        process: SimulatedProcess,
        address: str,
        message: tuple,
        future: asyncio.Future,
        within: float,
        rate: int,
    ) -> None:
        """Carries a call over both machines' links, and its answer back; also one that its caller has given up."""
        if not self.links.limited:
            self._start_handled_call(process, address, message, future, within)
            return
        caller, called = self.links.host_of(process.name), address.partition(":")[0]
        answered = self.loop.create_future()

        def answer(done: asyncio.Future) -> None:
            if done.cancelled():
                return
            result = done.result()
            octets = body_octets(result.unwrap()) if isinstance(result, Success) else 0
            self.links.send(
                sender=called,
                receiver=caller,
                octets=octets,
                arrived=lambda: self.loop.call_soon(self._settle, future, result, context=process.context),
            )

        answered.add_done_callback(answer)
        self.links.send(
            sender=caller,
            receiver=called,
            octets=body_octets(message),
            rate=rate,
            arrived=lambda: self._start_handled_call(process, address, message, answered, within),
        )

    def _start_handled_call(
        self, process: SimulatedProcess, address: str, message: tuple, future: asyncio.Future, within: float
    ) -> None:
        """Starts a call that both machines' processors handle: the call, also one that was given up, and its answer."""
        called = address.partition(":")[0]
        caller = self.processors.host_of(process.name)
        if not self.processors.limited or caller == called:
            super().start_call(process, address, message, future, within)
            return
        answered = self.loop.create_future()

        def answer(done: asyncio.Future) -> None:
            result = done.result()
            message = result.unwrap() if isinstance(result, Success) else None
            self.processors.handle(
                caller, message, lambda: self.loop.call_soon(self._settle, future, result, context=process.context)
            )

        answered.add_done_callback(answer)
        self.processors.handle(
            called, message, lambda: World.start_call(self, process, address, message, answered, within)
        )

    def jam(self, name: str, host: str, *, seconds: float, backlog: float) -> None:
        """From now on, what is sent to a machine waits so long, and what other machines send `backlog` longer."""
        link = JammedUntil(self.loop.time() + seconds, self.loop.time() + seconds + backlog)
        self.jammed[name] = self.jammed[host] = link

    def client_wait(self, host: str) -> float:
        """How many seconds what a client sends to a machine now waits in front of its link."""
        link = self.jammed.get(host)
        return 0.0 if link is None else max(0.0, link.clients - self.loop.time())

    def _machine_wait(self, name_or_host: str) -> float:
        """The same for what another machine sends: free again is free for all that is sent from then on."""
        link = self.jammed.get(name_or_host)
        return 0.0 if link is None or self.loop.time() >= link.clients else link.machines - self.loop.time()

    def _behind_jam(self, process: SimulatedProcess, future: asyncio.Future) -> asyncio.Future:
        """A future for an answer that reaches its caller only once the caller's link is free."""

        def pass_on(answered: asyncio.Future) -> None:
            if not answered.cancelled():
                self.loop.call_later(
                    self._machine_wait(process.name), self._settle, future, answered.result(), context=process.context
                )

        behind = self.loop.create_future()
        behind.add_done_callback(pass_on)
        return behind

    def _start_late_call(
        self, process: SimulatedProcess, address: str, message: tuple, future: asyncio.Future, within: float
    ) -> None:
        World.start_call(self, process, address, message, future, within)

    def kill(self, process: SimulatedProcess, *, power: bool = False) -> None:
        """Ends a process; without power its callers notice only by the keep-alive."""
        waiting = self.pending.pop(process, {}) if power else {}
        super().kill(process)
        self.processors.ended(process.name)
        for future in waiting:
            self.loop.call_later(KEEP_ALIVE_SECONDS, self._settle, future, _NO_ANSWER)

    def reset(self, *, names: Iterable[str], hosts: Iterable[str], share: float) -> None:
        """A share of the calls from or to these machines breaks off; requests that arrived are still handled."""
        callers, called = set(names), set(hosts)
        for future, (caller, host) in list(self.calls.items()):
            if (caller in callers or host in called) and self.random.random() < share:
                self.loop.call_later(self.latency(), self._settle, future, _NO_ANSWER)
