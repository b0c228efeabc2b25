"""Network partitions between processes."""

import asyncio

from hoistsaddle.testbed.process_names import STORE, kind_of
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import next_bundle, under_load


async def cut_apart(simulation: SimulatedDeployment) -> None:
    """Each core machine is cut off, in both directions or one; proxies are cut off from the core, peers or all."""
    processes = simulation.processes
    await simulation.start()
    core = processes.core_names()
    proxies = list(processes.proxies)
    all_names = core + proxies

    async def inject_faults() -> None:
        for machine in processes.core:
            machine_names = [machine.store, machine.registry]
            simulation.world.cut(machine_names, [name for name in all_names if name not in machine_names])
            await asyncio.sleep(2.5)
            simulation.world.heal()
            await asyncio.sleep(1)
            simulation.world.cut(machine_names, [name for name in all_names if name not in machine_names], one_way=True)
            await asyncio.sleep(2.5)
            simulation.world.heal()
            await asyncio.sleep(1)
        for others in (core, proxies, all_names):
            isolated_proxy = simulation.random.choice(proxies)
            simulation.world.cut([isolated_proxy], [name for name in others if name != isolated_proxy])
            await asyncio.sleep(2.5)
            simulation.world.heal()
            await asyncio.sleep(1)

    await under_load(simulation, inject_faults(), seconds=7 * len(processes.core) + 10)
    await simulation.clients.wait_for_service("cut apart")
    await simulation.operators.read_back(in_force=1)


async def bundle_while_cut_off(simulation: SimulatedDeployment) -> None:
    """A proxy is cut off while bundles are accepted without it: it must stop applying the old bundle in time."""
    await simulation.start()

    async def inject_faults() -> None:
        for number in (2, 3):
            isolated_proxy = simulation.random.choice(list(simulation.processes.proxies))
            await asyncio.sleep(simulation.random.uniform(0.2, 0.6))
            simulation.world.cut(
                [isolated_proxy], [name for name in simulation.processes.by_name if name != isolated_proxy]
            )
            await simulation.operators.roll_out(next_bundle(simulation, number=number, based_on=number - 1))
            await asyncio.sleep(1)
            simulation.world.heal()
            await simulation.wait_until(simulation.is_serving, seconds=10, description="serving after the cut")

    await under_load(simulation, inject_faults(), seconds=10)
    await simulation.operators.read_back(in_force=3)


async def isolated(simulation: SimulatedDeployment) -> None:
    """A proxy is cut off, then the stores are down, then a service: each request is answered without delay."""
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

    isolated_proxy = simulation.random.choice(proxies)
    simulation.world.cut([isolated_proxy], [name for name in processes.by_name if name != isolated_proxy])
    await send_for(isolated_proxy, 6)
    simulation.world.heal()
    await simulation.wait_until(simulation.is_serving, seconds=10, description="serving again")
    core = processes.core_names()
    # The registries can be reached but can't write: keys can't be claimed, but leases are still renewed for a moment.
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
