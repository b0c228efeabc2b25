"""The RPC server: listens on the process's mesh address and answers calls."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from hoistsaddle.common.listening import listen_once_free
from hoistsaddle.common.settings import split_address
from hoistsaddle.rpc.call_context import set_call_age
from hoistsaddle.rpc.frame_ages import FrameAges
from hoistsaddle.rpc.framing import Traffic, read_frame, write_frame
from hoistsaddle.rpc.messages import PingAnswer, PingCall

# Answers a call; None means that no answer is sent, so that the call times out at the caller.
Handler = Callable[[tuple], Awaitable[tuple | None]]


class RpcServer:
    """Answers calls of other processes, each in a separate task."""

    def __init__(self, *, address: str, handler: Handler, traffic: Traffic | None = None) -> None:
        """Configures the server; `start` makes it listen.

        Args:
            address: The mesh address, host:port.
            handler: Answers a call.
            traffic: Counts the frames and bytes of both directions.
        """
        self.address = address
        self.handler = handler
        self.traffic = traffic or Traffic()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts to listen.

        Raises:
            OSError: The address can't be bound.
        """
        host, port = split_address(self.address)
        self._server = await listen_once_free(
            lambda: asyncio.start_server(self._serve, host, port), address=self.address
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        loop = asyncio.get_running_loop()
        ages = FrameAges(accepted=loop.time())
        try:
            while True:
                number, _, message, sent = await read_frame(reader, self.traffic)
                # The task that answers the call inherits this context variable.
                set_call_age(ages.age(sent=sent, now=loop.time()))
                if isinstance(message, PingCall):
                    write_frame(writer, self.traffic, number=number, answer=True, message=PingAnswer(""))
                    continue
                if message is None:
                    # A call that only a newer release knows: no answer shows the sender that it isn't supported.
                    continue
                task = asyncio.ensure_future(self._answer(writer, number, message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (OSError, asyncio.IncompleteReadError, EOFError, asyncio.CancelledError):
            pass
        except ValueError as problem:
            logger.warning("{}: closing a connection that sent an invalid frame: {}", self.address, problem)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, number: int, message: tuple) -> None:
        answer = await self.handler(message)
        if answer is not None and not writer.is_closing():
            write_frame(writer, self.traffic, number=number, answer=True, message=answer)

    async def stop(self) -> None:
        """Stops listening, closes the connections and cancels the handlers in flight."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        for task in list(self._tasks):
            task.cancel()
