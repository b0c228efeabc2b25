"""One connection to the local server, kept as long as it is clean.

Reading is aiohttp's parser; what is added is the bookkeeping: a server may answer late in the place of the next
answer, send more after a complete one, break off, or close a connection just as it is used.
"""

import asyncio
from collections import deque

import aiohttp
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser, RawResponseMessage
from aiohttp.streams import StreamReader

from hoistsaddle.proxy.answer_framing import AnswerFraming, framing_of

# For how long an unused connection is kept where the server says nothing of it.
KEPT_SECONDS = 4.0
HEAD_END = b"\r\n\r\n"
# Heads that are looked for in one read: an answer's, and those of interim ones before it.
MAX_HEADS = 4


class BrokenAnswer(Exception):
    """What came is no complete answer to the request."""


def _split_at_heads(data: bytes) -> list[bytes]:
    parts = data.split(HEAD_END, MAX_HEADS)
    return [part + HEAD_END for part in parts[:-1]] + ([parts[-1]] if parts[-1] else [])


class ServerConnection(BaseProtocol):
    """Reads answers by aiohttp's parser, and keeps the books that say whether the connection may be used again."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin unconnected."""
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
        # Whether bytes came after a complete answer that are no complete head: a surplus answer has begun.
        self.surplus = False
        self.arrived: asyncio.Future | None = None
        # Not to be used again; and nothing more can be read from it.
        self.dirty = False
        self.lost = False
        self.uses = 0
        # The server's address and instance that it was opened to.
        self.server = ""
        self.idle_since = 0.0
        self.keep_seconds = KEPT_SECONDS

    def begin(self, *, with_body: bool) -> None:
        """Prepare to read the answer to one more request; `with_body` is False where it can have none."""
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
        """Parse what came."""
        if self.parser is None:
            # Nobody asked anything: whatever it is, it is no answer.
            self.dirty = True
            self.abort()
            return
        self.heard = True
        # A parser that meets garbage forgets the answers before it in the same bytes: heads are fed on their own.
        for part in _split_at_heads(data):
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

    def framing(self, message: RawResponseMessage) -> AnswerFraming:
        """Return how this answer's body is framed."""
        return framing_of(
            status=message.code,
            chunked=message.chunked,
            length=message.headers.get("Content-Length"),
            with_body=self.with_body,
        )

    def ends_with(self, message: RawResponseMessage) -> bool:
        """Whether the bytes so far end where this answer ends: the parser keeps a begun surplus answer to itself."""
        if self.surplus:
            return False
        match self.framing(message):
            case AnswerFraming.CHUNKED:
                return self.tail == b"\r\n"
            case AnswerFraming.LENGTH:
                length = int(message.headers["Content-Length"])
            case AnswerFraming.BODILESS | AnswerFraming.CONNECTION_END:
                length = 0
        # Where the head's end isn't known, neither is the answer's: the connection is left rather than trusted.
        return self.beyond == length

    def _end(self) -> None:
        """Nothing more will come: a body that isn't complete by now never is."""
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
        """Take that the server sends no more."""
        self._end()
        return False

    def connection_lost(self, exception: BaseException | None) -> None:
        """Take that the connection has ended."""
        super().connection_lost(exception)
        self._end()

    def abort(self) -> None:
        """Close at once."""
        self._end()
        if self.transport is not None:
            self.transport.abort()

    def write(self, data: bytes) -> None:
        """Write a request; raises BrokenAnswer where the connection has ended."""
        if self.transport is None:
            raise BrokenAnswer
        self.transport.write(data)

    async def next_message(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the next answer's head and body; raises BrokenAnswer if none will come."""
        while not self.messages:
            if self.lost:
                raise BrokenAnswer
            self.arrived = self._loop.create_future()
            await self.arrived
        return self.messages.popleft()
