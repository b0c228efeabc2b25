"""Troubles carried out on machines and servers, each written down from its beginning to its end."""

import asyncio
import itertools

from hoistsaddle.testbed.emulator.history import Harm, Healed
from hoistsaddle.testbed.emulator.site import BOUNDS, SidecarMachine
from hoistsaddle.testbed.emulator.stage import Machines
from hoistsaddle.testbed.emulator.troubles import (
    ACKNOWLEDGED,
    LEADER,
    SENT,
    SNAPSHOT,
    AfterWord,
    Crash,
    Cut,
    DiskTrouble,
    Freeze,
    Kill,
    Misbehave,
    Release,
    Replace,
    ReplaceCore,
    Reset,
    Rewrite,
    Stop,
    Trouble,
)

# From an order's sending to a fault that strikes soon after it.
SOON_AFTER = (0.005, 0.4)
# How long a planned successor runs beside the machine that it replaces.
SUCCESSOR_AHEAD = 1.0


class Harms:
    def __init__(self, *, stage: Machines) -> None:
        self.stage = stage
        self.numbers = itertools.count(1)
        # Machines in the hands of a trouble: the next one leaves them alone.
        self.busy: set[str] = set()
        self.cuts: list[set[tuple[str, str]]] = []
        self.after_word: list[AfterWord] = []

    # -- what is written down ----------------------------------------------------------------------------------------

    def _harm(self, machine: str, kind: str, *, planned: bool = False) -> int:
        number = next(self.numbers)
        self.stage.history.add(Harm(self.stage.moment(), number, machine, kind, planned))
        return number

    def _heal(self, number: int) -> None:
        self.stage.history.add(Healed(self.stage.moment(), number))

    def there(self, names: tuple[str, ...]) -> list[str]:
        """Machines that stand and are in nobody's hands; the leader, and successors, by their names of now."""
        stage = self.stage
        found = [stage.leader() if name == LEADER else stage.name_now(name) for name in names]
        return [
            name
            for name in dict.fromkeys(found)
            if name in stage.processes and name not in self.busy and not stage.processes[name].life.dead
        ]

    # -- one trouble -------------------------------------------------------------------------------------------------

    async def carry_out(self, trouble: Trouble) -> None:
        match trouble:
            case Kill(machines=names, seconds=seconds, power=power, wipe=wiped):
                await self.kill(self.there(names), seconds, power=power, wiped=wiped)
            case Freeze(machines=names, seconds=seconds):
                await self._freeze(self.there(names), seconds)
            case Cut():
                await self._cut(trouble)
            case DiskTrouble():
                await self._disk(trouble)
            case Stop(machine=name, seconds=seconds):
                for each in self.there((name,)):
                    await self._stop(each, seconds)
            case ReplaceCore():
                await self._replace_core(trouble)
            case Reset():
                self._reset(trouble)
            case Misbehave(service=service, share=share, seconds=seconds, how=how):
                self.stage.manners[service] = (share, how)
                await asyncio.sleep(seconds)
                self.stage.manners.pop(service, None)
            case Release(machine=name):
                await self._release(name)
            case Replace(machine=name, service=service, crash=crash):
                await self._replace(name, service, crash=crash)
            case Crash(machine=name, seconds=seconds):
                await self._crash(name, seconds)
            case Rewrite():
                for process in list(self.stage.processes.values()):
                    process.rewrite()
            case AfterWord():
                self.after_word.append(trouble)

    async def kill(self, names: list[str], seconds: float, *, power: bool, wiped: bool = False) -> None:
        stage, numbers = self.stage, []
        for name in names:
            numbers.append(self._harm(name, "wipe" if wiped else "power" if power else "kill"))
            self.busy.add(name)
            stage.processes[name].kill(power=power)
            if wiped:
                stage.processes[name].wipe()
        await asyncio.sleep(seconds)
        for name, number in zip(names, numbers, strict=True):
            self.busy.discard(name)
            if name in stage.machines or name in stage.core:
                stage.start(name)
            self._heal(number)

    async def _freeze(self, names: list[str], seconds: float) -> None:
        numbers = [self._harm(name, "freeze") for name in names]
        lives = [self.stage.processes[name].life for name in names]
        self.busy.update(names)
        for life in lives:
            life.freeze()
        await asyncio.sleep(seconds)
        for life in lives:
            life.wake()
        self.busy.difference_update(names)
        for number in numbers:
            self._heal(number)

    async def _cut(self, cut: Cut) -> None:
        world = self.stage.world
        names, others = self.there(cut.machines), [self.stage.name_now(name) for name in cut.others]
        pairs = {(name, other) for name in names for other in others if other not in names}
        if not cut.one_way:
            pairs |= {(other, name) for name, other in pairs}
        numbers = [self._harm(name, "cut") for name in names]
        self.cuts.append(pairs)
        world.cuts = set().union(*self.cuts)
        await asyncio.sleep(cut.seconds)
        self.cuts.remove(pairs)
        world.cuts = set().union(*self.cuts)
        for number in numbers:
            self._heal(number)

    async def _disk(self, trouble: DiskTrouble) -> None:
        for each in self.there((trouble.machine,)):
            number = self._harm(each, "disk")
            self.stage.world.disk_faults[each] = trouble.how
            await asyncio.sleep(trouble.seconds)
            self.stage.world.disk_faults.pop(each, None)
            self._heal(number)

    async def _end_in_order(self, name: str) -> None:
        process = self.stage.processes[name]
        await process.wind_down()
        process.kill()

    async def _stop(self, name: str, seconds: float) -> None:
        number = self._harm(name, "stop", planned=True)
        self.busy.add(name)
        await self._end_in_order(name)
        await asyncio.sleep(seconds)
        self.busy.discard(name)
        if name in self.stage.machines or name in self.stage.core:
            self.stage.start(name)
        self._heal(number)

    async def _replace_core(self, trouble: ReplaceCore) -> None:
        stage = self.stage
        for name in self.there((trouble.machine,)):
            number = self._harm(name, "replace", planned=trouble.planned)
            self.busy.add(name)
            if trouble.planned:
                stage.add_successor(name)
                await asyncio.sleep(SUCCESSOR_AHEAD)
                await self._end_in_order(name)
            else:
                stage.processes[name].kill(power=True)
                await asyncio.sleep(trouble.seconds)
                stage.add_successor(name)
            stage.processes[name].wipe()
            self._heal(number)

    def _reset(self, reset: Reset) -> None:
        stage = self.stage
        names = self.there(reset.machines)
        numbers = [self._harm(name, "reset") for name in names]
        hosts = [stage.processes[name].machine.host for name in names]
        stage.world.reset(names=names, hosts=hosts, share=reset.share)
        for name in names:
            stage.processes[name].reset(reset.share)
        for number in numbers:
            self._heal(number)

    # -- servers -----------------------------------------------------------------------------------------------------

    async def _release(self, name: str) -> None:
        stage = self.stage
        if name in stage.machines and not stage.servers[name].leaving and name not in self.busy:
            await stage.servers[name].leave()
            await asyncio.sleep(0.4)
            if name in stage.machines:
                stage.new_server(stage.machines[name])

    async def _crash(self, name: str, seconds: float) -> None:
        stage = self.stage
        if name in stage.machines and not stage.servers[name].leaving:
            stage.servers[name].leaving = True
            stage.servers[name].end()
            await asyncio.sleep(seconds)
            if name in stage.machines:
                stage.new_server(stage.machines[name])

    async def _replace(self, name: str, service: str, *, crash: bool) -> None:
        stage = self.stage
        if name not in stage.machines or stage.servers[name].leaving or name in self.busy:
            return
        machine = stage.machines[name]
        if len([each for each in stage.machines.values() if each.service == machine.service]) < 2:
            return
        if crash:
            stage.servers[name].leaving = True
            stage.servers[name].end()
        else:
            await stage.servers[name].leave()
        if name in self.busy or stage.processes[name].life.dead:
            # Something else befell the machine meanwhile; its server comes back with it.
            stage.new_server(machine)
            return
        await self._give_address_away(machine, service)

    async def _give_address_away(self, machine: SidecarMachine, service: str) -> None:
        stage, name = self.stage, machine.name
        number = self._harm(name, "stop", planned=True)
        self.busy.add(name)
        await self._end_in_order(name)
        del stage.machines[name]
        stage.ready[name] = False
        self._heal(number)
        await asyncio.sleep(BOUNDS["reuse_after_s"])
        stage.add_machine(machine._replace(name=f"side-x{next(stage.counter)}", service=service))

    # -- faults that wait for something ------------------------------------------------------------------------------

    def happened(self, when: str, machine: str) -> None:
        """An order was sent or confirmed, or a keyed request answered: now the harm that waited for it."""
        struck = [each for each in self.after_word if each.when == when]
        self.after_word = [each for each in self.after_word if each.when != when]
        for after in struck:
            self.stage.keep(self._strike(after, machine if when in (ACKNOWLEDGED, SNAPSHOT) else ""))

    async def _strike(self, after: AfterWord, machine: str) -> None:
        if after.when == SENT:
            await asyncio.sleep(self.stage.random.uniform(*SOON_AFTER))
        names = self.there((machine or self.stage.leader(),))
        await self.kill(names, after.seconds, power=after.how != "kill", wiped=after.how == "wipe")

    async def everything(self, how: str, seconds: float) -> None:
        """The closing fault: all machines, or as many disks as may be lost with the others' power now and then."""
        stage = self.stage
        core = list(stage.core)
        if how in ("kill", "power"):
            await self.kill(self.there((*core, *stage.machines)), seconds, power=how == "power")
            return
        lost = stage.random.sample(core, stage.day.site.losses)
        dark = how == "wipe and power" or stage.random.random() < 0.5
        rest = [name for name in core if name not in lost] if dark else []
        await asyncio.gather(
            stage.keep(self.kill(self.there(tuple(lost)), seconds, power=True, wiped=True)),
            stage.keep(self.kill(self.there(tuple(rest)), seconds, power=True)),
        )
