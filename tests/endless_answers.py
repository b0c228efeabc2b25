"""Answers of a faulty server that go on until their caller closes, at every place of an answer.

The forms were fixed before the product was changed (issue 64). Each is a beginning, and then a piece that is repeated
without end.
"""

from collections.abc import Iterator
from itertools import chain, repeat
from typing import NamedTuple

PIECE_BYTES = 65536
STATUSES = ("200 OK", "500 Internal Server Error")
# The length that the server announces and never reaches, in bytes.
ANNOUNCED_BYTES = 999_999_999_999


class EndlessAnswer(NamedTuple):
    """What a faulty server sends: a beginning once, and then a piece again and again."""

    beginning: bytes
    repeated: bytes

    def pieces(self) -> Iterator[bytes]:
        """All that it sends, without end."""
        return chain([self.beginning], repeat(self.repeated))


def _filled(pattern: bytes) -> bytes:
    """Return the pattern repeated to about the size of one piece."""
    return pattern * max(1, PIECE_BYTES // len(pattern))


def endless_answers(*, status: str, id_line: str) -> dict[str, EndlessAnswer]:
    """Return every form by its name.

    Args:
        status: the status code and reason of the answers.
        id_line: the header line with the id of the request.
    """
    status_line = f"HTTP/1.1 {status}\r\n"
    head = f"{status_line}{id_line}\r\n".encode()
    chunked = head + b"Transfer-Encoding: chunked\r\n"
    stream = chunked + b"Content-Type: text/event-stream\r\n\r\n"
    chunks = chunked + b"\r\n"
    other = f"{status_line}{id_line}-of-another\r\n".encode()
    complete = head + b"Content-Length: 2\r\n\r\nok"
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    x = b"x" * PIECE_BYTES
    return {
        "header line": EndlessAnswer(head + b"X-Line: ", x),
        "junk for a chunk's size": EndlessAnswer(chunks, b"z" * PIECE_BYTES),
        "one chunk": EndlessAnswer(chunks + b"ffffffffffff\r\n", x),
        "chunks of one byte": EndlessAnswer(chunks, _filled(b"1\r\nx\r\n")),
        "announced length": EndlessAnswer(head + b"Content-Length: %d\r\n\r\n" % ANNOUNCED_BYTES, x),
        "no length": EndlessAnswer(head + b"\r\n", x),
        "pieces of one event": EndlessAnswer(stream, _filled(b"8\r\ndata: x\n\r\n")),
        "complete events": EndlessAnswer(stream, _filled(b"9\r\ndata: x\n\n\r\n")),
        "chunks of 64 KiB": EndlessAnswer(chunks, b"10000\r\n" + x + b"\r\n"),
        "status line": EndlessAnswer(b"HTTP/1.1 200 ", x),
        "empty lines before the status line": EndlessAnswer(b"", _filled(b"\r\n")),
        "junk before the status line": EndlessAnswer(b"", b"z" * PIECE_BYTES),
        "small header lines": EndlessAnswer(head, _filled(b"a: b\r\n")),
        "interim responses": EndlessAnswer(b"", _filled(interim)),
        "interim response's head": EndlessAnswer(b"HTTP/1.1 103 Early Hints\r\n", _filled(b"a: b\r\n")),
        "complete answers to another request": EndlessAnswer(b"", _filled(other + b"Content-Length: 2\r\n\r\nno")),
        "one answer to another request": EndlessAnswer(other + b"Content-Length: %d\r\n\r\n" % ANNOUNCED_BYTES, x),
        "chunk extension": EndlessAnswer(chunks + b"1;a=", x),
        "zeros before a chunk's size": EndlessAnswer(chunks, b"0" * PIECE_BYTES),
        "trailer line": EndlessAnswer(chunks + b"1\r\nx\r\n0\r\nX-Line: ", x),
        "small trailer lines": EndlessAnswer(chunks + b"1\r\nx\r\n0\r\n", _filled(b"a: b\r\n")),
        "bytes after the complete answer": EndlessAnswer(complete, x),
        "the complete answer again": EndlessAnswer(complete, _filled(complete)),
    }
