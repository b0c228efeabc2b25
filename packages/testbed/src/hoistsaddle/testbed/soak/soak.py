"""One soak run: the emulator's clients, servers, operators and faults on real processes in real time."""

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
from hoistsaddle.testbed.soak.pauses import Pause, excluded_share_of, pauses_in, record_pauses
from hoistsaddle.testbed.soak.processes import RealProcess, Usage, as_process
from hoistsaddle.testbed.soak.servers import SoakServer, as_server

USAGE_SECONDS = 1.0
# The delay between the start of the processes and the traffic: a minimum, and an addition for each process.
LEAD_SECONDS, LEAD_SECONDS_PER_PROCESS = 6.0, 0.15
# If pauses exclude more than this share of the time, timed rules are not checked.
MAX_EXCLUDED_SHARE = 0.1
# The number of forwarded requests whose kept connection may close without an answer (NEWS-22).
MAX_CROSSED_REQUESTS = 3
# The number of requests of each broken rule whose events are listed.
TRACED_REQUESTS_PER_RULE = 3
# Rules of the emulator that a soak does not check: it has no closing fault and no minimum of served traffic.
SKIPPED_RULES = ("RECOVER", "GATE")


class SoakReport(NamedTuple):
    """The results of one soak run."""

    day: Day
    requests: int
    outcomes: dict[str, int]
    changes: int
    signals: dict[str, int]
    pauses: list[Pause]
    excluded_share: float
    usage: list[Usage]
    broken: dict[str, list[str]]
    # The events of each request that a broken rule names, by time.
    event_traces: dict[str, list[str]]

    @property
    def timed_rules_apply(self) -> bool:
        """Whether pauses were short enough for rules with a bound in time to be checked."""
        return self.excluded_share <= MAX_EXCLUDED_SHARE


class Soak(Emulator):
    """Runs the emulator's day with real processes; the base class runs clients, servers, operators and faults."""

    def __init__(self, *, day: Day, folder: Path, session: aiohttp.ClientSession, older: Path | None = None) -> None:
        # The emulator's constructor is not called: it creates a simulated world.
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

    # -- real processes in place of the emulator's simulated ones ---------------------------------------------------

    def _done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.record_failure(f"a task of the soak failed: {error!r}")

    def leader(self) -> str:
        """Return a random controller: the leader of real processes is not determined."""
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
        """Do nothing: a program that ends by itself is recorded when its process exits."""

    # -- the run ----------------------------------------------------------------------------------------------------

    async def _start_site(self) -> None:
        # Recorded like the platform's starts of core machines, so that the core counts as unsettled until they end.
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
            usages = [as_process(process).usage() for process in self.processes.values()]
            self.usage += [each for each in usages if each is not None]
            await asyncio.sleep(USAGE_SECONDS)

    async def end(self) -> None:
        """Kill all processes and wait until they have exited."""
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
        """Check the history and return the results."""
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
        record_pauses(history, [pause for pause in pauses if not self._caused_by_freeze(pause)])
        broken = {
            rule: violations
            for rule, violations in check(history, day).items()
            if violations and rule not in SKIPPED_RULES
        }
        if lost := lost_on_kept_connections(HistoryIndex(history=history, day=day)):
            broken["LOST kept"] = lost
        return SoakReport(
            day,
            len(results),
            dict(Counter(f"{each.outcome} {each.status or ''}".strip() for each in results)),
            sum(each.status == OK for each in history.of(ChangeAnswered)),
            dict(signals),
            pauses,
            excluded_share_of(
                [pause for pause in pauses if not self._caused_by_freeze(pause)],
                machines=len(machines),
                seconds=seconds,
            ),
            self.usage,
            broken,
            self._event_traces(broken),
        )

    def _event_traces(self, broken: dict[str, list[str]]) -> dict[str, list[str]]:
        names = [line.split()[0] for violations in broken.values() for line in violations[:TRACED_REQUESTS_PER_RULE]]
        attempts = {started.run: started.attempt for started in self.history.of(RunStarted)}
        event_traces: dict[str, list[str]] = {}
        for name in dict.fromkeys(names):
            attempt = attempts.get(name, name)
            related_events = [event for event in self.history.events if getattr(event, "attempt", "") == attempt]
            runs = {event.run for event in related_events if isinstance(event, RunStarted)}
            related_events += [ended for ended in self.history.of(RunEnded) if ended.run in runs]
            related_events += [event for event in self.history.events if getattr(event, "change_request", "") == name]
            event_traces[name] = [
                f"{event.at - self.began_at:9.3f} s  {event}"
                for event in sorted(related_events, key=lambda event: event.at)
            ]
        return event_traces

    def _caused_by_freeze(self, pause: Pause) -> bool:
        """Whether a freeze that the soak injected caused the pause."""
        return any(
            fault.kind == "freeze" and fault.machine == pause.machine and pause.began - 1 < fault.at < pause.ended + 1
            for fault in self.history.of(FaultStarted)
        )


def lost_on_kept_connections(index: HistoryIndex) -> list[str]:
    """Return the requests that a server answered although their kept connection closed without an answer.

    On a machine without unplanned faults a few are tolerated: a request may cross the sidecar's close of the
    connection.
    """
    lost = []
    for result in index.history.of(RequestResult):
        request = index.requests[result.attempt]
        answered = [
            started.run
            for started in index.runs_by_attempt[result.attempt]
            if (ended := index.ended_runs.get(started.run)) is not None and ended.complete
        ]
        faults = index.timeline.by_machine.get(request.machine, ())
        explained = any(not fault.planned and fault.overlaps(request.at, result.at) for fault in faults)
        if result.outcome == CROSSED and answered and not explained:
            lost.append(f"{result.attempt} ran as {answered[0]}, and its connection closed without an answer")
    return lost if len(lost) > MAX_CROSSED_REQUESTS else []


async def run_soak(
    day: Day, *, folder: Path, older: Path | None = None, write_line: Callable[[str], None] = lambda line: None
) -> SoakReport:
    """Run a soak's day on real processes; all processes are ended, also on an error or a signal.

    Args:
        day: the day, for a site on loopback addresses.
        folder: holds settings, data and logs.
        older: a checkout of a former release, built for the platform, whose programs run instead of the present ones.
        write_line: receives progress messages.
    """
    loop, main = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        # The default handling of SIGTERM would end this process at once and leave all others running.
        loop.add_signal_handler(number, lambda: main.cancel() if main is not None else None)
    async with aiohttp.ClientSession() as session:
        soak = Soak(day=day, folder=folder, session=session, older=older)
        try:
            write_line(f"seed {day.seed}: {len(day.events)} events in {day.seconds:.0f} s; logs in {folder}")
            await soak.play()
        finally:
            await soak.end()
        return soak.report()
