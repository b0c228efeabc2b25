"""Standard output and error of a program that runs for long: whoever reads them, or doesn't, can't stop the program.

A descriptor may be closed, full, non-blocking or broken. Lines are written by a thread, so that only this thread waits;
lines that can't be kept or written are lost and counted.
"""

import atexit
import io
import os
import sys
import threading
import time
from collections import deque

STANDARD_INPUT, STANDARD_OUTPUT, STANDARD_ERROR = 0, 1, 2
# The most bytes that wait for the descriptor of one stream.
MAX_WAITING_BYTES = 262144
# How long the end of a process waits for lines that are not written yet.
DRAIN_SECONDS = 0.1
# The delay before a descriptor that is non-blocking and full is tried again.
RETRY_SECONDS = 0.05


class ProcessOutput(io.TextIOBase):
    """A text stream over a descriptor; `write` never waits and never raises."""

    # Characters that it can't encode are escaped.
    encoding = "utf-8"

    def __init__(self, descriptor: int, *, max_waiting_bytes: int = MAX_WAITING_BYTES) -> None:
        """Starts no thread before the first line.

        Args:
            descriptor: The open descriptor that is written to.
            max_waiting_bytes: The most bytes that are kept until they are written.
        """
        super().__init__()
        self._descriptor = descriptor
        self._max_waiting_bytes = max_waiting_bytes
        # Reentrant, because a signal handler may write while the main thread does.
        self._changed = threading.Condition(threading.RLock())
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._thread: threading.Thread | None = None
        # Lines that were lost, in all and since this was last reported.
        self.lost_lines = 0
        self._unreported_lines = 0

    def fileno(self) -> int:
        """The descriptor."""
        return self._descriptor

    def isatty(self) -> bool:
        """Whether the descriptor is a terminal."""
        return os.isatty(self._descriptor)

    def writable(self) -> bool:
        """Always true."""
        return True

    def write(self, text: str) -> int:
        """Queues the text; if too much is waiting already, the text is lost."""
        data = text.encode(self.encoding, "backslashreplace")
        with self._changed:
            if self._waiting_bytes + len(data) > self._max_waiting_bytes or not self._has_thread():
                self._lose(data)
            else:
                self._waiting.append(data)
                self._waiting_bytes += len(data)
                self._changed.notify_all()
        return len(text)

    def drain(self, *, seconds: float = DRAIN_SECONDS) -> None:
        """Waits until everything is written, but no longer than this many seconds."""
        with self._changed:
            self._changed.wait_for(lambda: not self._waiting_bytes, timeout=seconds)

    def _has_thread(self) -> bool:
        if self._thread is not None:
            return True
        thread = threading.Thread(target=self._run, name=f"output {self._descriptor}", daemon=True)
        try:
            thread.start()
        except RuntimeError:
            # The system allows no more threads at present.
            return False
        self._thread = thread
        return True

    def _lose(self, data: bytes) -> None:
        lines = data.count(b"\n")
        self.lost_lines += lines
        self._unreported_lines += lines

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._waiting)
                data = b"".join(self._waiting)
                self._waiting.clear()
                lost_lines, self._unreported_lines = self._unreported_lines, 0
            if lost_lines:
                data = b"%d lines of output were lost: it was not read, or not writable\n%s" % (lost_lines, data)
            rest = self._write(data)
            with self._changed:
                if rest:
                    self._lose(rest)
                    self._unreported_lines += lost_lines
                self._waiting_bytes = sum(map(len, self._waiting))
                self._changed.notify_all()

    def _write(self, data: bytes) -> bytes:
        """Writes the data, waiting as long as that takes; returns what a broken descriptor didn't take."""
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                time.sleep(RETRY_SECONDS)
            except OSError:
                return data
        return b""


def open_closed_descriptors() -> None:
    """Opens standard descriptors that are closed on the null device, so that no file or socket takes their numbers."""
    for descriptor in (STANDARD_INPUT, STANDARD_OUTPUT, STANDARD_ERROR):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number is given, which is this descriptor.
            os.open(os.devnull, os.O_RDWR)


def protect_output() -> None:
    """Replaces `sys.stdout` and `sys.stderr` by streams that never wait; their last lines are written at the exit."""
    open_closed_descriptors()
    sys.stdout, sys.stderr = ProcessOutput(STANDARD_OUTPUT), ProcessOutput(STANDARD_ERROR)
    atexit.register(drain_output)


def drain_output() -> None:
    """Waits a moment for lines that are not written yet; for the end of a process."""
    for stream in (sys.stdout, sys.stderr):
        if isinstance(stream, ProcessOutput):
            stream.drain()


def lost_lines() -> int:
    """How many lines of this process's output were lost."""
    return sum(stream.lost_lines for stream in (sys.stdout, sys.stderr) if isinstance(stream, ProcessOutput))
