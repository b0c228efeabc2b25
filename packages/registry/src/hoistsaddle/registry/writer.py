"""Writes and confirmed reads at whichever warehouse leads, found by asking and by following hints."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta

from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.rpc.messages import ReadAnswer, ReadCall, WriteAnswer, WriteCall
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.commands import Command, Outcome, pack_command, unpack_outcome

CALL_SPAN = timedelta(milliseconds=700)
# How long a warehouse that gave no answer is passed by, whatever the others believe of it.
PASSED_BY = timedelta(seconds=1)
MOST_IN_BATCH = 128
MOST_IN_FLIGHT = 6

NO_LEADER = Mishap(
    MishapKind.NO_LEADER,
    "No warehouse leads with a majority at the moment.",
    "Ask again shortly; if it lasts, docs/operators/replacing-core-machines.md names the ways out.",
)


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
        self.backlog: list[tuple[bytes, timedelta, asyncio.Future]] = []
        self.in_flight = 0
        self.tasks: set[asyncio.Task] = set()

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
        self._follow_hint(-1, tried)

    async def read(self, *, part: str, known_revision: int, within: timedelta) -> Result[ReadAnswer, Mishap]:
        deadline = self.runtime.now() + within
        while (left := deadline - self.runtime.now()) > timedelta():
            tried = self.leader
            match await self.runtime.lines.call(
                self.warehouses[tried], ReadCall(self.name, part, known_revision), within=min(left, CALL_SPAN)
            ):
                case Success(ReadAnswer(mishap="") as answer):
                    return Success(answer)
                case Success(ReadAnswer(leader=leader)):
                    self._follow_hint(leader, tried)
                case _:
                    self._fell_silent(tried)
            await asyncio.sleep(milliseconds(15).total_seconds())
        return Failure(NO_LEADER)

    async def write(self, command: Command, *, within: timedelta) -> Result[Outcome, Mishap]:
        """Every command may be forwarded again: each carries what makes its repetition recognisable in the log."""
        future = asyncio.get_running_loop().create_future()
        self.backlog.append((pack_command(command), self.runtime.now() + within, future))
        self._flush()
        return await future

    async def write_payloads(self, payloads: Iterable[bytes], *, within: timedelta) -> list[Result[Outcome, Mishap]]:
        futures = []
        for payload in payloads:
            future = asyncio.get_running_loop().create_future()
            self.backlog.append((payload, self.runtime.now() + within, future))
            futures.append(future)
        self._flush()
        return list(await asyncio.gather(*futures))

    def _flush(self) -> None:
        # A few batches in flight at most: what arrives meanwhile goes together into the next.
        while self.backlog and self.in_flight < MOST_IN_FLIGHT:
            batch, self.backlog = self.backlog[:MOST_IN_BATCH], self.backlog[MOST_IN_BATCH:]
            self.in_flight += 1
            task = asyncio.ensure_future(self._carry(batch))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _carry(self, batch: list[tuple[bytes, timedelta, asyncio.Future]]) -> None:
        try:
            while batch:
                tried = self.leader
                answer = await self.runtime.lines.call(
                    self.warehouses[tried],
                    WriteCall(self.name, tuple(payload for payload, _, _ in batch)),
                    within=CALL_SPAN,
                )
                match answer:
                    case Success(WriteAnswer(mishap="", outcomes=outcomes)):
                        self.counters.add("writes.carried", len(batch))
                        for (_, _, future), outcome in zip(batch, outcomes, strict=True):
                            if not future.done():
                                future.set_result(Success(unpack_outcome(outcome)))
                        return
                    case Success(WriteAnswer(leader=leader)):
                        self._follow_hint(leader, tried)
                    case _:
                        self._fell_silent(tried)
                self.counters.add("writes.again")
                now = self.runtime.now()
                for _, deadline, future in batch:
                    if now >= deadline and not future.done():
                        future.set_result(Failure(NO_LEADER))
                batch = [entry for entry in batch if not entry[2].done()]
                await asyncio.sleep(milliseconds(20).total_seconds())
        finally:
            self.in_flight -= 1
            self._flush()

    def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
