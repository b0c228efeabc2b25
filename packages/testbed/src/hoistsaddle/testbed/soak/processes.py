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
# The launcher of the deploy file; without built libraries it imports the installed packages.
LAUNCHER = FOLDER.parent / "run.py"
# The platform kills a process that is still running this long after its grace period.
KILL_SLACK_SECONDS = 0.5
# The interval between the signals to a process that is stopping.
REPEATED_SIGNAL_SECONDS = 0.25


class Usage(NamedTuple):
    """Resident memory in bytes and open descriptors of one process at one time."""

    at: float
    name: str
    memory: int
    descriptors: int


class RealProcess:
    """One process of a machine's program, with the interface that the emulator's fault injector needs."""

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
        """Record the start; `start` starts the process. `older` is a built checkout of a former release to run."""
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
        # Whether the soak stopped or killed the process.
        self.end_requested = False
        # Whether only its own end after a signal to stop may end the process now.
        self._must_end_in_order = False
        self.powered_off = False
        environment.history.add(ProcessStarted(environment.now(), machine.name, self.service, number))

    # -- interface of the emulator's fault injector -------------------------------------------------------------------

    @property
    def simulated(self) -> "RealProcess":
        """The process itself: there is no simulated process."""
        return self

    @property
    def dead(self) -> bool:
        """Whether the process has ended."""
        return self.ended.done()

    @property
    def was_started(self) -> bool:
        """Whether the operating system's process was started."""
        return self._process is not None

    @property
    def open(self) -> bool:
        """Whether the process can be called."""
        return not self.dead

    @property
    def data_folder(self) -> Path:
        """The data folder of a controller."""
        return self._folder / f"data-{self.machine.name}"

    @property
    def log_file(self) -> Path:
        """The log of the process; later processes of the machine append to it."""
        return self._folder / f"{self.machine.name}.log"

    def start(self, *, cold: bool) -> None:
        """Start the program in the background."""
        self.environment.create_task(self._run(cold=cold))

    def freeze(self) -> None:
        """Send SIGSTOP."""
        self.frozen = True
        self._signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Send SIGCONT."""
        self._signal(signal.SIGCONT)
        self.frozen = False

    def rewrite_settings(self) -> None:
        """Rewrite the settings file and send SIGHUP, if the process handles it already."""
        self._write_settings(cold=False)
        if self._handles(signal.SIGHUP):
            self._signal(signal.SIGHUP)

    async def wind_down(self) -> None:
        """Send SIGTERM and wait as long as the platform does; record a failure if the process still runs then.

        Further signals follow until the process has ended, and must not end it sooner.
        """
        self.end_requested = True
        self._must_end_in_order = self._handles(signal.SIGTERM)
        self._signal(signal.SIGTERM)
        deadline = self.environment.now() + BOUNDS["grace_s"] + KILL_SLACK_SECONDS
        while not self.dead and self.environment.now() < deadline:
            await asyncio.wait({self.ended}, timeout=REPEATED_SIGNAL_SECONDS)
            if self._must_end_in_order:
                self._signal(signal.SIGTERM)
                self._signal(signal.SIGHUP)
        if not self.dead:
            self.environment.record_failure(f"{self.machine.name} was still running after its grace period")

    def kill(self, *, power: bool = False) -> None:
        """Send SIGKILL; a loss of power is the same here, because real disks keep what was written."""
        self.end_requested = True
        self._must_end_in_order = False
        self._signal(signal.SIGKILL)

    def wipe(self) -> None:
        """Remove the data folder of a killed process."""
        shutil.rmtree(self.data_folder, ignore_errors=True)

    def reset(self, share: float) -> None:
        """Do nothing: real connections end with their processes."""

    def led_epoch(self) -> int:
        """Return 0: the leader of real processes is not determined."""
        return 0

    async def ready(self) -> bool:
        """Whether the platform's readiness check succeeds."""
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
                # The launcher looks for built libraries here; for the present sources there are none.
                cwd=self._older or self._folder,
                stdout=log,
                stderr=log,
            )
        if self.end_requested:
            self._process.kill()
        code = await self._process.wait()
        if not self.end_requested:
            self.environment.record_failure(f"{self.machine.name} ended by itself with {code}")
        elif self._must_end_in_order and code < 0:
            self.environment.record_failure(f"{self.machine.name} was ended by signal {-code} while it stopped")
        if not self.ended.done():
            self.ended.set_result(None)

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def _handles(self, number: signal.Signals) -> bool:
        """Whether the process ignores or catches a signal; a program that just started does neither yet."""
        if self._process is None:
            return False
        try:
            status = (Path("/proc") / str(self._process.pid) / "status").read_text()
        except OSError:
            return False
        masks = [int(line.split()[1], 16) for line in status.splitlines() if line.startswith(("SigIgn", "SigCgt"))]
        return any(mask >> (number - 1) & 1 for mask in masks)

    def usage(self) -> Usage | None:
        """Return the present usage of the process; None if it has ended."""
        if self._process is None or self.dead:
            return None
        proc = Path("/proc") / str(self._process.pid)
        try:
            pages = int((proc / "statm").read_text().split()[1])
            descriptors = len(os.listdir(proc / "fd"))
        except (OSError, IndexError):
            return None
        return Usage(self.environment.now(), self.machine.name, pages * os.sysconf("SC_PAGE_SIZE"), descriptors)


def as_process(process: Any) -> RealProcess:
    """Narrow the type: all processes of a soak are of this class."""
    assert isinstance(process, RealProcess)
    return process
