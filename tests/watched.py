"""Days of the emulator under the eye of a witness: what each machine hands out, against what was committed by then."""

import asyncio
import bisect
import gc
import tempfile
import warnings
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple
from unittest import mock

from loguru import logger

from hoistsaddle.membership.relay import Relay
from hoistsaddle.rpc.messages import PollAnswer, pack
from hoistsaddle.testbed.emulator.arena import Arena
from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.machines import Process
from hoistsaddle.testbed.simulation.clockwork import ClockworkLoop

LOOK_SECONDS = 0.02
# What a sample of the committed state may lag behind an answer that falls between two samples.
SLACK_SECONDS = 0.001


class Truth:
    """Which revision of the news was committed when: by what any core machine has applied."""

    def __init__(self) -> None:
        self.moments: list[float] = []
        self.revisions: list[int] = []

    def note(self, moment: float, revision: int) -> None:
        if not self.revisions or revision > self.revisions[-1]:
            self.moments.append(moment)
            self.revisions.append(revision)

    def at(self, moment: float) -> int:
        place = bisect.bisect_right(self.moments, moment)
        return self.revisions[place - 1] if place else -1


class Seen(NamedTuple):
    broken: dict[str, list[str]]
    # What was handed out as younger than it was, and machines that went back.
    untrue: list[str]
    back: list[str]
    # Sidecar to the longest time for which its word was older than a lease, with nothing wrong with its own machine.
    longest: dict[str, float]
    calls: Counter[str]
    octets: Counter[str]
    happenings: list[tuple[float, str, str, dict]]
    # Answers of control doors to proper orders at each machine: (moment, machine, status, seconds it took).
    told: list[tuple[float, str, int, float]]


class WatchedArena(Arena):
    def __init__(self, *, count_from: float, **needs: Any) -> None:
        super().__init__(**needs)
        self.truth = Truth()
        self.untrue: list[str] = []
        self.back: list[str] = []
        self.longest: dict[str, float] = {}
        self.calls: Counter[str] = Counter()
        self.octets: Counter[str] = Counter()
        self.told: list[tuple[float, str, int, float]] = []
        self.held: dict[int, tuple[int, int]] = {}
        self.count_from = count_from
        self.began = self.moment()
        self.world.seen_calls = self._count

    def _count(self, life: Any, address: str, message: tuple) -> None:
        if self.moment() - self.began >= self.count_from:
            kind = type(message).__name__
            self.calls[kind] += 1
            self.octets[kind] += len(pack(number=1, answer=False, message=message))

    async def control(self, machine: str, method: str, path: str, body: bytes, *, within: float) -> Any:
        began = self.moment()
        answer = await super().control(machine, method, path, body, within=within)
        self.told.append((began, machine, 0 if answer is None else answer.status, self.moment() - began))
        return answer

    def handed_out(self, relay: Relay, answer: PollAnswer, *, now: float) -> None:
        """A relay's answer that says how old its word is: nothing newer may have been committed by then."""
        if answer.mishap:
            return
        at = relay.lease_start.total_seconds() - SLACK_SECONDS
        if answer.revision < self.truth.at(at):
            self.untrue.append(
                f"{relay.node} at {now:.3f} handed out {answer.revision} as of {at:.3f}, when {self.truth.at(at)} was "
                "committed"
            )

    async def witness(self) -> None:
        while True:
            for process in self.processes.values():
                if process.life.dead or not process.open:
                    continue
                if hasattr(process.node, "warehouse"):
                    core = process.node.warehouse.shell.core
                    if core is not None:
                        self.truth.note(self.moment(), core.state.news)
                else:
                    self._look_at(process)
            await asyncio.sleep(LOOK_SECONDS)

    def _look_at(self, process: Process) -> None:
        relay = process.node.relay
        held = (relay.copy.revision, getattr(relay, "epoch", 0))
        before = self.held.get(process.number, held)
        if held[0] < before[0] or held[1] < before[1]:
            self.back.append(f"{process.machine.name} went back from {before} to {held}")
        self.held[process.number] = held
        if not process.life.frozen and relay.lease_start is not None and process.machine.name not in self.harms.busy:
            age = self.moment() - relay.lease_start.total_seconds()
            self.longest[process.machine.name] = max(self.longest.get(process.machine.name, 0.0), age)

    async def play(self) -> None:
        looking = self.keep(self.witness())
        await super().play()
        # A witness that ended early saw nothing: its day shows nothing either.
        if looking.done():
            looking.result()


def watch(day: Day, *, count_from: float = 0.0) -> Seen:
    """Plays one day and gives what the rules and the witness found."""
    logger.disable("hoistsaddle")
    # For good: what a killed life never awaited may be found long after.
    warnings.filterwarnings("ignore", message="coroutine '.*' was never awaited", category=RuntimeWarning)
    loop, burial = ClockworkLoop(), ClockworkLoop()
    asyncio.set_event_loop(loop)
    plain = Relay.answer
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-watched-") as folder:
        arena = WatchedArena(count_from=count_from, day=day, loop=loop, folder=Path(folder))

        def answer(relay: Relay, *arguments: Any, **named: Any) -> PollAnswer:
            given = plain(relay, *arguments, **named)
            arena.handed_out(relay, given, now=arena.moment())
            return given

        try:
            with mock.patch.object(Relay, "answer", answer):
                loop.run_until_complete(arena.play())
        finally:
            for process in arena.processes.values():
                process.kill()
            for task in arena.tasks:
                task.cancel()
            loop.close()
            # What killed lives left unfinished is collected now, and what its last lines start meets no later test.
            asyncio.set_event_loop(burial)
            gc.collect()
        arena.processes.clear()
        gc.collect()
        burial.close()
        asyncio.set_event_loop(None)
        logger.enable("hoistsaddle")
        broken = {rule: found for rule, found in check(arena.history, day).items() if found}
        return Seen(
            broken,
            arena.untrue,
            arena.back,
            arena.longest,
            arena.calls,
            arena.octets,
            arena.happenings,
            arena.told,
        )
