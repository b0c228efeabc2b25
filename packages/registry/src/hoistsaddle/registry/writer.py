"""Writes and confirmed reads at whichever warehouse leads, found by asking and by following hints.

Whoever asks here gets an answer inside the span that it gave, also on a machine that is cut off: an order that is still
unanswered then is told so, and whether the core may have taken it. While nobody leads, one call at a time goes out for
all that wait, with a pause between them that grows.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from datetime import timedelta

from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.common.pause import GrowingPause
from hoistsaddle.rpc.messages import UNSET, ReadAnswer, ReadCall, WriteAnswer, WriteCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.commands import Command, Outcome, pack_command, unpack_outcome

CALL_SPAN = timedelta(milliseconds=700)
# How long a warehouse that gave no answer is passed by, whatever the others believe of it.
PASSED_BY = timedelta(seconds=1)
MOST_IN_BATCH = 128
MOST_IN_FLIGHT = 6
# Between two tries: long enough that a hint's hop isn't busy work, short enough to be no part of an election's second.
PAUSE_LEAST = milliseconds(20)
PAUSE_MOST = milliseconds(320)

NO_LEADER = Mishap(
    MishapKind.NO_LEADER,
    "No warehouse leads with a majority at the moment.",
    "Ask again shortly; if it lasts, docs/operators/replacing-core-machines.md names the ways out.",
)
UNSURE = Mishap(
    MishapKind.UNSURE,
    "It was handed to the core, which hasn't said yet whether it is taken.",
    "Send the same again, here or to another machine: what was taken is confirmed, and nothing counts twice.",
)


class _Entry:
    """One command under way."""

    def __init__(self, *, payload: bytes, future: asyncio.Future) -> None:
        self.payload = payload
        self.future = future
        # Whether a warehouse may hold it: true from the moment it is sent, until that warehouse says it never took it.
        self.perhaps_taken = False


class Writer:
    def __init__(
        self, *, name: str, warehouses: dict[int, str], home: int, runtime: Runtime, counters: Counters
    ) -> None:
        self.name = name
        self.warehouses = warehouses
        self.leader = home
        self.runtime = runtime
        self.counters = counters
        self.silent: dict[int, timedelta] = {}
        self.backlog: list[_Entry] = []
        self.in_flight = 0
        self.tasks: set[asyncio.Task] = set()
        self.pause = GrowingPause(least=PAUSE_LEAST, most=PAUSE_MOST)
        # The leader that the replica beside this writer follows, where there is one; and what wakes those that pause.
        self.known_leader = UNSET
        self.woken = asyncio.Event()
        # While tries fail, one task tries again for all that wait.
        self.retrying = False
        self.stopped = False

    def leader_known(self, leader: int) -> None:
        """What the replica in the same process knows; a leader newly known ends all pauses."""
        if leader == self.known_leader:
            return
        self.known_leader = leader
        if leader != UNSET:
            self.leader = leader
            self.pause.reset()
            self.woken.set()
            self.woken = asyncio.Event()

    def _follow_hint(self, hint: int, tried: int) -> None:
        now = self.runtime.now()
        passed_by = {replica for replica, moment in self.silent.items() if now - moment < PASSED_BY}
        if hint in self.warehouses and hint != tried and hint not in passed_by:
            self.leader = hint
        elif self.leader == tried or hint in passed_by:
            # Nobody knows, or they still name the one that fell silent: go round.
            order = sorted(self.warehouses)
            turn = order[order.index(tried) + 1 :] + order[: order.index(tried)]
            self.leader = next((replica for replica in turn if replica not in passed_by), turn[0] if turn else tried)

    def _fell_silent(self, tried: int) -> None:
        self.silent[tried] = self.runtime.now()
        self._follow_hint(UNSET, tried)

    async def _rest(self) -> None:
        left = self.pause.left(now=self.runtime.now())
        self.counters.gauge("writes.pause_milliseconds", self.pause.span.total_seconds() * 1000)
        try:
            async with asyncio.timeout(left.total_seconds()):
                await self.woken.wait()
        except TimeoutError:
            pass

    async def read(self, *, part: str, known_revision: int, within: timedelta) -> Result[ReadAnswer, Mishap]:
        deadline = self.runtime.now() + within
        while (left := deadline - self.runtime.now()) > timedelta():
            tried = self.leader
            match await self.runtime.lines.call(
                self.warehouses[tried], ReadCall(self.name, part, known_revision), within=min(left, CALL_SPAN)
            ):
                case Success(ReadAnswer(mishap="") as answer):
                    self.pause.reset()
                    return Success(answer)
                case Success(ReadAnswer(leader=leader)):
                    self._follow_hint(leader, tried)
                case _:
                    self._fell_silent(tried)
            self.counters.add("reads.again")
            self.pause.failed(now=self.runtime.now())
            if self.runtime.now() + self.pause.span >= deadline:
                break
            await self._rest()
        return Failure(NO_LEADER)

    async def write(self, command: Command, *, within: timedelta) -> Result[Outcome, Mishap]:
        """Every command may be forwarded again: each carries what makes its repetition recognisable in the log."""
        return (await self.write_payloads([pack_command(command)], within=within))[0]

    async def write_payloads(self, payloads: Iterable[bytes], *, within: timedelta) -> list[Result[Outcome, Mishap]]:
        loop = asyncio.get_running_loop()
        entries = [_Entry(payload=payload, future=loop.create_future()) for payload in payloads]
        if not entries:
            return []
        self.backlog += entries
        self._flush()
        # The asker's own span ends the wait, whatever call is still in flight and whoever stands before it in line.
        await asyncio.wait([entry.future for entry in entries], timeout=within.total_seconds())
        return [self._told(entry) for entry in entries]

    def _told(self, entry: _Entry) -> Result[Outcome, Mishap]:
        if entry.future.done():
            return entry.future.result()
        entry.future.cancel()
        self.counters.add("writes.unsure" if entry.perhaps_taken else "writes.not_taken")
        return Failure(UNSURE if entry.perhaps_taken else NO_LEADER)

    def _flush(self) -> None:
        self.backlog = [entry for entry in self.backlog if not entry.future.done()]
        if self.stopped:
            return
        if self.pause.failing:
            if self.backlog and not self.retrying:
                self.retrying = True
                self._spawn(self._retry(), at_end=self._retry_ended)
            return
        # A few batches in flight at most: what arrives meanwhile goes together into the next.
        while self.backlog and self.in_flight < MOST_IN_FLIGHT:
            self.in_flight += 1
            self._spawn(self._carry(self._next_batch()), at_end=self._carry_ended)

    def _spawn(self, work: Coroutine, *, at_end: Callable[[], None]) -> None:
        """Runs `work` as a task. `at_end` follows in a callback, which a task that is only collected never runs."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)

        def ended(task: asyncio.Task) -> None:
            self.tasks.discard(task)
            at_end()

        task.add_done_callback(ended)

    def _carry_ended(self) -> None:
        self.in_flight -= 1
        self._flush()

    def _retry_ended(self) -> None:
        self.retrying = False
        self._flush()

    def _next_batch(self) -> list[_Entry]:
        waiting = [entry for entry in self.backlog if not entry.future.done()]
        batch, self.backlog = waiting[:MOST_IN_BATCH], waiting[MOST_IN_BATCH:]
        return batch

    async def _carry(self, batch: list[_Entry]) -> None:
        if not await self._try(batch):
            self.backlog = [*batch, *self.backlog]

    async def _retry(self) -> None:
        """While tries fail, this one goes on for all that wait, with those that are still waited for at its moment."""
        while self.pause.failing:
            await self._rest()
            if not (batch := self._next_batch()):
                return
            if not await self._try(batch):
                self.backlog = [*batch, *self.backlog]

    async def _try(self, batch: list[_Entry]) -> bool:
        """One call with the whole batch; true once all of it is concluded."""
        tried = self.leader
        before = {entry for entry in batch if entry.perhaps_taken}
        for entry in batch:
            entry.perhaps_taken = True
        call = WriteCall(self.name, tuple(entry.payload for entry in batch))
        match await self.runtime.lines.call(self.warehouses[tried], call, within=CALL_SPAN):
            case Success(WriteAnswer(mishap="", outcomes=outcomes)):
                self.counters.add("writes.carried", len(batch))
                self.pause.reset()
                for entry, outcome in zip(batch, outcomes, strict=True):
                    if not entry.future.done():
                        entry.future.set_result(Success(unpack_outcome(outcome)))
                return True
            case Success(WriteAnswer(mishap=mishap, leader=leader)):
                never = mishap != MishapKind.UNSURE
                self._follow_hint(leader, tried)
            case result:
                never = not isinstance(result, Success) and result.failure().kind == MishapKind.UNREACHABLE
                self._fell_silent(tried)
        if never:
            # It took none of it; an earlier try at another one may still have.
            for entry in batch:
                entry.perhaps_taken = entry in before
        self.pause.failed(now=self.runtime.now())
        self.counters.add("writes.again")
        return False

    def stop(self) -> None:
        self.stopped = True
        for task in list(self.tasks):
            task.cancel()
