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


def _route(declared: dict, name: str) -> dict:
    return next(route for route in declared["entries"] if route["name"] == name)


def _drop(declared: dict, name: str) -> None:
    declared["entries"] = [route for route in declared["entries"] if route["name"] != name]


def _other(simulation: SimulatedDeployment, service: str) -> str:
    return next(name for name in simulation.deployment.services if name != service)


class Change(NamedTuple):
    """One change of the declarations, and what must be answered and what refused once it is in force."""

    description: str
    change: Callable[[dict], None]
    served: tuple[RequestKind, ...] = ()


ARTICLES = RequestKind("GET", "/news", False, 1)
NOTES = RequestKind("POST", "/notes", True, 1)
INNER = RequestKind("GET", "/inner-only", False, 1)


def changes_of(simulation: SimulatedDeployment) -> tuple[Change, ...]:
    first, second = simulation.deployment.services[0], _other(simulation, simulation.deployment.services[0])
    reading = next(request_kind for request_kind in simulation.deployment.request_kinds if not request_kind.once)

    def read_entry(declared: dict) -> dict:
        return next(route for route in declared["entries"] if route["path"] == reading.path)

    def add(name: str, request_kind: RequestKind, service: str, callers: list[str]) -> Callable[[dict], None]:
        return lambda declared: declared["entries"].append(
            {
                "name": name,
                "service": service,
                "path": request_kind.path,
                "methods": [request_kind.method],
                "callers": callers,
            }
        )

    return (
        Change("an entry added", add("news", ARTICLES, first, ["visitors"]), (ARTICLES,)),
        Change("two more, one for servers only", add("notes", NOTES, second, ["visitors"]), (NOTES, ARTICLES)),
        Change("an entry renamed", lambda declared: read_entry(declared).update(name="renamed"), (reading, ARTICLES)),
        Change(
            "one moved to another service",
            lambda declared: _route(declared, "news").update(service=second),
            (ARTICLES,),
        ),
        Change("one for servers only", add("inner-only", INNER, first, [second])),
        Change(
            "its callers widened",
            lambda declared: _route(declared, "inner-only").update(callers=["visitors"]),
            (INNER,),
        ),
        Change("and withdrawn", lambda declared: _route(declared, "inner-only").update(callers=[second])),
        Change(
            "once switched on",
            lambda declared: _route(declared, "notes").update(once=True, answer_bytes=4096),
            (NOTES,),
        ),
        Change("a limit lowered", lambda declared: _route(declared, "notes").update(body_bytes=60)),
        Change("an entry removed", lambda declared: _drop(declared, "news")),
        Change("and put back elsewhere", add("news", ARTICLES, first, ["visitors"]), (ARTICLES, reading)),
    )


async def _ask_on(
    simulation: SimulatedDeployment, request_kinds: tuple[RequestKind, ...], until: Callable[[], bool]
) -> None:
    """Callers of what changes, at every stall, whether it is allowed at the moment or not."""
    tasks = []
    while not until():
        request_kind = simulation.random.choice(request_kinds)
        key = f"{next(simulation.counter)}" if request_kind.once else ""
        client = f"visitor-{simulation.random.randrange(50)}"
        padding = "x" * simulation.random.choice((0, 100))
        tasks.append(
            simulation.create_task(simulation.send_request(request_kind, client=client, key=key, extra=padding))
        )
        await asyncio.sleep(simulation.random.expovariate(20))
    await asyncio.gather(*tasks)


async def _served(simulation: SimulatedDeployment, proxy: str, request_kind: RequestKind) -> None:
    """Must be answered there: the bundle that allows it has been in force for two seconds."""
    key = f"{next(simulation.counter)}" if request_kind.once else ""
    response = await simulation.send_request(request_kind, client="newcomer", key=key, proxy=proxy)
    simulation.history.add(AnswerRequired(response.request))


async def _roll(simulation: SimulatedDeployment, *, inject_faults: Callable[[], Coroutine] | None) -> None:
    changes: list[Callable[[dict], None]] = []

    def changed(declared: dict) -> None:
        for each in changes:
            each(declared)

    in_force = 1
    for number, change in enumerate(changes_of(simulation), start=2):
        changes.append(change.change)
        text = simulation.deployment.changed_bundle(changed, number=number, based_on=in_force)
        submitted = await _retry_submit(simulation, lambda text=text: simulation.submit(text))
        detail = submitted.unwrap()["submitted"]
        fault_task = simulation.create_task(inject_faults()) if inject_faults is not None else None
        answer = (await simulation.sign(number, detail["digest"])).value_or(None)
        while answer is None or answer["stage"] < answer["stages"]:
            if answer is not None and inject_faults is None and change.served:
                # Between stages: the machines reached so far serve what is new, under the load of all the others.
                await asyncio.sleep(2.05)
                for proxy in answer["machines"]:
                    await _served(simulation, proxy, simulation.random.choice(change.served))
            answer = await _next_stage(simulation, number, detail["digest"])
        in_force = number
        if fault_task is not None:
            await fault_task
            await simulation.until(simulation.is_serving, seconds=20, description="serving again")
        await asyncio.sleep(2.05)
        if inject_faults is None:
            for request_kind in change.served:
                for proxy in simulation.proxies:
                    await _served(simulation, proxy, request_kind)
    await simulation.read_back(in_force=in_force, settled=inject_faults is None)


async def _retry_submit(simulation: SimulatedDeployment, work: Callable[[], Coroutine]):
    """An operator whose call broke sends it again."""
    for _ in range(20):
        result = await work()
        if isinstance(result, Success) or str(result.failure().kind) == "bundle-duplicate":
            break
        await asyncio.sleep(0.3)
    if isinstance(result, Failure):
        # It was taken, and only the word of it was lost.
        return Success({"submitted": {"digest": (await _bundle(simulation, -1))["digest"]}})
    return result


async def _bundle(simulation: SimulatedDeployment, number: int) -> dict:
    """A bundle as the configuration shows it; the newest for -1."""
    while True:
        name = simulation.random.choice(simulation.live("bourse"))
        task = simulation.processes[name].spawn(simulation.nodes[name].read_configuration())
        await asyncio.wait([task], timeout=3)
        if task.done() and isinstance(task.result(), Success):
            bundles = msgspec.json.decode(task.result().unwrap().content)["bundles"]
            return bundles[-1] if number < 0 else next(each for each in bundles if each["number"] == number)
        await asyncio.sleep(0.2)


async def _next_stage(simulation: SimulatedDeployment, number: int, digest: str) -> dict | None:
    bundle_phase = await _bundle(simulation, number)
    match bundle_phase["phase"]:
        case "draft":
            answer = await simulation.sign(number, digest)
        case "rolling":
            answer = await simulation.advance(number, bundle_phase["stage"])
        case _:
            return {"stage": 1, "stages": 1, "machines": {}}
    return answer.value_or(None)


async def rules_change(simulation: SimulatedDeployment) -> None:
    """Bundles add, rename, move, widen, withdraw, lower and remove, in stages, under load."""
    await simulation.start()
    done = False
    load = simulation.create_task(_ask_on(simulation, (ARTICLES, NOTES, INNER), lambda: done))
    client_tasks = simulation.create_task(simulation.load(seconds=30, rate=RATE / 2))
    await _roll(simulation, inject_faults=None)
    done = True
    await load
    await client_tasks


async def rules_change_in_trouble(simulation: SimulatedDeployment) -> None:
    """The same, while proxies and core machines are killed, frozen and cut off."""
    await simulation.start()
    done = False
    random = simulation.random

    async def inject_faults() -> None:
        await asyncio.sleep(random.uniform(0, 0.3))
        machine = random.choice(simulation.core)
        names = random.choice(([machine.store, machine.registry], random.sample(list(simulation.proxies), 2)))
        match random.choice(("kill", "freeze", "cut")):
            case "kill":
                simulation.kill(*names)
                await asyncio.sleep(random.uniform(0.1, 2))
                simulation.restart(*names)
            case "freeze":
                simulation.freeze(*names)
                await asyncio.sleep(random.uniform(0.3, 3))
                simulation.wake(*names)
            case "cut":
                simulation.world.cut(names, [name for name in simulation.processes if name not in names])
                await asyncio.sleep(random.uniform(0.3, 3))
                simulation.world.heal()

    load = simulation.create_task(_ask_on(simulation, (ARTICLES, NOTES, INNER), lambda: done))
    await _roll(simulation, inject_faults=inject_faults)
    done = True
    await load
    await simulation.wait_for_service("rules changed")


async def keys_travel(simulation: SimulatedDeployment) -> None:
    """Keys are repeated after renamed entries, renewed tokens, changed cookies, and at machines in other stages."""
    await simulation.start()
    once = next(request_kind for request_kind in simulation.deployment.request_kinds if request_kind.once)
    proxies = list(simulation.proxies)
    bearer = {"Authorization": "Bearer first"}

    async def same(
        key: str, headers: dict[str, str], *, nonce: str = "", extra: str = "", client: str = "v"
    ) -> RequestResult:
        return await simulation.send_request(
            once,
            client=client,
            key=key,
            proxy=simulation.random.choice(proxies),
            headers=headers,
            nonce=nonce or f"key-{key}",
            extra=extra,
        )

    def expect(response: RequestResult, *wanted: tuple[str, str]) -> None:
        simulation.expect(
            f"one of {wanted}, not {(response.outcome, response.kind)}, for {response.request}",
            (response.outcome, response.kind) in wanted,
        )

    def renamed(declared: dict) -> None:
        next(each for each in declared["entries"] if each["path"] == once.path)["name"] = "renamed"

    def by_member(declared: dict) -> None:
        renamed(declared)
        declared["visitor"] = "header:X-Member"

    first = await same("renamed", bearer)
    expect(first, ("answered", ""))
    submitted = await simulation.submit(simulation.deployment.changed_bundle(renamed, number=2, based_on=1))
    digest = submitted.unwrap()["submitted"]["digest"]
    answer = (await simulation.sign(2, digest)).unwrap()
    # In every stage, at every machine: the same key, the same answer.
    for proxy in proxies:
        response = await simulation.send_request(
            once, client="v", key="renamed", proxy=proxy, headers=bearer, nonce="key-renamed"
        )
        simulation.expect(f"the first answer at {proxy}", (response.run, response.repeat) == (first.run, True))
    await simulation.advance(2, answer["stage"])
    expect(await same("renamed", bearer), ("answered", ""))
    # A renewed token: nobody can say who it is, so it neither runs nor hears the answer.
    expect(await same("renamed", {"Authorization": "Bearer renewed"}), ("refused", "key-visitor-unsure"))
    expect(await same("renamed", bearer, extra="another body"), ("refused", "key-other-body"))
    expect(await same("nobody", {}), ("refused", "visitor-missing"))
    expect(await same("nobody", {"Cookie": "lang=en"}), ("refused", "visitor-missing"))
    before = await same("before", bearer)
    expect(before, ("answered", ""))
    await simulation.roll_out(simulation.deployment.changed_bundle(by_member, number=3, based_on=2))
    # The mark changed under a held key: told apart by nothing, so not run.
    expect(await same("before", {**bearer, "X-Member": "one"}), ("refused", "key-visitor-unsure"))
    one, again = {**bearer, "X-Member": "one"}, {"Authorization": "Bearer renewed", "X-Member": "one"}
    held = await same("member", one)
    expect(held, ("answered", ""))
    response = await same("member", again)
    simulation.expect("the first answer under a renewed token", response.run == held.run)
    expect(await same("member", again, extra="another body"), ("refused", "key-other-body"))
    # Two members who chose the same key and even the same token stay two.
    two = await same("member", {**bearer, "X-Member": "two"}, nonce="two-members", client="w")
    simulation.expect("another member's equal key is another key", two.outcome == "answered" and two.run != held.run)
    expect(await same("member", bearer), ("refused", "visitor-missing"))
    # All proxies die: their successors know the key from the log.
    simulation.kill(*proxies)
    simulation.restart(*proxies)
    await simulation.until(simulation.is_serving, seconds=15, description="serving again")
    response = await same("member", again)
    simulation.expect("the first answer after every proxy died", response.run == held.run)
    await simulation.load(seconds=4, rate=RATE)


async def old_process_lives(simulation: SimulatedDeployment) -> None:
    """A server is replaced by another service's, and the old process goes on calling through the same door."""
    await simulation.start()

    def everybody(declared: dict) -> None:
        # Whoever it is taken for may call: only the name it is called by can be wrong.
        names = [service["name"] for service in declared["services"]]
        for route in declared["entries"]:
            route["callers"] = sorted({*route["callers"], *names})

    await simulation.roll_out(simulation.deployment.changed_bundle(everybody, number=2, based_on=1))
    callers = {service for service, _ in simulation.deployment.inner}

    async def inject_faults() -> None:
        for _ in range(2):
            for proxy in list(simulation.proxies):
                old = simulation.servers[proxy]
                if old.service not in callers:
                    continue
                other = _other(simulation, old.service)
                path = next(path for service, path in simulation.deployment.inner if service == old.service)
                replacement = simulation.servers[proxy] = SimulatedServer(
                    simulation=simulation, proxy=proxy, service=other
                )
                replacement.report()
                # The old process is in the middle of its work and calls on, once before it is noticed and later.
                for pause in (0.0, 0.5, 1.5):
                    await asyncio.sleep(pause)
                    nonce = f"old-{next(simulation.counter)}"
                    simulation.history.add(RequestSent(simulation.timestamp(), nonce, "GET", path, "", "old"))
                    for inner in simulation.deployment.inner[(old.service, path)]:
                        simulation.create_task(simulation.call_inner(proxy, old, inner, nonce))
                await asyncio.sleep(1.0)
                replacement.tell(WINDING_DOWN)
                replacement.vanish()
                simulation.servers[proxy] = SimulatedServer(simulation=simulation, proxy=proxy, service=old.service)
                simulation.servers[proxy].report()
                await asyncio.sleep(1.0)

    await under_load(simulation, inject_faults(), seconds=14)
    await simulation.wait_for_service("old process lives")
