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
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.testbed.history import AnswerRequired, AttemptSeen, CopyCorrupted, CopyDiverged, ServerStateChanged
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, SimulatedServer
from hoistsaddle.testbed.simulation.scenarios import RATE, next_bundle, under_load


async def _compare_copies(complete: SimulatedDeployment) -> None:
    """Writes down every moment at which a live node's copy isn't what the log has at that revision."""
    said: dict[int, tuple[int, ...]] = {}
    while True:
        leader = complete.leader()
        if leader is not None:
            state = complete.nodes[leader].runner.core.state
            said[state.data_plane_revision] = digests_of(data_plane_items(state))
        for name in complete.live("bourse") + complete.live("stall"):
            copy = complete.nodes[name].relay.copy
            if copy.revision in said and digests_of(copy.items) != said[copy.revision]:
                complete.history.add(CopyDiverged(complete.timestamp(), name))
        await asyncio.sleep(0.03)


async def copies_damaged(complete: SimulatedDeployment) -> None:
    """One node's copy of the configuration is spoilt in place, also a root's; then two at once, parent and child."""
    await complete.start()
    complete.create_task(_compare_copies(complete))
    random = complete.random

    def damage(name: str) -> None:
        items = complete.nodes[name].relay.copy.items
        key = random.choice(sorted(items))
        revision, value = items[key]
        match random.choice(("value", "missing", "strange")):
            case "value":
                items[key] = (revision, value[:-1] + bytes([value[-1] ^ 1]))
            case "missing":
                del items[key]
            case "strange":
                items["server:nobody"] = (revision, value)
        complete.history.add(CopyCorrupted(complete.timestamp(), name))

    async def inject_faults() -> None:
        for names in (complete.live("bourse")[:1], complete.live("stall")[:1], complete.live("stall")[-1:]):
            damage(names[0])
            await asyncio.sleep(2.5)
        damage(random.choice(complete.live("bourse")))
        damage(random.choice(complete.live("stall")))
        # News on top of damage: what is taken over must still add up.
        await complete.drain("stall-01")
        await asyncio.sleep(2.5)
        await complete.drain("stall-01", drain=False)

    await under_load(complete, inject_faults(), seconds=12)
    await asyncio.sleep(1)
    await complete.read_back(in_force=1, settled=True)


async def gone_forgotten(complete: SimulatedDeployment) -> None:
    """Machines are replaced by others that never were; their names go, and late reports don't bring them back."""
    await complete.start()
    await complete.until(lambda: complete.nodes["bourse-1"].view.level == LEVEL, seconds=30, what="the release level")
    removed = []
    reports: list[tuple] = []
    for place in range(3):
        old = f"stall-{place + 1:02d}"
        zone, service = complete.proxies[old]
        node = complete.nodes[old]
        reports.append((old, node.incarnation, zone, service, complete.servers[old].instance, node.relay.copy.revision))
        complete.remove_proxy(old)
        removed.append(old)
        complete.add_proxy(f"stall-{place + 51}", zone=zone, service=service)
        await asyncio.sleep(3)
    await complete.load(seconds=3, rate=RATE)
    # Mesh time goes on while the warden looks; some minutes of it must pass.
    await asyncio.sleep(GONE_RETENTION.total_seconds() + 60)
    await complete.read_back(in_force=1, settled=True, removed=tuple(removed))
    # A report that was under way all the while comes in at last, at every registry.
    for name, life, zone, service, instance, seen in reports:
        for registry in complete.live("bourse"):
            call = HealthCall(name, life, name, zone, service, instance, f"at-{name}", "ready", 9, seen, LEVEL)
            await complete.processes[registry].spawn(complete.nodes[registry].record_health(call))
    await asyncio.sleep(1)
    await complete.load(seconds=3, rate=RATE)
    await complete.read_back(in_force=1, settled=True, removed=tuple(removed))
    # The same name in a new life is another machine, and welcome.
    zone, service = complete.deployment.zones[0], complete.deployment.services[0]
    complete.add_proxy("stall-01", zone=zone, service=service)
    await complete.until(complete.serving, seconds=15, what="the new machine of an old name serves")
    await complete.read_back(in_force=1, settled=True, removed=tuple(removed[1:]))


async def wiped_after_word(complete: SimulatedDeployment) -> None:
    """The leader's machine loses its disk at the very moment a word was given: accepted, drained, settled."""
    await complete.start()
    once = next(ask for ask in complete.deployment.request_kinds if ask.once)

    async def lose_leader() -> None:
        name = complete.leader()
        replica = int(name.rpartition("-")[2])
        complete.kill(name, f"bourse-{replica}")
        complete.wipe(replica)
        await asyncio.sleep(0.5)
        complete.restart(name, f"bourse-{replica}")
        await complete.until(lambda: complete.rejoined(replica), seconds=20, what=f"replica {replica} votes again")

    async def inject_faults() -> None:
        await complete.roll_out(next_bundle(complete, number=2, based_on=1))
        await lose_leader()
        await complete.read_back(in_force=2)
        assert isinstance(await complete.drain("stall-02"), Success)
        server = complete.servers["stall-02"]
        complete.history.add(ServerStateChanged(complete.timestamp(), server.service, server.instance, "drained"))
        await lose_leader()
        await complete.read_back(in_force=2, drained=("stall-02",))
        first = await complete.ask(once, client="payer", key="settled")
        assert first.outcome == "answered", first
        await lose_leader()
        again = await complete.ask(once, client="payer", key="settled")
        complete.check_expectation(
            "a settled key outlives the disk that settled it", (again.run, again.repeat) == (first.run, True)
        )
        server.tell("ready")
        assert isinstance(await complete.drain("stall-02", drain=False), Success)

    await under_load(complete, inject_faults(), seconds=18)
    await complete.service_back("wiped after its word")
    await complete.read_back(in_force=2, settled=True)


async def releases_side_by_side(complete: SimulatedDeployment) -> None:
    """Every process begins at release level 1; they are upgraded one by one under load, and the level rises at last."""
    names = [name for machine in complete.core for name in (machine.store, machine.registry)] + list(complete.proxies)
    complete.levels = dict.fromkeys(names, 1)
    await complete.start()

    async def change_operator() -> str:
        result = await complete.as_operator(
            lambda actions, request: actions.change_operator(
                operator="ada", name="eve", digest="e" * 64, request=request
            )
        )
        return "" if isinstance(result, Success) else str(result.failure().kind)

    async def inject_faults() -> None:
        order = list(names)
        complete.random.shuffle(order)
        for place, name in enumerate(order):
            del complete.levels[name]
            if name in complete.proxies:
                await complete.stop_proxy(name)
                complete.start_process(name)
                await asyncio.sleep(1)
            else:
                await complete.processes[name].spawn(complete.nodes[name].stop())
                complete.kill(name)
                await asyncio.sleep(0.3)
                complete.restart(name)
                await asyncio.sleep(1.5)
            if place == len(order) // 2:
                complete.check_expectation(
                    "newer commands wait for the level", await change_operator() == "release-level"
                )
                await complete.roll_out(next_bundle(complete, number=2, based_on=1))
        await complete.until(lambda: complete.nodes["bourse-1"].view.level == LEVEL, seconds=20, what="the level rises")
        complete.check_expectation("newer commands are taken at the level", await change_operator() == "")
        # A former release comes back by mistake: it is kept out, and says so.
        follower = next(name for name in complete.live("warehouse") if name != complete.leader())
        complete.levels = {follower: 1, "stall-01": 1}
        complete.restart(follower, "stall-01")
        await asyncio.sleep(2)
        core = complete.nodes[follower].runner.core
        complete.check_expectation("a former release stops and says so", core.halted != "" and core.role == "follower")
        complete.check_expectation(
            "a former release's proxy doesn't serve", not complete.nodes["stall-01"].core.noted()
        )
        complete.levels = {}
        complete.restart(follower, "stall-01")
        await complete.until(complete.serving, seconds=15, what="serving again")

    await under_load(complete, inject_faults(), seconds=2.2 * len(names))
    await complete.service_back("releases side by side")
    await asyncio.sleep(1)
    await complete.read_back(in_force=2, settled=True)


async def margins_kept(complete: SimulatedDeployment) -> None:
    """Margins smaller than the fleet, changed by bundles, while stalls come and go and servers lose answers."""
    await complete.start()
    random = complete.random

    def margin(count: int, percent: int):
        def change(declared: dict) -> None:
            for service in declared["services"]:
                service.update(further_margin=count, further_percent=percent)

        return change

    async def inject_faults() -> None:
        for place, (count, percent) in enumerate(((1, 20), (3, 0), (2, 5)), start=2):
            text = complete.deployment.changed_bundle(margin(count, percent), number=place, based_on=place - 1)
            await complete.roll_out(text)
            for server in random.sample(list(complete.servers.values()), len(complete.servers) // 2):
                server.misbehaviour = "lose answer"
            # Long enough for the parts to be in force, and used to the last.
            await asyncio.sleep(14)
            for _ in range(2):
                name = random.choice(list(complete.proxies))
                complete.kill(name)
                await asyncio.sleep(random.uniform(0.1, 2.0))
                complete.restart(name)
                extra = f"stall-{place * 10 + 61}"
                complete.add_proxy(
                    extra, zone=random.choice(complete.deployment.zones), service=complete.servers[name].service
                )
                await asyncio.sleep(random.uniform(1.5, 4.0))
                complete.remove_proxy(extra)
                await asyncio.sleep(random.uniform(0.5, 2.5))
            for server in complete.servers.values():
                server.misbehaviour = ""

    await under_load(complete, inject_faults(), seconds=60, rate=40)
    assert any(event.is_retry for event in complete.history.of(AttemptSeen)), "no further send was tried"
    await complete.read_back(in_force=4)


async def isolated(complete: SimulatedDeployment) -> None:
    """One proxy is cut off from everything, then the core is gone, then a service: everybody is told at once."""
    await complete.start()
    proxies = list(complete.proxies)
    once = next(ask for ask in complete.deployment.request_kinds if ask.once)
    safe = next(ask for ask in complete.deployment.request_kinds if not ask.once)

    async def ask_all(proxy: str, seconds: float) -> None:
        end = complete.timestamp() + seconds
        asked = []
        while complete.timestamp() < end:
            for ask in (once, safe):
                key = f"{next(complete.counter)}" if ask.once else ""
                asked.append(complete.create_task(complete.ask(ask, client="v", key=key, proxy=proxy)))
            await asyncio.sleep(0.2)
        await asyncio.gather(*asked)

    one = complete.random.choice(proxies)
    complete.world.cut([one], [name for name in complete.processes if name != one])
    await ask_all(one, 6)
    complete.world.heal()
    await complete.until(complete.serving, seconds=10, what="serving again")
    core = [name for machine in complete.core for name in (machine.store, machine.registry)]
    # The registries are reached but can't write: keys can't be held, while news still renews for a moment.
    complete.kill(*[name for name in core if name.startswith("warehouse")])
    await asyncio.gather(*(ask_all(proxy, 6) for proxy in proxies[:2]))
    complete.restart(*[name for name in core if name.startswith("warehouse")])
    await complete.service_back("the stores return")
    service = complete.proxies[proxies[0]][1]
    for proxy, server in complete.servers.items():
        if server.service == service:
            server.vanish()
    await asyncio.gather(*(ask_all(proxy, 6) for proxy in proxies[:2]))
    for proxy in proxies:
        if complete.proxies[proxy][1] == service:
            complete.servers[proxy] = SimulatedServer(complete=complete, proxy=proxy, service=service)
    await complete.service_back("a service returns")


async def clocks_jump(complete: SimulatedDeployment) -> None:
    """Every process reads a wall clock that jumps hours either way at each look; nothing may hang on it."""
    random = complete.random

    class Jumping(datetime):
        @classmethod
        def now(cls, tz=None):
            return datetime(2026, 1, 1, tzinfo=tz) + timedelta(hours=random.uniform(-9999, 9999))

    def jumping() -> float:
        return 1.7e9 + random.uniform(-4e7, 4e7)

    with mock.patch.object(counters, "datetime", Jumping), mock.patch("time.time", jumping):
        await complete.start()

        async def inject_faults() -> None:
            await complete.roll_out(next_bundle(complete, number=2, based_on=1))
            leader = complete.leader()
            complete.kill(leader)
            await asyncio.sleep(1)
            complete.restart(leader)
            assert isinstance(await complete.drain("stall-02"), Success)
            await complete.read_back(in_force=2, drained=("stall-02",))

        await under_load(complete, inject_faults(), seconds=8)
        await complete.service_back("clocks jump")


async def operators_at_once(complete: SimulatedDeployment) -> None:
    """Two calls share a request id at two registries; an operator is added, renewed, removed; the last two stay."""
    await complete.start()
    await complete.until(lambda: complete.nodes["bourse-1"].view.level == LEVEL, seconds=30, what="the release level")
    one, other = complete.live("bourse")[0], complete.live("bourse")[-1]

    async def at(registry: str, request: str, work):
        task = complete.processes[registry].spawn(work(OperatorActions(registry=complete.nodes[registry]), request))
        return await task

    def drain(operator: str, proxy: str, *, to: bool = True):
        return lambda actions, request: actions.drain(operator=operator, proxy=proxy, drain=to, request=request)

    # The same call sent to both is one call, answered alike; two calls that share an id are not.
    same = await asyncio.gather(at(one, "r1", drain("ada", "stall-01")), at(other, "r1", drain("ada", "stall-01")))
    complete.check_expectation(
        "one call at two registries is one call", same[0].unwrap()["offset"] == same[1].unwrap()["offset"]
    )
    mixed = await asyncio.gather(at(one, "r2", drain("ada", "stall-02")), at(other, "r2", drain("ben", "stall-03")))
    kinds = sorted("" if isinstance(each, Success) else str(each.failure().kind) for each in mixed)
    complete.check_expectation(f"two calls that share an id aren't one: {kinds}", kinds == ["", "request-reused"])
    drained = ("stall-01", "stall-02" if isinstance(mixed[0], Success) else "stall-03")
    await complete.read_back(in_force=1, drained=drained)

    def change(operator: str, name: str, digest: str):
        return lambda actions, request: actions.change_operator(
            operator=operator, name=name, digest=digest, request=request
        )

    def sign(signer: str, name: str, named: str):
        return lambda actions, request: actions.sign_operator(operator=signer, name=name, change=named, request=request)

    async def both(proposer: str, signer: str, name: str, digest: str) -> str:
        proposed = await complete.as_operator(change(proposer, name, digest))
        if isinstance(proposed, Failure):
            return str(proposed.failure().kind)
        named = proposed.unwrap()["change"]
        own = await complete.as_operator(sign(proposer, name, named))
        complete.check_expectation("nobody signs alone", own.failure().kind == "operator-self-signed")
        # The leader's machine dies between the two halves.
        leader = complete.leader()
        complete.kill(leader)
        complete.restart(leader)
        signed = await complete.as_operator(sign(signer, name, named))
        return "" if isinstance(signed, Success) else str(signed.failure().kind)

    async def names() -> list[str]:
        return (await complete.read_back(in_force=1, drained=drained))["operators"]

    wanted = (
        (("ada", "ben", "ben", ""), "operator-last"),
        (("ada", "ben", "eve", "e" * 64), ""),
        (("ada", "eve", "ben", "b" * 64), ""),
        (("ada", "ben", "dan", "e" * 64), "operator-conflict"),
        (("ben", "eve", "ada", ""), ""),
    )
    for call, kind in wanted:
        came = await both(*call)
        complete.check_expectation(f"{call} gives {kind!r}, not {came!r}", came == kind)
    complete.check_expectation("the operators are those agreed on", await names() == ["ben", "eve"])
    # Removed means removed: whatever was taken in that name and comes to the log later has no say.
    late = await complete.as_operator(drain("ada", "stall-01", to=False))
    complete.check_expectation("who was removed has no say", late.failure().kind == "operator-unknown")
    complete.check_expectation("the last two stay", await both("ben", "eve", "eve", "") == "operator-last")
    for registry in complete.live("bourse"):
        answer = await complete.processes[registry].spawn(complete.nodes[registry].read_configuration(part="operators"))
        known = sorted(msgspec.json.decode(answer.unwrap().content))
        complete.check_expectation(f"the change is in force at {registry}", known == ["ben", "eve"])
    got = await complete.ask(complete.deployment.request_kinds[0], client="v")
    complete.history.add(AnswerRequired(got.request))
