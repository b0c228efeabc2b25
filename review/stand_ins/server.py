"""A server of a service, as PROTOCOL.md describes it."""

import asyncio
import itertools
import json
import secrets
import time
from collections.abc import Awaitable, Callable

from review.stand_ins.deployment import BEAT_SECONDS, Machine
from review.stand_ins.http_messages import Message, call, encode, read_message
from review.stand_ins.record import Record

Answerer = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[bool]]
CAPACITY = 6
ACKNOWLEDGED_WITHIN = 1.0


class Server:
    """One life of a server on a sidecar machine: it answers requests, sends beats and keeps a list of what it ran."""

    def __init__(
        self, record: Record, machine: Machine, *, work: float = 0.1, answerer: Answerer | None = None
    ) -> None:
        """Describe a server; `start` opens it.

        Args:
            record: The record of the case.
            machine: The machine beside whose sidecar it runs.
            work: Seconds of work for each request.
            answerer: Answers a request in place of the ordinary way; returns whether the connection stays open.
        """
        self.record = record
        self.machine = machine
        self.work = work
        self.answerer = answerer
        self.instance = f"i-{secrets.token_hex(4)}"
        self.phase = "ready"
        self.sequence = itertools.count(1)
        # Attempt id, key, method, path and arrival of each run.
        self.runs: list[tuple[str, str, str, str, float]] = []
        self.bodies: dict[str, bytes] = {}
        self.ended = False
        self.control = machine.control
        self._slots = asyncio.Semaphore(CAPACITY)
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._beats: asyncio.Task | None = None

    async def start(self, *, beats: bool = True) -> None:
        """Listen at the machine's address and send beats."""
        host, _, port = self.machine.plant.rpartition(":")
        self._listener = await asyncio.start_server(self._serve, host, int(port), reuse_address=True)
        if beats:
            self._beats = asyncio.ensure_future(self._beat_regularly())

    async def _beat_regularly(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_SECONDS)

    def beat_body(self) -> bytes:
        """Return the next beat."""
        fields = {
            "service": self.machine.service,
            "address": self.machine.plant,
            "zone_id": self.machine.zone,
            "generation": "v1",
            "capacity": CAPACITY,
            "phase": self.phase,
            "cold_left_s": 0,
            "call_seq": next(self.sequence),
        }
        return json.dumps(fields).encode()

    async def beat(self, body: bytes | None = None) -> bool:
        """Send a beat; return whether it was acknowledged within a second."""
        answer = await call(
            self.control,
            "PUT",
            f"/-/instances/{self.instance}",
            headers={"Content-Type": "application/json"},
            body=self.beat_body() if body is None else body,
            within=ACKNOWLEDGED_WITHIN,
        )
        return answer is not None and 200 <= answer.status < 300

    async def sign_off(self) -> bool:
        """Send DELETE; return whether it was acknowledged within a second."""
        answer = await call(self.control, "DELETE", f"/-/instances/{self.instance}", within=ACKNOWLEDGED_WITHIN)
        return answer is not None and 200 <= answer.status < 300

    async def end(self) -> None:
        """End: all connections break."""
        self.ended = True
        if self._beats is not None:
            self._beats.cancel()
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        request = await read_message(reader)
        attempt = request.headers.get("attempt-id", "")
        if request.headers.get("target-instance", self.instance) != self.instance:
            writer.write(encode("HTTP/1.1 421 Misdirected", {"Attempt-Id": attempt, "Not-Run": "1"}))
            return True
        async with self._slots:
            method, path, _ = request.first.split()
            self.runs.append((attempt, request.headers.get("operation-key", ""), method, path, self.record.now()))
            self.bodies[attempt] = request.body
            self.record.add(f"server {self.machine.name}/{self.instance}: runs {attempt} {method} {path}")
            if self.answerer is not None:
                return await self.answerer(self, request, writer)
            await asyncio.sleep(self.work)
            writer.write(self.answer(request))
            await writer.drain()
        return True

    def answer(self, request: Message, body: bytes | None = None) -> bytes:
        """Return the ordinary answer to a request."""
        attempt = request.headers.get("attempt-id", "")
        text = f"{self.instance} answers {attempt} at {time.monotonic():.6f}\n".encode() if body is None else body
        return encode("HTTP/1.1 200 OK", {"Attempt-Id": attempt, "Server-Seal": secrets.token_hex(8)}, text)
