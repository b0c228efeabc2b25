"""A raw TCP server for tests of misbehaving servers, and a test case that connects a pool to it."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.rpc.messages import ForwardCall
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.messages import RunOnServer, ServerAnswered, ServerFailed
from hoistsaddle.sidecar.server_connections import ServerConnectionPool
from stepped_clock import EventCounter, run_stepped

ID = "X-Hoistsaddle-Send"


def answer(send: str, body: bytes = b"ok", *more: str, status: str = "200 OK", length: bool = True) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"{ID}: {send}", *more]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class RawServer:
    """A TCP server that reads complete requests and passes each to the test's `behave`."""

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
            # The test has ended.
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
    """Waits until the connection of this request has ended, where each connection carries one request."""
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
        """Sends `count` requests in sequence, awaits `after` after each, and returns their bodies or error kinds."""
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
