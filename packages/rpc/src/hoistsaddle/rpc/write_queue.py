"""A queue of commands to be written to the log: they are sent in batches, with few batches in flight.

Queued commands cause no load elsewhere, and a caller that stops waiting cancels its command. While attempts fail, only
one batch at a time is sent for the whole queue, with exponential backoff between attempts.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

from hoistsaddle.common.backoff import ExponentialBackoff


class PendingWrite:
    """One encoded command that is to be written to the log."""

    def __init__(self, *, payload: bytes, future: asyncio.Future) -> None:
        """Starts as a command that was never sent.

        Args:
            payload: The encoded command.
            future: Receives the result. A command whose future is done or cancelled is not sent (again).
        """
        self.payload = payload
        self.future = future
        # Whether a receiver may have accepted it: set when it is sent, cleared if that receiver reports otherwise.
        self.maybe_accepted = False
        # Whether a call with it is in flight.
        self.in_flight = False


Batch = list[PendingWrite]


def note_sent(batch: Batch) -> set[PendingWrite]:
    """Marks a batch as sent; returns its writes that a receiver may have accepted from an earlier call."""
    maybe_accepted_before = {write for write in batch if write.maybe_accepted}
    for write in batch:
        write.maybe_accepted = write.in_flight = True
    return maybe_accepted_before


def note_not_accepted(batch: Batch, *, maybe_accepted_before: set[PendingWrite]) -> None:
    """Marks a batch as not accepted by the receiver of the last call; that of an earlier call may have accepted it."""
    for write in batch:
        write.maybe_accepted = write in maybe_accepted_before


class WriteQueue:
    """Passes the queued commands to `attempt`, batch by batch."""

    def __init__(
        self,
        *,
        attempt: Callable[[Batch], Awaitable[bool]],
        wait_for_backoff: Callable[[], Awaitable[None]],
        backoff: ExponentialBackoff,
        max_in_flight: Callable[[], int],
        max_batch_commands: int,
    ) -> None:
        """Starts empty.

        Args:
            attempt: Makes one call with a batch; returns true if all its commands have results. Records failures in the
                backoff.
            wait_for_backoff: Waits until the next attempt is due, or until there is reason to retry earlier.
            backoff: The delay between attempts while they fail.
            max_in_flight: Returns the present maximum of batches in flight.
            max_batch_commands: The maximum number of commands in a batch.
        """
        self._attempt = attempt
        self._wait_for_backoff = wait_for_backoff
        self._backoff = backoff
        self._max_in_flight = max_in_flight
        self._max_batch_commands = max_batch_commands
        self.waiting: Batch = []
        self._batches_in_flight = 0
        self._tasks: set[asyncio.Task] = set()
        # While attempts fail, a single task retries for the whole queue.
        self._retrying = False
        self._stopped = False

    def add(self, writes: Batch) -> None:
        """Queues commands, and sends as many as the limits allow."""
        self.waiting += writes
        self._flush()

    def stop(self) -> None:
        """Cancels the batches in flight; commands without a result get none."""
        self._stopped = True
        for task in list(self._tasks):
            task.cancel()

    def _flush(self) -> None:
        self.waiting = [write for write in self.waiting if not write.future.done()]
        if self._stopped:
            return
        if self._backoff.failing:
            if self.waiting and not self._retrying:
                self._retrying = True
                self._spawn(self._retry(), at_end=self._retry_ended)
            return
        # Only a few batches are in flight: commands that arrive meanwhile share the next batch.
        while self.waiting and self._batches_in_flight < self._max_in_flight():
            self._batches_in_flight += 1
            self._spawn(self._send_batch(self._next_batch()), at_end=self._batch_ended)

    def _spawn(self, work: Coroutine, *, at_end: Callable[[], None]) -> None:
        """Runs `work` as a task, then `at_end` as a callback, which is not run for a task that is garbage-collected."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

        def finished(task: asyncio.Task) -> None:
            self._tasks.discard(task)
            at_end()

        task.add_done_callback(finished)

    def _batch_ended(self) -> None:
        self._batches_in_flight -= 1
        self._flush()

    def _retry_ended(self) -> None:
        self._retrying = False
        self._flush()

    def _next_batch(self) -> Batch:
        waiting = [write for write in self.waiting if not write.future.done()]
        batch, self.waiting = waiting[: self._max_batch_commands], waiting[self._max_batch_commands :]
        return batch

    async def _send_batch(self, batch: Batch) -> None:
        if not await self._attempt_once(batch):
            self.waiting = [*batch, *self.waiting]

    async def _retry(self) -> None:
        """Retries, as the only sender, while attempts fail; each attempt sends commands whose callers still wait."""
        while self._backoff.failing:
            await self._wait_for_backoff()
            if not (batch := self._next_batch()):
                return
            if not await self._attempt_once(batch):
                self.waiting = [*batch, *self.waiting]

    async def _attempt_once(self, batch: Batch) -> bool:
        try:
            return await self._attempt(batch)
        finally:
            for write in batch:
                write.in_flight = False
