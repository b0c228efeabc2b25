"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or an answer: its first line, its headers with names in lower case, and its whole body."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a head; raises asyncio.IncompleteReadError if the connection ends before it is complete."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks; raises asyncio.IncompleteReadError if it is cut short."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readuntil(b"\r\n")) != b"\r\n":
        pass
    return body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message."""
    first, headers = await read_head(reader)
    return Message(first, headers, await read_body(reader, headers))


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with its length."""
    fields = {**headers, "Content-Length": str(len(body))}
    return (first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode() + body


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    within: float = 1.0,
) -> Message | None:
    """Send one request on a connection of its own; return the whole answer, or None if there is none in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address, "Connection": "close", **(headers or {})}
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            return await read_message(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
