"""The arcade: the users' platform played in simulated time round the product's own programs."""

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

from hoistsaddle.testbed.emulator.day import (
    BOUNDS,
    LEADER,
    AfterWord,
    BadOrder,
    Change,
    Closing,
    Crash,
    Cut,
    Day,
    DiskTrouble,
    Freeze,
    Happening,
    Kill,
    Misbehave,
    Release,
    Replace,
    Rewrite,
    Route,
    StallMachine,
    Stop,
    Visit,
)
from hoistsaddle.testbed.emulator.history import Closed, Fault, Harm, Healed, History
from hoistsaddle.testbed.emulator.machines import ArcadeWorld, Process
from hoistsaddle.testbed.emulator.operators import Operators
from hoistsaddle.testbed.emulator.servers import Server
from hoistsaddle.testbed.emulator.visitors import Call, Visitors
from hoistsaddle.testbed.simulation.clockwork import ClockworkLoop

# From the machines' start to the first traffic.
LEAD_SECONDS = 5.0
AFTER_CLOSING = 5.0


class Arena:
    def __init__(self, *, day: Day, loop: ClockworkLoop, folder: Path) -> None:
        self.day = day
        self.loop = loop
        self.random = random.Random(f"arena {day.seed}")
        self.world = ArcadeWorld(loop=loop, seed=day.seed, folder=folder)
        self.world.sync_seconds = day.site.sync_seconds
        self.history = History()
        self.counter = itertools.count(1)
        self.numbers = itertools.count(1)
        # Servers, visitors and operators are no part of any machine's life.
        self.outside = contextvars.copy_context()
        self.tasks: set[asyncio.Task] = set()
        self.processes: dict[str, Process] = {}
        self.machines: dict[str, StallMachine] = {}
        self.servers: dict[str, Server] = {}
        self.ready: dict[str, bool] = {}
        self.manners: dict[str, tuple[float, str]] = {}
        self.happenings: list[tuple[float, str, str, dict]] = []
        self.after_word: list[AfterWord] = []
        self.visitors = Visitors(arena=self)
        self.operators = Operators(arena=self)
        self.lives = itertools.count(1)
        self.busy: set[str] = set()
        self.cuts: list[set[tuple[str, str]]] = []

    def moment(self) -> float:
        return self.loop.time()

    def keep(self, work: Coroutine) -> asyncio.Task:
        task = self.loop.create_task(work, context=self.outside.copy())
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.loop.mishaps.append({"message": "the arcade itself", "exception": task.exception()})

    def fault(self, what: str) -> None:
        self.history.add(Fault(self.moment(), what))

    def listen(self, counters: Any) -> None:
        plain = counters.happen

        def happen(kind: str, **detail: Any) -> None:
            self.happenings.append((round(self.moment(), 4), counters.owner, kind, detail))
            plain(kind, **detail)

        counters.happen = happen

    async def within(self, task: asyncio.Task, seconds: float) -> None:
        await asyncio.wait({task}, timeout=seconds)

    # -- what others look up -----------------------------------------------------------------------------------------

    def route_of(self, name: str) -> Route:
        return next(route for route in self.day.site.routes if route.name == name)

    def visit_of(self, path: str) -> Visit:
        for visit in (*self.day.site.visits, *self.day.site.inner):
            if path.startswith(self.route_of(visit.route).prefix):
                return visit
        return Visit("", 0.0, 0.02, 2.0, 0)

    def manner_of(self, service: str) -> str:
        share, how = self.manners.get(service, (0.0, ""))
        return how if self.random.random() < share else ""

    def open_machine(self, zone: str) -> str:
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
            await asyncio.sleep(within if process is not None and process.dark else 0.0)
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
        return max(leading)[1] if leading else self.day.site.core[0].name

    # -- machines ----------------------------------------------------------------------------------------------------

    def start(self, name: str, *, cold: bool = False) -> None:
        machine = self.machines.get(name) or next(each for each in self.day.site.core if each.name == name)
        self.world.dark.discard(machine.host)
        process = self.processes[name] = Process(arena=self, machine=machine, number=next(self.lives))
        process.start(cold=cold)

    def harm(self, machine: str, kind: str, *, planned: bool = False) -> int:
        number = next(self.numbers)
        self.history.add(Harm(self.moment(), number, machine, kind, planned))
        return number

    def heal(self, number: int) -> None:
        self.history.add(Healed(self.moment(), number))

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

    def add_machine(self, machine: StallMachine, *, cold: bool = False) -> None:
        self.machines[machine.name] = machine
        self.start(machine.name, cold=cold)
        self._new_server(machine)
        self.keep(self._watch(machine.name))

    def _new_server(self, machine: StallMachine) -> None:
        server = self.servers[machine.name] = Server(arena=self, machine=machine, service=machine.service)
        self.keep(server.keep_beating())

    # -- the day -----------------------------------------------------------------------------------------------------

    async def play(self) -> None:
        day = self.day
        for machine in day.site.core:
            self.start(machine.name, cold=True)
        for stall in day.site.stalls:
            self.add_machine(stall, cold=True)
        setup = self.keep(self.operators.first_setup())
        began = self.moment()
        await asyncio.sleep(LEAD_SECONDS)
        if not setup.done():
            await self.within(setup, 20.0)
        began = self.moment()
        closing = next((each for each in day.happenings if isinstance(each, Closing)), None)
        after = BOUNDS["recovery_s"] + AFTER_CLOSING if closing else 0.0
        until = began + day.seconds + after
        loading = self.keep(self.visitors.load(until=until))
        for happening in day.happenings:
            if not isinstance(happening, Closing):
                self.keep(self._later(began + happening.at, happening))
        await asyncio.sleep(day.seconds)
        if closing is not None:
            await self._close(closing)
        await loading
        # Orders under way come to their end, and what is in force is read back in calm.
        for task in list(self.operators.open):
            await self.within(task, 5.0)
        await asyncio.sleep(4.5)
        await self.operators.read_back(seconds=BOUNDS["contact_s"] + 1)
        self._look_over()

    def _look_over(self) -> None:
        for name, process in self.processes.items():
            for task in getattr(process.node, "tasks", ()):
                if not process.life.dead and task.done() and not task.cancelled() and task.exception() is not None:
                    self.fault(f"{name}: {task.exception()!r}")

    async def _later(self, at: float, happening: Happening) -> None:
        await asyncio.sleep(at - self.moment())
        await self._happen(happening)

    def _there(self, names: tuple[str, ...]) -> list[str]:
        """Machines that stand and are in nobody's hands; the leader by its name of now."""
        found = [self.leader() if name == LEADER else name for name in names]
        return [
            name
            for name in dict.fromkeys(found)
            if name in self.processes and name not in self.busy and not self.processes[name].life.dead
        ]

    async def _happen(self, happening: Happening) -> None:
        match happening:
            case Kill(machines=names, seconds=seconds, power=power, wipe=wiped):
                await self._kill(self._there(names), seconds, power=power, wiped=wiped)
            case Freeze(machines=names, seconds=seconds):
                await self._freeze(self._there(names), seconds)
            case Cut():
                await self._cut(happening)
            case DiskTrouble(machine=name, seconds=seconds, how=how):
                for each in self._there((name,)):
                    number = self.harm(each, "disk")
                    self.world.disk_faults[each] = how
                    await asyncio.sleep(seconds)
                    self.world.disk_faults.pop(each, None)
                    self.heal(number)
            case Stop(machine=name, seconds=seconds):
                for each in self._there((name,)):
                    await self._stop(each, seconds)
            case Misbehave(service=service, share=share, seconds=seconds, how=how):
                self.manners[service] = (share, how)
                await asyncio.sleep(seconds)
                self.manners.pop(service, None)
            case Release(machine=name):
                if name in self.machines and not self.servers[name].leaving and name not in self.busy:
                    await self.servers[name].leave()
                    await asyncio.sleep(0.4)
                    if name in self.machines:
                        self._new_server(self.machines[name])
            case Replace(machine=name, service=service, crash=crash):
                await self._replace(name, service, crash=crash)
            case Crash(machine=name, seconds=seconds):
                if name in self.machines and not self.servers[name].leaving:
                    server = self.servers[name]
                    server.leaving = True
                    server.end()
                    await asyncio.sleep(seconds)
                    if name in self.machines:
                        self._new_server(self.machines[name])
            case Change():
                await self.operators.change(happening)
            case BadOrder():
                await self.operators.bad_order(happening)
            case Rewrite():
                for process in list(self.processes.values()):
                    process.rewrite()
            case AfterWord():
                self.after_word.append(happening)

    async def _kill(self, names: list[str], seconds: float, *, power: bool, wiped: bool = False) -> None:
        numbers = []
        for name in names:
            numbers.append(self.harm(name, "wipe" if wiped else "power" if power else "kill"))
            self.busy.add(name)
            self.processes[name].kill(power=power)
            if wiped:
                self.processes[name].wipe()
        await asyncio.sleep(seconds)
        for name, number in zip(names, numbers, strict=True):
            self.busy.discard(name)
            if name in self.machines or name.startswith("core-"):
                self.start(name)
            self.heal(number)

    async def _freeze(self, names: list[str], seconds: float) -> None:
        numbers = [self.harm(name, "freeze") for name in names]
        lives = [self.processes[name].life for name in names]
        self.busy.update(names)
        for life in lives:
            life.freeze()
        await asyncio.sleep(seconds)
        for life in lives:
            life.wake()
        self.busy.difference_update(names)
        for number in numbers:
            self.heal(number)

    async def _cut(self, cut: Cut) -> None:
        names = self._there(cut.machines)
        pairs = {(name, other) for name in names for other in cut.others if name != other}
        if not cut.one_way:
            pairs |= {(other, name) for name, other in pairs}
        numbers = [self.harm(name, "cut") for name in names]
        self.cuts.append(pairs)
        self.world.cuts = set().union(*self.cuts)
        await asyncio.sleep(cut.seconds)
        self.cuts.remove(pairs)
        self.world.cuts = set().union(*self.cuts)
        for number in numbers:
            self.heal(number)

    async def _stop(self, name: str, seconds: float) -> None:
        number = self.harm(name, "stop", planned=True)
        self.busy.add(name)
        process = self.processes[name]
        await process.wind_down()
        process.kill()
        await asyncio.sleep(seconds)
        self.busy.discard(name)
        if name in self.machines or name.startswith("core-"):
            self.start(name)
        self.heal(number)

    async def _replace(self, name: str, service: str, *, crash: bool) -> None:
        if name not in self.machines or self.servers[name].leaving or name in self.busy:
            return
        machine = self.machines[name]
        if len([each for each in self.machines.values() if each.service == machine.service]) < 2:
            return
        if crash:
            self.servers[name].leaving = True
            self.servers[name].end()
        else:
            await self.servers[name].leave()
        if name in self.busy or self.processes[name].life.dead:
            # Something else befell the machine meanwhile; its server comes back with it.
            self._new_server(machine)
            return
        number = self.harm(name, "stop", planned=True)
        self.busy.add(name)
        process = self.processes[name]
        await process.wind_down()
        process.kill()
        del self.machines[name]
        self.ready[name] = False
        self.heal(number)
        await asyncio.sleep(BOUNDS["reuse_after_s"])
        self.add_machine(machine._replace(name=f"side-x{next(self.counter)}", service=service))

    def acknowledged(self, name: str) -> None:
        """A core machine gave its word: now the harm that waited for it."""
        while self.after_word:
            after = self.after_word.pop(0)
            if name not in self.busy:
                wiped, power = after.how == "wipe", after.how != "kill"
                self.keep(self._kill(self._there((name,)), after.seconds, power=power, wiped=wiped))

    async def _close(self, closing: Closing) -> None:
        """Right after the core's word, everything at once."""
        task = self.keep(self.operators.change(Change(0.0, "split", self.day.seed)))
        await self.within(task, 1.0)
        core = [machine.name for machine in self.day.site.core]
        struck = self.moment()
        match closing.how:
            case "kill" | "power":
                work = [self._kill(self._there((*core, *self.machines)), closing.seconds, power=closing.how == "power")]
            case _:
                lost = self.random.sample(core, self.day.site.losses)
                dark = closing.how == "wipe and power" or self.random.random() < 0.5
                rest = [name for name in core if name not in lost] if dark else []
                work = [
                    self._kill(self._there(tuple(lost)), closing.seconds, power=True, wiped=True),
                    self._kill(self._there(tuple(rest)), closing.seconds, power=True),
                ]
        await asyncio.gather(*(self.keep(each) for each in work))
        self.history.add(Closed(struck, self.moment()))
        self.visitors.send_keys_again(seconds=BOUNDS["recovery_s"])


class Played(NamedTuple):
    history: History
    # What the programs said of themselves: to look at, never to judge by.
    happenings: list[tuple[float, str, str, dict]]


def _run(day: Day, loop: ClockworkLoop) -> Played:
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-arcade-") as folder:
        arena = Arena(day=day, loop=loop, folder=Path(folder))
        try:
            loop.run_until_complete(arena.play())
            mishaps = list(loop.mishaps)
        finally:
            for process in arena.processes.values():
                process.kill()
            for task in arena.tasks:
                task.cancel()
            loop.close()
        for mishap in mishaps:
            if isinstance(mishap.get("exception"), asyncio.CancelledError):
                # A stopping program's task was killed before it could see that it was cancelled.
                continue
            arena.fault(f"{mishap.get('message')}: {mishap.get('exception')!r}")
        return Played(arena.history, arena.happenings)


def play(day: Day) -> Played:
    """Plays one day in simulated time and gives its history."""
    logger.disable("hoistsaddle")
    # For good: what a killed life never awaited may be found long after.
    warnings.filterwarnings("ignore", message="coroutine '.*' was never awaited", category=RuntimeWarning)
    loop, burial = ClockworkLoop(), ClockworkLoop()
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
