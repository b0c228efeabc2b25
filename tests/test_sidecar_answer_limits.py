"""Answers of servers are counted as they arrive, and while their clients read them."""

import asyncio
from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.byte_budget import COPIES_OF_A_BODY, OWN_MEMORY_BYTES, ByteBudget
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.common.reading_watch import ReadingWatch
from hoistsaddle.proxy.answer_reader import MAX_HEAD_BYTES
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.server_connections import ServerConnectionPool
from raw_server import ID, Case, RawServer, ServerRequest, answer

MEGABYTE = 1024 * 1024


class Answers(Case):
    """Guards against answers of servers that nobody counts (issue 51)."""

    def setUp(self) -> None:
        super().setUp()
        own = OWN_MEMORY_BYTES / MEGABYTE
        self.budget = ByteBudget(memory_megabytes=own + COPIES_OF_A_BODY)

    def line(self) -> ServerConnectionPool:
        return ServerConnectionPool(header_names=HeaderNames(), counters=Counters(owner="test"), budget=self.budget)

    async def send_broken(self, line: ServerConnectionPool, raw: RawServer) -> None:
        result = await self.send(line, raw)
        self.assertThat(result.error.kind, Equals(ErrorKind.ANSWER_BROKEN))

    def test_a_large_answer_arrives_whole_and_is_given_back_to_the_budget(self) -> None:
        body = b"x" * 3 * MEGABYTE

        async def behave(asked: ServerRequest) -> None:
            asked.say(answer(asked.send, body))

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            for number in range(3):
                self.assertServed(await self.send(line, raw, f"s{number}"), body)
                self.assertThat(self.budget.held, Equals(0))

        self.run_with(behave, work)

    def test_a_large_answer_is_broken_off_while_others_hold_the_budget(self) -> None:
        other = self.budget.lease()
        other.resize(self.budget.max_bytes or 0)

        async def behave(asked: ServerRequest) -> None:
            asked.say(answer(asked.send, b"x" * 3 * MEGABYTE))

        async def small(asked: ServerRequest) -> None:
            asked.say(answer(asked.send, b"small"))

        self.run_with(behave, self.send_broken)
        other.resize((self.budget.max_bytes or 0) - 1024)

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            self.assertServed(await self.send(line, raw), b"small")

        self.run_with(small, work)

    def test_a_head_without_end_is_broken_off(self) -> None:
        async def behave(asked: ServerRequest) -> None:
            asked.say(b"HTTP/1.1 200 OK\r\n" + f"{ID}: {asked.send}\r\n".encode())
            for number in range(MAX_HEAD_BYTES // 1000 + 1):
                asked.say(b"X-%d: " % number + b"y" * 1000 + b"\r\n")

        self.run_with(behave, self.send_broken)

    def test_chunks_of_an_answer_count_as_what_they_cost(self) -> None:
        other = self.budget.lease()
        other.resize(100_000)

        async def behave(asked: ServerRequest) -> None:
            asked.say(f"HTTP/1.1 200 OK\r\n{ID}: {asked.send}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
            # 60 kB on the wire, and over 1 MB as objects of the parser.
            asked.say(b"1\r\nx\r\n" * 10_000)

        self.run_with(behave, self.send_broken)


class Transport:
    """A transport whose write buffer a test sets."""

    def __init__(self) -> None:
        self.buffered = 1000
        self.aborted = False

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def abort(self) -> None:
        self.aborted = True


class Loop:
    """An event loop whose only timer a test fires."""

    def call_later(self, delay: float, callback: object) -> asyncio.TimerHandle:
        self.fire = callback
        return asyncio.TimerHandle(0.0, lambda: None, (), _NO_LOOP)


_NO_LOOP = asyncio.new_event_loop()


class Watch(TestCase):
    """Guards against clients that read no answer and keep it in memory (issue 51)."""

    def test_a_peer_that_reads_nothing_for_a_whole_timeout_is_cut_off_and_a_slow_one_is_not(self) -> None:
        loop, transport = Loop(), Transport()
        ReadingWatch(loop=loop, transport=transport, timeout=timedelta(seconds=1))  # type: ignore[arg-type]
        loop.fire()  # type: ignore[operator]
        for _ in range(5):
            transport.buffered -= 1
            loop.fire()  # type: ignore[operator]
        self.assertThat(transport.aborted, Equals(False))
        loop.fire()  # type: ignore[operator]
        self.assertThat(transport.aborted, Equals(True))
