"""The end of a process that was told to stop: by its own means in its grace, or else by the last resort."""

import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from types import FrameType

from loguru import logger

# The share of the grace after which it acts: the signal may have waited for the processor, and ending takes a while.
GRACE_FRACTION = 0.97
# What a supervisor is told of a stop that did not finish by itself.
UNFINISHED_EXIT_CODE = 1


def _exit_process() -> None:
    """Ends the process whatever its other threads do: one may hang in a call to a disk that answers nothing."""
    logger.error("the stop was not finished within its grace: something still waited, the process ends all the same")
    sys.stderr.flush()
    os._exit(UNFINISHED_EXIT_CODE)


class ShutdownWatchdog:
    """Ends a process that still is there shortly before its grace is over.

    Whatever a stop waits for, a task, a thread, a closing file: the platform kills the process at the end of its
    grace, and what ends by itself has at least said so. It stands beside the bounds of each step, not in their place.
    """

    def __init__(
        self,
        *,
        grace: Callable[[], timedelta],
        exit_process: Callable[[], None] = _exit_process,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.grace = grace
        self.exit_process = exit_process
        self.sleep = sleep
        self.armed = False

    def arm(self) -> None:
        """Begins to count. A second signal changes nothing."""
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
