"""Pooled connections to a server, against a small raw one that does everything a server shouldn't.

The clock moves only by a test's own steps: nothing here depends on how busy the machine is.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any

from testtools import TestCase
from testtools.matchers import Contains, Equals, IsInstance

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.rpc.messages import ForwardCall
from hoistsaddle.sidecar import server_connection, server_connections
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.header_pairs import pack_pairs, unpack_pairs
from hoistsaddle.sidecar.messages import RunOnServer, ServerAnswered, ServerFailed
from hoistsaddle.sidecar.server_connections import ServerConnectionPool
from stepped_clock import EventCounter, run_stepped, step

ID = "X-Hoistsaddle-Send"


def answer(send: str, body: bytes = b"ok", *more: str, status: str = "200 OK", length: bool = True) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"{ID}: {send}", *more]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class RawServer:
    """A TCP server that reads complete requests and treats each connection as the test says."""

    def __init__(self, behave: Callable[["ServerRequest"], Awaitable[None]]) -> None:
        self.behave = behave
        self.asked: list[ServerRequest] = []
        self.connections = 0
        self.requests = EventCounter()
        self.ends = EventCounter()

    async def __aenter__(self) -> "RawServer":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        connection = self.connections
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = head.decode().split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines[1:] if line)
                body = await reader.readexactly(int(headers.get("Content-Length", 0)))
                asked = ServerRequest(connection, lines[0], headers, body, writer)
                asked.names = [line.split(": ", 1)[0] for line in lines[1:] if line]
                self.asked.append(asked)
                self.requests.count_event()
                await self.behave(asked)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The test is over.
            pass
        finally:
            writer.close()
            self.ends.count_event()


class ServerRequest:
    def __init__(
        self, connection: int, line: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        self.connection = connection
        self.line = line
        self.headers = headers
        self.body = body
        self.writer = writer
        self.names: list[str] = []
        self.send = headers.get(ID, "")

    def say(self, data: bytes) -> None:
        self.writer.write(data)

    def cut(self) -> None:
        self.writer.transport.abort()


async def until_left(raw: RawServer, number: int) -> None:
    """Each connection carries one request here, and is over before the next one: its other side has left it."""
    await raw.ends.reach(number + 1)


async def plain(asked: ServerRequest) -> None:
    asked.say(answer(asked.send, f"to {asked.send}".encode()))


class Case(TestCase):
    def line(self) -> ServerConnectionPool:
        return ServerConnectionPool(header_names=HeaderNames(), counters=Counters(owner="test"))

    def run_with(
        self,
        behave: Callable[[ServerRequest], Awaitable[None]],
        work: Callable[[ServerConnectionPool, RawServer], Coroutine[Any, Any, None]],
    ) -> RawServer:
        async def run() -> RawServer:
            line = self.line()
            async with RawServer(behave) as raw:
                try:
                    await work(line, raw)
                finally:
                    line.close()
            return raw

        return run_stepped(run())

    async def send(
        self, line: ServerConnectionPool, raw: RawServer, send: str = "s1", *, within: float = 2.0, **changes: Any
    ) -> tuple:
        call = ForwardCall(
            attempt_id="mesh-send",
            service_name="ledger",
            target="s-1",
            instance="i-1",
            budget=timedelta(seconds=within),
            latency_target=timedelta(seconds=1),
            rank=0,
            route="read",
            method="GET",
            path=b"/read/x?a=b",
            headers=b"",
            body=b"",
            caller="portal",
            client_attempt_id=send,
        )
        serve = RunOnServer(7, f"127.0.0.1:{raw.port}", call._replace(**changes), timedelta(seconds=within))
        return await line.serve(serve)

    def bodies(
        self,
        behave: Callable[[ServerRequest], Awaitable[None]],
        count: int = 3,
        *,
        after: Callable[[RawServer, int], Awaitable[None]] | None = None,
        **changes: Any,
    ) -> tuple[RawServer, list]:
        """What count requests one after the other gave. After each, the test may wait for something of the server's."""
        result: list[tuple] = []

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            for number in range(count):
                result.append(await self.send(line, raw, f"s{number}", **changes))
                if after is not None:
                    await after(raw, number)

        raw = self.run_with(behave, work)
        return raw, [each.body if isinstance(each, ServerAnswered) else each.error.kind for each in result]

    def assertServed(self, result: tuple, body: bytes, *, status: int = 200) -> None:
        self.assertThat(result, IsInstance(ServerAnswered), str(result))
        self.assertThat((result.status, result.body, result.number), Equals((status, body, 7)))

    def assertMissed(self, result: tuple, kind: ErrorKind, *, unsent: bool = False) -> None:
        self.assertThat(result, IsInstance(ServerFailed), str(result))
        self.assertThat((result.error.kind, result.unsent), Equals((kind, unsent)))


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


class Connections(Case):
    def test_one_connection_carries_many_requests_one_after_the_other(self) -> None:
        raw, bodies = self.bodies(plain, 5)
        self.assertThat((raw.connections, bodies), Equals((1, [f"to s{number}".encode() for number in range(5)])))

    def test_two_at_a_time_take_two(self) -> None:
        both = EventCounter()

        async def slow(asked: ServerRequest) -> None:
            both.count_event()
            await both.reach(2)
            await plain(asked)

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            result = await asyncio.gather(*(self.send(line, raw, f"s{number}") for number in range(2)))
            self.assertThat([each.body for each in result], Equals([b"to s0", b"to s1"]))

        self.assertThat(self.run_with(slow, work).connections, Equals(2))

    def test_not_after_connection_close(self) -> None:
        async def closing(asked: ServerRequest) -> None:
            asked.say(answer(asked.send, b"ok", "Connection: close"))

        raw, bodies = self.bodies(closing)
        self.assertThat((raw.connections, bodies), Equals((3, [b"ok"] * 3)))

    def test_not_after_http_1_0(self) -> None:
        async def old(asked: ServerRequest) -> None:
            asked.say(answer(asked.send).replace(b"HTTP/1.1", b"HTTP/1.0"))

        self.assertThat(self.bodies(old)[0].connections, Equals(3))

    def test_not_beyond_what_the_server_keeps_it(self) -> None:
        async def brief(asked: ServerRequest) -> None:
            asked.say(answer(asked.send, b"ok", "Keep-Alive: timeout=1, max=100"))

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw, "s1")
            kept = line.kept[0]
            self.assertThat(kept.keep_seconds, Equals(0.6))
            await step(0.61)
            await self.send(line, raw, "s2")
            self.assertThat(raw.connections, Equals(2))
            await step(0.59)
            await self.send(line, raw, "s3")
            self.assertThat(raw.connections, Equals(2))

        self.run_with(brief, work)

    def test_not_beyond_the_houses_own_span_where_the_server_says_nothing(self) -> None:
        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw, "s1")
            await step(server_connection.KEPT_SECONDS - 0.5)
            await self.send(line, raw, "s2")
            self.assertThat(raw.connections, Equals(1))
            await step(server_connection.KEPT_SECONDS)
            await self.send(line, raw, "s3")
            self.assertThat(raw.connections, Equals(2))

        self.run_with(plain, work)

    def test_surplus_after_a_whole_answer_is_nobodys(self) -> None:
        for surplus in (answer("s0", b"again"), answer("s1", b"early"), b"\x00garbage", b"HTTP/1.1 200"):

            async def more(asked: ServerRequest, surplus: bytes = surplus) -> None:
                asked.say(answer(asked.send, f"to {asked.send}".encode()) + surplus)

            raw, bodies = self.bodies(more, 3, after=until_left)
            self.assertThat((raw.connections, bodies), Equals((3, [b"to s0", b"to s1", b"to s2"])), repr(surplus))

    def test_surplus_that_comes_while_nobody_asks_is_nobodys(self) -> None:
        async def later(raw: RawServer, number: int) -> None:
            raw.asked[number].say(answer(f"s{number + 1}", b"not yours"))
            await until_left(raw, number)

        raw, bodies = self.bodies(plain, 3, after=later)
        self.assertThat((raw.connections, bodies), Equals((3, [b"to s0", b"to s1", b"to s2"])))

    def test_a_late_answer_in_the_place_of_the_next_is_passed_over_and_its_connection_left(self) -> None:
        async def behind(asked: ServerRequest) -> None:
            if asked.send == "s1":
                asked.say(answer("s0", b"late"))
            await plain(asked)

        raw, bodies = self.bodies(behind, 3)
        self.assertThat(bodies, Equals([b"to s0", b"to s1", b"to s2"]))
        self.assertThat([each.connection for each in raw.asked], Equals([1, 1, 2]))

    def test_one_given_up_never_answers_the_next(self) -> None:
        given_up = asyncio.Event()

        async def slow(asked: ServerRequest) -> None:
            if asked.send == "s0":
                await given_up.wait()
            await plain(asked)

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            first = asyncio.ensure_future(self.send(line, raw, "s0", within=2.0))
            await raw.requests.reach(1)
            await step(2.0)
            self.assertMissed(await first, ErrorKind.BUDGET_SPENT)
            given_up.set()
            self.assertServed(await self.send(line, raw, "s1"), b"to s1")
            await raw.ends.reach(1)

        self.assertThat(self.run_with(slow, work).connections, Equals(2))

    def test_an_idle_connection_that_the_server_closed_is_seen_and_left(self) -> None:
        async def closing(raw: RawServer, number: int) -> None:
            # Only this side's end, so that the test sees the other one leave.
            raw.asked[number].writer.write_eof()
            await until_left(raw, number)

        raw, bodies = self.bodies(plain, after=closing)
        self.assertThat((raw.connections, bodies), Equals((3, [b"to s0", b"to s1", b"to s2"])))

    def stale(self, **changes: Any) -> tuple[RawServer, list]:
        """The server closes a pooled connection as soon as a second request comes on it."""

        async def behave(asked: ServerRequest) -> None:
            if sum(each.connection == asked.connection for each in raw_of[0].asked) > 1:
                asked.cut()
            else:
                await plain(asked)

        raw_of: list[RawServer] = []
        result: list[tuple] = []

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            raw_of.append(raw)
            for number in range(2):
                result.append(await self.send(line, raw, f"s{number}", **changes))

        raw = self.run_with(behave, work)
        return raw, [each.body if isinstance(each, ServerAnswered) else each.error.kind for each in result]

    def test_a_repeatable_request_that_met_a_closing_connection_goes_once_more_on_a_new_one(self) -> None:
        raw, bodies = self.stale(repeatable=True)
        self.assertThat((bodies, len(raw.asked)), Equals(([b"to s0", b"to s1"], 3)))

    def test_one_whose_connection_ends_later_may_be_at_work_and_is_not_sent_again_here(self) -> None:
        """A retry is for the ingress to allow, within its budget."""
        go = asyncio.Event()

        async def cutting(asked: ServerRequest) -> None:
            if asked.send == "s0":
                return await plain(asked)
            await go.wait()
            asked.cut()

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw, "s0", repeatable=True)
            second = asyncio.ensure_future(self.send(line, raw, "s1", repeatable=True))
            await raw.requests.reach(2)
            await step(server_connections.STALE_SECONDS * 2)
            go.set()
            self.assertMissed(await second, ErrorKind.ANSWER_BROKEN)
            self.assertThat([each.send for each in raw.asked], Equals(["s0", "s1"]))

        self.run_with(cutting, work)

    def test_what_has_no_time_left_is_not_written(self) -> None:
        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw, "s0")
            for within in (0.0, -3.0):
                result = await self.send(line, raw, "s1", within=within)
                self.assertMissed(result, ErrorKind.BUDGET_SPENT, unsent=True)
            self.assertServed(await self.send(line, raw, "s2"), b"to s2")
            self.assertThat([each.send for each in raw.asked], Equals(["s0", "s2"]))

        self.run_with(plain, work)

    def test_a_begun_surplus_answer_ends_its_connection_wherever_the_real_one_ends(self) -> None:
        head = answer("s0", b"", "Transfer-Encoding: chunked", length=False)
        begun = b"HTTP/1.1 200 OK\r\n"
        complete = answer("s0", b"ok")
        cut = complete.index(b"\r\n\r\n") + 3
        for parts in (
            (head, b"2\r\nok\r\n0\r\n\r\n" + begun),
            (head + b"2\r\nok\r\n0\r\n\r\n" + begun,),
            (complete + begun,),
            # The head's end is in two pieces.
            (complete[:cut], complete[cut:] + begun),
        ):

            async def more(asked: ServerRequest, parts: tuple[bytes, ...] = parts) -> None:
                if asked.send != "s0":
                    return await plain(asked)
                for part in parts:
                    asked.say(part)
                    await asked.writer.drain()

            raw, bodies = self.bodies(more, 2)
            self.assertThat((bodies, raw.connections), Equals(([b"ok", b"to s1"], 2)), repr(parts))

    def test_nor_one_whose_answer_had_begun(self) -> None:
        async def short(asked: ServerRequest) -> None:
            asked.say(answer(asked.send, b"ok") if asked.send == "s0" else answer(asked.send, b"0123456789")[:-4])
            if asked.send != "s0":
                await asked.writer.drain()
                asked.cut()

        raw, bodies = self.bodies(short, 2, repeatable=True)
        self.assertThat((bodies, len(raw.asked)), Equals(([b"ok", ErrorKind.ANSWER_BROKEN], 2)))

    def test_any_other_is_never_written_twice(self) -> None:
        raw, bodies = self.stale()
        self.assertThat((bodies, len(raw.asked)), Equals(([b"to s0", ErrorKind.ANSWER_BROKEN], 2)))

    def test_another_life_of_the_server_gets_connections_of_its_own(self) -> None:
        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw, "s1")
            await self.send(line, raw, "s2", instance="i-2")
            self.assertThat([each.connection for each in raw.asked], Equals([1, 2]))

        self.run_with(plain, work)

    def test_a_connection_to_a_former_life_that_answers_late_is_not_kept_for_the_next(self) -> None:
        go = asyncio.Event()

        async def slow(asked: ServerRequest) -> None:
            if asked.send == "s1":
                await go.wait()
            await plain(asked)

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            first = asyncio.ensure_future(self.send(line, raw, "s1"))
            await raw.requests.reach(1)
            await self.send(line, raw, "s2", instance="i-2")
            go.set()
            self.assertServed(await first, b"to s1")
            await asyncio.gather(*(self.send(line, raw, f"t{number}", instance="i-2") for number in range(2)))
            self.assertThat([each.connection for each in raw.asked], Equals([1, 2, 2, 3]))

        self.run_with(slow, work)

    def test_what_happened_is_counted(self) -> None:
        async def more(asked: ServerRequest) -> None:
            asked.say(answer("other", b"x") + answer(asked.send))

        async def work(line: ServerConnectionPool, raw: RawServer) -> None:
            await self.send(line, raw)
            counted = line.counters.read()["counts"]
            self.assertThat(counted["server.strange_answers"], Equals(1))
            self.assertThat(counted, Contains("server.connections"))

        self.run_with(more, work)
