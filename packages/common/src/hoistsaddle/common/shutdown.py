"""A watchdog that ends a process whose graceful shutdown does not finish within the grace period."""

import contextlib
import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from types import FrameType

from loguru import logger

from hoistsaddle.common.process_output import drain_output

# The fraction of the grace period after which the watchdog acts: the signal may have arrived late, and exiting takes
# some time.
GRACE_FRACTION = 0.97
# The exit status after a shutdown that did not finish in time.
UNFINISHED_EXIT_CODE = 1


def _exit_process() -> None:
    """Ends the process regardless of its other threads: one may hang in a call to a disk that doesn't respond."""
    logger.error(
        "the shutdown was not finished within its grace period: exiting although some task or thread is still waiting"
    )
    sys.stderr.flush()
    drain_output()
    os._exit(UNFINISHED_EXIT_CODE)


class ShutdownWatchdog:
    """Ends a process that is still running shortly before the end of its grace period.

    A shutdown may hang in a task, a thread or a file that is being closed, although each of its steps has a timeout.
    The platform kills the process at the end of the grace period; a process that exits before that can log the failure.
    """

    def __init__(
        self,
        *,
        grace: Callable[[], timedelta],
        exit_process: Callable[[], None] = _exit_process,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Starts unarmed.

        Args:
            grace: Returns the grace period; called when the shutdown begins.
            exit_process: Ends the process.
            sleep: Waits for a number of seconds.
        """
        self.grace = grace
        self.exit_process = exit_process
        self.sleep = sleep
        self.armed = False

    def arm(self) -> None:
        """Starts the countdown; has no effect if it is already running."""
        if self.armed:
            return
        self.armed = True
        # Called by a signal handler, so that an error would be raised in whatever the signal interrupts.
        with contextlib.suppress(RuntimeError):
            threading.Thread(target=self._wait, name="last resort", daemon=True).start()

    def _wait(self) -> None:
        self.sleep(self.grace().total_seconds() * GRACE_FRACTION)
        self.exit_process()

    def watch(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Arms the watchdog on the signal that stops the process, then calls the previous handler of that signal."""
        previous_handler = signal.getsignal(number)

        def arm_and_forward(signal_number: int, frame: FrameType | None) -> None:
            self.arm()
            if callable(previous_handler):
                previous_handler(signal_number, frame)

        signal.signal(number, arm_and_forward)
