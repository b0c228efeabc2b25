"""Pooled connections to a server, against a small raw one that does everything a server shouldn't.

The clock moves only by a test's own steps: nothing here depends on how busy the machine is.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from testtools.matchers import Equals

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.sidecar.header_pairs import pack_pairs, unpack_pairs
from hoistsaddle.sidecar.server_connections import ServerConnectionPool
from raw_server import ID, Case, RawServer, ServerRequest, answer, plain
from stepped_clock import run_stepped, step


class Requests(Case):
    def test_the_request_goes_as_it_came_but_for_what_concerns_one_connection(self) -> None:
        pairs = [
            (b"Host", b"shop.example"),
            (b"Connection", b"close"),
            (b"X-Own", b"kept"),
            (b"x-own", b"twice"),
            (b"X-Hoistsaddle-Caller", b"liar"),
            (b"X-Hoistsaddle-Send", b"other"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Expect", b"100-continue"),
        ]

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            result = await self.send(line, raw, method="POST", body=b"the body", headers=pack_pairs(pairs))
            self.assertServed(result, b"to s1")
            await self.send(line, raw, "s2")

        raw = self.run_with(plain, work)
        first, second = raw.asked
        self.assertThat((first.line, first.body), Equals(("POST /read/x?a=b HTTP/1.1", b"the body")))
        self.assertThat(
            {name: value for name, value in first.headers.items() if name != "X-Hoistsaddle-Budget"},
            Equals(
                {
                    "Host": "shop.example",
                    "X-Own": "kept",
                    "x-own": "twice",
                    ID: "s1",
                    "X-Hoistsaddle-Caller": "portal",
                    "X-Hoistsaddle-Instance": "i-1",
                    "Content-Length": "8",
                }
            ),
        )
        self.assertThat(sorted(first.names), Equals(sorted(first.headers)))
        self.assertThat(first.headers["X-Hoistsaddle-Budget"], Equals("2000"))
        self.assertThat("Content-Length" in second.headers, Equals(False))

    def test_a_body_of_nothing_has_its_length_too(self) -> None:
        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw, method="POST")

        self.assertThat(self.run_with(plain, work).asked[0].headers["Content-Length"], Equals("0"))


class Answers(Case):
    def one(self, behave: Callable[[ServerRequest], Awaitable[None]], **changes: Any) -> tuple:
        result: list[tuple] = []

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            result.append(await self.send(line, raw, **changes))

        self.run_with(behave, work)
        return result[0]

    def saying(self, *parts: bytes, cut: bool = False) -> Callable[[ServerRequest], Awaitable[None]]:
        async def behave(asked: ServerRequest) -> None:
            for part in parts:
                asked.say(part)
                await asked.writer.drain()
            if cut:
                # What was sent before is on its way: it arrives before the end.
                asked.cut()

        return behave

    def test_status_body_and_headers_come_back_as_they_are(self) -> None:
        result = self.one(self.saying(answer("s1", b"\x00\xff", "X-Seal: a", "X-Seal: b", status="418 Teapot")))
        self.assertServed(result, b"\x00\xff", status=418)
        seals = [value for name, value in unpack_pairs(result.headers) if name == b"X-Seal"]
        self.assertThat((seals, result.not_run), Equals(([b"a", b"b"], False)))

    def test_chunks_make_one_body(self) -> None:
        body = b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
        head = answer("s1", b"", "Transfer-Encoding: chunked", length=False)
        self.assertServed(self.one(self.saying(head, body[:6], body[6:])), b"abcdefg")

    def test_chunks_that_break_off_are_no_answer(self) -> None:
        head = answer("s1", b"", "Transfer-Encoding: chunked", length=False)
        self.assertMissed(self.one(self.saying(head, b"3\r\nabc\r\n", cut=True)), ErrorKind.ANSWER_BROKEN)

    def test_a_head_only_answer_has_no_body(self) -> None:
        head = b"HTTP/1.1 200 OK\r\n" + f"{ID}: s1\r\nContent-Length: 900\r\n\r\n".encode()
        self.assertServed(self.one(self.saying(head), method="HEAD"), b"")

    def test_answers_without_a_body_by_their_status(self) -> None:
        for status in ("204 No Content", "304 Not Modified"):
            head = f"HTTP/1.1 {status}\r\n{ID}: s1\r\n\r\n".encode()
            self.assertServed(self.one(self.saying(head)), b"", status=int(status[:3]))

    def test_words_before_the_answer_are_passed_over(self) -> None:
        hints = f"HTTP/1.1 103 Early Hints\r\n{ID}: s0\r\n\r\n".encode()

        async def early(asked: ServerRequest) -> None:
            asked.say(b"HTTP/1.1 100 Continue\r\n\r\n" + hints + answer(asked.send, b"real"))

        raw, bodies = self.bodies(early, 2)
        self.assertThat((raw.connections, bodies), Equals((1, [b"real", b"real"])))

    def test_a_cut_answer_is_no_answer_wherever_it_is_cut(self) -> None:
        complete = answer("s1", b"0123456789")
        for length in (0, 5, 20, len(complete) - 12, len(complete) - 10, len(complete) - 1):
            self.assertMissed(self.one(self.saying(complete[:length], cut=True)), ErrorKind.ANSWER_BROKEN)

    def test_an_answer_that_ends_where_its_connection_ends_may_end_anywhere(self) -> None:
        head = answer("s1", b"", "Connection: close", length=False)
        self.assertMissed(self.one(self.saying(head, b"some", cut=True)), ErrorKind.ANSWER_BROKEN)

    def test_nor_does_one_that_ends_there_before_its_body_has_begun(self) -> None:
        """Found on a day of the platform: a head without a length and then nothing was passed on as an empty body."""
        for more in ((), ("Connection: close",), ("Transfer-Encoding: identity",)):
            for cut in (False, True):
                head = answer("s1", b"", *more, length=False)

                async def ending(asked: ServerRequest, head: bytes = head, cut: bool = cut) -> None:
                    asked.say(head)
                    await asked.writer.drain()
                    asked.cut() if cut else asked.writer.close()

                self.assertMissed(self.one(ending), ErrorKind.ANSWER_BROKEN)

    def test_garbage_is_no_answer(self) -> None:
        for garbage in (b"\x00\x01\x02\x03", b"HTTP/1.1 abc", b"SSH-2.0-x", b"HTTP/1.1 200 OK\r\n:"):
            result = self.one(self.saying(garbage + b"\r\n\r\n", cut=True))
            self.assertMissed(result, ErrorKind.ANSWER_BROKEN)

    def test_an_encoded_answer_is_not_the_servers_body(self) -> None:
        result = self.one(self.saying(answer("s1", b"\x1f\x8b\x08", "Content-Encoding: gzip")))
        self.assertMissed(result, ErrorKind.ANSWER_BROKEN)

    def test_an_answer_without_the_id_or_with_two_is_nobodys(self) -> None:
        for head in ("X-Other: s1", f"{ID}: s2", f"{ID}: s1\r\n{ID}: s1"):
            data = f"HTTP/1.1 200 OK\r\n{head}\r\nContent-Length: 2\r\n\r\nno".encode()
            self.assertMissed(self.one(self.saying(data, cut=True)), ErrorKind.ANSWER_BROKEN)

    def test_silence_ends_with_the_budget(self) -> None:
        async def silent(asked: ServerRequest) -> None:
            await asyncio.Event().wait()

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            waiting = asyncio.ensure_future(self.send(line, raw, within=2.0))
            await raw.requests.reach(1)
            await step(1.75)
            self.assertThat(waiting.done(), Equals(False))
            await step(0.25)
            self.assertThat(waiting.done(), Equals(True))
            self.assertMissed(await waiting, ErrorKind.BUDGET_SPENT)

        self.run_with(silent, work)

    def test_only_the_servers_own_word_says_that_it_did_not_run(self) -> None:
        for more, status, not_run in (
            (("X-Hoistsaddle-Not-Run: 1",), "503 Full", True),
            (("x-hoistsaddle-not-run: true",), "429 Many", True),
            ((), "503 Full", False),
            ((), "500 Own", False),
            ((), "421 Other", True),
        ):
            result = self.one(self.saying(answer("s1", b"", *more, status=status)))
            self.assertThat((result.status, result.not_run), Equals((int(status[:3]), not_run)), status)

    def test_nobody_listens(self) -> None:
        async def run() -> tuple:
            # The port is taken, so that nobody else comes to listen there meanwhile.
            with socket.socket() as taken:
                taken.bind(("127.0.0.1", 0))
                raw = RawServer(plain)
                raw.port = taken.getsockname()[1]
                return await self.send(self.line(), raw)

        self.assertMissed(run_stepped(run()), ErrorKind.UNREACHABLE, unsent=True)
