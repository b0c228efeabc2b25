"""Processors of machines that handle one message after the other, each in a time of its own."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from hoistsaddle.rpc.messages import FetchAnswer, WriteAnswer, WriteCall

Handled = Callable[[], None]


class ProcessorSpeed(NamedTuple):
    """What a message costs a processor, in seconds; zeros for one that costs nothing."""

    message_seconds: float = 0.0
    # For each record of the log, or its outcome, that the message carries.
    record_seconds: float = 0.0

    def seconds_of(self, message: Any) -> float:
        """What reading and handling this message costs."""
        return self.message_seconds + self.record_seconds * records_in(message)


def records_in(message: Any) -> int:
    """How many records of the log, or outcomes of records, a message carries."""
    match message:
        case WriteCall(payloads=records) | FetchAnswer(records=records) | WriteAnswer(outcomes=records):
            return len(records)
    return 0


class _Job(NamedTuple):
    seconds: float
    handled: Handled


class _Processor:
    """One machine's processor: what comes while it is busy waits in the order in which it came."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop, speed: ProcessorSpeed) -> None:
        self.loop = loop
        self.speed = speed
        self.jobs: deque[_Job] = deque()
        self.timer: asyncio.TimerHandle | None = None

    def put(self, job: _Job) -> None:
        self.jobs.append(job)
        if self.timer is None:
            self._begin()

    def _begin(self) -> None:
        self.timer = self.loop.call_later(self.jobs[0].seconds, self._end)

    def _end(self) -> None:
        self.timer = None
        job = self.jobs.popleft()
        if self.jobs:
            self._begin()
        job.handled()

    def clear(self) -> None:
        """Hands on at once all that waits."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        jobs, self.jobs = self.jobs, deque()
        for job in jobs:
            job.handled()


class Processors:
    """The processors of all machines that have a slow one, by host; others handle everything at once."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._processors: dict[str, _Processor] = {}
        # The hosts of machines by name.
        self._hosts: dict[str, str] = {}

    def add(self, name: str, host: str, *, speed: ProcessorSpeed) -> None:
        """Give a machine a processor of this speed, unless it has one; a speed of zeros leaves it as fast as can be."""
        if any(speed) and host not in self._processors:
            self._processors[host] = _Processor(loop=self._loop, speed=speed)
            self._hosts[name] = host

    @property
    def limited(self) -> bool:
        """Whether any machine has a slow processor."""
        return bool(self._processors)

    def host_of(self, name: str) -> str:
        """Return the host of a machine with a slow processor; empty for any other."""
        return self._hosts.get(name, "")

    def handle(self, host: str, message: Any, handled: Handled) -> None:
        """Have a host's processor handle a message once it has handled all that came before.

        Args:
            host: where the message arrived; empty for a machine whose processor handles all at once.
            message: the message.
            handled: called once it is handled.
        """
        processor = self._processors.get(host)
        if processor is None:
            handled()
        else:
            processor.put(_Job(processor.speed.seconds_of(message), handled))

    def ended(self, name: str) -> None:
        """Note that a machine's process ended: what it hadn't read is handled at once, by nobody."""
        processor = self._processors.get(self._hosts.get(name, ""))
        if processor is not None:
            processor.clear()
