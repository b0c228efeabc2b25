"""The RPC client: calls to other processes, and to handlers of this process."""

import asyncio
import itertools
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.errors import MeshError
from hoistsaddle.common.socket_addresses import split_address
from hoistsaddle.rpc.call_context import set_call_age
from hoistsaddle.rpc.connection import Connection, KeepAlive
from hoistsaddle.rpc.connection_faults import ConnectionFaults
from hoistsaddle.rpc.errors import no_response, unreachable
from hoistsaddle.rpc.frame_ages import CallAge
from hoistsaddle.rpc.frame_turns import make_frame_turns
from hoistsaddle.rpc.framing import Traffic, release_frames_of
from hoistsaddle.rpc.server import Handler

# A running peer accepts a connection within milliseconds. A longer wait would spend the call's time budget on a peer
# that is down.
CONNECT_TIMEOUT = timedelta(seconds=1)
# On a link whose queues delay packets for longer than CONNECT_TIMEOUT, opening continues up to this limit, for the
# benefit of later calls.
OPEN_TIMEOUT = timedelta(seconds=3)


class _ConnectionKey(NamedTuple):
    """The key of a connection. Paced calls have a separate connection, so that other calls don't wait behind them."""

    address: str
    paced: bool = False


class RpcClient:
    """Calls other processes. The error of a failed call shows whether the call may have reached the other side."""

    def __init__(
        self,
        *,
        faults: ConnectionFaults | None = None,
        keep_alive: KeepAlive | None = None,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
        budget: ByteBudget | None = None,
    ) -> None:
        """Starts without connections; each is opened by the first call to its address.

        Args:
            faults: Connection faults that a test injects.
            keep_alive: How connections with calls in flight are checked; None for no checks.
            connect_timeout: How long a call waits for its connection.
            budget: The byte budget of the process, which counts large answers; None for no limit.
        """
        self._budget = budget
        self._turns = make_frame_turns()
        self.keep_alive = keep_alive
        self.connect_timeout = connect_timeout
        self.traffic = Traffic()
        # The handlers of addresses that this process serves: calls to these addresses are direct function calls.
        self.local_handlers: dict[str, Handler] = {}
        self._connections: dict[_ConnectionKey, Connection] = {}
        self._opening: dict[_ConnectionKey, asyncio.Task] = {}
        self._call_numbers = itertools.count(1)
        self.faults = faults

    # -- connections -------------------------------------------------------------------------------------------------

    async def _connect(self, key: _ConnectionKey) -> Connection:
        """Returns the open connection, or opens it. Opening continues for the next call if this one stops waiting."""
        connection = self._connections.get(key)
        if connection is not None and not connection.closed:
            return connection
        opening = self._opening.get(key)
        if opening is None:
            opening = self._opening[key] = asyncio.ensure_future(self._open(key))
            opening.add_done_callback(lambda task: self._opened(key, task))
        return await asyncio.shield(opening)

    def _opened(self, key: _ConnectionKey, task: asyncio.Task) -> None:
        del self._opening[key]
        if not task.cancelled():
            # Retrieved here, since no call may be waiting any more: asyncio would log it as never retrieved.
            task.exception()

    async def _open(self, key: _ConnectionKey) -> Connection:
        host, port = split_address(key.address)
        async with asyncio.timeout(OPEN_TIMEOUT.total_seconds()):
            reader, writer = await asyncio.open_connection(host, port)
        connection = Connection(
            reader=reader,
            writer=writer,
            traffic=self.traffic,
            keep_alive=self.keep_alive,
            budget=self._budget,
            turns=self._turns,
        )
        self._connections[key] = connection
        return connection

    # -- calls -------------------------------------------------------------------------------------------------------

    async def call(
        self,
        address: str,
        message: tuple,
        *,
        within: timedelta,
        still: Callable[[], bool] = lambda: True,
        rate: int = 0,
    ) -> Result[tuple, MeshError]:
        """Calls the process at the address.

        Args:
            address: The process's mesh address, host:port.
            message: The call.
            within: The timeout of the call.
            still: Whether the call is still wanted; checked directly before the first byte is written, since the
                process may freeze between deciding and sending.
            rate: Bytes per second at which the call is sent, on a separate connection; 0 for no limit.

        Returns:
            The answer; Unreachable if nothing was sent, NoResponse if the call may have been carried out.
        """
        deadline = asyncio.get_running_loop().time() + within.total_seconds()
        if address in self.local_handlers:
            return await self._call_local(address, message, deadline=deadline, still=still)
        if self.faults is not None and self.faults.drops_calls_to(address):
            # To the caller, lost packets look like this: there is no answer and no error until the timeout.
            await asyncio.sleep(within.total_seconds())
            return Failure(no_response(address))
        return await self._call_remote(address, message, deadline=deadline, still=still, rate=rate)

    async def _call_remote(
        self, address: str, message: tuple, *, deadline: float, still: Callable[[], bool], rate: int
    ) -> Result[tuple, MeshError]:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(min(deadline, loop.time() + self.connect_timeout.total_seconds())):
                connection = await self._connect(_ConnectionKey(address, paced=rate > 0))
        except (OSError, TimeoutError):
            return Failure(unreachable(address))
        if not still():
            return Failure(unreachable(address))
        number = next(self._call_numbers)
        future = connection.pending[number] = loop.create_future()
        try:
            async with asyncio.timeout_at(deadline):
                await self._write(connection, number, message, rate=rate)
                answer = await future
        except TimeoutError:
            return Failure(no_response(address))
        except OSError as problem:
            release_frames_of(problem)
            connection.close()
            return Failure(no_response(address))
        finally:
            connection.pending.pop(number, None)
        if self.faults is not None and self.faults.drops_answers_from(address):
            await asyncio.sleep(max(0.0, deadline - loop.time()))
            return Failure(no_response(address))
        return Failure(no_response(address)) if answer is None else Success(answer)

    @staticmethod
    async def _write(connection: Connection, number: int, message: tuple, *, rate: int) -> None:
        connection.start_checks()
        if rate:
            await connection.write_paced(number=number, message=message, rate=rate)
        else:
            connection.write(number=number, message=message)

    async def _call_local(
        self, address: str, message: tuple, *, deadline: float, still: Callable[[], bool]
    ) -> Result[tuple, MeshError]:
        """Calls a handler of this process directly."""
        if not still():
            return Failure(unreachable(address))
        # As with a remote call, a timeout of the caller doesn't cancel the handler.
        work = asyncio.ensure_future(self._handle_locally(address, message))
        try:
            async with asyncio.timeout_at(deadline):
                answer = await asyncio.shield(work)
        except TimeoutError:
            return Failure(no_response(address))
        return Failure(no_response(address)) if answer is None else Success(answer)

    async def _handle_locally(self, address: str, message: tuple) -> tuple | None:
        # The caller's own context may carry the age of a remote call that it is answering: a local call has no age.
        set_call_age(CallAge(0.0, False))
        return await self.local_handlers[address](message)

    def close(self) -> None:
        """Closes all connections; calls in flight end with NoResponse."""
        for opening in list(self._opening.values()):
            opening.cancel()
        for connection in self._connections.values():
            connection.close()
