"""Bundles that change routes, callers and limits, rolled out under load."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import NamedTuple

import msgspec
from returns.result import Failure, Success

from hoistsaddle.testbed.deployments import RequestKind
from hoistsaddle.testbed.history import AnswerRequired
from hoistsaddle.testbed.process_names import REGISTRY
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import RATE, another_service


def _route(declared: dict, name: str) -> dict:
    return next(route for route in declared["entries"] if route["name"] == name)


def _drop(declared: dict, name: str) -> None:
    declared["entries"] = [route for route in declared["entries"] if route["name"] != name]


class Change(NamedTuple):
    """One change of the declarations, and the kinds of requests that must be answered once it is in force."""

    description: str
    change: Callable[[dict], None]
    served: tuple[RequestKind, ...] = ()


# Slightly more than the two seconds within which an accepted bundle must be in force.
IN_FORCE_SECONDS = 2.05
ARTICLES = RequestKind("GET", "/news", False, 1)
NOTES = RequestKind("POST", "/notes", True, 1)
INNER = RequestKind("GET", "/inner-only", False, 1)


def changes_of(simulation: SimulatedDeployment) -> tuple[Change, ...]:
    """Returns the changes of one run, each of which builds on the previous ones."""
    first, second = simulation.deployment.services[0], another_service(simulation, simulation.deployment.services[0])
    reading = next(request_kind for request_kind in simulation.deployment.request_kinds if not request_kind.once)

    def reading_route(declared: dict) -> dict:
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
        Change("a route added", add("news", ARTICLES, first, ["visitors"]), (ARTICLES,)),
        Change("a route with a body added", add("notes", NOTES, second, ["visitors"]), (NOTES, ARTICLES)),
        Change("a route renamed", lambda declared: reading_route(declared).update(name="renamed"), (reading, ARTICLES)),
        Change(
            "a route moved to another service",
            lambda declared: _route(declared, "news").update(service=second),
            (ARTICLES,),
        ),
        Change("a route for servers only added", add("inner-only", INNER, first, [second])),
        Change(
            "its callers widened to visitors",
            lambda declared: _route(declared, "inner-only").update(callers=["visitors"]),
            (INNER,),
        ),
        Change(
            "its callers restricted to servers again",
            lambda declared: _route(declared, "inner-only").update(callers=[second]),
        ),
        Change(
            "`once` switched on",
            lambda declared: _route(declared, "notes").update(once=True, answer_bytes=4096),
            (NOTES,),
        ),
        Change("a limit lowered", lambda declared: _route(declared, "notes").update(body_bytes=60)),
        Change("a route removed", lambda declared: _drop(declared, "news")),
        Change(
            "the removed route restored at its first service",
            add("news", ARTICLES, first, ["visitors"]),
            (ARTICLES, reading),
        ),
    )


async def _send_until(
    simulation: SimulatedDeployment, request_kinds: tuple[RequestKind, ...], until: Callable[[], bool]
) -> None:
    """Sends requests for the changing routes to random proxies, whether they are allowed at the time or not."""
    tasks = []
    while not until():
        request_kind = simulation.random.choice(request_kinds)
        key = f"{next(simulation.counter)}" if request_kind.once else ""
        client = f"visitor-{simulation.random.randrange(50)}"
        padding = "x" * simulation.random.choice((0, 100))
        tasks.append(
            simulation.create_task(simulation.clients.send_request(request_kind, client=client, key=key, extra=padding))
        )
        await asyncio.sleep(simulation.random.expovariate(20))
    await asyncio.gather(*tasks)


async def _require_answer(simulation: SimulatedDeployment, proxy: str, request_kind: RequestKind) -> None:
    """Sends a request that the proxy must answer, as the bundle that allows it has been in force for two seconds."""
    key = f"{next(simulation.counter)}" if request_kind.once else ""
    response = await simulation.clients.send_request(request_kind, client="newcomer", key=key, proxy=proxy)
    simulation.history.add(AnswerRequired(response.request))


async def _roll_out_changes(simulation: SimulatedDeployment, *, inject_faults: Callable[[], Coroutine] | None) -> None:
    changes: list[Callable[[dict], None]] = []

    def apply_changes(declared: dict) -> None:
        for each in changes:
            each(declared)

    in_force = 1
    for number, change in enumerate(changes_of(simulation), start=2):
        changes.append(change.change)
        text = simulation.deployment.changed_bundle(apply_changes, number=number, based_on=in_force)
        submitted = await _retry_submit(simulation, lambda text=text: simulation.operators.submit(text))
        detail = submitted.unwrap()["submitted"]
        fault_task = simulation.create_task(inject_faults()) if inject_faults is not None else None
        answer = (await simulation.operators.sign(number, detail["digest"])).value_or(None)
        while answer is None or answer["stage"] < answer["stages"]:
            if answer is not None and inject_faults is None and change.served:
                # Between stages, the machines reached so far must already serve the change, under the full load.
                await asyncio.sleep(IN_FORCE_SECONDS)
                for proxy in answer["machines"]:
                    await _require_answer(simulation, proxy, simulation.random.choice(change.served))
            answer = await _next_stage(simulation, number, detail["digest"])
        in_force = number
        if fault_task is not None:
            await fault_task
            await simulation.wait_until(simulation.is_serving, seconds=20, description="serving again")
        await asyncio.sleep(IN_FORCE_SECONDS)
        if inject_faults is None:
            for request_kind in change.served:
                for proxy in simulation.processes.proxies:
                    await _require_answer(simulation, proxy, request_kind)
    await simulation.operators.read_back(in_force=in_force, settled=inject_faults is None)


async def _retry_submit(simulation: SimulatedDeployment, submit: Callable[[], Coroutine]):
    """Submits a bundle, and again after a failed call."""
    for _ in range(20):
        result = await submit()
        if isinstance(result, Success) or str(result.failure().kind) == "bundle-duplicate":
            break
        await asyncio.sleep(0.3)
    if isinstance(result, Failure):
        # The bundle was accepted, and only the answer was lost.
        return Success({"submitted": {"digest": (await _read_bundle(simulation, -1))["digest"]}})
    return result


async def _read_bundle(simulation: SimulatedDeployment, number: int) -> dict:
    """Reads a bundle from the configuration; the newest one for number -1."""
    processes = simulation.processes
    while True:
        name = simulation.random.choice(processes.running(REGISTRY))
        task = processes.by_name[name].spawn(processes.nodes[name].read_configuration())
        await asyncio.wait([task], timeout=3)
        if task.done() and isinstance(task.result(), Success):
            bundles = msgspec.json.decode(task.result().unwrap().content)["bundles"]
            return bundles[-1] if number < 0 else next(each for each in bundles if each["number"] == number)
        await asyncio.sleep(0.2)


async def _next_stage(simulation: SimulatedDeployment, number: int, digest: str) -> dict | None:
    bundle = await _read_bundle(simulation, number)
    match bundle["phase"]:
        case "draft":
            answer = await simulation.operators.sign(number, digest)
        case "rolling":
            answer = await simulation.operators.advance(number, bundle["stage"])
        case _:
            return {"stage": 1, "stages": 1, "machines": {}}
    return answer.value_or(None)


async def rules_change(simulation: SimulatedDeployment) -> None:
    """Bundles add, rename, move and remove routes and change their callers and limits, in stages and under load."""
    await simulation.start()
    done = False
    load = simulation.create_task(_send_until(simulation, (ARTICLES, NOTES, INNER), lambda: done))
    background = simulation.create_task(simulation.clients.load(seconds=30, rate=RATE / 2))
    await _roll_out_changes(simulation, inject_faults=None)
    done = True
    await load
    await background


async def rules_change_under_faults(simulation: SimulatedDeployment) -> None:
    """The same changes as rules_change, while proxies and core machines are killed, frozen and cut off."""
    processes = simulation.processes
    await simulation.start()
    done = False
    random = simulation.random

    async def inject_faults() -> None:
        await asyncio.sleep(random.uniform(0, 0.3))
        machine = random.choice(processes.core)
        names = random.choice(([machine.store, machine.registry], random.sample(list(processes.proxies), 2)))
        match random.choice(("kill", "freeze", "cut")):
            case "kill":
                processes.kill(*names)
                await asyncio.sleep(random.uniform(0.1, 2))
                processes.restart(*names)
            case "freeze":
                processes.freeze(*names)
                await asyncio.sleep(random.uniform(0.3, 3))
                processes.wake(*names)
            case "cut":
                simulation.world.cut(names, [name for name in processes.by_name if name not in names])
                await asyncio.sleep(random.uniform(0.3, 3))
                simulation.world.heal()

    load = simulation.create_task(_send_until(simulation, (ARTICLES, NOTES, INNER), lambda: done))
    await _roll_out_changes(simulation, inject_faults=inject_faults)
    done = True
    await load
    await simulation.clients.wait_for_service("rules changed")
