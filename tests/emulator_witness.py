"""Days of the emulator with a witness that compares the copies that machines hand out with the committed state."""

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
from hoistsaddle.rpc.codec import pack
from hoistsaddle.rpc.messages import PollAnswer
from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.emulator import Emulator
from hoistsaddle.testbed.emulator.machines import Process
from hoistsaddle.testbed.simulation.event_loop import SimulatedTimeLoop

WITNESS_INTERVAL_SECONDS = 0.02
# How far a sample of the committed state may lag behind an answer given between two samples.
SLACK_SECONDS = 0.001


class CommittedRevisions:
    """When each revision was first seen committed, based on the applied state of any core machine."""

    def __init__(self) -> None:
        self.timestamps: list[float] = []
        self.revisions: list[int] = []

    def record(self, now: float, revision: int) -> None:
        if not self.revisions or revision > self.revisions[-1]:
            self.timestamps.append(now)
            self.revisions.append(revision)

    def at(self, now: float) -> int:
        place = bisect.bisect_right(self.timestamps, now)
        return self.revisions[place - 1] if place else -1


class WitnessReport(NamedTuple):
    """The findings of the emulator's rules and of the witness on one day."""

    broken: dict[str, list[str]]
    # Copies reported as more recent than they were, and machines that reverted to an older copy.
    overstated: list[str]
    back: list[str]
    # By sidecar, the longest time for which its copy was stale while its own machine had no fault.
    longest: dict[str, float]
    calls: Counter[str]
    octets: Counter[str]
    events: list[tuple[float, str, str, dict]]
    # Answers of the control interface to valid changes: (time, machine, status, seconds it took).
    control_answers: list[tuple[float, str, int, float]]


class WatchedEmulator(Emulator):
    """An emulator that samples the committed revision and counts calls from `count_from` seconds on."""

    def __init__(self, *, count_from: float, **named: Any) -> None:
        super().__init__(**named)
        self.committed_revisions = CommittedRevisions()
        self.overstated: list[str] = []
        self.back: list[str] = []
        self.longest: dict[str, float] = {}
        self.calls: Counter[str] = Counter()
        self.octets: Counter[str] = Counter()
        self.control_answers: list[tuple[float, str, int, float]] = []
        self.positions: dict[int, tuple[int, int]] = {}
        self.count_from = count_from
        self.began = self.now()
        self.world.on_call = self._count

    def _count(self, life: Any, address: str, message: tuple) -> None:
        if self.now() - self.began >= self.count_from:
            kind = type(message).__name__
            self.calls[kind] += 1
            self.octets[kind] += len(pack(number=1, answer=False, message=message))

    async def control(self, machine: str, method: str, path: str, body: bytes, *, within: float) -> Any:
        began = self.now()
        answer = await super().control(machine, method, path, body, within=within)
        self.control_answers.append((began, machine, 0 if answer is None else answer.status, self.now() - began))
        return answer

    def check_answer(self, relay: Relay, answer: PollAnswer, *, now: float) -> None:
        """A relay's answer states the age of its copy: no newer revision may have been committed at that time."""
        if answer.error:
            return
        at = relay.lease_start.total_seconds() - SLACK_SECONDS
        if answer.revision < self.committed_revisions.at(at):
            self.overstated.append(
                f"{relay.node} at {now:.3f} handed out {answer.revision} as of {at:.3f}, "
                f"when {self.committed_revisions.at(at)} was committed"
            )

    async def witness(self) -> None:
        """Samples every process throughout the day."""
        while True:
            for process in self.processes.values():
                if process.simulated.dead or not process.open:
                    continue
                if hasattr(process.node, "store"):
                    core = process.node.store.runner.core
                    if core is not None:
                        self.committed_revisions.record(self.now(), core.state.data_plane_revision)
                else:
                    self._check_relay(process)
            await asyncio.sleep(WITNESS_INTERVAL_SECONDS)

    def _check_relay(self, process: Process) -> None:
        relay = process.node.relay
        position = (relay.copy.revision, getattr(relay, "epoch", 0))
        before = self.positions.get(process.number, position)
        if position[0] < before[0] or position[1] < before[1]:
            self.back.append(f"{process.machine.name} reverted from {before} to {position}")
        self.positions[process.number] = position
        if (
            not process.simulated.frozen
            and relay.lease_start is not None
            and process.machine.name not in self.fault_injector.busy
        ):
            age = self.now() - relay.lease_start.total_seconds()
            self.longest[process.machine.name] = max(self.longest.get(process.machine.name, 0.0), age)

    async def play(self) -> None:
        witnessing = self.create_task(self.witness())
        await super().play()
        # If the witness ended early, its exception is raised here, since the day was not observed.
        if witnessing.done():
            witnessing.result()


def watch(day: Day, *, count_from: float = 0.0) -> WitnessReport:
    """Plays one day and returns the findings of the rules and the witness."""
    logger.disable("hoistsaddle")
    # Not restored afterwards: coroutines of killed processes may be collected much later.
    warnings.filterwarnings("ignore", message="coroutine '.*' was never awaited", category=RuntimeWarning)
    loop, cleanup_loop = SimulatedTimeLoop(), SimulatedTimeLoop()
    asyncio.set_event_loop(loop)
    plain = Relay.answer
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-watched-") as folder:
        emulator = WatchedEmulator(count_from=count_from, day=day, loop=loop, folder=Path(folder))

        def answer(relay: Relay, *arguments: Any, **named: Any) -> PollAnswer:
            given = plain(relay, *arguments, **named)
            emulator.check_answer(relay, given, now=emulator.now())
            return given

        try:
            with mock.patch.object(Relay, "answer", answer):
                loop.run_until_complete(emulator.play())
        finally:
            for process in emulator.processes.values():
                process.kill()
            for task in emulator.tasks:
                task.cancel()
            loop.close()
            # Collects the unfinished coroutines of killed processes now, so that they don't affect later tests.
            asyncio.set_event_loop(cleanup_loop)
            gc.collect()
        emulator.processes.clear()
        gc.collect()
        cleanup_loop.close()
        asyncio.set_event_loop(None)
        logger.enable("hoistsaddle")
        broken = {rule: found for rule, found in check(emulator.history, day).items() if found}
        return WitnessReport(
            broken,
            emulator.overstated,
            emulator.back,
            emulator.longest,
            emulator.calls,
            emulator.octets,
            emulator.events,
            emulator.control_answers,
        )
