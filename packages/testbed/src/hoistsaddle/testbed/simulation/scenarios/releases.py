"""Planned restarts, and two releases that run at the same time."""

import asyncio

from returns.result import Success

from hoistsaddle.testbed.history import PlannedInterruption
from hoistsaddle.testbed.process_names import STORE, proxy_name
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import RATE, next_bundle, under_load


async def rolling_restart(simulation: SimulatedDeployment) -> None:
    """All machines are stopped gracefully and restarted in turn, under load and with slow servers."""
    processes = simulation.processes
    await simulation.start()
    for server in simulation.servers.all():
        server.seconds = (0.1, 0.6)

    async def inject_faults() -> None:
        for name in processes.proxies:
            await processes.stop_proxy(name)
            processes.start(name)
            await asyncio.sleep(0.8)
        for machine in processes.core:
            began = simulation.now()
            for name in (machine.registry, machine.store):
                await processes.stop_core_process(name)
            await asyncio.sleep(0.5)
            processes.restart(machine.store, machine.registry)
            await asyncio.sleep(2.5)
            simulation.history.add(
                PlannedInterruption(began, simulation.now(), f"planned restart of core machine {machine.replica}")
            )

    load = simulation.create_task(
        simulation.clients.load(seconds=2.2 * len(processes.proxies) + 4 * len(processes.core), rate=RATE)
    )
    await inject_faults()
    await load
    await simulation.wait_until(simulation.is_serving, seconds=10, description="serving again")


async def releases_side_by_side(simulation: SimulatedDeployment) -> None:
    """All processes start at release level 1 and are upgraded one by one under load; at the end the level is raised."""
    processes = simulation.processes
    names = processes.core_names() + list(processes.proxies)
    processes.release_levels = dict.fromkeys(names, 1)
    await simulation.start()

    async def change_operator() -> str:
        result = await simulation.operators.perform(
            lambda actions, request: actions.change_operator(
                operator="ada", name="eve", digest="e" * 64, request=request
            )
        )
        return "" if isinstance(result, Success) else str(result.failure().kind)

    async def inject_faults() -> None:
        order = list(names)
        simulation.random.shuffle(order)
        for index, name in enumerate(order):
            del processes.release_levels[name]
            if name in processes.proxies:
                await processes.stop_proxy(name)
                processes.start(name)
                await asyncio.sleep(1)
            else:
                await processes.stop_core_process(name)
                await asyncio.sleep(0.3)
                processes.restart(name)
                await asyncio.sleep(1.5)
            if index == len(order) // 2:
                simulation.expect(
                    "newer commands are rejected below their release level", await change_operator() == "release-level"
                )
                await simulation.operators.roll_out(next_bundle(simulation, number=2, based_on=1))
        await simulation.wait_for_release_level(seconds=20)
        simulation.expect("newer commands are accepted at their release level", await change_operator() == "")
        # Processes of the former release are started by mistake: they must not take part, and the store reports it.
        follower = next(name for name in processes.running(STORE) if name != processes.leader())
        processes.release_levels = {follower: 1, proxy_name(1): 1}
        processes.restart(follower, proxy_name(1))
        await asyncio.sleep(2)
        core = processes.nodes[follower].runner.core
        simulation.expect(
            "a store of a former release halts and reports it", core.halted != "" and core.role == "follower"
        )
        simulation.expect(
            "a proxy of a former release isn't registered", not processes.nodes[proxy_name(1)].core.is_registered()
        )
        processes.release_levels = {}
        processes.restart(follower, proxy_name(1))
        await simulation.wait_until(simulation.is_serving, seconds=15, description="serving again")

    await under_load(simulation, inject_faults(), seconds=2.2 * len(names))
    await simulation.clients.wait_for_service("releases side by side")
    await asyncio.sleep(1)
    await simulation.operators.read_back(in_force=2, settled=True)
