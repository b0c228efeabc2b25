"""Lines between processes: thrift's framed binary form over TCP, many calls in flight on one connection."""

import asyncio
import itertools
import struct
from collections import defaultdict
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import msgspec
from loguru import logger
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.common.settings import split_address
from hoistsaddle.rpc.frame_ages import Ages, CallAge
from hoistsaddle.rpc.messages import Frame, PingAnswer, PingCall, pack, unpack_frame

Handler = Callable[[tuple], Awaitable[tuple | None]]
# A peer that is there takes a connection within milliseconds. Waiting longer spends a budget on one that isn't.
CONNECT_TIMEOUT = timedelta(seconds=1)
# Where packets wait for longer than that, a connection is still opened for those that call within this.
OPEN_TIMEOUT = timedelta(seconds=3)
LARGEST_FRAME = 64 * 1024 * 1024
IN = "in"
OUT = "out"
_length = struct.Struct("!I")
_call_age: ContextVar[CallAge | None] = ContextVar("call_age", default=None)


def call_age() -> CallAge:
    """How old the call under way was as it was read."""
    return _call_age.get() or CallAge()


class Traffic:
    """Frames and bytes that passed this process's lines, by way and kind of message: what control costs the network.

    Plain additions on the loop's one thread: a frame costs two look-ups and no lock.
    """

    def __init__(self) -> None:
        self.frames: defaultdict[tuple[str, str], int] = defaultdict(int)
        self.octets: defaultdict[tuple[str, str], int] = defaultdict(int)

    def count(self, way: str, message: tuple | None, size: int) -> None:
        passed = (way, type(message).__name__)
        self.frames[passed] += 1
        self.octets[passed] += size


async def _read_frame(reader: asyncio.StreamReader, traffic: Traffic) -> Frame:
    (length,) = _length.unpack(await reader.readexactly(4))
    # A frame over the limit is garbage from something that isn't a hoistsaddle process.
    if length > LARGEST_FRAME:
        raise ValueError(f"frame of {length} bytes")
    frame = unpack_frame(await reader.readexactly(length))
    traffic.count(IN, frame.message, length + _length.size)
    return frame


def _write_frame(writer: asyncio.StreamWriter, traffic: Traffic, *, number: int, answer: bool, message: tuple) -> int:
    """Writes one frame; gives its size in bytes."""
    sent = 0.0 if answer else asyncio.get_running_loop().time()
    data = pack(number=number, answer=answer, message=message, sent=sent)
    traffic.count(OUT, message, len(data) + _length.size)
    writer.write(_length.pack(len(data)) + data)
    return len(data) + _length.size


class KeepAlive(NamedTuple):
    """How a line with calls under way is felt: asked after this long a silence, given up after that long a one.

    A machine without power says nothing. Without pulses a call to it would wait out its whole budget. Bytes that the
    other side takes count as heard: on a thin link a pulse stands behind large calls for longer than the span.
    """

    every: timedelta
    span: timedelta


class _Connection:
    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        traffic: Traffic,
        keep_alive: KeepAlive | None = None,
    ) -> None:
        self.writer = writer
        self.traffic = traffic
        self.keep_alive = keep_alive
        self.heard = 0.0
        # Bytes written to the line; how many of them had left this process when it was felt last, and whether others
        # waited here for the other side to take them.
        self.written = 0
        self.left = 0
        self.waited = False
        self.felt: asyncio.TimerHandle | None = None
        self.pending: dict[int, asyncio.Future] = {}
        self.closed = False
        self._task = asyncio.ensure_future(self._listen(reader))

    async def _listen(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                number, _, message, _ = await _read_frame(reader, self.traffic)
                self.heard = asyncio.get_running_loop().time()
                future = self.pending.pop(number, None)
                if future is not None and not future.done():
                    future.set_result(message)
        except (OSError, asyncio.IncompleteReadError, ValueError, EOFError):
            pass
        finally:
            self.close()

    def write(self, *, number: int, message: tuple) -> None:
        """Writes one call."""
        self.written += _write_frame(self.writer, self.traffic, number=number, answer=False, message=message)

    def feel(self) -> None:
        """Called with each call: a line that nobody waits on needs no pulse."""
        if self.keep_alive is not None and self.felt is None:
            self.heard = asyncio.get_running_loop().time()
            self._feel_later()

    def _feel_later(self) -> None:
        self.felt = asyncio.get_running_loop().call_later(self.keep_alive.every.total_seconds(), self._feel)

    def _feel(self) -> None:
        self.felt = None
        if self.closed or not self.pending:
            return None
        self._feel_progress()
        silence = asyncio.get_running_loop().time() - self.heard
        # A process that was late itself reads what came in meanwhile before it gives anyone up.
        if silence >= (self.keep_alive.span + self.keep_alive.every * 2).total_seconds():
            self.heard = (
                asyncio.get_running_loop().time() - (self.keep_alive.span - self.keep_alive.every).total_seconds()
            )
        elif silence >= self.keep_alive.span.total_seconds():
            return self.close()
        if silence >= self.keep_alive.every.total_seconds() * 0.9:
            try:
                # Number 0 is no call's: its answer only shows that somebody is there.
                self.write(number=0, message=PingCall(""))
            except OSError:
                return self.close()
        self._feel_later()

    def _feel_progress(self) -> None:
        """Counts bytes that waited here and went on since as heard: the other side takes them."""
        waiting = self.writer.transport.get_write_buffer_size()
        left = self.written - waiting
        if self.waited and left > self.left:
            self.heard = asyncio.get_running_loop().time()
        self.left, self.waited = left, waiting > 0

    def close(self) -> None:
        self.closed = True
        self.writer.close()
        for future in self.pending.values():
            if not future.done():
                future.set_result(None)
        self.pending.clear()
        self._task.cancel()


def silent_at(address: str) -> MeshError:
    return MeshError(
        ErrorKind.SILENT,
        f"{address} gave no answer in time.",
        "The call may have been carried out: ask before repeating it.",
    )


class ConnectionFaults:
    """Cuts of single lines, one way or both, as the proofs on real processes write them into a file.

    A one-way cut from one process to another is two entries: the one drops its calls to the other, and the other
    drops the answers of the one.
    """

    def __init__(self, *, path: Path) -> None:
        self.path = path
        self.seen = 0
        self.calls: frozenset[str] = frozenset()
        self.answers: frozenset[str] = frozenset()

    def _look(self) -> None:
        try:
            changed = self.path.stat().st_mtime_ns
        except OSError:
            changed = 0
        if changed == self.seen:
            return
        self.seen = changed
        told = msgspec.json.decode(self.path.read_bytes()) if changed else {}
        self.calls, self.answers = frozenset(told.get("calls_to", ())), frozenset(told.get("answers_from", ()))

    def drops_calls_to(self, address: str) -> bool:
        self._look()
        return address in self.calls

    def drops_answers_from(self, address: str) -> bool:
        self._look()
        return address in self.answers


class RpcClient:
    """Calls other processes. An error says whether the call can have reached the other side."""

    def __init__(
        self,
        *,
        faults: "ConnectionFaults | None" = None,
        keep_alive: KeepAlive | None = None,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> None:
        self.keep_alive = keep_alive
        self.connect_timeout = connect_timeout
        self.traffic = Traffic()
        # Addresses that this very process serves: a call to one of them is a call of a function.
        self.home: dict[str, Handler] = {}
        self._connections: dict[str, _Connection] = {}
        self._opening: dict[str, asyncio.Task] = {}
        self._numbers = itertools.count(1)
        self.faults = faults

    async def _connect(self, address: str) -> _Connection:
        """The connection to the address. Whoever stops waiting for it leaves it to be opened for the next call."""
        connection = self._connections.get(address)
        if connection is not None and not connection.closed:
            return connection
        opening = self._opening.get(address)
        if opening is None:
            opening = self._opening[address] = asyncio.ensure_future(self._open(address))
            opening.add_done_callback(lambda task: self._opened(address, task))
        return await asyncio.shield(opening)

    def _opened(self, address: str, task: asyncio.Task) -> None:
        del self._opening[address]
        if not task.cancelled():
            # Read here, as nobody may wait for it any more.
            task.exception()

    async def _open(self, address: str) -> _Connection:
        host, port = split_address(address)
        async with asyncio.timeout(OPEN_TIMEOUT.total_seconds()):
            reader, writer = await asyncio.open_connection(host, port)
        connection = _Connection(reader=reader, writer=writer, traffic=self.traffic, keep_alive=self.keep_alive)
        self._connections[address] = connection
        return connection

    async def call(
        self, address: str, message: tuple, *, within: timedelta, still: Callable[[], bool] = lambda: True
    ) -> Result[tuple, MeshError]:
        """still is asked directly before the first byte is written: a freeze may lie between deciding and sending."""
        unreachable = Failure(
            MeshError(
                ErrorKind.UNREACHABLE,
                f"{address} takes no connection.",
                "Check that the process runs and the address is right.",
            )
        )
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within.total_seconds()
        if address in self.home:
            if not still():
                return unreachable
            # As on a line, whoever stops waiting doesn't stop the work.
            work = asyncio.ensure_future(self._at_home(address, message))
            try:
                async with asyncio.timeout_at(deadline):
                    home_answer = await asyncio.shield(work)
            except TimeoutError:
                return Failure(silent_at(address))
            return Failure(silent_at(address)) if home_answer is None else Success(home_answer)
        if self.faults is not None and self.faults.drops_calls_to(address):
            # Bytes that vanish on the way look like this from here: nothing comes back, and nobody can say why.
            await asyncio.sleep(within.total_seconds())
            return Failure(silent_at(address))
        try:
            async with asyncio.timeout_at(min(deadline, loop.time() + self.connect_timeout.total_seconds())):
                connection = await self._connect(address)
        except (OSError, TimeoutError):
            # Nothing was written, so the other side can't have heard of this call.
            return unreachable
        if not still():
            return unreachable
        number = next(self._numbers)
        future = connection.pending[number] = loop.create_future()
        silent = Failure(silent_at(address))
        try:
            connection.write(number=number, message=message)
            connection.feel()
            async with asyncio.timeout_at(deadline):
                answer = await future
        except TimeoutError:
            return silent
        except OSError:
            connection.close()
            return silent
        finally:
            connection.pending.pop(number, None)
        if self.faults is not None and self.faults.drops_answers_from(address):
            await asyncio.sleep(max(0.0, deadline - loop.time()))
            return silent
        return silent if answer is None else Success(answer)

    async def _at_home(self, address: str, message: tuple) -> tuple | None:
        # Whoever calls may itself be answering a call that came on a connection.
        _call_age.set(CallAge(0.0, False))
        return await self.home[address](message)

    def close(self) -> None:
        for opening in list(self._opening.values()):
            opening.cancel()
        for connection in self._connections.values():
            connection.close()


class RpcServer:
    def __init__(self, *, address: str, handler: Handler, traffic: Traffic | None = None) -> None:
        self.address = address
        self.handler = handler
        self.traffic = traffic or Traffic()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        host, port = split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        loop = asyncio.get_running_loop()
        ages = Ages(accepted=loop.time())
        try:
            while True:
                number, _, message, sent = await _read_frame(reader, self.traffic)
                # The task that answers it takes this along.
                _call_age.set(ages.age(sent=sent, now=loop.time()))
                if isinstance(message, PingCall):
                    _write_frame(writer, self.traffic, number=number, answer=True, message=PingAnswer(""))
                    continue
                if message is None:
                    # A newer release's call: unanswered, so its sender knows that it isn't understood here.
                    continue
                task = asyncio.ensure_future(self._answer(writer, number, message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (OSError, asyncio.IncompleteReadError, EOFError, asyncio.CancelledError):
            pass
        except ValueError as problem:
            logger.warning("{} closes a line that sent what can't be read: {}", self.address, problem)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, number: int, message: tuple) -> None:
        answer = await self.handler(message)
        # None stands for "no answer": the caller's own deadline speaks for us.
        if answer is not None and not writer.is_closing():
            _write_frame(writer, self.traffic, number=number, answer=True, message=answer)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        for task in list(self._tasks):
            task.cancel()
