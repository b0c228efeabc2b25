"""One connection to the local server, reused as long as its response stream is in a known state.

aiohttp's parser reads the responses. This class adds the bookkeeping for faulty servers: one may send a late response
in place of the next, send data after a complete response, break off, or close a connection just as it is used.
"""

import asyncio
from collections import deque

import aiohttp
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser, RawResponseMessage
from aiohttp.streams import StreamReader

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.connection_writes import write_or_raise
from hoistsaddle.proxy.answer_framing import AnswerFraming, framing_of

# How long an idle connection is kept if the server doesn't send a keep-alive timeout.
DEFAULT_KEEP_SECONDS = 4.0
HEAD_END = b"\r\n\r\n"
# The bytes before a segment that may belong to an end of a head within it.
TAIL_BYTES = len(HEAD_END) - 1
# The most heads that are split off in one read: that of a response and those of interim responses before it.
MAX_HEADS = 4
# The limit on the bytes of a response's head, and what the parser needs for each line of a response in chunks.
MAX_RESPONSE_HEAD_BYTES = 262144
LINE_OVERHEAD_BYTES = 128


class BrokenAnswer(Exception):
    """The received data is not a complete response to the request."""


def _split_at_heads(data: bytes, *, before: bytes) -> list[tuple[bytes, bool]]:
    """Split data after each end of a head, which may begin in the bytes before; the flag says what ends with one."""
    joined = before + data
    parts: list[tuple[bytes, bool]] = []
    position = len(before)
    found = joined.find(HEAD_END)
    while found >= 0 and len(parts) < MAX_HEADS:
        end = found + len(HEAD_END)
        if end > position:
            parts.append((joined[position:end], True))
            position = end
        found = joined.find(HEAD_END, end)
    if position < len(joined):
        parts.append((joined[position:], False))
    return parts


class ServerConnection(BaseProtocol):
    """Reads responses with aiohttp's parser, and tracks whether the connection may be reused."""

    def __init__(self, loop: asyncio.AbstractEventLoop, *, budget: ByteBudget) -> None:
        """Start unconnected; the bytes of responses count against the budget."""
        super().__init__(loop)
        self.lease = budget.lease()
        # The bytes received for this request, those of them before the first complete head, and the lines among them
        # that the parser makes objects of; and whether the newest response is in chunks.
        self.answer_bytes = 0
        self.unfinished_head_bytes = 0
        self.answer_lines = 0
        self.in_chunks = False
        self.parser: HttpResponseParser | None = None
        self.messages: deque = deque()
        # The bodies of this request's responses, and whether any data was received for it.
        self.payloads: list = []
        self.data_seen = False
        self.with_body = True
        # The number of bytes after the newest response's head, None if unknown, and the last bytes received.
        self.bytes_after_head: int | None = None
        self.tail = b""
        # Whether there are bytes after a complete response that are no complete head: the start of a surplus response.
        self.surplus = False
        self.arrived: asyncio.Future | None = None
        # Whether it must not be reused, and whether the connection has ended.
        self.dirty = False
        self.closed = False
        self.uses = 0
        # The address and instance of the server that it was opened to.
        self.server = ""
        self.idle_since = 0.0
        self.keep_seconds = DEFAULT_KEEP_SECONDS

    def begin(self, *, with_body: bool) -> None:
        """Prepare to read the response to another request; `with_body` is False if it can't have a body."""
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
        self.data_seen = False
        self.surplus = False
        self.tail = b""
        self.unfinished_head_bytes = self.answer_bytes = self.answer_lines = 0
        self.in_chunks = False
        self.uses += 1

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self.parser is None:
            # No request is in flight, so this can't be a response.
            self.dirty = True
            self.abort()
            return
        self.data_seen = True
        if not self._has_room_for(data):
            self.dirty = True
            self.abort()
            return
        # On invalid data the parser drops the responses before it in the same call, so each head is fed separately.
        for part, ends_with_head in _split_at_heads(data, before=self.tail):
            complete = bool(self.payloads) and self.payloads[-1].is_eof()
            try:
                messages, upgraded, tail = self.parser.feed_data(part)
            except Exception:
                # The parser raises many exception types for data that is no response.
                self.dirty = True
                self.abort()
                return
            if upgraded or tail:
                self.dirty = True
            if messages:
                self._head_completed(messages[-1][0])
            self.messages.extend(messages)
            self.payloads += [payload for _, payload in messages]
            # A complete head resets this: an interim response is followed by the final one.
            self.surplus = complete and not messages
            if messages:
                self.bytes_after_head = 0 if ends_with_head else None
            elif self.bytes_after_head is not None:
                self.bytes_after_head += len(part)
            self.tail = (self.tail + part)[-TAIL_BYTES:]
        self._wake()

    def _has_room_for(self, data: bytes) -> bool:
        """Count received data, before the parser makes objects of it; False if it is over a limit."""
        self.answer_bytes += len(data)
        if not self.payloads:
            self.unfinished_head_bytes += len(data)
        if self.in_chunks or not self.payloads:
            self.answer_lines += data.count(b"\n")
        self._count_bytes()
        return self.unfinished_head_bytes <= MAX_RESPONSE_HEAD_BYTES and self.lease.fits()

    def _head_completed(self, message: RawResponseMessage) -> None:
        self.unfinished_head_bytes = 0
        self.in_chunks = message.chunked
        if not self.in_chunks:
            # Lines of a body that isn't in chunks cost nothing.
            self.answer_lines = 0
        self._count_bytes()

    def _count_bytes(self) -> None:
        self.lease.resize(self.answer_bytes + self.answer_lines * LINE_OVERHEAD_BYTES)

    def pause_reading(self) -> None:
        """Stop reading while a body waits to be taken; the parser keeps nothing, so it goes on with what it has."""
        self._reading_paused = True
        self._pause_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on."""
        self._reading_paused = False
        self._resume_transport_reading()

    def framing(self, message: RawResponseMessage) -> AnswerFraming:
        """Return how this response's body is framed."""
        return framing_of(
            status=message.code,
            chunked=message.chunked,
            length=message.headers.get("Content-Length"),
            with_body=self.with_body,
        )

    def ends_with(self, message: RawResponseMessage) -> bool:
        """Whether the received data ends with this response; the parser doesn't report a partial surplus response."""
        if self.surplus:
            return False
        match self.framing(message):
            case AnswerFraming.CHUNKED:
                return self.tail.endswith(b"\r\n")
            case AnswerFraming.LENGTH:
                length = int(message.headers["Content-Length"])
            case AnswerFraming.BODILESS | AnswerFraming.CONNECTION_END:
                length = 0
        # If the end of the head is unknown, so is the end of the response, and the connection must not be reused.
        return self.bytes_after_head == length

    def _end(self) -> None:
        """Handle the end of the connection: an incomplete body will never be completed."""
        self.closed = self.dirty = True
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
        """Handle the end of the server's data."""
        self._end()
        return False

    def connection_lost(self, exception: BaseException | None) -> None:
        """Handle the end of the connection."""
        super().connection_lost(exception)
        self._end()
        # They refer to this connection: without the cycle their memory is free at once.
        self.parser = None
        self.payloads = []
        self.lease.release()

    def abort(self) -> None:
        """Close the connection at once."""
        self._end()
        if self.transport is not None:
            self.transport.abort()

    def write(self, data: bytes) -> None:
        """Write a request; raises BrokenAnswer if the connection has ended."""
        if self.transport is None:
            raise BrokenAnswer
        try:
            write_or_raise(self.transport, data)
        except ConnectionResetError as problem:
            raise BrokenAnswer from problem

    async def next_message(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the next response's head and body; raises BrokenAnswer if the connection ends before it."""
        while not self.messages:
            if self.closed:
                raise BrokenAnswer
            self.arrived = self._loop.create_future()
            await self.arrived
        return self.messages.popleft()
