"""Single processes of the deploy file's roles, started by the launcher as the platform does it."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.testbed.emulator.platform_adapter import adapter

LAUNCHER = Path(__file__).parent.parent / "platform" / "run.py"
ROLES = ("controller", "sidecar")
# A separate address for each test process, since several may run at the same time.
HOST = f"127.{20 + os.getpid() % 200}.81.1"
# Only limits a test that hangs.
MAX_SECONDS = 60.0


class PlatformProcesses(TestCase):
    """Starts processes, and ends them after each test."""

    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)

    def settings(self, role: str) -> bytes:
        samples = adapter("samples")
        return samples.settings(
            node="one",
            host=HOST,
            zone="a",
            seeds=[HOST],
            cold_start=True,
            losses=0,
            bounds={"grace_s": 6},
            folder=str(self.folder / "data") if role == "controller" else None,
            service="s" if role == "sidecar" else "",
            server=f"{HOST}:8301",
        )

    def start(self, role: str, settings: bytes, **options: Any) -> tuple[subprocess.Popen, Path]:
        """Starts a process with this settings file; `options` are those of Popen, if they differ."""
        path, log = self.folder / "boot.json", self.folder / f"{role}.log"
        path.write_bytes(settings)
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, str(LAUNCHER), role],
                env={**os.environ, adapter("headers").SETTINGS_VARIABLE: str(path)},
                cwd=self.folder,
                **{"stdout": output, "stderr": output, **options},
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process, log

    def wait_for(self, process: subprocess.Popen, log: Path, text: str, *, count: int = 1) -> None:
        end = time.monotonic() + MAX_SECONDS
        while log.read_text().count(text) < count and process.poll() is None and time.monotonic() < end:
            time.sleep(0.02)
        found = log.read_text().count(text) >= count
        self.assertThat((process.poll(), found), Equals((None, True)), log.read_text()[-2000:])

    def wait_until_it_accepts(self, process: subprocess.Popen, what: str) -> None:
        control = adapter("samples").CONTROL
        end = time.monotonic() + MAX_SECONDS
        while not self.accepts(control) and process.poll() is None and time.monotonic() < end:
            time.sleep(0.02)
        self.assertThat((process.poll(), self.accepts(control)), Equals((None, True)), what)

    def check_that_it_starts(self, process: subprocess.Popen, what: str) -> None:
        self.wait_until_it_accepts(process, what)
        process.send_signal(signal.SIGTERM)
        self.assertThat(process.wait(MAX_SECONDS), Equals(0), what)

    def accepts(self, port: int) -> bool:
        with socket.socket() as client:
            return client.connect_ex((HOST, port)) == 0
