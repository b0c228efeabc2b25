"""Calls to other processes."""

import asyncio
import itertools
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import MeshError
from hoistsaddle.common.settings import split_address
from hoistsaddle.rpc.call_context import set_call_age
from hoistsaddle.rpc.connection import Connection, KeepAlive
from hoistsaddle.rpc.connection_faults import ConnectionFaults
from hoistsaddle.rpc.errors import no_response, unreachable
from hoistsaddle.rpc.frame_ages import CallAge
from hoistsaddle.rpc.framing import Traffic
from hoistsaddle.rpc.server import Handler

# A peer that is there takes a connection within milliseconds. Waiting longer spends a budget on one that isn't.
CONNECT_TIMEOUT = timedelta(seconds=1)
# Where packets wait for longer than that, a connection is still opened for those that call within this.
OPEN_TIMEOUT = timedelta(seconds=3)


class _Lane(NamedTuple):
    """What a connection is for: calls that are sent at a rate have one of their own, so that no other call waits."""

    address: str
    paced: bool = False


class RpcClient:
    """Calls other processes. An error says whether the call can have reached the other side."""

    def __init__(
        self,
        *,
        faults: ConnectionFaults | None = None,
        keep_alive: KeepAlive | None = None,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> None:
        """Begins without connections; each is opened with the first call to its address.

        Args:
            faults: Cuts of connections that a test ordered.
            keep_alive: How connections with calls under way are checked.
            connect_timeout: How long a call waits for a connection.
        """
        self.keep_alive = keep_alive
        self.connect_timeout = connect_timeout
        self.traffic = Traffic()
        # Addresses that this very process serves: a call to one of them is a call of a function.
        self.local_handlers: dict[str, Handler] = {}
        self._connections: dict[_Lane, Connection] = {}
        self._opening: dict[_Lane, asyncio.Task] = {}
        self._numbers = itertools.count(1)
        self.faults = faults

    # -- connections -------------------------------------------------------------------------------------------------

    async def _connect(self, lane: _Lane) -> Connection:
        """The lane's connection. Whoever stops waiting for it leaves it to be opened for the next call."""
        connection = self._connections.get(lane)
        if connection is not None and not connection.closed:
            return connection
        opening = self._opening.get(lane)
        if opening is None:
            opening = self._opening[lane] = asyncio.ensure_future(self._open(lane))
            opening.add_done_callback(lambda task: self._opened(lane, task))
        return await asyncio.shield(opening)

    def _opened(self, lane: _Lane, task: asyncio.Task) -> None:
        del self._opening[lane]
        if not task.cancelled():
            # Read here, as nobody may wait for it any more.
            task.exception()

    async def _open(self, lane: _Lane) -> Connection:
        host, port = split_address(lane.address)
        async with asyncio.timeout(OPEN_TIMEOUT.total_seconds()):
            reader, writer = await asyncio.open_connection(host, port)
        connection = Connection(reader=reader, writer=writer, traffic=self.traffic, keep_alive=self.keep_alive)
        self._connections[lane] = connection
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
            within: How long the answer is waited for.
            still: Asked directly before the first byte is written: a freeze may lie between deciding and sending.
            rate: Bytes a second at which it is sent, on a connection of its own; 0 for as fast as they go.

        Returns:
            The answer. Unreachable if nothing was sent, NoResponse if the call may have been carried out.
        """
        deadline = asyncio.get_running_loop().time() + within.total_seconds()
        if address in self.local_handlers:
            return await self._call_local(address, message, deadline=deadline, still=still)
        if self.faults is not None and self.faults.drops_calls_to(address):
            # Bytes that vanish on the way look like this from here: nothing comes back, and nobody can say why.
            await asyncio.sleep(within.total_seconds())
            return Failure(no_response(address))
        return await self._call_remote(address, message, deadline=deadline, still=still, rate=rate)

    async def _call_remote(
        self, address: str, message: tuple, *, deadline: float, still: Callable[[], bool], rate: int
    ) -> Result[tuple, MeshError]:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(min(deadline, loop.time() + self.connect_timeout.total_seconds())):
                connection = await self._connect(_Lane(address, paced=rate > 0))
        except (OSError, TimeoutError):
            return Failure(unreachable(address))
        if not still():
            return Failure(unreachable(address))
        number = next(self._numbers)
        future = connection.pending[number] = loop.create_future()
        try:
            async with asyncio.timeout_at(deadline):
                await self._write(connection, number, message, rate=rate)
                answer = await future
        except TimeoutError:
            return Failure(no_response(address))
        except OSError:
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
        """Calls this process's own handler."""
        if not still():
            return Failure(unreachable(address))
        # As on a connection, whoever stops waiting doesn't stop the work.
        work = asyncio.ensure_future(self._handle_locally(address, message))
        try:
            async with asyncio.timeout_at(deadline):
                answer = await asyncio.shield(work)
        except TimeoutError:
            return Failure(no_response(address))
        return Failure(no_response(address)) if answer is None else Success(answer)

    async def _handle_locally(self, address: str, message: tuple) -> tuple | None:
        # Whoever calls may itself be answering a call that came on a connection.
        set_call_age(CallAge(0.0, False))
        return await self.local_handlers[address](message)

    def close(self) -> None:
        """Closes all connections; calls under way get no answer."""
        for opening in list(self._opening.values()):
            opening.cancel()
        for connection in self._connections.values():
            connection.close()
