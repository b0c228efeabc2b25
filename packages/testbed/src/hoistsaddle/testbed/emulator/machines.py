"""The processes on the emulator's machines: the product's own programs, configured by the platform's settings file."""

import asyncio
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.common.settings_checks import check_settings
from hoistsaddle.raft.disk import Disk
from hoistsaddle.registry.addresses import number_of_host
from hoistsaddle.registry.controller import Controller
from hoistsaddle.sidecar.listener import IngressHandler
from hoistsaddle.sidecar.messages import RunOnServer, ServerAnswered, ServerFailed
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.sidecar.service import CLOSING_SHARE, QUIET
from hoistsaddle.testbed.emulator.disks import EmulatedDiskWorker, database_files
from hoistsaddle.testbed.emulator.environment import Environment
from hoistsaddle.testbed.emulator.history import ProcessStarted
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.scheduled_events import SNAPSHOT
from hoistsaddle.testbed.emulator.servers import PORT as SERVER_PORT
from hoistsaddle.testbed.emulator.site import BOUNDS, CoreMachine, SidecarMachine
from hoistsaddle.testbed.simulation.event_loop import SimulatedProcess
from hoistsaddle.testbed.simulation.world import SimulatedRuntime, wipe

# How long a closing listener waits before it closes its connections, and then for requests that still run on them, in
# seconds.
CLOSE_DELAY_SECONDS = 0.15
CLOSE_TIMEOUT_SECONDS = 0.2
MAX_SEEDS = 3
BITS_OF_BYTE = 8
DEFAULT_LINK_MBPS = 1000.0
POLL_SECONDS = 0.02


def encode_settings(
    environment: Environment, machine: CoreMachine | SidecarMachine, *, folder: Path, cold: bool
) -> bytes:
    """The content of a machine's settings file; `folder` is the data folder of a core machine."""
    # On the first start all machines get the same seeds, later a random choice from the operators' list.
    known = environment.seeds()
    seeds = known[:MAX_SEEDS] if cold else environment.random.sample(known, min(MAX_SEEDS, len(known)))
    service = machine.service if isinstance(machine, SidecarMachine) else ""
    return adapter("samples").settings(
        node=machine.name,
        host=machine.host,
        zone=machine.zone,
        seeds=[seed.host for seed in seeds],
        cold_start=cold,
        losses=environment.day.site.losses,
        bounds=BOUNDS,
        folder=str(folder) if isinstance(machine, CoreMachine) else None,
        service=service,
        server=f"{machine.host}:{SERVER_PORT}" if service else "",
        link_mbps=environment.day.site.link_bytes_per_second * BITS_OF_BYTE / 1e6 or DEFAULT_LINK_MBPS,
    )


class Process:
    """One process of a machine's program, from its start to its end."""

    def __init__(self, *, environment: Environment, machine: CoreMachine | SidecarMachine, number: int) -> None:
        self.environment = environment
        self.machine = machine
        self.number = number
        self.service = machine.service if isinstance(machine, SidecarMachine) else ""
        self.simulated = SimulatedProcess(name=machine.name, loop=environment.loop)
        self.runtime = SimulatedRuntime(world=environment.world, process=self.simulated)
        self.ended: asyncio.Future = environment.loop.create_future()
        self.pending: dict[asyncio.Task, None] = {}
        # Connections that may be reset: from clients to this process, and from here to the local server.
        self.connections: dict[asyncio.Future, None] = {}
        self.open = False
        self.powered_off = False
        self.node: Any = None
        self.worker: EmulatedDiskWorker | None = None
        self.ingress: Any = None
        self.control: Any = None
        environment.history.add(ProcessStarted(environment.now(), machine.name, self.service, number))

    def write_settings(self, *, cold: bool) -> Any:
        """Writes the machine's settings file, and reads it as the platform's start-up does."""
        environment, machine = self.environment, self.machine
        path = environment.world.folder / f"{machine.name}.json"
        path.write_bytes(encode_settings(environment, machine, folder=self.folder, cold=cold))
        return adapter("headers").read_settings(str(path))

    @property
    def folder(self) -> Path:
        """The data folder of a core machine."""
        return self.environment.world.folder / f"data-{self.machine.name}"

    def start(self, *, cold: bool) -> None:
        """Starts the program; cold is the first start of the whole site."""
        settings = self.write_settings(cold=cold)
        self.simulated.context.run(self._make, settings)
        self.simulated.spawn(self._boot())

    def _make(self, settings: Any) -> None:
        handlers, headers = adapter("handlers"), adapter("headers")
        if isinstance(self.machine, CoreMachine):
            daemon_settings: Any = check_settings(self._core_settings(headers.controller_settings(settings))).unwrap()
            self.folder.mkdir(parents=True, exist_ok=True)
            self.environment.world.disks.add(self.folder)
            disk = Disk(
                folder=self.folder,
                replica=number_of_host(daemon_settings.host),
                token=self.runtime.token,
                synchronous="OFF",
            )

            def make_worker(**arguments: Any) -> EmulatedDiskWorker:
                self.worker = EmulatedDiskWorker(
                    world=self.environment.world,
                    process=self.simulated,
                    on_snapshot=lambda: self.environment.on_trigger(SNAPSHOT, self.machine.name),
                    **arguments,
                )
                return self.worker

            self.node = Controller(settings=daemon_settings, runtime=self.runtime, disk=disk, make_worker=make_worker)
            self.control = handlers.ConfigurationHandler(controller=self.node)
        else:
            daemon_settings = check_settings(headers.sidecar_settings(settings)).unwrap()
            self.node = SidecarNode(settings=daemon_settings, runtime=self.runtime, serve=self._serve)
            self.ingress = IngressHandler(node=self.node, header_names=headers.HEADER_NAMES)
            self.control = handlers.HeartbeatHandler(node=self.node)
        self.environment.observe_counters(self.node.counters)

    def rewrite_settings(self) -> None:
        """Writes new settings, and applies them to the running program."""
        if self.simulated.dead or self.simulated.frozen or not self.open:
            return
        settings, headers = self.write_settings(cold=False), adapter("headers")
        if isinstance(self.machine, CoreMachine):
            daemon_settings = self._core_settings(headers.controller_settings(settings))
        else:
            daemon_settings = headers.sidecar_settings(settings)
        self.simulated.context.run(self.node.apply_settings, check_settings(daemon_settings).unwrap())

    def _core_settings(self, daemon_settings: Any) -> Any:
        """Applies the day's snapshot interval; with a short one, machines fail and catch up while one is written."""
        return msgspec.structs.replace(daemon_settings, checkpoint_records=self.environment.day.site.snapshot_records)

    async def _boot(self) -> None:
        await self.node.start()
        self.open = True

    async def _serve(self, command: RunOnServer) -> ServerAnswered | ServerFailed:
        work = self.environment.create_task(self.environment.servers[self.machine.name].serve(command))
        connection = self.connection()
        try:
            await asyncio.wait({work, connection}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.close_connection(connection)
        if work.done():
            return work.result()
        # The server continues its run, and the answer is lost.
        return ServerFailed(
            command.number, False, MeshError(ErrorKind.ANSWER_BROKEN, "The connection broke.", "simulated")
        )

    def connection(self) -> asyncio.Future:
        """Opens a connection, represented by a future that is done once the connection is reset."""
        connection = self.environment.loop.create_future()
        self.connections[connection] = None
        return connection

    def close_connection(self, connection: asyncio.Future) -> None:
        """Removes a closed connection."""
        self.connections.pop(connection, None)

    def reset(self, share: float) -> None:
        """Resets a share of the connections."""
        for connection in list(self.connections):
            if not connection.done() and self.environment.random.random() < share:
                connection.set_result(None)

    async def ready(self) -> bool:
        """The result of the platform's ready check."""
        answer = await adapter("handlers").answer_ready(self.node, None)
        return answer.status == 200

    async def wind_down(self) -> None:
        """Shuts down as on SIGTERM, in the same steps as the product's own services."""
        environment = self.environment
        if isinstance(self.machine, CoreMachine):
            await environment.wait_for(self.simulated.spawn(self.node.stop()), BOUNDS["grace_s"])
            return
        end = environment.now() + BOUNDS["grace_s"]
        most = timedelta(seconds=BOUNDS["grace_s"]) * (1 - CLOSING_SHARE)
        await environment.wait_for(self.simulated.spawn(self.node.wind_down(quiet=QUIET, most=most)), BOUNDS["grace_s"])
        self.open = False
        await asyncio.sleep(CLOSE_DELAY_SECONDS)
        end = min(end, environment.now() + CLOSE_TIMEOUT_SECONDS)
        while self.pending and environment.now() < end and not self.simulated.dead:
            await asyncio.sleep(POLL_SECONDS)

    def kill(self, *, power: bool = False) -> None:
        """Kills the process; a loss of power also loses what its disk had not synced."""
        if self.simulated.dead:
            return
        self.environment.world.kill(self.simulated, power=power)
        self.powered_off = power
        if power:
            self.environment.world.powered_off.add(self.machine.host)
        if isinstance(self.machine, CoreMachine):
            if power and self.worker is not None:
                self.environment.world.disks.tear(self.worker)
            database = database_files(self.folder) if power else {}
            self.node.store.runner.disk.close()
            if power:
                self.environment.world.disks.lose_power(self.folder, database)
        self.open = False
        if not self.ended.done():
            self.ended.set_result(None)

    def wipe(self) -> None:
        """Empties the data folder."""
        self.environment.world.disks.forget(self.folder)
        wipe(self.folder)

    def led_epoch(self) -> int:
        """The epoch in which this machine leads, or 0."""
        if not isinstance(self.machine, CoreMachine) or self.simulated.dead or self.simulated.frozen:
            return 0
        core = self.node.store.runner.core
        return core.epoch if core is not None and core.role == "leader" else 0
