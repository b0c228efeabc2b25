"""Failing disks and corrupted copies of the configuration."""

import asyncio

from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.testbed.history import CopyCorrupted, CopyDiverged
from hoistsaddle.testbed.process_names import PROXY, REGISTRY, STORE, proxy_name
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import under_load
from hoistsaddle.testbed.simulation.world import DISK_FULL, DISK_STALLED


async def disks_fail(simulation: SimulatedDeployment) -> None:
    """The disk of a follower, then of the leader, is stalled or full."""
    processes = simulation.processes
    await simulation.start()

    async def inject_faults() -> None:
        for fault in (DISK_STALLED, DISK_FULL):
            for on_leader in (False, True):
                leader = processes.leader()
                name = leader if on_leader else next(each for each in processes.running(STORE) if each != leader)
                simulation.world.disk_faults[name] = fault
                await asyncio.sleep(4)
                if on_leader:
                    await simulation.wait_until(
                        lambda name=name: processes.leader() not in (None, name),
                        seconds=6,
                        description="another leader",
                    )
                del simulation.world.disk_faults[name]
                await asyncio.sleep(2)

    await under_load(simulation, inject_faults(), seconds=26)
    await simulation.clients.wait_for_service("disks fail")
    await simulation.operators.read_back(in_force=1)


async def _compare_copies(simulation: SimulatedDeployment) -> None:
    """Records each time that the copy of a running node differs from the state of the log at that revision."""
    processes = simulation.processes
    expected: dict[int, tuple[int, ...]] = {}
    while True:
        leader = processes.leader()
        if leader is not None:
            state = processes.nodes[leader].runner.core.state
            expected[state.data_plane_revision] = digests_of(data_plane_items(state))
        for name in processes.running(REGISTRY) + processes.running(PROXY):
            copy = processes.nodes[name].relay.copy
            if copy.revision in expected and digests_of(copy.items) != expected[copy.revision]:
                simulation.history.add(CopyDiverged(simulation.now(), name))
        await asyncio.sleep(0.03)


async def copies_damaged(simulation: SimulatedDeployment) -> None:
    """Copies of the configuration are corrupted at single nodes in turn, then at a registry and a proxy at once."""
    processes = simulation.processes
    await simulation.start()
    simulation.create_task(_compare_copies(simulation))
    random = simulation.random

    def corrupt(name: str) -> None:
        items = processes.nodes[name].relay.copy.items
        key = random.choice(sorted(items))
        revision, value = items[key]
        match random.choice(("value", "missing", "strange")):
            case "value":
                items[key] = (revision, value[:-1] + bytes([value[-1] ^ 1]))
            case "missing":
                del items[key]
            case "strange":
                items["server:nobody"] = (revision, value)
        simulation.history.add(CopyCorrupted(simulation.now(), name))

    async def inject_faults() -> None:
        for names in (
            processes.running(REGISTRY)[:1],
            processes.running(PROXY)[:1],
            processes.running(PROXY)[-1:],
        ):
            corrupt(names[0])
            await asyncio.sleep(2.5)
        corrupt(random.choice(processes.running(REGISTRY)))
        corrupt(random.choice(processes.running(PROXY)))
        # An update of the corrupted copies: the resulting copies must still be correct.
        await simulation.operators.drain(proxy_name(1))
        await asyncio.sleep(2.5)
        await simulation.operators.drain(proxy_name(1), drain=False)

    await under_load(simulation, inject_faults(), seconds=12)
    await asyncio.sleep(1)
    await simulation.operators.read_back(in_force=1, settled=True)
