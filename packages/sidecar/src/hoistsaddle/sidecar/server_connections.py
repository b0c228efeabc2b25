"""The pool of connections to the local server. A response is accepted only with the id of its request.

Requests are written without a client library: that would hide when a request's first byte is written and which response
arrived in place of another, and this decides whether a request may be retried.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from aiohttp.http import RawResponseMessage

from hoistsaddle.common.byte_budget import SMALL_LEASE_BYTES, ByteBudget
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.common.receive_buffers import limit_receive_buffer
from hoistsaddle.common.socket_addresses import split_address
from hoistsaddle.common.work_turns import WorkTurns
from hoistsaddle.proxy.answer_reader import Answer, AnswerFault
from hoistsaddle.proxy.server_connection import PIECES_PER_ITERATION, BrokenAnswer, ServerConnection
from hoistsaddle.sidecar.errors import server_answer_missing, server_not_reached
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.header_pairs import pack_pairs, unpack_pairs
from hoistsaddle.sidecar.messages import RunOnServer, ServerAnswered, ServerFailed

CONNECT_SECONDS = 0.4
# A connection is reused only within this share of the server's keep-alive timeout, to avoid a race with its close.
KEEP_ALIVE_SHARE = 0.6
MAX_IDLE_CONNECTIONS = 64
# A server's keep-alive timeout counts as at most this.
MAX_KEEP_SECONDS = 3600
# The kernel's receive buffer of each connection, if the memory of the process is limited.
SERVER_RECEIVE_BUFFER_BYTES = 128 * 1024
# The server is on the same machine, so if it closed the connection before the request arrived, the close is seen here
# within this time, even on a busy processor. If the close is seen later, the server may have read the request.
STALE_SECONDS = 0.02
# 421 Misdirected Request: the server did not run it.
NOT_RUN_STATUSES = frozenset({421})


class ServerConnectionPool:
    """Runs requests on the local server, each on a connection that it uses alone."""

    def __init__(self, *, header_names: HeaderNames, counters: Counters, budget: ByteBudget | None = None) -> None:
        self.header_names = header_names
        self._budget = budget or ByteBudget()
        self._turns = WorkTurns(pieces_per_iteration=PIECES_PER_ITERATION)
        self.counters = counters
        self.idle: deque[ServerConnection] = deque()
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
        """Close all idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()

    def _use_server(self, address: str, instance: str) -> None:
        # For another server, or a new instance of it, the open connections are of no use.
        server = f"{address} {instance}"
        if server != self.server:
            self.close()
            self.server = server

    def _take_idle(self) -> ServerConnection | None:
        now = asyncio.get_running_loop().time()
        while self.idle:
            # The most recently used one first: it is the least likely to be closed by the server.
            connection = self.idle.pop()
            if not connection.dirty and not connection.closed and now - connection.idle_since < connection.keep_seconds:
                return connection
            connection.abort()
        return None

    async def _open(self, address: str) -> ServerConnection:
        host, port = split_address(address)
        loop, server = asyncio.get_running_loop(), self.server
        async with asyncio.timeout(CONNECT_SECONDS):
            _, connection = await loop.create_connection(
                lambda: ServerConnection(loop, budget=self._budget, turns=self._turns), host, port
            )
        if self._budget.max_bytes is not None and connection.transport is not None:
            limit_receive_buffer(connection.transport.get_extra_info("socket"), SERVER_RECEIVE_BUFFER_BYTES)
        self.counters.add("server.connections")
        connection.server = server
        return connection

    def _write_request(self, connection: ServerConnection, command: RunOnServer, left: timedelta) -> None:
        """Write a request; raises BrokenAnswer if the connection has ended. A large body is not copied."""
        head, body = self._request_head(command, left), command.call.body
        if len(body) <= SMALL_LEASE_BYTES:
            connection.write(head + body)
        else:
            connection.write(head)
            connection.write(body)

    def _request_head(self, command: RunOnServer, left: timedelta) -> bytes:
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
        parts.append(b"\r\n")
        return b"".join(parts)

    async def _obtain(self, command: RunOnServer, deadline: float) -> ServerConnection | ErrorKind:
        """Return a connection that is ready for a request, or why there is none."""
        loop = asyncio.get_running_loop()
        if loop.time() >= deadline:
            # This process was frozen before it got to this request.
            return ErrorKind.BUDGET_SPENT
        if (connection := self._take_idle()) is not None:
            return connection
        try:
            connection = await self._open(command.address)
        except (OSError, TimeoutError):
            return ErrorKind.UNREACHABLE
        if loop.time() >= deadline:
            connection.abort()
            return ErrorKind.BUDGET_SPENT
        # The server closed the connection before anything was written: it accepts no more connections at present.
        return ErrorKind.QUEUE_FULL if connection.closed else connection

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
            connection.begin(with_body=call.method != "HEAD", is_own=self._is_answer_to(call.client_attempt_id))
            fresh, written = connection.uses == 1, loop.time()
            left = timedelta(seconds=deadline - written)
            try:
                async with asyncio.timeout_at(deadline):
                    self._write_request(connection, command, left)
                    answer = await connection.answer()
            except TimeoutError:
                # This clause must precede the next one, as TimeoutError is an OSError.
                connection.abort()
                return self._unanswered(command, ErrorKind.BUDGET_SPENT)
            except (BrokenAnswer, OSError, ValueError) as problem:
                connection.abort()
                stale = not fresh and not connection.data_seen and loop.time() - written <= STALE_SECONDS
                if call.repeatable and stale and loop.time() < deadline:
                    # The server closed a reused connection as the request was sent: send it again on a new one. If the
                    # close came later, the server may have run the request, and only the ingress side may retry it.
                    self.counters.add("server.stale_connections")
                    self.close()
                    continue
                fault = problem.fault if isinstance(problem, BrokenAnswer) else AnswerFault.CUT_SHORT
                self.counters.add(f"server.answers_refused.{fault}")
                return self._unanswered(command, ErrorKind.ANSWER_BROKEN)
            except asyncio.CancelledError:
                connection.abort()
                raise
            self._return_to_pool(connection, answer.message)
            return self._answered(command, answer)

    def _answered(self, command: RunOnServer, answer: Answer) -> tuple:
        message = answer.message
        self.counters.add(f"server.framing.{answer.framing}")
        if any(name.lower() == b"content-encoding" for name, _ in message.raw_headers):
            return self._unanswered(command, ErrorKind.ANSWER_BROKEN)
        declined = any(name.lower() == self.not_run for name, _ in message.raw_headers)
        return ServerAnswered(
            command.number,
            message.code,
            pack_pairs(message.raw_headers),
            answer.body,
            declined or message.code in NOT_RUN_STATUSES,
        )

    def _unsent(self, command: RunOnServer, kind: ErrorKind) -> ServerFailed:
        self.counters.add(f"server.unsent.{kind}")
        return ServerFailed(command.number, True, server_not_reached(kind))

    def _unanswered(self, command: RunOnServer, kind: ErrorKind) -> ServerFailed:
        self.counters.add(f"server.{kind}")
        return ServerFailed(command.number, False, server_answer_missing(kind))

    def _is_answer_to(self, client_attempt_id: str) -> Callable[[RawResponseMessage], bool]:
        """Return what tells the response that carries this id once, and no other id, from others."""
        expected = [client_attempt_id.encode()]

        def is_own(message: RawResponseMessage) -> bool:
            return [value for name, value in message.raw_headers if name.lower() == self.client_attempt_id] == expected

        return is_own

    def _return_to_pool(self, connection: ServerConnection, message: RawResponseMessage) -> None:
        if connection.other_answers:
            self.counters.add("server.strange_answers", connection.other_answers)
            connection.dirty = True
        surplus = connection.finish()
        closes = message.should_close
        for name, value in message.raw_headers:
            if name.lower() == b"keep-alive":
                for part in value.split(b","):
                    key, _, seconds = part.strip().partition(b"=")
                    if key.lower() == b"timeout" and seconds.strip().isdigit():
                        connection.keep_seconds = max(0.1, _bounded_seconds(seconds.strip()) * KEEP_ALIVE_SHARE)
        replaced = connection.server != self.server
        if (
            connection.dirty
            or connection.closed
            or surplus
            or closes
            or replaced
            or len(self.idle) >= MAX_IDLE_CONNECTIONS
        ):
            if surplus:
                self.counters.add("server.surplus_answers")
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.append(connection)


def _bounded_seconds(digits: bytes) -> int:
    """Return the number that these digits, of which there may be any number, stand for, up to the limit."""
    significant = digits.lstrip(b"0")
    if len(significant) > len(str(MAX_KEEP_SECONDS)):
        return MAX_KEEP_SECONDS
    return min(MAX_KEEP_SECONDS, int(significant or b"0"))
