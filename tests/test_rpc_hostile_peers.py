"""A faulty node's frames: none is followed beyond its bytes, and many leave the event loop and the memory to others."""

import asyncio
import random
import struct
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.rpc.calls_in_flight import MAX_BYTES_WITHOUT_ROOM, MAX_CALLS_IN_FLIGHT
from hoistsaddle.rpc.client import RpcClient
from hoistsaddle.rpc.codec import pack, unpack_frame
from hoistsaddle.rpc.frame_check import MAX_VALUES, MalformedFrame, check_frame
from hoistsaddle.rpc.frame_turns import FRAMES_PER_ITERATION, FRAMES_PER_TURN
from hoistsaddle.rpc.messages import FollowCall, ForwardCall, MemberState, PingAnswer, PingCall, ProbeAnswer
from hoistsaddle.rpc.server import RpcServer

SECOND = timedelta(seconds=1)
SEEDS = range(3000)
# Only ends a test that hangs.
MAX_SECONDS = 60.0
FIELD = b"\x00\x63"


def forward_call(*, body: bytes = b"x" * 50) -> ForwardCall:
    return ForwardCall("a", "s", "t", "i", SECOND, SECOND, 1, "r", "POST", b"/", b"", body, "c", "ca")


def framed(message: tuple, *, number: int = 1, answer: bool = False) -> bytes:
    frame = pack(number=number, answer=answer, message=message)
    return struct.pack("!I", len(frame)) + frame


def container(kind: bytes, head: bytes, count: int, data: bytes = b"") -> bytes:
    """A frame with a list, set or map of an unknown field."""
    return kind + FIELD + head + struct.pack("!i", count) + data + b"\x00"


class Frames(TestCase):
    """Guards against frames that a decoder follows behind their end, for minutes or gigabytes (issue 64)."""

    def test_messages_pass(self) -> None:
        states = tuple(MemberState(f"n{index}", "stall", "h:1", "a", "life", 1, "alive") for index in range(800))
        for message in (PingCall(""), forward_call(), forward_call(body=bytes(3_000_000)), ProbeAnswer("n", states)):
            self.assertThat(unpack_frame(pack(number=1, answer=False, message=message)).message, Equals(message))

    def test_lengths_and_counts_that_are_not_there(self) -> None:
        many = 2**31 - 1
        for frame in (
            b"\x0b" + FIELD + struct.pack("!i", many) + b"\x00",
            b"\x0b" + FIELD + struct.pack("!i", -1) + b"\x00",
            container(b"\x0f", b"\x02", many),
            container(b"\x0e", b"\x0a", many),
            # Elements of a type without a size, which a decoder skips without reading anything.
            container(b"\x0f", b"\x01", many),
            container(b"\x0f", b"\x01", 1),
            container(b"\x0d", b"\x02\x02", many),
            container(b"\x0d", b"\x0b\x02", 3, b"\x00\x00\x00\x00\x01"),
            b"\x0c" + FIELD * 3,
            b"\x0c\x00\x63" * 100_000,
            b"\x0f\x00\x63\x0f" * 100_000,
            b"",
            b"\x0a\x00",
        ):
            self.assertRaises(MalformedFrame, check_frame, frame)
            self.assertRaises(ValueError, unpack_frame, frame)

    def test_values_are_bounded(self) -> None:
        self.assertRaises(MalformedFrame, check_frame, b"\x02\x00\x63\x01" * (MAX_VALUES + 1) + b"\x00")
        count = MAX_VALUES + 1
        self.assertRaises(MalformedFrame, check_frame, container(b"\x0f", b"\x02", count, bytes(count)))
        check_frame(container(b"\x0f", b"\x02", count - 10, bytes(count - 10)))

    def test_any_changed_bytes_end_in_a_message_or_an_error(self) -> None:
        calls = (forward_call(), ProbeAnswer("n", (MemberState("n", "stall", "h:1", "a", "life", 1, "alive"),) * 3))
        messages = [pack(number=1, answer=False, message=call) for call in calls]
        print(f"seeds {SEEDS}")
        refused = 0
        for seed in SEEDS:
            source = random.Random(seed)
            data = bytearray(source.choice(messages))
            for _ in range(source.randint(1, 4)):
                data[source.randrange(len(data))] = source.randrange(256)
            cut = len(data) if source.random() < 0.7 else source.randrange(len(data))
            try:
                unpack_frame(bytes(data[:cut]))
            except ValueError:
                refused += 1
        self.assertThat(refused, GreaterThan(len(SEEDS) // 2))


class Connections(TestCase):
    """Guards against peers that occupy the event loop or fill the memory with small frames (issue 64)."""

    def run_server(self, handler: Any, work: Callable[[asyncio.StreamWriter], Any], *, budget: ByteBudget) -> None:
        async def run() -> None:
            server = RpcServer(address="127.0.0.1:0", handler=handler, budget=budget)
            await server.start()
            port = server._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
            async with asyncio.timeout(MAX_SECONDS):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                await work(writer)
                writer.transport.abort()
            await server.stop()

        asyncio.run(run())

    def test_a_servers_loop_turns_between_small_frames(self) -> None:
        handled = 0
        total = 5000

        async def count(message: tuple) -> None:
            nonlocal handled
            handled += 1

        async def work(writer: asyncio.StreamWriter) -> None:
            writer.write(framed(FollowCall("a", "b", SECOND)) * total)
            most = before = 0
            while handled < total:
                await asyncio.sleep(0)
                most, before = max(most, handled - before), handled
            self.assertThat(most, LessThan(FRAMES_PER_ITERATION + FRAMES_PER_TURN + 1))

        self.run_server(count, work, budget=ByteBudget())

    def test_a_callers_loop_turns_between_answers(self) -> None:
        total = 5000
        stop = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(4)
            writer.write(framed(PingAnswer(""), number=99, answer=True) * total)
            await stop.wait()
            writer.close()

        async def run() -> int:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            client = RpcClient()
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            call = asyncio.ensure_future(
                client.call(address, FollowCall("a", "b", SECOND), within=MAX_SECONDS * SECOND)
            )
            most = before = 0
            async with asyncio.timeout(MAX_SECONDS):
                while (handled := client.traffic.frames["in", "PingAnswer"]) < total:
                    most, before = max(most, handled - before), handled
                    await asyncio.sleep(0)
            stop.set()
            call.cancel()
            client.close()
            server.close()
            return most

        self.assertThat(asyncio.run(run()), LessThan(FRAMES_PER_ITERATION + FRAMES_PER_TURN + 1))

    def test_calls_in_flight_of_a_connection_are_bounded(self) -> None:
        begun = 0
        release = asyncio.Event()

        async def wait(message: tuple) -> None:
            nonlocal begun
            begun += 1
            await release.wait()

        async def work(writer: asyncio.StreamWriter) -> None:
            total = 2 * MAX_CALLS_IN_FLIGHT
            writer.write(framed(FollowCall("a", "b", SECOND)) * total)
            await self._until_quiet(lambda: begun)
            self.assertThat(begun, Equals(MAX_CALLS_IN_FLIGHT))
            release.set()
            await self._until_quiet(lambda: begun)
            self.assertThat(begun, Equals(total))

        self.run_server(wait, work, budget=ByteBudget())

    def test_small_calls_count_and_wait_while_there_is_no_room(self) -> None:
        budget = ByteBudget(memory_megabytes=100)
        other = budget.lease()
        other.resize(budget.max_bytes or 0)
        begun = 0

        async def wait(message: tuple) -> None:
            nonlocal begun
            begun += 1
            await asyncio.Event().wait()

        async def work(writer: asyncio.StreamWriter) -> None:
            writer.write(framed(forward_call(body=bytes(60_000))) * 100)
            await self._until_quiet(lambda: begun)
            self.assertThat(budget.held - other.size, LessThan(MAX_BYTES_WITHOUT_ROOM + 2 * 65536))
            self.assertThat(begun, Equals(MAX_BYTES_WITHOUT_ROOM // 60_000 + 1))

        self.run_server(wait, work, budget=budget)

    @staticmethod
    async def _until_quiet(count: Callable[[], int]) -> None:
        """Wait until a count has begun to grow and has stayed the same for many iterations of the event loop."""
        same, before = 0, count()
        while same < 1000 or not before:
            await asyncio.sleep(0)
            same, before = (same + 1, before) if count() == before else (0, count())
