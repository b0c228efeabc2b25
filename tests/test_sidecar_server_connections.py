"""Pooled connections to a server, tested with a raw server that violates the protocol in many ways.

The clock advances only by the steps of the test, so no result depends on the load of the machine.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from testtools.matchers import Equals

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.server_connection import ServerConnection
from hoistsaddle.sidecar.header_pairs import pack_pairs, unpack_pairs
from hoistsaddle.sidecar.server_connections import ServerConnectionPool
from raw_server import ID, Case, RawServer, ServerRequest, answer, plain
from stepped_clock import run_stepped, step


class Requests(Case):
    def test_a_request_is_forwarded_unchanged_except_for_hop_by_hop_headers(self) -> None:
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

    def test_an_empty_body_has_a_content_length(self) -> None:
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
                # The data sent before is in flight and arrives before the end of the connection.
                asked.cut()

        return behave

    def test_status_body_and_headers_are_returned_unchanged(self) -> None:
        result = self.one(self.saying(answer("s1", b"\x00\xff", "X-Seal: a", "X-Seal: b", status="418 Teapot")))
        self.assertServed(result, b"\x00\xff", status=418)
        seals = [value for name, value in unpack_pairs(result.headers) if name == b"X-Seal"]
        self.assertThat((seals, result.not_run), Equals(([b"a", b"b"], False)))

    def test_chunks_are_joined_to_one_body(self) -> None:
        body = b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
        head = answer("s1", b"", "Transfer-Encoding: chunked", length=False)
        self.assertServed(self.one(self.saying(head, body[:6], body[6:])), b"abcdefg")

    def test_an_answer_larger_than_the_read_buffer_arrives_whole(self) -> None:
        # Guards against answers that break off because more arrived in one read than is read ahead (issue 51).
        body = b"x" * 200_000

        async def read() -> bytes:
            connection = ServerConnection(asyncio.get_running_loop(), budget=ByteBudget())
            connection.begin(with_body=True)
            connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return (await connection.answer()).body

        self.assertThat(asyncio.run(read()), Equals(body))

    def test_incomplete_chunks_are_no_answer(self) -> None:
        head = answer("s1", b"", "Transfer-Encoding: chunked", length=False)
        self.assertMissed(self.one(self.saying(head, b"3\r\nabc\r\n", cut=True)), ErrorKind.ANSWER_BROKEN)

    def test_the_answer_to_head_has_no_body(self) -> None:
        head = b"HTTP/1.1 200 OK\r\n" + f"{ID}: s1\r\nContent-Length: 900\r\n\r\n".encode()
        self.assertServed(self.one(self.saying(head), method="HEAD"), b"")

    def test_answers_with_a_bodiless_status_have_no_body(self) -> None:
        for status in ("204 No Content", "304 Not Modified"):
            head = f"HTTP/1.1 {status}\r\n{ID}: s1\r\n\r\n".encode()
            self.assertServed(self.one(self.saying(head)), b"", status=int(status[:3]))

    def test_interim_responses_are_skipped(self) -> None:
        hints = f"HTTP/1.1 103 Early Hints\r\n{ID}: s0\r\n\r\n".encode()

        async def early(asked: ServerRequest) -> None:
            asked.say(b"HTTP/1.1 100 Continue\r\n\r\n" + hints + answer(asked.send, b"real"))

        raw, bodies = self.bodies(early, 2)
        self.assertThat((raw.connections, bodies), Equals((1, [b"real", b"real"])))

    def test_a_cut_answer_is_no_answer_wherever_it_is_cut(self) -> None:
        complete = answer("s1", b"0123456789")
        for length in (0, 5, 20, len(complete) - 12, len(complete) - 10, len(complete) - 1):
            self.assertMissed(self.one(self.saying(complete[:length], cut=True)), ErrorKind.ANSWER_BROKEN)

    def test_an_answer_delimited_by_the_end_of_its_connection_is_rejected(self) -> None:
        head = answer("s1", b"", "Connection: close", length=False)
        self.assertMissed(self.one(self.saying(head, b"some", cut=True)), ErrorKind.ANSWER_BROKEN)

    def test_an_answer_without_a_length_and_without_a_body_is_rejected(self) -> None:
        """Guards against a fault seen on a platform: a head without a length and then nothing became an empty body."""
        for more in ((), ("Connection: close",), ("Transfer-Encoding: identity",)):
            for cut in (False, True):
                head = answer("s1", b"", *more, length=False)

                async def ending(asked: ServerRequest, head: bytes = head, cut: bool = cut) -> None:
                    asked.say(head)
                    await asked.writer.drain()
                    asked.cut() if cut else asked.writer.close()

                self.assertMissed(self.one(ending), ErrorKind.ANSWER_BROKEN)

    def test_invalid_data_is_no_answer(self) -> None:
        for garbage in (b"\x00\x01\x02\x03", b"HTTP/1.1 abc", b"SSH-2.0-x", b"HTTP/1.1 200 OK\r\n:"):
            result = self.one(self.saying(garbage + b"\r\n\r\n", cut=True))
            self.assertMissed(result, ErrorKind.ANSWER_BROKEN)

    def test_an_answer_with_a_content_coding_is_rejected(self) -> None:
        result = self.one(self.saying(answer("s1", b"\x1f\x8b\x08", "Content-Encoding: gzip")))
        self.assertMissed(result, ErrorKind.ANSWER_BROKEN)

    def test_an_answer_without_the_id_or_with_two_ids_is_discarded(self) -> None:
        for head in ("X-Other: s1", f"{ID}: s2", f"{ID}: s1\r\n{ID}: s1"):
            data = f"HTTP/1.1 200 OK\r\n{head}\r\nContent-Length: 2\r\n\r\nno".encode()
            self.assertMissed(self.one(self.saying(data, cut=True)), ErrorKind.ANSWER_BROKEN)

    def test_an_unanswered_request_times_out_after_its_budget(self) -> None:
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

    def test_only_the_not_run_header_or_421_means_that_it_did_not_run(self) -> None:
        for more, status, not_run in (
            (("X-Hoistsaddle-Not-Run: 1",), "503 Full", True),
            (("x-hoistsaddle-not-run: true",), "429 Many", True),
            ((), "503 Full", False),
            ((), "500 Own", False),
            ((), "421 Other", True),
        ):
            result = self.one(self.saying(answer("s1", b"", *more, status=status)))
            self.assertThat((result.status, result.not_run), Equals((int(status[:3]), not_run)), status)

    def test_a_refused_connection_is_reported_as_unsent(self) -> None:
        async def run() -> tuple:
            # The port is bound, so that no other process can listen on it meanwhile.
            with socket.socket() as bound:
                bound.bind(("127.0.0.1", 0))
                raw = RawServer(plain)
                raw.port = bound.getsockname()[1]
                return await self.send(self.line(), raw)

        self.assertMissed(run_stepped(run()), ErrorKind.UNREACHABLE, unsent=True)


class KeepAliveTimes(Case):
    def test_a_keep_alive_timeout_may_have_any_number_of_digits(self) -> None:
        """Guards against servers whose answers take a place among the running requests for good (issue 64)."""
        for digits in ("9" * 400, "9" * 20_000, "0" * 20_000 + "5", "5"):

            async def behave(asked: ServerRequest, digits: str = digits) -> None:
                asked.say(answer(asked.send, b"ok", f"Keep-Alive: timeout={digits}"))

            raw, bodies = self.bodies(behave, 2)
            self.assertThat((raw.connections, bodies), Equals((1, [b"ok", b"ok"])), digits[:10])
