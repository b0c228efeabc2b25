"""A process that is asked to stop has ended by the end of its grace period, whatever hangs."""

import asyncio
import signal
import subprocess
import sys
import threading
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from testtools import TestCase
from testtools.matchers import Contains, Equals

from hoistsaddle.common.shutdown import GRACE_FRACTION, UNFINISHED_EXIT_CODE, ShutdownWatchdog
from hoistsaddle.sidecar.service import CLOSING_BOUND, CLOSING_SHARE, SidecarService
from stepped_clock import run_stepped, step

# A process whose main thread and a second one hang for ever once it is asked to stop.
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
        self.left = threading.Event()
        self.grace = timedelta(seconds=8)
        self.last = ShutdownWatchdog(grace=lambda: self.grace, exit_process=self.left.set, sleep=self.slept.append)

    def test_it_ends_the_process_shortly_before_its_grace_does(self) -> None:
        self.assertThat(self.left.is_set(), Equals(False))
        self.last.arm()
        self.assertThat((self.left.wait(30), self.slept), Equals((True, [8 * GRACE_FRACTION])))

    def test_the_grace_is_what_the_settings_say_when_the_signal_comes(self) -> None:
        self.grace = timedelta(seconds=2)
        self.last.arm()
        self.assertThat((self.left.wait(30), self.slept), Equals((True, [2 * GRACE_FRACTION])))

    def test_a_second_signal_starts_no_second_count(self) -> None:
        self.last.arm()
        self.left.wait(30)
        self.last.arm()
        self.assertThat(self.slept, Equals([8 * GRACE_FRACTION]))

    def test_the_signal_arms_it_and_still_stops_the_process(self) -> None:
        received: list[int] = []
        before = signal.signal(signal.SIGUSR2, lambda number, _: received.append(number))
        self.addCleanup(signal.signal, signal.SIGUSR2, before)
        self.last.watch(signal.SIGUSR2)
        signal.raise_signal(signal.SIGUSR2)
        self.assertThat((self.left.wait(30), received), Equals((True, [signal.SIGUSR2])))

    def test_an_orderly_stop_is_over_before_it(self) -> None:
        self.assertThat(1 - CLOSING_SHARE + CLOSING_SHARE * CLOSING_BOUND < GRACE_FRACTION, Equals(True))

    def test_a_process_that_hangs_in_every_thread_ends_all_the_same(self) -> None:
        with subprocess.Popen(
            [sys.executable, "-c", HANGING], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        ) as process:
            self.assertThat(process.stdout.readline(), Equals("up\n"))
            process.terminate()
            # Only a process that would hang for ever takes this long.
            _, said = process.communicate(timeout=120)
        self.assertThat(process.returncode, Equals(UNFINISHED_EXIT_CODE))
        self.assertThat(said, Contains("not finished within its grace"))


class GracefulStop(TestCase):
    def test_a_handler_that_never_closes_is_left(self) -> None:
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
