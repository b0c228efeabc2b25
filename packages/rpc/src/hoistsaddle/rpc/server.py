"""The RPC server: listens on the process's mesh address and answers calls."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from hoistsaddle.common.byte_budget import SMALL_LEASE_BYTES, ByteBudget, ByteLease
from hoistsaddle.common.listening import bound_socket, listen_once_free
from hoistsaddle.common.reading_watch import ReadingWatch
from hoistsaddle.rpc.call_context import set_call_age
from hoistsaddle.rpc.calls_in_flight import CallsInFlight
from hoistsaddle.rpc.frame_ages import FrameAges
from hoistsaddle.rpc.frame_turns import FrameTurns, make_frame_turns
from hoistsaddle.rpc.framing import (
    FRAME_SILENCE_TIMEOUT,
    FrameOverBudget,
    Traffic,
    read_frame,
    release_frames_of,
    write_frame,
)
from hoistsaddle.rpc.messages import PingAnswer, PingCall

# The kernel's receive buffer of each connection, if the memory of the process is limited.
MESH_RECEIVE_BUFFER_BYTES = 32 * 1024
# Answers a call; None means that no answer is sent, so that the call times out at the caller.
Handler = Callable[[tuple], Awaitable[tuple | None]]


class RpcServer:
    """Answers calls of other processes, each in a separate task."""

    def __init__(
        self, *, address: str, handler: Handler, traffic: Traffic | None = None, budget: ByteBudget | None = None
    ) -> None:
        """Configures the server; `start` makes it listen.

        Args:
            address: The mesh address, host:port.
            handler: Answers a call.
            traffic: Counts the frames and bytes of both directions.
            budget: The byte budget of the process; without one neither frames nor connections are limited.
        """
        self.address = address
        self.handler = handler
        self.traffic = traffic or Traffic()
        self._server: asyncio.Server | None = None
        self._budget = budget or ByteBudget()
        self._turns = make_frame_turns()
        self._writers: set[asyncio.StreamWriter] = set()
        # The connections on which no frame was complete yet, the oldest first.
        self._without_frame: dict[asyncio.StreamWriter, None] = {}
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts to listen.

        Raises:
            OSError: The address can't be bound.
        """
        self._server = await listen_once_free(self._listen, address=self.address)

    async def _listen(self) -> asyncio.Server:
        receive_buffer = None if self._budget.max_bytes is None else MESH_RECEIVE_BUFFER_BYTES
        sock = bound_socket(self.address, receive_buffer=receive_buffer)
        try:
            return await asyncio.start_server(self._serve, sock=sock)
        except OSError:
            sock.close()
            raise

    def _make_room(self) -> bool:
        """Whether one more connection may be served; one that has sent no frame yet is closed for it if necessary."""
        most = self._budget.max_mesh_connections
        if most is None or len(self._writers) < most:
            return True
        if not self._without_frame:
            return False
        oldest = next(iter(self._without_frame))
        self._forget(oldest)
        oldest.transport.abort()
        return True

    def _forget(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        self._without_frame.pop(writer, None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._make_room():
            writer.transport.abort()
            return
        self._writers.add(writer)
        self._without_frame[writer] = None
        ages = FrameAges(accepted=asyncio.get_running_loop().time())
        turns, calls = FrameTurns(self._turns), CallsInFlight(self._budget)
        try:
            while True:
                await calls.wait_for_room()
                await turns.next_frame()
                await self._serve_call(reader, writer, ages, calls)
        except (OSError, asyncio.IncompleteReadError, EOFError, asyncio.CancelledError) as problem:
            release_frames_of(problem)
        except ValueError as problem:
            logger.warning("{}: closing a connection that sent an invalid frame: {}", self.address, problem)
        except FrameOverBudget:
            logger.warning("{}: closing a connection: the byte budget has no room for its frame", self.address)
        finally:
            self._forget(writer)
            writer.close()

    async def _serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ages: FrameAges, calls: CallsInFlight
    ) -> None:
        """Reads one call and starts to answer it; nothing of it is kept here while the next one is awaited."""
        lease = self._budget.lease()
        try:
            number, _, message, sent = await read_frame(reader, self.traffic, lease=lease)
        except BaseException:
            lease.release()
            raise
        self._without_frame.pop(writer, None)
        # The task that answers the call inherits this context variable.
        set_call_age(ages.age(sent=sent, now=asyncio.get_running_loop().time()))
        match message:
            case PingCall():
                lease.release()
                write_frame(writer, self.traffic, number=number, answer=True, message=PingAnswer(""))
            case None:
                # A call that only a newer release knows: no answer shows the sender that it isn't supported.
                lease.release()
            case _:
                # The call holds its bytes until it is answered.
                calls.begin(lease)
                task = asyncio.ensure_future(self._answer(writer, number, message, calls, lease))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _answer(
        self, writer: asyncio.StreamWriter, number: int, message: tuple, calls: CallsInFlight, lease: ByteLease
    ) -> None:
        try:
            answer = await self.handler(message)
        finally:
            calls.end(lease)
        if answer is not None and not writer.is_closing():
            await self._write_answer(writer, number, answer)

    async def _write_answer(self, writer: asyncio.StreamWriter, number: int, answer: tuple) -> None:
        """Write an answer; a large one counts against the budget until the peer has read it."""
        try:
            size = write_frame(writer, self.traffic, number=number, answer=True, message=answer)
        except OSError:
            # The connection is lost, and its reader ends too.
            return
        if size <= SMALL_LEASE_BYTES:
            return
        lease = self._budget.lease()
        lease.resize(size)
        watch = ReadingWatch(loop=asyncio.get_running_loop(), transport=writer.transport, timeout=FRAME_SILENCE_TIMEOUT)
        try:
            await writer.drain()
        except OSError:
            # The connection is lost, and its reader ends too.
            pass
        finally:
            watch.stop()
            lease.release()

    async def stop(self) -> None:
        """Stops listening, closes the connections and cancels the handlers in flight."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        for task in list(self._tasks):
            task.cancel()
