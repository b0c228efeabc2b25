"""Core machines alone: the log under losses of power, disks and connections."""

import asyncio
import hashlib
from datetime import timedelta

from returns.result import Success

from hoistsaddle.statemachine.commands import ClaimKey
from hoistsaddle.statemachine.snapshots import pack_state
from hoistsaddle.testbed.history import ClaimWritten, ReplicaState
from hoistsaddle.testbed.process_names import REGISTRY, replica_of, store_name
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.world import DISK_FULL, DISK_STALLED


async def write_claims(simulation: SimulatedDeployment, *, until: float) -> None:
    """Writes claims of keys through any registry, one after the other, and writes down each that was concluded."""
    processes = simulation.processes
    random = simulation.random
    while simulation.now() < until:
        registries = processes.running(REGISTRY)
        if not registries:
            await asyncio.sleep(0.05)
            continue
        name = random.choice(registries)
        claim = f"claim-{next(simulation.counter)}"
        command = ClaimKey(f"scope-{claim}", claim, "tester", "digest", f"bucket-{claim}", "service", "tester")
        task = processes.by_name[name].spawn(processes.nodes[name].writer.write(command, within=timedelta(seconds=2)))
        process = processes.by_name[name]
        while not task.done() and not process.dead:
            await asyncio.wait([task], timeout=0.05)
        if task.done() and isinstance(task.result(), Success):
            simulation.history.add(ClaimWritten(simulation.now(), claim, task.result().unwrap().detail["phase"]))
        await asyncio.sleep(random.uniform(0, 0.03))


async def compare_replicas(simulation: SimulatedDeployment) -> None:
    """Waits until all replicas hold the same, and writes down what each holds for a checker to compare."""
    processes = simulation.processes
    simulation.world.heal()

    def alike() -> bool:
        leader = processes.leader()
        if leader is None:
            return False
        # The leader must have committed in its own epoch: before that, equal offsets say nothing of the log's end.
        core = processes.nodes[leader].runner.core
        return core.high_watermark >= core.replication.epoch_start_offset and all(
            (replica := processes.nodes[machine.store].runner.core) is not None
            and replica.state.offset == core.last.offset
            for machine in processes.core
        )

    try:
        await simulation.wait_until(alike, seconds=20, description="all replicas alike")
    except AssertionError:
        # Then they are written down as they stand, and the checker says what is wrong with them.
        pass
    for machine in processes.core:
        state = processes.nodes[machine.store].runner.core.state
        simulation.history.add(
            ReplicaState(
                simulation.now(),
                machine.store,
                hashlib.sha256(pack_state(state)).hexdigest(),
                tuple(sorted(hold.claim for hold in state.holds.values())),
            )
        )


async def power_lost(simulation: SimulatedDeployment) -> None:
    """Slow disks; all core machines lose power together, again and again, in the middle of their syncs."""
    processes = simulation.processes
    await simulation.start(bundle=False)
    simulation.world.sync_seconds = (0.02, 0.08)
    end = simulation.now() + 20
    writers = [simulation.create_task(write_claims(simulation, until=end)) for _ in range(10)]
    while simulation.now() < end:
        await simulation.wait_for_leader(seconds=10)
        await asyncio.sleep(simulation.random.uniform(0.2, 0.8))
        names = list(processes.by_name)
        processes.kill(*names)
        await asyncio.sleep(0.1)
        processes.restart(*names)
    await asyncio.gather(*writers)
    await compare_replicas(simulation)


async def agreed_then_wiped(simulation: SimulatedDeployment) -> None:
    """Two machines agree while others are cut off; one of the two is wiped, its partner cut off as the rest return."""
    processes = simulation.processes
    await simulation.start(bundle=False)
    random = simulation.random
    for _ in range(3):
        await simulation.wait_for_leader(seconds=10)
        await asyncio.sleep(1)
        leader = processes.leader()
        followers = [machine.store for machine in processes.core if machine.store != leader]
        random.shuffle(followers)
        lagging = followers[: len(processes.core) // 2]
        partners = followers[len(processes.core) // 2 :]
        everyone = list(processes.by_name)
        simulation.world.cut(lagging, [name for name in everyone if name not in lagging])
        await asyncio.gather(*(write_claims(simulation, until=simulation.now() + 1.0) for _ in range(3)))
        replica = replica_of(leader)
        processes.kill(leader)
        processes.wipe(replica)
        simulation.world.heal()
        simulation.world.cut(partners, [name for name in everyone if name not in partners])
        processes.restart(leader)
        await asyncio.sleep(4)
        # Too few voters hold their disks now, so nobody may lead, however long it lasts.
        simulation.world.heal()
        await simulation.wait_for_vote(replica, seconds=30)
    await compare_replicas(simulation)


async def inject_core_faults(simulation: SimulatedDeployment, *, end: float) -> None:
    """One fault of a core machine after the other until then: of any, the leader, all, a disk or a connection."""
    processes = simulation.processes
    random = simulation.random
    while simulation.now() < end:
        machine = random.choice(processes.core)
        mine = [machine.store, machine.registry]
        rest = [name for name in processes.by_name if name not in mine]
        match random.choice(
            ("kill", "kill leader", "wipe", "wipe leader", "freeze", "cut", "one way", "other way", "all", "disk")
        ):
            case "kill":
                processes.kill(*mine)
                await asyncio.sleep(random.uniform(0.05, 2))
                processes.restart(*mine)
            case "kill leader" if processes.leader():
                name = processes.leader()
                processes.kill(name)
                await asyncio.sleep(random.uniform(0.05, 2))
                processes.restart(name)
            case "wipe":
                await _wipe_core(simulation, machine.replica)
            case "wipe leader" if processes.leader():
                await _wipe_core(simulation, replica_of(processes.leader()))
            case "freeze":
                processes.freeze(*mine)
                await asyncio.sleep(random.uniform(0.2, 3))
                processes.wake(*mine)
            case "cut":
                simulation.world.cut(mine, rest)
            case "one way":
                simulation.world.cut(mine, rest, one_way=True)
            case "other way":
                simulation.world.cut(rest, mine, one_way=True)
            case "all":
                names = list(processes.by_name)
                processes.kill(*names)
                await asyncio.sleep(0.3)
                processes.restart(*names)
            case "disk":
                simulation.world.disk_faults[machine.store] = random.choice((DISK_STALLED, DISK_FULL))
        await asyncio.sleep(random.uniform(0.2, 2.5))
        simulation.world.heal()
        simulation.world.disk_faults.clear()
        await asyncio.sleep(random.uniform(0.0, 1.5))


async def _wipe_core(simulation: SimulatedDeployment, replica: int) -> None:
    """Wipes a replica's disk, perhaps twice, and perhaps the leader restarts meanwhile; waits until it votes again."""
    processes = simulation.processes
    random = simulation.random
    processes.kill(store_name(replica))
    processes.wipe(replica)
    await asyncio.sleep(random.uniform(0.05, 1.5))
    processes.restart(store_name(replica))
    if random.random() < 0.4:
        await asyncio.sleep(random.uniform(0.05, 3))
        processes.kill(store_name(replica))
        processes.wipe(replica)
        processes.restart(store_name(replica))
    if random.random() < 0.5:
        await asyncio.sleep(random.uniform(0.05, 2))
        leader = processes.leader()
        if leader:
            processes.kill(leader)
            await asyncio.sleep(random.uniform(0.05, 1))
            processes.restart(leader)
    await simulation.wait_for_vote(replica, seconds=30)


async def core_chaos(simulation: SimulatedDeployment) -> None:
    """Claims are written while core machines fail; whatever was concluded must be there at the end."""
    await simulation.start(bundle=False)
    end = simulation.now() + 25
    writers = [simulation.create_task(write_claims(simulation, until=end)) for _ in range(6)]
    await inject_core_faults(simulation, end=end)
    await asyncio.gather(*writers)
    await compare_replicas(simulation)
