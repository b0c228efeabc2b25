"""Writes and confirmed reads at whichever store leads, found by asking and by following hints.

Whoever asks here gets an answer within the time-out that it gave, also on a machine that is cut off: a command that is
still unanswered then is reported as unknown, if the log may have taken it. While nobody leads, one call at a time goes
out for all that wait, with exponential backoff between calls.
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
# How long a store that gave no answer is not tried again, whatever the others believe of it.
UNRESPONSIVE_HOLDOFF = timedelta(seconds=1)
MAX_BATCH_COMMANDS = 128
MAX_BATCHES_IN_FLIGHT = 6
# Between two attempts: long enough that following hints isn't busy work, short beside an election's second.
MIN_BACKOFF = milliseconds(20)
MAX_BACKOFF = milliseconds(320)

NO_LEADER = NoLeader(
    "No store leads with a majority at the moment.",
    remedy="Ask again shortly; if it lasts, docs/operators/replacing-core-machines.md names the ways out.",
)
UNSURE = OutcomeUnknown("It was handed to the core, which hasn't said yet whether it is taken.")


def error_in(outcome: Outcome) -> MeshError:
    """The error with which the log refused a command."""
    return MeshError(outcome.error, outcome.message, outcome.remedy, outcome.field)


class Writer:
    """Batches commands into calls to the leader's store; several batches may be in flight."""

    def __init__(self, *, name: str, stores: dict[int, str], home: int, runtime: Runtime, counters: Counters) -> None:
        """Begins at one store and finds the leader from there.

        Args:
            name: The name under which it calls.
            stores: The stores' addresses by replica number; it may grow.
            home: The replica to begin with.
            runtime: Clock and connections.
            counters: What to count in.
        """
        self.name = name
        self.stores = stores
        self.leader = home
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
        # The leader that the replica in this process follows, if there is one; and what ends a backoff early.
        self.known_leader = UNSET
        self.leader_changed = asyncio.Event()

    @property
    def backlog(self) -> Batch:
        """The commands that wait here to be sent, those that were given up included."""
        return self.queue.waiting

    def note_leader(self, leader: int) -> None:
        """Takes over the leader that the replica in the same process follows; a newly known one ends any backoff."""
        if leader == self.known_leader:
            return
        self.known_leader = leader
        if leader != UNSET:
            self.leader = leader
            self.backoff.reset()
            self.leader_changed.set()
            self.leader_changed = asyncio.Event()

    def _follow_hint(self, hint: int, target: int) -> None:
        """Picks the store for the next attempt, after `target` named `hint` as the leader, or nobody."""
        now = self.runtime.now()
        unresponsive = {
            replica for replica, since in self.unresponsive_since.items() if now - since < UNRESPONSIVE_HOLDOFF
        }
        if hint in self.stores and hint != target and hint not in unresponsive:
            self.leader = hint
        elif self.leader == target or hint in unresponsive:
            # Nobody knows, or they still name the one that gave no answer: go round.
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
            known_revision: The revision the reader has, whose content need not come again; `UNSET` for none.
            within: How long to try.
        """
        deadline = self.runtime.now() + within
        while (left := deadline - self.runtime.now()) > timedelta():
            target = self.leader
            match await self.runtime.rpc_client.call(
                self.stores[target], ReadCall(self.name, part, known_revision), within=min(left, CALL_TIMEOUT)
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
        """Has the log commit a command.

        Every command may be sent again: each carries what makes its repetition recognisable in the log.

        Returns:
            What the log made of it, which may be a refusal; or an error if it was not, or perhaps not, taken.
        """
        return (await self.write_payloads([pack_command(command)], within=within))[0]

    async def write_payloads(self, payloads: Iterable[bytes], *, within: timedelta) -> list[Result[Outcome, MeshError]]:
        """The same as `write` for several packed commands, which travel together where they can."""
        loop = asyncio.get_running_loop()
        pending_writes = [PendingWrite(payload=payload, future=loop.create_future()) for payload in payloads]
        if not pending_writes:
            return []
        self.queue.add(pending_writes)
        # The caller's own time-out ends the wait, whatever call is still in flight and whatever is queued before it.
        await asyncio.wait([pending_write.future for pending_write in pending_writes], timeout=within.total_seconds())
        return [self._result_of(pending_write) for pending_write in pending_writes]

    def _result_of(self, pending_write: PendingWrite) -> Result[Outcome, MeshError]:
        if pending_write.future.done():
            return pending_write.future.result()
        pending_write.future.cancel()
        self.counters.add("writes.unsure" if pending_write.maybe_accepted else "writes.not_taken")
        return Failure(UNSURE if pending_write.maybe_accepted else NO_LEADER)

    async def _attempt(self, batch: Batch) -> bool:
        """One call with the whole batch; true once all of it is concluded."""
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
        """Cancels what is in flight; commands without an answer are reported when their time-outs end."""
        self.queue.stop()
