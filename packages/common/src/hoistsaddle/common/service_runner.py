"""Runs the service of a program until a signal asks it to stop, at whatever moment that signal and others arrive."""

import asyncio
import contextlib
import errno
import functools
import os
import signal
from collections.abc import Callable
from datetime import timedelta
from types import FrameType
from typing import NoReturn

from aiomisc import Service, entrypoint
from loguru import logger

from hoistsaddle.common.errors import InvalidSettings, MeshError
from hoistsaddle.common.process_output import lost_lines
from hoistsaddle.common.process_start import STOP_SIGNALS, end_process, ignore_signals
from hoistsaddle.common.shutdown import ShutdownWatchdog

# Errors of a listening address; other errors of the system at a start concern the data folder.
ADDRESS_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)


class StartRefused(Exception):
    """A program can't start; the error says what to change."""

    def __init__(self, error: MeshError) -> None:
        """Keeps the error."""
        super().__init__(str(error))
        self.error = error


def handle_in_loop(number: signal.Signals, callback: Callable[[], None]) -> None:
    """Calls back in the running event loop whenever the signal arrives; once the loop is closed, nothing happens.

    The loop's own handlers are not used: closing the loop gives their signals the default action again.
    """
    loop = asyncio.get_running_loop()

    def forward(signal_number: int, frame: FrameType | None) -> None:
        with contextlib.suppress(RuntimeError):
            loop.call_soon_threadsafe(callback)

    signal.signal(number, forward)


class ServiceRunner:
    """Starts a service, waits for SIGTERM or SIGINT, and stops the service; later signals change nothing."""

    def __init__(self, *, service: Service, grace: Callable[[], timedelta], pool_size: int | None = None) -> None:
        """Starts nothing.

        Args:
            service: The service. If its start is cancelled, it releases what it has opened.
            grace: Returns the longest time that a shutdown may take.
            pool_size: The number of threads of the loop's executor; None for the library's default.
        """
        self._service = service
        self._grace = grace
        self._pool_size = pool_size

    def run(self) -> None:
        """Runs the service.

        Raises:
            StartRefused: The system refuses an address or the data folder.
        """
        # Signals are handled here from the first moment on. The library would restore their default action as soon as
        # it begins to stop.
        program = entrypoint(self._service, log_config=False, pool_size=self._pool_size, catch_signals=())
        loop = program.loop
        stopping = loop.run_until_complete(self._handle_signals())
        if not loop.run_until_complete(self._start(program, stopping)):
            end_process("stopped while it was starting")
        loop.run_until_complete(stopping.wait())
        program.__exit__(None, None, None)
        ignore_signals()
        logger.info("stopped; {} lines of output were lost", lost_lines())

    async def _handle_signals(self) -> asyncio.Event:
        stopping = asyncio.Event()
        watchdog = ShutdownWatchdog(grace=self._grace)
        for number in STOP_SIGNALS:
            handle_in_loop(number, functools.partial(_request_stop, stopping, number))
            watchdog.watch(number)
        # A log in which this is not followed by the end's line is that of a process which was killed or has crashed.
        logger.info("starting as process {}", os.getpid())
        return stopping

    async def _start(self, program: entrypoint, stopping: asyncio.Event) -> bool:
        """Starts the service; returns false if it was asked to stop before it was up."""
        start = asyncio.ensure_future(program.__aenter__())
        stop = asyncio.ensure_future(stopping.wait())
        await asyncio.wait((start, stop), return_when=asyncio.FIRST_COMPLETED)
        stop.cancel()
        if not start.done():
            start.cancel()
        try:
            await start
        except asyncio.CancelledError:
            return False
        except OSError as problem:
            _refuse(problem)
        return True


def _request_stop(stopping: asyncio.Event, number: signal.Signals) -> None:
    if not stopping.is_set():
        logger.info("stopping on {}", number.name)
        stopping.set()


def _refuse(problem: OSError) -> NoReturn:
    error = InvalidSettings(
        f"The program can't start: {problem}.",
        field="listen" if problem.errno in ADDRESS_ERRORS else "data_folder",
        remedy="Free the address or repair the data folder, or give another one in the settings.",
    )
    raise StartRefused(error) from problem
