"""The emulator's network, with unresponsive machines that lost power and with connection resets.

Optionally, links have a limited bandwidth and processors a limited speed.
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

# After how long a connection's keep-alive detects an unresponsive machine, and how often it checks.
KEEP_ALIVE_SECONDS = 0.9
KEEP_ALIVE_CHECK_SECONDS = 0.25
_NO_ANSWER = Failure(MeshError(ErrorKind.SILENT, "no answer", "simulated"))


class JammedUntil(NamedTuple):
    """When queued messages from clients arrive at a machine, and when those from other machines do."""

    clients: float
    machines: float


def body_octets(message: Any) -> int:
    """The size of a message's body in bytes; the other parts of a message are small."""
    return len(message.body) if isinstance(message, ForwardCall | ForwardAnswer) else 0


class EmulatedWorld(World):
    """A simulated world whose machines may lose power; they then send no reply, not even a connection reset."""

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.disks: Any = None
        self.powered_off: set[str] = set()
        # Jammed links, by the machine's name and by its host.
        self.jammed: dict[str, JammedUntil] = {}
        self.delay_probability = 0.002
        self.duplicate_probability = 0.002
        # Calls in flight, with the name of the calling machine and the called host.
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
        """Starts a call; a call to a host without power times out."""
        host = address.partition(":")[0]
        if (wait := self._machine_wait(host)) > 0:
            # The call queues in front of the link, even if the caller gives it up meanwhile.
            self.loop.call_later(wait, self._start_late_call, process, address, message, future, within)
            return
        if self.jammed:
            future = self._delay_answer(process, future)
        self.calls[future] = (process.name, host)
        future.add_done_callback(lambda done: self.calls.pop(done, None))
        self._check_silence_later(process, address, future)
        if host in self.powered_off:
            timeout = min(within, CONNECT_TIMEOUT.total_seconds())
            # No process listens there: the same error as from a host with power, but only after the timeout.
            self.loop.call_later(
                timeout,
                lambda: World.start_call(self, process, address, message, future, within),
                context=process.context,
            )
            return
        self._send_over_links(process, address, message, future, within, rate)

    def _check_silence_later(self, process: SimulatedProcess, address: str, future: asyncio.Future) -> None:
        """Breaks off a call once the called process has been frozen for longer than the keep-alive time.

        The sent data stays in the called machine's socket buffer and is read when the process resumes, as with a real
        connection.
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
        """Sends a call over both machines' links, and its answer back, even if the caller has given up the call."""
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
        """Starts a call; both machines' processors spend time on it and on its answer, even if it was given up."""
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
        """Holds back all messages to a machine for these seconds, and other machines' messages for `backlog` more."""
        link = JammedUntil(self.loop.time() + seconds, self.loop.time() + seconds + backlog)
        self.jammed[name] = self.jammed[host] = link

    def client_wait(self, host: str) -> float:
        """How many seconds a message that a client sends to this host now waits in front of its link."""
        link = self.jammed.get(host)
        return 0.0 if link is None else max(0.0, link.clients - self.loop.time())

    def _machine_wait(self, name_or_host: str) -> float:
        """The same for another machine's message; there is no wait for messages sent after the jam."""
        link = self.jammed.get(name_or_host)
        return 0.0 if link is None or self.loop.time() >= link.clients else link.machines - self.loop.time()

    def _delay_answer(self, process: SimulatedProcess, future: asyncio.Future) -> asyncio.Future:
        """A future whose result reaches the caller's `future` only once the caller's link is free."""

        def deliver(answered: asyncio.Future) -> None:
            if not answered.cancelled():
                self.loop.call_later(
                    self._machine_wait(process.name), self._settle, future, answered.result(), context=process.context
                )

        delayed = self.loop.create_future()
        delayed.add_done_callback(deliver)
        return delayed

    def _start_late_call(
        self, process: SimulatedProcess, address: str, message: tuple, future: asyncio.Future, within: float
    ) -> None:
        World.start_call(self, process, address, message, future, within)

    def kill(self, process: SimulatedProcess, *, power: bool = False) -> None:
        """Kills a process; after a loss of power its callers detect that only by the keep-alive."""
        waiting = self.pending.pop(process, {}) if power else {}
        super().kill(process)
        self.processors.process_ended(process.name)
        for future in waiting:
            self.loop.call_later(KEEP_ALIVE_SECONDS, self._settle, future, _NO_ANSWER)

    def reset(self, *, names: Iterable[str], hosts: Iterable[str], share: float) -> None:
        """Breaks off a share of the calls from or to these machines; requests that arrived are still handled."""
        callers, called = set(names), set(hosts)
        for future, (caller, host) in list(self.calls.items()):
            if (caller in callers or host in called) and self.random.random() < share:
                self.loop.call_later(self.latency(), self._settle, future, _NO_ANSWER)
