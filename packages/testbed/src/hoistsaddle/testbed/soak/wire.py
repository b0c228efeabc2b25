"""HTTP/1.1 as soaks speak it: read and written by hand, so that every way to cut a message can be played and seen."""

import asyncio
from typing import NamedTuple

from multidict import CIMultiDict

HEAD_END = b"\r\n\r\n"
LIMIT = 2**20


class Broken(Exception):
    """The connection ended before the message was complete."""

    def __init__(self, *, began: bool) -> None:
        """`began`: whether any byte of the message had come."""
        super().__init__("the message is not complete")
        self.began = began


class Message(NamedTuple):
    """A complete request or answer."""

    first_line: str
    headers: "CIMultiDict[str]"
    body: bytes

    @property
    def status(self) -> int:
        """Return an answer's status."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one complete message; raises Broken where the connection ends before, ValueError for no HTTP."""
    try:
        head = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as cut:
        raise Broken(began=bool(cut.partial)) from cut
    except OSError as reset:
        raise Broken(began=False) from reset
    lines = head.decode("latin-1").split("\r\n")
    headers: CIMultiDict[str] = CIMultiDict()
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(": ")
            headers.add(name, value)
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, OSError) as cut:
        raise Broken(began=True) from cut
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
    """Return a body in so many chunks, with the last one."""
    step = max(1, len(body) // pieces)
    chunks = [body[begin : begin + step] for begin in range(0, len(body), step)]
    return b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
