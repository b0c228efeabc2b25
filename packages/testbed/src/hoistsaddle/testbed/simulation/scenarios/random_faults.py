"""Random faults, successive and concurrent, while bundles are rolled out."""

import asyncio
from collections.abc import Callable, Coroutine

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import MeshError
from hoistsaddle.testbed.process_names import REGISTRY
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import RATE, next_bundle
from hoistsaddle.testbed.simulation.servers import ANSWER_SECONDS, LOSE_ANSWER
from hoistsaddle.testbed.simulation.world import DISK_FULL, DISK_STALLED

RUN_SECONDS = 20
REJOIN_TIMEOUT_SECONDS = 25
SLOW_ANSWER_SECONDS = (0.2, 2.0)
# How many times an operator continues a rollout after a failed call, and how many times the phase is read at the end.
MAX_ROLL_OUT_ATTEMPTS = 40
MAX_PHASE_READS = 60
READ_TIMEOUT_SECONDS = 3


class _RandomFaults:
    """Injects random faults into core machines, proxies and servers, drawn with the random generator of the run."""

    def __init__(self, simulation: SimulatedDeployment) -> None:
        self.simulation = simulation
        self.random = simulation.random
        self.processes = simulation.processes

    async def _sleep(self, shortest: float, longest: float) -> None:
        await asyncio.sleep(self.random.uniform(shortest, longest))

    async def inject_core_fault(self) -> None:
        """Injects one fault into one core machine and ends it."""
        machine = self.random.choice(self.processes.core)
        names = [machine.store, machine.registry]
        all_names = list(self.processes.by_name)
        match self.random.choice(("kill", "wipe", "freeze", "cut", "one-way", "disk")):
            case "kill":
                self.processes.kill(*names)
                await self._sleep(0.1, 3)
                self.processes.restart(*names)
            case "wipe":
                self.processes.kill(*names)
                self.processes.wipe(machine.replica)
                await self._sleep(0.1, 2)
                self.processes.restart(*names)
                # At most one core machine may be lost at a time, so the next fault waits for its return.
                await self.simulation.wait_for_vote(machine.replica, seconds=REJOIN_TIMEOUT_SECONDS)
            case "freeze":
                self.processes.freeze(*names)
                await self._sleep(0.3, 4)
                self.processes.wake(*names)
            case "cut":
                await self._cut(names, all_names, one_way=False)
            case "one-way":
                await self._cut(names, all_names, one_way=True)
            case "disk":
                self.simulation.world.disk_faults[machine.store] = self.random.choice((DISK_STALLED, DISK_FULL))
                await self._sleep(0.5, 3)
                self.simulation.world.disk_faults.clear()
        await self._sleep(0.5, 2)

    async def _cut(self, names: list[str], all_names: list[str], *, one_way: bool) -> None:
        self.simulation.world.cut(names, [name for name in all_names if name not in names], one_way=one_way)
        await self._sleep(0.3, 3)
        self.simulation.world.heal()

    async def inject_proxy_fault(self) -> None:
        """Injects one fault into some proxies or their local servers and ends it."""
        proxies = list(self.processes.proxies)
        names = self.random.sample(proxies, self.random.randint(1, max(1, len(proxies) // 2)))
        match self.random.choice(("kill", "freeze", "slow", "lose answer")):
            case "kill":
                self.processes.kill(*names)
                await self._sleep(0.1, 2)
                self.processes.restart(*names)
            case "freeze":
                self.processes.freeze(*names)
                await self._sleep(0.3, 4)
                self.processes.wake(*names)
            case "slow":
                for name in names:
                    self.simulation.servers[name].seconds = SLOW_ANSWER_SECONDS
                await asyncio.sleep(2)
                for name in names:
                    self.simulation.servers[name].seconds = ANSWER_SECONDS
            case "lose answer":
                for name in names:
                    self.simulation.servers[name].misbehaviour = LOSE_ANSWER
                await asyncio.sleep(2)
                for name in names:
                    self.simulation.servers[name].misbehaviour = ""
        await self._sleep(0.2, 2)


class _Bundles:
    """Rolls out one bundle after the other during the faults.

    Attributes:
        in_force: the number of the bundle that is in force everywhere.
        newest: the number of the newest bundle that was submitted.
    """

    def __init__(self, simulation: SimulatedDeployment) -> None:
        self.simulation = simulation
        self.operators = simulation.operators
        self.in_force = 1
        self.newest = 1

    async def roll_out_until(self, end: float) -> None:
        """Submits bundles and rolls them out until `end`."""
        simulation = self.simulation
        while simulation.now() < end:
            await asyncio.sleep(simulation.random.uniform(0.5, 3))
            self.newest += 1
            if not simulation.processes.running(REGISTRY):
                continue
            submitted = await self.operators.submit(next_bundle(simulation, number=self.newest, based_on=self.in_force))
            if isinstance(submitted, Success):
                await self._roll_out(submitted.unwrap()["submitted"])

    async def _roll_out(self, submitted: dict) -> None:
        """Signs and advances a bundle; after a failed call the operator reads the phase and continues from it."""
        answer: Result[dict, MeshError] = await self.operators.sign(submitted["number"], submitted["digest"])
        for _ in range(MAX_ROLL_OUT_ATTEMPTS):
            if isinstance(answer, Success) and answer.unwrap()["stage"] == answer.unwrap()["stages"]:
                self.in_force = self.newest
                return
            await asyncio.sleep(0.2)
            match await _phase_of(self.simulation, self.newest):
                case ("in force", _):
                    self.in_force = self.newest
                    return
                case ("draft", _):
                    answer = await self.operators.sign(submitted["number"], submitted["digest"])
                case ("rolling", stage):
                    answer = await self.operators.advance(self.newest, stage)

    async def read_phase(self) -> None:
        """Reads whether the newest bundle is in force."""
        phase = None
        for _ in range(MAX_PHASE_READS):
            phase = await _phase_of(self.simulation, self.newest)
            if phase is not None:
                break
        assert phase is not None, "no registry returned the phase of the newest bundle"
        if phase[0] == "in force":
            self.in_force = self.newest


async def _phase_of(simulation: SimulatedDeployment, number: int) -> tuple[str, int] | None:
    """Returns the phase and the stage of a bundle as a random registry reports them; None if it doesn't answer."""
    processes = simulation.processes
    registries = processes.running(REGISTRY)
    if not registries:
        return None
    name = simulation.random.choice(registries)
    task = processes.by_name[name].spawn(processes.nodes[name].read_configuration())
    await asyncio.wait([task], timeout=READ_TIMEOUT_SECONDS)
    if not task.done() or isinstance(task.result(), Failure):
        return None
    configuration = msgspec.json.decode(task.result().unwrap().content)
    for bundle in configuration["bundles"]:
        if bundle["number"] == number:
            return bundle["phase"], bundle["stage"]
    return "unknown", 0


async def anything(simulation: SimulatedDeployment) -> None:
    """Random faults in core machines and proxies, some at once; the configuration at the end must be correct."""
    await simulation.start()
    faults = _RandomFaults(simulation)
    bundles = _Bundles(simulation)
    end = simulation.now() + RUN_SECONDS
    load = simulation.create_task(simulation.clients.load(seconds=RUN_SECONDS, rate=RATE))
    rolling = simulation.create_task(bundles.roll_out_until(end))

    async def repeat(inject_fault: Callable[[], Coroutine]) -> None:
        while simulation.now() < end:
            await inject_fault()

    await asyncio.gather(repeat(faults.inject_core_fault), repeat(faults.inject_proxy_fault))
    await load
    await rolling
    await simulation.clients.wait_for_service("anything")
    await bundles.read_phase()
    await simulation.operators.read_back(in_force=bundles.in_force)
