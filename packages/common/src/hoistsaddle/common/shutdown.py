"""The end of a process that was told to stop: by its own means within its grace period, or else by a watchdog."""

import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from types import FrameType

from loguru import logger

# The fraction of the grace period after which it acts: the signal may have come late, and ending takes a while.
GRACE_FRACTION = 0.97
# The exit status of a stop that did not finish by itself.
UNFINISHED_EXIT_CODE = 1


def _exit_process() -> None:
    """Ends the process whatever its other threads do: one may hang in a call to a disk that answers nothing."""
    logger.error("the stop was not finished within its grace: something still waited, the process ends all the same")
    sys.stderr.flush()
    os._exit(UNFINISHED_EXIT_CODE)


class ShutdownWatchdog:
    """Ends a process that is still there shortly before its grace period is over.

    Whatever a stop waits for, a task, a thread, a closing file: the platform kills the process at the end of its grace
    period, and a process that ends by itself has at least logged it. Each step of a stop has time-outs of its own.
    """

    def __init__(
        self,
        *,
        grace: Callable[[], timedelta],
        exit_process: Callable[[], None] = _exit_process,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Not armed yet.

        Args:
            grace: Gives the grace period when the stop begins.
            exit_process: Ends the process.
            sleep: Waits for a number of seconds.
        """
        self.grace = grace
        self.exit_process = exit_process
        self.sleep = sleep
        self.armed = False

    def arm(self) -> None:
        """Begins to count down. A second call changes nothing."""
        if self.armed:
            return
        self.armed = True
        threading.Thread(target=self._wait, name="last resort", daemon=True).start()

    def _wait(self) -> None:
        self.sleep(self.grace().total_seconds() * GRACE_FRACTION)
        self.exit_process()

    def watch(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Arms itself with the signal that stops the process, before whoever handles the signal so far."""
        previous_handler = signal.getsignal(number)

        def stopped(signal_number: int, frame: FrameType | None) -> None:
            self.arm()
            if callable(previous_handler):
                previous_handler(signal_number, frame)

        signal.signal(number, stopped)
