"""Connections between processes: keep-alives that tell a silent machine from a slow one, and calls within one process.

The clock moves only by a test's own steps: nothing here depends on how busy the machine is.
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
    """A connection's traffic counts, and a way to wait for them."""

    def __init__(self) -> None:
        super().__init__()
        self.frames_sent = EventCounter()
        self.pings_answered = EventCounter()

    def count(self, way: str, message: tuple | None, size: int) -> None:
        super().count(way, message, size)
        if way == OUT:
            self.frames_sent.count_event()
        elif isinstance(message, PingAnswer):
            self.pings_answered.count_event()


class RawPeer:
    """A peer that reads complete frames and answers as the test says."""

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


def say(writer: asyncio.StreamWriter, number: int, message: tuple) -> None:
    data = pack(number=number, answer=True, message=message)
    writer.write(struct.pack("!I", len(data)) + data)


async def nothing(number: int, message: Any, writer: asyncio.StreamWriter) -> None:
    pass


class KeepAlives(TestCase):
    """Pings that tell a slow peer from a silent one."""

    def call(self, rpc_client: RpcClient, address: str, *, within: float = 3000.0) -> asyncio.Future:
        return asyncio.ensure_future(rpc_client.call(address, CALL, within=timedelta(seconds=within)))

    def assertSilent(self, result: Any) -> None:
        self.assertThat(result, IsInstance(Failure), str(result))
        self.assertThat(result.failure().kind, Equals(ErrorKind.SILENT))

    def test_a_peer_that_says_nothing_is_given_up_long_before_the_budget(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient(keep_alive=KEEP_ALIVE)
            async with RawPeer(nothing) as raw:
                call = self.call(rpc_client, raw.address)
                await raw.frames.reach(1)
                for second in (1, 2):
                    await step(1)
                    await raw.frames.reach(1 + second)
                    self.assertThat((raw.pings(), call.done()), Equals((second, False)))
                await step(1)
                self.assertThat(call.done(), Equals(True))
                self.assertSilent(await call)
            rpc_client.close()

        run_stepped(work())

    def test_without_pulses_the_whole_budget_is_waited_out(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient()
            async with RawPeer(nothing) as raw:
                call = self.call(rpc_client, raw.address, within=300)
                await raw.frames.reach(1)
                for _ in range(299):
                    await step(1)
                self.assertThat(call.done(), Equals(False))
                await step(1)
                self.assertThat(call.done(), Equals(True))
                self.assertSilent(await call)
                # A connection keeps order: whatever was written before would arrive before this call.
                last = self.call(rpc_client, raw.address)
                await raw.frames.reach(2)
                self.assertThat([message for _, message in raw.received], Equals([CALL, CALL]))
                last.cancel()
            rpc_client.close()

        run_stepped(work())

    def test_a_slow_answer_is_waited_for_while_the_pulse_is_felt(self) -> None:
        go = asyncio.Event()

        async def handler(message: tuple) -> tuple:
            await go.wait()
            return ANSWER

        async def work() -> None:
            rpc_client, traffic = RpcClient(keep_alive=KEEP_ALIVE), CountedTraffic()
            rpc_client.traffic = traffic
            server = RpcServer(address="127.0.0.1:0", handler=handler)
            await server.start()
            port = server._server.sockets[0].getsockname()[1]
            call = self.call(rpc_client, f"127.0.0.1:{port}")
            await traffic.frames_sent.reach(1)
            # Far longer than a ping's timeout.
            for second in range(1, 21):
                await step(1)
                await traffic.pings_answered.reach(second)
            self.assertThat((call.done(), traffic.pings_answered.count), Equals((False, 20)))
            go.set()
            self.assertThat(await call, Equals(Success(ANSWER)))
            rpc_client.close()
            await server.stop()

        run_stepped(work())

    def test_a_line_that_nobody_waits_on_has_no_pulse(self) -> None:
        async def answering(number: int, message: Any, writer: asyncio.StreamWriter) -> None:
            say(writer, number, ANSWER)

        async def work() -> None:
            rpc_client = RpcClient(keep_alive=KEEP_ALIVE)
            async with RawPeer(answering) as raw:
                for _ in range(3):
                    self.assertThat(await self.call(rpc_client, raw.address), Equals(Success(ANSWER)))
                for _ in range(20):
                    await step(1)
                # It is as good as new afterwards, and in order: a ping written before would arrive before.
                self.assertThat(await self.call(rpc_client, raw.address), Equals(Success(ANSWER)))
                self.assertThat([message for _, message in raw.received], Equals([CALL] * 4))
                self.assertThat(raw.connections, Equals(1))
            rpc_client.close()

        run_stepped(work())

    def test_all_calls_of_a_dead_line_end_and_the_next_one_opens_anew(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient(keep_alive=KEEP_ALIVE)
            silent = True

            async def behave(number: int, message: Any, writer: asyncio.StreamWriter) -> None:
                if not silent and not isinstance(message, PingCall):
                    say(writer, number, ANSWER)

            async with RawPeer(behave) as raw:
                calls = [self.call(rpc_client, raw.address) for _ in range(5)]
                await raw.frames.reach(5)
                for _ in range(3):
                    self.assertThat([each.done() for each in calls], Equals([False] * 5))
                    await step(1)
                self.assertThat([each.done() for each in calls], Equals([True] * 5))
                for each in calls:
                    self.assertSilent(await each)
                silent = False
                self.assertThat(await self.call(rpc_client, raw.address), Equals(Success(ANSWER)))
                self.assertThat(raw.connections, Equals(2))
            rpc_client.close()

        run_stepped(work())

    def test_whoever_was_late_itself_gives_nobody_up_for_it(self) -> None:
        go = asyncio.Event()

        async def handler(message: tuple) -> tuple:
            await go.wait()
            return ANSWER

        async def work() -> None:
            rpc_client, traffic = RpcClient(keep_alive=KEEP_ALIVE), CountedTraffic()
            rpc_client.traffic = traffic
            server = RpcServer(address="127.0.0.1:0", handler=handler)
            await server.start()
            port = server._server.sockets[0].getsockname()[1]
            call = self.call(rpc_client, f"127.0.0.1:{port}")
            await traffic.frames_sent.reach(1)
            # As after a freeze of this process: nothing was read for far longer than a ping's timeout.
            await step(5)
            self.assertThat(next(iter(rpc_client._connections.values())).closed, Equals(False))
            await traffic.pings_answered.reach(1)
            for second in range(2, 6):
                await step(1)
                await traffic.pings_answered.reach(second)
            go.set()
            self.assertThat(await call, Equals(Success(ANSWER)))
            rpc_client.close()
            await server.stop()

        run_stepped(work())

    def test_a_freeze_of_ones_own_spares_a_dead_peer_for_one_pulse_only(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient(keep_alive=KEEP_ALIVE)
            async with RawPeer(nothing) as raw:
                call = self.call(rpc_client, raw.address)
                await raw.frames.reach(1)
                await step(50)
                await raw.frames.reach(2)
                self.assertThat((raw.pings(), call.done()), Equals((1, False)))
                await step(1)
                self.assertThat(call.done(), Equals(True))
                self.assertSilent(await call)
            rpc_client.close()

        run_stepped(work())


class LocalCalls(TestCase):
    """Calls to an address of the same process."""

    def test_a_call_to_an_address_of_ones_own_never_touches_the_network(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient()

            async def handler(message: tuple) -> tuple:
                return ANSWER if message == CALL else None

            # Nobody listens there.
            rpc_client.local_handlers["127.0.0.1:1"] = handler
            result = await rpc_client.call("127.0.0.1:1", CALL, within=timedelta(seconds=1))
            self.assertThat(result, Equals(Success(ANSWER)))
            self.assertThat(rpc_client._connections, Equals({}))
            # "No answer" of a local call is silence, as on a connection.
            silent = await rpc_client.call("127.0.0.1:1", ProbeCall("other", ()), within=timedelta(seconds=1))
            self.assertThat(silent.failure().kind, Equals(ErrorKind.SILENT))

        run_stepped(work())

    def test_whoever_stops_waiting_does_not_stop_the_work(self) -> None:
        async def work() -> None:
            rpc_client = RpcClient()
            began, go, done = EventCounter(), asyncio.Event(), EventCounter()

            async def handler(message: tuple) -> tuple:
                began.count_event()
                await go.wait()
                self.assertThat(message, Equals(CALL))
                done.count_event()
                return ANSWER

            rpc_client.local_handlers["home"] = handler
            call = asyncio.ensure_future(rpc_client.call("home", CALL, within=timedelta(seconds=2)))
            await began.reach(1)
            await step(1)
            self.assertThat(call.done(), Equals(False))
            await step(1)
            self.assertThat((call.done(), done.count), Equals((True, 0)))
            self.assertThat((await call).failure().kind, Equals(ErrorKind.SILENT))
            go.set()
            await done.reach(1)

        run_stepped(work())

    def test_what_is_no_longer_wanted_is_not_called(self) -> None:
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

    def test_only_a_runtime_that_was_asked_to_knows_its_home(self) -> None:
        async def handler(message: tuple) -> tuple:
            return ANSWER

        async def work() -> None:
            for home in (True, False):
                runtime = RealRuntime(local_calls=home)
                server = await runtime.serve("127.0.0.1:0", handler)
                self.assertThat("127.0.0.1:0" in runtime.rpc_client.local_handlers, Equals(home))
                await server.stop()

        run_stepped(work())


class ThinLinks(TestCase):
    """Large calls fill a slow link: a connection whose bytes go on is alive, and one may take long to open."""

    def test_a_line_is_given_up_only_once_its_bytes_stand_still(self) -> None:
        waiting = [10000]

        def write(data: bytes) -> None:
            waiting[0] += len(data)

        writer = SimpleNamespace(
            write=write,
            close=lambda: None,
            transport=SimpleNamespace(get_write_buffer_size=lambda: waiting[0]),
        )

        async def work() -> list[bool]:
            line = Connection(reader=asyncio.StreamReader(), writer=writer, traffic=Traffic(), keep_alive=KEEP_ALIVE)
            line.pending[1] = asyncio.get_running_loop().create_future()
            line.write(number=1, message=CALL)
            line.start_checks()
            closed = []
            for second in range(12):
                # They go on for eight seconds, which is far more than the timeout, and then no more.
                waiting[0] -= 1000 if second < 8 else 0
                await step(1)
                closed.append(line.closed)
            return closed

        self.assertThat(run_stepped(work()), Equals([False] * 10 + [True] * 2))

    def test_a_connection_that_opens_late_serves_the_next_call(self) -> None:
        go, opened = asyncio.Event(), []
        open_connection = asyncio.open_connection

        async def slowly(host: str, port: int) -> tuple:
            opened.append(port)
            await go.wait()
            return await open_connection(host, port)

        async def answering(number: int, message: Any, writer: asyncio.StreamWriter) -> None:
            say(writer, number, ANSWER)

        async def work() -> None:
            rpc_client = RpcClient(connect_timeout=timedelta(seconds=1))
            async with RawPeer(answering) as raw:
                first = asyncio.ensure_future(rpc_client.call(raw.address, CALL, within=timedelta(seconds=30)))
                await asyncio.sleep(0)
                await step(1)
                self.assertThat((await first).failure().kind, Equals(ErrorKind.UNREACHABLE))
                go.set()
                second = await rpc_client.call(raw.address, CALL, within=timedelta(seconds=30))
                self.assertThat((second, len(opened), len(raw.received)), Equals((Success(ANSWER), 1, 1)))
            rpc_client.close()

        self.patch(asyncio, "open_connection", slowly)
        run_stepped(work())

    def test_an_opening_that_takes_too_long_is_begun_anew(self) -> None:
        opened: list[int] = []

        async def never(host: str, port: int) -> tuple:
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

        self.patch(asyncio, "open_connection", never)
        run_stepped(work())
        self.assertThat(len(opened), Equals(2))
