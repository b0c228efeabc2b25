"""Connections to the own server, kept as long as they are clean. An answer counts only under its request's id.

Reading is aiohttp's parser; what is ours is the bookkeeping: a server may answer late in the place of the next answer,
send more after a whole one, break off, or close a connection just as it is used.
"""

import asyncio
from collections import deque
from collections.abc import Sequence
from datetime import timedelta

import aiohttp
import msgspec
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.common.settings import split_address
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.messages import RunOnServer, ServerAnswered, ServerFailed

CONNECT_TIMEOUT = 0.4
# Used again only within this share of the time the server says it keeps a connection, so that the two never meet.
KEPT_SHARE = 0.6
# Where it says nothing.
KEPT_SECONDS = 4.0
MOST_KEPT = 64
# The server is on the same machine: the end of a connection that it closed before our bytes came is here by then, also
# where both share a busy processor. One that ends later may have been read.
STALE_SPAN = 0.02
HEAD_END = b"\r\n\r\n"
# An answer, and words before it.
MOST_HEADS = 4
# They concern one connection only, or are written anew.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"proxy-connection",
    }
)
Pairs = Sequence[tuple[bytes, bytes]]
_not_run_statuses = frozenset({421})


def pack_pairs(pairs: Pairs) -> bytes:
    return msgspec.msgpack.encode([(name, value) for name, value in pairs if name.lower() not in HOP_BY_HOP])


def unpack_pairs(data: bytes) -> list[tuple[bytes, bytes]]:
    return msgspec.msgpack.decode(data, type=list[tuple[bytes, bytes]]) if data else []


class _Broken(Exception):
    """What came is no whole answer to the request."""


def _heads_apart(data: bytes) -> list[bytes]:
    parts = data.split(HEAD_END, MOST_HEADS)
    return [part + HEAD_END for part in parts[:-1]] + ([parts[-1]] if parts[-1] else [])


class _Connection(BaseProtocol):
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.parser: HttpResponseParser | None = None
        self.messages: deque = deque()
        # The bodies of this request's answers, and whether anything came at all.
        self.payloads: list = []
        self.heard = False
        self.with_body = True
        # Bytes after the newest answer's head, where that is known, and the newest bytes of all.
        self.beyond: int | None = None
        self.tail = b""
        # Whether bytes came after a whole answer that are no whole head: a surplus answer has begun.
        self.surplus = False
        self.arrived: asyncio.Future | None = None
        # Not to be used again; and nothing more can be read from it.
        self.dirty = False
        self.lost = False
        self.uses = 0
        # The server's life that it was opened to.
        self.place = ""
        self.idle_since = 0.0
        self.keeps = KEPT_SECONDS

    def begin(self, *, with_body: bool) -> None:
        self.parser = HttpResponseParser(
            self,
            self._loop,
            2**16,
            max_line_size=65536,
            max_field_size=65536,
            payload_exception=aiohttp.ClientPayloadError,
            response_with_body=with_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        self.messages.clear()
        self.with_body = with_body
        self.payloads = []
        self.heard = False
        self.surplus = False
        self.uses += 1

    def data_received(self, data: bytes) -> None:
        if self.parser is None:
            # Nobody asked anything: whatever it is, it is no answer.
            self.dirty = True
            self.abort()
            return
        self.heard = True
        # A parser that meets garbage forgets the answers before it in the same bytes: heads are fed on their own.
        for part in _heads_apart(data):
            complete = bool(self.payloads) and self.payloads[-1].is_eof()
            try:
                messages, upgraded, tail = self.parser.feed_data(part)
            except Exception:
                # The parser's many ways to say that these bytes are no answer.
                self.dirty = True
                self.abort()
                return
            if upgraded or tail:
                self.dirty = True
            self.messages.extend(messages)
            self.payloads += [payload for _, payload in messages]
            # Until a head completes it: an interim answer is followed by the real one.
            self.surplus = complete and not messages
            if messages:
                self.beyond = 0 if part.endswith(HEAD_END) else None
            elif self.beyond is not None:
                self.beyond += len(part)
            self.tail = part[-2:]
        self._wake()

    def ends_with(self, message) -> bool:
        """Whether the bytes so far end where this answer ends: the parser keeps a begun surplus answer to itself."""
        if self.surplus:
            return False
        if message.chunked:
            return self.tail == b"\r\n"
        told = message.headers.get("Content-Length", "0") if self.with_body and message.code not in (204, 304) else "0"
        # Where the head's end isn't known, neither is the answer's: the connection is left rather than trusted.
        return self.beyond == int(told)

    def _end(self) -> None:
        """Nothing more will come: a body that isn't whole by now never is."""
        self.lost = self.dirty = True
        if self.parser is not None:
            try:
                self.parser.feed_eof()
            except Exception:
                pass
        for payload in self.payloads:
            if not payload.is_eof() and payload.exception() is None:
                payload.set_exception(aiohttp.ClientPayloadError("cut short"))
        self._wake()

    def _wake(self) -> None:
        if self.arrived is not None and not self.arrived.done():
            self.arrived.set_result(None)

    def eof_received(self) -> bool:
        self._end()
        return False

    def connection_lost(self, exception: BaseException | None) -> None:
        super().connection_lost(exception)
        self._end()

    def abort(self) -> None:
        self._end()
        if self.transport is not None:
            self.transport.abort()

    async def next_message(self):
        while not self.messages:
            if self.lost:
                raise _Broken
            self.arrived = self._loop.create_future()
            await self.arrived
        return self.messages.popleft()


class ServerConnectionPool:
    def __init__(self, *, header_names: HeaderNames, counters: Counters) -> None:
        self.header_names = header_names
        self.counters = counters
        self.kept: deque[_Connection] = deque()
        self.address = ""
        self.client_attempt_id = header_names.client_attempt_id.lower().encode()
        self.not_run = header_names.not_run.lower().encode()
        self.rewritten = {
            name.lower().encode()
            for name in (
                header_names.budget,
                header_names.caller,
                header_names.instance,
                header_names.client_attempt_id,
            )
        }

    def close(self) -> None:
        for connection in self.kept:
            connection.abort()
        self.kept.clear()

    def _turn_to(self, address: str, instance: str) -> None:
        # A new life of the server, or another one: what was open belongs to the former.
        place = f"{address} {instance}"
        if place != self.address:
            self.close()
            self.address = place

    def _kept_one(self) -> _Connection | None:
        now = asyncio.get_running_loop().time()
        while self.kept:
            # The newest first: it is the least likely to be closed from the other side.
            connection = self.kept.pop()
            if not connection.dirty and not connection.lost and now - connection.idle_since < connection.keeps:
                return connection
            connection.abort()
        return None

    async def _open(self, address: str) -> _Connection:
        host, port = split_address(address)
        loop, place = asyncio.get_running_loop(), self.address
        async with asyncio.timeout(CONNECT_TIMEOUT):
            _, connection = await loop.create_connection(lambda: _Connection(loop), host, port)
        self.counters.add("server.connections")
        connection.place = place
        return connection

    def _request(self, serve: RunOnServer, left: timedelta) -> bytes:
        call = serve.call
        parts = [call.method.encode(), b" ", call.path, b" HTTP/1.1\r\n"]
        for name, value in unpack_pairs(call.headers):
            if name.lower() not in self.rewritten:
                parts += (name, b": ", value, b"\r\n")
        budget = max(1, int(left.total_seconds() * 1000))
        added = [
            (self.header_names.client_attempt_id, call.client_attempt_id),
            (self.header_names.budget, str(budget)),
            (self.header_names.caller, call.caller),
            (self.header_names.instance, call.instance),
        ]
        parts += [f"{name}: {value}\r\n".encode() for name, value in added if value]
        if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            parts.append(b"Content-Length: %d\r\n" % len(call.body))
        parts += (b"\r\n", call.body)
        return b"".join(parts)

    async def _obtain(self, serve: RunOnServer, deadline: float) -> _Connection | ErrorKind:
        """A connection that may be written to now, or why there is none: then nothing was written."""
        loop = asyncio.get_running_loop()
        if loop.time() >= deadline:
            # This process stood still before it came to it.
            return ErrorKind.BUDGET_SPENT
        if (connection := self._kept_one()) is not None:
            return connection
        try:
            connection = await self._open(serve.address)
        except (OSError, TimeoutError):
            return ErrorKind.UNREACHABLE
        if loop.time() >= deadline:
            connection.abort()
            return ErrorKind.BUDGET_SPENT
        # Ended before a byte was written: the server takes no more connections just now.
        return ErrorKind.QUEUE_FULL if connection.lost else connection

    async def serve(self, serve: RunOnServer) -> tuple:
        """Runs the request on the server: Served, or ServeMissed with whether anything was written."""
        call = serve.call
        loop = asyncio.get_running_loop()
        deadline = loop.time() + serve.within.total_seconds()
        self._turn_to(serve.address, call.instance)
        while True:
            connection = await self._obtain(serve, deadline)
            if isinstance(connection, ErrorKind):
                return self._unsent(serve, connection)
            connection.begin(with_body=call.method != "HEAD")
            fresh, written = connection.uses == 1, loop.time()
            left = timedelta(seconds=deadline - written)
            try:
                async with asyncio.timeout_at(deadline):
                    connection.transport.write(self._request(serve, left))
                    message, body = await self._answer(connection, call.client_attempt_id)
            except TimeoutError:
                # Before the next clause: it is an OSError too.
                connection.abort()
                return self._missed(serve, ErrorKind.BUDGET_SPENT)
            except (_Broken, aiohttp.ClientError, OSError, ValueError):
                connection.abort()
                stale = not fresh and not connection.heard and loop.time() - written <= STALE_SPAN
                if call.repeatable and stale and loop.time() < deadline:
                    # A kept connection that the server closed as it was used: once more, on a new one. Later than that
                    # it may be at work on it, and a further attempt is the entry's to allow.
                    self.counters.add("server.stale_connections")
                    self.close()
                    continue
                return self._missed(serve, ErrorKind.ANSWER_BROKEN)
            except asyncio.CancelledError:
                connection.abort()
                raise
            self._keep(connection, message)
            if any(name.lower() == b"content-encoding" for name, _ in message.raw_headers):
                return self._missed(serve, ErrorKind.ANSWER_BROKEN)
            said = any(name.lower() == self.not_run for name, _ in message.raw_headers)
            return ServerAnswered(
                serve.number,
                message.code,
                pack_pairs(message.raw_headers),
                body,
                said or message.code in _not_run_statuses,
            )

    def _unsent(self, serve: RunOnServer, kind: ErrorKind) -> ServerFailed:
        """Not one byte of it was written."""
        self.counters.add(f"server.unsent.{kind}")
        error = MeshError(kind, "The server was not reached in time.", "Send it elsewhere.")
        return ServerFailed(serve.number, True, error)

    def _missed(self, serve: RunOnServer, kind: ErrorKind) -> ServerFailed:
        self.counters.add(f"server.{kind}")
        return ServerFailed(
            serve.number, False, MeshError(kind, "The server gave no whole answer in time.", "Ask what became of it.")
        )

    async def _answer(self, connection: _Connection, client_attempt_id: str):
        """The answer under this id. One under another's stands in its place and belongs to nobody."""
        while True:
            message, payload = await connection.next_message()
            body = await payload.read()
            if 100 <= message.code < 200:
                continue
            carried = [value for name, value in message.raw_headers if name.lower() == self.client_attempt_id]
            if carried == [client_attempt_id.encode()]:
                length = [value for name, value in message.raw_headers if name.lower() == b"content-length"]
                unmarked = bool(body) and not length and not message.chunked
                if unmarked:
                    # It ends where its connection ends, which may be anywhere.
                    raise _Broken
                return message, body
            self.counters.add("server.strange_answers")
            connection.dirty = True

    def _keep(self, connection: _Connection, message) -> None:
        connection.parser = None
        closes = message.should_close
        for name, value in message.raw_headers:
            if name.lower() == b"keep-alive":
                for part in value.split(b","):
                    key, _, told = part.strip().partition(b"=")
                    if key.lower() == b"timeout" and told.strip().isdigit():
                        connection.keeps = max(0.1, int(told) * KEPT_SHARE)
        surplus = bool(connection.messages) or not connection.ends_with(message)
        former = connection.place != self.address
        if connection.dirty or connection.lost or surplus or closes or former or len(self.kept) >= MOST_KEPT:
            if surplus:
                self.counters.add("server.surplus_answers")
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self.kept.append(connection)
