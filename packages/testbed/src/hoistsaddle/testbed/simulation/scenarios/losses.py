"""Losses of single processes, machines and disks, and of several at once."""

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
    """The core machines lose power in turn; each returns with its disk intact."""
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
    """The leader's machine loses its disk and returns blank; the next leader's follows once the first has rejoined."""
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
    """All processes, including the core, are killed at once and restarted."""
    processes = simulation.processes
    await simulation.start()

    async def inject_faults() -> None:
        await asyncio.sleep(4)
        names = list(processes.by_name)
        processes.kill(*names)
        await asyncio.sleep(2)
        processes.restart(*names)
        # Waits for the service here, so that a run in which it never recovers doesn't end unnoticed.
        await simulation.clients.wait_for_service("all processes killed")

    await under_load(simulation, inject_faults(), seconds=20)
    await simulation.wait_until(simulation.is_serving, seconds=15, description="serving again")
    await simulation.operators.read_back(in_force=1)


async def all_fail_together(simulation: SimulatedDeployment) -> None:
    """All processes fail at once, one core machine loses its disk, and disks are slow; the configuration survives."""
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
        description="all replicas are voters again",
    )
    await operators.read_back(in_force=2, drained=(proxy_name(2),))


async def proxies_killed(simulation: SimulatedDeployment) -> None:
    """All proxies are killed together, three times; requests whose keys they held must not run again."""
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
    """One zone loses power, with its core machines, proxies and servers; clients elsewhere are hardly affected."""
    processes = simulation.processes
    await simulation.start()
    zones = simulation.deployment.zones
    lost_zone = simulation.random.choice(zones)
    machines = [machine for index, machine in enumerate(processes.core) if zones[index % len(zones)] == lost_zone]
    proxies = [name for name, (zone, _) in processes.proxies.items() if zone == lost_zone]
    # With five core machines in three zones, a zone may hold two of them: the rest is still a majority.
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
    """All core processes are killed at once and restarted; requests that were already forwarded are still answered."""
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
    """The leader's machine loses its disk right after it acknowledged a bundle, a drain and a settled key."""
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
    """A health report that a proxy sent before its removal and that arrives after it."""

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
    """Machines are replaced under new names; the old names are forgotten, and late reports don't restore them."""
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
    # Mesh time advances only while the node monitor runs, and the retention time must pass in it.
    await asyncio.sleep(GONE_RETENTION.total_seconds() + 60)
    await simulation.operators.read_back(in_force=1, settled=True, removed=tuple(removed))
    # A report that was in flight all this time now arrives at every registry.
    for report in reports:
        for registry in processes.running(REGISTRY):
            call = report.call()
            await processes.by_name[registry].spawn(processes.nodes[registry].health_reports.record(call))
    await asyncio.sleep(1)
    await simulation.clients.load(seconds=3, rate=RATE)
    await simulation.operators.read_back(in_force=1, settled=True, removed=tuple(removed))
    # The same name with a new incarnation is a different machine and is registered.
    zone, service = simulation.deployment.zones[0], simulation.deployment.services[0]
    simulation.add_proxy(proxy_name(1), zone=zone, service=service)
    await simulation.wait_until(
        simulation.is_serving, seconds=15, description="the new machine with an old name serves"
    )
    await simulation.operators.read_back(in_force=1, settled=True, removed=tuple(removed[1:]))
