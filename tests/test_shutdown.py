"""A process that gets SIGTERM has ended by the end of its grace period, even if a thread or task hangs."""

import asyncio
import signal
import subprocess
import sys
import threading
from datetime import timedelta
from types import SimpleNamespace
from typing import Any
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals

from hoistsaddle.common.shutdown import GRACE_FRACTION, UNFINISHED_EXIT_CODE, ShutdownWatchdog
from hoistsaddle.sidecar.service import CLOSING_BOUND, CLOSING_SHARE, SidecarService
from stepped_clock import run_stepped, step

# A process whose main thread and second thread hang forever once it gets SIGTERM.
HANGING = """
import signal, threading
from datetime import timedelta
from hoistsaddle.common.shutdown import ShutdownWatchdog

never = threading.Event()
signal.signal(signal.SIGTERM, lambda *_: never.wait())
threading.Thread(target=never.wait).start()
ShutdownWatchdog(grace=lambda: timedelta(milliseconds=200)).watch()
print("up", flush=True)
signal.pause()
"""


class Watchdog(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.slept: list[float] = []
        self.exited = threading.Event()
        self.grace = timedelta(seconds=8)
        self.watchdog = ShutdownWatchdog(
            grace=lambda: self.grace, exit_process=self.exited.set, sleep=self.slept.append
        )

    def test_it_ends_the_process_shortly_before_the_grace_period_is_over(self) -> None:
        self.assertThat(self.exited.is_set(), Equals(False))
        self.watchdog.arm()
        self.assertThat((self.exited.wait(30), self.slept), Equals((True, [8 * GRACE_FRACTION])))

    def test_the_grace_period_is_read_when_the_signal_arrives(self) -> None:
        self.grace = timedelta(seconds=2)
        self.watchdog.arm()
        self.assertThat((self.exited.wait(30), self.slept), Equals((True, [2 * GRACE_FRACTION])))

    def test_a_second_signal_starts_no_second_countdown(self) -> None:
        self.watchdog.arm()
        self.exited.wait(30)
        self.watchdog.arm()
        self.assertThat(self.slept, Equals([8 * GRACE_FRACTION]))

    def test_the_signal_arms_it_and_still_stops_the_process(self) -> None:
        received: list[int] = []
        before = signal.signal(signal.SIGUSR2, lambda number, _: received.append(number))
        self.addCleanup(signal.signal, signal.SIGUSR2, before)
        self.watchdog.watch(signal.SIGUSR2)
        signal.raise_signal(signal.SIGUSR2)
        self.assertThat((self.exited.wait(30), received), Equals((True, [signal.SIGUSR2])))

    def test_the_signal_stops_the_process_although_no_thread_can_start(self) -> None:
        """Guards against a signal handler that raises where the system allows no more threads (issue 61)."""
        received: list[int] = []
        before = signal.signal(signal.SIGUSR2, lambda number, _: received.append(number))
        self.addCleanup(signal.signal, signal.SIGUSR2, before)
        self.watchdog.watch(signal.SIGUSR2)
        with mock.patch.object(threading.Thread, "start", side_effect=RuntimeError("can't start new thread")):
            signal.raise_signal(signal.SIGUSR2)
        self.assertThat(received, Equals([signal.SIGUSR2]))

    def test_a_graceful_shutdown_ends_before_the_watchdog_acts(self) -> None:
        self.assertThat(1 - CLOSING_SHARE + CLOSING_SHARE * CLOSING_BOUND < GRACE_FRACTION, Equals(True))

    def test_a_process_that_hangs_in_every_thread_still_ends(self) -> None:
        with subprocess.Popen(
            [sys.executable, "-c", HANGING], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        ) as process:
            self.assertThat(process.stdout.readline(), Equals("up\n"))
            process.terminate()
            # Only a process that hangs forever takes this long.
            _, error_output = process.communicate(timeout=120)
        self.assertThat(process.returncode, Equals(UNFINISHED_EXIT_CODE))
        self.assertThat(error_output, Contains("not finished within its grace"))


class GracefulStop(TestCase):
    def test_a_listener_that_never_closes_is_abandoned(self) -> None:
        closed: list[str] = []

        class Runner:
            sites: tuple = ()

            async def cleanup(self) -> None:
                await asyncio.Event().wait()

        async def wind_down(*, quiet: timedelta, most: timedelta) -> None:
            await asyncio.sleep(most.total_seconds())

        async def run() -> float:
            service: Any = SidecarService(settings=SimpleNamespace(name="s-1"))  # type: ignore[arg-type]
            service.node = SimpleNamespace(
                sidecar_settings=SimpleNamespace(grace_seconds=8.0), wind_down=wind_down, stop=closed.append
            )
            service.listener, service.admin_listeners = Runner(), [Runner()]
            began = asyncio.get_running_loop().time()
            stop = asyncio.ensure_future(service.stop())
            while not stop.done():
                await step(0.05)
            return asyncio.get_running_loop().time() - began

        took = run_stepped(run())
        self.assertThat(took < 8 * GRACE_FRACTION, Equals(True), str(took))
