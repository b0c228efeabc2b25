"""Application servers of a soak: the emulator's servers behind real sockets, with many ways to break off answers."""

import asyncio
from datetime import timedelta
from typing import Any

from hoistsaddle.rpc.messages import ForwardCall
from hoistsaddle.sidecar.header_pairs import pack_pairs, unpack_pairs
from hoistsaddle.sidecar.messages import RunOnServer, ServerAnswered
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.servers import PORT, Server
from hoistsaddle.testbed.soak.wire import BUFFER_LIMIT, IncompleteMessage, Message, in_chunks, read_message, write_head

# The longest run, in seconds, for a request without a budget.
MAX_SECONDS = 30.0
# Shares of answers: chunked; ended by the connection alone; sent again later; with Connection: close.
CHUNKED, UNFRAMED, REPEATED, CLOSING = 0.3, 0.02, 0.05, 0.05
LATE_SECONDS = (0.0, 0.3)
# An idle connection is closed after a random time in this range.
IDLE_SECONDS = (1.0, 8.0)
# The share of long answers, and the largest number of repeats of the mark in one.
LONG_SHARE, MAX_REPEATS = 0.1, 1500
# Where an answer breaks off: before any byte, in its head, after its head, or in its body.
BREAK_POINTS = ("nothing", "in head", "after head", "in body")


class SoakServer(Server):
    """One instance of an application server on a socket of its own."""

    listener: asyncio.Server | None = None

    async def listen(self) -> None:
        """Open the listener; retry while the address is still in use by a former instance."""
        self.connections: set[asyncio.StreamWriter] = set()
        while not self.ended:
            try:
                self.listener = await asyncio.start_server(
                    self._serve_connection, self.machine.host, PORT, limit=BUFFER_LIMIT, reuse_address=True
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            if self.ended:
                self.listener.close()
            return

    def end(self) -> None:
        """End at once: close the listener and abort all connections."""
        super().end()
        if self.listener is not None:
            self.listener.close()
            for writer in self.connections:
                writer.transport.abort()

    def make_body(self, mark: bytes) -> bytes:
        """Return a short body in most cases, and sometimes one that takes many reads."""
        rng = self.environment.random
        return mark * (rng.randint(3, MAX_REPEATS) if rng.random() < LONG_SHARE else 3)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while not self.ended:
                async with asyncio.timeout(self.environment.random.uniform(*IDLE_SECONDS)):
                    request = await read_message(reader)
                if not await self._answer(request, writer):
                    break
        except (IncompleteMessage, TimeoutError, OSError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def _command(self, request: Message) -> RunOnServer:
        names = adapter("headers").HEADER_NAMES
        method, path, _ = request.first_line.split(" ")
        pairs = [(name.encode(), value.encode()) for name, value in request.headers.items()]
        budget = request.headers.get(names.budget)
        time_limit = timedelta(seconds=MAX_SECONDS if budget is None else int(budget) / 1000)
        call = ForwardCall(
            attempt_id="",
            service_name=self.service,
            target=self.machine.name,
            instance=request.headers.get(names.instance, ""),
            budget=time_limit,
            latency_target=time_limit,
            rank=0,
            route="",
            method=method,
            path=path.encode(),
            headers=pack_pairs(pairs),
            body=request.body,
            caller=request.headers.get(names.caller, ""),
            client_attempt_id=request.headers.get(names.client_attempt_id, ""),
        )
        return RunOnServer(0, self.address, call, time_limit)

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        result = await self.serve(self._command(request))
        if not isinstance(result, ServerAnswered):
            self._break_off(request, writer)
            return False
        return await self._send(result, writer)

    def _break_off(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Send part of an answer and end the connection, by a reset in half of the cases."""
        rng = self.environment.random
        names = adapter("headers").HEADER_NAMES
        framing = rng.choice([("Content-Length", "5000"), ("Transfer-Encoding", "chunked"), ("Connection", "close")])
        head = write_head(
            "HTTP/1.1 200 OK", [(names.client_attempt_id, request.headers.get(names.client_attempt_id, "")), framing]
        )
        parts = {
            "nothing": b"",
            "in head": head[: len(head) // 2],
            "after head": head,
            "in body": head + b"400\r\n" + b"x" * 700,
        }
        writer.write(parts[rng.choice(BREAK_POINTS)])
        if rng.random() < 0.5:
            writer.transport.abort()

    async def _send(self, result: ServerAnswered, writer: asyncio.StreamWriter) -> bool:
        rng = self.environment.random
        pairs = [(name.decode(), value.decode()) for name, value in unpack_pairs(result.headers)]
        framing, body, closes = self._frame(result.body)
        answer = write_head(f"HTTP/1.1 {result.status} Answer", [*pairs, *framing]) + body
        writer.write(answer)
        await writer.drain()
        if not closes and rng.random() < REPEATED:
            # The repeated answer arrives in place of the next one, or before any further request.
            await asyncio.sleep(rng.uniform(*LATE_SECONDS))
            writer.write(answer)
        return not closes

    def _frame(self, body: bytes) -> tuple[list[tuple[str, str]], bytes, bool]:
        """Return the framing headers, the encoded body, and whether the connection closes after the answer."""
        rng = self.environment.random
        drawn = rng.random()
        if drawn < UNFRAMED:
            return [("Connection", "close")], body, True
        closing = [("Connection", "close")] if rng.random() < CLOSING else []
        if drawn < UNFRAMED + CHUNKED:
            return [("Transfer-Encoding", "chunked"), *closing], in_chunks(body, pieces=3), bool(closing)
        return [("Content-Length", str(len(body))), *closing], body, bool(closing)


def as_server(server: Any) -> SoakServer:
    """Narrow the type: all servers of a soak are of this class."""
    assert isinstance(server, SoakServer)
    return server
