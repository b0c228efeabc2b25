"""What a year brings: damaged copies, machines that never return, words just given, releases side by side."""

import asyncio
from datetime import datetime, timedelta
from unittest import mock

import msgspec
from returns.result import Failure, Success

from hoistsaddle.common import counters
from hoistsaddle.registry.operator_actions import OperatorActions
from hoistsaddle.rpc.messages import HealthCall
from hoistsaddle.statemachine.commands import GONE_RETENTION, LEVEL
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.state import data_plane_items
from hoistsaddle.testbed.history import AnswerRequired, AttemptSeen, CopyCorrupted, CopyDiverged, ServerStateChanged
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, SimulatedServer
from hoistsaddle.testbed.simulation.scenarios import RATE, next_bundle, under_load


async def _compare_copies(simulation: SimulatedDeployment) -> None:
    """Writes down every moment at which a live node's copy isn't what the log has at that revision."""
    said: dict[int, tuple[int, ...]] = {}
    while True:
        leader = simulation.leader()
        if leader is not None:
            state = simulation.nodes[leader].runner.core.state
            said[state.news] = digests_of(data_plane_items(state))
        for name in simulation.live("bourse") + simulation.live("stall"):
            copy = simulation.nodes[name].relay.copy
            if copy.revision in said and digests_of(copy.items) != said[copy.revision]:
                simulation.history.add(CopyDiverged(simulation.timestamp(), name))
        await asyncio.sleep(0.03)


async def copies_damaged(simulation: SimulatedDeployment) -> None:
    """One node's copy of the configuration is spoilt in place, also a root's; then two at once, parent and child."""
    await simulation.start()
    simulation.create_task(_compare_copies(simulation))
    random = simulation.random

    def damage(name: str) -> None:
        items = simulation.nodes[name].relay.copy.items
        key = random.choice(sorted(items))
        revision, value = items[key]
        match random.choice(("value", "missing", "strange")):
            case "value":
                items[key] = (revision, value[:-1] + bytes([value[-1] ^ 1]))
            case "missing":
                del items[key]
            case "strange":
                items["server:nobody"] = (revision, value)
        simulation.history.add(CopyCorrupted(simulation.timestamp(), name))

    async def inject_faults() -> None:
        for names in (simulation.live("bourse")[:1], simulation.live("stall")[:1], simulation.live("stall")[-1:]):
            damage(names[0])
            await asyncio.sleep(2.5)
        damage(random.choice(simulation.live("bourse")))
        damage(random.choice(simulation.live("stall")))
        # News on top of damage: what is taken over must still add up.
        await simulation.drain("stall-01")
        await asyncio.sleep(2.5)
        await simulation.drain("stall-01", drain=False)

    await under_load(simulation, inject_faults(), seconds=12)
    await asyncio.sleep(1)
    await simulation.read_back(in_force=1, settled=True)


async def gone_forgotten(simulation: SimulatedDeployment) -> None:
    """Machines are replaced by others that never were; their names go, and late reports don't bring them back."""
    await simulation.start()
    await simulation.until(
        lambda: simulation.nodes["bourse-1"].view.level == LEVEL, seconds=30, description="the release level"
    )
    removed = []
    reports: list[tuple] = []
    for place in range(3):
        old = f"stall-{place + 1:02d}"
        zone, service = simulation.proxies[old]
        node = simulation.nodes[old]
        reports.append(
            (old, node.incarnation, zone, service, simulation.servers[old].instance, node.relay.copy.revision)
        )
        simulation.remove_proxy(old)
        removed.append(old)
        simulation.add_proxy(f"stall-{place + 51}", zone=zone, service=service)
        await asyncio.sleep(3)
    await simulation.load(seconds=3, rate=RATE)
    # Mesh time goes on while the warden looks; some minutes of it must pass.
    await asyncio.sleep(GONE_RETENTION.total_seconds() + 60)
    await simulation.read_back(in_force=1, settled=True, removed=tuple(removed))
    # A report that was under way all the while comes in at last, at every registry.
    for name, process, zone, service, instance, seen in reports:
        for registry in simulation.live("bourse"):
            call = HealthCall(name, process, name, zone, service, instance, f"at-{name}", "ready", 9, seen, LEVEL)
            await simulation.processes[registry].spawn(simulation.nodes[registry].record_health(call))
    await asyncio.sleep(1)
    await simulation.load(seconds=3, rate=RATE)
    await simulation.read_back(in_force=1, settled=True, removed=tuple(removed))
    # The same name in a new life is another machine, and welcome.
    zone, service = simulation.deployment.zones[0], simulation.deployment.services[0]
    simulation.add_proxy("stall-01", zone=zone, service=service)
    await simulation.until(simulation.is_serving, seconds=15, description="the new machine of an old name serves")
    await simulation.read_back(in_force=1, settled=True, removed=tuple(removed[1:]))


async def wiped_after_word(simulation: SimulatedDeployment) -> None:
    """The leader's machine loses its disk at the very moment a word was given: accepted, drained, settled."""
    await simulation.start()
    once = next(request_kind for request_kind in simulation.deployment.request_kinds if request_kind.once)

    async def lose_leader() -> None:
        name = simulation.leader()
        replica = int(name.rpartition("-")[2])
        simulation.kill(name, f"bourse-{replica}")
        simulation.wipe(replica)
        await asyncio.sleep(0.5)
        simulation.restart(name, f"bourse-{replica}")
        await simulation.until(
            lambda: simulation.rejoined(replica), seconds=20, description=f"replica {replica} votes again"
        )

    async def inject_faults() -> None:
        await simulation.roll_out(next_bundle(simulation, number=2, based_on=1))
        await lose_leader()
        await simulation.read_back(in_force=2)
        assert isinstance(await simulation.drain("stall-02"), Success)
        server = simulation.servers["stall-02"]
        simulation.history.add(ServerStateChanged(simulation.timestamp(), server.service, server.instance, "drained"))
        await lose_leader()
        await simulation.read_back(in_force=2, drained=("stall-02",))
        first = await simulation.send_request(once, client="payer", key="settled")
        assert first.outcome == "answered", first
        await lose_leader()
        again = await simulation.send_request(once, client="payer", key="settled")
        simulation.expect(
            "a settled key outlives the disk that settled it", (again.run, again.repeat) == (first.run, True)
        )
        server.tell("ready")
        assert isinstance(await simulation.drain("stall-02", drain=False), Success)

    await under_load(simulation, inject_faults(), seconds=18)
    await simulation.wait_for_service("wiped after its word")
    await simulation.read_back(in_force=2, settled=True)


async def releases_side_by_side(simulation: SimulatedDeployment) -> None:
    """Every process begins at release level 1; they are upgraded one by one under load, and the level rises at last."""
    names = [name for machine in simulation.core for name in (machine.store, machine.registry)] + list(
        simulation.proxies
    )
    simulation.levels = dict.fromkeys(names, 1)
    await simulation.start()

    async def change_operator() -> str:
        result = await simulation.as_operator(
            lambda actions, request: actions.change_operator(
                operator="ada", name="eve", digest="e" * 64, request=request
            )
        )
        return "" if isinstance(result, Success) else str(result.failure().kind)

    async def inject_faults() -> None:
        order = list(names)
        simulation.random.shuffle(order)
        for place, name in enumerate(order):
            del simulation.levels[name]
            if name in simulation.proxies:
                await simulation.stop_proxy(name)
                simulation.start_process(name)
                await asyncio.sleep(1)
            else:
                await simulation.processes[name].spawn(simulation.nodes[name].stop())
                simulation.kill(name)
                await asyncio.sleep(0.3)
                simulation.restart(name)
                await asyncio.sleep(1.5)
            if place == len(order) // 2:
                simulation.expect("newer commands wait for the level", await change_operator() == "release-level")
                await simulation.roll_out(next_bundle(simulation, number=2, based_on=1))
        await simulation.until(
            lambda: simulation.nodes["bourse-1"].view.level == LEVEL, seconds=20, description="the level rises"
        )
        simulation.expect("newer commands are taken at the level", await change_operator() == "")
        # A former release comes back by mistake: it is kept out, and says so.
        follower = next(name for name in simulation.live("warehouse") if name != simulation.leader())
        simulation.levels = {follower: 1, "stall-01": 1}
        simulation.restart(follower, "stall-01")
        await asyncio.sleep(2)
        core = simulation.nodes[follower].runner.core
        simulation.expect("a former release stops and says so", core.halted != "" and core.role == "follower")
        simulation.expect("a former release's proxy doesn't serve", not simulation.nodes["stall-01"].core.noted())
        simulation.levels = {}
        simulation.restart(follower, "stall-01")
        await simulation.until(simulation.is_serving, seconds=15, description="serving again")

    await under_load(simulation, inject_faults(), seconds=2.2 * len(names))
    await simulation.wait_for_service("releases side by side")
    await asyncio.sleep(1)
    await simulation.read_back(in_force=2, settled=True)


async def margins_kept(simulation: SimulatedDeployment) -> None:
    """Margins smaller than the fleet, changed by bundles, while stalls come and go and servers lose answers."""
    await simulation.start()
    random = simulation.random

    def margin(count: int, percent: int):
        def change(declared: dict) -> None:
            for service in declared["services"]:
                service.update(further_margin=count, further_percent=percent)

        return change

    async def inject_faults() -> None:
        for place, (count, percent) in enumerate(((1, 20), (3, 0), (2, 5)), start=2):
            text = simulation.deployment.changed_bundle(margin(count, percent), number=place, based_on=place - 1)
            await simulation.roll_out(text)
            for server in random.sample(list(simulation.servers.values()), len(simulation.servers) // 2):
                server.misbehaviour = "lose answer"
            # Long enough for the parts to be in force, and used to the last.
            await asyncio.sleep(14)
            for _ in range(2):
                name = random.choice(list(simulation.proxies))
                simulation.kill(name)
                await asyncio.sleep(random.uniform(0.1, 2.0))
                simulation.restart(name)
                extra = f"stall-{place * 10 + 61}"
                simulation.add_proxy(
                    extra, zone=random.choice(simulation.deployment.zones), service=simulation.servers[name].service
                )
                await asyncio.sleep(random.uniform(1.5, 4.0))
                simulation.remove_proxy(extra)
                await asyncio.sleep(random.uniform(0.5, 2.5))
            for server in simulation.servers.values():
                server.misbehaviour = ""

    await under_load(simulation, inject_faults(), seconds=60, rate=40)
    assert any(event.is_retry for event in simulation.history.of(AttemptSeen)), "no further send was tried"
    await simulation.read_back(in_force=4)


async def isolated(simulation: SimulatedDeployment) -> None:
    """One proxy is cut off from everything, then the core is gone, then a service: everybody is told at once."""
    await simulation.start()
    proxies = list(simulation.proxies)
    once = next(request_kind for request_kind in simulation.deployment.request_kinds if request_kind.once)
    safe = next(request_kind for request_kind in simulation.deployment.request_kinds if not request_kind.once)

    async def ask_all(proxy: str, seconds: float) -> None:
        end = simulation.timestamp() + seconds
        asked = []
        while simulation.timestamp() < end:
            for request_kind in (once, safe):
                key = f"{next(simulation.counter)}" if request_kind.once else ""
                asked.append(
                    simulation.create_task(simulation.send_request(request_kind, client="v", key=key, proxy=proxy))
                )
            await asyncio.sleep(0.2)
        await asyncio.gather(*asked)

    one = simulation.random.choice(proxies)
    simulation.world.cut([one], [name for name in simulation.processes if name != one])
    await ask_all(one, 6)
    simulation.world.heal()
    await simulation.until(simulation.is_serving, seconds=10, description="serving again")
    core = [name for machine in simulation.core for name in (machine.store, machine.registry)]
    # The registries are reached but can't write: keys can't be held, while news still renews for a moment.
    simulation.kill(*[name for name in core if name.startswith("warehouse")])
    await asyncio.gather(*(ask_all(proxy, 6) for proxy in proxies[:2]))
    simulation.restart(*[name for name in core if name.startswith("warehouse")])
    await simulation.wait_for_service("the stores return")
    service = simulation.proxies[proxies[0]][1]
    for proxy, server in simulation.servers.items():
        if server.service == service:
            server.vanish()
    await asyncio.gather(*(ask_all(proxy, 6) for proxy in proxies[:2]))
    for proxy in proxies:
        if simulation.proxies[proxy][1] == service:
            simulation.servers[proxy] = SimulatedServer(simulation=simulation, proxy=proxy, service=service)
    await simulation.wait_for_service("a service returns")


async def clocks_jump(simulation: SimulatedDeployment) -> None:
    """Every process reads a wall clock that jumps hours either way at each look; nothing may hang on it."""
    random = simulation.random

    class Jumping(datetime):
        @classmethod
        def now(cls, tz=None):
            return datetime(2026, 1, 1, tzinfo=tz) + timedelta(hours=random.uniform(-9999, 9999))

    def jumping() -> float:
        return 1.7e9 + random.uniform(-4e7, 4e7)

    with mock.patch.object(counters, "datetime", Jumping), mock.patch("time.time", jumping):
        await simulation.start()

        async def inject_faults() -> None:
            await simulation.roll_out(next_bundle(simulation, number=2, based_on=1))
            leader = simulation.leader()
            simulation.kill(leader)
            await asyncio.sleep(1)
            simulation.restart(leader)
            assert isinstance(await simulation.drain("stall-02"), Success)
            await simulation.read_back(in_force=2, drained=("stall-02",))

        await under_load(simulation, inject_faults(), seconds=8)
        await simulation.wait_for_service("clocks jump")


async def operators_at_once(simulation: SimulatedDeployment) -> None:
    """Two calls share a request id at two registries; an operator is added, renewed, removed; the last two stay."""
    await simulation.start()
    await simulation.until(
        lambda: simulation.nodes["bourse-1"].view.level == LEVEL, seconds=30, description="the release level"
    )
    one, other = simulation.live("bourse")[0], simulation.live("bourse")[-1]

    async def at(registry: str, request: str, work):
        task = simulation.processes[registry].spawn(work(OperatorActions(registry=simulation.nodes[registry]), request))
        return await task

    def drain(operator: str, proxy: str, *, to: bool = True):
        return lambda actions, request: actions.drain(operator=operator, proxy=proxy, drain=to, request=request)

    # The same call sent to both is one call, answered alike; two calls that share an id are not.
    same = await asyncio.gather(at(one, "r1", drain("ada", "stall-01")), at(other, "r1", drain("ada", "stall-01")))
    simulation.expect(
        "one call at two registries is one call", same[0].unwrap()["offset"] == same[1].unwrap()["offset"]
    )
    mixed = await asyncio.gather(at(one, "r2", drain("ada", "stall-02")), at(other, "r2", drain("ben", "stall-03")))
    kinds = sorted("" if isinstance(each, Success) else str(each.failure().kind) for each in mixed)
    simulation.expect(f"two calls that share an id aren't one: {kinds}", kinds == ["", "request-reused"])
    drained = ("stall-01", "stall-02" if isinstance(mixed[0], Success) else "stall-03")
    await simulation.read_back(in_force=1, drained=drained)

    def change(operator: str, name: str, digest: str):
        return lambda actions, request: actions.change_operator(
            operator=operator, name=name, digest=digest, request=request
        )

    def sign(signer: str, name: str, named: str):
        return lambda actions, request: actions.sign_operator(operator=signer, name=name, change=named, request=request)

    async def both(proposer: str, signer: str, name: str, digest: str) -> str:
        proposed = await simulation.as_operator(change(proposer, name, digest))
        if isinstance(proposed, Failure):
            return str(proposed.failure().kind)
        named = proposed.unwrap()["change"]
        own = await simulation.as_operator(sign(proposer, name, named))
        simulation.expect("nobody signs alone", own.failure().kind == "operator-self-signed")
        # The leader's machine dies between the two halves.
        leader = simulation.leader()
        simulation.kill(leader)
        simulation.restart(leader)
        signed = await simulation.as_operator(sign(signer, name, named))
        return "" if isinstance(signed, Success) else str(signed.failure().kind)

    async def names() -> list[str]:
        return (await simulation.read_back(in_force=1, drained=drained))["operators"]

    wanted = (
        (("ada", "ben", "ben", ""), "operator-last"),
        (("ada", "ben", "eve", "e" * 64), ""),
        (("ada", "eve", "ben", "b" * 64), ""),
        (("ada", "ben", "dan", "e" * 64), "operator-conflict"),
        (("ben", "eve", "ada", ""), ""),
    )
    for call, kind in wanted:
        came = await both(*call)
        simulation.expect(f"{call} gives {kind!r}, not {came!r}", came == kind)
    simulation.expect("the operators are those agreed on", await names() == ["ben", "eve"])
    # Removed means removed: whatever was taken in that name and comes to the log later has no say.
    late = await simulation.as_operator(drain("ada", "stall-01", to=False))
    simulation.expect("who was removed has no say", late.failure().kind == "operator-unknown")
    simulation.expect("the last two stay", await both("ben", "eve", "eve", "") == "operator-last")
    for registry in simulation.live("bourse"):
        answer = await simulation.processes[registry].spawn(
            simulation.nodes[registry].read_configuration(part="operators")
        )
        known = sorted(msgspec.json.decode(answer.unwrap().content))
        simulation.expect(f"the change is in force at {registry}", known == ["ben", "eve"])
    response = await simulation.send_request(simulation.deployment.request_kinds[0], client="v")
    simulation.history.add(AnswerRequired(response.request))
