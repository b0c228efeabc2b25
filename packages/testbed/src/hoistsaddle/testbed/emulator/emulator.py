"""The emulator of the users' platform, played in simulated time round the product's own programs."""

import asyncio
import contextvars
import gc
import itertools
import random
import tempfile
import warnings
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, NamedTuple

from loguru import logger

from hoistsaddle.testbed.emulator.clients import Call, Clients
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.disks import Disks
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

# From the machines' start to the first traffic.
LEAD_SECONDS = 5.0
AFTER_FINAL_FAULT_SECONDS = 5.0
# The last part of a successor's address; no machine of a site has such a one.
SUCCESSOR_NUMBERS = 100


class Emulator:
    def __init__(self, *, day: Day, loop: SimulatedTimeLoop, folder: Path) -> None:
        self.day = day
        self.loop = loop
        self.random = random.Random(f"arena {day.seed}")
        self.world = EmulatedWorld(loop=loop, seed=day.seed, folder=folder)
        self.world.sync_seconds = day.site.sync_seconds
        self.world.disks = Disks(rng=random.Random(f"disks {day.seed}"))
        self.history = History()
        self.counter = itertools.count(1)
        # Servers, clients and operators are no part of any machine's life.
        self.outside = contextvars.copy_context()
        self.tasks: set[asyncio.Task] = set()
        self.processes: dict[str, Process] = {}
        self.machines: dict[str, SidecarMachine] = {}
        self.core: dict[str, CoreMachine] = {machine.name: machine for machine in day.site.core}
        # Replaced core machines by name, and who came in their place.
        self.successors: dict[str, str] = {}
        # The operator's list of core machines as it was from each moment on.
        self.lists: list[tuple[float, list[CoreMachine]]] = [(0.0, list(day.site.core))]
        self.servers: dict[str, Server] = {}
        self.ready: dict[str, bool] = {}
        self.misbehaviours: dict[str, tuple[float, str]] = {}
        self.events: list[tuple[float, str, str, dict]] = []
        self.clients = Clients(environment=self)
        self.operators = Operators(environment=self)
        self.fault_injector = FaultInjector(environment=self)
        self.lives = itertools.count(1)
        self.trigger_waiters: dict[asyncio.Future, str] = {}

    def now(self) -> float:
        return self.loop.time()

    def create_task(self, work: Coroutine) -> asyncio.Task:
        task = self.loop.create_task(work, context=self.outside.copy())
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.loop.errors.append({"message": "the emulator itself", "exception": task.exception()})

    def fault(self, what: str) -> None:
        self.history.add(ProgramFailed(self.now(), what))

    def observe_counters(self, counters: Any) -> None:
        plain = counters.record_event

        def record_event(kind: str, **detail: Any) -> None:
            self.events.append((round(self.now(), 4), counters.owner, kind, detail))
            plain(kind, **detail)

        counters.record_event = record_event

    async def within(self, task: asyncio.Task, seconds: float) -> None:
        await asyncio.wait({task}, timeout=seconds)

    # -- what others look up -----------------------------------------------------------------------------------------

    def route_of(self, name: str) -> Route:
        return next(route for route in self.day.site.routes if route.name == name)

    def request_kind_of(self, path: str) -> RequestKind:
        for request_kind in (*self.day.site.request_kinds, *self.day.site.inner):
            if path.startswith(self.route_of(request_kind.route).prefix):
                return request_kind
        return RequestKind("", 0.0, 0.02, 2.0, 0)

    def misbehaviour_of(self, service: str) -> str:
        share, how = self.misbehaviours.get(service, (0.0, ""))
        return how if self.random.random() < share else ""

    def pick_machine(self, zone: str) -> str:
        """A machine of the zone whose clients get work: of those that are ready, unless those are fewer than half."""
        there = [name for name, machine in self.machines.items() if machine.zone == zone]
        ready = [name for name in there if self.ready.get(name)]
        some = ready if len(ready) * 2 >= len(there) else there
        return self.random.choice(some) if some else ""

    async def control(self, machine: str, method: str, path: str, body: bytes, *, within: float) -> Any:
        """A call at a machine's control door; None is no answer."""
        process = self.processes.get(machine)
        await asyncio.sleep(0.001)
        if process is None or not process.open or process.life.dead:
            await asyncio.sleep(within if process is not None and process.powered_off else 0.0)
            return None
        call = Call(method=method, path=path, headers=[], body=body)
        task = process.life.spawn(process.control.handle(call))
        await asyncio.wait({task, process.ended}, timeout=within, return_when=asyncio.FIRST_COMPLETED)
        if not task.done() or task.cancelled():
            return None
        if task.exception() is not None:
            self.fault(f"{machine}'s control door raised {task.exception()!r}")
            return None
        return task.result()

    def leader(self) -> str:
        leading = [(process.leads(), name) for name, process in self.processes.items() if process.leads()]
        return max(leading)[1] if leading else next(iter(self.core))

    # -- machines ----------------------------------------------------------------------------------------------------

    def start(self, name: str, *, cold: bool = False) -> None:
        machine = self.machines.get(name) or self.core[name]
        self.world.powered_off.discard(machine.host)
        process = self.processes[name] = Process(environment=self, machine=machine, number=next(self.lives))
        process.start(cold=cold)

    def seeds(self) -> list[CoreMachine]:
        """The core as the operator's list has it, which lags."""
        known = [core for since, core in self.lists if since <= self.now() - BOUNDS["seed_lag_s"]]
        return known[-1] if known else self.lists[0][1]

    def current_name(self, name: str) -> str:
        while name in self.successors:
            name = self.successors[name]
        return name

    def add_successor(self, name: str) -> None:
        """An empty machine at another address in the place of this one."""
        old, number = self.core.pop(name), len(self.successors)
        host = f"{old.host.rpartition('.')[0]}.{SUCCESSOR_NUMBERS + number}"
        new = CoreMachine(f"{CORE}x{number}", host, old.zone)
        self.successors[name] = new.name
        self.core[new.name] = new
        self.lists.append((self.now(), list(self.core.values())))
        self.start(new.name)

    async def _watch(self, name: str) -> None:
        """The platform's ready check, once a second."""
        misses = 0
        while name in self.machines:
            process = self.processes[name]
            good = False
            if process.open and not process.life.dead and not process.life.frozen:
                task = process.life.spawn(process.ready())
                await asyncio.wait({task, process.ended}, timeout=1.0, return_when=asyncio.FIRST_COMPLETED)
                good = task.done() and not task.cancelled() and task.exception() is None and task.result()
            misses = 0 if good else misses + 1
            if good:
                self.ready[name] = True
            elif misses >= 2:
                self.ready[name] = False
            await asyncio.sleep(1.0)

    def add_machine(self, machine: SidecarMachine, *, cold: bool = False) -> None:
        self.machines[machine.name] = machine
        self.start(machine.name, cold=cold)
        self.new_server(machine)
        self.create_task(self._watch(machine.name))

    def new_server(self, machine: SidecarMachine) -> None:
        server = self.servers[machine.name] = Server(environment=self, machine=machine, service=machine.service)
        self.create_task(server.send_heartbeats())

    # -- the day -----------------------------------------------------------------------------------------------------

    async def play(self) -> None:
        day = self.day
        for machine in day.site.core:
            self.start(machine.name, cold=True)
        for sidecar in day.site.sidecars:
            self.add_machine(sidecar, cold=True)
        setup = self.create_task(self.operators.first_configuration())
        began = self.now()
        await asyncio.sleep(LEAD_SECONDS)
        if not setup.done():
            await self.within(setup, 20.0)
        began = self.now()
        closing = next((each for each in day.events if isinstance(each, FinalFault)), None)
        after = BOUNDS["recovery_s"] + AFTER_FINAL_FAULT_SECONDS if closing else 0.0
        until = began + day.seconds + after
        loading = self.create_task(self.clients.load(until=until))
        for event in day.events:
            if not isinstance(event, FinalFault):
                self.create_task(self._later(began + event.at, event))
        await asyncio.sleep(day.seconds)
        if closing is not None:
            await self._close(closing)
        await loading
        # Orders under way come to their end, and what is in force is read back in calm.
        for task in list(self.operators.open):
            await self.within(task, 5.0)
        await asyncio.sleep(BOUNDS["contact_s"] + 1.5)
        await self.operators.final_change()
        await self.operators.read_back(seconds=BOUNDS["contact_s"] + 1)
        self._look_over()

    def _look_over(self) -> None:
        for name, process in self.processes.items():
            for task in getattr(process.node, "tasks", ()):
                if not process.life.dead and task.done() and not task.cancelled() and task.exception() is not None:
                    self.fault(f"{name}: {task.exception()!r}")

    async def _later(self, at: float, event: ScheduledEvent) -> None:
        await asyncio.sleep(at - self.now())
        match event:
            case Change():
                await self.operators.change(event)
            case ChangeStorm():
                await self.operators.storm(event)
            case LargeChange():
                await self.operators.large(event)
            case RepeatChange():
                await self.operators.again(event)
            case LostAnswers():
                await self.operators.lose_answers(event)
            case InvalidChange():
                await self.operators.invalid_change(event)
            case FinalFault():
                pass
            case trouble:
                await self.fault_injector.carry_out(trouble)

    def on_trigger(self, when: str, machine: str = "") -> None:
        """An order was sent or confirmed, or a keyed request answered."""
        self.fault_injector.on_trigger(when, machine)
        for future in [future for future, trigger_waiters in self.trigger_waiters.items() if trigger_waiters == when]:
            del self.trigger_waiters[future]
            future.set_result(None)

    async def _until(self, when: str, *, most: float) -> None:
        future = self.loop.create_future()
        self.trigger_waiters[future] = when
        await asyncio.wait({future}, timeout=most)
        self.trigger_waiters.pop(future, None)

    async def _close(self, closing: FinalFault) -> None:
        """Everything at once: right after the core's word, soon after an order was sent, or after a keyed answer."""
        self.create_task(self.operators.change(Change(0.0, "split", self.day.seed)))
        match closing.when:
            case when if when == SENT:
                await asyncio.sleep(self.random.uniform(*TRIGGER_DELAY_SECONDS))
            case when:
                await self._until(when, most=1.0)
        struck = self.now()
        await self.fault_injector.strike_all(closing.how, closing.seconds)
        self.history.add(FinalFaultEnded(struck, self.now()))
        self.clients.send_keys_again(seconds=BOUNDS["recovery_s"])


class PlayedDay(NamedTuple):
    history: History
    # What the programs said of themselves: to look at, never to judge by.
    events: list[tuple[float, str, str, dict]]


def _run(day: Day, loop: SimulatedTimeLoop) -> PlayedDay:
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-emulator-") as folder:
        environment = Emulator(day=day, loop=loop, folder=Path(folder))
        try:
            with environment.world.disks.watched():
                loop.run_until_complete(environment.play())
            errors = list(loop.errors)
        finally:
            for process in environment.processes.values():
                process.kill()
            for task in environment.tasks:
                task.cancel()
            loop.close()
        for error in errors:
            if isinstance(error.get("exception"), asyncio.CancelledError):
                # A stopping program's task was killed before it could see that it was cancelled.
                continue
            environment.fault(f"{error.get('message')}: {error.get('exception')!r}")
        return PlayedDay(environment.history, environment.events)


def play(day: Day) -> PlayedDay:
    """Plays one day in simulated time and gives its history."""
    logger.disable("hoistsaddle")
    # For good: what a killed life never awaited may be found long after.
    warnings.filterwarnings("ignore", message="coroutine '.*' was never awaited", category=RuntimeWarning)
    loop, burial = SimulatedTimeLoop(), SimulatedTimeLoop()
    asyncio.set_event_loop(loop)
    try:
        return _run(day, loop)
    finally:
        # What killed lives left unfinished is collected now, and what its last lines start meets no later day.
        asyncio.set_event_loop(burial)
        del loop
        gc.collect()
        burial.close()
        gc.collect()
        asyncio.set_event_loop(None)
        logger.enable("hoistsaddle")
