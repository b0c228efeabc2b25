"""Injects faults into machines and servers, and records the start and end of each in the history."""

import asyncio
import itertools

from hoistsaddle.testbed.emulator.environment import Machines, Misbehaviour
from hoistsaddle.testbed.emulator.history import FaultEnded, FaultStarted
from hoistsaddle.testbed.emulator.scheduled_events import (
    ACKNOWLEDGED,
    LEADER,
    LEFT,
    SENT,
    SNAPSHOT,
    CrashServer,
    DiskFault,
    Freeze,
    JammedLink,
    Kill,
    LateHeartbeats,
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

# Shortest and longest delay, in seconds, from the submission of a change to the fault that it triggers.
TRIGGER_DELAY_SECONDS = (0.005, 0.4)
# Triggers whose faults hit the machine at which the trigger occurred.
LOCAL_TRIGGERS = (ACKNOWLEDGED, SNAPSHOT, LEFT)
# How long a planned successor runs before the machine that it replaces is stopped.
SUCCESSOR_LEAD_SECONDS = 1.0
# Seconds from the end of a server to the start of its next instance.
SERVER_RESTART_SECONDS = 0.4


class FaultInjector:
    """Executes the scheduled faults of a day."""

    def __init__(self, *, environment: Machines) -> None:
        self.environment = environment
        self.numbers = itertools.count(1)
        # Machines that are down because of a fault; further faults skip them.
        self.busy: set[str] = set()
        self.cut_links: list[set[tuple[str, str]]] = []
        self.triggered_faults: list[TriggeredFault] = []

    def record_start(self, machine: str, kind: str, *, planned: bool = False) -> int:
        """Records the start of a fault on a machine; returns the fault's number."""
        number = next(self.numbers)
        self.environment.history.add(FaultStarted(self.environment.now(), number, machine, kind, planned))
        return number

    def record_end(self, number: int) -> None:
        """Records the end of the fault with this number."""
        self.environment.history.add(FaultEnded(self.environment.now(), number))

    def _available(self, names: tuple[str, ...]) -> list[str]:
        """The running machines among `names` that no fault has taken down.

        LEADER and replaced machines are resolved to their current names.
        """
        environment = self.environment
        found = [environment.leader() if name == LEADER else environment.current_name(name) for name in names]
        return [
            name
            for name in dict.fromkeys(found)
            if name in environment.processes
            and name not in self.busy
            and not environment.processes[name].simulated.dead
        ]

    async def inject(self, fault: ScheduledFault) -> None:
        """Executes one fault; returns when it is over."""
        match fault:
            case Kill(machines=names, seconds=seconds, power=power, wipe=wiped):
                await self.kill(self._available(names), seconds, power=power, wiped=wiped)
            case Freeze(machines=names, seconds=seconds):
                await self._freeze(self._available(names), seconds)
            case Partition():
                await self._partition(fault)
            case JammedLink(machine=name, seconds=seconds, backlog=backlog):
                for available in self._available((name,)):
                    host = self.environment.processes[available].machine.host
                    self.environment.world.jam(available, host, seconds=seconds, backlog=backlog)
            case DiskFault():
                await self._disk(fault)
            case Stop(machine=name, seconds=seconds):
                for available in self._available((name,)):
                    await self._stop(available, seconds)
            case ReplaceCore():
                await self._replace_core(fault)
            case ResetConnections():
                self._reset(fault)
            case Misbehave(service=service, share=share, seconds=seconds, how=how):
                self.environment.misbehaviours[service] = Misbehaviour(share, how)
                await asyncio.sleep(seconds)
                self.environment.misbehaviours.pop(service, None)
            case RestartServer(machine=name, announced=announced):
                await self._restart_server(name, announced=announced)
            case LateHeartbeats(machine=name, seconds=seconds, latest=latest):
                if name in self.environment.machines:
                    self.environment.servers[name].delay_heartbeats(seconds, latest=latest)
            case ReassignAddress(machine=name, service=service, crash=crash):
                await self._reassign_address(name, service, crash=crash)
            case CrashServer(machine=name, seconds=seconds):
                await self._crash_server(name, seconds)
            case RewriteSettings():
                for process in list(self.environment.processes.values()):
                    process.rewrite_settings()
            case TriggeredFault():
                self.triggered_faults.append(fault)

    async def kill(self, names: list[str], seconds: float, *, power: bool, wiped: bool = False) -> None:
        """Kills the processes and restarts them after this many seconds."""
        environment, numbers = self.environment, []
        kind = "wipe" if wiped else "power" if power else "kill"
        for name in names:
            numbers.append(self.record_start(name, kind))
            self.busy.add(name)
            environment.processes[name].kill(power=power)
            if wiped:
                environment.processes[name].wipe()
        await asyncio.sleep(seconds)
        for name, number in zip(names, numbers, strict=True):
            self.busy.discard(name)
            if name in environment.machines or name in environment.core:
                environment.start(name)
            self.record_end(number)

    async def _freeze(self, names: list[str], seconds: float) -> None:
        numbers = [self.record_start(name, "freeze") for name in names]
        processes = [self.environment.processes[name].simulated for name in names]
        self.busy.update(names)
        for process in processes:
            process.freeze()
        await asyncio.sleep(seconds)
        for process in processes:
            process.wake()
        self.busy.difference_update(names)
        for number in numbers:
            self.record_end(number)

    async def _partition(self, partition: Partition) -> None:
        world = self.environment.world
        names = self._available(partition.machines)
        others = [self.environment.current_name(name) for name in partition.others]
        pairs = {(name, other) for name in names for other in others if other not in names}
        if not partition.one_way:
            pairs |= {(other, name) for name, other in pairs}
        numbers = [self.record_start(name, "cut") for name in names]
        self.cut_links.append(pairs)
        world.cuts = set().union(*self.cut_links)
        await asyncio.sleep(partition.seconds)
        self.cut_links.remove(pairs)
        world.cuts = set().union(*self.cut_links)
        for number in numbers:
            self.record_end(number)

    async def _disk(self, fault: DiskFault) -> None:
        for name in self._available((fault.machine,)):
            number = self.record_start(name, "disk")
            self.environment.world.disk_faults[name] = fault.how
            await asyncio.sleep(fault.seconds)
            self.environment.world.disk_faults.pop(name, None)
            self.record_end(number)

    async def _terminate(self, name: str) -> None:
        process = self.environment.processes[name]
        await process.wind_down()
        process.kill()

    async def _stop(self, name: str, seconds: float) -> None:
        number = self.record_start(name, "stop", planned=True)
        self.busy.add(name)
        await self._terminate(name)
        await asyncio.sleep(seconds)
        self.busy.discard(name)
        if name in self.environment.machines or name in self.environment.core:
            self.environment.start(name)
        self.record_end(number)

    async def _replace_core(self, fault: ReplaceCore) -> None:
        environment = self.environment
        for name in self._available((fault.machine,)):
            number = self.record_start(name, "replace", planned=fault.planned)
            self.busy.add(name)
            if fault.planned:
                environment.add_successor(name)
                await asyncio.sleep(SUCCESSOR_LEAD_SECONDS)
                await self._terminate(name)
            else:
                environment.processes[name].kill(power=True)
                await asyncio.sleep(fault.seconds)
                environment.add_successor(name)
            environment.processes[name].wipe()
            self.record_end(number)

    def _reset(self, reset: ResetConnections) -> None:
        environment = self.environment
        names = self._available(reset.machines)
        numbers = [self.record_start(name, "reset") for name in names]
        hosts = [environment.processes[name].machine.host for name in names]
        environment.world.reset(names=names, hosts=hosts, share=reset.share)
        for name in names:
            environment.processes[name].reset(reset.share)
        for number in numbers:
            self.record_end(number)

    async def _restart_server(self, name: str, *, announced: bool) -> None:
        environment = self.environment
        if name in environment.machines and not environment.servers[name].leaving and name not in self.busy:
            server = environment.servers[name]
            await (server.leave() if announced else server.leave_unannounced())
            await asyncio.sleep(SERVER_RESTART_SECONDS)
            if name in environment.machines:
                environment.new_server(environment.machines[name])

    async def _crash_server(self, name: str, seconds: float) -> None:
        environment = self.environment
        if name in environment.machines and not environment.servers[name].leaving:
            environment.servers[name].leaving = True
            environment.servers[name].end()
            await asyncio.sleep(seconds)
            if name in environment.machines:
                environment.new_server(environment.machines[name])

    async def _reassign_address(self, name: str, service: str, *, crash: bool) -> None:
        environment = self.environment
        if name not in environment.machines or environment.servers[name].leaving or name in self.busy:
            return
        machine = environment.machines[name]
        if sum(other.service == machine.service for other in environment.machines.values()) < 2:
            return
        if crash:
            environment.servers[name].leaving = True
            environment.servers[name].end()
        else:
            await environment.servers[name].leave()
        if name in self.busy or environment.processes[name].simulated.dead:
            # Another fault hit the machine in the meantime; its server restarts together with it.
            environment.new_server(machine)
            return
        await self._move_address(machine, service)

    async def _move_address(self, machine: SidecarMachine, service: str) -> None:
        environment, name = self.environment, machine.name
        number = self.record_start(name, "stop", planned=True)
        self.busy.add(name)
        await self._terminate(name)
        del environment.machines[name]
        environment.ready[name] = False
        self.record_end(number)
        await asyncio.sleep(BOUNDS["reuse_after_s"])
        environment.add_machine(machine._replace(name=f"side-x{next(environment.counter)}", service=service))

    def on_trigger(self, trigger: str, machine: str) -> None:
        """Starts the faults that are waiting for this trigger."""
        due = [fault for fault in self.triggered_faults if fault.trigger == trigger]
        self.triggered_faults = [fault for fault in self.triggered_faults if fault.trigger != trigger]
        for fault in due:
            self.environment.create_task(self._run_triggered_fault(fault, machine if trigger in LOCAL_TRIGGERS else ""))

    async def _run_triggered_fault(self, fault: TriggeredFault, machine: str) -> None:
        if fault.trigger == SENT:
            await asyncio.sleep(self.environment.random.uniform(*TRIGGER_DELAY_SECONDS))
        names = self._available((machine or self.environment.leader(),))
        await self.kill(names, fault.seconds, power=fault.how != "kill", wiped=fault.how == "wipe")

    async def run_final_fault(self, how: str, seconds: float) -> None:
        """Executes the final fault: kills all machines, or wipes as many disks as may be lost.

        With lost disks, the other core machines lose power too, depending on `how` or at random.
        """
        environment = self.environment
        core = list(environment.core)
        if how in ("kill", "power"):
            await self.kill(self._available((*core, *environment.machines)), seconds, power=how == "power")
            return
        lost = environment.random.sample(core, environment.day.site.losses)
        powered_off = how in ("wipe and power", "wipe and all power") or environment.random.random() < 0.5
        others = [name for name in core if name not in lost] if powered_off else []
        if how == "wipe and all power":
            others += list(environment.machines)
        await asyncio.gather(
            environment.create_task(self.kill(self._available(tuple(lost)), seconds, power=True, wiped=True)),
            environment.create_task(self.kill(self._available(tuple(others)), seconds, power=True)),
        )
