"""Writes and confirmed reads at the leader's store, which is found by trying stores and following their hints.

Every caller gets a result within its timeout, also on a machine that is partitioned from the core: a command without an
answer by then is reported as unknown if the log may have accepted it. While there is no leader, one call at a time is
sent for all waiting commands, with exponential backoff between calls.
"""

import asyncio
from collections.abc import Iterable
from datetime import timedelta

from returns.result import Failure, Result, Success

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind, MeshError, NoLeader, OutcomeUnknown
from hoistsaddle.rpc.messages import UNSET, ReadAnswer, ReadCall, WriteAnswer, WriteCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.rpc.write_queue import Batch, PendingWrite, WriteQueue, note_not_accepted, note_sent
from hoistsaddle.statemachine.commands import Command, Outcome
from hoistsaddle.statemachine.encoding import pack_command, unpack_outcome

CALL_TIMEOUT = timedelta(milliseconds=700)
# How long a store that gave no answer is not tried again, even if other stores name it as the leader.
UNRESPONSIVE_HOLDOFF = timedelta(seconds=1)
MAX_BATCH_COMMANDS = 128
MAX_BATCHES_IN_FLIGHT = 6
# Between two attempts: long enough that following hints is not a busy loop, short compared with an election (1 s).
MIN_BACKOFF = milliseconds(20)
MAX_BACKOFF = milliseconds(320)

NO_LEADER = NoLeader(
    "No store currently leads with a majority.",
    remedy="Retry shortly; if the error persists, follow docs/operators/replacing-core-machines.md.",
)
UNSURE = OutcomeUnknown("The command was sent to the core, which has not yet confirmed whether it was accepted.")


def error_in(outcome: Outcome) -> MeshError:
    """The error with which the state machine refused a command."""
    return MeshError(outcome.error, outcome.message, outcome.remedy, outcome.field)


class Writer:
    """Batches commands into calls to the leader's store; several batches may be in flight."""

    def __init__(
        self, *, name: str, stores: dict[int, str], initial_store: int, runtime: Runtime, counters: Counters
    ) -> None:
        """Takes one store as the leader until an answer names another.

        Args:
            name: The node name sent as the caller.
            stores: The stores' addresses by replica number; entries may be added.
            initial_store: The replica that is called first.
            runtime: Clock and connections.
            counters: Counts calls and retries.
        """
        self.name = name
        self.stores = stores
        self.leader = initial_store
        self.runtime = runtime
        self.counters = counters
        self.unresponsive_since: dict[int, timedelta] = {}
        self.backoff = ExponentialBackoff(least=MIN_BACKOFF, most=MAX_BACKOFF)
        self.queue = WriteQueue(
            attempt=self._attempt,
            wait_for_backoff=self._wait_for_backoff,
            backoff=self.backoff,
            max_in_flight=lambda: MAX_BATCHES_IN_FLIGHT,
            max_batch_commands=MAX_BATCH_COMMANDS,
        )
        # The leader known to the replica in this process, if there is one, and the event that ends a backoff early.
        self.known_leader = UNSET
        self.leader_changed = asyncio.Event()

    @property
    def backlog(self) -> Batch:
        """The commands that wait to be sent, including those whose callers have timed out."""
        return self.queue.waiting

    def note_leader(self, leader: int) -> None:
        """Records the leader known to the replica in this process; a change to a known leader ends any backoff."""
        if leader == self.known_leader:
            return
        self.known_leader = leader
        if leader != UNSET:
            self.leader = leader
            self.backoff.reset()
            self.leader_changed.set()
            self.leader_changed = asyncio.Event()

    def _follow_hint(self, hint: int, target: int) -> None:
        """Picks the store for the next attempt, after `target` named `hint` as the leader; `UNSET` if it named none."""
        now = self.runtime.now()
        unresponsive = {
            replica for replica, since in self.unresponsive_since.items() if now - since < UNRESPONSIVE_HOLDOFF
        }
        if hint in self.stores and hint != target and hint not in unresponsive:
            self.leader = hint
        elif self.leader == target or hint in unresponsive:
            # No leader is known, or the named one is unresponsive: try the stores in turn.
            order = sorted(self.stores)
            rotation = order[order.index(target) + 1 :] + order[: order.index(target)]
            self.leader = next(
                (replica for replica in rotation if replica not in unresponsive), rotation[0] if rotation else target
            )

    def _mark_unresponsive(self, target: int) -> None:
        self.unresponsive_since[target] = self.runtime.now()
        self._follow_hint(UNSET, target)

    async def _wait_for_backoff(self) -> None:
        left = self.backoff.left(now=self.runtime.now())
        self.counters.gauge("writes.pause_milliseconds", self.backoff.delay.total_seconds() * 1000)
        try:
            async with asyncio.timeout(left.total_seconds()):
                await self.leader_changed.wait()
        except TimeoutError:
            pass

    async def read(self, *, part: str, known_revision: int, within: timedelta) -> Result[ReadAnswer, MeshError]:
        """Reads a part of the state, confirmed by the leader.

        Args:
            part: Which part, as the store names it.
            known_revision: The revision that the reader has, for which no content is sent again; `UNSET` for none.
            within: How long to retry.
        """
        deadline = self.runtime.now() + within
        while (remaining := deadline - self.runtime.now()) > timedelta():
            target = self.leader
            match await self.runtime.rpc_client.call(
                self.stores[target], ReadCall(self.name, part, known_revision), within=min(remaining, CALL_TIMEOUT)
            ):
                case Success(ReadAnswer(error="") as answer):
                    self.backoff.reset()
                    return Success(answer)
                case Success(ReadAnswer(leader=leader)):
                    self._follow_hint(leader, target)
                case _:
                    self._mark_unresponsive(target)
            self.counters.add("reads.again")
            self.backoff.failed(now=self.runtime.now())
            if self.runtime.now() + self.backoff.delay >= deadline:
                break
            await self._wait_for_backoff()
        return Failure(NO_LEADER)

    async def write(self, command: Command, *, within: timedelta) -> Result[Outcome, MeshError]:
        """Writes a command to the log and waits for its outcome.

        Any command may be sent repeatedly: the state machine recognises a repeated command by its fields.

        Returns:
            The outcome of the command, which may be a refusal; or an error if it was not, or perhaps not, accepted.
        """
        return (await self.write_payloads([pack_command(command)], within=within))[0]

    async def write_payloads(self, payloads: Iterable[bytes], *, within: timedelta) -> list[Result[Outcome, MeshError]]:
        """The same as `write` for several packed commands, which are sent in one call where possible."""
        loop = asyncio.get_running_loop()
        pending_writes = [PendingWrite(payload=payload, future=loop.create_future()) for payload in payloads]
        if not pending_writes:
            return []
        self.queue.add(pending_writes)
        # The caller's timeout ends the wait, whichever call is in flight and whatever is queued before the command.
        await asyncio.wait([pending_write.future for pending_write in pending_writes], timeout=within.total_seconds())
        return [self._result_of(pending_write) for pending_write in pending_writes]

    def _result_of(self, pending_write: PendingWrite) -> Result[Outcome, MeshError]:
        if pending_write.future.done():
            return pending_write.future.result()
        pending_write.future.cancel()
        self.counters.add("writes.unsure" if pending_write.maybe_accepted else "writes.not_taken")
        return Failure(UNSURE if pending_write.maybe_accepted else NO_LEADER)

    async def _attempt(self, batch: Batch) -> bool:
        """Sends the whole batch in one call; returns whether it was answered with outcomes."""
        target = self.leader
        maybe_accepted_before = note_sent(batch)
        call = WriteCall(self.name, tuple(pending_write.payload for pending_write in batch))
        match await self.runtime.rpc_client.call(self.stores[target], call, within=CALL_TIMEOUT):
            case Success(WriteAnswer(error="", outcomes=outcomes)):
                self.counters.add("writes.carried", len(batch))
                self.backoff.reset()
                for pending_write, outcome in zip(batch, outcomes, strict=True):
                    if not pending_write.future.done():
                        pending_write.future.set_result(Success(unpack_outcome(outcome)))
                return True
            case Success(WriteAnswer(error=error, leader=leader)):
                certainly_not_accepted = error != ErrorKind.UNSURE
                self._follow_hint(leader, target)
            case result:
                certainly_not_accepted = (
                    not isinstance(result, Success) and result.failure().kind == ErrorKind.UNREACHABLE
                )
                self._mark_unresponsive(target)
        if certainly_not_accepted:
            note_not_accepted(batch, maybe_accepted_before=maybe_accepted_before)
        self.backoff.failed(now=self.runtime.now())
        self.counters.add("writes.again")
        return False

    def stop(self) -> None:
        """Cancels the calls in flight; commands without an answer are reported when their timeouts expire."""
        self.queue.stop()
