"""First starts of real processes that are killed, stopped, frozen and wiped before the mesh is bootstrapped."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import aiohttp
from returns.result import Success

from hoistsaddle.rpc.messages import StatusAnswer, StatusCall
from hoistsaddle.rpc.runtime import RealRuntime
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.history import ProgramFailed
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.scheduled_events import Freeze, Kill, RewriteSettings, ScheduledEvent, Stop
from hoistsaddle.testbed.emulator.site import Site
from hoistsaddle.testbed.soak.processes import as_process
from hoistsaddle.testbed.soak.soak import Soak

# Faults are injected within this many seconds of the start.
SPAN_SECONDS = 2.0
# Mean seconds between two faults of a series.
GAP_SECONDS = 0.5
# The range of the time between the end of a process and its next start.
DOWN_SECONDS = (0.05, 1.0)
FROZEN_SECONDS = (0.2, 5.0)
STATUS_TIMEOUT = timedelta(seconds=1)
# Ends a run that doesn't come up; not a bound on the time that a start may take.
RUN_TIMEOUT_SECONDS = 90.0
POLL_SECONDS = 0.2


class FirstStartReport(NamedTuple):
    """The results of one first start."""

    seed: int
    faults: tuple[ScheduledEvent, ...]
    # Seconds from the start until the first configuration was acknowledged, and until all sidecars were ready;
    # None if that did not happen.
    acknowledged: float | None
    ready: float | None
    # The mesh id that each controller reports; empty for one without a mesh or without an answer.
    meshes: dict[str, str]
    failures: tuple[str, ...]

    @property
    def is_one_mesh(self) -> bool:
        """Whether all controllers belong to one mesh."""
        return len(set(self.meshes.values())) == 1 and "" not in self.meshes.values()

    @property
    def succeeded(self) -> bool:
        """Whether the deployment came up as one mesh and no program failed."""
        came_up = self.acknowledged is not None and self.ready is not None
        return came_up and self.is_one_mesh and not self.failures


def draw_first_start(site: Site, *, seed: int) -> tuple[ScheduledEvent, ...]:
    """Draw overlapping faults of the first seconds; no more disks are lost than the site tolerates."""
    rng = random.Random(f"first start {seed}")
    core = tuple(machine.name for machine in site.core)
    everyone = (*core, *(machine.name for machine in site.sidecars))
    disks_left = site.losses
    events: list[ScheduledEvent] = []
    at = rng.uniform(0.0, 1.0)
    while at < SPAN_SECONDS:
        names = rng.choice((core[:1], core[:1], (rng.choice(core),), core, everyone))
        down_seconds = rng.uniform(*DOWN_SECONDS)
        kind = rng.choice(("kill", "kill", "stop", "freeze", "settings", "wipe" if disks_left else "kill"))
        match kind:
            case "kill":
                events.append(Kill(at, names, down_seconds))
            case "stop":
                events += [Stop(at, name, down_seconds) for name in names]
            case "freeze":
                events.append(Freeze(at, names, rng.uniform(*FROZEN_SECONDS)))
            case "settings":
                events.append(RewriteSettings(at))
            case "wipe":
                disks_left -= 1
                events.append(Kill(at, core[:1], down_seconds, power=True, wipe=True))
        at += rng.expovariate(1 / GAP_SECONDS)
    return tuple(events)


class FirstStart(Soak):
    """The first start of a site, until everything is up or the run times out."""

    async def run(self) -> FirstStartReport:
        """Start all machines, inject the day's faults, and wait until the deployment is up or has failed."""
        runtime = RealRuntime()
        self._start_machines()
        acknowledged: float | None = None
        ready: float | None = None
        meshes: dict[str, str] = {}
        configured = self.create_task(self._configure())
        while self.now() - self.began_at < RUN_TIMEOUT_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
            if configured.done() and acknowledged is None:
                acknowledged = self.now() - self.began_at
            sidecars = [as_process(self.processes[name]) for name in self.machines]
            all_ready = all(await asyncio.gather(*(process.ready() for process in sidecars)))
            ready = self.now() - self.began_at if all_ready else None
            meshes = await self._meshes(runtime)
            report = self._report(acknowledged, ready, meshes)
            if report.succeeded or report.failures:
                break
        runtime.rpc_client.close()
        return self._report(acknowledged, ready, meshes)

    def _report(self, acknowledged: float | None, ready: float | None, meshes: dict[str, str]) -> FirstStartReport:
        failures = tuple(str(event) for event in self.history.of(ProgramFailed))
        return FirstStartReport(self.day.seed, self.day.first_start, acknowledged, ready, meshes, failures)

    async def _configure(self) -> None:
        while not await self.operators.first_configuration():
            await asyncio.sleep(POLL_SECONDS)

    async def _meshes(self, runtime: RealRuntime) -> dict[str, str]:
        port = adapter("samples").PORTS[0] + 1
        call = StatusCall("first-start")
        answers = await asyncio.gather(
            *(
                runtime.rpc_client.call(f"{machine.host}:{port}", call, within=STATUS_TIMEOUT)
                for machine in self.day.site.core
            )
        )
        meshes = {}
        for machine, answer in zip(self.day.site.core, answers, strict=True):
            match answer:
                case Success(StatusAnswer(mesh=mesh)):
                    meshes[machine.name] = mesh
                case _:
                    meshes[machine.name] = ""
        return meshes


async def run_first_start(
    day: Day, *, folder: Path, write_line: Callable[[str], None] = lambda line: None
) -> FirstStartReport:
    """Run one first start on real processes; all processes are ended afterwards.

    Args:
        day: a day for a site on loopback addresses; only the faults in its `first_start` are injected.
        folder: holds settings, data and logs.
        write_line: receives progress messages.
    """
    async with aiohttp.ClientSession() as session:
        run = FirstStart(day=day, folder=folder, session=session)
        try:
            write_line(f"seed {day.seed}: {len(day.first_start)} faults; logs in {folder}")
            return await run.run()
        finally:
            await run.end()
