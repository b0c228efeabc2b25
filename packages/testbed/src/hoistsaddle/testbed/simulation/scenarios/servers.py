"""Servers start, stop, are replaced, or answer incorrectly."""

import asyncio
from collections.abc import Callable

from returns.result import Success

from hoistsaddle.statemachine.state import WINDING_DOWN
from hoistsaddle.testbed.history import AttemptSeen, RequestSent
from hoistsaddle.testbed.process_names import proxy_name
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import another_service, under_load
from hoistsaddle.testbed.simulation.servers import ANSWER_SECONDS, DRAINED, GARBAGE, LOSE_ANSWER, READY, TRUNCATE


async def servers_change(simulation: SimulatedDeployment) -> None:
    """Servers wind down, vanish, are drained, or are replaced, also by another service at the same address."""
    processes = simulation.processes
    operators = simulation.operators
    await simulation.start()

    def other_service(proxy: str) -> str:
        return simulation.random.choice(
            sorted({site.service for site in processes.proxies.values()} - {processes.proxies[proxy].service})
        )

    async def inject_faults() -> None:
        names = list(processes.proxies)
        for _ in range(2):
            winding, vanishing, swapping, draining = simulation.random.sample(names, 4)
            simulation.servers[winding].change_state(WINDING_DOWN)
            simulation.servers[vanishing].vanish()
            simulation.servers[swapping].vanish()
            assert isinstance(await operators.drain(draining), Success)
            simulation.servers.record_state(simulation.servers[draining], DRAINED)
            # One address is taken over by another service immediately; the new server reports before it serves.
            reused_proxy = simulation.random.choice(
                [name for name in names if name not in (winding, vanishing, swapping, draining)]
            )
            for service in (other_service(reused_proxy), processes.proxies[reused_proxy].service):
                for _ in range(3):
                    simulation.servers[reused_proxy].vanish()
                    simulation.servers.replace(reused_proxy, service=service).report_health()
                    await asyncio.sleep(0.3)
            # Another address is taken over slightly more than two seconds after its server vanished.
            await asyncio.sleep(2.1)
            simulation.servers.replace(swapping, service=other_service(swapping)).report_health()
            await asyncio.sleep(4)
            await operators.read_back(in_force=1, drained=(draining,))
            simulation.servers[winding].vanish()
            simulation.servers[swapping].vanish()
            await asyncio.sleep(2.1)
            for name in (winding, vanishing):
                simulation.servers.replace(name, service=processes.proxies[name].service)
            simulation.servers.replace(swapping, service=processes.proxies[swapping].service)
            assert isinstance(await operators.drain(draining, drain=False), Success)
            # A drain applies to one instance, so the same server serves again once the drain is lifted.
            simulation.servers[draining].change_state(READY)
            await asyncio.sleep(2)

    await under_load(simulation, inject_faults(), seconds=22)
    await simulation.clients.wait_for_service("servers change")
    await operators.read_back(in_force=1)


async def servers_misbehave(simulation: SimulatedDeployment) -> None:
    """Servers run requests but lose the answers, send garbage, truncate answers, or are slow."""
    await simulation.start()

    async def inject_faults() -> None:
        for misbehaviour in (LOSE_ANSWER, GARBAGE, TRUNCATE):
            faulty = simulation.random.sample(simulation.servers.all(), max(2, len(simulation.servers.all()) // 3))
            for server in faulty:
                server.misbehaviour = misbehaviour
            slow = simulation.random.choice(simulation.servers.all())
            slow.seconds = (1.0, 6.0)
            await asyncio.sleep(5)
            slow.seconds = ANSWER_SECONDS
            for server in faulty:
                server.misbehaviour = ""
            await asyncio.sleep(1)

    await under_load(simulation, inject_faults(), seconds=20, rate=60)
    await simulation.clients.wait_for_service("servers misbehave")


async def retry_margins_kept(simulation: SimulatedDeployment) -> None:
    """Retry margins below the number of proxies change by bundles; proxies join and leave, and servers lose answers."""
    processes = simulation.processes
    await simulation.start()
    random = simulation.random

    def margin(count: int, percent: int) -> Callable[[dict], None]:
        def change(declared: dict) -> None:
            for service in declared["services"]:
                service.update(further_margin=count, further_percent=percent)

        return change

    async def inject_faults() -> None:
        for number, (count, percent) in enumerate(((1, 20), (3, 0), (2, 5)), start=2):
            text = simulation.deployment.changed_bundle(margin(count, percent), number=number, based_on=number - 1)
            await simulation.operators.roll_out(text)
            for server in random.sample(simulation.servers.all(), len(simulation.servers.all()) // 2):
                server.misbehaviour = LOSE_ANSWER
            # Long enough for the shares of the margin to be in force and to be used up.
            await asyncio.sleep(14)
            for _ in range(2):
                name = random.choice(list(processes.proxies))
                processes.kill(name)
                await asyncio.sleep(random.uniform(0.1, 2.0))
                processes.restart(name)
                extra = proxy_name(number * 10 + 61)
                simulation.add_proxy(
                    extra, zone=random.choice(simulation.deployment.zones), service=simulation.servers[name].service
                )
                await asyncio.sleep(random.uniform(1.5, 4.0))
                simulation.remove_proxy(extra)
                await asyncio.sleep(random.uniform(0.5, 2.5))
            for server in simulation.servers.all():
                server.misbehaviour = ""

    await under_load(simulation, inject_faults(), seconds=60, rate=40)
    assert any(event.is_retry for event in simulation.history.of(AttemptSeen)), "nothing was retried"
    await simulation.operators.read_back(in_force=4)


async def old_process_lives(simulation: SimulatedDeployment) -> None:
    """A server of another service replaces a server whose process still makes calls through the same proxy."""
    await simulation.start()

    def allow_all_services(declared: dict) -> None:
        # Any service may make the calls: so only the caller that is recorded for them can be wrong.
        names = [service["name"] for service in declared["services"]]
        for route in declared["entries"]:
            route["callers"] = sorted({*route["callers"], *names})

    await simulation.operators.roll_out(simulation.deployment.changed_bundle(allow_all_services, number=2, based_on=1))
    callers = {service for service, _ in simulation.deployment.nested_calls}

    async def inject_faults() -> None:
        for _ in range(2):
            for proxy in list(simulation.processes.proxies):
                old = simulation.servers[proxy]
                if old.service not in callers:
                    continue
                other = another_service(simulation, old.service)
                path = next(path for service, path in simulation.deployment.nested_calls if service == old.service)
                replacement = simulation.servers.replace(proxy, service=other)
                replacement.report_health()
                # The old process still runs requests: it makes calls before and after the replacement is detected.
                for pause in (0.0, 0.5, 1.5):
                    await asyncio.sleep(pause)
                    nonce = f"old-{next(simulation.counter)}"
                    simulation.history.add(RequestSent(simulation.now(), nonce, "GET", path, "", "old"))
                    for nested in simulation.deployment.nested_calls[(old.service, path)]:
                        simulation.create_task(simulation.servers.call_nested(proxy, old, nested, nonce))
                await asyncio.sleep(1.0)
                replacement.change_state(WINDING_DOWN)
                replacement.vanish()
                simulation.servers.replace(proxy, service=old.service).report_health()
                await asyncio.sleep(1.0)

    await under_load(simulation, inject_faults(), seconds=14)
    await simulation.clients.wait_for_service("old process lives")
