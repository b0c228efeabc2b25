"""The processes of a simulated deployment, which are started, stopped, killed and frozen by name."""

import hashlib
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from hoistsaddle.common.settings import CoreMachine, ProxySettings, RegistrySettings, StoreSettings
from hoistsaddle.proxy.messages import RunOnServer
from hoistsaddle.proxy.node import ProxyNode
from hoistsaddle.raft.disk import Disk
from hoistsaddle.registry.node import Registry
from hoistsaddle.store.service import Store
from hoistsaddle.testbed.deployments import Deployment
from hoistsaddle.testbed.history import History, PlannedInterruption, ProcessPaused
from hoistsaddle.testbed.process_names import (
    PROXY,
    REGISTRY,
    STORE,
    kind_of,
    proxy_name,
    registry_name,
    replica_of,
    store_name,
)
from hoistsaddle.testbed.simulation.event_loop import SimulatedProcess
from hoistsaddle.testbed.simulation.world import SimulatedDiskWorker, SimulatedRuntime, World, wipe

OPERATORS = {"ada": hashlib.sha256(b"token-of-ada").hexdigest(), "ben": hashlib.sha256(b"token-of-ben").hexdigest()}
# Small, so that a run of a few seconds transfers many chunks.
CHUNK_BYTES = 8192
LAG_WAIT_SECONDS = 4.0
# The number of registries whose addresses a proxy is configured with.
SEED_COUNT = 3
# Clients notice a closed connection with this delay, which a planned interruption includes.
CUT_NOTICED_SECONDS = 0.2

RunServer = Callable[[str, RunOnServer], Awaitable[tuple]]


class ProxySite(NamedTuple):
    """The zone of a proxy, and the service of its local server."""

    zone: str
    service: str


class ProcessEvent(NamedTuple):
    """An event that a process recorded with its counters."""

    timestamp: float
    owner: str
    kind: str
    detail: dict


class ProcessTable:
    """The processes of the deployment by name, and the nodes that run in them.

    Attributes:
        by_name: the newest process of each name, dead or alive.
        nodes: by process name, the Store, Registry or ProxyNode that runs in it.
        proxies: the zone and the local service of each proxy.
        release_levels: the highest release level that a process announces, where it is below this release's own.
        events: the events that processes recorded, in order.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        world: World,
        history: History,
        run_server: RunServer,
        checkpoint_records: int,
    ) -> None:
        self.deployment = deployment
        self.world = world
        self.history = history
        self.run_server = run_server
        self.checkpoint_records = checkpoint_records
        self.by_name: dict[str, SimulatedProcess] = {}
        self.nodes: dict[str, Any] = {}
        self.core = [
            CoreMachine(replica=replica, store=store_name(replica), registry=registry_name(replica))
            for replica in range(1, deployment.core + 1)
        ]
        self.seeds = [machine.registry for machine in self.core[:SEED_COUNT]]
        self.proxies: dict[str, ProxySite] = {
            proxy_name(index + 1): ProxySite(deployment.zone_of(index), service)
            for index, service in enumerate(deployment.services)
        }
        self.events: list[ProcessEvent] = []
        self.release_levels: dict[str, int] = {}
        self._frozen_at: dict[str, float] = {}

    def _now(self) -> float:
        return self.world.loop.time()

    # -- starting ----------------------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Starts a process with its settings and the present contents of its disk."""
        process = self.by_name[name] = SimulatedProcess(name=name, loop=self.world.loop)
        runtime = SimulatedRuntime(world=self.world, process=process)
        match kind_of(name):
            case kind if kind == STORE:
                node = self._make_store(name, process, runtime)
            case kind if kind == REGISTRY:
                node = self._make_registry(name, process, runtime)
            case _:
                node = self._make_proxy(name, process, runtime)
        self.nodes[name] = node
        self._observe_counters(node.counters)
        process.spawn(node.start())

    def _zone_of_replica(self, replica: int) -> str:
        zones = self.deployment.zones
        return zones[(replica - 1) % len(zones)]

    def _make_store(self, name: str, process: SimulatedProcess, runtime: SimulatedRuntime) -> Any:
        replica = replica_of(name)
        folder = self.world.folder / f"data-{replica}"
        settings = StoreSettings(
            replica=replica,
            zone=self._zone_of_replica(replica),
            listen=name,
            data_folder=str(folder),
            core=self.core,
            checkpoint_records=self.checkpoint_records,
            chunk_bytes=CHUNK_BYTES,
            lag_wait_seconds=LAG_WAIT_SECONDS,
            release_level=self.release_levels.get(name, 0),
        )
        disk = Disk(folder=folder, replica=replica, token=runtime.token, synchronous="OFF")

        def make_worker(**options: Any) -> SimulatedDiskWorker:
            return SimulatedDiskWorker(world=self.world, process=process, **options)

        return process.context.run(
            lambda: Store(settings=settings, runtime=runtime, disk=disk, make_worker=make_worker)
        )

    def _make_registry(self, name: str, process: SimulatedProcess, runtime: SimulatedRuntime) -> Any:
        replica = replica_of(name)
        settings = RegistrySettings(
            replica=replica,
            zone=self._zone_of_replica(replica),
            listen=name,
            operators=f"door-{replica}",
            core=self.core,
            release_level=self.release_levels.get(name, 0),
        )
        return process.context.run(lambda: Registry(settings=settings, runtime=runtime))

    def _make_proxy(self, name: str, process: SimulatedProcess, runtime: SimulatedRuntime) -> Any:
        settings = ProxySettings(
            name=name,
            zone=self.proxies[name].zone,
            listen=name,
            clients=f"{name}-visitors",
            inner=f"{name}-inner",
            seeds=self.seeds,
            release_level=self.release_levels.get(name, 0),
        )

        async def run_server(command: RunOnServer) -> tuple:
            return await self.run_server(name, command)

        return process.context.run(lambda: ProxyNode(settings=settings, runtime=runtime, run_server=run_server))

    def _observe_counters(self, counters: Any) -> None:
        """Copies every event that the process records into `events`."""
        record_in_counters = counters.record_event

        def record_event(kind: str, **detail: Any) -> None:
            self.events.append(ProcessEvent(round(self._now(), 4), counters.owner, kind, detail))
            record_in_counters(kind, **detail)

        counters.record_event = record_event

    # -- stopping ----------------------------------------------------------------------------------------------------

    def kill(self, *names: str) -> None:
        """The processes end at once, as by SIGKILL or a loss of power."""
        for name in names:
            process, node = self.by_name[name], self.nodes[name]
            if process.dead:
                continue
            self.world.kill(process)
            if isinstance(node, Store):
                node.runner.disk.close()

    def restart(self, *names: str) -> None:
        """Starts the processes again; one that still runs is killed first."""
        for name in names:
            if not self.by_name[name].dead:
                self.kill(name)
            self.start(name)

    def forget(self, name: str) -> None:
        """Kills a proxy's process for good and removes it from the table."""
        self.kill(name)
        del self.proxies[name], self.by_name[name], self.nodes[name]

    async def stop_proxy(self, name: str) -> None:
        """Stops a proxy gracefully, as SIGTERM does."""
        began = self._now()
        await self.by_name[name].spawn(self.nodes[name].finish())
        self.kill(name)
        self.history.add(PlannedInterruption(began, self._now() + CUT_NOTICED_SECONDS, f"planned stop of {name}"))

    async def stop_core_process(self, name: str) -> None:
        """Stops a store or a registry gracefully."""
        await self.by_name[name].spawn(self.nodes[name].stop())
        self.kill(name)

    def wipe(self, replica: int) -> None:
        """Erases the replica's disk."""
        wipe(self.world.folder / f"data-{replica}")

    def freeze(self, *names: str) -> None:
        """Freezes the processes, as SIGSTOP does."""
        for name in names:
            self.by_name[name].freeze()
            self._frozen_at.setdefault(name, self._now())

    def wake(self, *names: str) -> None:
        """Wakes frozen processes, which then run the callbacks that became due meanwhile."""
        for name in names:
            self.by_name[name].wake()
            if name in self._frozen_at:
                self.history.add(ProcessPaused(self._frozen_at.pop(name), self._now(), name))

    # -- state -------------------------------------------------------------------------------------------------------

    def names(self, kind: str) -> list[str]:
        """Returns the names of all processes of a kind, including dead ones."""
        return [name for name in self.by_name if kind_of(name) == kind]

    def running(self, kind: str) -> list[str]:
        """Returns the names of the processes of a kind that are neither dead nor frozen."""
        return [name for name in self.names(kind) if not self.by_name[name].dead and not self.by_name[name].frozen]

    def core_names(self) -> list[str]:
        """Returns the names of the stores and registries, machine by machine."""
        return [name for machine in self.core for name in (machine.store, machine.registry)]

    def leader(self) -> str | None:
        """Returns the running store that leads in the newest epoch, if any."""
        leading = [
            (self.nodes[name].runner.core.epoch, name)
            for name in self.running(STORE)
            if self.nodes[name].runner.core and self.nodes[name].runner.core.role == "leader"
        ]
        return max(leading)[1] if leading else None

    def has_rejoined(self, replica: int) -> bool:
        """Returns whether a replica is a voter with its present disk and has a complete state."""
        core = self.nodes[store_name(replica)].runner.core
        return core is not None and core.complete and core.state.voters.get(replica) == core.incarnation

    def expected_members(self) -> tuple[tuple[str, str], ...]:
        """Returns the running registries and proxies with their incarnations, sorted."""
        nodes = [(name, self.nodes[name].incarnation) for kind in (REGISTRY, PROXY) for name in self.running(kind)]
        return tuple(sorted(nodes))
