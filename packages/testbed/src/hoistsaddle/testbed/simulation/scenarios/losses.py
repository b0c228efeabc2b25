"""Processes, machines and disks are lost, singly and together."""

import asyncio
from typing import NamedTuple

from returns.result import Success

from hoistsaddle.rpc.messages import HealthCall
from hoistsaddle.statemachine.commands import GONE_RETENTION, LEVEL
from hoistsaddle.testbed.process_names import REGISTRY, proxy_name, registry_name, replica_of
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.scenarios.common import RATE, next_bundle, under_load
from hoistsaddle.testbed.simulation.servers import DRAINED, READY


async def core_machine_lost(simulation: SimulatedDeployment) -> None:
    """One core machine after the other loses power and comes back with its disk."""
    processes = simulation.processes
    await simulation.start()

    async def inject_faults() -> None:
        for machine in processes.core:
            processes.kill(machine.store, machine.registry)
            await asyncio.sleep(3)
            processes.restart(machine.store, machine.registry)
            await asyncio.sleep(2)

    await under_load(simulation, inject_faults(), seconds=5 * len(processes.core))
    await simulation.clients.wait_for_service("core machine lost")
    await simulation.operators.read_back(in_force=1)


async def disk_wiped(simulation: SimulatedDeployment) -> None:
    """The leader's machine loses its whole disk and returns blank; then the next, once the first rejoined."""
    processes = simulation.processes
    await simulation.start()

    async def inject_faults() -> None:
        for _ in range(2):
            name = processes.leader()
            replica = replica_of(name)
            processes.kill(name, registry_name(replica))
            processes.wipe(replica)
            await asyncio.sleep(1.0)
            processes.restart(name, registry_name(replica))
            await simulation.wait_for_vote(replica, seconds=20)

    await under_load(simulation, inject_faults(), seconds=16)
    await simulation.clients.wait_for_service("disk wiped")
    await simulation.operators.read_back(in_force=1)


async def all_processes_killed(simulation: SimulatedDeployment) -> None:
    """Every process at once, the core included; then everything comes back."""
    processes = simulation.processes
    await simulation.start()

    async def inject_faults() -> None:
        await asyncio.sleep(4)
        names = list(processes.by_name)
        processes.kill(*names)
        await asyncio.sleep(2)
        processes.restart(*names)
        # Awaited: a service that never comes back must not end the run unseen.
        await simulation.clients.wait_for_service("all processes killed")

    await under_load(simulation, inject_faults(), seconds=20)
    await simulation.wait_until(simulation.is_serving, seconds=15, description="serving again")
    await simulation.operators.read_back(in_force=1)


async def all_fail_together(simulation: SimulatedDeployment) -> None:
    """Every process fails at once, one core machine loses its disk, the others' disks are slow; then the read-back."""
    processes = simulation.processes
    operators = simulation.operators
    await simulation.start()

    async def inject_faults() -> None:
        await operators.roll_out(next_bundle(simulation, number=2, based_on=1))
        assert isinstance(await operators.drain(proxy_name(2)), Success)
        names = list(processes.by_name)
        processes.kill(*names)
        processes.wipe(simulation.random.choice(processes.core).replica)
        simulation.world.sync_seconds = (0.02, 0.1)
        await asyncio.sleep(1)
        processes.restart(*names)
        await simulation.wait_for_leader(seconds=15)
        await operators.read_back(in_force=2, drained=(proxy_name(2),))
        await simulation.clients.wait_for_service("all fail together")

    await under_load(simulation, inject_faults(), seconds=10)
    await simulation.wait_until(
        lambda: all(processes.has_rejoined(machine.replica) for machine in processes.core),
        seconds=20,
        description="all votes back",
    )
    await operators.read_back(in_force=2, drained=(proxy_name(2),))


async def proxies_killed(simulation: SimulatedDeployment) -> None:
    """All proxies die together, three times; the keys they held must not run again."""
    processes = simulation.processes
    await simulation.start()

    async def inject_faults() -> None:
        for _ in range(3):
            await asyncio.sleep(2)
            names = list(processes.proxies)
            processes.kill(*names)
            await asyncio.sleep(0.2)
            processes.restart(*names)

    await under_load(simulation, inject_faults(), seconds=14, rate=40)
    await simulation.clients.wait_for_service("proxies killed")


async def zone_lost(simulation: SimulatedDeployment) -> None:
    """One zone loses its power: core machine, proxies and servers; clients of the others must hardly notice."""
    processes = simulation.processes
    await simulation.start()
    zones = simulation.deployment.zones
    lost = simulation.random.choice(zones)
    machines = [machine for place, machine in enumerate(processes.core) if zones[place % len(zones)] == lost]
    proxies = [name for name, (zone, _) in processes.proxies.items() if zone == lost]
    # With five core machines in three zones a zone may hold two: still a majority is left.
    names = [name for machine in machines for name in (machine.store, machine.registry)] + proxies

    async def inject_faults() -> None:
        await asyncio.sleep(3)
        processes.kill(*names)
        for name in proxies:
            simulation.servers[name].vanish()
        await asyncio.sleep(6)
        processes.restart(*names)
        for name in proxies:
            simulation.servers.replace(name, service=processes.proxies[name][1])
        await simulation.clients.wait_for_service("zone lost")

    await under_load(simulation, inject_faults(), seconds=14)
    await simulation.wait_until(simulation.is_serving, seconds=15, description="serving again")
    await simulation.operators.read_back(in_force=1)


async def control_lost(simulation: SimulatedDeployment) -> None:
    """Every core process dies at once and comes back; what was passed on is still answered."""
    processes = simulation.processes
    await simulation.start()

    async def inject_faults() -> None:
        for pause in (0.2, 1.0, 3.0):
            await asyncio.sleep(2)
            names = processes.core_names()
            processes.kill(*names)
            await asyncio.sleep(pause)
            processes.restart(*names)
            await simulation.clients.wait_for_service(f"control lost for {pause} s")

    await under_load(simulation, inject_faults(), seconds=18)
    await simulation.operators.read_back(in_force=1)


async def wiped_after_acknowledgement(simulation: SimulatedDeployment) -> None:
    """The leader's machine loses its disk right after an acknowledgement: accepted, drained, settled."""
    processes = simulation.processes
    operators = simulation.operators
    await simulation.start()
    once = next(request_kind for request_kind in simulation.deployment.request_kinds if request_kind.once)

    async def lose_leader() -> None:
        name = processes.leader()
        replica = replica_of(name)
        processes.kill(name, registry_name(replica))
        processes.wipe(replica)
        await asyncio.sleep(0.5)
        processes.restart(name, registry_name(replica))
        await simulation.wait_for_vote(replica, seconds=20)

    async def inject_faults() -> None:
        await operators.roll_out(next_bundle(simulation, number=2, based_on=1))
        await lose_leader()
        await operators.read_back(in_force=2)
        assert isinstance(await operators.drain(proxy_name(2)), Success)
        server = simulation.servers[proxy_name(2)]
        simulation.servers.record_state(server, DRAINED)
        await lose_leader()
        await operators.read_back(in_force=2, drained=(proxy_name(2),))
        first = await simulation.clients.send_request(once, client="payer", key="settled")
        assert first.outcome == "answered", first
        await lose_leader()
        again = await simulation.clients.send_request(once, client="payer", key="settled")
        simulation.expect(
            "a settled key outlives the disk that settled it", (again.run, again.repeat) == (first.run, True)
        )
        server.change_state(READY)
        assert isinstance(await operators.drain(proxy_name(2), drain=False), Success)

    await under_load(simulation, inject_faults(), seconds=18)
    await simulation.clients.wait_for_service("wiped after an acknowledgement")
    await operators.read_back(in_force=2, settled=True)


class _LateReport(NamedTuple):
    """A health report that a proxy sent before it was removed."""

    proxy: str
    incarnation: str
    zone: str
    service: str
    instance: str
    revision: int

    def call(self) -> HealthCall:
        address = f"at-{self.proxy}"
        return HealthCall(
            self.proxy,
            self.incarnation,
            self.proxy,
            self.zone,
            self.service,
            self.instance,
            address,
            READY,
            9,
            self.revision,
            LEVEL,
        )


async def replaced_machines_forgotten(simulation: SimulatedDeployment) -> None:
    """Machines are replaced by others that never were; their names go, and late reports don't bring them back."""
    processes = simulation.processes
    await simulation.start()
    await simulation.wait_for_release_level(seconds=30)
    removed = []
    reports: list[_LateReport] = []
    for number in range(1, 4):
        old = proxy_name(number)
        zone, service = processes.proxies[old]
        node = processes.nodes[old]
        instance = simulation.servers[old].instance
        reports.append(_LateReport(old, node.incarnation, zone, service, instance, node.relay.copy.revision))
        simulation.remove_proxy(old)
        removed.append(old)
        simulation.add_proxy(proxy_name(number + 50), zone=zone, service=service)
        await asyncio.sleep(3)
    await simulation.clients.load(seconds=3, rate=RATE)
    # Mesh time goes on only while the node monitor runs; some minutes of it must pass.
    await asyncio.sleep(GONE_RETENTION.total_seconds() + 60)
    await simulation.operators.read_back(in_force=1, settled=True, removed=tuple(removed))
    # A report that was under way all the while comes in at last, at every registry.
    for report in reports:
        for registry in processes.running(REGISTRY):
            call = report.call()
            await processes.by_name[registry].spawn(processes.nodes[registry].health_reports.record(call))
    await asyncio.sleep(1)
    await simulation.clients.load(seconds=3, rate=RATE)
    await simulation.operators.read_back(in_force=1, settled=True, removed=tuple(removed))
    # The same name with a new incarnation is another machine, and is registered.
    zone, service = simulation.deployment.zones[0], simulation.deployment.services[0]
    simulation.add_proxy(proxy_name(1), zone=zone, service=service)
    await simulation.wait_until(simulation.is_serving, seconds=15, description="the new machine of an old name serves")
    await simulation.operators.read_back(in_force=1, settled=True, removed=tuple(removed[1:]))
