"""Processors of limited speed that handle messages one at a time."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from hoistsaddle.rpc.messages import FetchAnswer, WriteAnswer, WriteCall

HandledCallback = Callable[[], None]


class ProcessorSpeed(NamedTuple):
    """The processing time of a message, in seconds; zeros for unlimited speed."""

    message_seconds: float = 0.0
    # For each log record, or outcome of one, in the message.
    record_seconds: float = 0.0

    def seconds_of(self, message: Any) -> float:
        """The time that reading and handling this message takes."""
        return self.message_seconds + self.record_seconds * records_in(message)


def records_in(message: Any) -> int:
    """The number of log records, or outcomes of records, in a message."""
    match message:
        case WriteCall(payloads=records) | FetchAnswer(records=records) | WriteAnswer(outcomes=records):
            return len(records)
    return 0


class _Job(NamedTuple):
    seconds: float
    handled: HandledCallback


class _Processor:
    """One machine's processor; messages that arrive while it is busy wait in FIFO order."""

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
        """Completes all waiting jobs at once."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        jobs, self.jobs = self.jobs, deque()
        for job in jobs:
            job.handled()


class Processors:
    """The processors of limited speed, by host; all other hosts handle messages without delay."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._processors: dict[str, _Processor] = {}
        # The hosts of machines by name.
        self._hosts: dict[str, str] = {}

    def add(self, name: str, host: str, *, speed: ProcessorSpeed) -> None:
        """Adds a processor of this speed for a machine, unless it has one; a speed of zeros means unlimited."""
        if any(speed) and host not in self._processors:
            self._processors[host] = _Processor(loop=self._loop, speed=speed)
            self._hosts[name] = host

    @property
    def limited(self) -> bool:
        """Whether any machine has a processor of limited speed."""
        return bool(self._processors)

    def host_of(self, name: str) -> str:
        """The host of a machine with a processor of limited speed; empty for any other."""
        return self._hosts.get(name, "")

    def handle(self, host: str, message: Any, handled: HandledCallback) -> None:
        """Queues a message at a host's processor.

        Args:
            host: where the message arrived; hosts without a processor of limited speed handle it without delay.
            message: the message.
            handled: called once the message is handled.
        """
        processor = self._processors.get(host)
        if processor is None:
            handled()
        else:
            processor.put(_Job(processor.speed.seconds_of(message), handled))

    def process_ended(self, name: str) -> None:
        """Completes all jobs of a machine whose process ended, as no process is left to handle them."""
        processor = self._processors.get(self._hosts.get(name, ""))
        if processor is not None:
            processor.clear()
