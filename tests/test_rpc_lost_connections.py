"""Writes on connections that are reset in the same turn of the event loop, at every place that writes.

A transport of uvloop raises RuntimeError for a write on a connection whose loss its owner doesn't know of yet.
"""

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import uvloop
from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.connection_writes import write_or_raise
from hoistsaddle.common.receive_buffers import limit_receive_buffer
from hoistsaddle.proxy.server_connection import BrokenAnswer, ServerConnection
from hoistsaddle.rpc.client import RpcClient
from hoistsaddle.rpc.connection import KeepAlive
from hoistsaddle.rpc.messages import ProbeAnswer, ProbeCall
from hoistsaddle.rpc.server import RpcServer

HOST = "127.0.0.1"
CALL, ANSWER = ProbeCall("asker", ()), ProbeAnswer("answerer", ())
# The turns of the event loop between a reset and the write; the owner of the connection learns of it in one of them.
TURNS = range(8)
WITHIN = timedelta(seconds=20)
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


def run(work: Coroutine[Any, Any, Any]) -> Any:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work)


class RawPeer:
    """A listener that resets its connections."""

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []

    async def __aenter__(self) -> "RawPeer":
        self.listener = socket.create_server((HOST, 0))
        self.listener.setblocking(False)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.accepting = asyncio.ensure_future(self._accept())
        return self

    async def _accept(self) -> None:
        while True:
            accepted, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            self.sockets.append(accepted)

    async def reset_all(self) -> None:
        while not self.sockets:
            await asyncio.sleep(0)
        for each in self.sockets:
            each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            each.close()
        self.sockets.clear()

    async def __aexit__(self, *_: object) -> None:
        self.accepting.cancel()
        self.listener.close()


async def turns(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


class CallsOnLostConnections(TestCase):
    """Guards against a task that ends because its call was written on a connection that was just reset (review/8)."""

    def check_calls(self, *, rate: int) -> None:
        async def work() -> None:
            for count in TURNS:
                async with RawPeer() as peer:
                    client = RpcClient(keep_alive=KeepAlive(timedelta(seconds=5), timedelta(seconds=10)))
                    waiting = asyncio.ensure_future(client.call(peer.address, CALL, within=WITHIN, rate=rate))
                    await peer.reset_all()
                    await turns(count)
                    result = await client.call(peer.address, CALL, within=timedelta(seconds=0.5), rate=rate)
                    self.assertThat(result, IsInstance(Failure), f"{count} turns")
                    self.assertThat(await waiting, IsInstance(Failure), f"{count} turns")
                    client.close()

        run(work())

    def test_a_call(self) -> None:
        self.check_calls(rate=0)

    def test_a_paced_call(self) -> None:
        self.check_calls(rate=1_000_000)

    def test_a_call_on_a_transport_that_is_gone(self) -> None:
        """The window itself: the transport is closed, and the connection's reader has not run since."""

        async def work() -> None:
            for rate in (0, 1_000_000):
                async with RawPeer() as peer:
                    client = RpcClient()
                    await client.call(peer.address, CALL, within=timedelta(seconds=0.05), rate=rate)
                    (connection,) = client._connections.values()
                    await dead(connection.writer.transport)
                    connection.closed = False
                    result = await client.call(peer.address, CALL, within=timedelta(seconds=0.5), rate=rate)
                    self.assertThat(result, IsInstance(Failure))
                    # The next call opens a new connection.
                    self.assertThat(connection.closed, Equals(True))
                    client.close()

        run(work())

    def test_a_ping(self) -> None:
        async def work() -> None:
            async with RawPeer() as peer:
                keep_alive = KeepAlive(timedelta(milliseconds=1), timedelta(seconds=10))
                client = RpcClient(keep_alive=keep_alive)
                waiting = asyncio.ensure_future(client.call(peer.address, CALL, within=WITHIN))
                while not client._connections:
                    await asyncio.sleep(0)
                (connection,) = client._connections.values()
                connection._task.cancel()
                await dead(connection.writer.transport)
                connection.closed = False
                connection._check(keep_alive)
                self.assertThat(await waiting, IsInstance(Failure))
                client.close()

        run(work())

    def test_an_answer(self) -> None:
        """The caller is gone when its answer is written; the server goes on."""

        async def work() -> None:
            problems: list[dict] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: problems.append(context))
            go_on = asyncio.Event()

            async def answer(message: tuple) -> tuple:
                await go_on.wait()
                await turns(waited)
                return ANSWER

            for waited in TURNS:
                go_on.clear()
                server = RpcServer(address=f"{HOST}:{free_port()}", handler=answer)
                await server.start()
                caller, other = RpcClient(), RpcClient()
                leaving = asyncio.ensure_future(caller.call(server.address, CALL, within=WITHIN))
                while not server._tasks:
                    await asyncio.sleep(0)
                for connection in caller._connections.values():
                    sock = connection.writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                    connection.writer.transport.abort()
                go_on.set()
                await leaving
                result = await other.call(server.address, CALL, within=WITHIN)
                self.assertThat(result, Equals(Success(ANSWER)))
                caller.close()
                other.close()
                await server.stop()
            self.assertThat(problems, Equals([]))

        run(work())


class OtherWrites(TestCase):
    def test_a_lost_transport_raises_an_error_of_the_system(self) -> None:
        async def work(lose: Callable) -> None:
            async with RawPeer() as peer:
                host, _, port = peer.address.rpartition(":")
                transport, _ = await asyncio.get_running_loop().create_connection(asyncio.Protocol, host, int(port))
                lose(transport)
                self.assertRaises(ConnectionResetError, write_or_raise, transport, b"x")
                await dead(transport)
                self.assertRaises(ConnectionResetError, write_or_raise, transport, b"x")
                # A limit on the buffer of a connection that is gone is no error.
                limit_receive_buffer(transport.get_extra_info("socket"), 16384)

        run(work(lambda transport: transport.abort()))
        run(work(lambda transport: transport.close()))

    def test_a_request_to_a_server_whose_connection_is_gone(self) -> None:
        async def work() -> None:
            async with RawPeer() as peer:
                loop = asyncio.get_running_loop()
                host, _, port = peer.address.rpartition(":")
                transport, connection = await loop.create_connection(
                    lambda: ServerConnection(loop, budget=ByteBudget()), host, int(port)
                )
                await dead(transport)
                connection.transport = transport
                self.assertRaises(BrokenAnswer, connection.write, b"GET / HTTP/1.1\r\n\r\n")

        run(work())


async def dead(transport: Any) -> None:
    """Abort a transport and wait until it refuses writes by RuntimeError."""
    transport.abort()
    while True:
        await asyncio.sleep(0)
        try:
            transport.write(b"x")
        except RuntimeError:
            return


def free_port() -> int:
    with socket.create_server((HOST, 0)) as sock:
        return sock.getsockname()[1]
