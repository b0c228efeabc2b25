"""Frozen processes and jumping clocks."""

import asyncio
from datetime import datetime, timedelta
from unittest import mock

from returns.result import Success

from hoistsaddle.common import counters
from hoistsaddle.testbed.process_names import REGISTRY, proxy_name, registry_name, replica_of
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import next_bundle, under_load


async def frozen(simulation: SimulatedDeployment) -> None:
    """Processes are frozen singly and in groups, also the leader's machine, while bundles are rolled out."""
    processes = simulation.processes
    operators = simulation.operators
    await simulation.start()

    async def inject_faults() -> None:
        for round_number in range(3):
            leader = processes.leader()
            replica = replica_of(leader)
            processes.freeze(leader, registry_name(replica))
            await asyncio.sleep(0.4)
            text = next_bundle(simulation, number=round_number + 2, based_on=round_number + 1)
            others = [name for name in processes.running(REGISTRY) if name != registry_name(replica)]
            submitted = await operators.submit(text, registry=others[0])
            assert isinstance(submitted, Success), submitted
            proxy = simulation.random.choice(list(processes.proxies))
            processes.freeze(proxy)
            detail = submitted.unwrap()["submitted"]
            signed = (await operators.sign(detail["number"], detail["digest"], registry=others[0])).unwrap()
            advanced = await operators.advance(detail["number"], signed["stage"], registry=others[-1])
            assert isinstance(advanced, Success), advanced
            processes.wake(proxy, leader, registry_name(replica))
            await asyncio.sleep(2.5)
            group = simulation.random.sample(list(processes.proxies), max(1, len(processes.proxies) // 2))
            processes.freeze(*group)
            await asyncio.sleep(simulation.random.uniform(0.5, 3))
            processes.wake(*group)
            await asyncio.sleep(1)

    await under_load(simulation, inject_faults(), seconds=25)
    await simulation.clients.wait_for_service("frozen")
    await operators.read_back(in_force=4)


async def leader_frozen(simulation: SimulatedDeployment) -> None:
    """The leader's machine is repeatedly frozen; the others must take over within the duration of a lease."""
    processes = simulation.processes
    await simulation.start()

    async def inject_faults() -> None:
        for _ in range(4):
            await asyncio.sleep(2)
            name = processes.leader()
            names = [name, registry_name(replica_of(name))]
            processes.freeze(*names)
            await asyncio.sleep(3)
            processes.wake(*names)

    await under_load(simulation, inject_faults(), seconds=20, rate=60)
    await simulation.clients.wait_for_service("leader frozen")


async def clocks_jump(simulation: SimulatedDeployment) -> None:
    """The wall clock of all processes jumps at each read, forward or backward; no result may depend on it."""
    processes = simulation.processes
    random = simulation.random

    class JumpingClock(datetime):
        @classmethod
        def now(cls, tz=None):
            return datetime(2026, 1, 1, tzinfo=tz) + timedelta(hours=random.uniform(-9999, 9999))

    def jumping_seconds() -> float:
        return 1.7e9 + random.uniform(-4e7, 4e7)

    with mock.patch.object(counters, "datetime", JumpingClock), mock.patch("time.time", jumping_seconds):
        await simulation.start()

        async def inject_faults() -> None:
            await simulation.operators.roll_out(next_bundle(simulation, number=2, based_on=1))
            leader = processes.leader()
            processes.kill(leader)
            await asyncio.sleep(1)
            processes.restart(leader)
            assert isinstance(await simulation.operators.drain(proxy_name(2)), Success)
            await simulation.operators.read_back(in_force=2, drained=(proxy_name(2),))

        await under_load(simulation, inject_faults(), seconds=8)
        await simulation.clients.wait_for_service("clocks jump")
