"""The calling side of one connection: thrift's framed binary form over TCP, many calls in flight."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.rpc.framing import Traffic, encode_frame, read_frame, write_frame
from hoistsaddle.rpc.messages import PingCall

# The number of pings, which is no call's: the answer only shows that somebody is there.
PING_NUMBER = 0
# A connection that was silent for this part of the interval is pinged: the timer may be early by a little.
PING_AFTER = 0.9
# Of a call that is sent at a rate, so much is written at once: at least the bytes, or what goes in the time.
MIN_PIECE_BYTES = 4096
PIECE_DURATION = timedelta(milliseconds=20)
# A process that was late itself by so many intervals reads what came in meanwhile before it gives a connection up.
LATE_INTERVALS = 2


class KeepAlive(NamedTuple):
    """How a connection with calls under way is checked: pinged after an interval of silence, closed after a time-out.

    A machine without power says nothing. Without pings a call to it would wait out its whole budget. Bytes that the
    other side takes count as heard: on a thin link a ping stands behind large calls for longer than the time-out.
    """

    interval: timedelta
    timeout: timedelta


class Connection:
    """An open connection to another process, and the calls that wait on it."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        traffic: Traffic,
        keep_alive: KeepAlive | None = None,
    ) -> None:
        """Starts reading answers.

        Args:
            reader: The stream's reading side.
            writer: Its writing side.
            traffic: Counts what passes.
            keep_alive: How the connection is checked; not at all if not given.
        """
        self.writer = writer
        self.traffic = traffic
        self.keep_alive = keep_alive
        # The loop's time when the other side was heard last.
        self.heard_at = 0.0
        # Bytes written to the connection; how many of them had left this process at the last check, and whether others
        # waited here for the other side to take them.
        self.bytes_written = 0
        self.bytes_gone = 0
        self.bytes_waited = False
        # Held while a call is written in pieces: nothing may come between them.
        self._paced = asyncio.Lock()
        self.check_timer: asyncio.TimerHandle | None = None
        # Calls that wait for their answers, by number; None as the answer means that none will come.
        self.pending: dict[int, asyncio.Future] = {}
        self.closed = False
        self._task = asyncio.ensure_future(self._listen(reader))

    async def _listen(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                number, _, message, _ = await read_frame(reader, self.traffic)
                self.heard_at = asyncio.get_running_loop().time()
                future = self.pending.pop(number, None)
                if future is not None and not future.done():
                    future.set_result(message)
        except (OSError, asyncio.IncompleteReadError, ValueError, EOFError):
            pass
        finally:
            self.close()

    def write(self, *, number: int, message: tuple) -> None:
        """Writes one call."""
        self.bytes_written += write_frame(self.writer, self.traffic, number=number, answer=False, message=message)

    async def write_paced(self, *, number: int, message: tuple, rate: int) -> None:
        """Writes one call at no more than so many bytes a second. One that is interrupted ends the connection.

        Raises:
            OSError: The connection ended.
        """
        async with self._paced:
            loop = asyncio.get_running_loop()
            began = loop.time()
            octets = sum(len(field) for field in message if isinstance(field, bytes))
            frame = encode_frame(self.traffic, number=number, answer=False, message=message, sent=began + octets / rate)
            piece_bytes = max(MIN_PIECE_BYTES, round(rate * PIECE_DURATION.total_seconds()))
            try:
                for first in range(0, len(frame), piece_bytes):
                    if first:
                        await asyncio.sleep(began + first / rate - loop.time())
                    piece = frame[first : first + piece_bytes]
                    self.writer.write(piece)
                    self.bytes_written += len(piece)
                    await self.writer.drain()
            except BaseException:
                # Half a frame: nothing that follows could be read.
                self.close()
                raise

    # -- keep-alive --------------------------------------------------------------------------------------------------

    def start_checks(self) -> None:
        """Called with each call: a connection that nobody waits on needs no checks."""
        if self.keep_alive is not None and self.check_timer is None:
            self.heard_at = asyncio.get_running_loop().time()
            self._check_later(self.keep_alive)

    def _check_later(self, keep_alive: KeepAlive) -> None:
        loop = asyncio.get_running_loop()
        self.check_timer = loop.call_later(keep_alive.interval.total_seconds(), self._check, keep_alive)

    def _check(self, keep_alive: KeepAlive) -> None:
        self.check_timer = None
        if self.closed or not self.pending:
            return
        self._note_progress()
        now = asyncio.get_running_loop().time()
        silence = now - self.heard_at
        if silence >= (keep_alive.timeout + keep_alive.interval * LATE_INTERVALS).total_seconds():
            self.heard_at = now - (keep_alive.timeout - keep_alive.interval).total_seconds()
        elif silence >= keep_alive.timeout.total_seconds():
            self.close()
            return
        if silence >= keep_alive.interval.total_seconds() * PING_AFTER and not self._paced.locked():
            try:
                self.write(number=PING_NUMBER, message=PingCall(""))
            except OSError:
                self.close()
                return
        self._check_later(keep_alive)

    def _note_progress(self) -> None:
        """Counts bytes that waited here and went on since as heard: the other side takes them."""
        waiting = self.writer.transport.get_write_buffer_size()
        gone = self.bytes_written - waiting
        if (self.bytes_waited or self._paced.locked()) and gone > self.bytes_gone:
            self.heard_at = asyncio.get_running_loop().time()
        self.bytes_gone = gone
        self.bytes_waited = waiting > 0

    def close(self) -> None:
        """Closes the connection; the calls that wait on it get no answer."""
        self.closed = True
        self.writer.close()
        for future in self.pending.values():
            if not future.done():
                future.set_result(None)
        self.pending.clear()
        self._task.cancel()
