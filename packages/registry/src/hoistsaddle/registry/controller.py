"""The controller: a store and a registry in one process, which found their mesh automatically."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import msgspec
from returns.result import Result

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import MeshError
from hoistsaddle.common.lifelong_tasks import LifelongTasks
from hoistsaddle.common.settings import ControllerSettings, RegistrySettings, StoreSettings
from hoistsaddle.common.tolerated_losses import Location, ToleratedLosses
from hoistsaddle.config.items import Patch
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.disk_jobs import DiskThread, DiskWorker
from hoistsaddle.raft.events import RaftTimings, replacement_timeout_for
from hoistsaddle.raft.voter_placement import VoterPlacement
from hoistsaddle.registry.addresses import ReplicaAddresses, number_of_host
from hoistsaddle.registry.bootstrap import Bootstrap
from hoistsaddle.registry.bootstrap_runner import BootstrapRunner
from hoistsaddle.registry.first_start import seed_numbers
from hoistsaddle.registry.item_patches import ItemPatches
from hoistsaddle.registry.local_registry import ControllerRegistry
from hoistsaddle.registry.node import REGISTRY_KIND
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.state import State
from hoistsaddle.store.service import Store

# Small machines claim hundreds of keys per second: under load, this added latency halves the fetches that the leader
# answers.
VOTER_BATCH_INTERVAL = milliseconds(10)
# Fraction of an election timeout before the first election after a start: the machines of a core may start together.
STARTUP_ELECTION_FRACTION = 0.4


def tolerated_losses(settings: ControllerSettings) -> ToleratedLosses:
    """The losses that the core must bear at once, by the settings."""
    return ToleratedLosses(machines=settings.losses, zones=settings.zone_losses, regions=settings.region_losses)


def replacement_timeout(settings: ControllerSettings) -> timedelta:
    """How long a voter must be unresponsive before it is replaced, by the settings."""
    return replacement_timeout_for(
        settle=timedelta(seconds=settings.settle_seconds), losses=tolerated_losses(settings).places
    )


def lag_wait(settings: ControllerSettings) -> timedelta:
    """How long the log is kept for a live replica that lags: as long as a restarted one may take to settle."""
    return timedelta(seconds=settings.settle_seconds)


def voter_placement(settings: ControllerSettings) -> VoterPlacement:
    """The tolerated losses, and the location of each controller by the zone under which it is registered."""

    def locate(state: State, replica: int) -> Location:
        node = state.nodes.get(f"{REGISTRY_KIND}-{replica}")
        zone = "" if node is None else node.zone
        return Location(zone, settings.regions.get(zone, ""))

    return VoterPlacement(tolerated_losses(settings), locate)


class Controller:
    """A core machine: its store, its registry, and the automatic founding of the mesh."""

    def __init__(
        self,
        *,
        settings: ControllerSettings,
        runtime: Runtime,
        disk: Disk | None = None,
        make_worker: Callable[..., DiskWorker] = DiskThread,
    ) -> None:
        """Creates the store and the registry; opens no listener before `start`.

        Args:
            settings: The settings of this process.
            runtime: Clock, randomness and connections, shared by both.
            disk: The store's disk; by default in the data folder of the settings.
            make_worker: Creates the worker that carries out the disk's jobs.
        """
        self.settings = settings
        self.runtime = runtime
        self.replica = number_of_host(settings.host)
        hosts = [*settings.seeds, settings.host]
        self.stores = ReplicaAddresses(port=settings.store_port, hosts=hosts)
        self.peers = ReplicaAddresses(port=settings.registry_port, hosts=hosts)
        if disk is None:
            disk = Disk(folder=Path(settings.data_folder), replica=self.replica)
        if settings.cold_start:
            disk.first_seeds = seed_numbers(settings)
        self.store = self._make_store(disk=disk, make_worker=make_worker)
        self.registry = self._make_registry()
        self.counters = self.registry.counters
        self.tasks = LifelongTasks(counters=self.counters, now=runtime.now)
        self.patches = ItemPatches(
            registry=self.registry, settings=lambda: self.settings, log_offset=self._applied_offset
        )

    def _make_store(self, *, disk: Disk, make_worker: Callable[..., DiskWorker]) -> Store:
        settings = self.settings
        return Store(
            settings=StoreSettings(
                replica=self.replica,
                zone=settings.zone,
                listen=self.stores[self.replica],
                data_folder=settings.data_folder,
                core=[],
                grace_seconds=settings.grace_seconds,
            ),
            runtime=self.runtime,
            disk=disk,
            make_worker=make_worker,
            addresses=self.stores,
            timings=RaftTimings(
                checkpoint_records=settings.checkpoint_records,
                chunk_bytes=settings.chunk_bytes,
                startup_election_fraction=STARTUP_ELECTION_FRACTION,
                voter_batch_interval=VOTER_BATCH_INTERVAL,
                replacement_timeout=replacement_timeout(settings),
                lag_wait=lag_wait(settings),
            ),
            placement=voter_placement(settings),
        )

    def _make_registry(self) -> ControllerRegistry:
        settings = self.settings
        return ControllerRegistry(
            settings=RegistrySettings(
                replica=self.replica,
                zone=settings.zone,
                listen=self.peers[self.replica],
                operators="",
                core=[],
                lease_seconds=settings.lease_seconds,
                health_seconds=settings.health_seconds,
            ),
            runtime=self.runtime,
            store=self.store,
            peers=self.peers,
            stores=self.stores,
        )

    def _applied_offset(self) -> int:
        core = self.store.runner.core
        return 0 if core is None else core.state.offset

    async def start(self) -> None:
        """Starts the store, the registry, and the bootstrap that founds the mesh if there is none.

        If this is cancelled, the store hands over its roles.
        """
        try:
            await self.store.start()
            await self.registry.start()
        except asyncio.CancelledError:
            await self.store.stop()
            raise
        self.tasks.start("bootstrap", self._bootstrap, may_return=True)

    async def stop(self) -> None:
        """Hands over this replica's roles and stops, within the grace period of the settings."""
        self.tasks.cancel()
        # The store first hands over this replica's roles; until the registry stops, it writes through the new leader.
        await self.store.stop()
        await self.registry.stop()

    def apply_settings(self, settings: ControllerSettings) -> None:
        """Applies the settings that may change while the controller runs: the seeds, the losses, and some timeouts."""
        self.counters.record_event(
            "params revised",
            seeds=settings.seeds,
            losses=settings.losses,
            zone_losses=settings.zone_losses,
            region_losses=settings.region_losses,
        )
        self.settings = msgspec.structs.replace(
            self.settings,
            seeds=settings.seeds,
            losses=settings.losses,
            zone_losses=settings.zone_losses,
            region_losses=settings.region_losses,
            regions=settings.regions,
            applied_version_seconds=settings.applied_version_seconds,
            write_seconds=settings.write_seconds,
            settle_seconds=settings.settle_seconds,
            resend_seconds=settings.resend_seconds,
        )
        numbers = seed_numbers(settings)
        for number in numbers:
            self.stores.learn(number)
            self.peers.learn(number)
        self.store.runner.apply_settings(
            placement=voter_placement(self.settings),
            replacement_timeout=replacement_timeout(self.settings),
            lag_wait=lag_wait(self.settings),
            seeds=numbers,
        )
        self.registry.member.seeds = [self.peers[number] for number in numbers if number != self.replica]

    async def _bootstrap(self) -> None:
        core = self.store.runner.started_core()
        bootstrap = Bootstrap(
            replica=self.replica,
            first_seeds=core.first_seeds,
            seeds=seed_numbers(self.settings),
            tolerated=tolerated_losses(self.settings),
            regions=self.settings.regions,
            now=self.runtime.now(),
        )
        self.store.known_controllers = lambda: bootstrap.known
        self.counters.record_event(
            "bootstrap began",
            cold_start=self.settings.cold_start,
            first_start=bool(core.first_seeds),
            mesh=core.mesh,
            seeds=self.settings.seeds,
        )
        runner = BootstrapRunner(
            bootstrap=bootstrap,
            store=self.store,
            node=self.registry.node,
            stores=self.stores,
            runtime=self.runtime,
            counters=self.counters,
        )
        await runner.run()

    async def patch(self, patch: Patch) -> Result[dict, MeshError]:
        """Puts a patch of items in force; see `ItemPatches.submit`."""
        return await self.patches.submit(patch)

    async def read_items(self, *, within: timedelta) -> Result[list[tuple[str, str, int, bytes]], MeshError]:
        """Reads every item in force; see `ItemPatches.read`."""
        return await self.patches.read(within=within)
