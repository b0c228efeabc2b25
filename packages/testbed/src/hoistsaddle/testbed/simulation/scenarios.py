"""What is done to a simulated deployment. Each scenario causes the failures its name says, under load."""

import asyncio
import hashlib
from collections.abc import Callable, Coroutine
from datetime import timedelta

import msgspec
from returns.result import Failure, Success

from hoistsaddle.statemachine.commands import ClaimHold
from hoistsaddle.statemachine.state import WINDING_DOWN, pack_state
from hoistsaddle.testbed.history import Concluded, Interrupted, Replica, ServerChanged
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, SimulatedServer

Scenario = Callable[[SimulatedDeployment], Coroutine]
RATE = 25.0


def next_bundle(whole: SimulatedDeployment, *, number: int, based_on: int, note: str = "") -> str:
    return whole.deployment.next_bundle(number=number, based_on=based_on, note=note)


async def under_load(whole: SimulatedDeployment, trouble: Coroutine, *, seconds: float, rate: float = RATE) -> None:
    load = whole.keep(whole.load(seconds=seconds, rate=rate))
    await trouble
    await load


async def calm(whole: SimulatedDeployment) -> None:
    await whole.start()
    await whole.load(seconds=8, rate=RATE)
    await whole.read_back(in_force=1)


async def core_machine_lost(whole: SimulatedDeployment) -> None:
    """One core machine after the other loses power and comes back with its disk."""
    await whole.start()

    async def trouble() -> None:
        for machine in whole.core:
            whole.kill(machine.warehouse, machine.bourse)
            await asyncio.sleep(3)
            whole.restart(machine.warehouse, machine.bourse)
            await asyncio.sleep(2)

    await under_load(whole, trouble(), seconds=5 * len(whole.core))
    await whole.service_back("core machine lost")
    await whole.read_back(in_force=1)


async def disk_wiped(whole: SimulatedDeployment) -> None:
    """The leader's machine agrees, loses its whole disk, and returns blank; then the next, once the first rejoined."""
    await whole.start()

    async def trouble() -> None:
        for _ in range(2):
            name = whole.leader()
            replica = int(name.rpartition("-")[2])
            whole.kill(name, f"bourse-{replica}")
            whole.wipe(replica)
            await asyncio.sleep(1.0)
            whole.restart(name, f"bourse-{replica}")
            await whole.until(
                lambda replica=replica: whole.rejoined(replica), seconds=20, what=f"replica {replica} votes again"
            )

    await under_load(whole, trouble(), seconds=16)
    await whole.service_back("disk wiped")
    await whole.read_back(in_force=1)


async def herd_killed(whole: SimulatedDeployment) -> None:
    """Every process at once, control included; then everything comes back."""
    await whole.start()

    async def trouble() -> None:
        await asyncio.sleep(4)
        names = list(whole.lives)
        whole.kill(*names)
        await asyncio.sleep(2)
        whole.restart(*names)
        # Awaited: a service that never comes back must not end the run unseen.
        await whole.service_back("herd killed")

    await under_load(whole, trouble(), seconds=20)
    await whole.until(whole.serving, seconds=15, what="serving again")
    await whole.read_back(in_force=1)


async def days_end(whole: SimulatedDeployment) -> None:
    """At day's end everything fails together: every process, one core machine's disk, the others'
    disks slow; then the read-back."""
    await whole.start()

    async def trouble() -> None:
        await whole.roll_out(next_bundle(whole, number=2, based_on=1))
        assert isinstance(await whole.drain("stall-02"), Success)
        names = list(whole.lives)
        whole.kill(*names)
        whole.wipe(whole.random.choice(whole.core).replica)
        whole.world.sync_seconds = (0.02, 0.1)
        await asyncio.sleep(1)
        whole.restart(*names)
        await whole.until(lambda: whole.leader() is not None, seconds=15, what="a leader")
        await whole.read_back(in_force=2, drained=("stall-02",))
        await whole.service_back("day's end")

    await under_load(whole, trouble(), seconds=10)
    await whole.until(
        lambda: all(whole.rejoined(machine.replica) for machine in whole.core), seconds=20, what="all votes back"
    )
    await whole.read_back(in_force=2, drained=("stall-02",))


async def stalls_killed(whole: SimulatedDeployment) -> None:
    """All stalls die together, three times; the keys they held must not run again."""
    await whole.start()

    async def trouble() -> None:
        for _ in range(3):
            await asyncio.sleep(2)
            names = list(whole.stalls)
            whole.kill(*names)
            await asyncio.sleep(0.2)
            whole.restart(*names)

    await under_load(whole, trouble(), seconds=14, rate=40)
    await whole.service_back("stalls killed")


async def cut_apart(whole: SimulatedDeployment) -> None:
    """The core is split every way, one way and both, and single stalls are isolated from core, peers, or all."""
    await whole.start()
    core = [name for machine in whole.core for name in (machine.warehouse, machine.bourse)]
    stalls = list(whole.stalls)
    everyone = core + stalls

    async def trouble() -> None:
        for machine in whole.core:
            mine = [machine.warehouse, machine.bourse]
            whole.world.cut(mine, [name for name in everyone if name not in mine])
            await asyncio.sleep(2.5)
            whole.world.heal()
            await asyncio.sleep(1)
            whole.world.cut(mine, [name for name in everyone if name not in mine], one_way=True)
            await asyncio.sleep(2.5)
            whole.world.heal()
            await asyncio.sleep(1)
        for others in (core, stalls, everyone):
            one = whole.random.choice(stalls)
            whole.world.cut([one], [name for name in others if name != one])
            await asyncio.sleep(2.5)
            whole.world.heal()
            await asyncio.sleep(1)

    await under_load(whole, trouble(), seconds=7 * len(whole.core) + 10)
    await whole.service_back("cut apart")
    await whole.read_back(in_force=1)


async def frozen(whole: SimulatedDeployment) -> None:
    """Processes freeze and wake, singly and in groups, the leader's machine among them; a bundle lands meanwhile."""
    await whole.start()

    async def trouble() -> None:
        for round_number in range(3):
            leader = whole.leader()
            replica = leader.rpartition("-")[2]
            whole.freeze(leader, f"bourse-{replica}")
            await asyncio.sleep(0.4)
            text = next_bundle(whole, number=round_number + 2, based_on=round_number + 1)
            others = [name for name in whole.live("bourse") if name != f"bourse-{replica}"]
            submitted = await whole.submit(text, bourse=others[0])
            assert isinstance(submitted, Success), submitted
            stall = whole.random.choice(list(whole.stalls))
            whole.freeze(stall)
            detail = submitted.unwrap()["submitted"]
            signed = (await whole.sign(detail["number"], detail["digest"], bourse=others[0])).unwrap()
            advanced = await whole.advance(detail["number"], signed["stage"], bourse=others[-1])
            assert isinstance(advanced, Success), advanced
            whole.wake(stall, leader, f"bourse-{replica}")
            await asyncio.sleep(2.5)
            group = whole.random.sample(list(whole.stalls), max(1, len(whole.stalls) // 2))
            whole.freeze(*group)
            await asyncio.sleep(whole.random.uniform(0.5, 3))
            whole.wake(*group)
            await asyncio.sleep(1)

    await under_load(whole, trouble(), seconds=25)
    await whole.service_back("frozen")
    await whole.read_back(in_force=4)


async def leader_frozen(whole: SimulatedDeployment) -> None:
    """The leading machine stands still, again and again; the others must take over within a lease."""
    await whole.start()

    async def trouble() -> None:
        for _ in range(4):
            await asyncio.sleep(2)
            name = whole.leader()
            names = [name, f"bourse-{name.rpartition('-')[2]}"]
            whole.freeze(*names)
            await asyncio.sleep(3)
            whole.wake(*names)

    await under_load(whole, trouble(), seconds=20, rate=60)
    await whole.service_back("leader frozen")


async def disks_fail(whole: SimulatedDeployment) -> None:
    """Full and stalled disks on a follower and on the leader."""
    await whole.start()

    async def trouble() -> None:
        for fault in ("stalled", "full"):
            for on_leader in (False, True):
                leader = whole.leader()
                name = leader if on_leader else next(each for each in whole.live("warehouse") if each != leader)
                whole.world.disk_faults[name] = fault
                await asyncio.sleep(4)
                if on_leader:
                    await whole.until(
                        lambda name=name: whole.leader() not in (None, name), seconds=6, what="another leader"
                    )
                del whole.world.disk_faults[name]
                await asyncio.sleep(2)

    await under_load(whole, trouble(), seconds=26)
    await whole.service_back("disks fail")
    await whole.read_back(in_force=1)


async def servers_change(whole: SimulatedDeployment) -> None:
    """Servers wind down, vanish, are replaced, drained, and swapped for another service at the same address."""
    await whole.start()

    def services_beside(stall: str) -> str:
        return whole.random.choice(sorted({service for _, service in whole.stalls.values()} - {whole.stalls[stall][1]}))

    async def trouble() -> None:
        names = list(whole.stalls)
        for _ in range(2):
            winding, vanishing, swapping, draining = whole.random.sample(names, 4)
            whole.servers[winding].tell(WINDING_DOWN)
            whole.servers[vanishing].vanish()
            old = whole.servers[swapping]
            old.vanish()
            result = await whole.drain(draining)
            assert isinstance(result, Success), result
            whole.history.add(
                ServerChanged(
                    whole.moment(), whole.servers[draining].service, whole.servers[draining].instance, "drained"
                )
            )
            # One address passes to another service at once; the newcomer reports before it serves.
            hasty = whole.random.choice(
                [name for name in names if name not in (winding, vanishing, swapping, draining)]
            )
            for service in (services_beside(hasty), whole.stalls[hasty][1]):
                for _ in range(3):
                    whole.servers[hasty].vanish()
                    whole.servers[hasty] = SimulatedServer(whole=whole, stall=hasty, service=service)
                    whole.servers[hasty].report()
                    await asyncio.sleep(0.3)
            # Another passes on a little over two seconds after its server left.
            await asyncio.sleep(2.1)
            fresh = whole.servers[swapping] = SimulatedServer(
                whole=whole, stall=swapping, service=services_beside(swapping)
            )
            fresh.report()
            await asyncio.sleep(4)
            await whole.read_back(in_force=1, drained=(draining,))
            whole.servers[winding].vanish()
            whole.servers[swapping].vanish()
            await asyncio.sleep(2.1)
            for name in (winding, vanishing):
                whole.servers[name] = SimulatedServer(whole=whole, stall=name, service=whole.stalls[name][1])
            whole.servers[swapping] = SimulatedServer(whole=whole, stall=swapping, service=whole.stalls[swapping][1])
            assert isinstance(await whole.drain(draining, drain=False), Success)
            # A mark is tied to its instance; the server beside it goes on as itself.
            whole.servers[draining].tell("ready")
            await asyncio.sleep(2)

    await under_load(whole, trouble(), seconds=22)
    await whole.service_back("servers change")
    await whole.read_back(in_force=1)


async def servers_misbehave(whole: SimulatedDeployment) -> None:
    """Servers run requests and lose the answers, send garbage, cut answers short, or are slow."""
    await whole.start()

    async def trouble() -> None:
        for manner in ("lose answer", "garbage", "truncate"):
            spoilt = whole.random.sample(list(whole.servers.values()), max(2, len(whole.servers) // 3))
            for server in spoilt:
                server.manner = manner
            slow = whole.random.choice(list(whole.servers.values()))
            slow.seconds = (1.0, 6.0)
            await asyncio.sleep(5)
            slow.seconds = (0.002, 0.03)
            for server in spoilt:
                server.manner = ""
            await asyncio.sleep(1)

    await under_load(whole, trouble(), seconds=20, rate=60)
    await whole.service_back("servers misbehave")


async def bundles_race(whole: SimulatedDeployment) -> None:
    """Two desks race, broken and old bundles come, the leader is lost between sign-off and acceptance."""
    await whole.start()

    async def trouble() -> None:
        in_force = 1
        number = 1
        for round_number in range(4):
            broken = (
                next_bundle(whole, number=number + 50, based_on=in_force)
                .replace('service = "portal"', 'service = "nowhere"')
                .replace('service = "cards"', 'service = "nowhere"')
            )
            old = whole.deployment.first_bundle()
            one = next_bundle(whole, number=number + 1, based_on=in_force, note="one desk")
            two = next_bundle(whole, number=number + 2, based_on=in_force, note="other desk")
            bourses = whole.live("bourse")
            results = await asyncio.gather(
                whole.submit(broken, broken=True),
                # Another person's, so that it isn't confirmed as a call that was sent again.
                whole.submit(old, author="ben"),
                whole.submit(one, author="ada", bourse=bourses[0]),
                whole.submit(two, author="ben", bourse=bourses[-1]),
            )
            assert isinstance(results[0], Failure) and isinstance(results[1], Failure), results
            one_sent, two_sent = (result.unwrap()["submitted"] for result in results[2:])
            own = await whole.sign(one_sent["number"], one_sent["digest"], signer="ada")
            assert isinstance(own, Failure) and own.failure().kind == "bundle-self-signed", own
            signing = [
                whole.keep(whole.sign(one_sent["number"], one_sent["digest"], signer="ben", bourse=bourses[0])),
                whole.keep(whole.sign(two_sent["number"], two_sent["digest"], signer="ada", bourse=bourses[-1])),
            ]
            if round_number % 2:
                await asyncio.sleep(whole.random.uniform(0, 0.05))
                leader = whole.leader()
                if leader is not None:
                    whole.kill(leader)
                    whole.keep(_restart_later(whole, leader))
            signed = await asyncio.gather(*signing)
            taken = [result.unwrap() for result in signed if isinstance(result, Success)]
            assert len(taken) == 1, signed
            answer = taken[0]
            while answer["stage"] < answer["stages"]:
                answer = (await whole.advance(answer["number"], answer["stage"])).unwrap()
            number = in_force = answer["number"]
            # The loser is still a draft on a base that is gone: it can't be signed any more.
            loser = one_sent if answer["number"] == two_sent["number"] else two_sent
            late = await whole.sign(loser["number"], loser["digest"], signer="ben" if loser is one_sent else "ada")
            assert isinstance(late, Failure), late
            number = max(number, two_sent["number"])
        await whole.read_back(in_force=in_force)

    await under_load(whole, trouble(), seconds=20)
    await whole.service_back("bundles race")


async def _restart_later(whole: SimulatedDeployment, name: str, seconds: float = 1.5) -> None:
    await asyncio.sleep(seconds)
    whole.restart(name)


async def rolling_restart(whole: SimulatedDeployment) -> None:
    """Every machine is stopped in the planned way and started again, under load, with slow servers."""
    await whole.start()
    for server in whole.servers.values():
        server.seconds = (0.1, 0.6)

    async def trouble() -> None:
        for name in whole.stalls:
            await whole.stop_stall(name)
            whole.start_process(name)
            await asyncio.sleep(0.8)
        for machine in whole.core:
            began = whole.moment()
            for name in (machine.bourse, machine.warehouse):
                life = whole.lives[name]
                await life.spawn(whole.nodes[name].stop())
                whole.kill(name)
            await asyncio.sleep(0.5)
            whole.restart(machine.warehouse, machine.bourse)
            await asyncio.sleep(2.5)
            whole.history.add(Interrupted(began, whole.moment(), f"planned restart of core machine {machine.replica}"))

    load = whole.keep(whole.load(seconds=2.2 * len(whole.stalls) + 4 * len(whole.core), rate=RATE))
    await trouble()
    await load
    await whole.until(whole.serving, seconds=10, what="serving again")


async def lossy(whole: SimulatedDeployment) -> None:
    """Messages are lost, late and repeated all the while."""
    whole.world.repeated = 0.1
    whole.world.slow = 0.1
    await whole.start()
    whole.world.lost = 0.03
    await whole.load(seconds=12, rate=RATE)
    whole.world.lost = 0.0
    await whole.service_back("lossy")


async def anything(whole: SimulatedDeployment) -> None:
    """Whatever chance picks, one trouble after another and some at once; at the end a true read-back."""
    await whole.start()
    random = whole.random
    in_force = 1
    newest = 1

    async def core_trouble() -> None:
        machine = random.choice(whole.core)
        mine = [machine.warehouse, machine.bourse]
        everyone = list(whole.lives)
        match random.choice(("kill", "wipe", "freeze", "cut", "one-way", "disk")):
            case "kill":
                whole.kill(*mine)
                await asyncio.sleep(random.uniform(0.1, 3))
                whole.restart(*mine)
            case "wipe":
                whole.kill(*mine)
                whole.wipe(machine.replica)
                await asyncio.sleep(random.uniform(0.1, 2))
                whole.restart(*mine)
                # The next loss comes only once this one is made good: one core machine at a time.
                await whole.until(
                    lambda: whole.rejoined(machine.replica), seconds=25, what="the wiped replica votes again"
                )
            case "freeze":
                whole.freeze(*mine)
                await asyncio.sleep(random.uniform(0.3, 4))
                whole.wake(*mine)
            case "cut":
                whole.world.cut(mine, [name for name in everyone if name not in mine])
                await asyncio.sleep(random.uniform(0.3, 3))
                whole.world.heal()
            case "one-way":
                whole.world.cut(mine, [name for name in everyone if name not in mine], one_way=True)
                await asyncio.sleep(random.uniform(0.3, 3))
                whole.world.heal()
            case "disk":
                whole.world.disk_faults[machine.warehouse] = random.choice(("stalled", "full"))
                await asyncio.sleep(random.uniform(0.5, 3))
                whole.world.disk_faults.clear()
        await asyncio.sleep(random.uniform(0.5, 2))

    async def stall_trouble() -> None:
        names = random.sample(list(whole.stalls), random.randint(1, max(1, len(whole.stalls) // 2)))
        match random.choice(("kill", "freeze", "slow", "lose answer")):
            case "kill":
                whole.kill(*names)
                await asyncio.sleep(random.uniform(0.1, 2))
                whole.restart(*names)
            case "freeze":
                whole.freeze(*names)
                await asyncio.sleep(random.uniform(0.3, 4))
                whole.wake(*names)
            case "slow":
                for name in names:
                    whole.servers[name].seconds = (0.2, 2.0)
                await asyncio.sleep(2)
                for name in names:
                    whole.servers[name].seconds = (0.002, 0.03)
            case "lose answer":
                for name in names:
                    whole.servers[name].manner = "lose answer"
                await asyncio.sleep(2)
                for name in names:
                    whole.servers[name].manner = ""
        await asyncio.sleep(random.uniform(0.2, 2))

    async def bundles() -> None:
        nonlocal in_force, newest
        while whole.moment() < end:
            await asyncio.sleep(random.uniform(0.5, 3))
            newest += 1
            bourses = whole.live("bourse")
            if not bourses:
                continue
            submitted = await whole.submit(next_bundle(whole, number=newest, based_on=in_force))
            if isinstance(submitted, Failure):
                continue
            detail = submitted.unwrap()["submitted"]
            answer = await whole.sign(detail["number"], detail["digest"])
            stage = 1
            # An operator whose call broke reads the standing and goes on from there.
            for _ in range(40):
                if isinstance(answer, Success) and answer.unwrap()["stage"] == answer.unwrap()["stages"]:
                    in_force = newest
                    break
                if isinstance(answer, Success):
                    stage = answer.unwrap()["stage"]
                await asyncio.sleep(0.2)
                standing = await _standing(whole, newest)
                match standing:
                    case ("in force", _):
                        in_force = newest
                        break
                    case ("draft", _):
                        answer = await whole.sign(detail["number"], detail["digest"])
                    case ("rolling", stage):
                        answer = await whole.advance(newest, stage)

    end = whole.moment() + 20
    load = whole.keep(whole.load(seconds=20, rate=RATE))
    rolling = whole.keep(bundles())

    async def repeat(trouble: Callable[[], Coroutine]) -> None:
        while whole.moment() < end:
            await trouble()

    await asyncio.gather(repeat(core_trouble), repeat(stall_trouble))
    await load
    await rolling
    await whole.service_back("anything")
    for _ in range(60):
        standing = await _standing(whole, newest)
        if standing is not None:
            break
    if standing[0] == "in force":
        in_force = newest
    await whole.read_back(in_force=in_force)


async def _standing(whole: SimulatedDeployment, number: int) -> tuple[str, int] | None:
    bourses = whole.live("bourse")
    if not bourses:
        return None
    name = whole.random.choice(bourses)
    task = whole.lives[name].spawn(whole.nodes[name].read_setup())
    await asyncio.wait([task], timeout=3)
    if not task.done() or isinstance(task.result(), Failure):
        return None
    setup = msgspec.json.decode(task.result().unwrap().content)
    for bundle in setup["bundles"]:
        if bundle["number"] == number:
            return bundle["phase"], bundle["stage"]
    return "unknown", 0


async def bundle_while_cut_off(whole: SimulatedDeployment) -> None:
    """A stall is cut off while bundles are accepted without it: it must stop acting on the old one in time."""
    await whole.start()

    async def trouble() -> None:
        for number in (2, 3):
            one = whole.random.choice(list(whole.stalls))
            await asyncio.sleep(whole.random.uniform(0.2, 0.6))
            whole.world.cut([one], [name for name in whole.lives if name != one])
            await whole.roll_out(next_bundle(whole, number=number, based_on=number - 1))
            await asyncio.sleep(1)
            whole.world.heal()
            await whole.until(whole.serving, seconds=10, what="serving after the cut")

    await under_load(whole, trouble(), seconds=10)
    await whole.read_back(in_force=3)


async def zone_lost(whole: SimulatedDeployment) -> None:
    """One whole zone loses its power: core machine, stalls and servers; visitors of the others must hardly notice."""
    await whole.start()
    zones = whole.deployment.zones
    lost = whole.random.choice(zones)
    machines = [machine for place, machine in enumerate(whole.core) if zones[place % len(zones)] == lost]
    stalls = [name for name, (zone, _) in whole.stalls.items() if zone == lost]
    # With five core machines in three zones a zone may hold two: still a majority is left.
    names = [name for machine in machines for name in (machine.warehouse, machine.bourse)] + stalls

    async def trouble() -> None:
        await asyncio.sleep(3)
        whole.kill(*names)
        for name in stalls:
            whole.servers[name].vanish()
        await asyncio.sleep(6)
        whole.restart(*names)
        for name in stalls:
            whole.servers[name] = SimulatedServer(whole=whole, stall=name, service=whole.stalls[name][1])
        await whole.service_back("zone lost")

    await under_load(whole, trouble(), seconds=14)
    await whole.until(whole.serving, seconds=15, what="serving again")
    await whole.read_back(in_force=1)


async def control_lost(whole: SimulatedDeployment) -> None:
    """Every core process dies at once and comes back; what was passed on is still answered."""
    await whole.start()

    async def trouble() -> None:
        for pause in (0.2, 1.0, 3.0):
            await asyncio.sleep(2)
            names = [name for machine in whole.core for name in (machine.warehouse, machine.bourse)]
            whole.kill(*names)
            await asyncio.sleep(pause)
            whole.restart(*names)
            await whole.service_back(f"control lost for {pause} s")

    await under_load(whole, trouble(), seconds=18)
    await whole.read_back(in_force=1)


async def broken_bundle(whole: SimulatedDeployment) -> None:
    """A broken bundle is sent, and signed if that is let happen."""
    await whole.start()
    broken = next_bundle(whole, number=2, based_on=1).replace('callers = ["visitors"]', 'callers = ["anybody"]')
    submitted = await whole.submit(broken, broken=True)
    if isinstance(submitted, Success):
        detail = submitted.unwrap()["submitted"]
        signed = (await whole.sign(2, detail["digest"])).unwrap()
        await whole.advance(2, signed["stage"])
    await whole.load(seconds=2, rate=RATE)
    await whole.read_back(in_force=1)


async def _write_claims(whole: SimulatedDeployment, *, until: float) -> None:
    random = whole.random
    while whole.moment() < until:
        bourses = whole.live("bourse")
        if not bourses:
            await asyncio.sleep(0.05)
            continue
        name = random.choice(bourses)
        claim = f"claim-{next(whole.counter)}"
        command = ClaimHold(f"scope-{claim}", claim, "tester", "digest", f"bucket-{claim}", "service", "tester")
        task = whole.lives[name].spawn(whole.nodes[name].writer.write(command, within=timedelta(seconds=2)))
        life = whole.lives[name]
        while not task.done() and not life.dead:
            await asyncio.wait([task], timeout=0.05)
        if task.done() and isinstance(task.result(), Success):
            whole.history.add(Concluded(whole.moment(), claim, task.result().unwrap().detail["phase"]))
        await asyncio.sleep(random.uniform(0, 0.03))


async def compare_replicas(whole: SimulatedDeployment) -> None:
    whole.world.heal()

    def alike() -> bool:
        leader = whole.leader()
        if leader is None:
            return False
        # The leader must have committed in its own epoch: before that, equal offsets say nothing of the log's end.
        core = whole.nodes[leader].shell.core
        return core.high_watermark >= core.epoch_began and all(
            (replica := whole.nodes[machine.warehouse].shell.core) is not None
            and replica.state.offset == core.last.offset
            for machine in whole.core
        )

    try:
        await whole.until(alike, seconds=20, what="all replicas alike")
    except AssertionError:
        # Then they are written down as they stand, and the checker says what is wrong with them.
        pass
    for machine in whole.core:
        state = whole.nodes[machine.warehouse].shell.core.state
        whole.history.add(
            Replica(
                whole.moment(),
                machine.warehouse,
                hashlib.sha256(pack_state(state)).hexdigest(),
                tuple(sorted(hold.claim for hold in state.holds.values())),
            )
        )


async def power_lost(whole: SimulatedDeployment) -> None:
    """Slow disks; all core machines lose power together, again and again, in the middle of their syncs."""
    await whole.start(bundle=False)
    whole.world.sync_seconds = (0.02, 0.08)
    end = whole.moment() + 20
    writers = [whole.keep(_write_claims(whole, until=end)) for _ in range(10)]
    while whole.moment() < end:
        await whole.until(lambda: whole.leader() is not None, seconds=10, what="a leader")
        await asyncio.sleep(whole.random.uniform(0.2, 0.8))
        names = list(whole.lives)
        whole.kill(*names)
        await asyncio.sleep(0.1)
        whole.restart(*names)
    await asyncio.gather(*writers)
    await compare_replicas(whole)


async def agreed_then_wiped(whole: SimulatedDeployment) -> None:
    """Two machines agree while others are cut off; one of the two is wiped, its partner cut off as the rest return."""
    await whole.start(bundle=False)
    random = whole.random
    for _ in range(3):
        await whole.until(lambda: whole.leader() is not None, seconds=10, what="a leader")
        await asyncio.sleep(1)
        leader = whole.leader()
        followers = [machine.warehouse for machine in whole.core if machine.warehouse != leader]
        random.shuffle(followers)
        lagging = followers[: len(whole.core) // 2]
        partners = followers[len(whole.core) // 2 :]
        everyone = list(whole.lives)
        whole.world.cut(lagging, [name for name in everyone if name not in lagging])
        await asyncio.gather(*(_write_claims(whole, until=whole.moment() + 1.0) for _ in range(3)))
        replica = int(leader.rpartition("-")[2])
        whole.kill(leader)
        whole.wipe(replica)
        whole.world.heal()
        whole.world.cut(partners, [name for name in everyone if name not in partners])
        whole.restart(leader)
        await asyncio.sleep(4)
        # Too few voters hold their disks now, so nobody may lead, however long it lasts.
        whole.world.heal()
        await whole.until(
            lambda replica=replica: whole.rejoined(replica), seconds=30, what=f"replica {replica} votes again"
        )
    await compare_replicas(whole)


async def core_trouble(whole: SimulatedDeployment, *, end: float) -> None:
    """One harm to a core machine after the other until then, all of them, the leader, a disk or a line."""
    random = whole.random
    while whole.moment() < end:
        machine = random.choice(whole.core)
        mine = [machine.warehouse, machine.bourse]
        rest = [name for name in whole.lives if name not in mine]
        match random.choice(
            ("kill", "kill leader", "wipe", "wipe leader", "freeze", "cut", "one way", "other way", "all", "disk")
        ):
            case "kill":
                whole.kill(*mine)
                await asyncio.sleep(random.uniform(0.05, 2))
                whole.restart(*mine)
            case "kill leader" if whole.leader():
                name = whole.leader()
                whole.kill(name)
                await asyncio.sleep(random.uniform(0.05, 2))
                whole.restart(name)
            case "wipe":
                await _wipe_core(whole, machine.replica)
            case "wipe leader" if whole.leader():
                await _wipe_core(whole, int(whole.leader().rpartition("-")[2]))
            case "freeze":
                whole.freeze(*mine)
                await asyncio.sleep(random.uniform(0.2, 3))
                whole.wake(*mine)
            case "cut":
                whole.world.cut(mine, rest)
            case "one way":
                whole.world.cut(mine, rest, one_way=True)
            case "other way":
                whole.world.cut(rest, mine, one_way=True)
            case "all":
                names = list(whole.lives)
                whole.kill(*names)
                await asyncio.sleep(0.3)
                whole.restart(*names)
            case "disk":
                whole.world.disk_faults[machine.warehouse] = random.choice(("stalled", "full"))
        await asyncio.sleep(random.uniform(0.2, 2.5))
        whole.world.heal()
        whole.world.disk_faults.clear()
        await asyncio.sleep(random.uniform(0.0, 1.5))


async def _wipe_core(whole: SimulatedDeployment, replica: int) -> None:
    random = whole.random
    whole.kill(f"warehouse-{replica}")
    whole.wipe(replica)
    await asyncio.sleep(random.uniform(0.05, 1.5))
    whole.restart(f"warehouse-{replica}")
    # Wiped again while it catches up, sometimes; the others lose their power meanwhile, sometimes.
    if random.random() < 0.4:
        await asyncio.sleep(random.uniform(0.05, 3))
        whole.kill(f"warehouse-{replica}")
        whole.wipe(replica)
        whole.restart(f"warehouse-{replica}")
    if random.random() < 0.5:
        await asyncio.sleep(random.uniform(0.05, 2))
        leader = whole.leader()
        if leader:
            whole.kill(leader)
            await asyncio.sleep(random.uniform(0.05, 1))
            whole.restart(leader)
    await whole.until(lambda: whole.rejoined(replica), seconds=30, what=f"replica {replica} votes again")


async def core_chaos(whole: SimulatedDeployment) -> None:
    """Only the core: claims are written while its machines suffer; whatever was concluded must be there at the end."""
    await whole.start(bundle=False)
    end = whole.moment() + 25
    writers = [whole.keep(_write_claims(whole, until=end)) for _ in range(6)]
    await core_trouble(whole, end=end)
    await asyncio.gather(*writers)
    await compare_replicas(whole)
