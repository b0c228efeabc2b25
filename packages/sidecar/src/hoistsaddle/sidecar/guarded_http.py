"""An HTTP server that limits its connections as data arrives: heads in size and time, bodies by one byte budget."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from datetime import timedelta
from typing import Any, NamedTuple, cast

from aiohttp import StreamReader, web
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from hoistsaddle.common.byte_budget import SMALL_LEASE_BYTES, ByteBudget
from hoistsaddle.common.connection_writes import write_or_raise
from hoistsaddle.common.reading_watch import ReadingWatch
from hoistsaddle.common.receive_buffers import RECEIVE_BUFFER_BYTES, BodyReceiveBuffer
from hoistsaddle.common.work_turns import WorkTurns
from hoistsaddle.proxy.http_framing import (
    BodyReceived,
    HeadReceived,
    MalformedBody,
    MessageFraming,
    TrailersTooLarge,
)
from hoistsaddle.sidecar.request_sizes import RequestSizes

# The allowance for the request line, which the limit on header bytes doesn't include.
REQUEST_LINE_BYTES = 16384
HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
OVER_BUDGET_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
# The memory that a parser needs for a head field besides the field's bytes.
FIELD_OVERHEAD_BYTES = 512
# Chunks that all connections of a process decode in one iteration of the event loop: a few milliseconds of work.
CHUNKS_PER_ITERATION = 1000
# The most bytes that are read ahead of the requests that wait for their answers.
MAX_BYTES_AHEAD = 32 * 1024
MALFORMED_RESPONSE = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
HEAD_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class HttpLimits(NamedTuple):
    """Limits on a client: header size, time for a head, and idle time."""

    header_bytes: int = 65536
    header_time: timedelta = timedelta(seconds=30)
    idle_time: timedelta = timedelta(seconds=75)


class OverBudget(Exception):
    """The byte budget of the process is used up; the request has not run."""


class GuardedServer(web.Server):
    """An aiohttp server whose connections are limited."""

    def __init__(self, handler: Any, *, budget: ByteBudget, limits: Callable[[], HttpLimits], **arguments: Any) -> None:
        """Sets the limits of its connections.

        Args:
            handler: Responds to each request.
            budget: The byte budget of the process, shared by all its listeners.
            limits: Returns the limits that are in force now.
            arguments: Further arguments of web.Server.
        """
        super().__init__(handler, **arguments)
        self.budget = budget
        self.limits = limits
        self.chunk_turns = WorkTurns(pieces_per_iteration=CHUNKS_PER_ITERATION)

    def __call__(self) -> RequestHandler:
        """Make the protocol of one connection."""
        return GuardedConnection(self, loop=self._loop, **self._kwargs)


class GuardedConnection(RequestHandler):
    """One connection, whose bytes count against the budget until its request has been answered.

    The library's parser receives complete heads and joined chunks only; what is incomplete is kept as bytes.
    """

    __slots__ = (
        "_admitted",
        "_advancing",
        "_body",
        "_budget",
        "_chunk_turns",
        "_framing",
        "_head_timer",
        "_idle_timer",
        "_lease",
        "_limits",
        "_parser_paused",
        "_reading_watch",
        "_receive_buffer",
        "_refused",
        "_refused_body",
        "_request_sizes",
        "_waits_for_turn",
    )

    def __init__(self, server: GuardedServer, **arguments: Any) -> None:
        super().__init__(server, **arguments)
        self._budget = server.budget
        self._limits = server.limits
        self._chunk_turns = server.chunk_turns
        self._lease = server.budget.lease()
        self._receive_buffer = BodyReceiveBuffer(server.budget)
        self._framing = MessageFraming()
        self._admitted = False
        # The bytes of requests that the parser has received and that are not answered yet.
        self._request_sizes = RequestSizes()
        self._head_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        # The body that is being received.
        self._body: StreamReader | None = None
        # Whether a body was refused or is malformed: what else arrives is discarded until the connection is closed.
        self._refused = False
        self._refused_body: StreamReader | None = None
        self._advancing = False
        # Whether reading was paused since the parser was given all that it had kept.
        self._parser_paused = False
        self._waits_for_turn = False
        # Limits the time in which the client reads nothing of what was sent to it.
        self._reading_watch: ReadingWatch | None = None

    # -- connections -------------------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accepts the connection, unless there are too many."""
        if not self._budget.has_room_for_connection():
            cast(asyncio.Transport, transport).abort()
            return
        self._admitted = True
        self._budget.connections += 1
        self._budget.idle_connections[self] = None
        super().connection_made(transport)

    def close_idle(self) -> None:
        """Close this connection, on which nothing is under way, for another one."""
        transport = self.transport
        self.connection_lost(None)
        if transport is not None:
            transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Returns the bytes and the connection to the budget."""
        if not self._admitted:
            return
        self._admitted = False
        self._budget.connections -= 1
        self._budget.idle_connections.pop(self, None)
        self._lease.release()
        self._receive_buffer.restore(None)
        self._stop_timers()
        if self._reading_watch is not None:
            self._reading_watch.stop()
        super().connection_lost(exc)

    # -- bytes -------------------------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Counts received data, and passes what is complete to aiohttp. Empty data means that reading was resumed."""
        if not self._admitted or self._refused or self._is_ending():
            return
        if data:
            self._budget.idle_connections.pop(self, None)
            self._framing.feed(data)
        elif self._parser_paused and not self._advancing:
            # The parser may have kept data while reading was paused.
            self._parser_paused = False
            super().data_received(b"")
        elif not self._framing.pending_bytes:
            return
        self._advance()

    def pause_reading(self) -> None:
        """Stop reading while a body waits for its handler."""
        self._parser_paused = True
        super().pause_reading()

    def _pause_reading_for_buffer(self) -> None:
        self._parser_paused = True
        super()._pause_reading_for_buffer()

    def _is_ending(self) -> bool:
        return self._force_close or self._close

    def _count_bytes(self) -> None:
        self._lease.resize(self._framing.pending_bytes + self._request_sizes.total)

    def _advance(self) -> None:
        """Pass complete heads and body data to the parser, as far as it and the other connections allow."""
        if self._advancing or not self._admitted:
            return
        self._advancing = True
        try:
            while self._framing.pending_bytes and self._may_advance() and self._advance_once():
                pass
        finally:
            self._advancing = False
        if self._admitted:
            self._count_bytes()
            self._watch_incomplete()

    def _may_advance(self) -> bool:
        held_back = self._waits_for_turn or self._reading_paused or self._buffer_paused or self._upgraded
        return self._admitted and not held_back and not self._refused and not self._is_ending()

    def _advance_once(self) -> bool:
        """Pass one head, or some body data, to the parser; False if nothing of what is pending could be used."""
        if not self._framing.in_head and self._chunk_turns.left <= 0:
            self._wait_for_turn()
            return False
        before = self._framing.pending_bytes
        try:
            part, chunks = self._framing.next_part(max_pieces=self._chunk_turns.left)
        except (TrailersTooLarge, MalformedBody) as problem:
            self._refuse_body(problem)
            return False
        if chunks:
            self._chunk_turns.spend(chunks)
        match part:
            case HeadReceived(data):
                self._take_head(data)
            case BodyReceived():
                self._take_body(part)
        # Trailers are used without a part. Whatever is used shortens what is pending, so that this comes to an end.
        return self._framing.pending_bytes < before

    def _wait_for_turn(self) -> None:
        if self._framing.pending_bytes:
            self._waits_for_turn = True
            self._pause_transport_reading()
            self._chunk_turns.wait(self._turn_came)

    def _turn_came(self) -> None:
        self._waits_for_turn = False
        self._proceed()

    def _proceed(self) -> None:
        """Process what was held back, and read on."""
        self._advance()
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        # With requests waiting for their answers, what is pending is used after the next one, and reading goes on then.
        enough_ahead = self._messages and self._framing.pending_bytes > MAX_BYTES_AHEAD
        if not self._waits_for_turn and not enough_ahead:
            super()._resume_transport_reading()

    def _take_head(self, data: bytes) -> None:
        self._stop_timers()
        if len(data) > REQUEST_LINE_BYTES and len(data) > self._limits().header_bytes + REQUEST_LINE_BYTES:
            self._end(HEAD_TOO_LARGE_RESPONSE)
            return
        before = self._request_count
        super().data_received(data)
        if self._request_count == before:
            self._end(MALFORMED_RESPONSE)
            return
        self._request_sizes.begin(len(data) + data.count(b"\n") * FIELD_OVERHEAD_BYTES)
        message, body = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            self._refused = True
        elif isinstance(body, StreamReader) and not body.is_eof():
            self._body = body
            length = None if message.chunked else int(message.headers.get("Content-Length", "0"))
            self._framing.begin_body(length=length)
            if length is None or length > RECEIVE_BUFFER_BYTES:
                self._receive_buffer.enlarge(self.transport)

    def _take_body(self, part: BodyReceived) -> None:
        super().data_received(part.coded())
        self._request_sizes.add(len(part.payload))
        if part.last:
            self._body = None
            self._stop_timers()
            self._receive_buffer.restore(self.transport)

    def _watch_incomplete(self) -> None:
        """Limit what is incomplete, in size and in time."""
        if self._refused or self._is_ending():
            return
        if self._body is not None:
            self._watch_body()
        elif self._framing.head_bytes:
            self._watch_head()

    def _watch_head(self) -> None:
        limits = self._limits()
        if self._framing.head_bytes > limits.header_bytes + REQUEST_LINE_BYTES:
            if self._may_advance():
                self._end(HEAD_TOO_LARGE_RESPONSE)
            else:
                # Requests before it are still being answered; what follows them is read later.
                self._pause_transport_reading()
        elif not self._lease.fits():
            self._end(OVER_BUDGET_RESPONSE)
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(
                limits.header_time.total_seconds(), self._end, HEAD_TIMEOUT_RESPONSE
            )

    def _watch_body(self) -> None:
        if not self._lease.fits():
            self._refuse_body(OverBudget())
            return
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        if not self._waits_for_turn:
            self._idle_timer = self._loop.call_later(self._limits().idle_time.total_seconds(), self.force_close)

    def _refuse_body(self, reason: Exception) -> None:
        """Let the request's handler refuse it; the rest of its body is read and discarded for a while.

        What was received of it stays counted until the handler has returned, as it is held until then.
        """
        body, self._body = self._body, None
        self._refused = True
        self._framing.discard()
        self._count_bytes()
        self._stop_timers()
        self._receive_buffer.restore(self.transport)
        if body is not None:
            body.set_exception(reason)
            self._refused_body = body

    def _end(self, answer: bytes) -> None:
        """Refuses an incomplete head, and closes the connection."""
        if self._current_request is not None or self._messages:
            # An earlier request is still being answered: the client would take this response for that request's.
            self.close()
            return
        if self.transport is not None and not self._is_ending():
            with suppress(ConnectionResetError):
                write_or_raise(self.transport, answer)
        self._framing.discard()
        self._lease.release()
        self.force_close()

    def _note_idle(self) -> None:
        if self._body is None and not self._messages and not self._framing.head_bytes:
            self._budget.idle_connections[self] = None

    def _stop_timers(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    # -- answers -----------------------------------------------------------------------------------------------------

    def handle_error(
        self, request: web.BaseRequest, status: int = 500, exc: BaseException | None = None, message: str | None = None
    ) -> web.StreamResponse:
        """Refuse a request whose body was refused while its handler read it."""
        match exc:
            case OverBudget():
                response = web.Response(status=503, headers={"Retry-After": "0.5"})
            case TrailersTooLarge():
                response = web.Response(status=431)
            case MalformedBody():
                response = web.Response(status=400)
            case _:
                return super().handle_error(request, status, exc, message)
        response.force_close()
        return response

    def finish_response(self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None) -> Any:
        """Count a large response until the client has read it."""
        body = resp.body if isinstance(resp, web.Response) else None
        size = len(body) if isinstance(body, bytes | bytearray) else 0
        finishing = super().finish_response(request, resp, start_time)
        return finishing if size <= SMALL_LEASE_BYTES else self._finish_counted(finishing, size)

    async def _finish_counted(self, finishing: Awaitable[Any], size: int) -> Any:
        lease = self._budget.lease()
        lease.resize(size)
        try:
            return await finishing
        finally:
            lease.release()

    def pause_writing(self) -> None:
        """Wait for the client to read what was sent, for a limited time."""
        super().pause_writing()
        self._watch_reading()

    def force_close(self) -> None:
        """Close the connection once the client has read what was sent."""
        self._watch_reading()
        super().force_close()

    def _watch_reading(self) -> None:
        """Cut off a client that leaves unread what was sent to it, also after the connection was closed."""
        transport = self.transport
        if transport is None or not transport.get_write_buffer_size():
            return
        if self._reading_watch is None or not self._reading_watch.active:
            timeout = self._limits().idle_time
            self._reading_watch = ReadingWatch(loop=self._loop, transport=transport, timeout=timeout)

    async def _handle_request(self, *arguments: Any) -> Any:
        try:
            return await super()._handle_request(*arguments)
        finally:
            if self._refused_body is not None:
                # The library waits for the rest of the body, which fails with an exception set.
                self._refused_body.set_exception(None)  # type: ignore[arg-type]
            if self._messages:
                self._request_sizes.answered()
            elif self._body is None:
                self._request_sizes.clear()
            if self._admitted:
                self._count_bytes()
                self._note_idle()
                self._watch_reading()
            if self._framing.pending_bytes:
                # What follows may have been held back: by an upgrade that was asked for, or by its size.
                self._loop.call_soon(self._proceed)
