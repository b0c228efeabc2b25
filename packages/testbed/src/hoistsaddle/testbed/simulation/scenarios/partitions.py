"""Processes are cut off from each other."""

import asyncio

from hoistsaddle.testbed.process_names import STORE, kind_of
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import next_bundle, under_load


async def cut_apart(simulation: SimulatedDeployment) -> None:
    """The core is split every way, one way and both, and single proxies are isolated from core, peers, or all."""
    processes = simulation.processes
    await simulation.start()
    core = processes.core_names()
    proxies = list(processes.proxies)
    everyone = core + proxies

    async def inject_faults() -> None:
        for machine in processes.core:
            mine = [machine.store, machine.registry]
            simulation.world.cut(mine, [name for name in everyone if name not in mine])
            await asyncio.sleep(2.5)
            simulation.world.heal()
            await asyncio.sleep(1)
            simulation.world.cut(mine, [name for name in everyone if name not in mine], one_way=True)
            await asyncio.sleep(2.5)
            simulation.world.heal()
            await asyncio.sleep(1)
        for others in (core, proxies, everyone):
            one = simulation.random.choice(proxies)
            simulation.world.cut([one], [name for name in others if name != one])
            await asyncio.sleep(2.5)
            simulation.world.heal()
            await asyncio.sleep(1)

    await under_load(simulation, inject_faults(), seconds=7 * len(processes.core) + 10)
    await simulation.clients.wait_for_service("cut apart")
    await simulation.operators.read_back(in_force=1)


async def bundle_while_cut_off(simulation: SimulatedDeployment) -> None:
    """A proxy is cut off while bundles are accepted without it: it must stop acting on the old one in time."""
    await simulation.start()

    async def inject_faults() -> None:
        for number in (2, 3):
            one = simulation.random.choice(list(simulation.processes.proxies))
            await asyncio.sleep(simulation.random.uniform(0.2, 0.6))
            simulation.world.cut([one], [name for name in simulation.processes.by_name if name != one])
            await simulation.operators.roll_out(next_bundle(simulation, number=number, based_on=number - 1))
            await asyncio.sleep(1)
            simulation.world.heal()
            await simulation.wait_until(simulation.is_serving, seconds=10, description="serving after the cut")

    await under_load(simulation, inject_faults(), seconds=10)
    await simulation.operators.read_back(in_force=3)


async def isolated(simulation: SimulatedDeployment) -> None:
    """One proxy is cut off from all others, then the core is gone, then a service: each request is answered at once."""
    processes = simulation.processes
    await simulation.start()
    proxies = list(processes.proxies)
    once = next(request_kind for request_kind in simulation.deployment.request_kinds if request_kind.once)
    safe = next(request_kind for request_kind in simulation.deployment.request_kinds if not request_kind.once)

    async def send_for(proxy: str, seconds: float) -> None:
        end = simulation.now() + seconds
        tasks = []
        while simulation.now() < end:
            for request_kind in (once, safe):
                key = f"{next(simulation.counter)}" if request_kind.once else ""
                tasks.append(
                    simulation.create_task(
                        simulation.clients.send_request(request_kind, client="v", key=key, proxy=proxy)
                    )
                )
            await asyncio.sleep(0.2)
        await asyncio.gather(*tasks)

    one = simulation.random.choice(proxies)
    simulation.world.cut([one], [name for name in processes.by_name if name != one])
    await send_for(one, 6)
    simulation.world.heal()
    await simulation.wait_until(simulation.is_serving, seconds=10, description="serving again")
    core = processes.core_names()
    # The registries are reached but can't write: keys can't be claimed, while leases are still renewed for a moment.
    processes.kill(*[name for name in core if kind_of(name) == STORE])
    await asyncio.gather(*(send_for(proxy, 6) for proxy in proxies[:2]))
    processes.restart(*[name for name in core if kind_of(name) == STORE])
    await simulation.clients.wait_for_service("the stores return")
    service = processes.proxies[proxies[0]].service
    for proxy, server in simulation.servers.by_proxy.items():
        if server.service == service:
            server.vanish()
    await asyncio.gather(*(send_for(proxy, 6) for proxy in proxies[:2]))
    for proxy in proxies:
        if processes.proxies[proxy].service == service:
            simulation.servers.replace(proxy, service=service)
    await simulation.clients.wait_for_service("a service returns")
