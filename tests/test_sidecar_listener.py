"""A sidecar's HTTP listener, tested with a raw client."""

import asyncio
import gzip
import zlib
from collections.abc import Callable, Coroutine
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from aiohttp import StreamReader, web
from testtools import TestCase
from testtools.matchers import Contains, Equals

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.items import LimitsItem
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.header_pairs import pack_pairs, unpack_pairs
from hoistsaddle.sidecar.listener import IngressHandler, close_listener, open_listener
from hoistsaddle.sidecar.messages import Reply, RequestArrived
from stepped_clock import EventCounter, run_stepped, step


class Node:
    """A node that gives the test's answer and records the requests."""

    def __init__(self) -> None:
        self.asked: list[RequestArrived] = []
        self.last_request_at = timedelta()
        self.counters = Counters(owner="test")
        items = SimpleNamespace(limits=LimitsItem(idle_seconds=30.0))
        self.core = SimpleNamespace(view=SimpleNamespace(items=items), stopping=False)
        self.answer = Reply(0, 200, pack_pairs([(b"X-Seal", b"a"), (b"X-Seal", b"b")]), b"body", None, None)

    async def handle_request(self, make: Callable[[int], RequestArrived]) -> Reply:
        self.asked.append(make(len(self.asked) + 1))
        return self.answer


def complete_answers(received: bytes) -> int:
    """Return the number of complete responses; interim ones don't count."""
    count = 0
    while True:
        head, end, received = received.partition(b"\r\n\r\n")
        if not end:
            return count
        if b" 100 " in head.partition(b"\r\n")[0]:
            continue
        length = next(
            (int(line[15:]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")), 0
        )
        if len(received) < length:
            return count
        count, received = count + 1, received[length:]


class AtTheListener(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = Node()

    def with_listener(self, work: Callable[[int], Coroutine[Any, Any, Any]]) -> Any:
        async def run() -> Any:
            runner = await open_listener(
                address="127.0.0.1:0", handler=IngressHandler(node=self.node, header_names=HeaderNames()).handle
            )
            try:
                return await work(runner.addresses[0][1])
            finally:
                await runner.cleanup()

        # On the stepped clock no time passes, so a request's budget stays as its client sent it.
        return run_stepped(run())

    def say(self, *parts: bytes, answers: int = 1) -> bytes:
        """Send this as a client; return the data up to this many complete responses, or up to the connection's end."""

        async def work(port: int) -> bytes:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            received = b""
            for part in parts:
                writer.write(part)
                await writer.drain()
            try:
                while complete_answers(received) < answers and (data := await reader.read(65536)):
                    received += data
            except ConnectionError:
                pass
            writer.close()
            return received

        return self.with_listener(work)

    def cut(self, *parts: bytes) -> None:
        """Send this as a client, break off, and wait until the listener closes the connection."""

        async def work(port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.writelines(parts)
            await writer.drain()
            writer.write_eof()
            try:
                while await reader.read(65536):
                    pass
            except ConnectionError:
                pass
            writer.close()

        self.with_listener(work)

    def test_an_encoded_body_is_forwarded_byte_for_byte(self) -> None:
        """Guards against a changed body: gzip was decompressed on the way, but its header was forwarded."""
        plain = b"a line of a syllabus\n" * 60
        codings = {
            b"gzip": gzip.compress(plain),
            b"deflate": zlib.compress(plain),
            b"br": b"\x0b\x02\x80no brotli at all",
            b"zstd": b"\x28\xb5\x2f\xfdno zstandard at all",
            b"unheard-of": plain,
            b"gzip, gzip": gzip.compress(gzip.compress(plain)),
        }
        for coding, body in [*codings.items(), (b"gzip", plain), (b"deflate", plain)]:
            head = b"POST /pack/x HTTP/1.1\r\nHost: shop.example\r\nContent-Encoding: " + coding
            middle = len(body) // 2
            in_chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:middle], body[middle:], b""))
            self.say(head + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            self.say(head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + in_chunks)
            for asked in self.node.asked[-2:]:
                forwarded = dict(unpack_pairs(asked.headers))[b"Content-Encoding"]
                self.assertThat((asked.body, forwarded), Equals((body, coding)), coding)

    def test_a_decompression_bomb_is_not_decompressed(self) -> None:
        """Only the compressed bytes, a thousandth of the content, are counted and forwarded."""
        body = gzip.compress(bytes(32 * 1024 * 1024))
        self.say(
            b"POST /pack/x HTTP/1.1\r\nHost: shop.example\r\nContent-Encoding: gzip\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        self.assertThat(self.node.asked[0].body, Equals(body))

    def test_an_absolute_target_names_host_and_path(self) -> None:
        """Guards against 404s for targets in absolute form, which every server must take (RFC 9112, 3.2.2)."""
        for target, host, path in (
            (b"http://SHOP.example:80/view/x?a=%2F", "shop.example", "/view/x?a=%2F"),
            (b"HTTP://shop.example", "shop.example", "/"),
            (b"http://shop.example?a=1", "shop.example", "/?a=1"),
            (b"/http://shop.example/x", "other.example", "/http://shop.example/x"),
        ):
            self.say(b"GET " + target + b" HTTP/1.1\r\nHost: other.example\r\n\r\n")
            asked = self.node.asked[-1]
            forwarded = dict(unpack_pairs(asked.headers))[b"Host"].partition(b":")[0].lower()
            self.assertThat((asked.host, asked.path, forwarded), Equals((host, path, host.encode())), target)

    def test_a_request_is_passed_to_the_core_unchanged(self) -> None:
        self.say(
            b"POST /pay/x?a=%2F&b HTTP/1.1\r\nHost: SHOP.example:80\r\nX-Own: 1\r\nx-own: 2\r\n"
            b"Connection: keep-alive\r\nIdempotency-Key: k1\r\nX-Hoistsaddle-Send: t1\r\n"
            b"X-Hoistsaddle-Budget: 1500\r\nContent-Length: 4\r\n\r\nbody"
        )
        asked = self.node.asked[0]
        self.assertThat(
            (asked.method, asked.host, asked.path, asked.body, asked.key, asked.client_attempt_id, asked.budget),
            Equals(("POST", "shop.example", "/pay/x?a=%2F&b", b"body", "k1", "t1", timedelta(milliseconds=1500))),
        )
        pairs = unpack_pairs(asked.headers)
        self.assertThat(
            [pair for pair in pairs if pair[0].lower() == b"x-own"], Equals([(b"X-Own", b"1"), (b"x-own", b"2")])
        )
        self.assertThat([name for name, _ in pairs if name.lower() in (b"connection", b"content-length")], Equals([]))

    def test_invalid_budgets_are_ignored_and_negative_ones_count_as_zero(self) -> None:
        for said, budget in (
            ("", None),
            ("soon", None),
            ("-5", timedelta()),
            ("1e400", None),
            ("2.5", timedelta(milliseconds=2.5)),
        ):
            self.say(f"GET / HTTP/1.1\r\nHost: a\r\nX-Hoistsaddle-Budget: {said}\r\n\r\n".encode())
            self.assertThat(self.node.asked[-1].budget, Equals(budget), said)

    def test_the_time_in_which_a_body_arrives_counts_against_the_budget(self) -> None:
        async def run() -> None:
            runner = await open_listener(
                address="127.0.0.1:0", handler=IngressHandler(node=self.node, header_names=HeaderNames()).handle
            )
            begun = EventCounter()
            plain = StreamReader.readany

            async def readany(body: StreamReader) -> bytes:
                begun.count_event()
                return await plain(body)

            self.patch(StreamReader, "readany", readany)
            reader, writer = await asyncio.open_connection("127.0.0.1", runner.addresses[0][1])
            writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nX-Hoistsaddle-Budget: 3000\r\nContent-Length: 4\r\n\r\nbo")
            await begun.reach(1)
            await step(1.25)
            writer.write(b"dy")
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
            await runner.cleanup()

        run_stepped(run())
        self.assertThat(self.node.asked[0].budget, Equals(timedelta(seconds=1.75)))

    def test_chunked_bodies_and_expect_100_continue(self) -> None:
        received = self.say(
            b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"3\r\nabc\r\n",
            b"2\r\nde\r\n0\r\n\r\n",
        )
        self.assertThat(self.node.asked[0].body, Equals(b"abcde"))
        self.assertThat(received, Contains(b"100 Continue"))
        self.assertThat(received, Contains(b"200 OK"))

    def test_a_servers_response_is_returned_unchanged(self) -> None:
        received = self.say(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertThat(body, Equals(b"body"))
        for line in (b"X-Seal: a", b"X-Seal: b", b"Content-Length: 4"):
            self.assertThat(head, Contains(line))

    def test_the_servers_content_type_is_the_only_one(self) -> None:
        self.node.answer = self.node.answer._replace(headers=pack_pairs([(b"content-type", b"image/x-odd; a=b")]))
        head = self.say(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").partition(b"\r\n\r\n")[0]
        kinds = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-type")]
        self.assertThat([kind.partition(b": ")[2] for kind in kinds], Equals([b"image/x-odd; a=b"]))

    def test_the_response_to_head_has_no_body(self) -> None:
        self.node.answer = self.node.answer._replace(body=b"")
        received = self.say(b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", answers=2)
        self.assertThat((received.count(b"200 OK"), len(self.node.asked)), Equals((2, 2)))

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        one = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
        received = self.say(one % 1 + one % 2, one % 3, answers=3)
        self.assertThat(received.count(b"200 OK"), Equals(3))
        self.assertThat([asked.path for asked in self.node.asked], Equals(["/1", "/2", "/3"]))

    def test_a_rejection_has_its_reason_and_retry_after(self) -> None:
        error = MeshError(ErrorKind.NO_SERVER, "No server accepts requests.", "Retry later.")
        self.node.answer = Reply(0, 503, b"", b"", error, timedelta(milliseconds=250))
        received = self.say(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        for part in (b"503 Service Unavailable", b"Retry-After: 0.250", b"no-server"):
            self.assertThat(received, Contains(part))

    def test_a_stopping_proxy_keeps_no_connection(self) -> None:
        self.node.core.stopping = True
        received = self.say(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertThat(received.lower(), Contains(b"connection: close"))

    def test_a_listener_closes_though_a_handler_still_runs(self) -> None:
        """A sidecar that waited for it would be killed at the end of its grace period, with all its requests."""

        async def run() -> str:
            begun = asyncio.Event()
            ended = "not at all"

            async def stuck(request: web.BaseRequest) -> web.StreamResponse:
                nonlocal ended
                begun.set()
                try:
                    await asyncio.Event().wait()
                except asyncio.CancelledError:
                    ended = "cancelled"
                    raise
                return web.Response()

            runner = await open_listener(address="127.0.0.1:0", handler=stuck)
            reader, writer = await asyncio.open_connection("127.0.0.1", runner.addresses[0][1])
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await begun.wait()
            # Only a listener that hangs takes this long; the library's own default is a minute.
            async with asyncio.timeout(30):
                await close_listener(runner, wait=timedelta())
                await reader.read()
            writer.close()
            return ended

        self.assertThat(asyncio.run(run()), Equals("cancelled"))

    def test_incomplete_requests_are_not_passed_to_the_core(self) -> None:
        for parts in (
            (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc",),
            (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", b"5\r\nab"),
            (b"GET / HTTP/1.1\r\nHo",),
        ):
            self.cut(*parts)
        self.assertThat(self.node.asked, Equals([]))

    def test_invalid_http_is_refused_and_not_passed_to_the_core(self) -> None:
        for data in (
            b"\x16\x03\x01\x02\x00\r\n\r\n",
            b"GET / HTTP/1.1\r\nbad header\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
        ):
            self.assertThat(self.say(data)[:12], Contains(b" 400"))
        broken = self.say(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", b"zz\r\nab\r\n\r\n")
        self.assertThat((self.node.asked, b" 500" in broken[:16]), Equals(([], False)), repr(broken))
