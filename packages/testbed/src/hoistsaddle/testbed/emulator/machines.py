"""The emulator's machines: the product's own programs under the platform's settings, their doors, and how they end."""

import asyncio
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.common.settings import check_settings
from hoistsaddle.raft.disk import Disk
from hoistsaddle.registry.addresses import number_of_host
from hoistsaddle.registry.controller import Controller
from hoistsaddle.sidecar.listener import IngressHandler
from hoistsaddle.sidecar.messages import RunOnServer, ServerFailed
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.sidecar.service import CLOSING_SHARE, QUIET
from hoistsaddle.testbed.emulator.disks import EmulatedDiskWorker, database_files
from hoistsaddle.testbed.emulator.environment import Environment
from hoistsaddle.testbed.emulator.history import ProcessStarted
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.scheduled_events import SNAPSHOT
from hoistsaddle.testbed.emulator.site import BOUNDS, CoreMachine, SidecarMachine
from hoistsaddle.testbed.simulation.event_loop import SimulatedProcess
from hoistsaddle.testbed.simulation.world import SimulatedRuntime, wipe

# What a closing door waits before it lets go of its connections, and then for what still runs on them.
GRACE_LEFT = 0.15
DOOR_SPAN = 0.2


class Process:
    """One life of a machine's program."""

    def __init__(self, *, environment: Environment, machine: CoreMachine | SidecarMachine, number: int) -> None:
        self.environment = environment
        self.machine = machine
        self.number = number
        self.service = machine.service if isinstance(machine, SidecarMachine) else ""
        self.life = SimulatedProcess(name=machine.name, loop=environment.loop)
        self.runtime = SimulatedRuntime(world=environment.world, process=self.life)
        self.ended: asyncio.Future = environment.loop.create_future()
        self.pending: dict[asyncio.Task, None] = {}
        # Connections that may be reset: of clients here, and from here to the server beside.
        self.connections: dict[asyncio.Future, None] = {}
        self.open = False
        self.powered_off = False
        self.stopping_since: float | None = None
        self.node: Any = None
        self.worker: EmulatedDiskWorker | None = None
        self.door: Any = None
        self.control: Any = None
        environment.history.add(ProcessStarted(environment.now(), machine.name, self.service, number))

    def settings(self, *, cold: bool) -> Any:
        environment, machine = self.environment, self.machine
        # At the first start all get the same three, later whichever the operator's list begins with.
        known = environment.seeds()
        seeds = known[:3] if cold else environment.random.sample(known, min(3, len(known)))
        written = adapter("samples").settings(
            node=machine.name,
            host=machine.host,
            zone=machine.zone,
            seeds=[seed.host for seed in seeds],
            cold_start=cold,
            losses=environment.day.site.losses,
            bounds=BOUNDS,
            folder=str(self.folder) if isinstance(machine, CoreMachine) else None,
            service=self.service,
            server=f"{machine.host}:8301" if self.service else "",
        )
        path = environment.world.folder / f"{machine.name}.json"
        path.write_bytes(written)
        return adapter("headers").read_settings(str(path))

    @property
    def folder(self) -> Path:
        return self.environment.world.folder / f"data-{self.machine.name}"

    def start(self, *, cold: bool) -> None:
        settings = self.settings(cold=cold)
        self.life.context.run(self._make, settings)
        self.life.spawn(self._boot())

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

            def make_worker(**needs: Any) -> EmulatedDiskWorker:
                self.worker = EmulatedDiskWorker(
                    world=self.environment.world,
                    process=self.life,
                    snapshot=lambda: self.environment.on_trigger(SNAPSHOT, self.machine.name),
                    **needs,
                )
                return self.worker

            self.node = Controller(settings=daemon_settings, runtime=self.runtime, disk=disk, make_worker=make_worker)
            self.control = handlers.ConfigurationHandler(controller=self.node)
        else:
            daemon_settings = check_settings(headers.sidecar_settings(settings)).unwrap()
            self.node = SidecarNode(settings=daemon_settings, runtime=self.runtime, serve=self._serve)
            self.door = IngressHandler(node=self.node, header_names=headers.HEADER_NAMES)
            self.control = handlers.HeartbeatHandler(node=self.node)
        self.environment.observe_counters(self.node.counters)

    def rewrite(self) -> None:
        """The settings file is another one, and the program takes it up as it runs."""
        if self.life.dead or self.life.frozen or not self.open:
            return
        settings, headers = self.settings(cold=False), adapter("headers")
        if isinstance(self.machine, CoreMachine):
            daemon_settings = self._core_settings(headers.controller_settings(settings))
        else:
            daemon_settings = headers.sidecar_settings(settings)
        self.life.context.run(self.node.apply_settings, check_settings(daemon_settings).unwrap())

    def _core_settings(self, daemon_settings: Any) -> Any:
        """On some days snapshots come often, so that machines are lost, and catch up, in their midst."""
        return msgspec.structs.replace(daemon_settings, checkpoint_records=self.environment.day.site.snapshot_records)

    async def _boot(self) -> None:
        await self.node.start()
        self.open = True

    async def _serve(self, serve: RunOnServer) -> tuple:
        work = self.environment.create_task(self.environment.servers[self.machine.name].serve(serve))
        connection = self.connection()
        try:
            await asyncio.wait({work, connection}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.close_connection(connection)
        if work.done():
            return work.result()
        # The server works on, and nobody hears what comes of it.
        return ServerFailed(
            serve.number, False, MeshError(ErrorKind.ANSWER_BROKEN, "The connection broke.", "simulated")
        )

    def connection(self) -> asyncio.Future:
        """Done once this connection is reset."""
        connection = self.environment.loop.create_future()
        self.connections[connection] = None
        return connection

    def close_connection(self, connection: asyncio.Future) -> None:
        self.connections.pop(connection, None)

    def reset(self, share: float) -> None:
        for connection in list(self.connections):
            if not connection.done() and self.environment.random.random() < share:
                connection.set_result(None)

    async def ready(self) -> bool:
        answer = await adapter("handlers").ready_door(self.node, None)
        return answer.status == 200

    async def wind_down(self) -> None:
        """What SIGTERM does, step by step as the services of the house do it."""
        environment = self.environment
        self.stopping_since = environment.now()
        if isinstance(self.machine, CoreMachine):
            await environment.within(self.life.spawn(self.node.stop()), BOUNDS["grace_s"])
            return
        end = environment.now() + BOUNDS["grace_s"]
        most = timedelta(seconds=BOUNDS["grace_s"]) * (1 - CLOSING_SHARE)
        await environment.within(self.life.spawn(self.node.wind_down(quiet=QUIET, most=most)), BOUNDS["grace_s"])
        self.open = False
        await asyncio.sleep(GRACE_LEFT)
        end = min(end, environment.now() + DOOR_SPAN)
        while self.pending and environment.now() < end and not self.life.dead:
            await asyncio.sleep(0.02)

    def kill(self, *, power: bool = False) -> None:
        if self.life.dead:
            return
        self.environment.world.kill(self.life, power=power)
        self.powered_off = power
        if power:
            self.environment.world.powered_off.add(self.machine.host)
        if isinstance(self.machine, CoreMachine):
            if power and self.worker is not None:
                self.environment.world.disks.tear(self.worker)
            ledger = database_files(self.folder) if power else {}
            self.node.store.runner.disk.close()
            if power:
                self.environment.world.disks.lose_power(self.folder, ledger)
        self.open = False
        if not self.ended.done():
            self.ended.set_result(None)

    def wipe(self) -> None:
        self.environment.world.disks.forget(self.folder)
        wipe(self.folder)

    def leads(self) -> int:
        """The epoch this machine leads, or 0."""
        if not isinstance(self.machine, CoreMachine) or self.life.dead or self.life.frozen:
            return 0
        core = self.node.store.runner.core
        return core.epoch if core is not None and core.role == "leader" else 0
