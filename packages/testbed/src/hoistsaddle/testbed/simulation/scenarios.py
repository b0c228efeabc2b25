"""What is done to a simulated deployment. Each scenario causes the failures its name says, under load."""

import asyncio
import hashlib
from collections.abc import Callable, Coroutine
from datetime import timedelta

import msgspec
from returns.result import Failure, Success

from hoistsaddle.statemachine.commands import ClaimKey
from hoistsaddle.statemachine.snapshots import pack_state
from hoistsaddle.statemachine.state import WINDING_DOWN
from hoistsaddle.testbed.history import ClaimWritten, PlannedInterruption, ReplicaState, ServerStateChanged
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, SimulatedServer

Scenario = Callable[[SimulatedDeployment], Coroutine]
RATE = 25.0


def next_bundle(complete: SimulatedDeployment, *, number: int, based_on: int, note: str = "") -> str:
    return complete.deployment.next_bundle(number=number, based_on=based_on, note=note)


async def under_load(
    complete: SimulatedDeployment, inject_faults: Coroutine, *, seconds: float, rate: float = RATE
) -> None:
    load = complete.create_task(complete.load(seconds=seconds, rate=rate))
    await inject_faults
    await load


async def calm(complete: SimulatedDeployment) -> None:
    await complete.start()
    await complete.load(seconds=8, rate=RATE)
    await complete.read_back(in_force=1)


async def core_machine_lost(complete: SimulatedDeployment) -> None:
    """One core machine after the other loses power and comes back with its disk."""
    await complete.start()

    async def inject_faults() -> None:
        for machine in complete.core:
            complete.kill(machine.store, machine.registry)
            await asyncio.sleep(3)
            complete.restart(machine.store, machine.registry)
            await asyncio.sleep(2)

    await under_load(complete, inject_faults(), seconds=5 * len(complete.core))
    await complete.service_back("core machine lost")
    await complete.read_back(in_force=1)


async def disk_wiped(complete: SimulatedDeployment) -> None:
    """The leader's machine agrees, loses its whole disk, and returns blank; then the next, once the first rejoined."""
    await complete.start()

    async def inject_faults() -> None:
        for _ in range(2):
            name = complete.leader()
            replica = int(name.rpartition("-")[2])
            complete.kill(name, f"bourse-{replica}")
            complete.wipe(replica)
            await asyncio.sleep(1.0)
            complete.restart(name, f"bourse-{replica}")
            await complete.until(
                lambda replica=replica: complete.rejoined(replica), seconds=20, what=f"replica {replica} votes again"
            )

    await under_load(complete, inject_faults(), seconds=16)
    await complete.service_back("disk wiped")
    await complete.read_back(in_force=1)


async def herd_killed(complete: SimulatedDeployment) -> None:
    """Every process at once, control included; then everything comes back."""
    await complete.start()

    async def inject_faults() -> None:
        await asyncio.sleep(4)
        names = list(complete.processes)
        complete.kill(*names)
        await asyncio.sleep(2)
        complete.restart(*names)
        # Awaited: a service that never comes back must not end the run unseen.
        await complete.service_back("herd killed")

    await under_load(complete, inject_faults(), seconds=20)
    await complete.until(complete.serving, seconds=15, what="serving again")
    await complete.read_back(in_force=1)


async def days_end(complete: SimulatedDeployment) -> None:
    """At day's end everything fails together: every process, one core machine's disk, the others'
    disks slow; then the read-back."""
    await complete.start()

    async def inject_faults() -> None:
        await complete.roll_out(next_bundle(complete, number=2, based_on=1))
        assert isinstance(await complete.drain("stall-02"), Success)
        names = list(complete.processes)
        complete.kill(*names)
        complete.wipe(complete.random.choice(complete.core).replica)
        complete.world.sync_seconds = (0.02, 0.1)
        await asyncio.sleep(1)
        complete.restart(*names)
        await complete.until(lambda: complete.leader() is not None, seconds=15, what="a leader")
        await complete.read_back(in_force=2, drained=("stall-02",))
        await complete.service_back("day's end")

    await under_load(complete, inject_faults(), seconds=10)
    await complete.until(
        lambda: all(complete.rejoined(machine.replica) for machine in complete.core), seconds=20, what="all votes back"
    )
    await complete.read_back(in_force=2, drained=("stall-02",))


async def stalls_killed(complete: SimulatedDeployment) -> None:
    """All proxies die together, three times; the keys they held must not run again."""
    await complete.start()

    async def inject_faults() -> None:
        for _ in range(3):
            await asyncio.sleep(2)
            names = list(complete.proxies)
            complete.kill(*names)
            await asyncio.sleep(0.2)
            complete.restart(*names)

    await under_load(complete, inject_faults(), seconds=14, rate=40)
    await complete.service_back("proxies killed")


async def cut_apart(complete: SimulatedDeployment) -> None:
    """The core is split every way, one way and both, and single proxies are isolated from core, peers, or all."""
    await complete.start()
    core = [name for machine in complete.core for name in (machine.store, machine.registry)]
    proxies = list(complete.proxies)
    everyone = core + proxies

    async def inject_faults() -> None:
        for machine in complete.core:
            mine = [machine.store, machine.registry]
            complete.world.cut(mine, [name for name in everyone if name not in mine])
            await asyncio.sleep(2.5)
            complete.world.heal()
            await asyncio.sleep(1)
            complete.world.cut(mine, [name for name in everyone if name not in mine], one_way=True)
            await asyncio.sleep(2.5)
            complete.world.heal()
            await asyncio.sleep(1)
        for others in (core, proxies, everyone):
            one = complete.random.choice(proxies)
            complete.world.cut([one], [name for name in others if name != one])
            await asyncio.sleep(2.5)
            complete.world.heal()
            await asyncio.sleep(1)

    await under_load(complete, inject_faults(), seconds=7 * len(complete.core) + 10)
    await complete.service_back("cut apart")
    await complete.read_back(in_force=1)


async def frozen(complete: SimulatedDeployment) -> None:
    """Processes freeze and wake, singly and in groups, the leader's machine among them; a bundle lands meanwhile."""
    await complete.start()

    async def inject_faults() -> None:
        for round_number in range(3):
            leader = complete.leader()
            replica = leader.rpartition("-")[2]
            complete.freeze(leader, f"bourse-{replica}")
            await asyncio.sleep(0.4)
            text = next_bundle(complete, number=round_number + 2, based_on=round_number + 1)
            others = [name for name in complete.live("bourse") if name != f"bourse-{replica}"]
            submitted = await complete.submit(text, registry=others[0])
            assert isinstance(submitted, Success), submitted
            proxy = complete.random.choice(list(complete.proxies))
            complete.freeze(proxy)
            detail = submitted.unwrap()["submitted"]
            signed = (await complete.sign(detail["number"], detail["digest"], registry=others[0])).unwrap()
            advanced = await complete.advance(detail["number"], signed["stage"], registry=others[-1])
            assert isinstance(advanced, Success), advanced
            complete.wake(proxy, leader, f"bourse-{replica}")
            await asyncio.sleep(2.5)
            group = complete.random.sample(list(complete.proxies), max(1, len(complete.proxies) // 2))
            complete.freeze(*group)
            await asyncio.sleep(complete.random.uniform(0.5, 3))
            complete.wake(*group)
            await asyncio.sleep(1)

    await under_load(complete, inject_faults(), seconds=25)
    await complete.service_back("frozen")
    await complete.read_back(in_force=4)


async def leader_frozen(complete: SimulatedDeployment) -> None:
    """The leading machine stands still, again and again; the others must take over within a lease."""
    await complete.start()

    async def inject_faults() -> None:
        for _ in range(4):
            await asyncio.sleep(2)
            name = complete.leader()
            names = [name, f"bourse-{name.rpartition('-')[2]}"]
            complete.freeze(*names)
            await asyncio.sleep(3)
            complete.wake(*names)

    await under_load(complete, inject_faults(), seconds=20, rate=60)
    await complete.service_back("leader frozen")


async def disks_fail(complete: SimulatedDeployment) -> None:
    """Full and stalled disks on a follower and on the leader."""
    await complete.start()

    async def inject_faults() -> None:
        for fault in ("stalled", "full"):
            for on_leader in (False, True):
                leader = complete.leader()
                name = leader if on_leader else next(each for each in complete.live("warehouse") if each != leader)
                complete.world.disk_faults[name] = fault
                await asyncio.sleep(4)
                if on_leader:
                    await complete.until(
                        lambda name=name: complete.leader() not in (None, name), seconds=6, what="another leader"
                    )
                del complete.world.disk_faults[name]
                await asyncio.sleep(2)

    await under_load(complete, inject_faults(), seconds=26)
    await complete.service_back("disks fail")
    await complete.read_back(in_force=1)


async def servers_change(complete: SimulatedDeployment) -> None:
    """Servers wind down, vanish, are replaced, drained, and swapped for another service at the same address."""
    await complete.start()

    def services_beside(proxy: str) -> str:
        return complete.random.choice(
            sorted({service for _, service in complete.proxies.values()} - {complete.proxies[proxy][1]})
        )

    async def inject_faults() -> None:
        names = list(complete.proxies)
        for _ in range(2):
            winding, vanishing, swapping, draining = complete.random.sample(names, 4)
            complete.servers[winding].tell(WINDING_DOWN)
            complete.servers[vanishing].vanish()
            old = complete.servers[swapping]
            old.vanish()
            result = await complete.drain(draining)
            assert isinstance(result, Success), result
            complete.history.add(
                ServerStateChanged(
                    complete.timestamp(),
                    complete.servers[draining].service,
                    complete.servers[draining].instance,
                    "drained",
                )
            )
            # One address passes to another service at once; the newcomer reports before it serves.
            hasty = complete.random.choice(
                [name for name in names if name not in (winding, vanishing, swapping, draining)]
            )
            for service in (services_beside(hasty), complete.proxies[hasty][1]):
                for _ in range(3):
                    complete.servers[hasty].vanish()
                    complete.servers[hasty] = SimulatedServer(complete=complete, proxy=hasty, service=service)
                    complete.servers[hasty].report()
                    await asyncio.sleep(0.3)
            # Another passes on a little over two seconds after its server left.
            await asyncio.sleep(2.1)
            fresh = complete.servers[swapping] = SimulatedServer(
                complete=complete, proxy=swapping, service=services_beside(swapping)
            )
            fresh.report()
            await asyncio.sleep(4)
            await complete.read_back(in_force=1, drained=(draining,))
            complete.servers[winding].vanish()
            complete.servers[swapping].vanish()
            await asyncio.sleep(2.1)
            for name in (winding, vanishing):
                complete.servers[name] = SimulatedServer(
                    complete=complete, proxy=name, service=complete.proxies[name][1]
                )
            complete.servers[swapping] = SimulatedServer(
                complete=complete, proxy=swapping, service=complete.proxies[swapping][1]
            )
            assert isinstance(await complete.drain(draining, drain=False), Success)
            # A mark is tied to its instance; the server beside it goes on as itself.
            complete.servers[draining].tell("ready")
            await asyncio.sleep(2)

    await under_load(complete, inject_faults(), seconds=22)
    await complete.service_back("servers change")
    await complete.read_back(in_force=1)


async def servers_misbehave(complete: SimulatedDeployment) -> None:
    """Servers run requests and lose the answers, send garbage, cut answers short, or are slow."""
    await complete.start()

    async def inject_faults() -> None:
        for misbehaviour in ("lose answer", "garbage", "truncate"):
            spoilt = complete.random.sample(list(complete.servers.values()), max(2, len(complete.servers) // 3))
            for server in spoilt:
                server.misbehaviour = misbehaviour
            slow = complete.random.choice(list(complete.servers.values()))
            slow.seconds = (1.0, 6.0)
            await asyncio.sleep(5)
            slow.seconds = (0.002, 0.03)
            for server in spoilt:
                server.misbehaviour = ""
            await asyncio.sleep(1)

    await under_load(complete, inject_faults(), seconds=20, rate=60)
    await complete.service_back("servers misbehave")


async def bundles_race(complete: SimulatedDeployment) -> None:
    """Two desks race, broken and old bundles come, the leader is lost between sign-off and acceptance."""
    await complete.start()

    async def inject_faults() -> None:
        in_force = 1
        number = 1
        for round_number in range(4):
            broken = (
                next_bundle(complete, number=number + 50, based_on=in_force)
                .replace('service = "portal"', 'service = "nowhere"')
                .replace('service = "cards"', 'service = "nowhere"')
            )
            old = complete.deployment.first_bundle()
            one = next_bundle(complete, number=number + 1, based_on=in_force, note="one desk")
            two = next_bundle(complete, number=number + 2, based_on=in_force, note="other desk")
            registries = complete.live("bourse")
            results = await asyncio.gather(
                complete.submit(broken, broken=True),
                # Another person's, so that it isn't confirmed as a call that was sent again.
                complete.submit(old, author="ben"),
                complete.submit(one, author="ada", registry=registries[0]),
                complete.submit(two, author="ben", registry=registries[-1]),
            )
            assert isinstance(results[0], Failure) and isinstance(results[1], Failure), results
            one_sent, two_sent = (result.unwrap()["submitted"] for result in results[2:])
            own = await complete.sign(one_sent["number"], one_sent["digest"], signer="ada")
            assert isinstance(own, Failure) and own.failure().kind == "bundle-self-signed", own
            signing = [
                complete.create_task(
                    complete.sign(one_sent["number"], one_sent["digest"], signer="ben", registry=registries[0])
                ),
                complete.create_task(
                    complete.sign(two_sent["number"], two_sent["digest"], signer="ada", registry=registries[-1])
                ),
            ]
            if round_number % 2:
                await asyncio.sleep(complete.random.uniform(0, 0.05))
                leader = complete.leader()
                if leader is not None:
                    complete.kill(leader)
                    complete.create_task(_restart_later(complete, leader))
            signed = await asyncio.gather(*signing)
            taken = [result.unwrap() for result in signed if isinstance(result, Success)]
            assert len(taken) == 1, signed
            answer = taken[0]
            while answer["stage"] < answer["stages"]:
                answer = (await complete.advance(answer["number"], answer["stage"])).unwrap()
            number = in_force = answer["number"]
            # The loser is still a draft on a base that is gone: it can't be signed any more.
            loser = one_sent if answer["number"] == two_sent["number"] else two_sent
            late = await complete.sign(loser["number"], loser["digest"], signer="ben" if loser is one_sent else "ada")
            assert isinstance(late, Failure), late
            number = max(number, two_sent["number"])
        await complete.read_back(in_force=in_force)

    await under_load(complete, inject_faults(), seconds=20)
    await complete.service_back("bundles race")


async def _restart_later(complete: SimulatedDeployment, name: str, seconds: float = 1.5) -> None:
    await asyncio.sleep(seconds)
    complete.restart(name)


async def rolling_restart(complete: SimulatedDeployment) -> None:
    """Every machine is stopped in the planned way and started again, under load, with slow servers."""
    await complete.start()
    for server in complete.servers.values():
        server.seconds = (0.1, 0.6)

    async def inject_faults() -> None:
        for name in complete.proxies:
            await complete.stop_proxy(name)
            complete.start_process(name)
            await asyncio.sleep(0.8)
        for machine in complete.core:
            began = complete.timestamp()
            for name in (machine.registry, machine.store):
                life = complete.processes[name]
                await life.spawn(complete.nodes[name].stop())
                complete.kill(name)
            await asyncio.sleep(0.5)
            complete.restart(machine.store, machine.registry)
            await asyncio.sleep(2.5)
            complete.history.add(
                PlannedInterruption(began, complete.timestamp(), f"planned restart of core machine {machine.replica}")
            )

    load = complete.create_task(complete.load(seconds=2.2 * len(complete.proxies) + 4 * len(complete.core), rate=RATE))
    await inject_faults()
    await load
    await complete.until(complete.serving, seconds=10, what="serving again")


async def lossy(complete: SimulatedDeployment) -> None:
    """Messages are lost, late and repeated all the while."""
    complete.world.repeated = 0.1
    complete.world.slow = 0.1
    await complete.start()
    complete.world.lost = 0.03
    await complete.load(seconds=12, rate=RATE)
    complete.world.lost = 0.0
    await complete.service_back("lossy")


async def anything(complete: SimulatedDeployment) -> None:
    """Whatever chance picks, one trouble after another and some at once; at the end a true read-back."""
    await complete.start()
    random = complete.random
    in_force = 1
    newest = 1

    async def inject_core_faults() -> None:
        machine = random.choice(complete.core)
        mine = [machine.store, machine.registry]
        everyone = list(complete.processes)
        match random.choice(("kill", "wipe", "freeze", "cut", "one-way", "disk")):
            case "kill":
                complete.kill(*mine)
                await asyncio.sleep(random.uniform(0.1, 3))
                complete.restart(*mine)
            case "wipe":
                complete.kill(*mine)
                complete.wipe(machine.replica)
                await asyncio.sleep(random.uniform(0.1, 2))
                complete.restart(*mine)
                # The next loss comes only once this one is made good: one core machine at a time.
                await complete.until(
                    lambda: complete.rejoined(machine.replica), seconds=25, what="the wiped replica votes again"
                )
            case "freeze":
                complete.freeze(*mine)
                await asyncio.sleep(random.uniform(0.3, 4))
                complete.wake(*mine)
            case "cut":
                complete.world.cut(mine, [name for name in everyone if name not in mine])
                await asyncio.sleep(random.uniform(0.3, 3))
                complete.world.heal()
            case "one-way":
                complete.world.cut(mine, [name for name in everyone if name not in mine], one_way=True)
                await asyncio.sleep(random.uniform(0.3, 3))
                complete.world.heal()
            case "disk":
                complete.world.disk_faults[machine.store] = random.choice(("stalled", "full"))
                await asyncio.sleep(random.uniform(0.5, 3))
                complete.world.disk_faults.clear()
        await asyncio.sleep(random.uniform(0.5, 2))

    async def inject_proxy_faults() -> None:
        names = random.sample(list(complete.proxies), random.randint(1, max(1, len(complete.proxies) // 2)))
        match random.choice(("kill", "freeze", "slow", "lose answer")):
            case "kill":
                complete.kill(*names)
                await asyncio.sleep(random.uniform(0.1, 2))
                complete.restart(*names)
            case "freeze":
                complete.freeze(*names)
                await asyncio.sleep(random.uniform(0.3, 4))
                complete.wake(*names)
            case "slow":
                for name in names:
                    complete.servers[name].seconds = (0.2, 2.0)
                await asyncio.sleep(2)
                for name in names:
                    complete.servers[name].seconds = (0.002, 0.03)
            case "lose answer":
                for name in names:
                    complete.servers[name].misbehaviour = "lose answer"
                await asyncio.sleep(2)
                for name in names:
                    complete.servers[name].misbehaviour = ""
        await asyncio.sleep(random.uniform(0.2, 2))

    async def bundles() -> None:
        nonlocal in_force, newest
        while complete.timestamp() < end:
            await asyncio.sleep(random.uniform(0.5, 3))
            newest += 1
            registries = complete.live("bourse")
            if not registries:
                continue
            submitted = await complete.submit(next_bundle(complete, number=newest, based_on=in_force))
            if isinstance(submitted, Failure):
                continue
            detail = submitted.unwrap()["submitted"]
            answer = await complete.sign(detail["number"], detail["digest"])
            stage = 1
            # An operator whose call broke reads the standing and goes on from there.
            for _ in range(40):
                if isinstance(answer, Success) and answer.unwrap()["stage"] == answer.unwrap()["stages"]:
                    in_force = newest
                    break
                if isinstance(answer, Success):
                    stage = answer.unwrap()["stage"]
                await asyncio.sleep(0.2)
                bundle_phase = await _bundle_phase(complete, newest)
                match bundle_phase:
                    case ("in force", _):
                        in_force = newest
                        break
                    case ("draft", _):
                        answer = await complete.sign(detail["number"], detail["digest"])
                    case ("rolling", stage):
                        answer = await complete.advance(newest, stage)

    end = complete.timestamp() + 20
    load = complete.create_task(complete.load(seconds=20, rate=RATE))
    rolling = complete.create_task(bundles())

    async def repeat(inject_faults: Callable[[], Coroutine]) -> None:
        while complete.timestamp() < end:
            await inject_faults()

    await asyncio.gather(repeat(inject_core_faults), repeat(inject_proxy_faults))
    await load
    await rolling
    await complete.service_back("anything")
    for _ in range(60):
        bundle_phase = await _bundle_phase(complete, newest)
        if bundle_phase is not None:
            break
    if bundle_phase[0] == "in force":
        in_force = newest
    await complete.read_back(in_force=in_force)


async def _bundle_phase(complete: SimulatedDeployment, number: int) -> tuple[str, int] | None:
    registries = complete.live("bourse")
    if not registries:
        return None
    name = complete.random.choice(registries)
    task = complete.processes[name].spawn(complete.nodes[name].read_configuration())
    await asyncio.wait([task], timeout=3)
    if not task.done() or isinstance(task.result(), Failure):
        return None
    setup = msgspec.json.decode(task.result().unwrap().content)
    for bundle in setup["bundles"]:
        if bundle["number"] == number:
            return bundle["phase"], bundle["stage"]
    return "unknown", 0


async def bundle_while_cut_off(complete: SimulatedDeployment) -> None:
    """A proxy is cut off while bundles are accepted without it: it must stop acting on the old one in time."""
    await complete.start()

    async def inject_faults() -> None:
        for number in (2, 3):
            one = complete.random.choice(list(complete.proxies))
            await asyncio.sleep(complete.random.uniform(0.2, 0.6))
            complete.world.cut([one], [name for name in complete.processes if name != one])
            await complete.roll_out(next_bundle(complete, number=number, based_on=number - 1))
            await asyncio.sleep(1)
            complete.world.heal()
            await complete.until(complete.serving, seconds=10, what="serving after the cut")

    await under_load(complete, inject_faults(), seconds=10)
    await complete.read_back(in_force=3)


async def zone_lost(complete: SimulatedDeployment) -> None:
    """One whole zone loses its power: core machine, proxies and servers; clients of the others must hardly notice."""
    await complete.start()
    zones = complete.deployment.zones
    lost = complete.random.choice(zones)
    machines = [machine for place, machine in enumerate(complete.core) if zones[place % len(zones)] == lost]
    proxies = [name for name, (zone, _) in complete.proxies.items() if zone == lost]
    # With five core machines in three zones a zone may hold two: still a majority is left.
    names = [name for machine in machines for name in (machine.store, machine.registry)] + proxies

    async def inject_faults() -> None:
        await asyncio.sleep(3)
        complete.kill(*names)
        for name in proxies:
            complete.servers[name].vanish()
        await asyncio.sleep(6)
        complete.restart(*names)
        for name in proxies:
            complete.servers[name] = SimulatedServer(complete=complete, proxy=name, service=complete.proxies[name][1])
        await complete.service_back("zone lost")

    await under_load(complete, inject_faults(), seconds=14)
    await complete.until(complete.serving, seconds=15, what="serving again")
    await complete.read_back(in_force=1)


async def control_lost(complete: SimulatedDeployment) -> None:
    """Every core process dies at once and comes back; what was passed on is still answered."""
    await complete.start()

    async def inject_faults() -> None:
        for pause in (0.2, 1.0, 3.0):
            await asyncio.sleep(2)
            names = [name for machine in complete.core for name in (machine.store, machine.registry)]
            complete.kill(*names)
            await asyncio.sleep(pause)
            complete.restart(*names)
            await complete.service_back(f"control lost for {pause} s")

    await under_load(complete, inject_faults(), seconds=18)
    await complete.read_back(in_force=1)


async def broken_bundle(complete: SimulatedDeployment) -> None:
    """A broken bundle is sent, and signed if that is let happen."""
    await complete.start()
    broken = next_bundle(complete, number=2, based_on=1).replace('callers = ["visitors"]', 'callers = ["anybody"]')
    submitted = await complete.submit(broken, broken=True)
    if isinstance(submitted, Success):
        detail = submitted.unwrap()["submitted"]
        signed = (await complete.sign(2, detail["digest"])).unwrap()
        await complete.advance(2, signed["stage"])
    await complete.load(seconds=2, rate=RATE)
    await complete.read_back(in_force=1)


async def _write_claims(complete: SimulatedDeployment, *, until: float) -> None:
    random = complete.random
    while complete.timestamp() < until:
        registries = complete.live("bourse")
        if not registries:
            await asyncio.sleep(0.05)
            continue
        name = random.choice(registries)
        claim = f"claim-{next(complete.counter)}"
        command = ClaimKey(f"scope-{claim}", claim, "tester", "digest", f"bucket-{claim}", "service", "tester")
        task = complete.processes[name].spawn(complete.nodes[name].writer.write(command, within=timedelta(seconds=2)))
        life = complete.processes[name]
        while not task.done() and not life.dead:
            await asyncio.wait([task], timeout=0.05)
        if task.done() and isinstance(task.result(), Success):
            complete.history.add(ClaimWritten(complete.timestamp(), claim, task.result().unwrap().detail["phase"]))
        await asyncio.sleep(random.uniform(0, 0.03))


async def compare_replicas(complete: SimulatedDeployment) -> None:
    complete.world.heal()

    def alike() -> bool:
        leader = complete.leader()
        if leader is None:
            return False
        # The leader must have committed in its own epoch: before that, equal offsets say nothing of the log's end.
        core = complete.nodes[leader].runner.core
        return core.high_watermark >= core.epoch_began and all(
            (replica := complete.nodes[machine.store].runner.core) is not None
            and replica.state.offset == core.last.offset
            for machine in complete.core
        )

    try:
        await complete.until(alike, seconds=20, what="all replicas alike")
    except AssertionError:
        # Then they are written down as they stand, and the checker says what is wrong with them.
        pass
    for machine in complete.core:
        state = complete.nodes[machine.store].runner.core.state
        complete.history.add(
            ReplicaState(
                complete.timestamp(),
                machine.store,
                hashlib.sha256(pack_state(state)).hexdigest(),
                tuple(sorted(hold.claim for hold in state.holds.values())),
            )
        )


async def power_lost(complete: SimulatedDeployment) -> None:
    """Slow disks; all core machines lose power together, again and again, in the middle of their syncs."""
    await complete.start(bundle=False)
    complete.world.sync_seconds = (0.02, 0.08)
    end = complete.timestamp() + 20
    writers = [complete.create_task(_write_claims(complete, until=end)) for _ in range(10)]
    while complete.timestamp() < end:
        await complete.until(lambda: complete.leader() is not None, seconds=10, what="a leader")
        await asyncio.sleep(complete.random.uniform(0.2, 0.8))
        names = list(complete.processes)
        complete.kill(*names)
        await asyncio.sleep(0.1)
        complete.restart(*names)
    await asyncio.gather(*writers)
    await compare_replicas(complete)


async def agreed_then_wiped(complete: SimulatedDeployment) -> None:
    """Two machines agree while others are cut off; one of the two is wiped, its partner cut off as the rest return."""
    await complete.start(bundle=False)
    random = complete.random
    for _ in range(3):
        await complete.until(lambda: complete.leader() is not None, seconds=10, what="a leader")
        await asyncio.sleep(1)
        leader = complete.leader()
        followers = [machine.store for machine in complete.core if machine.store != leader]
        random.shuffle(followers)
        lagging = followers[: len(complete.core) // 2]
        partners = followers[len(complete.core) // 2 :]
        everyone = list(complete.processes)
        complete.world.cut(lagging, [name for name in everyone if name not in lagging])
        await asyncio.gather(*(_write_claims(complete, until=complete.timestamp() + 1.0) for _ in range(3)))
        replica = int(leader.rpartition("-")[2])
        complete.kill(leader)
        complete.wipe(replica)
        complete.world.heal()
        complete.world.cut(partners, [name for name in everyone if name not in partners])
        complete.restart(leader)
        await asyncio.sleep(4)
        # Too few voters hold their disks now, so nobody may lead, however long it lasts.
        complete.world.heal()
        await complete.until(
            lambda replica=replica: complete.rejoined(replica), seconds=30, what=f"replica {replica} votes again"
        )
    await compare_replicas(complete)


async def inject_core_faults(complete: SimulatedDeployment, *, end: float) -> None:
    """One harm to a core machine after the other until then, all of them, the leader, a disk or a line."""
    random = complete.random
    while complete.timestamp() < end:
        machine = random.choice(complete.core)
        mine = [machine.store, machine.registry]
        rest = [name for name in complete.processes if name not in mine]
        match random.choice(
            ("kill", "kill leader", "wipe", "wipe leader", "freeze", "cut", "one way", "other way", "all", "disk")
        ):
            case "kill":
                complete.kill(*mine)
                await asyncio.sleep(random.uniform(0.05, 2))
                complete.restart(*mine)
            case "kill leader" if complete.leader():
                name = complete.leader()
                complete.kill(name)
                await asyncio.sleep(random.uniform(0.05, 2))
                complete.restart(name)
            case "wipe":
                await _wipe_core(complete, machine.replica)
            case "wipe leader" if complete.leader():
                await _wipe_core(complete, int(complete.leader().rpartition("-")[2]))
            case "freeze":
                complete.freeze(*mine)
                await asyncio.sleep(random.uniform(0.2, 3))
                complete.wake(*mine)
            case "cut":
                complete.world.cut(mine, rest)
            case "one way":
                complete.world.cut(mine, rest, one_way=True)
            case "other way":
                complete.world.cut(rest, mine, one_way=True)
            case "all":
                names = list(complete.processes)
                complete.kill(*names)
                await asyncio.sleep(0.3)
                complete.restart(*names)
            case "disk":
                complete.world.disk_faults[machine.store] = random.choice(("stalled", "full"))
        await asyncio.sleep(random.uniform(0.2, 2.5))
        complete.world.heal()
        complete.world.disk_faults.clear()
        await asyncio.sleep(random.uniform(0.0, 1.5))


async def _wipe_core(complete: SimulatedDeployment, replica: int) -> None:
    random = complete.random
    complete.kill(f"warehouse-{replica}")
    complete.wipe(replica)
    await asyncio.sleep(random.uniform(0.05, 1.5))
    complete.restart(f"warehouse-{replica}")
    # Wiped again while it catches up, sometimes; the others lose their power meanwhile, sometimes.
    if random.random() < 0.4:
        await asyncio.sleep(random.uniform(0.05, 3))
        complete.kill(f"warehouse-{replica}")
        complete.wipe(replica)
        complete.restart(f"warehouse-{replica}")
    if random.random() < 0.5:
        await asyncio.sleep(random.uniform(0.05, 2))
        leader = complete.leader()
        if leader:
            complete.kill(leader)
            await asyncio.sleep(random.uniform(0.05, 1))
            complete.restart(leader)
    await complete.until(lambda: complete.rejoined(replica), seconds=30, what=f"replica {replica} votes again")


async def core_chaos(complete: SimulatedDeployment) -> None:
    """Only the core: claims are written while its machines suffer; whatever was concluded must be there at the end."""
    await complete.start(bundle=False)
    end = complete.timestamp() + 25
    writers = [complete.create_task(_write_claims(complete, until=end)) for _ in range(6)]
    await inject_core_faults(complete, end=end)
    await asyncio.gather(*writers)
    await compare_replicas(complete)
