"""An HTTP server that limits its connections as data arrives: heads in size and time, bodies by one byte budget."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple, cast

from aiohttp import StreamReader, web
from aiohttp.web_protocol import RequestHandler

from hoistsaddle.common.byte_budget import ByteBudget

# The allowance for the request line, which the limit on header bytes doesn't include.
REQUEST_LINE_BYTES = 16384
HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
OVER_BUDGET_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
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

    def __call__(self) -> RequestHandler:
        """Make the protocol of one connection."""
        return GuardedConnection(self, loop=self._loop, **self._kwargs)


class GuardedConnection(RequestHandler):
    """One connection, whose bytes count against the budget until its request has been answered."""

    __slots__ = (
        "_admitted",
        "_budget",
        "_head_bytes",
        "_head_timer",
        "_held",
        "_idle_timer",
        "_limits",
        "_newest_body",
        "_refused_body",
    )

    def __init__(self, server: GuardedServer, **arguments: Any) -> None:
        super().__init__(server, **arguments)
        self._budget = server.budget
        self._limits = server.limits
        self._admitted = False
        self._held = 0
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        # The body of the newest request on this connection.
        self._newest_body: StreamReader | None = None
        # A body that was refused, after which the connection is closed.
        self._refused_body: StreamReader | None = None

    # -- connections -------------------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accepts the connection, unless there are too many."""
        if not self._budget.has_room_for_connection():
            cast(asyncio.Transport, transport).abort()
            return
        self._admitted = True
        self._budget.connections += 1
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Returns the bytes and the connection to the budget."""
        if not self._admitted:
            return
        self._admitted = False
        self._budget.connections -= 1
        self._release()
        self._stop_timers()
        super().connection_lost(exc)

    # -- bytes -------------------------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Counts received data, passes it to aiohttp, and refuses what is over a limit."""
        if not self._admitted or self._is_ending():
            return
        if self._refused_body is not None:
            # The rest of a refused body is read and discarded for a while, so that the client receives the refusal.
            super().data_received(data)
            return
        was_in_head = self._is_in_head()
        before = self._request_count
        self._held += len(data)
        self._budget.held += len(data)
        super().data_received(data)
        if self._request_count > before:
            self._head_completed()
        elif was_in_head:
            self._head_continued(len(data))
        if self._newest_body is not None and not self._newest_body.is_eof():
            self._body_continued(self._newest_body)
        elif self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _is_ending(self) -> bool:
        return self._force_close or self._close

    def _is_in_head(self) -> bool:
        return self._newest_body is None or self._newest_body.is_eof()

    def _head_completed(self) -> None:
        self._head_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
        body = self._messages[-1][1] if self._messages else None
        self._newest_body = body if isinstance(body, StreamReader) else None

    def _head_continued(self, size: int) -> None:
        limits = self._limits()
        self._head_bytes += size
        if self._head_bytes > limits.header_bytes + REQUEST_LINE_BYTES:
            self._end(HEAD_TOO_LARGE_RESPONSE)
        elif not self._budget.has_room_for(self._held):
            self._end(OVER_BUDGET_RESPONSE)
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(
                limits.header_time.total_seconds(), self._end, HEAD_TIMEOUT_RESPONSE
            )

    def _body_continued(self, body: StreamReader) -> None:
        if not self._budget.has_room_for(self._held):
            self._refused_body = body
            self._release()
            body.set_exception(OverBudget())
            return
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = self._loop.call_later(self._limits().idle_time.total_seconds(), self.force_close)

    def _end(self, answer: bytes) -> None:
        """Refuses an incomplete head, and closes the connection."""
        if self._current_request is not None or self._messages:
            # An earlier request is still being answered: the client would take this response for that request's.
            self.close()
            return
        if self.transport is not None and not self._is_ending():
            self.transport.write(answer)
        self._release()
        self.force_close()

    def _release(self) -> None:
        self._budget.held -= self._held
        self._held = 0

    def _stop_timers(self) -> None:
        for timer in (self._head_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        self._head_timer = self._idle_timer = None

    async def _handle_request(self, *arguments: Any) -> Any:
        try:
            return await super()._handle_request(*arguments)
        finally:
            if self._refused_body is not None:
                self._refused_body.set_exception(None)  # type: ignore[arg-type]
            if self._is_in_head():
                self._release()
