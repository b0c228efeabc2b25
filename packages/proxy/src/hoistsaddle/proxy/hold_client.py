"""Client for commands about keys: queues them and submits them in batches to the log through one of the registries."""

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

# The timeout of a command without a deadline, and of one batch at one registry. The latter is shorter, so that another
# registry is tried if the first one is frozen.
SUBMIT_TIMEOUT = milliseconds(1500)
ATTEMPT_TIMEOUT = milliseconds(500)
MAX_BATCHES_IN_FLIGHT = 8
MAX_BATCH_COMMANDS = 64


class SubmitResult(NamedTuple):
    """The result of a command: its outcome, or None and whether the log may have accepted it or may still do so."""

    outcome: Outcome | None
    maybe_accepted: bool


class _PendingCommand(PendingWrite):
    """A command with a deadline; its future gets the outcome, or is cancelled if there is none."""

    def __init__(self, *, payload: bytes, future: asyncio.Future, deadline: timedelta) -> None:
        super().__init__(payload=payload, future=future)
        self.deadline = deadline


class HoldClient:
    """Submits commands about keys.

    Commands are queued here and not at the core: a command whose deadline passes before it was sent costs the core
    nothing, and is certainly not in the log. The number of batches in flight adapts to how fast the core answers.
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
        """Start without backoff.

        Args:
            runtime: clock and connections.
            counters: counters of the process, which operators read.
            core: its view gives the address of the registry on the log leader's machine.
            registries: the registries to try, in order.
            backoff: wait after a failed attempt.
        """
        self._runtime = runtime
        self._counters = counters
        self._core = core
        self._registries = registries
        self._backoff = backoff
        self._limit = ConcurrencyLimit(max_limit=MAX_BATCHES_IN_FLIGHT)
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
            deadline: monotonic time until which the answer is useful; SUBMIT_TIMEOUT from now by default.

        Returns:
            The log's outcome, if any. A command in flight at its deadline is waited for until that call ends.
        """
        self._counters.add(f"holds.{tag_of(command)}")
        started = self._runtime.now()
        future = asyncio.get_running_loop().create_future()
        if deadline is None:
            deadline = started + SUBMIT_TIMEOUT
        write = _PendingCommand(payload=pack_command(command), future=future, deadline=deadline)
        self._queue.add([write])
        await asyncio.wait([future], timeout=max(0.0, (deadline - started).total_seconds()))
        if write.in_flight:
            # Its future is done by the end of the call that carries it.
            await asyncio.wait([future], timeout=ATTEMPT_TIMEOUT.total_seconds())
        return self._result_of(write, waited=self._runtime.now() - started)

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
        """Send the whole batch in one call; return true once every command in it has its outcome."""
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
                not_accepted = error not in ("", ErrorKind.UNSURE)
            case result:
                not_accepted = not isinstance(result, Success) and result.failure().kind == ErrorKind.UNREACHABLE
        if not_accepted:
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
        # The next registry may reach the leader. Commands are idempotent, so they may be submitted again there.
        self._registries.demote(address)
        self._backoff.failed(now=self._runtime.now())
        self._limit.decrease()
        for write in self._expired(batch):
            write.future.cancel()

    def _expired(self, batch: Batch) -> Batch:
        """Return the commands whose deadlines passed while they were in flight."""
        now = self._runtime.now()
        return [write for write in batch if isinstance(write, _PendingCommand) and now >= write.deadline]

    def _prefer_leader(self, leader: int) -> None:
        """Try the registry on the leader's machine first from now on."""
        node = self._core.view.nodes.get(f"bourse-{leader}")
        if node is not None:
            self._registries.promote(node.address)
