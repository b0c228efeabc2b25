"""Reads the answer to one request from what a server sends, within limits on its bytes, pieces and responses.

A server may send without end at any place of an answer. Each limit is checked before the bytes that it is about are
kept, and an answer that can't be passed on is refused at its head.
"""

import io
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

from aiohttp.http import RawResponseMessage

from hoistsaddle.proxy.answer_framing import AnswerFraming, framing_of
from hoistsaddle.proxy.http_framing import (
    BodyReceived,
    HeadReceived,
    MalformedBody,
    MessageFraming,
    TrailersTooLarge,
)

# The limits on the bytes and lines of a response's head, and on the empty lines before it.
MAX_HEAD_BYTES = 262144
MAX_HEAD_LINES = 512
# The limit on the responses to one request: its answer, interim ones, and answers to other requests.
MAX_RESPONSES = 64
# The limit on the bytes of all bodies that a server sends for one request, if memory doesn't set a lower one: that on a
# request's body, which also fits into a frame of the mesh's own protocol.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# What a chunk counts as besides its bytes, against that limit.
CHUNK_COST_BYTES = 512
# The pieces that a head counts as besides its lines.
HEAD_PIECES = 8
STATUS_LINE_START = b"HTTP/"
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200


class AnswerFault(StrEnum):
    """Why an answer is refused."""

    HEAD_TOO_LARGE = "head_too_large"
    TOO_MANY_RESPONSES = "too_many_responses"
    TOO_LARGE = "too_large"
    # Its body ends with its connection, so that it may have been cut off anywhere.
    NO_LENGTH = "no_length"
    MALFORMED = "malformed"
    # The connection ended before it.
    CUT_SHORT = "cut_short"
    # The process has no room for it.
    OVER_BUDGET = "over_budget"


class AnswerRefused(Exception):
    """What a server sends is not a complete answer within the limits."""

    def __init__(self, fault: AnswerFault) -> None:
        super().__init__(fault)
        self.fault = fault


class Answer(NamedTuple):
    """A complete answer."""

    message: RawResponseMessage
    body: bytes
    framing: AnswerFraming


class HeadParser(Protocol):
    """Parses one response's head, which it is given in parts."""

    def feed_data(self, data: bytes) -> tuple:
        """Return the parsed messages, whether the connection was upgraded, and the rest; raises if it is no head."""
        ...


class AnswerReader:
    """Takes the bytes received for one request; `next_answer` decodes as many pieces of them as it may."""

    def __init__(
        self,
        *,
        make_parser: Callable[[], HeadParser],
        is_own: Callable[[RawResponseMessage], bool],
        with_body: bool,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Start with nothing received.

        Args:
            make_parser: returns a parser for a response's head.
            is_own: whether a response answers this request and not another one.
            with_body: False if the request allows no body in its answer.
            max_bytes: the limit on the bytes of all bodies received for this request.
        """
        self._make_parser = make_parser
        self._is_own = is_own
        self._with_body = with_body
        self._max_bytes = max_bytes
        self._framing = MessageFraming()
        # The parser of the incomplete head, and how many bytes and lines of that head it has received.
        self._parser: HeadParser | None = None
        self._parsed_bytes = self._parsed_lines = 0
        # The response whose body is being received; its body is dropped if it answers another request.
        self._message: RawResponseMessage | None = None
        self._body: io.BytesIO | None = None
        self._body_bytes = self._chunks = 0
        self.responses = 0
        # The number of complete answers to other requests.
        self.other_answers = 0
        self.complete = False

    @property
    def pending_bytes(self) -> int:
        """The number of bytes received and not decoded yet; after the answer these are surplus."""
        return self._framing.pending_bytes

    @property
    def held_bytes(self) -> int:
        """The number of bytes that are kept for the answer."""
        return self._framing.pending_bytes + (0 if self._body is None else self._body.tell())

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._framing.feed(data)

    def next_answer(self, *, max_pieces: int) -> tuple[Answer | None, int]:
        """Decode what was received until the answer is complete.

        Args:
            max_pieces: how many pieces, of heads and bodies, may be decoded.

        Returns:
            The answer, None if more bytes or pieces are needed; and the number of pieces decoded.

        Raises:
            AnswerRefused: the server sends no answer to this request within the limits.
        """
        pieces = 0
        while pieces < max_pieces:
            part, chunks = self._next_part(max_pieces - pieces)
            pieces += chunks
            match part:
                case HeadReceived(data):
                    pieces += HEAD_PIECES + data.count(b"\n")
                    answer = self._head_received(data)
                case BodyReceived():
                    answer = self._body_received(part)
                case None if chunks:
                    # Pieces without payload, as trailers are.
                    continue
                case None:
                    self._check_incomplete()
                    return None, pieces
            if answer is not None:
                self.complete = True
                return answer, pieces
        return None, pieces

    def _next_part(self, max_pieces: int) -> tuple[HeadReceived | BodyReceived | None, int]:
        try:
            part, chunks = self._framing.next_part(max_pieces=max_pieces)
        except (MalformedBody, TrailersTooLarge) as problem:
            raise AnswerRefused(AnswerFault.MALFORMED) from problem
        self._chunks += chunks
        return part, chunks

    # -- heads -------------------------------------------------------------------------------------------------------

    def _check_incomplete(self) -> None:
        """Check what was received of an incomplete head or body, and parse what is there of a head."""
        if not self._framing.in_head:
            self._check_body_size(self._framing.announced_bytes)
            return
        if self._framing.head_bytes > MAX_HEAD_BYTES:
            raise AnswerRefused(AnswerFault.HEAD_TOO_LARGE)
        if self._framing.pending_bytes and self._parse(self._framing.pending) is not None:
            raise AnswerRefused(AnswerFault.MALFORMED)

    def _parse(self, head: bytes) -> RawResponseMessage | None:
        """Give the parser what is new of a head, so that it refuses what is none at once."""
        begin = head[: len(STATUS_LINE_START)]
        if not STATUS_LINE_START.startswith(begin):
            raise AnswerRefused(AnswerFault.MALFORMED)
        part = head[self._parsed_bytes :]
        self._parsed_bytes = len(head)
        self._parsed_lines += part.count(b"\n")
        if self._parsed_lines > MAX_HEAD_LINES or self._parsed_bytes > MAX_HEAD_BYTES:
            raise AnswerRefused(AnswerFault.HEAD_TOO_LARGE)
        if self._parser is None:
            self._parser = self._make_parser()
        try:
            messages, _, _ = self._parser.feed_data(part)
        except Exception as problem:
            # The parser raises many exception types for data that is no response.
            raise AnswerRefused(AnswerFault.MALFORMED) from problem
        return messages[0][0] if messages else None

    def _head_received(self, data: bytes) -> Answer | None:
        message = self._parse(data)
        self._parser = None
        self._parsed_bytes = self._parsed_lines = 0
        self.responses += 1
        if message is None or message.code == SWITCHING_PROTOCOLS:
            # No request asks for another protocol.
            raise AnswerRefused(AnswerFault.MALFORMED)
        if self.responses > MAX_RESPONSES:
            raise AnswerRefused(AnswerFault.TOO_MANY_RESPONSES)
        if message.code < FIRST_FINAL_STATUS:
            return None
        self._message = message
        self._body = io.BytesIO() if self._is_own(message) else None
        framing = self._answer_framing(message)
        match framing:
            case AnswerFraming.CONNECTION_END:
                raise AnswerRefused(AnswerFault.NO_LENGTH)
            case AnswerFraming.CHUNKED:
                self._framing.begin_body(length=None)
                return None
            case AnswerFraming.LENGTH if length := int(message.headers["Content-Length"]):
                self._check_body_size(length)
                self._framing.begin_body(length=length)
                return None
        return self._ended()

    def _answer_framing(self, message: RawResponseMessage) -> AnswerFraming:
        return framing_of(
            status=message.code,
            chunked=message.chunked,
            length=message.headers.get("Content-Length"),
            with_body=self._with_body,
        )

    # -- bodies ------------------------------------------------------------------------------------------------------

    def _check_body_size(self, announced: int) -> None:
        """Refuse a body that is over the limit, or would be with the bytes that it is said to have."""
        if self._body_bytes + self._chunks * CHUNK_COST_BYTES + announced > self._max_bytes:
            raise AnswerRefused(AnswerFault.TOO_LARGE)

    def _body_received(self, part: BodyReceived) -> Answer | None:
        self._body_bytes += len(part.payload)
        self._check_body_size(self._framing.announced_bytes)
        if self._body is not None:
            self._body.write(part.payload)
        return self._ended() if part.last else None

    def _ended(self) -> Answer | None:
        """Return the answer that is complete now; None if it answers another request."""
        message, body = self._message, self._body
        self._message = self._body = None
        if message is None or body is None:
            self.other_answers += 1
            return None
        # The value shares its memory with the buffer, which is not used any more.
        return Answer(message, body.getvalue(), self._answer_framing(message))
