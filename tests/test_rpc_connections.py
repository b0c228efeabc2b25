"""Connections between processes: keep-alives that distinguish a dead peer from a slow one, and local calls.

The clock advances only in steps made by the test, so the results don't depend on the load of the machine.
"""

import asyncio
import struct
from collections.abc import Awaitable, Callable
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.rpc.client import RpcClient
from hoistsaddle.rpc.codec import pack, unpack
from hoistsaddle.rpc.connection import Connection, KeepAlive
from hoistsaddle.rpc.framing import OUT, Traffic
from hoistsaddle.rpc.messages import PingAnswer, PingCall, ProbeAnswer, ProbeCall
from hoistsaddle.rpc.runtime import RealRuntime
from hoistsaddle.rpc.server import RpcServer
from stepped_clock import EventCounter, run_stepped, step

KEEP_ALIVE = KeepAlive(interval=timedelta(seconds=1), timeout=timedelta(seconds=3))
CALL = ProbeCall("asker", ())
ANSWER = ProbeAnswer("answerer", ())


class CountedTraffic(Traffic):
    """Traffic counts of connections, which a test can wait for."""

    def __init__(self) -> None:
        super().__init__()
        self.frames_sent = EventCounter()
        self.pings_answered = EventCounter()

    def count(self, direction: str, message: tuple | None, size: int) -> None:
        super().count(direction, message, size)
        if direction == OUT:
            self.frames_sent.count_event()
        elif isinstance(message, PingAnswer):
            self.pings_answered.count_event()


class RawPeer:
    """A peer that reads complete frames and answers with a function of the test."""

    def __init__(self, behave: Callable[[int, Any, asyncio.StreamWriter], Awaitable[None]]) -> None:
        self.behave = behave
        self.received: list[tuple[int, Any]] = []
        self.frames = EventCounter()
        self.connections = 0

    async def __aenter__(self) -> "RawPeer":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                (length,) = struct.unpack("!I", await reader.readexactly(4))
                number, _, message = unpack(await reader.readexactly(length))
                self.received.append((number, message))
                self.frames.count_event()
                await self.behave(number, message, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    def pings(self) -> int:
        return sum(isinstance(message, PingCall) for _, message in self.received)


def send_answer(writer: asyncio.StreamWriter, number: int, message: tuple) -> None:
    data = pack(number=number, answer=True, message=message)
    writer.write(struct.pack("!I", len(data)) + data)


async def ignore(number: int, message: Any, writer: asyncio.StreamWriter) -> None:
    pass


class KeepAlives(TestCase):
    """Pings that distinguish a slow peer from a silent one."""

    def call(self, rpc_client: RpcClient, address: str, *, within: float = 3000.0) -> asyncio.Future:
        return asyncio.ensure_future(rpc_client.call(address, CALL, within=timedelta(seconds=within)))

    def assertSilent(self, result: Any) -> None:
        self.assertThat(result, IsInstance(Failure), str(result))
        self.assertThat(result.failure().kind, Equals(ErrorKind.SILENT))

    def test_calls_to_a_silent_peer_end_long_before_their_timeout(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient(keep_alive=KEEP_ALIVE)
            async with RawPeer(ignore) as peer:
                call = self.call(rpc_client, peer.address)
                await peer.frames.reach(1)
                for second in (1, 2):
                    await step(1)
                    await peer.frames.reach(1 + second)
                    self.assertThat((peer.pings(), call.done()), Equals((second, False)))
                await step(1)
                self.assertThat(call.done(), Equals(True))
                self.assertSilent(await call)
            rpc_client.close()

        run_stepped(work())

    def test_without_keep_alive_a_call_waits_for_its_whole_timeout(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient()
            async with RawPeer(ignore) as peer:
                call = self.call(rpc_client, peer.address, within=300)
                await peer.frames.reach(1)
                for _ in range(299):
                    await step(1)
                self.assertThat(call.done(), Equals(False))
                await step(1)
                self.assertThat(call.done(), Equals(True))
                self.assertSilent(await call)
                # A connection preserves order, so any ping written before this call would arrive before it.
                last = self.call(rpc_client, peer.address)
                await peer.frames.reach(2)
                self.assertThat([message for _, message in peer.received], Equals([CALL, CALL]))
                last.cancel()
            rpc_client.close()

        run_stepped(work())

    def test_a_slow_answer_is_waited_for_while_pings_are_answered(self) -> None:
        proceed = asyncio.Event()

        async def handler(message: tuple) -> tuple:
            await proceed.wait()
            return ANSWER

        async def work() -> None:
            rpc_client, traffic = RpcClient(keep_alive=KEEP_ALIVE), CountedTraffic()
            rpc_client.traffic = traffic
            server = RpcServer(address="127.0.0.1:0", handler=handler)
            await server.start()
            port = server._server.sockets[0].getsockname()[1]
            call = self.call(rpc_client, f"127.0.0.1:{port}")
            await traffic.frames_sent.reach(1)
            # Far longer than the keep-alive timeout.
            for second in range(1, 21):
                await step(1)
                await traffic.pings_answered.reach(second)
            self.assertThat((call.done(), traffic.pings_answered.count), Equals((False, 20)))
            proceed.set()
            self.assertThat(await call, Equals(Success(ANSWER)))
            rpc_client.close()
            await server.stop()

        run_stepped(work())

    def test_a_connection_without_calls_in_flight_is_not_pinged(self) -> None:
        async def answering(number: int, message: Any, writer: asyncio.StreamWriter) -> None:
            send_answer(writer, number, ANSWER)

        async def work() -> None:
            rpc_client = RpcClient(keep_alive=KEEP_ALIVE)
            async with RawPeer(answering) as peer:
                for _ in range(3):
                    self.assertThat(await self.call(rpc_client, peer.address), Equals(Success(ANSWER)))
                for _ in range(20):
                    await step(1)
                # The connection still works. It preserves order, so an earlier ping would arrive before this call.
                self.assertThat(await self.call(rpc_client, peer.address), Equals(Success(ANSWER)))
                self.assertThat([message for _, message in peer.received], Equals([CALL] * 4))
                self.assertThat(peer.connections, Equals(1))
            rpc_client.close()

        run_stepped(work())

    def test_all_calls_on_a_dead_connection_end_and_the_next_call_reconnects(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient(keep_alive=KEEP_ALIVE)
            silent = True

            async def behave(number: int, message: Any, writer: asyncio.StreamWriter) -> None:
                if not silent and not isinstance(message, PingCall):
                    send_answer(writer, number, ANSWER)

            async with RawPeer(behave) as peer:
                calls = [self.call(rpc_client, peer.address) for _ in range(5)]
                await peer.frames.reach(5)
                for _ in range(3):
                    self.assertThat([each.done() for each in calls], Equals([False] * 5))
                    await step(1)
                self.assertThat([each.done() for each in calls], Equals([True] * 5))
                for each in calls:
                    self.assertSilent(await each)
                silent = False
                self.assertThat(await self.call(rpc_client, peer.address), Equals(Success(ANSWER)))
                self.assertThat(peer.connections, Equals(2))
            rpc_client.close()

        run_stepped(work())

    def test_a_delayed_process_does_not_close_connections_to_live_peers(self) -> None:
        proceed = asyncio.Event()

        async def handler(message: tuple) -> tuple:
            await proceed.wait()
            return ANSWER

        async def work() -> None:
            rpc_client, traffic = RpcClient(keep_alive=KEEP_ALIVE), CountedTraffic()
            rpc_client.traffic = traffic
            server = RpcServer(address="127.0.0.1:0", handler=handler)
            await server.start()
            port = server._server.sockets[0].getsockname()[1]
            call = self.call(rpc_client, f"127.0.0.1:{port}")
            await traffic.frames_sent.reach(1)
            # Simulates a freeze of this process: it read no data for far longer than the keep-alive timeout.
            await step(5)
            self.assertThat(next(iter(rpc_client._connections.values())).closed, Equals(False))
            await traffic.pings_answered.reach(1)
            for second in range(2, 6):
                await step(1)
                await traffic.pings_answered.reach(second)
            proceed.set()
            self.assertThat(await call, Equals(Success(ANSWER)))
            rpc_client.close()
            await server.stop()

        run_stepped(work())

    def test_after_a_freeze_a_dead_peer_is_given_only_one_more_ping(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient(keep_alive=KEEP_ALIVE)
            async with RawPeer(ignore) as peer:
                call = self.call(rpc_client, peer.address)
                await peer.frames.reach(1)
                await step(50)
                await peer.frames.reach(2)
                self.assertThat((peer.pings(), call.done()), Equals((1, False)))
                await step(1)
                self.assertThat(call.done(), Equals(True))
                self.assertSilent(await call)
            rpc_client.close()

        run_stepped(work())


class LocalCalls(TestCase):
    """Calls to an address that the same process serves."""

    def test_a_call_to_an_own_address_opens_no_connection(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient()

            async def handler(message: tuple) -> tuple:
                return ANSWER if message == CALL else None

            # No process listens on this address.
            rpc_client.local_handlers["127.0.0.1:1"] = handler
            result = await rpc_client.call("127.0.0.1:1", CALL, within=timedelta(seconds=1))
            self.assertThat(result, Equals(Success(ANSWER)))
            self.assertThat(rpc_client._connections, Equals({}))
            # If the handler returns None, the local call ends as one without an answer, as on a connection.
            silent = await rpc_client.call("127.0.0.1:1", ProbeCall("other", ()), within=timedelta(seconds=1))
            self.assertThat(silent.failure().kind, Equals(ErrorKind.SILENT))

        run_stepped(work())

    def test_a_timeout_of_the_caller_does_not_cancel_the_handler(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient()
            started, proceed, done = EventCounter(), asyncio.Event(), EventCounter()

            async def handler(message: tuple) -> tuple:
                started.count_event()
                await proceed.wait()
                self.assertThat(message, Equals(CALL))
                done.count_event()
                return ANSWER

            rpc_client.local_handlers["home"] = handler
            call = asyncio.ensure_future(rpc_client.call("home", CALL, within=timedelta(seconds=2)))
            await started.reach(1)
            await step(1)
            self.assertThat(call.done(), Equals(False))
            await step(1)
            self.assertThat((call.done(), done.count), Equals((True, 0)))
            self.assertThat((await call).failure().kind, Equals(ErrorKind.SILENT))
            proceed.set()
            await done.reach(1)

        run_stepped(work())

    def test_a_call_that_is_no_longer_wanted_is_not_made(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient()
            called = []

            async def handler(message: tuple) -> tuple:
                called.append(message)
                return ANSWER

            rpc_client.local_handlers["home"] = handler
            result = await rpc_client.call("home", CALL, within=timedelta(seconds=1), still=lambda: False)
            self.assertThat((result.failure().kind, called), Equals((ErrorKind.UNREACHABLE, [])))

        run_stepped(work())

    def test_only_a_runtime_with_local_calls_registers_its_handlers(self) -> None:
        async def handler(message: tuple) -> tuple:
            return ANSWER

        async def work() -> None:
            for local in (True, False):
                runtime = RealRuntime(local_calls=local)
                server = await runtime.serve("127.0.0.1:0", handler)
                self.assertThat("127.0.0.1:0" in runtime.rpc_client.local_handlers, Equals(local))
                await server.stop()

        run_stepped(work())


class ThinLinks(TestCase):
    """Large calls fill a slow link: a connection that makes progress is alive, and opening one may take long."""

    def test_a_connection_is_closed_only_once_its_buffered_bytes_make_no_progress(self) -> None:
        waiting = [10000]

        def write(data: bytes) -> None:
            waiting[0] += len(data)

        writer = SimpleNamespace(
            write=write,
            is_closing=lambda: False,
            close=lambda: None,
            transport=SimpleNamespace(get_write_buffer_size=lambda: waiting[0]),
        )

        async def work() -> list[bool]:
            connection = Connection(
                reader=asyncio.StreamReader(), writer=writer, traffic=Traffic(), keep_alive=KEEP_ALIVE
            )
            connection.pending[1] = asyncio.get_running_loop().create_future()
            connection.write(number=1, message=CALL)
            connection.start_checks()
            closed = []
            for second in range(12):
                # The peer accepts bytes for eight seconds, far longer than the timeout, and then no more.
                waiting[0] -= 1000 if second < 8 else 0
                await step(1)
                closed.append(connection.closed)
            return closed

        self.assertThat(run_stepped(work()), Equals([False] * 10 + [True] * 2))

    def test_a_connection_that_opens_late_is_used_by_the_next_call(self) -> None:
        proceed, opened = asyncio.Event(), []
        open_connection = asyncio.open_connection

        async def open_slowly(host: str, port: int) -> tuple:
            opened.append(port)
            await proceed.wait()
            return await open_connection(host, port)

        async def answering(number: int, message: Any, writer: asyncio.StreamWriter) -> None:
            send_answer(writer, number, ANSWER)

        async def work() -> None:
            rpc_client = RpcClient(connect_timeout=timedelta(seconds=1))
            async with RawPeer(answering) as peer:
                first = asyncio.ensure_future(rpc_client.call(peer.address, CALL, within=timedelta(seconds=30)))
                await asyncio.sleep(0)
                await step(1)
                self.assertThat((await first).failure().kind, Equals(ErrorKind.UNREACHABLE))
                proceed.set()
                second = await rpc_client.call(peer.address, CALL, within=timedelta(seconds=30))
                self.assertThat((second, len(opened), len(peer.received)), Equals((Success(ANSWER), 1, 1)))
            rpc_client.close()

        self.patch(asyncio, "open_connection", open_slowly)
        run_stepped(work())

    def test_an_opening_that_takes_too_long_is_restarted(self) -> None:
        opened: list[int] = []

        async def never_open(host: str, port: int) -> tuple:
            opened.append(port)
            await asyncio.Event().wait()
            raise AssertionError

        async def work() -> None:
            rpc_client = RpcClient(connect_timeout=timedelta(seconds=1))
            for _ in range(5):
                call = asyncio.ensure_future(rpc_client.call("127.0.0.1:9", CALL, within=timedelta(seconds=30)))
                await asyncio.sleep(0)
                await step(1)
                self.assertThat((await call).failure().kind, Equals(ErrorKind.UNREACHABLE))
            rpc_client.close()

        self.patch(asyncio, "open_connection", never_open)
        run_stepped(work())
        self.assertThat(len(opened), Equals(2))
