"""Core machines without proxies: the log under losses of power, disks and connections."""

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
    """Writes key claims through random registries, one after the other, and records each acknowledged claim."""
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
    """Waits until all replicas have the same state, and records the state of each for a checker to compare."""
    processes = simulation.processes
    simulation.world.heal()

    def replicas_equal() -> bool:
        leader = processes.leader()
        if leader is None:
            return False
        # The leader must have committed in its own epoch: before that, equal offsets don't show equal logs.
        core = processes.nodes[leader].runner.core
        return core.high_watermark >= core.replication.epoch_start_offset and all(
            (replica := processes.nodes[machine.store].runner.core) is not None
            and replica.state.offset == core.last.offset
            for machine in processes.core
        )

    try:
        await simulation.wait_until(replicas_equal, seconds=20, description="all replicas have the same state")
    except AssertionError:
        # The states are recorded as they are, and the checker reports the differences.
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
    """All core machines repeatedly lose power together, in the middle of syncs on slow disks."""
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
    """A majority commits while the rest is cut off; its leader is wiped, its followers cut off as the rest returns."""
    processes = simulation.processes
    await simulation.start(bundle=False)
    random = simulation.random
    for _ in range(3):
        await simulation.wait_for_leader(seconds=10)
        await asyncio.sleep(1)
        leader = processes.leader()
        followers = [machine.store for machine in processes.core if machine.store != leader]
        random.shuffle(followers)
        cut_off_followers = followers[: len(processes.core) // 2]
        up_to_date_followers = followers[len(processes.core) // 2 :]
        all_names = list(processes.by_name)
        simulation.world.cut(cut_off_followers, [name for name in all_names if name not in cut_off_followers])
        await asyncio.gather(*(write_claims(simulation, until=simulation.now() + 1.0) for _ in range(3)))
        replica = replica_of(leader)
        processes.kill(leader)
        processes.wipe(replica)
        simulation.world.heal()
        simulation.world.cut(up_to_date_followers, [name for name in all_names if name not in up_to_date_followers])
        processes.restart(leader)
        await asyncio.sleep(4)
        # Too few voters still have their data now, so no replica may become leader during the whole partition.
        simulation.world.heal()
        await simulation.wait_for_vote(replica, seconds=30)
    await compare_replicas(simulation)


async def inject_core_faults(simulation: SimulatedDeployment, *, end: float) -> None:
    """Injects one fault after another until `end`: in one core machine, the leader, all machines, a disk or links."""
    processes = simulation.processes
    random = simulation.random
    while simulation.now() < end:
        machine = random.choice(processes.core)
        machine_names = [machine.store, machine.registry]
        other_names = [name for name in processes.by_name if name not in machine_names]
        match random.choice(
            ("kill", "kill leader", "wipe", "wipe leader", "freeze", "cut", "one way", "other way", "all", "disk")
        ):
            case "kill":
                processes.kill(*machine_names)
                await asyncio.sleep(random.uniform(0.05, 2))
                processes.restart(*machine_names)
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
                processes.freeze(*machine_names)
                await asyncio.sleep(random.uniform(0.2, 3))
                processes.wake(*machine_names)
            case "cut":
                simulation.world.cut(machine_names, other_names)
            case "one way":
                simulation.world.cut(machine_names, other_names, one_way=True)
            case "other way":
                simulation.world.cut(other_names, machine_names, one_way=True)
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
    """Wipes a replica's disk once or twice, at times restarts the leader, and waits until the replica votes again."""
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
    """Claims are written while core machines fail; every acknowledged claim must be in the final state."""
    await simulation.start(bundle=False)
    end = simulation.now() + 25
    writers = [simulation.create_task(write_claims(simulation, until=end)) for _ in range(6)]
    await inject_core_faults(simulation, end=end)
    await asyncio.gather(*writers)
    await compare_replicas(simulation)
