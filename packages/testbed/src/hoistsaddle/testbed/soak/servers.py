"""Application servers of a soak: the emulator's, behind a real socket, with every way to break an answer off."""

import asyncio
from datetime import timedelta
from typing import Any

from hoistsaddle.rpc.messages import ForwardCall
from hoistsaddle.sidecar.header_pairs import pack_pairs, unpack_pairs
from hoistsaddle.sidecar.messages import RunOnServer, ServerAnswered
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.servers import PORT, Server
from hoistsaddle.testbed.soak.wire import LIMIT, Broken, Message, in_chunks, read_message, write_head

# Without a time in its request a server works so long at the most, in seconds.
MAX_SECONDS = 30.0
# Shares of the answers: sent in chunks; ended by the connection alone; sent once more, late; with Connection: close.
CHUNKED, UNFRAMED, TWICE, CLOSING = 0.3, 0.02, 0.05, 0.05
LATE_SECONDS = (0.0, 0.3)
# An idle connection is closed after so long.
IDLE_SECONDS = (1.0, 8.0)
# A share of the answers is long.
LONG_SHARE, MAX_REPEATS = 0.1, 1500
# Where an answer that breaks off ends: before any byte, in or right after its head, or in its body; by a reset or not.
CUTS = ("nothing", "in head", "after head", "in body")


class SoakServer(Server):
    """One instance of an application server on a socket of its own."""

    listener: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen beside the sidecar until the server ends; a former instance may still be closing."""
        self.connections: set[asyncio.StreamWriter] = set()
        while not self.ended:
            try:
                self.listener = await asyncio.start_server(
                    self._serve_connection, self.machine.host, PORT, limit=LIMIT, reuse_address=True
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            if self.ended:
                self.listener.close()
            return

    def end(self) -> None:
        """End at once: the listener closes, and all connections break off."""
        super().end()
        if self.listener is not None:
            self.listener.close()
            for writer in self.connections:
                writer.transport.abort()

    def make_body(self, mark: bytes) -> bytes:
        """Most answers are short, and some take many reads."""
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
        except (Broken, TimeoutError, OSError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def _command(self, request: Message) -> RunOnServer:
        names = adapter("headers").HEADER_NAMES
        method, path, _ = request.first_line.split(" ")
        pairs = [(name.encode(), value.encode()) for name, value in request.headers.items()]
        budget = request.headers.get(names.budget)
        within = timedelta(seconds=MAX_SECONDS if budget is None else int(budget) / 1000)
        call = ForwardCall(
            attempt_id="",
            service_name=self.service,
            target=self.machine.name,
            instance=request.headers.get(names.instance, ""),
            budget=within,
            latency_target=within,
            rank=0,
            route="",
            method=method,
            path=path.encode(),
            headers=pack_pairs(pairs),
            body=request.body,
            caller=request.headers.get(names.caller, ""),
            client_attempt_id=request.headers.get(names.client_attempt_id, ""),
        )
        return RunOnServer(0, self.address, call, within)

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection goes on."""
        result = await self.serve(self._command(request))
        if not isinstance(result, ServerAnswered):
            self._break_off(request, writer)
            return False
        return await self._send(result, writer)

    def _break_off(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Send a part of an answer, and end the connection in one way or the other."""
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
        writer.write(parts[rng.choice(CUTS)])
        if rng.random() < 0.5:
            writer.transport.abort()

    async def _send(self, result: ServerAnswered, writer: asyncio.StreamWriter) -> bool:
        rng = self.environment.random
        pairs = [(name.decode(), value.decode()) for name, value in unpack_pairs(result.headers)]
        framing, body, closes = self._frame(result.body)
        answer = write_head(f"HTTP/1.1 {result.status} Answer", [*pairs, *framing]) + body
        writer.write(answer)
        await writer.drain()
        if not closes and rng.random() < TWICE:
            # In the place of the next answer, or before anybody asks.
            await asyncio.sleep(rng.uniform(*LATE_SECONDS))
            writer.write(answer)
        return not closes

    def _frame(self, body: bytes) -> tuple[list[tuple[str, str]], bytes, bool]:
        """Return headers, the body as it is sent, and whether the connection ends with it."""
        rng = self.environment.random
        drawn = rng.random()
        if drawn < UNFRAMED:
            return [("Connection", "close")], body, True
        closing = [("Connection", "close")] if rng.random() < CLOSING else []
        if drawn < UNFRAMED + CHUNKED:
            return [("Transfer-Encoding", "chunked"), *closing], in_chunks(body, pieces=3), bool(closing)
        return [("Content-Length", str(len(body))), *closing], body, bool(closing)


def as_server(server: Any) -> SoakServer:
    """The soak's servers are all of this kind."""
    assert isinstance(server, SoakServer)
    return server
