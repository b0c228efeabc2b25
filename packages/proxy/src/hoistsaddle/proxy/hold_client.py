"""Commands about keys on their way to the log: they wait here, and go in batches to one registry after the other."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from returns.result import Success

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.concurrency_limit import ConcurrencyLimit
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.proxy.messages import HoldCommand
from hoistsaddle.proxy.registry_addresses import RegistryAddresses
from hoistsaddle.rpc.messages import WriteAnswer, WriteCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.rpc.write_queue import Batch, PendingWrite, WriteQueue, note_not_accepted, note_sent
from hoistsaddle.statemachine.commands import Outcome
from hoistsaddle.statemachine.encoding import pack_command, tag_of, unpack_outcome

# How long a command without a deadline is tried, and how long one registry gets for a batch: the next may not be
# frozen.
SUBMIT_TIMEOUT = milliseconds(1500)
ATTEMPT_TIMEOUT = milliseconds(500)
MAX_BATCHES_IN_FLIGHT = 8
MAX_BATCH_COMMANDS = 64


class SubmitResult(NamedTuple):
    """What came of a command: its outcome, or None and whether the log may still take it."""

    outcome: Outcome | None
    maybe_accepted: bool


class _PendingCommand(PendingWrite):
    """A command that is waited for until a deadline; its future gets the outcome, and is cancelled without one."""

    def __init__(self, *, payload: bytes, future: asyncio.Future, deadline: timedelta) -> None:
        super().__init__(payload=payload, future=future)
        self.deadline = deadline


class HoldClient:
    """Submits commands about keys.

    Whoever waits for one waits here and not at the core: a command whose deadline passes before it was sent costs the
    core nothing, and certainly isn't in the log. How many batches are in flight follows from how the core keeps up.
    """

    def __init__(
        self,
        *,
        runtime: Runtime,
        counters: Counters,
        core: CoreState,
        registries: RegistryAddresses,
        backoff: ExponentialBackoff,
    ) -> None:
        """Begin as if the registries answered.

        Args:
            runtime: clock and connections.
            counters: what operators read.
            core: whose view says which registry is beside the log's leader.
            registries: which are tried, in their order.
            backoff: between two attempts that failed.
        """
        self._runtime = runtime
        self._counters = counters
        self._core = core
        self._registries = registries
        self._backoff = backoff
        self._limit = ConcurrencyLimit(most=MAX_BATCHES_IN_FLIGHT)
        self._queue = WriteQueue(
            attempt=self._attempt,
            wait_for_backoff=self._wait_for_backoff,
            backoff=backoff,
            max_in_flight=lambda: self._limit.value,
            max_batch_commands=MAX_BATCH_COMMANDS,
        )

    async def submit(self, command: HoldCommand, *, deadline: timedelta | None = None) -> SubmitResult:
        """Submit one command.

        Args:
            command: a claim, a settlement or a release.
            deadline: until when the answer is of use, on the process's monotonic clock; by default a span from now.

        Returns:
            What the log made of it. One that is on its way at its deadline is waited for until that call ends.
        """
        self._counters.add(f"holds.{tag_of(command)}")
        began = self._runtime.now()
        future = asyncio.get_running_loop().create_future()
        if deadline is None:
            deadline = began + SUBMIT_TIMEOUT
        write = _PendingCommand(payload=pack_command(command), future=future, deadline=deadline)
        self._queue.add([write])
        await asyncio.wait([future], timeout=max(0.0, (deadline - began).total_seconds()))
        if write.in_flight:
            # It ends with the call that it is in, at the latest.
            await asyncio.wait([future], timeout=ATTEMPT_TIMEOUT.total_seconds())
        return self._result_of(write, waited=self._runtime.now() - began)

    def _result_of(self, write: _PendingCommand, *, waited: timedelta) -> SubmitResult:
        if write.future.done() and not write.future.cancelled():
            self._counters.add("holds.answered")
            self._counters.add("holds.answer_milliseconds", waited / milliseconds(1))
            return SubmitResult(write.future.result(), True)
        write.future.cancel()
        self._counters.add("holds.mishaps")
        if not write.maybe_accepted:
            self._counters.add("holds.not_sent")
        return SubmitResult(None, write.maybe_accepted)

    async def _wait_for_backoff(self) -> None:
        self._counters.add("holds.paused")
        await asyncio.sleep(self._backoff.left(now=self._runtime.now()).total_seconds())

    async def _attempt(self, batch: Batch) -> bool:
        """One call with the whole batch; true once all of it is concluded."""
        address = self._registries.first
        maybe_accepted_before = note_sent(batch)
        sent_at = self._runtime.now()
        call = WriteCall(self._core.settings.name, tuple(write.payload for write in batch))
        match await self._runtime.rpc_client.call(address, call, within=ATTEMPT_TIMEOUT):
            case Success(WriteAnswer(error="", leader=leader, outcomes=outcomes)) if len(outcomes) == len(batch):
                self._answered(batch, outcomes, leader)
                pause = min(self._limit.pause_after(self._runtime.now() - sent_at), self._backoff.most)
                await asyncio.sleep(pause.total_seconds())
                return True
            case Success(WriteAnswer(error=error)):
                certainly_not_accepted = error not in ("", ErrorKind.UNSURE)
            case result:
                certainly_not_accepted = (
                    not isinstance(result, Success) and result.failure().kind == ErrorKind.UNREACHABLE
                )
        if certainly_not_accepted:
            note_not_accepted(batch, maybe_accepted_before=maybe_accepted_before)
        self._failed(batch, address)
        return False

    def _answered(self, batch: Batch, outcomes: tuple[bytes, ...], leader: int) -> None:
        self._backoff.reset()
        self._prefer_leader(leader)
        if 2 * len(self._expired(batch)) > len(batch):
            self._limit.decrease()
        else:
            self._limit.increase()
        for write, outcome in zip(batch, outcomes, strict=True):
            if not write.future.done():
                write.future.set_result(unpack_outcome(outcome))

    def _failed(self, batch: Batch, address: str) -> None:
        # The next registry may reach the leader; the commands are the same commands there.
        self._registries.demote(address)
        self._backoff.failed(now=self._runtime.now())
        self._limit.decrease()
        for write in self._expired(batch):
            write.future.cancel()

    def _expired(self, batch: Batch) -> Batch:
        """Return the commands whose deadlines have passed while they were in flight."""
        now = self._runtime.now()
        return [write for write in batch if isinstance(write, _PendingCommand) and now >= write.deadline]

    def _prefer_leader(self, leader: int) -> None:
        """Try the registry beside the leader first from now on."""
        node = self._core.view.nodes.get(f"bourse-{leader}")
        if node is not None:
            self._registries.promote(node.address)
