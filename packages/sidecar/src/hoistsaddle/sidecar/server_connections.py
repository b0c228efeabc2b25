"""Connections to the local server, kept between requests. An answer counts only under its request's id.

Requests are written by hand: a client library hides when a request's first byte is written and which answer came in
whose place, and that decides whether it may be sent again.
"""

import asyncio
from collections import deque
from datetime import timedelta

import aiohttp
from aiohttp.http import RawResponseMessage

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.common.settings import split_address
from hoistsaddle.proxy.answer_framing import AnswerFraming
from hoistsaddle.sidecar.errors import server_answer_missing, server_not_reached
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.header_pairs import pack_pairs, unpack_pairs
from hoistsaddle.sidecar.messages import RunOnServer, ServerAnswered, ServerFailed
from hoistsaddle.sidecar.server_connection import BrokenAnswer, ServerConnection

CONNECT_SECONDS = 0.4
# Used again only within this share of the time the server says it keeps a connection, so that the two never meet.
KEPT_SHARE = 0.6
MAX_KEPT = 64
# The server is on the same machine: the end of a connection that it closed before our bytes came is here by then, also
# where both share a busy processor. One that ends later may have been read.
STALE_SECONDS = 0.02
# Misdirected request: the server did not run it.
NOT_RUN_STATUSES = frozenset({421})


class ServerConnectionPool:
    """Runs requests on the local server, each on a connection of its own while it runs."""

    def __init__(self, *, header_names: HeaderNames, counters: Counters) -> None:
        self.header_names = header_names
        self.counters = counters
        self.kept: deque[ServerConnection] = deque()
        self.server = ""
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
        """Close all kept connections."""
        for connection in self.kept:
            connection.abort()
        self.kept.clear()

    def _use_server(self, address: str, instance: str) -> None:
        # A new incarnation of the server, or another one: what was open belongs to the former.
        server = f"{address} {instance}"
        if server != self.server:
            self.close()
            self.server = server

    def _take_kept(self) -> ServerConnection | None:
        now = asyncio.get_running_loop().time()
        while self.kept:
            # The newest first: it is the least likely to be closed from the other side.
            connection = self.kept.pop()
            if not connection.dirty and not connection.lost and now - connection.idle_since < connection.keep_seconds:
                return connection
            connection.abort()
        return None

    async def _open(self, address: str) -> ServerConnection:
        host, port = split_address(address)
        loop, server = asyncio.get_running_loop(), self.server
        async with asyncio.timeout(CONNECT_SECONDS):
            _, connection = await loop.create_connection(lambda: ServerConnection(loop), host, port)
        self.counters.add("server.connections")
        connection.server = server
        return connection

    def _request(self, command: RunOnServer, left: timedelta) -> bytes:
        call = command.call
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

    async def _obtain(self, command: RunOnServer, deadline: float) -> ServerConnection | ErrorKind:
        """Return a connection that may be written to now, or why there is none: then nothing was written."""
        loop = asyncio.get_running_loop()
        if loop.time() >= deadline:
            # This process stood still before it came to it.
            return ErrorKind.BUDGET_SPENT
        if (connection := self._take_kept()) is not None:
            return connection
        try:
            connection = await self._open(command.address)
        except (OSError, TimeoutError):
            return ErrorKind.UNREACHABLE
        if loop.time() >= deadline:
            connection.abort()
            return ErrorKind.BUDGET_SPENT
        # Ended before a byte was written: the server takes no more connections just now.
        return ErrorKind.QUEUE_FULL if connection.lost else connection

    async def serve(self, command: RunOnServer) -> tuple:
        """Run a request on the server.

        Returns:
            ServerAnswered, or ServerFailed with whether anything was written.
        """
        call = command.call
        loop = asyncio.get_running_loop()
        deadline = loop.time() + command.within.total_seconds()
        self._use_server(command.address, call.instance)
        while True:
            connection = await self._obtain(command, deadline)
            if isinstance(connection, ErrorKind):
                return self._unsent(command, connection)
            connection.begin(with_body=call.method != "HEAD")
            fresh, written = connection.uses == 1, loop.time()
            left = timedelta(seconds=deadline - written)
            try:
                async with asyncio.timeout_at(deadline):
                    connection.write(self._request(command, left))
                    message, body = await self._answer(connection, call.client_attempt_id)
            except TimeoutError:
                # Before the next clause: it is an OSError too.
                connection.abort()
                return self._missed(command, ErrorKind.BUDGET_SPENT)
            except (BrokenAnswer, aiohttp.ClientError, OSError, ValueError):
                connection.abort()
                stale = not fresh and not connection.heard and loop.time() - written <= STALE_SECONDS
                if call.repeatable and stale and loop.time() < deadline:
                    # A kept connection that the server closed as it was used: once more, on a new one. Later than that
                    # it may be at work on it, and a retry is the ingress side's to allow.
                    self.counters.add("server.stale_connections")
                    self.close()
                    continue
                return self._missed(command, ErrorKind.ANSWER_BROKEN)
            except asyncio.CancelledError:
                connection.abort()
                raise
            self._keep(connection, message)
            if any(name.lower() == b"content-encoding" for name, _ in message.raw_headers):
                return self._missed(command, ErrorKind.ANSWER_BROKEN)
            declined = any(name.lower() == self.not_run for name, _ in message.raw_headers)
            return ServerAnswered(
                command.number,
                message.code,
                pack_pairs(message.raw_headers),
                body,
                declined or message.code in NOT_RUN_STATUSES,
            )

    def _unsent(self, command: RunOnServer, kind: ErrorKind) -> ServerFailed:
        self.counters.add(f"server.unsent.{kind}")
        return ServerFailed(command.number, True, server_not_reached(kind))

    def _missed(self, command: RunOnServer, kind: ErrorKind) -> ServerFailed:
        self.counters.add(f"server.{kind}")
        return ServerFailed(command.number, False, server_answer_missing(kind))

    async def _answer(self, connection: ServerConnection, client_attempt_id: str) -> tuple[RawResponseMessage, bytes]:
        """Return the answer under this id. One under another's stands in its place and belongs to nobody."""
        while True:
            message, payload = await connection.next_message()
            body = await payload.read()
            if 100 <= message.code < 200:
                continue
            carried = [value for name, value in message.raw_headers if name.lower() == self.client_attempt_id]
            if carried == [client_attempt_id.encode()]:
                framing = connection.framing(message)
                self.counters.add(f"server.framing.{framing}")
                if framing is AnswerFraming.CONNECTION_END:
                    # It ends where its connection ends, which may be anywhere.
                    raise BrokenAnswer
                return message, body
            self.counters.add("server.strange_answers")
            connection.dirty = True

    def _keep(self, connection: ServerConnection, message: RawResponseMessage) -> None:
        connection.parser = None
        closes = message.should_close
        for name, value in message.raw_headers:
            if name.lower() == b"keep-alive":
                for part in value.split(b","):
                    key, _, seconds = part.strip().partition(b"=")
                    if key.lower() == b"timeout" and seconds.strip().isdigit():
                        connection.keep_seconds = max(0.1, int(seconds) * KEPT_SHARE)
        surplus = bool(connection.messages) or not connection.ends_with(message)
        former = connection.server != self.server
        if connection.dirty or connection.lost or surplus or closes or former or len(self.kept) >= MAX_KEPT:
            if surplus:
                self.counters.add("server.surplus_answers")
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self.kept.append(connection)
