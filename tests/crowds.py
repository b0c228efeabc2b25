"""Crowds of misbehaving clients against real processes on loopback: a controller, a sidecar and its server."""

import asyncio
import json
import os
import sys
from collections.abc import Callable, Iterator
from itertools import chain, repeat
from pathlib import Path
from typing import NamedTuple

from hoistsaddle.testbed.emulator.platform_adapter import adapter

LAUNCHER = Path(__file__).parent.parent / "platform" / "run.py"
# Each test process has its own loopback network, so that several can run at the same time.
NETWORK = f"127.{20 + os.getpid() % 200}.83"
HOST, CONTROLLER_HOST = f"{NETWORK}.1", f"{NETWORK}.2"
SERVER_PORT = 8301
ROUTE_HOST = "crowd.example"
# The limits of the tested machine, smaller than any real one: MB of memory, and descriptors.
MEMORY_MB = 160
FD_LIMIT = 600
BODY_BYTES = 16 * 1024 * 1024
# Ends a hanging test; not a bound that is checked.
TIMEOUT_SECONDS = 60.0
# How long the process is observed while the crowd sends and holds its connections open.
OBSERVE_SECONDS = 8.0
SAMPLE_SECONDS = 0.05
BYTES_PER_MB = 1024 * 1024

Pieces = Callable[[], Iterator[bytes]]
HEAD = f"POST /crowd/x HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nAttempt-Id: a\r\nDeadline-Ms: 60000\r\n".encode()
PIECE = b"x" * 65536


class Crowd(NamedTuple):
    """A number of clients, each of which sends these pieces and then keeps its connection open."""

    clients: int
    pieces: Pieces


def with_length(length: int, *, sent: int) -> Pieces:
    """A body with a Content-Length, of which `sent` bytes are sent."""

    def pieces() -> Iterator[bytes]:
        yield HEAD + f"Content-Length: {length}\r\n\r\n".encode()
        yield from repeat(PIECE, sent // len(PIECE))
        if sent == length and sent % len(PIECE):
            yield PIECE[: sent % len(PIECE)]

    return pieces


def in_chunks(size: int, *, sent: int) -> Pieces:
    """A chunked body, of which about `sent` bytes are sent and the last chunk never."""

    def pieces() -> Iterator[bytes]:
        yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
        chunks_per_piece = max(1, len(PIECE) // len(chunk))
        yield from repeat(chunk * chunks_per_piece, sent // (size * chunks_per_piece))

    return pieces


def head_in_fields(*, sent: int) -> Pieces:
    """A head without an end, in fields of 30 kB."""
    return lambda: chain([HEAD], (f"X-{index}: ".encode() + b"y" * 30000 + b"\r\n" for index in range(sent // 30000)))


def head_in_a_line(*, sent: int) -> Pieces:
    """A head with a single field without an end."""
    return lambda: chain([HEAD, b"X: "], repeat(PIECE, sent // len(PIECE)))


def empty_lines(*, sent: int) -> Pieces:
    """Empty lines before a request that never comes."""
    return lambda: repeat(b"\r\n" * 32768, sent // 65536)


MB = 1024 * 1024
# Fixed before the product was changed (issue 44): if held in memory, at least about twice the machine's memory.
CROWDS = {
    "bodies short of their end": Crowd(24, with_length(15 * MB, sent=15 * MB - 65536)),
    "complete bodies": Crowd(24, with_length(12 * MB, sent=12 * MB)),
    "large chunks": Crowd(24, in_chunks(262144, sent=12 * MB)),
    "chunks of one byte": Crowd(16, in_chunks(1, sent=200_000)),
    "heads in fields": Crowd(24, head_in_fields(sent=12 * MB)),
    "heads in a line": Crowd(24, head_in_a_line(sent=12 * MB)),
    "empty lines": Crowd(24, empty_lines(sent=24 * MB)),
    "connections": Crowd(900, lambda: iter([HEAD])),
}


class ProcessState(NamedTuple):
    """The state of a process under a crowd."""

    alive: bool
    peak_mb: float
    descriptors: int
    answered: bool


class Deployment:
    """A controller, a sidecar and its server."""

    # The limits of its machines, and of a request's body.
    memory_mb: float = MEMORY_MB
    descriptors: int = FD_LIMIT
    body_bytes: int = BODY_BYTES

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self) -> None:
        """Start all processes, and configure one route."""
        self.server = await asyncio.start_server(self._serve, HOST, SERVER_PORT)
        await self._launch("controller", CONTROLLER_HOST)
        await self._launch("sidecar", HOST)
        self.heartbeats = asyncio.ensure_future(self._send_heartbeats())
        await self._until(self._configure)
        await self._until(self.answers)

    async def _launch(self, role: str, host: str, *, name: str = "") -> None:
        """Start a process; a process with a name of its own is not beside the server."""
        samples, headers = adapter("samples"), adapter("headers")
        own_name = name or role
        path = self.folder / f"{own_name}.json"
        path.write_bytes(
            samples.settings(
                node=own_name,
                host=host,
                zone="a",
                seeds=[CONTROLLER_HOST],
                cold_start=True,
                losses=0,
                bounds={"grace_s": 6},
                folder=str(self.folder / "data") if role == "controller" else None,
                service=name or ("crowd" if role == "sidecar" else ""),
                server=f"{host if name else HOST}:{SERVER_PORT}",
                constraints={"memory_mb": self.memory_mb, "fd_limit": self.descriptors},
            )
        )
        with (self.folder / f"{own_name}.log").open("wb") as log:
            self.processes[own_name] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(LAUNCHER),
                role,
                env={**os.environ, headers.SETTINGS_VARIABLE: str(path)},
                cwd=self.folder,
                stdout=log,
                stderr=log,
            )

    async def _until(self, condition: Callable) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not await condition():
                await asyncio.sleep(0.1)

    async def _configure(self) -> bool:
        samples = adapter("samples")
        route = samples.route(
            name="crowd", host=ROUTE_HOST, prefix="/crowd/", kind="upload", parts=[("crowd", 1.0)],
            hold=30.0, aim=1.0, rank=1, sends=1, revision=1,
        )  # fmt: skip
        service = {
            "name": "crowd", "probe_path": "/health", "conn_limit": 110, "protocol": "h1", "tls": False,
            "self_dedupes": False, "generation": "r1",
        }  # fmt: skip
        limits = {"header_bytes": 16384, "body_bytes": self.body_bytes, "header_s": 3, "idle_s": 15, "generation": "r1"}
        order = {"apply": {"route_table": [route], "services": [service], "constraints": limits}, "remove": {}}
        body = json.dumps(order).encode()
        return await self._status(CONTROLLER_HOST, samples.CONTROL, "PATCH", samples.CONFIG_PATH, body) == 200

    async def _send_heartbeats(self) -> None:
        samples = adapter("samples")
        sequence = 0
        while True:
            sequence += 1
            heartbeat = {
                "service": "crowd", "address": f"{HOST}:{SERVER_PORT}", "zone_id": "a", "generation": "v1",
                "capacity": 6, "phase": "ready", "cold_left_s": 0, "call_seq": sequence,
            }  # fmt: skip
            await self._status(HOST, samples.CONTROL, "PUT", "/-/instances/i-1", json.dumps(heartbeat).encode())
            await asyncio.sleep(0.5)

    async def answers(self) -> bool:
        """Whether an ordinary request is answered by the server."""
        return await self._status(HOST, adapter("samples").EGRESS, "POST", "/crowd/x", b"one") == 200

    async def _status(self, host: str, port: int, method: str, path: str, body: bytes) -> int:
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(host, port)
                head = f"{method} {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nAttempt-Id: o\r\nDeadline-Ms: 4000\r\n"
                writer.write(f"{head}Connection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read requests and answer each with its attempt id."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", "0")))
                attempt = fields.get("attempt-id", "")
                writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nContent-Length: 2\r\n\r\nok".encode())
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    # -- crowds ------------------------------------------------------------------------------------------------------

    async def run_crowds(self, role: str, port: int, crowds: list[Crowd]) -> ProcessState:
        """Run all crowds at the same time against a port of a process, and observe the process."""
        process = self.processes[role]
        host = HOST if role == "sidecar" else CONTROLLER_HOST
        clients = [
            asyncio.ensure_future(self._send(host, port, crowd.pieces))
            for crowd in crowds
            for _ in range(crowd.clients)
        ]
        peak_mb, descriptors = 0.0, 0
        loop = asyncio.get_running_loop()
        end = loop.time() + OBSERVE_SECONDS
        while loop.time() < end and process.returncode is None:
            await asyncio.sleep(SAMPLE_SECONDS)
            proc = Path("/proc") / str(process.pid)
            try:
                status = (proc / "status").read_text()
                descriptors = max(descriptors, len(os.listdir(proc / "fd")))
            except OSError:
                break
            resident = next(line for line in status.splitlines() if line.startswith("VmHWM"))
            peak_mb = max(peak_mb, int(resident.split()[1]) / 1024)
        try:
            await self._until(self.answers)
            answered = True
        except TimeoutError:
            answered = False
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        return ProcessState(process.returncode is None, peak_mb, descriptors, answered)

    async def _send(self, host: str, port: int, pieces: Pieces) -> None:
        """Send all pieces as fast as they are read, and keep the connection open until the test ends."""
        try:
            _, writer = await asyncio.open_connection(host, port)
        except OSError:
            return
        try:
            for piece in pieces():
                writer.write(piece)
                await writer.drain()
            await asyncio.sleep(TIMEOUT_SECONDS * 2)
        except OSError:
            pass
        finally:
            writer.transport.abort()

    async def end(self) -> None:
        """End all processes."""
        self.heartbeats.cancel()
        self.server.close()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
