"""The client side of one connection: Thrift's binary protocol in frames over TCP, with many calls in flight."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.connection_writes import write_or_raise
from hoistsaddle.common.work_turns import WorkTurns
from hoistsaddle.rpc.codec import bytes_in
from hoistsaddle.rpc.frame_turns import FrameTurns, make_frame_turns
from hoistsaddle.rpc.framing import (
    EncodedFrame,
    FrameOverBudget,
    Traffic,
    encode_frame,
    read_frame,
    release_frames_of,
    write_frame,
)
from hoistsaddle.rpc.messages import PingCall

# The frame number of pings, which no call uses: their answers need no match, they only show that the peer is alive.
PING_NUMBER = 0
# A connection is pinged after this fraction of the interval without data, since the timer may fire slightly early.
PING_INTERVAL_FRACTION = 0.9
# A paced call is written in chunks of this size: at least the minimum, or as much as the rate allows in the duration.
MIN_CHUNK_BYTES = 4096
CHUNK_DURATION = timedelta(milliseconds=20)
# If this process itself was delayed by this many intervals, it first reads what has arrived since, before it closes a
# connection as dead.
OWN_DELAY_INTERVALS = 2


class KeepAlive(NamedTuple):
    """How a connection with calls in flight is checked: pinged after an interval of silence, closed after a timeout.

    A machine that lost power sends nothing, not even a reset. Without pings a call to it would wait for its whole time
    budget. Bytes that the peer accepts count as a sign of life too: on a slow link a ping may be queued behind large
    calls for longer than the timeout.
    """

    interval: timedelta
    timeout: timedelta


class Connection:
    """An open connection to another process, and the calls that wait for answers on it."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        traffic: Traffic,
        keep_alive: KeepAlive | None = None,
        budget: ByteBudget | None = None,
        turns: WorkTurns | None = None,
    ) -> None:
        """Starts reading answers.

        Args:
            reader: The stream to read from.
            writer: The stream to write to.
            traffic: Counts the frames and bytes of both directions.
            keep_alive: How the connection is checked; None for no checks.
            budget: The byte budget of the process, which counts large answers as they arrive; None for no limit.
            turns: Divides the event loop among the connections of the process; None if this is the only one.
        """
        self._turns = FrameTurns(turns or make_frame_turns())
        self._budget = budget or ByteBudget()
        self._lease = self._budget.lease()
        self.writer = writer
        self.traffic = traffic
        self.keep_alive = keep_alive
        # The event loop's time of the last sign of life from the peer.
        self.last_active_at = 0.0
        # The bytes written to the connection, how many of them had left this process's buffer at the last check, and
        # whether any were still buffered then.
        self.bytes_written = 0
        self.bytes_flushed = 0
        self.had_buffered_bytes = False
        # Held while a paced call is written: no other frame may be written between its chunks.
        self._paced_lock = asyncio.Lock()
        self.check_timer: asyncio.TimerHandle | None = None
        # The calls that wait for an answer, by number; the result None means that there will be no answer.
        self.pending: dict[int, asyncio.Future] = {}
        self.closed = False
        self._task = asyncio.ensure_future(self._read_answers(reader))

    async def _read_answers(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                await self._turns.next_frame()
                await self._read_answer(reader)
        except (OSError, asyncio.IncompleteReadError, ValueError, EOFError, FrameOverBudget) as problem:
            release_frames_of(problem)
        finally:
            self._lease.release()
            self.close()

    async def _read_answer(self, reader: asyncio.StreamReader) -> None:
        """Reads one answer, and keeps nothing of it while the next one is awaited."""
        number, _, message, _ = await read_frame(reader, self.traffic, lease=self._lease)
        self._lease.release()
        self.last_active_at = asyncio.get_running_loop().time()
        future = self.pending.pop(number, None)
        if future is not None and not future.done():
            future.set_result(message)

    def write(self, *, number: int, message: tuple) -> None:
        """Writes one call.

        Raises:
            OSError: The connection was lost.
        """
        self.bytes_written += write_frame(self.writer, self.traffic, number=number, answer=False, message=message)

    async def write_paced(self, *, number: int, message: tuple, rate: int) -> None:
        """Writes one call at `rate` bytes per second at most. If it is interrupted, the connection is closed.

        Raises:
            OSError: The connection was lost.
        """
        async with self._paced_lock:
            began = asyncio.get_running_loop().time()
            sent = began + bytes_in(message) / rate
            frame = encode_frame(self.traffic, number=number, answer=False, message=message, sent=sent)
            # The frame is a copy of the message, which the caller holds too.
            lease = self._budget.lease()
            lease.resize(frame.size)
            try:
                await self._write_chunks(frame, began=began, rate=rate)
            except BaseException:
                # The frame is incomplete, so the peer could not read anything after it.
                self.close()
                raise
            finally:
                lease.release()

    async def _write_chunks(self, frame: EncodedFrame, *, began: float, rate: int) -> None:
        loop = asyncio.get_running_loop()
        chunk_bytes = max(MIN_CHUNK_BYTES, round(rate * CHUNK_DURATION.total_seconds()))
        self._write_chunk(frame.prefix)
        for first in range(0, len(frame.data), chunk_bytes):
            if first:
                await asyncio.sleep(began + first / rate - loop.time())
            self._write_chunk(frame.data[first : first + chunk_bytes])
            await self.writer.drain()

    def _write_chunk(self, chunk: bytes) -> None:
        write_or_raise(self.writer, chunk)
        self.bytes_written += len(chunk)

    # -- keep-alive --------------------------------------------------------------------------------------------------

    def start_checks(self) -> None:
        """Starts the keep-alive checks; done for each call, since an idle connection needs no checks."""
        if self.keep_alive is not None and self.check_timer is None:
            self.last_active_at = asyncio.get_running_loop().time()
            self._schedule_check(self.keep_alive)

    def _schedule_check(self, keep_alive: KeepAlive) -> None:
        loop = asyncio.get_running_loop()
        self.check_timer = loop.call_later(keep_alive.interval.total_seconds(), self._check, keep_alive)

    def _check(self, keep_alive: KeepAlive) -> None:
        self.check_timer = None
        if self.closed or not self.pending:
            return
        self._record_progress()
        now = asyncio.get_running_loop().time()
        silence = now - self.last_active_at
        if silence >= (keep_alive.timeout + keep_alive.interval * OWN_DELAY_INTERVALS).total_seconds():
            self.last_active_at = now - (keep_alive.timeout - keep_alive.interval).total_seconds()
        elif silence >= keep_alive.timeout.total_seconds():
            self.close()
            return
        if silence >= keep_alive.interval.total_seconds() * PING_INTERVAL_FRACTION and not self._paced_lock.locked():
            try:
                self.write(number=PING_NUMBER, message=PingCall(""))
            except OSError:
                self.close()
                return
        self._schedule_check(keep_alive)

    def _record_progress(self) -> None:
        """Counts it as a sign of life if buffered bytes have left since the last check: the peer accepts them."""
        buffered = self.writer.transport.get_write_buffer_size()
        flushed = self.bytes_written - buffered
        if (self.had_buffered_bytes or self._paced_lock.locked()) and flushed > self.bytes_flushed:
            self.last_active_at = asyncio.get_running_loop().time()
        self.bytes_flushed = flushed
        self.had_buffered_bytes = buffered > 0

    def close(self) -> None:
        """Closes the connection; the calls that wait on it end without an answer."""
        self.closed = True
        self.writer.close()
        for future in self.pending.values():
            if not future.done():
                future.set_result(None)
        self.pending.clear()
        self._task.cancel()
