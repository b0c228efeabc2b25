"""The real processes of a soak: sidecars and controllers as they are deployed, with settings file and adapter."""

import asyncio
import os
import shutil
import signal
import sys
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from hoistsaddle.testbed.emulator.environment import Environment
from hoistsaddle.testbed.emulator.history import ProcessStarted
from hoistsaddle.testbed.emulator.machines import encode_settings
from hoistsaddle.testbed.emulator.platform_adapter import FOLDER, adapter
from hoistsaddle.testbed.emulator.site import BOUNDS, CoreMachine, SidecarMachine

READY_TIMEOUT_SECONDS = 1.0
# The deploy file's launcher; started where nothing is built for it, it finds the inpauseed packages.
LAUNCHER = FOLDER.parent / "run.py"
# The platform kills what is still there this long after its grace.
KILL_SLACK_SECONDS = 0.5


class Usage(NamedTuple):
    """What one process used at a time."""

    at: float
    name: str
    memory: int
    descriptors: int


class RealProcess:
    """One process of a machine's program, with the interface that the emulator's faults need."""

    def __init__(
        self,
        *,
        environment: Environment,
        machine: CoreMachine | SidecarMachine,
        number: int,
        folder: Path,
        session: aiohttp.ClientSession,
        older: Path | None = None,
    ) -> None:
        """Write nothing and start nothing yet; `older` is a built checkout of a former release, to run that."""
        self.environment = environment
        self.machine = machine
        self.number = number
        self.service = machine.service if isinstance(machine, SidecarMachine) else ""
        self._folder = folder
        self._session = session
        self._older = older
        self._process: asyncio.subprocess.Process | None = None
        self.ended: asyncio.Future = environment.loop.create_future()
        self.frozen = False
        # Whether the end that comes was asked for.
        self.end_wanted = False
        self.powered_off = False
        environment.history.add(ProcessStarted(environment.now(), machine.name, self.service, number))

    # -- what the emulator's fault injector reads and does -----------------------------------------------------------

    @property
    def simulated(self) -> "RealProcess":
        """The process itself: it has no simulated part."""
        return self

    @property
    def dead(self) -> bool:
        """Whether the process has ended."""
        return self.ended.done()

    @property
    def was_started(self) -> bool:
        """Whether there is, or was, a process."""
        return self._process is not None

    @property
    def open(self) -> bool:
        """Whether it may be called."""
        return not self.dead

    @property
    def data_folder(self) -> Path:
        """A controller's data."""
        return self._folder / f"data-{self.machine.name}"

    @property
    def log_file(self) -> Path:
        """Where its output goes; further processes of the machine add to it."""
        return self._folder / f"{self.machine.name}.log"

    def start(self, *, cold: bool) -> None:
        """Start the program in the background."""
        self.environment.create_task(self._run(cold=cold))

    def freeze(self) -> None:
        """SIGSTOP."""
        self.frozen = True
        self._signal(signal.SIGSTOP)

    def wake(self) -> None:
        """SIGCONT."""
        self._signal(signal.SIGCONT)
        self.frozen = False

    def rewrite_settings(self) -> None:
        """Write the settings file anew, and tell the process with SIGHUP."""
        self._write_settings(cold=False)
        if self._handles(signal.SIGHUP):
            self._signal(signal.SIGHUP)

    async def wind_down(self) -> None:
        """SIGTERM, and wait as long as the platform does; what is still there then is killed, which is a failure."""
        self.end_wanted = True
        self._signal(signal.SIGTERM)
        await asyncio.wait({self.ended}, timeout=BOUNDS["grace_s"] + KILL_SLACK_SECONDS)
        if not self.dead:
            self.environment.record_failure(f"{self.machine.name} was still there after its grace")

    def kill(self, *, power: bool = False) -> None:
        """SIGKILL. Real disks keep what was written, so a loss of power is a kill here."""
        self.end_wanted = True
        self._signal(signal.SIGKILL)

    def wipe(self) -> None:
        """Empty the data folder of a process that was killed."""
        shutil.rmtree(self.data_folder, ignore_errors=True)

    def reset(self, share: float) -> None:
        """Connections aren't reset here: they end with their processes."""

    def led_epoch(self) -> int:
        """Who leads is not looked up in real processes."""
        return 0

    async def ready(self) -> bool:
        """What the platform's readiness check says."""
        samples = adapter("samples")
        url = f"http://{self.machine.host}:{samples.READINESS}{adapter('handlers').READY_PATH}"
        try:
            async with self._session.get(url, timeout=aiohttp.ClientTimeout(total=READY_TIMEOUT_SECONDS)) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    # -- the process -------------------------------------------------------------------------------------------------

    def _write_settings(self, *, cold: bool) -> Path:
        path = self._folder / f"{self.machine.name}.json"
        path.write_bytes(encode_settings(self.environment, self.machine, folder=self.data_folder, cold=cold))
        return path

    async def _run(self, *, cold: bool) -> None:
        role = "controller" if isinstance(self.machine, CoreMachine) else "sidecar"
        settings = {adapter("headers").SETTINGS_VARIABLE: str(self._write_settings(cold=cold))}
        environment = {**os.environ, **settings}
        with self.log_file.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(LAUNCHER if self._older is None else self._older / "platform" / "run.py"),
                role,
                env=environment,
                # Where the launcher looks for what was built: nowhere for the present sources.
                cwd=self._older or self._folder,
                stdout=log,
                stderr=log,
            )
        if self.end_wanted:
            self._process.kill()
        code = await self._process.wait()
        if not self.end_wanted:
            self.environment.record_failure(f"{self.machine.name} ended by itself with {code}")
        if not self.ended.done():
            self.ended.set_result(None)

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def _handles(self, number: signal.Signals) -> bool:
        """Whether the process ignores or catches a signal: no program does before its first line has run."""
        if self._process is None:
            return False
        try:
            status = (Path("/proc") / str(self._process.pid) / "status").read_text()
        except OSError:
            return False
        masks = [int(line.split()[1], 16) for line in status.splitlines() if line.startswith(("SigIgn", "SigCgt"))]
        return any(mask >> (number - 1) & 1 for mask in masks)

    def usage(self) -> Usage | None:
        """Return what the process uses now; None if it has ended."""
        if self._process is None or self.dead:
            return None
        place = Path("/proc") / str(self._process.pid)
        try:
            pages = int((place / "statm").read_text().split()[1])
            descriptors = len(os.listdir(place / "fd"))
        except (OSError, IndexError):
            return None
        return Usage(self.environment.now(), self.machine.name, pages * os.sysconf("SC_PAGE_SIZE"), descriptors)


def as_process(process: Any) -> RealProcess:
    """The soak's processes are all of this kind."""
    assert isinstance(process, RealProcess)
    return process
