"""The emulator of the users' platform: plays a day in simulated time with the product's own programs."""

import asyncio
import contextvars
import gc
import itertools
import random
import tempfile
import warnings
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, NamedTuple

from loguru import logger

from hoistsaddle.testbed.emulator.clients import Call, Clients
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.disks import Disks
from hoistsaddle.testbed.emulator.environment import NO_MISBEHAVIOUR, Misbehaviour
from hoistsaddle.testbed.emulator.fault_injector import TRIGGER_DELAY_SECONDS, FaultInjector
from hoistsaddle.testbed.emulator.history import FinalFaultEnded, History, ProgramFailed
from hoistsaddle.testbed.emulator.machines import Process
from hoistsaddle.testbed.emulator.network import EmulatedWorld
from hoistsaddle.testbed.emulator.operators import Operators
from hoistsaddle.testbed.emulator.scheduled_events import (
    SENT,
    Change,
    ChangeStorm,
    FinalFault,
    InvalidChange,
    LargeChange,
    LostAnswers,
    RepeatChange,
    ScheduledEvent,
)
from hoistsaddle.testbed.emulator.servers import Server
from hoistsaddle.testbed.emulator.site import BOUNDS, CORE, CoreMachine, RequestKind, Route, SidecarMachine
from hoistsaddle.testbed.simulation.event_loop import SimulatedTimeLoop

# Seconds from the start of the machines to the first traffic.
WARM_UP_SECONDS = 5.0
# Traffic starts at the latest this many seconds later, even if the first configuration isn't confirmed.
FIRST_CONFIGURATION_SECONDS = 20.0
# Traffic continues for this many seconds after the time that the platform allows for recovery.
AFTER_FINAL_FAULT_SECONDS = 5.0
# How long the end of the day waits for changes in flight, and the fault-free time before the final change beyond
# `contact_s`.
CHANGES_IN_FLIGHT_SECONDS = 5.0
CALM_SECONDS = 1.5
# The longest wait for the trigger of the final fault.
TRIGGER_TIMEOUT_SECONDS = 1.0
READY_CHECK_SECONDS = 1.0
# Clients avoid a machine after this many consecutive failed ready checks.
MISSES_UNTIL_NOT_READY = 2
CONTROL_LATENCY_SECONDS = 0.001
# The last octet of the first successor's address; machines of a site have lower ones.
FIRST_SUCCESSOR_NUMBER = 100
# Used for requests whose path belongs to none of the site's request kinds.
OTHER_REQUEST_KIND = RequestKind("", 0.0, 0.02, 2.0, 0)


class CountedEvent(NamedTuple):
    """An event that a program recorded with its counters; `owner` names the program."""

    at: float
    owner: str
    kind: str
    detail: dict


class SeedList(NamedTuple):
    """The operators' list of core machines, valid from the time `since`."""

    since: float
    core: list[CoreMachine]


class Emulator:
    """One day of the platform: its machines, servers, clients, operators and faults; see `Environment`."""

    def __init__(self, *, day: Day, loop: SimulatedTimeLoop, folder: Path) -> None:
        self.day = day
        self.loop = loop
        # The text is part of the seed: another text would make the same day run differently.
        self.random = random.Random(f"arena {day.seed}")
        self.world = EmulatedWorld(loop=loop, seed=day.seed, folder=folder)
        self.world.sync_seconds = day.site.sync_seconds
        self.world.disks = Disks(rng=random.Random(f"disks {day.seed}"))
        self.history = History()
        self.counter = itertools.count(1)
        # Servers, clients and operators run outside every simulated process.
        self.outside = contextvars.copy_context()
        self.tasks: set[asyncio.Task] = set()
        self.processes: dict[str, Process] = {}
        self.machines: dict[str, SidecarMachine] = {}
        self.core: dict[str, CoreMachine] = {machine.name: machine for machine in day.site.core}
        # The name of a replaced core machine to the name of its successor.
        self.successors: dict[str, str] = {}
        self.seed_lists = [SeedList(0.0, list(day.site.core))]
        self.servers: dict[str, Server] = {}
        self.ready: dict[str, bool] = {}
        self.misbehaviours: dict[str, Misbehaviour] = {}
        self.events: list[CountedEvent] = []
        self.clients = Clients(environment=self)
        self.operators = Operators(environment=self)
        self.fault_injector = FaultInjector(environment=self)
        self.incarnations = itertools.count(1)
        self.trigger_waiters: dict[asyncio.Future, str] = {}

    def now(self) -> float:
        """Seconds of simulated time."""
        return self.loop.time()

    def create_task(self, work: Coroutine) -> asyncio.Task:
        """Runs a coroutine outside every simulated process."""
        task = self.loop.create_task(work, context=self.outside.copy())
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.loop.errors.append({"message": "the emulator itself", "exception": task.exception()})

    def record_failure(self, what: str) -> None:
        """Records that a program under test exited or raised without an injected fault."""
        self.history.add(ProgramFailed(self.now(), what))

    def observe_counters(self, counters: Any) -> None:
        """Collects the events that a program records, for display only."""
        record_original = counters.record_event

        def record_event(kind: str, **detail: Any) -> None:
            self.events.append(CountedEvent(round(self.now(), 4), counters.owner, kind, detail))
            record_original(kind, **detail)

        counters.record_event = record_event

    def counts(self) -> "Counter[str]":
        """The counters of all current processes, summed by name."""
        total: Counter[str] = Counter()
        for process in self.processes.values():
            total.update(process.node.counters.read()["counts"])
        return total

    async def wait_for(self, task: asyncio.Task, seconds: float) -> None:
        """Waits for a task for at most this time; the task isn't cancelled."""
        await asyncio.wait({task}, timeout=seconds)

    def route_of(self, name: str) -> Route:
        """The site's route of this name."""
        return next(route for route in self.day.site.routes if route.name == name)

    def request_kind_of(self, path: str) -> RequestKind:
        """The kind of request that a path belongs to."""
        for request_kind in (*self.day.site.request_kinds, *self.day.site.nested_kinds):
            if path.startswith(self.route_of(request_kind.route).prefix):
                return request_kind
        return OTHER_REQUEST_KIND

    def misbehaviour_of(self, service: str) -> str:
        """The fault of the service's next answer; empty for a correct answer."""
        misbehaviour = self.misbehaviours.get(service, NO_MISBEHAVIOUR)
        return misbehaviour.how if self.random.random() < misbehaviour.share else ""

    def pick_machine(self, zone: str) -> str:
        """A random machine of the zone for a client's request: a ready one if at least half of them are ready."""
        present = [name for name, machine in self.machines.items() if machine.zone == zone]
        ready = [name for name in present if self.ready.get(name)]
        candidates = ready if len(ready) * 2 >= len(present) else present
        return self.random.choice(candidates) if candidates else ""

    async def control(self, machine: str, method: str, path: str, body: bytes, *, within: float) -> Any:
        """Calls a machine's control interface; returns None if no answer arrives `within` this many seconds."""
        process = self.processes.get(machine)
        await asyncio.sleep(CONTROL_LATENCY_SECONDS)
        if process is None or not process.open or process.simulated.dead:
            await asyncio.sleep(within if process is not None and process.powered_off else 0.0)
            return None
        call = Call(method=method, path=path, headers=[], body=body)
        task = process.simulated.spawn(process.control.handle(call))
        await asyncio.wait({task, process.ended}, timeout=within, return_when=asyncio.FIRST_COMPLETED)
        if not task.done() or task.cancelled():
            return None
        if task.exception() is not None:
            self.record_failure(f"{machine}'s control interface raised {task.exception()!r}")
            return None
        return task.result()

    def leader(self) -> str:
        """The core machine that leads in the newest epoch, or any core machine if none leads."""
        leading = [(process.led_epoch(), name) for name, process in self.processes.items() if process.led_epoch()]
        return max(leading)[1] if leading else next(iter(self.core))

    def start(self, name: str, *, cold: bool = False) -> None:
        """Starts a machine's program; cold is the first start of the whole site."""
        machine = self.machines.get(name) or self.core[name]
        self.world.powered_off.discard(machine.host)
        if isinstance(machine, SidecarMachine):
            self.world.links.add(name, machine.host, bytes_per_second=self.day.site.link_bytes_per_second)
        else:
            self.world.processors.add(name, machine.host, speed=self.day.site.core_speed)
        process = self.processes[name] = Process(environment=self, machine=machine, number=next(self.incarnations))
        process.start(cold=cold)

    def seeds(self) -> list[CoreMachine]:
        """The core machines on the operators' seed list, which lags by `seed_lag_s`."""
        known = [seeds for seeds in self.seed_lists if seeds.since <= self.now() - BOUNDS["seed_lag_s"]]
        return (known[-1] if known else self.seed_lists[0]).core

    def current_name(self, name: str) -> str:
        """The name of the machine, or of its latest successor if it was replaced."""
        while name in self.successors:
            name = self.successors[name]
        return name

    def add_successor(self, name: str) -> None:
        """Replaces a core machine by an empty one at another address."""
        old, number = self.core.pop(name), len(self.successors)
        host = f"{old.host.rpartition('.')[0]}.{FIRST_SUCCESSOR_NUMBER + number}"
        new = CoreMachine(f"{CORE}x{number}", host, old.zone)
        self.successors[name] = new.name
        self.core[new.name] = new
        self.seed_lists.append(SeedList(self.now(), list(self.core.values())))
        self.start(new.name)

    async def _check_readiness(self, name: str) -> None:
        """Runs the platform's periodic ready check until the machine is removed."""
        misses = 0
        while name in self.machines:
            process = self.processes[name]
            ready = await self._is_ready(process)
            misses = 0 if ready else misses + 1
            if ready:
                self.ready[name] = True
            elif misses >= MISSES_UNTIL_NOT_READY:
                self.ready[name] = False
            await asyncio.sleep(READY_CHECK_SECONDS)

    @staticmethod
    async def _is_ready(process: Process) -> bool:
        if not process.open or process.simulated.dead or process.simulated.frozen:
            return False
        task = process.simulated.spawn(process.ready())
        await asyncio.wait({task, process.ended}, timeout=READY_CHECK_SECONDS, return_when=asyncio.FIRST_COMPLETED)
        return task.done() and not task.cancelled() and task.exception() is None and task.result()

    def add_machine(self, machine: SidecarMachine, *, cold: bool = False) -> None:
        """Adds and starts a machine with its server and its ready check."""
        self.machines[machine.name] = machine
        self.start(machine.name, cold=cold)
        self.new_server(machine)
        self.create_task(self._check_readiness(machine.name))

    def new_server(self, machine: SidecarMachine) -> None:
        """Starts a new local server for a machine's sidecar."""
        server = self.servers[machine.name] = Server(environment=self, machine=machine, service=machine.service)
        self.create_task(server.send_heartbeats())

    async def play(self) -> None:
        """Plays the whole day."""
        day = self.day
        await self._start_site()
        began = self.now()
        final_fault = next((event for event in day.events if isinstance(event, FinalFault)), None)
        after = BOUNDS["recovery_s"] + AFTER_FINAL_FAULT_SECONDS if final_fault else 0.0
        load = self.create_task(self.clients.generate_load(until=began + day.seconds + after))
        for event in day.events:
            if not isinstance(event, FinalFault):
                self.create_task(self._run_event(began + event.at, event))
        await asyncio.sleep(day.seconds)
        if final_fault is not None:
            await self._run_final_fault(final_fault)
        await load
        await self._read_final_state()
        self._check_tasks()

    async def _start_site(self) -> None:
        """Starts all machines and submits the first configuration."""
        self._start_machines()
        configured = self.create_task(self.operators.first_configuration())
        await asyncio.sleep(WARM_UP_SECONDS)
        if not configured.done():
            await self.wait_for(configured, FIRST_CONFIGURATION_SECONDS)

    def _start_machines(self) -> None:
        """Starts all machines, and schedules the faults that occur during the first start."""
        for machine in self.day.site.core:
            self.start(machine.name, cold=True)
        for sidecar in self.day.site.sidecars:
            self.add_machine(sidecar, cold=True)
        began = self.now()
        for event in self.day.first_start:
            self.create_task(self._run_event(began + event.at, event))

    async def _read_final_state(self) -> None:
        """Waits for changes in flight, then reads the configuration after a fault-free interval."""
        for task in list(self.operators.in_flight):
            await self.wait_for(task, CHANGES_IN_FLIGHT_SECONDS)
        await asyncio.sleep(BOUNDS["contact_s"] + CALM_SECONDS)
        await self.operators.submit_final_change()
        await self.operators.read_back(seconds=BOUNDS["contact_s"] + 1)

    def _check_tasks(self) -> None:
        """Records tasks of running programs that raised."""
        for name, process in self.processes.items():
            for task in getattr(process.node, "tasks", ()):
                if not process.simulated.dead and task.done() and not task.cancelled() and task.exception() is not None:
                    self.record_failure(f"{name}: {task.exception()!r}")

    async def _run_event(self, at: float, event: ScheduledEvent) -> None:
        await asyncio.sleep(at - self.now())
        match event:
            case Change():
                await self.operators.submit_changes(event)
            case ChangeStorm():
                await self.operators.submit_storm(event)
            case LargeChange():
                await self.operators.submit_large_change(event)
            case RepeatChange():
                await self.operators.repeat_change(event)
            case LostAnswers():
                await self.operators.lose_answers(event)
            case InvalidChange():
                await self.operators.submit_invalid_change(event)
            case FinalFault():
                pass
            case fault:
                await self.fault_injector.inject(fault)

    def meshes(self) -> dict[str, str]:
        """The mesh of each current controller's replica, by machine name."""
        found = {}
        for name in self.core:
            core = self.processes[name].node.store.runner.core
            found[name] = "" if core is None else core.mesh
        return found

    def on_trigger(self, trigger: str, machine: str = "") -> None:
        """Reports that a trigger of faults occurred, at this machine if the trigger belongs to one."""
        self.fault_injector.on_trigger(trigger, machine)
        for future in [future for future, awaited in self.trigger_waiters.items() if awaited == trigger]:
            del self.trigger_waiters[future]
            future.set_result(None)

    async def _wait_for_trigger(self, trigger: str) -> None:
        future = self.loop.create_future()
        self.trigger_waiters[future] = trigger
        await asyncio.wait({future}, timeout=TRIGGER_TIMEOUT_SECONDS)
        self.trigger_waiters.pop(future, None)

    async def _run_final_fault(self, final_fault: FinalFault) -> None:
        """Submits a change, waits for the trigger, and fails all affected machines at once."""
        self.create_task(self.operators.submit_changes(Change(0.0, "split", self.day.seed)))
        if final_fault.trigger == SENT:
            await asyncio.sleep(self.random.uniform(*TRIGGER_DELAY_SECONDS))
        else:
            await self._wait_for_trigger(final_fault.trigger)
        struck_at = self.now()
        await self.fault_injector.run_final_fault(final_fault.how, final_fault.seconds)
        self.history.add(FinalFaultEnded(struck_at, self.now()))
        self.clients.repeat_answered_keys(seconds=BOUNDS["recovery_s"])


class PlayedDay(NamedTuple):
    """The result of playing one day."""

    history: History
    # Events that the programs recorded, for display only; no check depends on them.
    events: list[CountedEvent]
    # Counters of the last process of each machine, summed by name.
    counts: "Counter[str]"
    # The mesh of each controller at the end; empty for one that isn't bootstrapped.
    meshes: dict[str, str]


def _run(day: Day, loop: SimulatedTimeLoop) -> PlayedDay:
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-emulator-") as folder:
        emulator = Emulator(day=day, loop=loop, folder=Path(folder))
        try:
            with emulator.world.disks.intercept_syncs():
                loop.run_until_complete(emulator.play())
            errors = list(loop.errors)
            meshes = emulator.meshes()
        finally:
            for process in emulator.processes.values():
                process.kill()
            for task in emulator.tasks:
                task.cancel()
            loop.close()
        for error in errors:
            if isinstance(error.get("exception"), asyncio.CancelledError):
                # A task of a stopping program was killed before its cancellation was delivered.
                continue
            emulator.record_failure(f"{error.get('message')}: {error.get('exception')!r}")
        return PlayedDay(emulator.history, emulator.events, emulator.counts(), meshes)


def play(day: Day) -> PlayedDay:
    """Plays one day in simulated time and returns its history."""
    logger.disable("hoistsaddle")
    # Not restored afterwards: coroutines of killed processes may be collected much later.
    warnings.filterwarnings("ignore", message="coroutine '.*' was never awaited", category=RuntimeWarning)
    loop, cleanup_loop = SimulatedTimeLoop(), SimulatedTimeLoop()
    asyncio.set_event_loop(loop)
    try:
        return _run(day, loop)
    finally:
        # Collects the unfinished coroutines of killed processes now: their clean-up code must not run in a later day.
        asyncio.set_event_loop(cleanup_loop)
        del loop
        gc.collect()
        cleanup_loop.close()
        gc.collect()
        asyncio.set_event_loop(None)
        logger.enable("hoistsaddle")
