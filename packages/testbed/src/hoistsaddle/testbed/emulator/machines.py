"""The emulator's machines: the product's own programs under the platform's settings, their doors, and how they end."""

import asyncio
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.common.settings import check_params
from hoistsaddle.raft.disk import Disk
from hoistsaddle.registry.controller import Controller
from hoistsaddle.registry.places import number_of_host
from hoistsaddle.sidecar.door import Door
from hoistsaddle.sidecar.messages import Serve, ServeMissed
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.sidecar.service import CLOSING_SHARE, QUIET
from hoistsaddle.testbed.emulator.customs import adapter
from hoistsaddle.testbed.emulator.disks import EmulatedDiskWorker, ledger_files
from hoistsaddle.testbed.emulator.history import Started
from hoistsaddle.testbed.emulator.site import BOUNDS, CoreMachine, SidecarMachine
from hoistsaddle.testbed.emulator.stage import Stage
from hoistsaddle.testbed.emulator.troubles import SNAPSHOT
from hoistsaddle.testbed.simulation.clockwork import Life
from hoistsaddle.testbed.simulation.world import SimulatedRuntime, wipe

# What a closing door waits before it lets go of its connections, and then for what still runs on them.
GRACE_LEFT = 0.15
DOOR_SPAN = 0.2


class Process:
    """One life of a machine's program."""

    def __init__(self, *, arena: Stage, machine: CoreMachine | SidecarMachine, number: int) -> None:
        self.arena = arena
        self.machine = machine
        self.number = number
        self.service = machine.service if isinstance(machine, SidecarMachine) else ""
        self.life = Life(name=machine.name, loop=arena.loop)
        self.runtime = SimulatedRuntime(world=arena.world, life=self.life)
        self.ended: asyncio.Future = arena.loop.create_future()
        self.pending: dict[asyncio.Task, None] = {}
        # Connections that may be reset: of visitors here, and from here to the server beside.
        self.connections: dict[asyncio.Future, None] = {}
        self.open = False
        self.dark = False
        self.stopping_since: float | None = None
        self.node: Any = None
        self.worker: EmulatedDiskWorker | None = None
        self.door: Any = None
        self.control: Any = None
        arena.history.add(Started(arena.moment(), machine.name, self.service, number))

    def settings(self, *, cold: bool) -> Any:
        arena, machine = self.arena, self.machine
        # At the first start all get the same three, later whichever the operator's list begins with.
        known = arena.seeds()
        seeds = known[:3] if cold else arena.random.sample(known, min(3, len(known)))
        written = adapter("samples").settings(
            node=machine.name,
            host=machine.host,
            zone=machine.zone,
            seeds=[seed.host for seed in seeds],
            cold_start=cold,
            losses=arena.day.site.losses,
            bounds=BOUNDS,
            folder=str(self.folder) if isinstance(machine, CoreMachine) else None,
            service=self.service,
            server=f"{machine.host}:8301" if self.service else "",
        )
        path = arena.world.folder / f"{machine.name}.json"
        path.write_bytes(written)
        return adapter("headers").read_settings(str(path))

    @property
    def folder(self) -> Path:
        return self.arena.world.folder / f"data-{self.machine.name}"

    def start(self, *, cold: bool) -> None:
        settings = self.settings(cold=cold)
        self.life.context.run(self._make, settings)
        self.life.spawn(self._boot())

    def _make(self, settings: Any) -> None:
        handlers, headers = adapter("handlers"), adapter("headers")
        if isinstance(self.machine, CoreMachine):
            params: Any = check_params(self._core_params(headers.market_params(settings))).unwrap()
            self.folder.mkdir(parents=True, exist_ok=True)
            self.arena.world.disks.add(self.folder)
            disk = Disk(
                folder=self.folder, replica=number_of_host(params.host), token=self.runtime.token, synchronous="OFF"
            )

            def make_worker(**needs: Any) -> EmulatedDiskWorker:
                self.worker = EmulatedDiskWorker(
                    world=self.arena.world,
                    life=self.life,
                    snapshot=lambda: self.arena.happened(SNAPSHOT, self.machine.name),
                    **needs,
                )
                return self.worker

            self.node = Controller(params=params, runtime=self.runtime, disk=disk, make_worker=make_worker)
            self.control = handlers.OperatorDoor(market=self.node)
        else:
            params = check_params(headers.broker_params(settings)).unwrap()
            self.node = SidecarNode(params=params, runtime=self.runtime, serve=self._serve)
            self.door = Door(node=self.node, wording=headers.WORDING)
            self.control = handlers.BeatDoor(node=self.node)
        self.arena.listen(self.node.counters)

    def rewrite(self) -> None:
        """The settings file is another one, and the program takes it up as it runs."""
        if self.life.dead or self.life.frozen or not self.open:
            return
        settings, headers = self.settings(cold=False), adapter("headers")
        if isinstance(self.machine, CoreMachine):
            params = self._core_params(headers.market_params(settings))
        else:
            params = headers.broker_params(settings)
        self.life.context.run(self.node.revise, check_params(params).unwrap())

    def _core_params(self, params: Any) -> Any:
        """On some days snapshots come often, so that machines are lost, and catch up, in their midst."""
        return msgspec.structs.replace(params, checkpoint_records=self.arena.day.site.snapshot_records)

    async def _boot(self) -> None:
        await self.node.start()
        self.open = True

    async def _serve(self, serve: Serve) -> tuple:
        work = self.arena.keep(self.arena.servers[self.machine.name].serve(serve))
        connection = self.connection()
        try:
            await asyncio.wait({work, connection}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.close_connection(connection)
        if work.done():
            return work.result()
        # The server works on, and nobody hears what comes of it.
        return ServeMissed(serve.number, False, Mishap(MishapKind.ANSWER_BROKEN, "The connection broke.", "simulated"))

    def connection(self) -> asyncio.Future:
        """Done once this connection is reset."""
        connection = self.arena.loop.create_future()
        self.connections[connection] = None
        return connection

    def close_connection(self, connection: asyncio.Future) -> None:
        self.connections.pop(connection, None)

    def reset(self, share: float) -> None:
        for connection in list(self.connections):
            if not connection.done() and self.arena.random.random() < share:
                connection.set_result(None)

    async def ready(self) -> bool:
        answer = await adapter("handlers").ready_door(self.node, None)
        return answer.status == 200

    async def wind_down(self) -> None:
        """What SIGTERM does, step by step as the services of the house do it."""
        arena = self.arena
        self.stopping_since = arena.moment()
        if isinstance(self.machine, CoreMachine):
            await arena.within(self.life.spawn(self.node.stop()), BOUNDS["grace_s"])
            return
        end = arena.moment() + BOUNDS["grace_s"]
        most = timedelta(seconds=BOUNDS["grace_s"]) * (1 - CLOSING_SHARE)
        await arena.within(self.life.spawn(self.node.wind_down(quiet=QUIET, most=most)), BOUNDS["grace_s"])
        self.open = False
        await asyncio.sleep(GRACE_LEFT)
        end = min(end, arena.moment() + DOOR_SPAN)
        while self.pending and arena.moment() < end and not self.life.dead:
            await asyncio.sleep(0.02)

    def kill(self, *, power: bool = False) -> None:
        if self.life.dead:
            return
        self.arena.world.kill(self.life, power=power)
        self.dark = power
        if power:
            self.arena.world.dark.add(self.machine.host)
        if isinstance(self.machine, CoreMachine):
            if power and self.worker is not None:
                self.arena.world.disks.tear(self.worker)
            ledger = ledger_files(self.folder) if power else {}
            self.node.warehouse.shell.disk.close()
            if power:
                self.arena.world.disks.lose_power(self.folder, ledger)
        self.open = False
        if not self.ended.done():
            self.ended.set_result(None)

    def wipe(self) -> None:
        self.arena.world.disks.forget(self.folder)
        wipe(self.folder)

    def leads(self) -> int:
        """The epoch this machine leads, or 0."""
        if not isinstance(self.machine, CoreMachine) or self.life.dead or self.life.frozen:
            return 0
        core = self.node.warehouse.shell.core
        return core.epoch if core is not None and core.standing == "leader" else 0
