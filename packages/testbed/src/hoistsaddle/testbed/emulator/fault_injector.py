"""Troubles carried out on machines and servers, each written down from its beginning to its end."""

import asyncio
import itertools

from hoistsaddle.testbed.emulator.environment import Machines
from hoistsaddle.testbed.emulator.history import FaultEnded, FaultStarted
from hoistsaddle.testbed.emulator.scheduled_events import (
    ACKNOWLEDGED,
    LEADER,
    SENT,
    SNAPSHOT,
    CrashServer,
    DiskFault,
    Freeze,
    Kill,
    Misbehave,
    Partition,
    ReassignAddress,
    ReplaceCore,
    ResetConnections,
    RestartServer,
    RewriteSettings,
    ScheduledFault,
    Stop,
    TriggeredFault,
)
from hoistsaddle.testbed.emulator.site import BOUNDS, SidecarMachine

# From an order's sending to a fault that strikes soon after it.
TRIGGER_DELAY_SECONDS = (0.005, 0.4)
# How long a planned successor runs beside the machine that it replaces.
SUCCESSOR_LEAD_SECONDS = 1.0


class FaultInjector:
    def __init__(self, *, environment: Machines) -> None:
        self.environment = environment
        self.numbers = itertools.count(1)
        # Machines in the hands of a trouble: the next one leaves them alone.
        self.busy: set[str] = set()
        self.cuts: list[set[tuple[str, str]]] = []
        self.triggered_faults: list[TriggeredFault] = []

    # -- what is written down ----------------------------------------------------------------------------------------

    def _record_start(self, machine: str, kind: str, *, planned: bool = False) -> int:
        number = next(self.numbers)
        self.environment.history.add(FaultStarted(self.environment.now(), number, machine, kind, planned))
        return number

    def _record_end(self, number: int) -> None:
        self.environment.history.add(FaultEnded(self.environment.now(), number))

    def there(self, names: tuple[str, ...]) -> list[str]:
        """Machines that stand and are in nobody's hands; the leader, and successors, by their names of now."""
        environment = self.environment
        found = [environment.leader() if name == LEADER else environment.current_name(name) for name in names]
        return [
            name
            for name in dict.fromkeys(found)
            if name in environment.processes and name not in self.busy and not environment.processes[name].life.dead
        ]

    # -- one trouble -------------------------------------------------------------------------------------------------

    async def carry_out(self, trouble: ScheduledFault) -> None:
        match trouble:
            case Kill(machines=names, seconds=seconds, power=power, wipe=wiped):
                await self.kill(self.there(names), seconds, power=power, wiped=wiped)
            case Freeze(machines=names, seconds=seconds):
                await self._freeze(self.there(names), seconds)
            case Partition():
                await self._cut(trouble)
            case DiskFault():
                await self._disk(trouble)
            case Stop(machine=name, seconds=seconds):
                for each in self.there((name,)):
                    await self._stop(each, seconds)
            case ReplaceCore():
                await self._replace_core(trouble)
            case ResetConnections():
                self._reset(trouble)
            case Misbehave(service=service, share=share, seconds=seconds, how=how):
                self.environment.misbehaviours[service] = (share, how)
                await asyncio.sleep(seconds)
                self.environment.misbehaviours.pop(service, None)
            case RestartServer(machine=name):
                await self._release(name)
            case ReassignAddress(machine=name, service=service, crash=crash):
                await self._replace(name, service, crash=crash)
            case CrashServer(machine=name, seconds=seconds):
                await self._crash(name, seconds)
            case RewriteSettings():
                for process in list(self.environment.processes.values()):
                    process.rewrite()
            case TriggeredFault():
                self.triggered_faults.append(trouble)

    async def kill(self, names: list[str], seconds: float, *, power: bool, wiped: bool = False) -> None:
        environment, numbers = self.environment, []
        for name in names:
            numbers.append(self._record_start(name, "wipe" if wiped else "power" if power else "kill"))
            self.busy.add(name)
            environment.processes[name].kill(power=power)
            if wiped:
                environment.processes[name].wipe()
        await asyncio.sleep(seconds)
        for name, number in zip(names, numbers, strict=True):
            self.busy.discard(name)
            if name in environment.machines or name in environment.core:
                environment.start(name)
            self._record_end(number)

    async def _freeze(self, names: list[str], seconds: float) -> None:
        numbers = [self._record_start(name, "freeze") for name in names]
        lives = [self.environment.processes[name].life for name in names]
        self.busy.update(names)
        for life in lives:
            life.freeze()
        await asyncio.sleep(seconds)
        for life in lives:
            life.wake()
        self.busy.difference_update(names)
        for number in numbers:
            self._record_end(number)

    async def _cut(self, cut: Partition) -> None:
        world = self.environment.world
        names, others = self.there(cut.machines), [self.environment.current_name(name) for name in cut.others]
        pairs = {(name, other) for name in names for other in others if other not in names}
        if not cut.one_way:
            pairs |= {(other, name) for name, other in pairs}
        numbers = [self._record_start(name, "cut") for name in names]
        self.cuts.append(pairs)
        world.cuts = set().union(*self.cuts)
        await asyncio.sleep(cut.seconds)
        self.cuts.remove(pairs)
        world.cuts = set().union(*self.cuts)
        for number in numbers:
            self._record_end(number)

    async def _disk(self, trouble: DiskFault) -> None:
        for each in self.there((trouble.machine,)):
            number = self._record_start(each, "disk")
            self.environment.world.disk_faults[each] = trouble.how
            await asyncio.sleep(trouble.seconds)
            self.environment.world.disk_faults.pop(each, None)
            self._record_end(number)

    async def _end_in_order(self, name: str) -> None:
        process = self.environment.processes[name]
        await process.wind_down()
        process.kill()

    async def _stop(self, name: str, seconds: float) -> None:
        number = self._record_start(name, "stop", planned=True)
        self.busy.add(name)
        await self._end_in_order(name)
        await asyncio.sleep(seconds)
        self.busy.discard(name)
        if name in self.environment.machines or name in self.environment.core:
            self.environment.start(name)
        self._record_end(number)

    async def _replace_core(self, trouble: ReplaceCore) -> None:
        environment = self.environment
        for name in self.there((trouble.machine,)):
            number = self._record_start(name, "replace", planned=trouble.planned)
            self.busy.add(name)
            if trouble.planned:
                environment.add_successor(name)
                await asyncio.sleep(SUCCESSOR_LEAD_SECONDS)
                await self._end_in_order(name)
            else:
                environment.processes[name].kill(power=True)
                await asyncio.sleep(trouble.seconds)
                environment.add_successor(name)
            environment.processes[name].wipe()
            self._record_end(number)

    def _reset(self, reset: ResetConnections) -> None:
        environment = self.environment
        names = self.there(reset.machines)
        numbers = [self._record_start(name, "reset") for name in names]
        hosts = [environment.processes[name].machine.host for name in names]
        environment.world.reset(names=names, hosts=hosts, share=reset.share)
        for name in names:
            environment.processes[name].reset(reset.share)
        for number in numbers:
            self._record_end(number)

    # -- servers -----------------------------------------------------------------------------------------------------

    async def _release(self, name: str) -> None:
        environment = self.environment
        if name in environment.machines and not environment.servers[name].leaving and name not in self.busy:
            await environment.servers[name].leave()
            await asyncio.sleep(0.4)
            if name in environment.machines:
                environment.new_server(environment.machines[name])

    async def _crash(self, name: str, seconds: float) -> None:
        environment = self.environment
        if name in environment.machines and not environment.servers[name].leaving:
            environment.servers[name].leaving = True
            environment.servers[name].end()
            await asyncio.sleep(seconds)
            if name in environment.machines:
                environment.new_server(environment.machines[name])

    async def _replace(self, name: str, service: str, *, crash: bool) -> None:
        environment = self.environment
        if name not in environment.machines or environment.servers[name].leaving or name in self.busy:
            return
        machine = environment.machines[name]
        if len([each for each in environment.machines.values() if each.service == machine.service]) < 2:
            return
        if crash:
            environment.servers[name].leaving = True
            environment.servers[name].end()
        else:
            await environment.servers[name].leave()
        if name in self.busy or environment.processes[name].life.dead:
            # Something else befell the machine meanwhile; its server comes back with it.
            environment.new_server(machine)
            return
        await self._give_address_away(machine, service)

    async def _give_address_away(self, machine: SidecarMachine, service: str) -> None:
        environment, name = self.environment, machine.name
        number = self._record_start(name, "stop", planned=True)
        self.busy.add(name)
        await self._end_in_order(name)
        del environment.machines[name]
        environment.ready[name] = False
        self._record_end(number)
        await asyncio.sleep(BOUNDS["reuse_after_s"])
        environment.add_machine(machine._replace(name=f"side-x{next(environment.counter)}", service=service))

    # -- faults that wait for something ------------------------------------------------------------------------------

    def on_trigger(self, when: str, machine: str) -> None:
        """An order was sent or confirmed, or a keyed request answered: now the harm that waited for it."""
        struck = [each for each in self.triggered_faults if each.when == when]
        self.triggered_faults = [each for each in self.triggered_faults if each.when != when]
        for after in struck:
            self.environment.create_task(self._strike(after, machine if when in (ACKNOWLEDGED, SNAPSHOT) else ""))

    async def _strike(self, after: TriggeredFault, machine: str) -> None:
        if after.when == SENT:
            await asyncio.sleep(self.environment.random.uniform(*TRIGGER_DELAY_SECONDS))
        names = self.there((machine or self.environment.leader(),))
        await self.kill(names, after.seconds, power=after.how != "kill", wiped=after.how == "wipe")

    async def strike_all(self, how: str, seconds: float) -> None:
        """The closing fault: all machines, or as many disks as may be lost with the others' power now and then."""
        environment = self.environment
        core = list(environment.core)
        if how in ("kill", "power"):
            await self.kill(self.there((*core, *environment.machines)), seconds, power=how == "power")
            return
        lost = environment.random.sample(core, environment.day.site.losses)
        powered_off = how == "wipe and power" or environment.random.random() < 0.5
        rest = [name for name in core if name not in lost] if powered_off else []
        await asyncio.gather(
            environment.create_task(self.kill(self.there(tuple(lost)), seconds, power=True, wiped=True)),
            environment.create_task(self.kill(self.there(tuple(rest)), seconds, power=True)),
        )
