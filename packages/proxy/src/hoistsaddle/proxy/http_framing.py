"""Splits a connection's bytes into heads and body data before a parser sees them, so that every piece is bounded.

A parser keeps an object for each field and each chunk, which costs far more than the bytes that it came in. Here a head
stays one string of bytes until it is complete, the data of small chunks is joined, and trailers are dropped.
"""

import re
from enum import Enum, auto
from typing import NamedTuple

HEAD_END = re.compile(rb"\n\r?\n")
# A chunk's size in hexadecimal, and its extension, which is ignored (RFC 9112, 7.1).
CHUNK_LINE = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
# The limits on a chunk's size line with its extension, and on all trailer fields, in bytes.
MAX_CHUNK_LINE_BYTES = 4096
MAX_TRAILER_BYTES = 65536
LINE_END = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class HeadReceived(NamedTuple):
    """A complete head, with its empty line."""

    data: bytes


class BodyReceived(NamedTuple):
    """Decoded body data, which is the last of its message or not, and whether the message is in chunks."""

    payload: bytes
    last: bool
    chunked: bool = False

    def coded(self) -> bytes:
        """Return the data in the coding of its message, with all payload in one chunk."""
        if not self.chunked:
            return self.payload
        chunk = b"%x\r\n%b\r\n" % (len(self.payload), self.payload) if self.payload else b""
        return chunk + LAST_CHUNK if self.last else chunk


class TrailersTooLarge(Exception):
    """The trailer fields of a chunked body are over their limit."""


class MalformedBody(Exception):
    """The chunks of a body can't be decoded."""


class _Phase(Enum):
    HEAD = auto()
    LENGTH_BODY = auto()
    CHUNK_LINE = auto()
    CHUNK_DATA = auto()
    CHUNK_DATA_END = auto()
    TRAILERS = auto()


class MessageFraming:
    """The framing of a connection's messages in one direction: `feed` takes bytes, `next_part` returns their parts."""

    __slots__ = ("_chunk_left", "_body_left", "_head_searched", "_pending", "_phase", "_trailer_bytes", "head_bytes")

    def __init__(self) -> None:
        self._phase = _Phase.HEAD
        self._pending = b""
        # The bytes of this head so far, with the empty lines before it.
        self.head_bytes = 0
        # How much of the incomplete head was searched for its end.
        self._head_searched = 0
        self._body_left = 0
        self._chunk_left = 0
        self._trailer_bytes = 0

    @property
    def pending_bytes(self) -> int:
        """The number of bytes that are kept and were not returned yet."""
        return len(self._pending)

    @property
    def pending(self) -> bytes:
        """What is kept and was not returned yet."""
        return self._pending

    @property
    def announced_bytes(self) -> int:
        """How many more bytes the current body or chunk is said to have."""
        return self._body_left if self._phase is _Phase.LENGTH_BODY else self._chunk_left

    @property
    def in_head(self) -> bool:
        """Whether the next part is a head."""
        return self._phase is _Phase.HEAD

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._pending = self._pending + data if self._pending else data
        if self.in_head:
            self.head_bytes += len(data)

    def discard(self) -> None:
        """Drop all bytes that were not returned yet."""
        self._pending = b""

    def begin_body(self, *, length: int | None) -> None:
        """Expect the body of the head that was returned last.

        Args:
            length: its length in bytes; None for a body in chunks.
        """
        if length is None:
            self._phase = _Phase.CHUNK_LINE
            self._trailer_bytes = 0
        elif length:
            self._phase = _Phase.LENGTH_BODY
            self._body_left = length

    def next_part(self, *, max_pieces: int) -> tuple[HeadReceived | BodyReceived | None, int]:
        """Return the next head or body data.

        Args:
            max_pieces: how many chunks may be decoded.

        Returns:
            The part, None if more bytes or pieces are needed; and the number of chunks decoded.

        Raises:
            TrailersTooLarge: the trailer fields of a body are over their limit.
            MalformedBody: the body can't be decoded.
        """
        if self._phase is _Phase.HEAD:
            return self._next_head(), 0
        if self._phase is _Phase.LENGTH_BODY:
            return self._next_of_length(), 0
        return self._next_of_chunks(max_pieces)

    def _next_head(self) -> HeadReceived | None:
        # Empty lines before a head are ignored (RFC 9112, 2.2), but count as its bytes.
        data = self._pending if self._head_searched else self._pending.lstrip(LINE_END)
        end = HEAD_END.search(data, max(0, self._head_searched - len(LINE_END)))
        if end is None:
            self._pending = data
            self._head_searched = len(data)
            return None
        self._pending = data[end.end() :]
        self._head_searched = 0
        self.head_bytes = len(self._pending)
        return HeadReceived(data[: end.end()])

    def _next_of_length(self) -> BodyReceived | None:
        data = self._pending[: self._body_left]
        if not data:
            return None
        self._pending = self._pending[len(data) :]
        self._body_left -= len(data)
        if not self._body_left:
            self._body_ended()
        return BodyReceived(data, last=not self._body_left)

    def _body_ended(self) -> None:
        self._phase = _Phase.HEAD
        self.head_bytes = len(self._pending)

    # -- chunks ------------------------------------------------------------------------------------------------------

    def _next_of_chunks(self, max_pieces: int) -> tuple[BodyReceived | None, int]:
        """Decode chunks, and join their data."""
        data, position, pieces = self._pending, 0, 0
        payload = bytearray()
        while pieces < max_pieces and self._phase is not _Phase.HEAD:
            before, phase = position, self._phase
            match phase:
                case _Phase.CHUNK_LINE:
                    position, complete = _read_complete_chunks(data, position, payload, max_pieces=max_pieces - pieces)
                    pieces += complete
                    if pieces < max_pieces:
                        position = self._read_chunk_line(data, position)
                        pieces += self._phase is not phase
                case _Phase.CHUNK_DATA:
                    position = self._read_chunk_data(data, position, payload)
                case _Phase.CHUNK_DATA_END:
                    position = self._read_line_end(data, position)
                case _:
                    position = self._read_trailer(data, position)
                    # A trailer field that isn't complete yet is no piece: its line is read again with more bytes.
                    pieces += position > before
            if position == before and self._phase is phase:
                break
        self._pending = data[position:]
        last = self._phase is _Phase.HEAD
        if last:
            self._body_ended()
        if not payload and not last:
            return None, pieces
        return BodyReceived(bytes(payload), last=last, chunked=True), pieces

    def _read_chunk_line(self, data: bytes, position: int) -> int:
        line = CHUNK_LINE.match(data, position)
        if line is None:
            if b"\n" in data[position:] or len(data) - position > MAX_CHUNK_LINE_BYTES:
                raise MalformedBody
            return position
        self._chunk_left = int(line[1], 16)
        self._phase = _Phase.CHUNK_DATA if self._chunk_left else _Phase.TRAILERS
        return line.end()

    def _read_chunk_data(self, data: bytes, position: int, payload: bytearray) -> int:
        part = data[position : position + self._chunk_left]
        payload += part
        self._chunk_left -= len(part)
        if not self._chunk_left:
            self._phase = _Phase.CHUNK_DATA_END
        return position + len(part)

    def _read_line_end(self, data: bytes, position: int) -> int:
        found = data[position : position + len(LINE_END)]
        if found == LINE_END:
            self._phase = _Phase.CHUNK_LINE
            return position + len(LINE_END)
        if not LINE_END.startswith(found):
            raise MalformedBody
        return position

    def _read_trailer(self, data: bytes, position: int) -> int:
        """Skip one trailer field; an empty line ends the body."""
        end = data.find(LINE_END, position)
        unread = len(data) - position if end < 0 else end - position
        if self._trailer_bytes + unread > MAX_TRAILER_BYTES:
            raise TrailersTooLarge
        if end < 0:
            return position
        if end == position:
            self._phase = _Phase.HEAD
        self._trailer_bytes += unread + len(LINE_END)
        return end + len(LINE_END)


def _read_complete_chunks(data: bytes, position: int, payload: bytearray, *, max_pieces: int) -> tuple[int, int]:
    """Decode chunks that are there as a whole; return the position after them, and their number."""
    pieces = 0
    while pieces < max_pieces and (line := CHUNK_LINE.match(data, position)):
        begin = line.end()
        end = begin + int(line[1], 16)
        if begin == end or data[end : end + len(LINE_END)] != LINE_END:
            break
        payload += data[begin:end]
        position = end + len(LINE_END)
        pieces += 1
    return position, pieces
