"""What a year brings: damaged copies, machines that never return, words just given, releases side by side."""

import asyncio
from datetime import datetime, timedelta
from unittest import mock

import msgspec
from returns.result import Failure, Success

from hoistsaddle.common import counters
from hoistsaddle.registry.desk import Desk
from hoistsaddle.rpc.messages import VitalsCall
from hoistsaddle.statemachine.commands import GONE_KEPT, LEVEL
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.state import news_of
from hoistsaddle.testbed.history import Damaged, Differs, Further, ServerChanged, Wanted
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, SimulatedServer
from hoistsaddle.testbed.simulation.scenarios import RATE, next_bundle, under_load


async def _compare_copies(whole: SimulatedDeployment) -> None:
    """Writes down every moment at which a live node's copy isn't what the log has at that revision."""
    said: dict[int, tuple[int, ...]] = {}
    while True:
        leader = whole.leader()
        if leader is not None:
            state = whole.nodes[leader].shell.core.state
            said[state.news] = digests_of(news_of(state))
        for name in whole.live("bourse") + whole.live("stall"):
            copy = whole.nodes[name].relay.copy
            if copy.revision in said and digests_of(copy.items) != said[copy.revision]:
                whole.history.add(Differs(whole.moment(), name))
        await asyncio.sleep(0.03)


async def copies_damaged(whole: SimulatedDeployment) -> None:
    """One node's copy of the setup is spoilt in place, a root's among them; then two at once, parent and child."""
    await whole.start()
    whole.keep(_compare_copies(whole))
    random = whole.random

    def damage(name: str) -> None:
        items = whole.nodes[name].relay.copy.items
        key = random.choice(sorted(items))
        revision, value = items[key]
        match random.choice(("value", "missing", "strange")):
            case "value":
                items[key] = (revision, value[:-1] + bytes([value[-1] ^ 1]))
            case "missing":
                del items[key]
            case "strange":
                items["server:nobody"] = (revision, value)
        whole.history.add(Damaged(whole.moment(), name))

    async def trouble() -> None:
        for names in (whole.live("bourse")[:1], whole.live("stall")[:1], whole.live("stall")[-1:]):
            damage(names[0])
            await asyncio.sleep(2.5)
        damage(random.choice(whole.live("bourse")))
        damage(random.choice(whole.live("stall")))
        # News on top of damage: what is taken over must still add up.
        await whole.drain("stall-01")
        await asyncio.sleep(2.5)
        await whole.drain("stall-01", drain=False)

    await under_load(whole, trouble(), seconds=12)
    await asyncio.sleep(1)
    await whole.read_back(in_force=1, settled=True)


async def gone_forgotten(whole: SimulatedDeployment) -> None:
    """Machines are replaced by others that never were; their names go, and late reports don't bring them back."""
    await whole.start()
    await whole.until(lambda: whole.nodes["bourse-1"].view.level == LEVEL, seconds=30, what="the release level")
    removed = []
    reports: list[tuple] = []
    for place in range(3):
        old = f"stall-{place + 1:02d}"
        zone, service = whole.stalls[old]
        node = whole.nodes[old]
        reports.append((old, node.incarnation, zone, service, whole.servers[old].instance, node.relay.copy.revision))
        whole.remove_stall(old)
        removed.append(old)
        whole.add_stall(f"stall-{place + 51}", zone=zone, service=service)
        await asyncio.sleep(3)
    await whole.load(seconds=3, rate=RATE)
    # Mesh time goes on while the warden looks; some minutes of it must pass.
    await asyncio.sleep(GONE_KEPT.total_seconds() + 60)
    await whole.read_back(in_force=1, settled=True, removed=tuple(removed))
    # A report that was under way all the while comes in at last, at every bourse.
    for name, life, zone, service, instance, seen in reports:
        for bourse in whole.live("bourse"):
            call = VitalsCall(name, life, name, zone, service, instance, f"at-{name}", "ready", 9, seen, LEVEL)
            await whole.lives[bourse].spawn(whole.nodes[bourse].take_vitals(call))
    await asyncio.sleep(1)
    await whole.load(seconds=3, rate=RATE)
    await whole.read_back(in_force=1, settled=True, removed=tuple(removed))
    # The same name in a new life is another machine, and welcome.
    zone, service = whole.deployment.zones[0], whole.deployment.services[0]
    whole.add_stall("stall-01", zone=zone, service=service)
    await whole.until(whole.serving, seconds=15, what="the new machine of an old name serves")
    await whole.read_back(in_force=1, settled=True, removed=tuple(removed[1:]))


async def wiped_after_word(whole: SimulatedDeployment) -> None:
    """The leader's machine loses its disk at the very moment a word was given: accepted, drained, settled."""
    await whole.start()
    once = next(ask for ask in whole.deployment.asks if ask.once)

    async def lose_leader() -> None:
        name = whole.leader()
        replica = int(name.rpartition("-")[2])
        whole.kill(name, f"bourse-{replica}")
        whole.wipe(replica)
        await asyncio.sleep(0.5)
        whole.restart(name, f"bourse-{replica}")
        await whole.until(lambda: whole.rejoined(replica), seconds=20, what=f"replica {replica} votes again")

    async def trouble() -> None:
        await whole.roll_out(next_bundle(whole, number=2, based_on=1))
        await lose_leader()
        await whole.read_back(in_force=2)
        assert isinstance(await whole.drain("stall-02"), Success)
        server = whole.servers["stall-02"]
        whole.history.add(ServerChanged(whole.moment(), server.service, server.instance, "drained"))
        await lose_leader()
        await whole.read_back(in_force=2, drained=("stall-02",))
        first = await whole.ask(once, visitor="payer", key="settled")
        assert first.outcome == "answered", first
        await lose_leader()
        again = await whole.ask(once, visitor="payer", key="settled")
        whole.promise("a settled key outlives the disk that settled it", (again.run, again.repeat) == (first.run, True))
        server.tell("ready")
        assert isinstance(await whole.drain("stall-02", drain=False), Success)

    await under_load(whole, trouble(), seconds=18)
    await whole.service_back("wiped after its word")
    await whole.read_back(in_force=2, settled=True)


async def releases_side_by_side(whole: SimulatedDeployment) -> None:
    """Every process begins at release level 1; they are upgraded one by one under load, and the level rises at last."""
    names = [name for machine in whole.core for name in (machine.warehouse, machine.bourse)] + list(whole.stalls)
    whole.levels = dict.fromkeys(names, 1)
    await whole.start()

    async def change_operator() -> str:
        result = await whole.at_desk(
            lambda desk, request: desk.change_operator(operator="ada", name="eve", digest="e" * 64, request=request)
        )
        return "" if isinstance(result, Success) else str(result.failure().kind)

    async def trouble() -> None:
        order = list(names)
        whole.random.shuffle(order)
        for place, name in enumerate(order):
            del whole.levels[name]
            if name in whole.stalls:
                await whole.stop_stall(name)
                whole.start_process(name)
                await asyncio.sleep(1)
            else:
                await whole.lives[name].spawn(whole.nodes[name].stop())
                whole.kill(name)
                await asyncio.sleep(0.3)
                whole.restart(name)
                await asyncio.sleep(1.5)
            if place == len(order) // 2:
                whole.promise("newer commands wait for the level", await change_operator() == "release-level")
                await whole.roll_out(next_bundle(whole, number=2, based_on=1))
        await whole.until(lambda: whole.nodes["bourse-1"].view.level == LEVEL, seconds=20, what="the level rises")
        whole.promise("newer commands are taken at the level", await change_operator() == "")
        # A former release comes back by mistake: it is kept out, and says so.
        follower = next(name for name in whole.live("warehouse") if name != whole.leader())
        whole.levels = {follower: 1, "stall-01": 1}
        whole.restart(follower, "stall-01")
        await asyncio.sleep(2)
        core = whole.nodes[follower].shell.core
        whole.promise("a former release stops and says so", core.halted != "" and core.standing == "follower")
        whole.promise("a former release's stall doesn't serve", not whole.nodes["stall-01"].core.noted())
        whole.levels = {}
        whole.restart(follower, "stall-01")
        await whole.until(whole.serving, seconds=15, what="serving again")

    await under_load(whole, trouble(), seconds=2.2 * len(names))
    await whole.service_back("releases side by side")
    await asyncio.sleep(1)
    await whole.read_back(in_force=2, settled=True)


async def margins_kept(whole: SimulatedDeployment) -> None:
    """Margins smaller than the fleet, changed by bundles, while stalls come and go and servers lose answers."""
    await whole.start()
    random = whole.random

    def margin(count: int, percent: int):
        def change(declared: dict) -> None:
            for service in declared["services"]:
                service.update(further_margin=count, further_percent=percent)

        return change

    async def trouble() -> None:
        for place, (count, percent) in enumerate(((1, 20), (3, 0), (2, 5)), start=2):
            text = whole.deployment.changed_bundle(margin(count, percent), number=place, based_on=place - 1)
            await whole.roll_out(text)
            for server in random.sample(list(whole.servers.values()), len(whole.servers) // 2):
                server.manner = "lose answer"
            # Long enough for the parts to be in force, and used to the last.
            await asyncio.sleep(14)
            for _ in range(2):
                name = random.choice(list(whole.stalls))
                whole.kill(name)
                await asyncio.sleep(random.uniform(0.1, 2.0))
                whole.restart(name)
                extra = f"stall-{place * 10 + 61}"
                whole.add_stall(extra, zone=random.choice(whole.deployment.zones), service=whole.servers[name].service)
                await asyncio.sleep(random.uniform(1.5, 4.0))
                whole.remove_stall(extra)
                await asyncio.sleep(random.uniform(0.5, 2.5))
            for server in whole.servers.values():
                server.manner = ""

    await under_load(whole, trouble(), seconds=60, rate=40)
    assert any(event.further for event in whole.history.of(Further)), "no further send was tried"
    await whole.read_back(in_force=4)


async def isolated(whole: SimulatedDeployment) -> None:
    """One stall is cut off from everything, then the core is gone, then a service: everybody is told at once."""
    await whole.start()
    stalls = list(whole.stalls)
    once = next(ask for ask in whole.deployment.asks if ask.once)
    safe = next(ask for ask in whole.deployment.asks if not ask.once)

    async def ask_all(stall: str, seconds: float) -> None:
        end = whole.moment() + seconds
        asked = []
        while whole.moment() < end:
            for ask in (once, safe):
                key = f"{next(whole.counter)}" if ask.once else ""
                asked.append(whole.keep(whole.ask(ask, visitor="v", key=key, stall=stall)))
            await asyncio.sleep(0.2)
        await asyncio.gather(*asked)

    one = whole.random.choice(stalls)
    whole.world.cut([one], [name for name in whole.lives if name != one])
    await ask_all(one, 6)
    whole.world.heal()
    await whole.until(whole.serving, seconds=10, what="serving again")
    core = [name for machine in whole.core for name in (machine.warehouse, machine.bourse)]
    # The bourses are reached but can't write: keys can't be held, while news still renews for a moment.
    whole.kill(*[name for name in core if name.startswith("warehouse")])
    await asyncio.gather(*(ask_all(stall, 6) for stall in stalls[:2]))
    whole.restart(*[name for name in core if name.startswith("warehouse")])
    await whole.service_back("the warehouses return")
    service = whole.stalls[stalls[0]][1]
    for stall, server in whole.servers.items():
        if server.service == service:
            server.vanish()
    await asyncio.gather(*(ask_all(stall, 6) for stall in stalls[:2]))
    for stall in stalls:
        if whole.stalls[stall][1] == service:
            whole.servers[stall] = SimulatedServer(whole=whole, stall=stall, service=service)
    await whole.service_back("a service returns")


async def clocks_jump(whole: SimulatedDeployment) -> None:
    """Every process reads a wall clock that jumps hours either way at each look; nothing may hang on it."""
    random = whole.random

    class Jumping(datetime):
        @classmethod
        def now(cls, tz=None):
            return datetime(2026, 1, 1, tzinfo=tz) + timedelta(hours=random.uniform(-9999, 9999))

    def jumping() -> float:
        return 1.7e9 + random.uniform(-4e7, 4e7)

    with mock.patch.object(counters, "datetime", Jumping), mock.patch("time.time", jumping):
        await whole.start()

        async def trouble() -> None:
            await whole.roll_out(next_bundle(whole, number=2, based_on=1))
            leader = whole.leader()
            whole.kill(leader)
            await asyncio.sleep(1)
            whole.restart(leader)
            assert isinstance(await whole.drain("stall-02"), Success)
            await whole.read_back(in_force=2, drained=("stall-02",))

        await under_load(whole, trouble(), seconds=8)
        await whole.service_back("clocks jump")


async def operators_at_once(whole: SimulatedDeployment) -> None:
    """Two calls share a request id at two bourses; an operator is added, renewed, removed; the last two stay."""
    await whole.start()
    await whole.until(lambda: whole.nodes["bourse-1"].view.level == LEVEL, seconds=30, what="the release level")
    one, other = whole.live("bourse")[0], whole.live("bourse")[-1]

    async def at(bourse: str, request: str, work):
        task = whole.lives[bourse].spawn(work(Desk(bourse=whole.nodes[bourse]), request))
        return await task

    def drain(operator: str, stall: str, *, to: bool = True):
        return lambda desk, request: desk.drain(operator=operator, stall=stall, drain=to, request=request)

    # The same call sent to both is one call, answered alike; two calls that share an id are not.
    same = await asyncio.gather(at(one, "r1", drain("ada", "stall-01")), at(other, "r1", drain("ada", "stall-01")))
    whole.promise("one call at two bourses is one call", same[0].unwrap()["offset"] == same[1].unwrap()["offset"])
    mixed = await asyncio.gather(at(one, "r2", drain("ada", "stall-02")), at(other, "r2", drain("ben", "stall-03")))
    kinds = sorted("" if isinstance(each, Success) else str(each.failure().kind) for each in mixed)
    whole.promise(f"two calls that share an id aren't one: {kinds}", kinds == ["", "request-reused"])
    drained = ("stall-01", "stall-02" if isinstance(mixed[0], Success) else "stall-03")
    await whole.read_back(in_force=1, drained=drained)

    def change(operator: str, name: str, digest: str):
        return lambda desk, request: desk.change_operator(operator=operator, name=name, digest=digest, request=request)

    def sign(signer: str, name: str, named: str):
        return lambda desk, request: desk.sign_operator(operator=signer, name=name, change=named, request=request)

    async def both(proposer: str, signer: str, name: str, digest: str) -> str:
        proposed = await whole.at_desk(change(proposer, name, digest))
        if isinstance(proposed, Failure):
            return str(proposed.failure().kind)
        named = proposed.unwrap()["change"]
        own = await whole.at_desk(sign(proposer, name, named))
        whole.promise("nobody signs alone", own.failure().kind == "operator-self-signed")
        # The leader's machine dies between the two halves.
        leader = whole.leader()
        whole.kill(leader)
        whole.restart(leader)
        signed = await whole.at_desk(sign(signer, name, named))
        return "" if isinstance(signed, Success) else str(signed.failure().kind)

    async def names() -> list[str]:
        return (await whole.read_back(in_force=1, drained=drained))["operators"]

    wanted = (
        (("ada", "ben", "ben", ""), "operator-last"),
        (("ada", "ben", "eve", "e" * 64), ""),
        (("ada", "eve", "ben", "b" * 64), ""),
        (("ada", "ben", "dan", "e" * 64), "operator-conflict"),
        (("ben", "eve", "ada", ""), ""),
    )
    for call, kind in wanted:
        came = await both(*call)
        whole.promise(f"{call} gives {kind!r}, not {came!r}", came == kind)
    whole.promise("the operators are those agreed on", await names() == ["ben", "eve"])
    # Removed means removed: whatever was taken in that name and comes to the log later has no say.
    late = await whole.at_desk(drain("ada", "stall-01", to=False))
    whole.promise("who was removed has no say", late.failure().kind == "operator-unknown")
    whole.promise("the last two stay", await both("ben", "eve", "eve", "") == "operator-last")
    for bourse in whole.live("bourse"):
        answer = await whole.lives[bourse].spawn(whole.nodes[bourse].read_setup(part="operators"))
        known = sorted(msgspec.json.decode(answer.unwrap().content))
        whole.promise(f"the change is in force at {bourse}", known == ["ben", "eve"])
    got = await whole.ask(whole.deployment.asks[0], visitor="v")
    whole.history.add(Wanted(got.request))
