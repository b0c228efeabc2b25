"""Bundles that truly change the rules, rolled out under load, and keys and callers that the changes could confuse."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import NamedTuple

import msgspec
from returns.result import Failure, Success

from hoistsaddle.statemachine.state import WINDING_DOWN
from hoistsaddle.testbed.deployments import RequestKind
from hoistsaddle.testbed.history import AnswerRequired, RequestResult, RequestSent
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment, SimulatedServer
from hoistsaddle.testbed.simulation.scenarios import RATE, under_load


def _entry(declared: dict, name: str) -> dict:
    return next(entry for entry in declared["entries"] if entry["name"] == name)


def _drop(declared: dict, name: str) -> None:
    declared["entries"] = [entry for entry in declared["entries"] if entry["name"] != name]


def _other(complete: SimulatedDeployment, service: str) -> str:
    return next(name for name in complete.deployment.services if name != service)


class Change(NamedTuple):
    """One change of the declarations, and what must be answered and what refused once it is in force."""

    what: str
    change: Callable[[dict], None]
    served: tuple[RequestKind, ...] = ()


ARTICLES = RequestKind("GET", "/news", False, 1)
NOTES = RequestKind("POST", "/notes", True, 1)
INNER = RequestKind("GET", "/inner-only", False, 1)


def changes_of(complete: SimulatedDeployment) -> tuple[Change, ...]:
    first, second = complete.deployment.services[0], _other(complete, complete.deployment.services[0])
    reading = next(ask for ask in complete.deployment.request_kinds if not ask.once)

    def read_entry(declared: dict) -> dict:
        return next(entry for entry in declared["entries"] if entry["path"] == reading.path)

    def add(name: str, ask: RequestKind, service: str, callers: list[str]) -> Callable[[dict], None]:
        return lambda declared: declared["entries"].append(
            {"name": name, "service": service, "path": ask.path, "methods": [ask.method], "callers": callers}
        )

    return (
        Change("an entry added", add("news", ARTICLES, first, ["visitors"]), (ARTICLES,)),
        Change("two more, one for servers only", add("notes", NOTES, second, ["visitors"]), (NOTES, ARTICLES)),
        Change("an entry renamed", lambda declared: read_entry(declared).update(name="renamed"), (reading, ARTICLES)),
        Change(
            "one moved to another service",
            lambda declared: _entry(declared, "news").update(service=second),
            (ARTICLES,),
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
        Change("and put back elsewhere", add("news", ARTICLES, first, ["visitors"]), (ARTICLES, reading)),
    )


async def _ask_on(
    complete: SimulatedDeployment, request_kinds: tuple[RequestKind, ...], until: Callable[[], bool]
) -> None:
    """Callers of what changes, at every stall, whether it is allowed at the moment or not."""
    tasks = []
    while not until():
        ask = complete.random.choice(request_kinds)
        key = f"{next(complete.counter)}" if ask.once else ""
        client = f"visitor-{complete.random.randrange(50)}"
        padding = "x" * complete.random.choice((0, 100))
        tasks.append(complete.create_task(complete.ask(ask, client=client, key=key, extra=padding)))
        await asyncio.sleep(complete.random.expovariate(20))
    await asyncio.gather(*tasks)


async def _served(complete: SimulatedDeployment, proxy: str, ask: RequestKind) -> None:
    """Must be answered there: the bundle that allows it has been in force for two seconds."""
    key = f"{next(complete.counter)}" if ask.once else ""
    got = await complete.ask(ask, client="newcomer", key=key, proxy=proxy)
    complete.history.add(AnswerRequired(got.request))


async def _roll(complete: SimulatedDeployment, *, inject_faults: Callable[[], Coroutine] | None) -> None:
    changes: list[Callable[[dict], None]] = []

    def changed(declared: dict) -> None:
        for each in changes:
            each(declared)

    in_force = 1
    for number, change in enumerate(changes_of(complete), start=2):
        changes.append(change.change)
        text = complete.deployment.changed_bundle(changed, number=number, based_on=in_force)
        submitted = await _again(complete, lambda text=text: complete.submit(text))
        detail = submitted.unwrap()["submitted"]
        fault_task = complete.create_task(inject_faults()) if inject_faults is not None else None
        answer = (await complete.sign(number, detail["digest"])).value_or(None)
        while answer is None or answer["stage"] < answer["stages"]:
            if answer is not None and inject_faults is None and change.served:
                # Between stages: the machines reached so far serve what is new, under the load of all the others.
                await asyncio.sleep(2.05)
                for proxy in answer["machines"]:
                    await _served(complete, proxy, complete.random.choice(change.served))
            answer = await _next_stage(complete, number, detail["digest"])
        in_force = number
        if fault_task is not None:
            await fault_task
            await complete.until(complete.serving, seconds=20, what="serving again")
        await asyncio.sleep(2.05)
        if inject_faults is None:
            for ask in change.served:
                for proxy in complete.proxies:
                    await _served(complete, proxy, ask)
    await complete.read_back(in_force=in_force, settled=inject_faults is None)


async def _again(complete: SimulatedDeployment, work: Callable[[], Coroutine]):
    """An operator whose call broke sends it again."""
    for _ in range(20):
        result = await work()
        if isinstance(result, Success) or str(result.failure().kind) == "bundle-duplicate":
            break
        await asyncio.sleep(0.3)
    if isinstance(result, Failure):
        # It was taken, and only the word of it was lost.
        return Success({"submitted": {"digest": (await _bundle(complete, -1))["digest"]}})
    return result


async def _bundle(complete: SimulatedDeployment, number: int) -> dict:
    """A bundle as the configuration shows it; the newest for -1."""
    while True:
        name = complete.random.choice(complete.live("bourse"))
        task = complete.processes[name].spawn(complete.nodes[name].read_configuration())
        await asyncio.wait([task], timeout=3)
        if task.done() and isinstance(task.result(), Success):
            bundles = msgspec.json.decode(task.result().unwrap().content)["bundles"]
            return bundles[-1] if number < 0 else next(each for each in bundles if each["number"] == number)
        await asyncio.sleep(0.2)


async def _next_stage(complete: SimulatedDeployment, number: int, digest: str) -> dict | None:
    bundle_phase = await _bundle(complete, number)
    match bundle_phase["phase"]:
        case "draft":
            answer = await complete.sign(number, digest)
        case "rolling":
            answer = await complete.advance(number, bundle_phase["stage"])
        case _:
            return {"stage": 1, "stages": 1, "machines": {}}
    return answer.value_or(None)


async def rules_change(complete: SimulatedDeployment) -> None:
    """Bundles add, rename, move, widen, withdraw, lower and remove, in stages, under load."""
    await complete.start()
    done = False
    load = complete.create_task(_ask_on(complete, (ARTICLES, NOTES, INNER), lambda: done))
    visits = complete.create_task(complete.load(seconds=30, rate=RATE / 2))
    await _roll(complete, inject_faults=None)
    done = True
    await load
    await visits


async def rules_change_in_trouble(complete: SimulatedDeployment) -> None:
    """The same, while proxies and core machines are killed, frozen and cut off."""
    await complete.start()
    done = False
    random = complete.random

    async def inject_faults() -> None:
        await asyncio.sleep(random.uniform(0, 0.3))
        machine = random.choice(complete.core)
        names = random.choice(([machine.store, machine.registry], random.sample(list(complete.proxies), 2)))
        match random.choice(("kill", "freeze", "cut")):
            case "kill":
                complete.kill(*names)
                await asyncio.sleep(random.uniform(0.1, 2))
                complete.restart(*names)
            case "freeze":
                complete.freeze(*names)
                await asyncio.sleep(random.uniform(0.3, 3))
                complete.wake(*names)
            case "cut":
                complete.world.cut(names, [name for name in complete.processes if name not in names])
                await asyncio.sleep(random.uniform(0.3, 3))
                complete.world.heal()

    load = complete.create_task(_ask_on(complete, (ARTICLES, NOTES, INNER), lambda: done))
    await _roll(complete, inject_faults=inject_faults)
    done = True
    await load
    await complete.service_back("rules changed")


async def keys_travel(complete: SimulatedDeployment) -> None:
    """Keys are repeated after renamed entries, renewed tokens, changed cookies, and at machines in other stages."""
    await complete.start()
    once = next(ask for ask in complete.deployment.request_kinds if ask.once)
    proxies = list(complete.proxies)
    bearer = {"Authorization": "Bearer first"}

    async def same(
        key: str, headers: dict[str, str], *, nonce: str = "", extra: str = "", client: str = "v"
    ) -> RequestResult:
        return await complete.ask(
            once,
            client=client,
            key=key,
            proxy=complete.random.choice(proxies),
            headers=headers,
            nonce=nonce or f"key-{key}",
            extra=extra,
        )

    def expect(got: RequestResult, *wanted: tuple[str, str]) -> None:
        complete.check_expectation(
            f"one of {wanted}, not {(got.outcome, got.kind)}, for {got.request}", (got.outcome, got.kind) in wanted
        )

    def renamed(declared: dict) -> None:
        next(each for each in declared["entries"] if each["path"] == once.path)["name"] = "renamed"

    def by_member(declared: dict) -> None:
        renamed(declared)
        declared["visitor"] = "header:X-Member"

    first = await same("renamed", bearer)
    expect(first, ("answered", ""))
    submitted = await complete.submit(complete.deployment.changed_bundle(renamed, number=2, based_on=1))
    digest = submitted.unwrap()["submitted"]["digest"]
    answer = (await complete.sign(2, digest)).unwrap()
    # In every stage, at every machine: the same key, the same answer.
    for proxy in proxies:
        got = await complete.ask(once, client="v", key="renamed", proxy=proxy, headers=bearer, nonce="key-renamed")
        complete.check_expectation(f"the first answer at {proxy}", (got.run, got.repeat) == (first.run, True))
    await complete.advance(2, answer["stage"])
    expect(await same("renamed", bearer), ("answered", ""))
    # A renewed token: nobody can say who it is, so it neither runs nor hears the answer.
    expect(await same("renamed", {"Authorization": "Bearer renewed"}), ("refused", "key-visitor-unsure"))
    expect(await same("renamed", bearer, extra="another body"), ("refused", "key-other-body"))
    expect(await same("nobody", {}), ("refused", "visitor-missing"))
    expect(await same("nobody", {"Cookie": "lang=en"}), ("refused", "visitor-missing"))
    before = await same("before", bearer)
    expect(before, ("answered", ""))
    await complete.roll_out(complete.deployment.changed_bundle(by_member, number=3, based_on=2))
    # The mark changed under a held key: told apart by nothing, so not run.
    expect(await same("before", {**bearer, "X-Member": "one"}), ("refused", "key-visitor-unsure"))
    one, again = {**bearer, "X-Member": "one"}, {"Authorization": "Bearer renewed", "X-Member": "one"}
    held = await same("member", one)
    expect(held, ("answered", ""))
    got = await same("member", again)
    complete.check_expectation("the first answer under a renewed token", got.run == held.run)
    expect(await same("member", again, extra="another body"), ("refused", "key-other-body"))
    # Two members who chose the same key and even the same token stay two.
    two = await same("member", {**bearer, "X-Member": "two"}, nonce="two-members", client="w")
    complete.check_expectation(
        "another member's equal key is another key", two.outcome == "answered" and two.run != held.run
    )
    expect(await same("member", bearer), ("refused", "visitor-missing"))
    # All proxies die: their successors know the key from the log.
    complete.kill(*proxies)
    complete.restart(*proxies)
    await complete.until(complete.serving, seconds=15, what="serving again")
    got = await same("member", again)
    complete.check_expectation("the first answer after every proxy died", got.run == held.run)
    await complete.load(seconds=4, rate=RATE)


async def old_process_lives(complete: SimulatedDeployment) -> None:
    """A server is replaced by another service's, and the old process goes on calling through the same door."""
    await complete.start()

    def everybody(declared: dict) -> None:
        # Whoever it is taken for may call: only the name it is called by can be wrong.
        names = [service["name"] for service in declared["services"]]
        for entry in declared["entries"]:
            entry["callers"] = sorted({*entry["callers"], *names})

    await complete.roll_out(complete.deployment.changed_bundle(everybody, number=2, based_on=1))
    callers = {service for service, _ in complete.deployment.inner}

    async def inject_faults() -> None:
        for _ in range(2):
            for proxy in list(complete.proxies):
                old = complete.servers[proxy]
                if old.service not in callers:
                    continue
                other = _other(complete, old.service)
                path = next(path for service, path in complete.deployment.inner if service == old.service)
                fresh = complete.servers[proxy] = SimulatedServer(complete=complete, proxy=proxy, service=other)
                fresh.report()
                # The old process is in the middle of its work and calls on, once before it is noticed and later.
                for pause in (0.0, 0.5, 1.5):
                    await asyncio.sleep(pause)
                    nonce = f"old-{next(complete.counter)}"
                    complete.history.add(RequestSent(complete.timestamp(), nonce, "GET", path, "", "old"))
                    for inner in complete.deployment.inner[(old.service, path)]:
                        complete.create_task(complete.call_inner(proxy, old, inner, nonce))
                await asyncio.sleep(1.0)
                fresh.tell(WINDING_DOWN)
                fresh.vanish()
                complete.servers[proxy] = SimulatedServer(complete=complete, proxy=proxy, service=old.service)
                complete.servers[proxy].report()
                await asyncio.sleep(1.0)

    await under_load(complete, inject_faults(), seconds=14)
    await complete.service_back("old process lives")
