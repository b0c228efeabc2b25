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
from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.emulator import Emulator
from hoistsaddle.testbed.emulator.machines import Process
from hoistsaddle.testbed.simulation.event_loop import SimulatedTimeLoop

WITNESS_INTERVAL_SECONDS = 0.02
# What a sample of the committed state may lag behind an answer that falls between two samples.
SLACK_SECONDS = 0.001


class CommittedRevisions:
    """Which revision of the news was committed when: by what any core machine has applied."""

    def __init__(self) -> None:
        self.timestamps: list[float] = []
        self.revisions: list[int] = []

    def note(self, now: float, revision: int) -> None:
        if not self.revisions or revision > self.revisions[-1]:
            self.timestamps.append(now)
            self.revisions.append(revision)

    def at(self, now: float) -> int:
        place = bisect.bisect_right(self.timestamps, now)
        return self.revisions[place - 1] if place else -1


class WitnessReport(NamedTuple):
    broken: dict[str, list[str]]
    # What was handed out as younger than it was, and machines that went back.
    overstated: list[str]
    back: list[str]
    # Sidecar to the longest time for which its word was older than a lease, with nothing wrong with its own machine.
    longest: dict[str, float]
    calls: Counter[str]
    octets: Counter[str]
    events: list[tuple[float, str, str, dict]]
    # Answers of control doors to proper orders at each machine: (moment, machine, status, seconds it took).
    told: list[tuple[float, str, int, float]]


class WatchedEmulator(Emulator):
    def __init__(self, *, count_from: float, **needs: Any) -> None:
        super().__init__(**needs)
        self.committed_revisions = CommittedRevisions()
        self.overstated: list[str] = []
        self.back: list[str] = []
        self.longest: dict[str, float] = {}
        self.calls: Counter[str] = Counter()
        self.octets: Counter[str] = Counter()
        self.told: list[tuple[float, str, int, float]] = []
        self.held: dict[int, tuple[int, int]] = {}
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
        self.told.append((began, machine, 0 if answer is None else answer.status, self.now() - began))
        return answer

    def handed_out(self, relay: Relay, answer: PollAnswer, *, now: float) -> None:
        """A relay's answer that says how old its word is: nothing newer may have been committed by then."""
        if answer.error:
            return
        at = relay.lease_start.total_seconds() - SLACK_SECONDS
        if answer.revision < self.committed_revisions.at(at):
            self.overstated.append(
                f"{relay.node} at {now:.3f} handed out {answer.revision} as of {at:.3f}, "
                f"when {self.committed_revisions.at(at)} was committed"
            )

    async def witness(self) -> None:
        while True:
            for process in self.processes.values():
                if process.simulated.dead or not process.open:
                    continue
                if hasattr(process.node, "store"):
                    core = process.node.store.runner.core
                    if core is not None:
                        self.committed_revisions.note(self.now(), core.state.news)
                else:
                    self._check_relay(process)
            await asyncio.sleep(WITNESS_INTERVAL_SECONDS)

    def _check_relay(self, process: Process) -> None:
        relay = process.node.relay
        held = (relay.copy.revision, getattr(relay, "epoch", 0))
        before = self.held.get(process.number, held)
        if held[0] < before[0] or held[1] < before[1]:
            self.back.append(f"{process.machine.name} went back from {before} to {held}")
        self.held[process.number] = held
        if (
            not process.simulated.frozen
            and relay.lease_start is not None
            and process.machine.name not in self.fault_injector.busy
        ):
            age = self.now() - relay.lease_start.total_seconds()
            self.longest[process.machine.name] = max(self.longest.get(process.machine.name, 0.0), age)

    async def play(self) -> None:
        looking = self.create_task(self.witness())
        await super().play()
        # A witness that ended early saw nothing: its day shows nothing either.
        if looking.done():
            looking.result()


def watch(day: Day, *, count_from: float = 0.0) -> WitnessReport:
    """Plays one day and gives what the rules and the witness found."""
    logger.disable("hoistsaddle")
    # For good: what a killed life never awaited may be found long after.
    warnings.filterwarnings("ignore", message="coroutine '.*' was never awaited", category=RuntimeWarning)
    loop, burial = SimulatedTimeLoop(), SimulatedTimeLoop()
    asyncio.set_event_loop(loop)
    plain = Relay.answer
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-watched-") as folder:
        environment = WatchedEmulator(count_from=count_from, day=day, loop=loop, folder=Path(folder))

        def answer(relay: Relay, *arguments: Any, **named: Any) -> PollAnswer:
            given = plain(relay, *arguments, **named)
            environment.handed_out(relay, given, now=environment.now())
            return given

        try:
            with mock.patch.object(Relay, "answer", answer):
                loop.run_until_complete(environment.play())
        finally:
            for process in environment.processes.values():
                process.kill()
            for task in environment.tasks:
                task.cancel()
            loop.close()
            # What killed lives left unfinished is collected now, and what its last lines start meets no later test.
            asyncio.set_event_loop(burial)
            gc.collect()
        environment.processes.clear()
        gc.collect()
        burial.close()
        asyncio.set_event_loop(None)
        logger.enable("hoistsaddle")
        broken = {rule: found for rule, found in check(environment.history, day).items() if found}
        return WitnessReport(
            broken,
            environment.overstated,
            environment.back,
            environment.longest,
            environment.calls,
            environment.octets,
            environment.events,
            environment.told,
        )
