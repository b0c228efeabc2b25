"""Requests and answers split at any byte: each is read to its end, and no connection spins or is left unread."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.proxy.http_framing import BodyReceived, HeadReceived, MessageFraming
from hoistsaddle.proxy.server_connection import ServerConnection
from hoistsaddle.sidecar.guarded_http import GuardedConnection, GuardedServer, HttpLimits
from hoistsaddle.sidecar.listener import LARGEST_HEADER
from test_proxy_http_framing import body_in_chunks, decoded

SEED = 57
PIECES = 1000
PAYLOAD = b"one\r\n\r\ntwo\r\n0\r\n\r\n" * 2
LENGTH_HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
CHUNKED_HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
TRAILERS = b"Check: abc\r\nOther: \r\n"
# Bodies as they are sent, with the payload of each.
BODIES: dict[str, tuple[bytes, bytes]] = {
    "length": (LENGTH_HEAD % len(PAYLOAD) + PAYLOAD, PAYLOAD),
    "no body": (LENGTH_HEAD % 0, b""),
    "chunks": (CHUNKED_HEAD + body_in_chunks(PAYLOAD, sizes=[5, 9]), PAYLOAD),
    "chunks of one byte": (CHUNKED_HEAD + body_in_chunks(PAYLOAD, sizes=[1] * len(PAYLOAD)), PAYLOAD),
    "extensions": (CHUNKED_HEAD + body_in_chunks(PAYLOAD, sizes=[7], extension=b";a=b"), PAYLOAD),
    "trailers": (CHUNKED_HEAD + body_in_chunks(PAYLOAD, sizes=[20], trailers=TRAILERS), PAYLOAD),
    "empty in chunks": (CHUNKED_HEAD + body_in_chunks(b"", sizes=[]), b""),
    "empty with trailers": (CHUNKED_HEAD + body_in_chunks(b"", sizes=[], trailers=TRAILERS), b""),
}
# The turns of the event loop after which nothing of a segment may be left to do.
SETTLED_TURNS = 40


def read(pieces: list[bytes]) -> tuple[int, bytes, int]:
    """Feed pieces; return the heads, the payload, and the calls of `next_part` that used nothing but counted pieces."""
    framing = MessageFraming()
    heads, idle_calls = 0, 0
    body: list[bytes] = []
    payload = b""
    for piece in pieces:
        framing.feed(piece)
        while True:
            before = framing.pending_bytes
            part, counted = framing.next_part(max_pieces=PIECES)
            match part:
                case HeadReceived(data):
                    heads += 1
                    chunked = b"chunked" in data
                    length = None if chunked else int(data.partition(b"Content-Length: ")[2].partition(b"\r\n")[0])
                    framing.begin_body(length=length)
                case BodyReceived():
                    body.append(part.coded())
                    if not chunked:
                        payload += part.payload
                        body.clear()
                    elif framing.in_head:
                        payload += decoded(body)
                        body.clear()
            if framing.pending_bytes == before:
                idle_calls += counted > 0
                break
    return heads, payload, idle_calls


class SplitFraming(TestCase):
    """Guards against a body that is never read to its end because of where its segments end (review/6)."""

    def test_at_any_byte(self) -> None:
        for name, (data, payload) in BODIES.items():
            for split in range(len(data) + 1):
                self.assertThat(read([data[:split], data[split:]]), Equals((1, payload, 0)), f"{name} at {split}")

    def test_at_any_two_bytes(self) -> None:
        for name in ("trailers", "empty with trailers", "empty in chunks"):
            data, payload = BODIES[name]
            for first in range(len(data)):
                for second in range(first, len(data)):
                    pieces = [data[:first], data[first:second], data[second:]]
                    self.assertThat(read(pieces), Equals((1, payload, 0)), f"{name} at {first} and {second}")

    def test_byte_by_byte_and_at_random_with_more_requests_behind(self) -> None:
        print(f"seed {SEED}")
        rng = random.Random(SEED)
        every = list(BODIES.values())
        for _ in range(200):
            drawn = rng.choices(every, k=rng.randint(1, 4))
            data, payload = b"".join(each for each, _ in drawn), b"".join(each for _, each in drawn)
            size = rng.choice((1, 2, 3, 7, 50))
            pieces = [data[first : first + size] for first in range(0, len(data), size)]
            self.assertThat(read(pieces), Equals((len(drawn), payload, 0)), f"{size} bytes")


class CountedTurns(GuardedConnection):
    """A connection that counts how often it goes through what is pending."""

    __slots__ = ()
    advances = 0

    def _advance_once(self) -> bool:
        CountedTurns.advances += 1
        return super()._advance_once()


class CountingServer(GuardedServer):
    def __call__(self) -> CountedTurns:
        return CountedTurns(self, loop=self._loop, **self._kwargs)


async def echo(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=await request.read())


async def turns(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


class SplitRequests(TestCase):
    """The same at a listener, on real connections, with the requests of many of them at once."""

    def run_with(self, work: Callable[[Callable[[], Awaitable[Any]]], Awaitable[None]]) -> ByteBudget:
        budget = ByteBudget(memory_megabytes=300, descriptors=4000)

        async def run() -> None:
            server = CountingServer(
                echo,
                budget=budget,
                limits=HttpLimits,
                access_log=None,
                max_line_size=LARGEST_HEADER,
                max_field_size=LARGEST_HEADER,
            )
            listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
            port = listener.sockets[0].getsockname()[1]
            await work(lambda: asyncio.open_connection("127.0.0.1", port))
            while budget.connections:
                await asyncio.sleep(0)
            listener.close()

        asyncio.run(run())
        return budget

    def test_each_split_is_answered_and_nothing_spins_in_between(self) -> None:
        async def work(connect: Callable[[], Awaitable[Any]]) -> None:
            for name, (data, payload) in BODIES.items():
                for split in range(1, len(data)):
                    reader, writer = await connect()
                    writer.write(data[:split])
                    await turns(SETTLED_TURNS)
                    before = CountedTurns.advances
                    await turns(SETTLED_TURNS)
                    self.assertThat(CountedTurns.advances, Equals(before), f"{name} at {split} spins")
                    writer.write(data[split:])
                    head = await reader.readuntil(b"\r\n\r\n")
                    self.assertThat(head.startswith(b"HTTP/1.1 200"), Equals(True), f"{name} at {split}")
                    self.assertThat(await reader.readexactly(len(payload)), Equals(payload), f"{name} at {split}")
                    writer.close()

        self.assertThat(self.run_with(work).held, Equals(0))

    def test_a_client_that_leaves_in_the_middle_is_noticed(self) -> None:
        async def work(connect: Callable[[], Awaitable[Any]]) -> None:
            data, _ = BODIES["trailers"]
            for split in range(1, len(data)):
                _, writer = await connect()
                writer.write(data[:split])
                await turns(SETTLED_TURNS)
                writer.transport.abort()

        self.assertThat(self.run_with(work).held, Equals(0))


ANSWERS: dict[str, tuple[bytes, bytes]] = {
    "length": (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(PAYLOAD) + PAYLOAD, PAYLOAD),
    "no body": (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body_in_chunks(PAYLOAD, sizes=[5, 9]),
        PAYLOAD,
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + body_in_chunks(PAYLOAD, sizes=[20], trailers=TRAILERS),
        PAYLOAD,
    ),
    "interim": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        b"abc",
    ),
}


class SplitAnswers(TestCase):
    """A server's answer is whole, and its connection known to be at its end, wherever the answer is split."""

    def received(self, pieces: list[bytes]) -> tuple[bytes, bool]:
        async def run() -> tuple[bytes, bool]:
            connection = ServerConnection(asyncio.get_running_loop(), budget=ByteBudget())
            connection.begin(with_body=True)
            for piece in pieces:
                connection.data_received(piece)
            answer = await connection.answer()
            surplus = connection.finish()
            return answer.body, not surplus and not connection.dirty

        return asyncio.run(run())

    def test_at_any_byte(self) -> None:
        for name, (data, payload) in ANSWERS.items():
            for split in range(len(data) + 1):
                pieces = [piece for piece in (data[:split], data[split:]) if piece]
                self.assertThat(self.received(pieces), Equals((payload, True)), f"{name} at {split}")

    def test_byte_by_byte(self) -> None:
        for name, (data, payload) in ANSWERS.items():
            pieces = [data[first : first + 1] for first in range(len(data))]
            self.assertThat(self.received(pieces), Equals((payload, True)), name)

    def test_surplus_bytes_are_no_end_wherever_they_begin(self) -> None:
        for name, (data, payload) in ANSWERS.items():
            if name == "interim":
                continue
            for split in range(len(data) + 1):
                pieces = [piece for piece in (data[:split], data[split:] + b"x") if piece]
                self.assertThat(self.received(pieces)[1], Equals(False), f"{name} at {split}")
