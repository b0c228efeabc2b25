"""What is done to a simulated deployment. Each scenario causes the failures its name says, under load."""

import asyncio
import hashlib
from collections.abc import Callable, Coroutine
from datetime import timedelta

import msgspec
from returns.result import Failure, Success

from hoistsaddle.statemachine.commands import ClaimHold
from hoistsaddle.statemachine.state import WINDING_DOWN, pack_state
from hoistsaddle.testbed.history import ClaimWritten, PlannedInterruption, ReplicaState, ServerStateChanged
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, SimulatedServer

Scenario = Callable[[SimulatedDeployment], Coroutine]
RATE = 25.0


def next_bundle(simulation: SimulatedDeployment, *, number: int, based_on: int, note: str = "") -> str:
    return simulation.deployment.next_bundle(number=number, based_on=based_on, note=note)


async def under_load(
    simulation: SimulatedDeployment, inject_faults: Coroutine, *, seconds: float, rate: float = RATE
) -> None:
    load = simulation.create_task(simulation.load(seconds=seconds, rate=rate))
    await inject_faults
    await load


async def calm(simulation: SimulatedDeployment) -> None:
    await simulation.start()
    await simulation.load(seconds=8, rate=RATE)
    await simulation.read_back(in_force=1)


async def core_machine_lost(simulation: SimulatedDeployment) -> None:
    """One core machine after the other loses power and comes back with its disk."""
    await simulation.start()

    async def inject_faults() -> None:
        for machine in simulation.core:
            simulation.kill(machine.store, machine.registry)
            await asyncio.sleep(3)
            simulation.restart(machine.store, machine.registry)
            await asyncio.sleep(2)

    await under_load(simulation, inject_faults(), seconds=5 * len(simulation.core))
    await simulation.wait_for_service("core machine lost")
    await simulation.read_back(in_force=1)


async def disk_wiped(simulation: SimulatedDeployment) -> None:
    """The leader's machine agrees, loses its whole disk, and returns blank; then the next, once the first rejoined."""
    await simulation.start()

    async def inject_faults() -> None:
        for _ in range(2):
            name = simulation.leader()
            replica = int(name.rpartition("-")[2])
            simulation.kill(name, f"bourse-{replica}")
            simulation.wipe(replica)
            await asyncio.sleep(1.0)
            simulation.restart(name, f"bourse-{replica}")
            await simulation.until(
                lambda replica=replica: simulation.rejoined(replica),
                seconds=20,
                description=f"replica {replica} votes again",
            )

    await under_load(simulation, inject_faults(), seconds=16)
    await simulation.wait_for_service("disk wiped")
    await simulation.read_back(in_force=1)


async def herd_killed(simulation: SimulatedDeployment) -> None:
    """Every process at once, control included; then everything comes back."""
    await simulation.start()

    async def inject_faults() -> None:
        await asyncio.sleep(4)
        names = list(simulation.processes)
        simulation.kill(*names)
        await asyncio.sleep(2)
        simulation.restart(*names)
        # Awaited: a service that never comes back must not end the run unseen.
        await simulation.wait_for_service("herd killed")

    await under_load(simulation, inject_faults(), seconds=20)
    await simulation.until(simulation.is_serving, seconds=15, description="serving again")
    await simulation.read_back(in_force=1)


async def days_end(simulation: SimulatedDeployment) -> None:
    """At day's end everything fails together: every process, one core machine's disk, the others'
    disks slow; then the read-back."""
    await simulation.start()

    async def inject_faults() -> None:
        await simulation.roll_out(next_bundle(simulation, number=2, based_on=1))
        assert isinstance(await simulation.drain("stall-02"), Success)
        names = list(simulation.processes)
        simulation.kill(*names)
        simulation.wipe(simulation.random.choice(simulation.core).replica)
        simulation.world.sync_seconds = (0.02, 0.1)
        await asyncio.sleep(1)
        simulation.restart(*names)
        await simulation.until(lambda: simulation.leader() is not None, seconds=15, description="a leader")
        await simulation.read_back(in_force=2, drained=("stall-02",))
        await simulation.wait_for_service("day's end")

    await under_load(simulation, inject_faults(), seconds=10)
    await simulation.until(
        lambda: all(simulation.rejoined(machine.replica) for machine in simulation.core),
        seconds=20,
        description="all votes back",
    )
    await simulation.read_back(in_force=2, drained=("stall-02",))


async def stalls_killed(simulation: SimulatedDeployment) -> None:
    """All proxies die together, three times; the keys they held must not run again."""
    await simulation.start()

    async def inject_faults() -> None:
        for _ in range(3):
            await asyncio.sleep(2)
            names = list(simulation.proxies)
            simulation.kill(*names)
            await asyncio.sleep(0.2)
            simulation.restart(*names)

    await under_load(simulation, inject_faults(), seconds=14, rate=40)
    await simulation.wait_for_service("proxies killed")


async def cut_apart(simulation: SimulatedDeployment) -> None:
    """The core is split every way, one way and both, and single proxies are isolated from core, peers, or all."""
    await simulation.start()
    core = [name for machine in simulation.core for name in (machine.store, machine.registry)]
    proxies = list(simulation.proxies)
    everyone = core + proxies

    async def inject_faults() -> None:
        for machine in simulation.core:
            mine = [machine.store, machine.registry]
            simulation.world.cut(mine, [name for name in everyone if name not in mine])
            await asyncio.sleep(2.5)
            simulation.world.heal()
            await asyncio.sleep(1)
            simulation.world.cut(mine, [name for name in everyone if name not in mine], one_way=True)
            await asyncio.sleep(2.5)
            simulation.world.heal()
            await asyncio.sleep(1)
        for others in (core, proxies, everyone):
            one = simulation.random.choice(proxies)
            simulation.world.cut([one], [name for name in others if name != one])
            await asyncio.sleep(2.5)
            simulation.world.heal()
            await asyncio.sleep(1)

    await under_load(simulation, inject_faults(), seconds=7 * len(simulation.core) + 10)
    await simulation.wait_for_service("cut apart")
    await simulation.read_back(in_force=1)


async def frozen(simulation: SimulatedDeployment) -> None:
    """Processes freeze and wake, singly and in groups, the leader's machine among them; a bundle lands meanwhile."""
    await simulation.start()

    async def inject_faults() -> None:
        for round_number in range(3):
            leader = simulation.leader()
            replica = leader.rpartition("-")[2]
            simulation.freeze(leader, f"bourse-{replica}")
            await asyncio.sleep(0.4)
            text = next_bundle(simulation, number=round_number + 2, based_on=round_number + 1)
            others = [name for name in simulation.live("bourse") if name != f"bourse-{replica}"]
            submitted = await simulation.submit(text, registry=others[0])
            assert isinstance(submitted, Success), submitted
            proxy = simulation.random.choice(list(simulation.proxies))
            simulation.freeze(proxy)
            detail = submitted.unwrap()["submitted"]
            signed = (await simulation.sign(detail["number"], detail["digest"], registry=others[0])).unwrap()
            advanced = await simulation.advance(detail["number"], signed["stage"], registry=others[-1])
            assert isinstance(advanced, Success), advanced
            simulation.wake(proxy, leader, f"bourse-{replica}")
            await asyncio.sleep(2.5)
            group = simulation.random.sample(list(simulation.proxies), max(1, len(simulation.proxies) // 2))
            simulation.freeze(*group)
            await asyncio.sleep(simulation.random.uniform(0.5, 3))
            simulation.wake(*group)
            await asyncio.sleep(1)

    await under_load(simulation, inject_faults(), seconds=25)
    await simulation.wait_for_service("frozen")
    await simulation.read_back(in_force=4)


async def leader_frozen(simulation: SimulatedDeployment) -> None:
    """The leading machine stands still, again and again; the others must take over within a lease."""
    await simulation.start()

    async def inject_faults() -> None:
        for _ in range(4):
            await asyncio.sleep(2)
            name = simulation.leader()
            names = [name, f"bourse-{name.rpartition('-')[2]}"]
            simulation.freeze(*names)
            await asyncio.sleep(3)
            simulation.wake(*names)

    await under_load(simulation, inject_faults(), seconds=20, rate=60)
    await simulation.wait_for_service("leader frozen")


async def disks_fail(simulation: SimulatedDeployment) -> None:
    """Full and stalled disks on a follower and on the leader."""
    await simulation.start()

    async def inject_faults() -> None:
        for fault in ("stalled", "full"):
            for on_leader in (False, True):
                leader = simulation.leader()
                name = leader if on_leader else next(each for each in simulation.live("warehouse") if each != leader)
                simulation.world.disk_faults[name] = fault
                await asyncio.sleep(4)
                if on_leader:
                    await simulation.until(
                        lambda name=name: simulation.leader() not in (None, name),
                        seconds=6,
                        description="another leader",
                    )
                del simulation.world.disk_faults[name]
                await asyncio.sleep(2)

    await under_load(simulation, inject_faults(), seconds=26)
    await simulation.wait_for_service("disks fail")
    await simulation.read_back(in_force=1)


async def servers_change(simulation: SimulatedDeployment) -> None:
    """Servers wind down, vanish, are replaced, drained, and swapped for another service at the same address."""
    await simulation.start()

    def services_beside(proxy: str) -> str:
        return simulation.random.choice(
            sorted({service for _, service in simulation.proxies.values()} - {simulation.proxies[proxy][1]})
        )

    async def inject_faults() -> None:
        names = list(simulation.proxies)
        for _ in range(2):
            winding, vanishing, swapping, draining = simulation.random.sample(names, 4)
            simulation.servers[winding].tell(WINDING_DOWN)
            simulation.servers[vanishing].vanish()
            old = simulation.servers[swapping]
            old.vanish()
            result = await simulation.drain(draining)
            assert isinstance(result, Success), result
            simulation.history.add(
                ServerStateChanged(
                    simulation.timestamp(),
                    simulation.servers[draining].service,
                    simulation.servers[draining].instance,
                    "drained",
                )
            )
            # One address passes to another service at once; the newcomer reports before it serves.
            hasty = simulation.random.choice(
                [name for name in names if name not in (winding, vanishing, swapping, draining)]
            )
            for service in (services_beside(hasty), simulation.proxies[hasty][1]):
                for _ in range(3):
                    simulation.servers[hasty].vanish()
                    simulation.servers[hasty] = SimulatedServer(simulation=simulation, proxy=hasty, service=service)
                    simulation.servers[hasty].report()
                    await asyncio.sleep(0.3)
            # Another passes on a little over two seconds after its server left.
            await asyncio.sleep(2.1)
            replacement = simulation.servers[swapping] = SimulatedServer(
                simulation=simulation, proxy=swapping, service=services_beside(swapping)
            )
            replacement.report()
            await asyncio.sleep(4)
            await simulation.read_back(in_force=1, drained=(draining,))
            simulation.servers[winding].vanish()
            simulation.servers[swapping].vanish()
            await asyncio.sleep(2.1)
            for name in (winding, vanishing):
                simulation.servers[name] = SimulatedServer(
                    simulation=simulation, proxy=name, service=simulation.proxies[name][1]
                )
            simulation.servers[swapping] = SimulatedServer(
                simulation=simulation, proxy=swapping, service=simulation.proxies[swapping][1]
            )
            assert isinstance(await simulation.drain(draining, drain=False), Success)
            # A mark is tied to its instance; the server beside it goes on as itself.
            simulation.servers[draining].tell("ready")
            await asyncio.sleep(2)

    await under_load(simulation, inject_faults(), seconds=22)
    await simulation.wait_for_service("servers change")
    await simulation.read_back(in_force=1)


async def servers_misbehave(simulation: SimulatedDeployment) -> None:
    """Servers run requests and lose the answers, send garbage, cut answers short, or are slow."""
    await simulation.start()

    async def inject_faults() -> None:
        for misbehaviour in ("lose answer", "garbage", "truncate"):
            faulty = simulation.random.sample(list(simulation.servers.values()), max(2, len(simulation.servers) // 3))
            for server in faulty:
                server.misbehaviour = misbehaviour
            slow = simulation.random.choice(list(simulation.servers.values()))
            slow.seconds = (1.0, 6.0)
            await asyncio.sleep(5)
            slow.seconds = (0.002, 0.03)
            for server in faulty:
                server.misbehaviour = ""
            await asyncio.sleep(1)

    await under_load(simulation, inject_faults(), seconds=20, rate=60)
    await simulation.wait_for_service("servers misbehave")


async def bundles_race(simulation: SimulatedDeployment) -> None:
    """Two desks race, broken and old bundles come, the leader is lost between sign-off and acceptance."""
    await simulation.start()

    async def inject_faults() -> None:
        in_force = 1
        number = 1
        for round_number in range(4):
            broken = (
                next_bundle(simulation, number=number + 50, based_on=in_force)
                .replace('service = "portal"', 'service = "nowhere"')
                .replace('service = "cards"', 'service = "nowhere"')
            )
            old = simulation.deployment.first_bundle()
            one = next_bundle(simulation, number=number + 1, based_on=in_force, note="one desk")
            two = next_bundle(simulation, number=number + 2, based_on=in_force, note="other desk")
            registries = simulation.live("bourse")
            results = await asyncio.gather(
                simulation.submit(broken, broken=True),
                # Another person's, so that it isn't confirmed as a call that was sent again.
                simulation.submit(old, author="ben"),
                simulation.submit(one, author="ada", registry=registries[0]),
                simulation.submit(two, author="ben", registry=registries[-1]),
            )
            assert isinstance(results[0], Failure) and isinstance(results[1], Failure), results
            one_sent, two_sent = (result.unwrap()["submitted"] for result in results[2:])
            own = await simulation.sign(one_sent["number"], one_sent["digest"], signer="ada")
            assert isinstance(own, Failure) and own.failure().kind == "bundle-self-signed", own
            signing = [
                simulation.create_task(
                    simulation.sign(one_sent["number"], one_sent["digest"], signer="ben", registry=registries[0])
                ),
                simulation.create_task(
                    simulation.sign(two_sent["number"], two_sent["digest"], signer="ada", registry=registries[-1])
                ),
            ]
            if round_number % 2:
                await asyncio.sleep(simulation.random.uniform(0, 0.05))
                leader = simulation.leader()
                if leader is not None:
                    simulation.kill(leader)
                    simulation.create_task(_restart_later(simulation, leader))
            signed = await asyncio.gather(*signing)
            taken = [result.unwrap() for result in signed if isinstance(result, Success)]
            assert len(taken) == 1, signed
            answer = taken[0]
            while answer["stage"] < answer["stages"]:
                answer = (await simulation.advance(answer["number"], answer["stage"])).unwrap()
            number = in_force = answer["number"]
            # The loser is still a draft on a base that is gone: it can't be signed any more.
            loser = one_sent if answer["number"] == two_sent["number"] else two_sent
            late = await simulation.sign(loser["number"], loser["digest"], signer="ben" if loser is one_sent else "ada")
            assert isinstance(late, Failure), late
            number = max(number, two_sent["number"])
        await simulation.read_back(in_force=in_force)

    await under_load(simulation, inject_faults(), seconds=20)
    await simulation.wait_for_service("bundles race")


async def _restart_later(simulation: SimulatedDeployment, name: str, seconds: float = 1.5) -> None:
    await asyncio.sleep(seconds)
    simulation.restart(name)


async def rolling_restart(simulation: SimulatedDeployment) -> None:
    """Every machine is stopped in the planned way and started again, under load, with slow servers."""
    await simulation.start()
    for server in simulation.servers.values():
        server.seconds = (0.1, 0.6)

    async def inject_faults() -> None:
        for name in simulation.proxies:
            await simulation.stop_proxy(name)
            simulation.start_process(name)
            await asyncio.sleep(0.8)
        for machine in simulation.core:
            began = simulation.timestamp()
            for name in (machine.registry, machine.store):
                process = simulation.processes[name]
                await process.spawn(simulation.nodes[name].stop())
                simulation.kill(name)
            await asyncio.sleep(0.5)
            simulation.restart(machine.store, machine.registry)
            await asyncio.sleep(2.5)
            simulation.history.add(
                PlannedInterruption(began, simulation.timestamp(), f"planned restart of core machine {machine.replica}")
            )

    load = simulation.create_task(
        simulation.load(seconds=2.2 * len(simulation.proxies) + 4 * len(simulation.core), rate=RATE)
    )
    await inject_faults()
    await load
    await simulation.until(simulation.is_serving, seconds=10, description="serving again")


async def lossy(simulation: SimulatedDeployment) -> None:
    """Messages are lost, late and repeated all the while."""
    simulation.world.duplicate_probability = 0.1
    simulation.world.delay_probability = 0.1
    await simulation.start()
    simulation.world.loss_probability = 0.03
    await simulation.load(seconds=12, rate=RATE)
    simulation.world.loss_probability = 0.0
    await simulation.wait_for_service("lossy")


async def anything(simulation: SimulatedDeployment) -> None:
    """Whatever chance picks, one trouble after another and some at once; at the end a true read-back."""
    await simulation.start()
    random = simulation.random
    in_force = 1
    newest = 1

    async def inject_core_faults() -> None:
        machine = random.choice(simulation.core)
        mine = [machine.store, machine.registry]
        everyone = list(simulation.processes)
        match random.choice(("kill", "wipe", "freeze", "cut", "one-way", "disk")):
            case "kill":
                simulation.kill(*mine)
                await asyncio.sleep(random.uniform(0.1, 3))
                simulation.restart(*mine)
            case "wipe":
                simulation.kill(*mine)
                simulation.wipe(machine.replica)
                await asyncio.sleep(random.uniform(0.1, 2))
                simulation.restart(*mine)
                # The next loss comes only once this one is made good: one core machine at a time.
                await simulation.until(
                    lambda: simulation.rejoined(machine.replica),
                    seconds=25,
                    description="the wiped replica votes again",
                )
            case "freeze":
                simulation.freeze(*mine)
                await asyncio.sleep(random.uniform(0.3, 4))
                simulation.wake(*mine)
            case "cut":
                simulation.world.cut(mine, [name for name in everyone if name not in mine])
                await asyncio.sleep(random.uniform(0.3, 3))
                simulation.world.heal()
            case "one-way":
                simulation.world.cut(mine, [name for name in everyone if name not in mine], one_way=True)
                await asyncio.sleep(random.uniform(0.3, 3))
                simulation.world.heal()
            case "disk":
                simulation.world.disk_faults[machine.store] = random.choice(("stalled", "full"))
                await asyncio.sleep(random.uniform(0.5, 3))
                simulation.world.disk_faults.clear()
        await asyncio.sleep(random.uniform(0.5, 2))

    async def inject_proxy_faults() -> None:
        names = random.sample(list(simulation.proxies), random.randint(1, max(1, len(simulation.proxies) // 2)))
        match random.choice(("kill", "freeze", "slow", "lose answer")):
            case "kill":
                simulation.kill(*names)
                await asyncio.sleep(random.uniform(0.1, 2))
                simulation.restart(*names)
            case "freeze":
                simulation.freeze(*names)
                await asyncio.sleep(random.uniform(0.3, 4))
                simulation.wake(*names)
            case "slow":
                for name in names:
                    simulation.servers[name].seconds = (0.2, 2.0)
                await asyncio.sleep(2)
                for name in names:
                    simulation.servers[name].seconds = (0.002, 0.03)
            case "lose answer":
                for name in names:
                    simulation.servers[name].misbehaviour = "lose answer"
                await asyncio.sleep(2)
                for name in names:
                    simulation.servers[name].misbehaviour = ""
        await asyncio.sleep(random.uniform(0.2, 2))

    async def bundles() -> None:
        nonlocal in_force, newest
        while simulation.timestamp() < end:
            await asyncio.sleep(random.uniform(0.5, 3))
            newest += 1
            registries = simulation.live("bourse")
            if not registries:
                continue
            submitted = await simulation.submit(next_bundle(simulation, number=newest, based_on=in_force))
            if isinstance(submitted, Failure):
                continue
            detail = submitted.unwrap()["submitted"]
            answer = await simulation.sign(detail["number"], detail["digest"])
            stage = 1
            # An operator whose call broke reads the standing and goes on from there.
            for _ in range(40):
                if isinstance(answer, Success) and answer.unwrap()["stage"] == answer.unwrap()["stages"]:
                    in_force = newest
                    break
                if isinstance(answer, Success):
                    stage = answer.unwrap()["stage"]
                await asyncio.sleep(0.2)
                bundle_phase = await _bundle_phase(simulation, newest)
                match bundle_phase:
                    case ("in force", _):
                        in_force = newest
                        break
                    case ("draft", _):
                        answer = await simulation.sign(detail["number"], detail["digest"])
                    case ("rolling", stage):
                        answer = await simulation.advance(newest, stage)

    end = simulation.timestamp() + 20
    load = simulation.create_task(simulation.load(seconds=20, rate=RATE))
    rolling = simulation.create_task(bundles())

    async def repeat(inject_faults: Callable[[], Coroutine]) -> None:
        while simulation.timestamp() < end:
            await inject_faults()

    await asyncio.gather(repeat(inject_core_faults), repeat(inject_proxy_faults))
    await load
    await rolling
    await simulation.wait_for_service("anything")
    for _ in range(60):
        bundle_phase = await _bundle_phase(simulation, newest)
        if bundle_phase is not None:
            break
    if bundle_phase[0] == "in force":
        in_force = newest
    await simulation.read_back(in_force=in_force)


async def _bundle_phase(simulation: SimulatedDeployment, number: int) -> tuple[str, int] | None:
    registries = simulation.live("bourse")
    if not registries:
        return None
    name = simulation.random.choice(registries)
    task = simulation.processes[name].spawn(simulation.nodes[name].read_configuration())
    await asyncio.wait([task], timeout=3)
    if not task.done() or isinstance(task.result(), Failure):
        return None
    setup = msgspec.json.decode(task.result().unwrap().content)
    for bundle in setup["bundles"]:
        if bundle["number"] == number:
            return bundle["phase"], bundle["stage"]
    return "unknown", 0


async def bundle_while_cut_off(simulation: SimulatedDeployment) -> None:
    """A proxy is cut off while bundles are accepted without it: it must stop acting on the old one in time."""
    await simulation.start()

    async def inject_faults() -> None:
        for number in (2, 3):
            one = simulation.random.choice(list(simulation.proxies))
            await asyncio.sleep(simulation.random.uniform(0.2, 0.6))
            simulation.world.cut([one], [name for name in simulation.processes if name != one])
            await simulation.roll_out(next_bundle(simulation, number=number, based_on=number - 1))
            await asyncio.sleep(1)
            simulation.world.heal()
            await simulation.until(simulation.is_serving, seconds=10, description="serving after the cut")

    await under_load(simulation, inject_faults(), seconds=10)
    await simulation.read_back(in_force=3)


async def zone_lost(simulation: SimulatedDeployment) -> None:
    """One whole zone loses its power: core machine, proxies and servers; clients of the others must hardly notice."""
    await simulation.start()
    zones = simulation.deployment.zones
    lost = simulation.random.choice(zones)
    machines = [machine for place, machine in enumerate(simulation.core) if zones[place % len(zones)] == lost]
    proxies = [name for name, (zone, _) in simulation.proxies.items() if zone == lost]
    # With five core machines in three zones a zone may hold two: still a majority is left.
    names = [name for machine in machines for name in (machine.store, machine.registry)] + proxies

    async def inject_faults() -> None:
        await asyncio.sleep(3)
        simulation.kill(*names)
        for name in proxies:
            simulation.servers[name].vanish()
        await asyncio.sleep(6)
        simulation.restart(*names)
        for name in proxies:
            simulation.servers[name] = SimulatedServer(
                simulation=simulation, proxy=name, service=simulation.proxies[name][1]
            )
        await simulation.wait_for_service("zone lost")

    await under_load(simulation, inject_faults(), seconds=14)
    await simulation.until(simulation.is_serving, seconds=15, description="serving again")
    await simulation.read_back(in_force=1)


async def control_lost(simulation: SimulatedDeployment) -> None:
    """Every core process dies at once and comes back; what was passed on is still answered."""
    await simulation.start()

    async def inject_faults() -> None:
        for pause in (0.2, 1.0, 3.0):
            await asyncio.sleep(2)
            names = [name for machine in simulation.core for name in (machine.store, machine.registry)]
            simulation.kill(*names)
            await asyncio.sleep(pause)
            simulation.restart(*names)
            await simulation.wait_for_service(f"control lost for {pause} s")

    await under_load(simulation, inject_faults(), seconds=18)
    await simulation.read_back(in_force=1)


async def broken_bundle(simulation: SimulatedDeployment) -> None:
    """A broken bundle is sent, and signed if that is let happen."""
    await simulation.start()
    broken = next_bundle(simulation, number=2, based_on=1).replace('callers = ["visitors"]', 'callers = ["anybody"]')
    submitted = await simulation.submit(broken, broken=True)
    if isinstance(submitted, Success):
        detail = submitted.unwrap()["submitted"]
        signed = (await simulation.sign(2, detail["digest"])).unwrap()
        await simulation.advance(2, signed["stage"])
    await simulation.load(seconds=2, rate=RATE)
    await simulation.read_back(in_force=1)


async def _write_claims(simulation: SimulatedDeployment, *, until: float) -> None:
    random = simulation.random
    while simulation.timestamp() < until:
        registries = simulation.live("bourse")
        if not registries:
            await asyncio.sleep(0.05)
            continue
        name = random.choice(registries)
        claim = f"claim-{next(simulation.counter)}"
        command = ClaimHold(f"scope-{claim}", claim, "tester", "digest", f"bucket-{claim}", "service", "tester")
        task = simulation.processes[name].spawn(
            simulation.nodes[name].writer.write(command, within=timedelta(seconds=2))
        )
        process = simulation.processes[name]
        while not task.done() and not process.dead:
            await asyncio.wait([task], timeout=0.05)
        if task.done() and isinstance(task.result(), Success):
            simulation.history.add(ClaimWritten(simulation.timestamp(), claim, task.result().unwrap().detail["phase"]))
        await asyncio.sleep(random.uniform(0, 0.03))


async def compare_replicas(simulation: SimulatedDeployment) -> None:
    simulation.world.heal()

    def alike() -> bool:
        leader = simulation.leader()
        if leader is None:
            return False
        # The leader must have committed in its own epoch: before that, equal offsets say nothing of the log's end.
        core = simulation.nodes[leader].runner.core
        return core.high_watermark >= core.epoch_began and all(
            (replica := simulation.nodes[machine.store].runner.core) is not None
            and replica.state.offset == core.last.offset
            for machine in simulation.core
        )

    try:
        await simulation.until(alike, seconds=20, description="all replicas alike")
    except AssertionError:
        # Then they are written down as they stand, and the checker says what is wrong with them.
        pass
    for machine in simulation.core:
        state = simulation.nodes[machine.store].runner.core.state
        simulation.history.add(
            ReplicaState(
                simulation.timestamp(),
                machine.store,
                hashlib.sha256(pack_state(state)).hexdigest(),
                tuple(sorted(hold.claim for hold in state.holds.values())),
            )
        )


async def power_lost(simulation: SimulatedDeployment) -> None:
    """Slow disks; all core machines lose power together, again and again, in the middle of their syncs."""
    await simulation.start(bundle=False)
    simulation.world.sync_seconds = (0.02, 0.08)
    end = simulation.timestamp() + 20
    writers = [simulation.create_task(_write_claims(simulation, until=end)) for _ in range(10)]
    while simulation.timestamp() < end:
        await simulation.until(lambda: simulation.leader() is not None, seconds=10, description="a leader")
        await asyncio.sleep(simulation.random.uniform(0.2, 0.8))
        names = list(simulation.processes)
        simulation.kill(*names)
        await asyncio.sleep(0.1)
        simulation.restart(*names)
    await asyncio.gather(*writers)
    await compare_replicas(simulation)


async def agreed_then_wiped(simulation: SimulatedDeployment) -> None:
    """Two machines agree while others are cut off; one of the two is wiped, its partner cut off as the rest return."""
    await simulation.start(bundle=False)
    random = simulation.random
    for _ in range(3):
        await simulation.until(lambda: simulation.leader() is not None, seconds=10, description="a leader")
        await asyncio.sleep(1)
        leader = simulation.leader()
        followers = [machine.store for machine in simulation.core if machine.store != leader]
        random.shuffle(followers)
        lagging = followers[: len(simulation.core) // 2]
        partners = followers[len(simulation.core) // 2 :]
        everyone = list(simulation.processes)
        simulation.world.cut(lagging, [name for name in everyone if name not in lagging])
        await asyncio.gather(*(_write_claims(simulation, until=simulation.timestamp() + 1.0) for _ in range(3)))
        replica = int(leader.rpartition("-")[2])
        simulation.kill(leader)
        simulation.wipe(replica)
        simulation.world.heal()
        simulation.world.cut(partners, [name for name in everyone if name not in partners])
        simulation.restart(leader)
        await asyncio.sleep(4)
        # Too few voters hold their disks now, so nobody may lead, however long it lasts.
        simulation.world.heal()
        await simulation.until(
            lambda replica=replica: simulation.rejoined(replica),
            seconds=30,
            description=f"replica {replica} votes again",
        )
    await compare_replicas(simulation)


async def inject_core_faults(simulation: SimulatedDeployment, *, end: float) -> None:
    """One harm to a core machine after the other until then, all of them, the leader, a disk or a line."""
    random = simulation.random
    while simulation.timestamp() < end:
        machine = random.choice(simulation.core)
        mine = [machine.store, machine.registry]
        rest = [name for name in simulation.processes if name not in mine]
        match random.choice(
            ("kill", "kill leader", "wipe", "wipe leader", "freeze", "cut", "one way", "other way", "all", "disk")
        ):
            case "kill":
                simulation.kill(*mine)
                await asyncio.sleep(random.uniform(0.05, 2))
                simulation.restart(*mine)
            case "kill leader" if simulation.leader():
                name = simulation.leader()
                simulation.kill(name)
                await asyncio.sleep(random.uniform(0.05, 2))
                simulation.restart(name)
            case "wipe":
                await _wipe_core(simulation, machine.replica)
            case "wipe leader" if simulation.leader():
                await _wipe_core(simulation, int(simulation.leader().rpartition("-")[2]))
            case "freeze":
                simulation.freeze(*mine)
                await asyncio.sleep(random.uniform(0.2, 3))
                simulation.wake(*mine)
            case "cut":
                simulation.world.cut(mine, rest)
            case "one way":
                simulation.world.cut(mine, rest, one_way=True)
            case "other way":
                simulation.world.cut(rest, mine, one_way=True)
            case "all":
                names = list(simulation.processes)
                simulation.kill(*names)
                await asyncio.sleep(0.3)
                simulation.restart(*names)
            case "disk":
                simulation.world.disk_faults[machine.store] = random.choice(("stalled", "full"))
        await asyncio.sleep(random.uniform(0.2, 2.5))
        simulation.world.heal()
        simulation.world.disk_faults.clear()
        await asyncio.sleep(random.uniform(0.0, 1.5))


async def _wipe_core(simulation: SimulatedDeployment, replica: int) -> None:
    random = simulation.random
    simulation.kill(f"warehouse-{replica}")
    simulation.wipe(replica)
    await asyncio.sleep(random.uniform(0.05, 1.5))
    simulation.restart(f"warehouse-{replica}")
    # Wiped again while it catches up, sometimes; the others lose their power meanwhile, sometimes.
    if random.random() < 0.4:
        await asyncio.sleep(random.uniform(0.05, 3))
        simulation.kill(f"warehouse-{replica}")
        simulation.wipe(replica)
        simulation.restart(f"warehouse-{replica}")
    if random.random() < 0.5:
        await asyncio.sleep(random.uniform(0.05, 2))
        leader = simulation.leader()
        if leader:
            simulation.kill(leader)
            await asyncio.sleep(random.uniform(0.05, 1))
            simulation.restart(leader)
    await simulation.until(
        lambda: simulation.rejoined(replica), seconds=30, description=f"replica {replica} votes again"
    )


async def core_chaos(simulation: SimulatedDeployment) -> None:
    """Only the core: claims are written while its machines suffer; whatever was concluded must be there at the end."""
    await simulation.start(bundle=False)
    end = simulation.timestamp() + 25
    writers = [simulation.create_task(_write_claims(simulation, until=end)) for _ in range(6)]
    await inject_core_faults(simulation, end=end)
    await asyncio.gather(*writers)
    await compare_replicas(simulation)
