"""The first steps of a program, before its modules are loaded; this module loads little itself."""

import os
import signal
import sys
from types import FrameType
from typing import NoReturn

from hoistsaddle.common.process_output import drain_output, protect_output

# The signals that ask a program to stop.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Signals whose default action ends a process, and that a platform or an operator sends for other reasons.
IGNORED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)


def prepare_process() -> None:
    """Makes output and signals safe: from here on only a signal to stop ends the process, with status 0."""
    for number in IGNORED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    protect_output()
    for number in STOP_SIGNALS:
        signal.signal(number, _stop_before_start)


def ignore_signals() -> None:
    """Ignores all signals that a process can ignore here; for the last steps of an end that is under way."""
    for number in (*STOP_SIGNALS, *IGNORED_SIGNALS):
        signal.signal(number, signal.SIG_IGN)


def _stop_before_start(number: int, frame: FrameType | None) -> NoReturn:
    """Ends a process that has opened nothing yet, without an exception that could be lost in what it interrupts."""
    end_process(f"stopped by {signal.Signals(number).name} before the program started")


def end_process(reason: str, *, status: int = 0) -> NoReturn:
    """Ends the process at once, whatever its threads and tasks are doing, and reports why."""
    print(f"hoistsaddle: {reason}", file=sys.stderr)
    drain_output()
    os._exit(status)
