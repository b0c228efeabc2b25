"""Commands on their way to the log: they wait here, in one place, and travel in batches of which few are in flight.

What waits here costs nobody anything, and who gives up waiting takes it back. While attempts fail, one at a time goes
out for all that wait, with exponential backoff between attempts.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

from hoistsaddle.common.backoff import ExponentialBackoff


class PendingWrite:
    """One packed command on its way to the log."""

    def __init__(self, *, payload: bytes, future: asyncio.Future) -> None:
        """Begins as a command that was never sent.

        Args:
            payload: The packed command.
            future: Gets the result. One that is done or cancelled is not sent (again).
        """
        self.payload = payload
        self.future = future
        # Whether a receiver may hold it: true from when it is sent, until that receiver says it never took it.
        self.maybe_accepted = False
        # Whether a call with it is under way.
        self.in_flight = False


Batch = list[PendingWrite]


def note_sent(batch: Batch) -> set[PendingWrite]:
    """Notes that a call with the batch goes out; returns those that an earlier call may have brought to a receiver."""
    maybe_accepted_before = {write for write in batch if write.maybe_accepted}
    for write in batch:
        write.maybe_accepted = write.in_flight = True
    return maybe_accepted_before


def note_not_accepted(batch: Batch, *, maybe_accepted_before: set[PendingWrite]) -> None:
    """Notes that the last call's receiver took none of the batch; an earlier one's may still have."""
    for write in batch:
        write.maybe_accepted = write in maybe_accepted_before


class WriteQueue:
    """Hands what waits to an attempt, batch by batch."""

    def __init__(
        self,
        *,
        attempt: Callable[[Batch], Awaitable[bool]],
        wait_for_backoff: Callable[[], Awaitable[None]],
        backoff: ExponentialBackoff,
        max_in_flight: Callable[[], int],
        max_batch_commands: int,
    ) -> None:
        """Begins empty.

        Args:
            attempt: Makes one call with a batch; true once all of it is concluded. It notes failures in the backoff.
            wait_for_backoff: Waits until the next attempt is due, or something gives hope before.
            backoff: Between attempts while they fail.
            max_in_flight: The most batches in flight at this moment.
            max_batch_commands: The most commands of one batch.
        """
        self._attempt = attempt
        self._wait_for_backoff = wait_for_backoff
        self._backoff = backoff
        self._max_in_flight = max_in_flight
        self._max_batch_commands = max_batch_commands
        self.waiting: Batch = []
        self._batches_in_flight = 0
        self._tasks: set[asyncio.Task] = set()
        # While attempts fail, one task retries for all that wait.
        self._retrying = False
        self._stopped = False

    def add(self, writes: Batch) -> None:
        """Takes up commands, and sends what may be sent."""
        self.waiting += writes
        self._flush()

    def stop(self) -> None:
        """Cancels what is in flight; commands without a result stay without one."""
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
        # A few batches in flight at most: what arrives meanwhile goes together into the next.
        while self.waiting and self._batches_in_flight < self._max_in_flight():
            self._batches_in_flight += 1
            self._spawn(self._send_batch(self._next_batch()), at_end=self._batch_ended)

    def _spawn(self, work: Coroutine, *, at_end: Callable[[], None]) -> None:
        """Runs `work` as a task. `at_end` follows in a callback, which a task that is only collected never runs."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

        def ended(task: asyncio.Task) -> None:
            self._tasks.discard(task)
            at_end()

        task.add_done_callback(ended)

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
        """While attempts fail, retries alone for all that wait; each attempt takes those whose callers still wait."""
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
