"""Crowds for every listener and every way out: pieces that cost more than their bytes, mesh frames, servers' answers.

Crowds and bounds were fixed before the product was changed (issue 51). Machine and limits are those of `crowds`.
"""

import asyncio
import struct
from collections.abc import Awaitable, Callable, Iterator
from itertools import chain, repeat
from pathlib import Path
from typing import NamedTuple

from crowds import (
    BODY_BYTES,
    CONTROLLER_HOST,
    HEAD,
    HOST,
    MB,
    NETWORK,
    OBSERVE_SECONDS,
    PIECE,
    SAMPLE_SECONDS,
    SERVER_PORT,
    Crowd,
    Deployment,
    Pieces,
    in_chunks,
    with_length,
)
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from observed_process import usage_of

# A second sidecar, whose clients call the server beside the first one.
CALLER_HOST = f"{NETWORK}.3"
MESH_PORT = adapter("samples").PORTS[0]


def tiny_fields(*, sent: int) -> Pieces:
    """A head without an end, in fields of 6 bytes."""
    return lambda: chain([HEAD], repeat(b"a: b\r\n" * 10922, sent // 65532))


def trailers(*, sent: int) -> Pieces:
    """A chunked body of one byte, and then trailer fields of 30 kB without an end."""
    begin = HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    return lambda: chain([begin], repeat(b"X-T: " + b"y" * 30000 + b"\r\n", sent // 30000))


def chunk_extension(*, sent: int) -> Pieces:
    """A chunked body whose first chunk has an extension without an end."""
    return lambda: chain([HEAD, b"Transfer-Encoding: chunked\r\n\r\n1;x="], repeat(PIECE, sent // len(PIECE)))


PIECE_BYTES = len(PIECE)


def complete_requests(*, body: int) -> Pieces:
    """One whole request; its answer is not read."""
    return with_length(body, sent=body)


def mesh_frame(*, announced: int, sent: int) -> Pieces:
    """A frame of the mesh's own protocol with this length, of which `sent` bytes are sent."""

    def pieces() -> Iterator[bytes]:
        yield struct.pack("!I", announced)
        yield from repeat(PIECE, sent // len(PIECE))

    return pieces


def requests_without_end(*, sent: int) -> Pieces:
    """Complete requests one behind the other; their answers are not read."""
    request = HEAD + b"Content-Length: 0\r\n\r\n"
    return lambda: repeat(request * (PIECE_BYTES // len(request)), sent // PIECE_BYTES)


CROWDS = {
    "requests without end": Crowd(24, requests_without_end(sent=24 * MB)),
    "many bodies short of their end": Crowd(200, with_length(15 * MB, sent=15 * MB - 65536)),
    "tiny fields": Crowd(100, tiny_fields(sent=6 * MB)),
    "trailers": Crowd(24, trailers(sent=12 * MB)),
    "chunk extensions": Crowd(24, chunk_extension(sent=12 * MB)),
    "many chunks of one byte": Crowd(100, in_chunks(1, sent=1_000_000)),
    "many chunks of 16 bytes": Crowd(60, in_chunks(16, sent=4 * MB)),
    "mesh frames short of their end": Crowd(24, mesh_frame(announced=15 * MB, sent=15 * MB - 65536)),
    "mesh connections": Crowd(900, mesh_frame(announced=15 * MB, sent=0)),
    "requests whose answers are not read": Crowd(60, complete_requests(body=0)),
    "whole bodies of 12 MB": Crowd(24, complete_requests(body=12 * MB)),
}


class Bound(NamedTuple):
    """What was observed of one process."""

    alive: bool
    # The peak of resident memory and unread bytes together, at one moment.
    peak_mb: float
    descriptors: int


class Outcome(NamedTuple):
    """What was observed of all processes, and whether an ordinary request was answered afterwards."""

    processes: dict[str, Bound]
    answered: bool


Answer = Callable[[asyncio.StreamWriter, str], Awaitable[None]]


async def short_answer(writer: asyncio.StreamWriter, attempt: str) -> None:
    """A complete answer of two bytes."""
    writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nContent-Length: 2\r\n\r\nok".encode())


def _head(attempt: str, fields: str) -> bytes:
    return f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n{fields}\r\n\r\n".encode()


async def _write_all(writer: asyncio.StreamWriter, pieces: Iterator[bytes]) -> None:
    for piece in pieces:
        writer.write(piece)
        await writer.drain()


async def large_answer(writer: asyncio.StreamWriter, attempt: str) -> None:
    """A complete answer of 12 MB."""
    await _write_all(
        writer, chain([_head(attempt, f"Content-Length: {12 * MB}")], repeat(PIECE, 12 * MB // len(PIECE)))
    )


async def answer_in_pieces(writer: asyncio.StreamWriter, attempt: str) -> None:
    """An answer in chunks of one byte, without an end."""
    chunks = repeat(b"1\r\nx\r\n" * 10922, 100)
    await _write_all(writer, chain([_head(attempt, "Transfer-Encoding: chunked")], chunks))
    await asyncio.sleep(OBSERVE_SECONDS * 2)


async def answer_head_without_end(writer: asyncio.StreamWriter, attempt: str) -> None:
    """An answer's head without an end, of 24 MB."""
    begin = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nX: ".encode()
    await _write_all(writer, chain([begin], repeat(PIECE, 24 * MB // len(PIECE))))
    await asyncio.sleep(OBSERVE_SECONDS * 2)


class HostileDeployment(Deployment):
    """A deployment whose server answers as a test wants, and which may have a second sidecar without a server."""

    def __init__(self, folder: Path, *, answer: Answer = short_answer, with_caller: bool = False) -> None:
        super().__init__(folder)
        self.answer = answer
        self.with_caller = with_caller
        # While the ordinary request is sent, the server answers it shortly.
        self.ordinary = True

    async def start(self) -> None:
        await super().start()
        if self.with_caller:
            await self._launch("sidecar", CALLER_HOST, name="caller")
            await self._until(self.caller_answers)
        self.ordinary = False

    async def caller_answers(self) -> bool:
        """Whether an ordinary request at the second sidecar is answered by the server beside the first one."""
        return await self._status(CALLER_HOST, adapter("samples").EGRESS, "POST", "/crowd/x", b"one") == 200

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                left = int(fields.get("content-length", "0"))
                while left and (octets := await reader.read(min(left, len(PIECE)))):
                    left -= len(octets)
                await (short_answer if self.ordinary else self.answer)(writer, fields.get("attempt-id", ""))
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def _hosts(self) -> dict[str, str]:
        hosts = {"controller": CONTROLLER_HOST, "sidecar": HOST}
        return {**hosts, "caller": CALLER_HOST} if self.with_caller else hosts

    async def observe(self, name: str, port: int, crowds: list[Crowd]) -> Outcome:
        """Run all crowds at the same time against a port of a process, and observe all processes."""
        hosts = self._hosts()
        clients = [
            asyncio.ensure_future(self._send(hosts[name], port, crowd.pieces))
            for crowd in crowds
            for _ in range(crowd.clients)
        ]
        peaks = dict.fromkeys(hosts, 0.0)
        descriptors = dict.fromkeys(hosts, 0)
        loop = asyncio.get_running_loop()
        end = loop.time() + OBSERVE_SECONDS
        while loop.time() < end:
            await asyncio.sleep(SAMPLE_SECONDS)
            for each, host in hosts.items():
                usage = usage_of(self.processes[each].pid, host)
                if usage is not None:
                    peaks[each] = max(peaks[each], usage.resident_mb + usage.unread_mb)
                    descriptors[each] = max(descriptors[each], usage.descriptors)
        self.ordinary = True
        answered = await self._ordinary_answered()
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        processes = {
            each: Bound(self.processes[each].returncode is None, peaks[each], descriptors[each]) for each in hosts
        }
        return Outcome(processes, answered)

    async def _ordinary_answered(self) -> bool:
        try:
            await self._until(self.caller_answers if self.with_caller else self.answers)
        except TimeoutError:
            return False
        return True


__all__ = [
    "BODY_BYTES",
    "CALLER_HOST",
    "CROWDS",
    "MESH_PORT",
    "SERVER_PORT",
    "HostileDeployment",
    "Outcome",
    "answer_head_without_end",
    "answer_in_pieces",
    "large_answer",
]
