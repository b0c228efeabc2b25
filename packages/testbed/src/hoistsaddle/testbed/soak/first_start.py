"""First starts of real processes that are killed, stopped, frozen and wiped before anything is founded."""

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

# The faults of a first start come within so many seconds of it.
SPAN_SECONDS = 2.0
# Mean seconds between two faults of a series.
GAP_SECONDS = 0.5
# From an end to the next start, at the least and at the most.
DOWN_SECONDS = (0.05, 1.0)
FROZEN_SECONDS = (0.2, 5.0)
STATUS_TIMEOUT = timedelta(seconds=1)
# Only ends a run that would never come up: no bound that is judged.
PATIENCE_SECONDS = 90.0
POLL_SECONDS = 0.2


class FirstStartReport(NamedTuple):
    """What became of one first start."""

    seed: int
    faults: tuple[ScheduledEvent, ...]
    # Seconds from the start to the acknowledgement of the first configuration and to the last sidecar that was ready;
    # None where it didn't come about.
    acknowledged: float | None
    ready: float | None
    # The mesh that each controller says it belongs to; empty for a blank one.
    meshes: dict[str, str]
    failures: tuple[str, ...]

    @property
    def founded_once(self) -> bool:
        """Whether all controllers belong to one mesh."""
        return len(set(self.meshes.values())) == 1 and "" not in self.meshes.values()

    @property
    def held(self) -> bool:
        """Whether the deployment came up, as one mesh, and no program failed."""
        came_up = self.acknowledged is not None and self.ready is not None
        return came_up and self.founded_once and not self.failures


def draw_first_start(site: Site, *, seed: int) -> tuple[ScheduledEvent, ...]:
    """Draw a series of faults that overlap within the first seconds; no more disks are lost than may be."""
    rng = random.Random(f"first start {seed}")
    core = tuple(machine.name for machine in site.core)
    everyone = (*core, *(machine.name for machine in site.sidecars))
    disks_left = site.losses
    events: list[ScheduledEvent] = []
    at = rng.uniform(0.0, 1.0)
    while at < SPAN_SECONDS:
        names = rng.choice((core[:1], core[:1], (rng.choice(core),), core, everyone))
        down = rng.uniform(*DOWN_SECONDS)
        kind = rng.choice(("kill", "kill", "stop", "freeze", "settings", "wipe" if disks_left else "kill"))
        match kind:
            case "kill":
                events.append(Kill(at, names, down))
            case "stop":
                events += [Stop(at, name, down) for name in names]
            case "freeze":
                events.append(Freeze(at, names, rng.uniform(*FROZEN_SECONDS)))
            case "settings":
                events.append(RewriteSettings(at))
            case "wipe":
                disks_left -= 1
                events.append(Kill(at, core[:1], down, power=True, wipe=True))
        at += rng.expovariate(1 / GAP_SECONDS)
    return tuple(events)


class FirstStart(Soak):
    """The first start of a site, until everything is up or the patience is over."""

    async def run(self) -> FirstStartReport:
        """Start everything, let the day's faults strike, and wait."""
        runtime = RealRuntime()
        self._start_machines()
        acknowledged: float | None = None
        ready: float | None = None
        meshes: dict[str, str] = {}
        configured = self.create_task(self._configure())
        while self.now() - self.began_at < PATIENCE_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
            if configured.done() and acknowledged is None:
                acknowledged = self.now() - self.began_at
            sidecars = [as_process(self.processes[name]) for name in self.machines]
            all_ready = all(await asyncio.gather(*(process.ready() for process in sidecars)))
            ready = self.now() - self.began_at if all_ready else None
            meshes = await self._meshes(runtime)
            report = self._report(acknowledged, ready, meshes)
            if report.held or report.failures:
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
        found = {}
        for machine, answer in zip(self.day.site.core, answers, strict=True):
            match answer:
                case Success(StatusAnswer(mesh=mesh)):
                    found[machine.name] = mesh
                case _:
                    found[machine.name] = ""
        return found


async def run_first_start(
    day: Day, *, folder: Path, write_line: Callable[[str], None] = lambda line: None
) -> FirstStartReport:
    """Play one first start on real processes; nothing is left behind.

    Args:
        day: drawn for a site on loopback addresses; only its `first_start` is played.
        folder: of settings, data and logs.
        write_line: takes progress for people.
    """
    async with aiohttp.ClientSession() as session:
        run = FirstStart(day=day, folder=folder, session=session)
        try:
            write_line(f"seed {day.seed}: {len(day.first_start)} faults; logs in {folder}")
            return await run.run()
        finally:
            await run.end()
