"""Clients of a soak: real connections that are reused until the sidecar closes them or its process ends."""

import asyncio
from typing import Any, NamedTuple

from multidict import CIMultiDict

from hoistsaddle.testbed.emulator.clients import Call, ClientRequest, Clients
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.soak.wire import BUFFER_LIMIT, IncompleteMessage, Message, in_chunks, read_message, write_head

CONNECT_TIMEOUT_SECONDS = 1.0
# Shares of the requests that reuse a kept connection, send a chunked body, and are abandoned by the client.
KEPT, CHUNKED, ABANDONED = 0.8, 0.3, 0.02
# The share of long bodies, and the largest number of repeats of the mark in one.
LONG_SHARE, MAX_REPEATS = 0.15, 4000
# Kept connections are reused up to this share of the idle time that the platform's limits allow.
IDLE_SHARE = 0.8
# The outcome of a request whose kept connection closed without any byte: it may not have been read.
CROSSED = "crossed"


class Connection(NamedTuple):
    """A client's connection to a sidecar."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    idle_since: float


class Answer(NamedTuple):
    """An answer in the form that the emulator's clients read."""

    status: int
    headers: "CIMultiDict[str]"
    body: bytes


class SoakClients(Clients):
    """Sends the emulator's load over real connections."""

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        # Idle connections by machine; one that closed or was idle for too long is removed when it is taken.
        self._kept: dict[str, list[Connection]] = {}

    def close(self) -> None:
        """Close all kept connections."""
        for connections in self._kept.values():
            for connection in connections:
                connection.writer.close()

    def make_body(self, mark: bytes) -> bytes:
        """Return a short body in most cases, and sometimes one that takes many reads."""
        return mark * (self.random.randint(4, MAX_REPEATS) if self.random.random() < LONG_SHARE else 4)

    async def _deliver(self, request: ClientRequest, call: Call) -> Any:
        connection = self._take(request.machine) if self.random.random() < KEPT else None
        reused = connection is not None
        if connection is None:
            connection = await self._open(request.machine)
        if connection is None:
            return "unreached"
        seconds_left = request.until - self.environment.now()
        abandons = self.random.random() < ABANDONED
        try:
            async with asyncio.timeout(max(0.0, seconds_left * self.random.random() if abandons else seconds_left)):
                connection.writer.write(self._encode(request, call))
                message = await read_message(connection.reader)
        except TimeoutError:
            connection.writer.transport.abort()
            return "given up"
        except (IncompleteMessage, OSError) as error:
            connection.writer.transport.abort()
            started = isinstance(error, IncompleteMessage) and error.started
            return "broken" if started or not reused else CROSSED
        self._keep(request.machine, connection, message)
        return Answer(message.status, message.headers, message.body)

    def _encode(self, request: ClientRequest, call: Call) -> bytes:
        headers = list(call.headers.items())
        body = call.body
        if body and self.random.random() < CHUNKED:
            headers.append(("Transfer-Encoding", "chunked"))
            body = in_chunks(body, pieces=4)
        elif body:
            headers.append(("Content-Length", str(len(body))))
        return write_head(f"{call.method} {request.path} HTTP/1.1", headers) + body

    async def _open(self, machine: str) -> Connection | None:
        host = self.environment.machines[machine].host if machine in self.environment.machines else ""
        if not host:
            return None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(host, adapter("samples").EGRESS, limit=BUFFER_LIMIT)
        except (OSError, TimeoutError):
            return None
        return Connection(reader, writer, self.environment.now())

    def _take(self, machine: str) -> Connection | None:
        """Return a random kept connection, possibly one to a process that is stopping; None if there is none."""
        kept = self._kept.get(machine, [])
        while kept:
            connection = kept.pop(self.random.randrange(len(kept)))
            max_idle = adapter("samples").limits(revision=0)["idle_s"] * IDLE_SHARE
            if not connection.reader.at_eof() and self.environment.now() - connection.idle_since < max_idle:
                return connection
            connection.writer.close()
        return None

    def _keep(self, machine: str, connection: Connection, message: Message) -> None:
        if message.headers.get("Connection", "").lower() == "close":
            connection.writer.close()
            return
        self._kept.setdefault(machine, []).append(connection._replace(idle_since=self.environment.now()))
