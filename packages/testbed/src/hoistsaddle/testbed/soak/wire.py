"""HTTP/1.1 messages, read and written directly, so that a message can be cut at any point and a cut detected."""

import asyncio
from typing import NamedTuple

from multidict import CIMultiDict

HEAD_END = b"\r\n\r\n"
BUFFER_LIMIT = 2**20


class IncompleteMessage(Exception):
    """The connection ended before the message was complete."""

    def __init__(self, *, started: bool) -> None:
        """`started`: whether any byte of the message was received."""
        super().__init__("the message is not complete")
        self.started = started


class Message(NamedTuple):
    """A complete request or answer."""

    first_line: str
    headers: "CIMultiDict[str]"
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message; raises IncompleteMessage if the connection ends too early, ValueError if it isn't HTTP."""
    try:
        head = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as error:
        raise IncompleteMessage(started=bool(error.partial)) from error
    except OSError as reset:
        raise IncompleteMessage(started=False) from reset
    lines = head.decode("latin-1").split("\r\n")
    headers: CIMultiDict[str] = CIMultiDict()
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(": ")
            headers.add(name, value)
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise IncompleteMessage(started=True) from error
    return Message(lines[0], headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: "CIMultiDict[str]") -> bytes:
    if headers.get("Transfer-Encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("Content-Length", "0")))
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def write_head(first_line: str, headers: list[tuple[str, str]]) -> bytes:
    """Return a message's head."""
    return "\r\n".join([first_line, *(f"{name}: {value}" for name, value in headers), "", ""]).encode("latin-1")


def in_chunks(body: bytes, *, pieces: int) -> bytes:
    """Return a body in about this many chunks, with the final empty chunk."""
    chunk_size = max(1, len(body) // pieces)
    chunks = [body[begin : begin + chunk_size] for begin in range(0, len(body), chunk_size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
