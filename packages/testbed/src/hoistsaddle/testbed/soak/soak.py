"""One soak: the emulator's clients, servers, operators and faults, played on real processes in real time."""

import asyncio
import contextvars
import itertools
import random
import signal
from collections import Counter
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple

import aiohttp

from hoistsaddle.testbed.emulator.checkers import check
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.emulator import Emulator, SeedList
from hoistsaddle.testbed.emulator.environment import Misbehaviour
from hoistsaddle.testbed.emulator.fault_injector import FaultInjector
from hoistsaddle.testbed.emulator.history import (
    ChangeAnswered,
    FaultStarted,
    History,
    RequestResult,
    RunEnded,
    RunStarted,
)
from hoistsaddle.testbed.emulator.history_index import HistoryIndex
from hoistsaddle.testbed.emulator.operators import Operators
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.site import CoreMachine, SidecarMachine
from hoistsaddle.testbed.emulator.statuses import OK
from hoistsaddle.testbed.soak.clients import CROSSED, SoakClients
from hoistsaddle.testbed.soak.pauses import Pause, excuse, pauses_in, share_left_out
from hoistsaddle.testbed.soak.processes import RealProcess, Usage, as_process
from hoistsaddle.testbed.soak.servers import SoakServer, as_server

USAGE_SECONDS = 1.0
# From the start of the processes to traffic, at the least, and a little more for each process.
LEAD_SECONDS, LEAD_SECONDS_PER_PROCESS = 6.0, 0.15
# With more of the time than this left out by standstills, a run says nothing.
MAX_LEFT_OUT = 0.1
# So many requests may be passed on from a kept connection that then closes without an answer (NEWS-22).
TOLERATED_CROSSINGS = 3
# Requests of each broken rule whose story is told.
STORIES_PER_RULE = 3
# Rules of the emulator that are no rules of a soak: it has no closing fault and no quota of traffic to serve.
NO_RULES = ("RECOVER", "GATE")


class SoakReport(NamedTuple):
    """What one soak came to."""

    day: Day
    requests: int
    outcomes: dict[str, int]
    changes: int
    signals: dict[str, int]
    pauses: list[Pause]
    left_out: float
    usage: list[Usage]
    broken: dict[str, list[str]]
    # What was seen of each request that a broken rule names, in the order of time.
    stories: dict[str, list[str]]

    @property
    def judged(self) -> bool:
        """Whether the machine was quiet enough for rules with a bound in time."""
        return self.left_out <= MAX_LEFT_OUT


class Soak(Emulator):
    """The emulator's day with real processes. What it inherits plays clients, servers, operators and faults."""

    def __init__(self, *, day: Day, folder: Path, session: aiohttp.ClientSession, older: Path | None = None) -> None:
        # Not the emulator's own: it makes a simulated world.
        self.day = day
        self.loop: Any = asyncio.get_running_loop()
        self.random = random.Random(f"soak {day.seed}")
        self.folder = folder
        self.session = session
        self.older = older
        self.world: Any = SimpleNamespace(folder=folder)
        self.history = History()
        self.counter = itertools.count(1)
        self.outside = contextvars.copy_context()
        self.tasks = set()
        self.processes = {}
        self.machines = {}
        self.core = {machine.name: machine for machine in day.site.core}
        self.successors = {}
        self.seed_lists = [SeedList(0.0, list(day.site.core))]
        self.servers = {}
        self.ready = {}
        self.misbehaviours: dict[str, Misbehaviour] = {}
        self.events = []
        self.clients: SoakClients = SoakClients(environment=self)
        self.operators = Operators(environment=self)
        self.fault_injector = FaultInjector(environment=self)
        self.incarnations = itertools.count(1)
        self.trigger_waiters = {}
        self.usage: list[Usage] = []
        self.began_at, self.began_wall = self.now(), datetime.now()

    # -- the emulator's surroundings, for real ----------------------------------------------------------------------

    def _done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.record_failure(f"the soak itself: {error!r}")

    def leader(self) -> str:
        """Any controller: who leads is not looked up."""
        return self.random.choice(list(self.core))

    def start(self, name: str, *, cold: bool = False) -> None:
        """Start a machine's program."""
        machine: CoreMachine | SidecarMachine = self.machines.get(name) or self.core[name]
        process = RealProcess(
            environment=self,
            machine=machine,
            number=next(self.incarnations),
            folder=self.folder,
            session=self.session,
            older=self.older,
        )
        self.processes[name] = process  # type: ignore[assignment]
        process.start(cold=cold)

    def new_server(self, machine: SidecarMachine) -> None:
        """Start a new server beside a machine's sidecar."""
        server = SoakServer(environment=self, machine=machine, service=machine.service)
        self.servers[machine.name] = server
        self.create_task(server.listen())
        self.create_task(server.send_heartbeats())

    async def control(self, machine: str, method: str, path: str, body: bytes, *, within: float) -> Any:
        """Call a machine's control interface; None if no answer came in time."""
        found = self.machines.get(machine) or self.core.get(machine)
        if found is None:
            return None
        url = f"http://{found.host}:{adapter('samples').CONTROL}{path}"
        timeout = aiohttp.ClientTimeout(total=within)
        try:
            async with self.session.request(method, url, data=body, timeout=timeout) as answer:
                return SimpleNamespace(status=answer.status, body=await answer.read())
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def _is_ready(self, process: Any) -> bool:  # type: ignore[override]
        return await as_process(process).ready()

    def _check_tasks(self) -> None:
        """Programs that end by themselves are recorded where that happens."""

    # -- the run ----------------------------------------------------------------------------------------------------

    async def _start_site(self) -> None:
        # Like the platform's own starts of core machines: their core is not settled until they have had their time.
        starting = [self.fault_injector.record_start(machine.name, "start") for machine in self.day.site.core]
        self._start_machines()
        self.create_task(self._watch_usage())
        configured = self.create_task(self.operators.first_configuration())
        await asyncio.sleep(LEAD_SECONDS + LEAD_SECONDS_PER_PROCESS * len(self.processes))
        await asyncio.wait({configured}, timeout=LEAD_SECONDS)
        for number in starting:
            self.fault_injector.record_end(number)

    async def _watch_usage(self) -> None:
        while True:
            found = [as_process(process).usage() for process in self.processes.values()]
            self.usage += [each for each in found if each is not None]
            await asyncio.sleep(USAGE_SECONDS)

    async def end(self) -> None:
        """End all processes, and wait until they are gone."""
        for task in list(self.tasks):
            task.cancel()
        self.clients.close()
        for server in self.servers.values():
            as_server(server).end()
        processes = [as_process(process) for process in self.processes.values()]
        for process in processes:
            if process.frozen:
                process.wake()
            process.kill()
        ends = [process.ended for process in processes if process.was_started]
        if ends:
            await asyncio.wait(ends, timeout=LEAD_SECONDS)

    def report(self) -> SoakReport:
        """Judge what was seen."""
        day, history = self.day, self.history
        machines: list[CoreMachine | SidecarMachine] = [*day.site.core, *day.site.sidecars]
        pauses = [
            pause
            for machine in machines
            for pause in pauses_in(
                self.folder / f"{machine.name}.log", machine=machine.name, clock=self.began_at, wall=self.began_wall
            )
        ]
        signals = Counter(fault.kind for fault in history.of(FaultStarted))
        results = history.of(RequestResult)
        seconds = self.now() - self.began_at
        excuse(history, [pause for pause in pauses if not self._explained(pause)])
        broken = {rule: found for rule, found in check(history, day).items() if found and rule not in NO_RULES}
        if lost := lost_on_kept_connections(HistoryIndex(history=history, day=day)):
            broken["LOST kept"] = lost
        return SoakReport(
            day,
            len(results),
            dict(Counter(f"{each.outcome} {each.status or ''}".strip() for each in results)),
            sum(each.status == OK for each in history.of(ChangeAnswered)),
            dict(signals),
            pauses,
            share_left_out(
                [pause for pause in pauses if not self._explained(pause)], machines=len(machines), seconds=seconds
            ),
            self.usage,
            broken,
            self._stories(broken),
        )

    def _stories(self, broken: dict[str, list[str]]) -> dict[str, list[str]]:
        named = [line.split()[0] for found in broken.values() for line in found[:STORIES_PER_RULE]]
        attempts = {started.run: started.attempt for started in self.history.of(RunStarted)}
        stories: dict[str, list[str]] = {}
        for name in dict.fromkeys(named):
            attempt = attempts.get(name, name)
            about = [event for event in self.history.events if getattr(event, "attempt", "") == attempt]
            runs = {event.run for event in about if isinstance(event, RunStarted)}
            about += [ended for ended in self.history.of(RunEnded) if ended.run in runs]
            about += [event for event in self.history.events if getattr(event, "change_request", "") == name]
            stories[name] = [
                f"{event.at - self.began_at:9.3f} s  {event}" for event in sorted(about, key=lambda event: event.at)
            ]
        return stories

    def _explained(self, pause: Pause) -> bool:
        """Whether the soak itself made the program stand still."""
        return any(
            fault.kind == "freeze" and fault.machine == pause.machine and pause.began - 1 < fault.at < pause.ended + 1
            for fault in self.history.of(FaultStarted)
        )


def lost_on_kept_connections(index: HistoryIndex) -> list[str]:
    """Requests that went on to a server which answered, while their kept connection closed without an answer.

    At a machine without unplanned faults that may happen a few times: a request may cross the sidecar's close.
    """
    found = []
    for result in index.history.of(RequestResult):
        request = index.requests[result.attempt]
        answered = [
            started.run
            for started in index.runs_by_attempt[result.attempt]
            if (ended := index.ended_runs.get(started.run)) is not None and ended.complete
        ]
        faults = index.timeline.by_machine.get(request.machine, ())
        excused = any(not fault.planned and fault.overlaps(request.at, result.at) for fault in faults)
        if result.outcome == CROSSED and answered and not excused:
            found.append(f"{result.attempt} went on as {answered[0]}, and its connection closed without an answer")
    return found if len(found) > TOLERATED_CROSSINGS else []


async def run_soak(
    day: Day, *, folder: Path, older: Path | None = None, write_line: Callable[[str], None] = lambda line: None
) -> SoakReport:
    """Play a soak's day on real processes; nothing is left behind, whatever ends it.

    Args:
        day: drawn for a site on loopback addresses.
        folder: of settings, data and logs.
        older: a checkout of a former release, built for the platform, whose programs run in the place of these.
        write_line: takes progress for people.
    """
    loop, main = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        # By default the second one would end this process at once, and leave all others behind.
        loop.add_signal_handler(number, lambda: main.cancel() if main is not None else None)
    async with aiohttp.ClientSession() as session:
        soak = Soak(day=day, folder=folder, session=session, older=older)
        try:
            write_line(f"seed {day.seed}: {len(day.events)} events in {day.seconds:.0f} s; logs in {folder}")
            await soak.play()
        finally:
            await soak.end()
        return soak.report()
