"""Bundles that truly change the rules, rolled out under load, and keys and callers that the changes could confuse."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import NamedTuple

import msgspec
from returns.result import Failure, Success

from hoistsaddle.statemachine.state import WINDING_DOWN
from hoistsaddle.testbed.deployments import Ask
from hoistsaddle.testbed.history import Asked, Got, Wanted
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, SimulatedServer
from hoistsaddle.testbed.simulation.scenarios import RATE, under_load


def _entry(declared: dict, name: str) -> dict:
    return next(entry for entry in declared["entries"] if entry["name"] == name)


def _drop(declared: dict, name: str) -> None:
    declared["entries"] = [entry for entry in declared["entries"] if entry["name"] != name]


def _other(whole: SimulatedDeployment, service: str) -> str:
    return next(name for name in whole.deployment.services if name != service)


class Change(NamedTuple):
    """One change of the declarations, and what must be answered and what refused once it is in force."""

    what: str
    change: Callable[[dict], None]
    served: tuple[Ask, ...] = ()


NEWS = Ask("GET", "/news", False, 1)
NOTES = Ask("POST", "/notes", True, 1)
INNER = Ask("GET", "/inner-only", False, 1)


def changes_of(whole: SimulatedDeployment) -> tuple[Change, ...]:
    first, second = whole.deployment.services[0], _other(whole, whole.deployment.services[0])
    reading = next(ask for ask in whole.deployment.asks if not ask.once)

    def read_entry(declared: dict) -> dict:
        return next(entry for entry in declared["entries"] if entry["path"] == reading.path)

    def add(name: str, ask: Ask, service: str, callers: list[str]) -> Callable[[dict], None]:
        return lambda declared: declared["entries"].append(
            {"name": name, "service": service, "path": ask.path, "methods": [ask.method], "callers": callers}
        )

    return (
        Change("an entry added", add("news", NEWS, first, ["visitors"]), (NEWS,)),
        Change("two more, one for servers only", add("notes", NOTES, second, ["visitors"]), (NOTES, NEWS)),
        Change("an entry renamed", lambda declared: read_entry(declared).update(name="renamed"), (reading, NEWS)),
        Change(
            "one moved to another service", lambda declared: _entry(declared, "news").update(service=second), (NEWS,)
        ),
        Change("one for servers only", add("inner-only", INNER, first, [second])),
        Change(
            "its callers widened",
            lambda declared: _entry(declared, "inner-only").update(callers=["visitors"]),
            (INNER,),
        ),
        Change("and withdrawn", lambda declared: _entry(declared, "inner-only").update(callers=[second])),
        Change(
            "once switched on",
            lambda declared: _entry(declared, "notes").update(once=True, answer_bytes=4096),
            (NOTES,),
        ),
        Change("a limit lowered", lambda declared: _entry(declared, "notes").update(body_bytes=60)),
        Change("an entry removed", lambda declared: _drop(declared, "news")),
        Change("and put back elsewhere", add("news", NEWS, first, ["visitors"]), (NEWS, reading)),
    )


async def _ask_on(whole: SimulatedDeployment, asks: tuple[Ask, ...], until: Callable[[], bool]) -> None:
    """Callers of what changes, at every stall, whether it is allowed at the moment or not."""
    tasks = []
    while not until():
        ask = whole.random.choice(asks)
        key = f"{next(whole.counter)}" if ask.once else ""
        visitor = f"visitor-{whole.random.randrange(50)}"
        padding = "x" * whole.random.choice((0, 100))
        tasks.append(whole.keep(whole.ask(ask, visitor=visitor, key=key, extra=padding)))
        await asyncio.sleep(whole.random.expovariate(20))
    await asyncio.gather(*tasks)


async def _served(whole: SimulatedDeployment, stall: str, ask: Ask) -> None:
    """Must be answered there: the bundle that allows it has been in force for two seconds."""
    key = f"{next(whole.counter)}" if ask.once else ""
    got = await whole.ask(ask, visitor="newcomer", key=key, stall=stall)
    whole.history.add(Wanted(got.request))


async def _roll(whole: SimulatedDeployment, *, trouble: Callable[[], Coroutine] | None) -> None:
    changes: list[Callable[[dict], None]] = []

    def changed(declared: dict) -> None:
        for each in changes:
            each(declared)

    in_force = 1
    for number, change in enumerate(changes_of(whole), start=2):
        changes.append(change.change)
        text = whole.deployment.changed_bundle(changed, number=number, based_on=in_force)
        submitted = await _again(whole, lambda text=text: whole.submit(text))
        detail = submitted.unwrap()["submitted"]
        harm = whole.keep(trouble()) if trouble is not None else None
        answer = (await whole.sign(number, detail["digest"])).value_or(None)
        while answer is None or answer["stage"] < answer["stages"]:
            if answer is not None and trouble is None and change.served:
                # Between stages: the machines reached so far serve what is new, under the load of all the others.
                await asyncio.sleep(2.05)
                for stall in answer["machines"]:
                    await _served(whole, stall, whole.random.choice(change.served))
            answer = await _next_stage(whole, number, detail["digest"])
        in_force = number
        if harm is not None:
            await harm
            await whole.until(whole.serving, seconds=20, what="serving again")
        await asyncio.sleep(2.05)
        if trouble is None:
            for ask in change.served:
                for stall in whole.stalls:
                    await _served(whole, stall, ask)
    await whole.read_back(in_force=in_force, settled=trouble is None)


async def _again(whole: SimulatedDeployment, work: Callable[[], Coroutine]):
    """An operator whose call broke sends it again."""
    for _ in range(20):
        result = await work()
        if isinstance(result, Success) or str(result.failure().kind) == "bundle-duplicate":
            break
        await asyncio.sleep(0.3)
    if isinstance(result, Failure):
        # It was taken, and only the word of it was lost.
        return Success({"submitted": {"digest": (await _bundle(whole, -1))["digest"]}})
    return result


async def _bundle(whole: SimulatedDeployment, number: int) -> dict:
    """A bundle as the setup shows it; the newest for -1."""
    while True:
        name = whole.random.choice(whole.live("bourse"))
        task = whole.lives[name].spawn(whole.nodes[name].read_setup())
        await asyncio.wait([task], timeout=3)
        if task.done() and isinstance(task.result(), Success):
            bundles = msgspec.json.decode(task.result().unwrap().content)["bundles"]
            return bundles[-1] if number < 0 else next(each for each in bundles if each["number"] == number)
        await asyncio.sleep(0.2)


async def _next_stage(whole: SimulatedDeployment, number: int, digest: str) -> dict | None:
    standing = await _bundle(whole, number)
    match standing["phase"]:
        case "draft":
            answer = await whole.sign(number, digest)
        case "rolling":
            answer = await whole.advance(number, standing["stage"])
        case _:
            return {"stage": 1, "stages": 1, "machines": {}}
    return answer.value_or(None)


async def rules_change(whole: SimulatedDeployment) -> None:
    """Bundles add, rename, move, widen, withdraw, lower and remove, in stages, under load."""
    await whole.start()
    done = False
    load = whole.keep(_ask_on(whole, (NEWS, NOTES, INNER), lambda: done))
    visits = whole.keep(whole.load(seconds=30, rate=RATE / 2))
    await _roll(whole, trouble=None)
    done = True
    await load
    await visits


async def rules_change_in_trouble(whole: SimulatedDeployment) -> None:
    """The same, while stalls and core machines are killed, frozen and cut off."""
    await whole.start()
    done = False
    random = whole.random

    async def trouble() -> None:
        await asyncio.sleep(random.uniform(0, 0.3))
        machine = random.choice(whole.core)
        names = random.choice(([machine.warehouse, machine.bourse], random.sample(list(whole.stalls), 2)))
        match random.choice(("kill", "freeze", "cut")):
            case "kill":
                whole.kill(*names)
                await asyncio.sleep(random.uniform(0.1, 2))
                whole.restart(*names)
            case "freeze":
                whole.freeze(*names)
                await asyncio.sleep(random.uniform(0.3, 3))
                whole.wake(*names)
            case "cut":
                whole.world.cut(names, [name for name in whole.lives if name not in names])
                await asyncio.sleep(random.uniform(0.3, 3))
                whole.world.heal()

    load = whole.keep(_ask_on(whole, (NEWS, NOTES, INNER), lambda: done))
    await _roll(whole, trouble=trouble)
    done = True
    await load
    await whole.service_back("rules changed")


async def keys_travel(whole: SimulatedDeployment) -> None:
    """Keys are repeated after renamed entries, renewed tokens, changed cookies, and at machines in other stages."""
    await whole.start()
    once = next(ask for ask in whole.deployment.asks if ask.once)
    stalls = list(whole.stalls)
    bearer = {"Authorization": "Bearer first"}

    async def same(key: str, headers: dict[str, str], *, nonce: str = "", extra: str = "", visitor: str = "v") -> Got:
        return await whole.ask(
            once,
            visitor=visitor,
            key=key,
            stall=whole.random.choice(stalls),
            headers=headers,
            nonce=nonce or f"key-{key}",
            extra=extra,
        )

    def expect(got: Got, *wanted: tuple[str, str]) -> None:
        whole.promise(
            f"one of {wanted}, not {(got.outcome, got.kind)}, for {got.request}", (got.outcome, got.kind) in wanted
        )

    def renamed(declared: dict) -> None:
        next(each for each in declared["entries"] if each["path"] == once.path)["name"] = "renamed"

    def by_member(declared: dict) -> None:
        renamed(declared)
        declared["visitor"] = "header:X-Member"

    first = await same("renamed", bearer)
    expect(first, ("answered", ""))
    submitted = await whole.submit(whole.deployment.changed_bundle(renamed, number=2, based_on=1))
    digest = submitted.unwrap()["submitted"]["digest"]
    answer = (await whole.sign(2, digest)).unwrap()
    # In every stage, at every machine: the same key, the same answer.
    for stall in stalls:
        got = await whole.ask(once, visitor="v", key="renamed", stall=stall, headers=bearer, nonce="key-renamed")
        whole.promise(f"the first answer at {stall}", (got.run, got.repeat) == (first.run, True))
    await whole.advance(2, answer["stage"])
    expect(await same("renamed", bearer), ("answered", ""))
    # A renewed token: nobody can say who it is, so it neither runs nor hears the answer.
    expect(await same("renamed", {"Authorization": "Bearer renewed"}), ("refused", "key-visitor-unsure"))
    expect(await same("renamed", bearer, extra="another body"), ("refused", "key-other-body"))
    expect(await same("nobody", {}), ("refused", "visitor-missing"))
    expect(await same("nobody", {"Cookie": "lang=en"}), ("refused", "visitor-missing"))
    before = await same("before", bearer)
    expect(before, ("answered", ""))
    await whole.roll_out(whole.deployment.changed_bundle(by_member, number=3, based_on=2))
    # The mark changed under a held key: told apart by nothing, so not run.
    expect(await same("before", {**bearer, "X-Member": "one"}), ("refused", "key-visitor-unsure"))
    one, again = {**bearer, "X-Member": "one"}, {"Authorization": "Bearer renewed", "X-Member": "one"}
    held = await same("member", one)
    expect(held, ("answered", ""))
    got = await same("member", again)
    whole.promise("the first answer under a renewed token", got.run == held.run)
    expect(await same("member", again, extra="another body"), ("refused", "key-other-body"))
    # Two members who chose the same key and even the same token stay two.
    two = await same("member", {**bearer, "X-Member": "two"}, nonce="two-members", visitor="w")
    whole.promise("another member's equal key is another key", two.outcome == "answered" and two.run != held.run)
    expect(await same("member", bearer), ("refused", "visitor-missing"))
    # All stalls die: their successors know the key from the log.
    whole.kill(*stalls)
    whole.restart(*stalls)
    await whole.until(whole.serving, seconds=15, what="serving again")
    got = await same("member", again)
    whole.promise("the first answer after every stall died", got.run == held.run)
    await whole.load(seconds=4, rate=RATE)


async def old_process_lives(whole: SimulatedDeployment) -> None:
    """A server is replaced by another service's, and the old process goes on calling through the same door."""
    await whole.start()

    def everybody(declared: dict) -> None:
        # Whoever it is taken for may call: only the name it is called by can be wrong.
        names = [service["name"] for service in declared["services"]]
        for entry in declared["entries"]:
            entry["callers"] = sorted({*entry["callers"], *names})

    await whole.roll_out(whole.deployment.changed_bundle(everybody, number=2, based_on=1))
    callers = {service for service, _ in whole.deployment.inner}

    async def trouble() -> None:
        for _ in range(2):
            for stall in list(whole.stalls):
                old = whole.servers[stall]
                if old.service not in callers:
                    continue
                other = _other(whole, old.service)
                path = next(path for service, path in whole.deployment.inner if service == old.service)
                fresh = whole.servers[stall] = SimulatedServer(whole=whole, stall=stall, service=other)
                fresh.report()
                # The old process is in the middle of its work and calls on, once before it is noticed and later.
                for pause in (0.0, 0.5, 1.5):
                    await asyncio.sleep(pause)
                    nonce = f"old-{next(whole.counter)}"
                    whole.history.add(Asked(whole.moment(), nonce, "GET", path, "", "old"))
                    for inner in whole.deployment.inner[(old.service, path)]:
                        whole.keep(whole.call_inner(stall, old, inner, nonce))
                await asyncio.sleep(1.0)
                fresh.tell(WINDING_DOWN)
                fresh.vanish()
                whole.servers[stall] = SimulatedServer(whole=whole, stall=stall, service=old.service)
                whole.servers[stall].report()
                await asyncio.sleep(1.0)

    await under_load(whole, trouble(), seconds=14)
    await whole.service_back("old process lives")
