"""Complete sidecars on real sockets and a stepped clock: clients, listeners, RPC and server connections, and the links.

Every hop goes through a link that can hold bytes back, reset, close, or repeat an answer. Requests, runs and answers
are recorded for `judge`.
"""

import asyncio
import random
from datetime import timedelta
from typing import Any, NamedTuple

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.settings import SidecarSettings
from hoistsaddle.config.items import ItemConfiguration, ServiceItem
from hoistsaddle.proxy.messages import ConfigurationChanged, LeaseRenewed
from hoistsaddle.rpc.client import RpcClient
from hoistsaddle.rpc.connection import KeepAlive
from hoistsaddle.rpc.messages import WriteAnswer, WriteCall
from hoistsaddle.rpc.server import RpcServer
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.listener import IngressHandler, open_listener
from hoistsaddle.sidecar.messages import HealthReported
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.sidecar.server_connections import ServerConnectionPool
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.encoding import pack_outcome
from hoistsaddle.statemachine.state import READY, NodeRecord, ServerRecord, State, initial_state
from hoistsaddle.statemachine.view import View
from sidecar_bench import HOST, KINDS, entry
from stepped_clock import EventCounter, step

HEADER_NAMES = HeaderNames()
KEEP_ALIVE = KeepAlive(interval=milliseconds(250), timeout=milliseconds(900))
CORE = "127.0.0.1:9"
BUDGET = 3.0
REPEATABLE = ("read",)


class ControlledLink:
    """A TCP relay on one hop, controlled by the test; the direction "up" is towards the callee."""

    def __init__(self, port: int) -> None:
        self.target = port
        self.port = 0
        self.open_directions = {"up": asyncio.Event(), "down": asyncio.Event()}
        self.held = {"up": EventCounter(), "down": EventCounter()}
        self.doubled = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.release()

    async def start(self) -> "ControlledLink":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            callee_reader, callee_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, callee_writer}
        for direction, source, sink in (("up", reader, callee_writer), ("down", callee_reader, writer)):
            task = asyncio.ensure_future(self._pump(direction, source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pump(self, direction: str, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        try:
            while data := await source.read(65536):
                if not self.open_directions[direction].is_set():
                    self.held[direction].count_event()
                await self.open_directions[direction].wait()
                sink.write(data * 2 if self.doubled and direction == "down" else data)
            await self.open_directions[direction].wait()
            sink.close()
        except (OSError, asyncio.CancelledError):
            sink.transport.abort()

    def hold(self, *directions: str) -> None:
        """Holds back the bytes of these directions, of both by default."""
        for direction in directions or ("up", "down"):
            self.open_directions[direction].clear()

    def release(self, *directions: str) -> None:
        """Lets the bytes of these directions pass, of both by default, starting with those held back."""
        for direction in directions or ("up", "down"):
            self.open_directions[direction].set()

    def reset(self) -> None:
        """Aborts every connection; the bytes held back are lost."""
        for task in list(self.tasks):
            task.cancel()
        self._end(lambda writer: writer.transport.abort())

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        self._end(lambda writer: writer.close())

    def _end(self, end: Any) -> None:
        writers, self.writers = self.writers, set()
        for writer in writers:
            end(writer)
        self.release()

    def stop(self) -> None:
        self.server.close()
        self.reset()


class LocalServer:
    """A server that runs the requests for its instance, and answers them once the test allows it."""

    def __init__(self, *, service: str, instance: str, history: "History") -> None:
        self.service, self.instance, self.history = service, instance, history
        self.may_answer = asyncio.Event()
        self.runs_started = EventCounter()
        self.surplus = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> "LocalServer":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        last = "nobody"
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:] if line)
                await reader.readexactly(int(headers.get("Content-Length", 0)))
                attempt = headers.get(HEADER_NAMES.client_attempt_id, "")
                if headers.get(HEADER_NAMES.instance) != self.instance:
                    writer.write(self.answer(attempt, "421 Other", b"another"))
                    continue
                self.history.runs.append((attempt, self.instance))
                self.runs_started.count_event()
                await self.may_answer.wait()
                response = self.answer(attempt, "200 OK", f"run of {attempt}".encode())
                if self.surplus:
                    response = self.answer(last, "200 OK", b"late") + response + self.answer("next", "200 OK", b"early")
                writer.write(response)
                last = attempt
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def answer(attempt: str, status: str, body: bytes) -> bytes:
        head = (
            f"HTTP/1.1 {status}\r\n{HEADER_NAMES.client_attempt_id}: {attempt}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class ClientRequest(NamedTuple):
    """The request that one attempt sends: its kind of route and its idempotency key."""

    kind: str
    key: str


class History:
    """The clients' requests by attempt, the runs with the instance of each, and the answers by attempt."""

    def __init__(self) -> None:
        self.asked: dict[str, ClientRequest] = {}
        self.runs: list[tuple[str, str]] = []
        self.answers: dict[str, tuple[int, bytes]] = {}


def judge(history: History) -> list[str]:
    """Every violation in a history: an answer to the wrong caller, a second run, a 503 to a request that ran.

    A run that no client requested is a violation, too.
    """
    violations = []
    ran = [attempt for attempt, _ in history.runs]
    for attempt in set(ran) - set(history.asked):
        violations.append(f"UNASKED {attempt}")
    for attempt, request in history.asked.items():
        if request.kind not in REPEATABLE and ran.count(attempt) > 1:
            violations.append(f"TWICE {attempt}")
        status, body = history.answers.get(attempt, (0, b""))
        same = {attempt} | {other for other, each in history.asked.items() if request.key and each.key == request.key}
        if status == 200 and body not in {f"run of {each}".encode() for each in same & set(ran)}:
            violations.append(f"WRONG {attempt} received {body!r}")
        if status == 503 and request.kind not in REPEATABLE and attempt in ran:
            violations.append(f"REFUSED {attempt}")
    for key in {request.key for request in history.asked.values() if request.key}:
        if sum(history.asked[attempt].key == key for attempt in ran if attempt in history.asked) > 1:
            violations.append(f"TWICE key {key}")
    return violations


class SteppedRuntime:
    """A sidecar's runtime on the stepped clock; calls to the core stay in this process."""

    def __init__(self, *, seed: int, start_number: int, core: Any) -> None:
        self.random = random.Random(seed)
        self.start_number = start_number
        self.rpc_client = RpcClient(keep_alive=KEEP_ALIVE, connect_timeout=milliseconds(350))
        self.rpc_client.local_handlers[CORE] = core

    def now(self) -> timedelta:
        return timedelta(seconds=asyncio.get_running_loop().time())

    def token(self, size: int) -> str:
        return f"life{self.start_number}"

    async def serve(self, address: str, handler: Any) -> RpcServer:
        server = RpcServer(address=address, handler=handler)
        await server.start()
        return server


class Machine:
    """One sidecar with its server, and the links to its listener, its RPC address and its server."""

    def __init__(self, *, name: str, stack: "SidecarStack") -> None:
        self.name, self.stack = name, stack
        self.ports = {"handler": 0, "line": 0}

    async def start(self, *, service: str = "ledger") -> "Machine":
        self.service = service
        self.local_server = await LocalServer(
            service=service, instance=f"i-{self.name}", history=self.stack.history
        ).start()
        self.to_server = await ControlledLink(self.local_server.port).start()
        await self.boot(name=self.name)
        self.to_rpc_server = await ControlledLink(self.ports["line"]).start()
        self.to_handler = await ControlledLink(self.ports["handler"]).start()
        return self

    async def boot(self, *, name: str) -> None:
        """Starts an incarnation of the sidecar on the ports of the previous one."""
        self.stack.starts += 1
        address = f"127.0.0.1:{self.ports['line']}"
        settings = SidecarSettings(
            name=name,
            zone="a",
            listen=address,
            door="127.0.0.1:1",
            health_door="127.0.0.1:1",
            ready_door="127.0.0.1:1",
            seeds=[CORE],
            service=self.service,
            server="127.0.0.1:1",
            health_seconds=60,
            # No core runs here that would confirm the configuration repeatedly.
            apply_seconds=600,
            # The clock moves only in steps, so a transfer limited to a rate would not continue by itself.
            link_megabits=10000,
        )
        runtime = SteppedRuntime(seed=self.stack.seed, start_number=self.stack.starts, core=self.stack.core)
        # Each incarnation has its own pool, as its connections end with it.
        self.server_connections = ServerConnectionPool(header_names=HEADER_NAMES, counters=None)  # type: ignore[arg-type]
        self.node = SidecarNode(settings=settings, runtime=runtime, serve=self.server_connections.serve)
        self.server_connections.counters = self.node.counters
        self.rpc_server = await runtime.serve(address, self.node.answer)
        self.ports["line"] = self.rpc_server._server.sockets[0].getsockname()[1]
        handler = IngressHandler(node=self.node, header_names=HEADER_NAMES).handle
        self.handler = await open_listener(address=f"127.0.0.1:{self.ports['handler']}", handler=handler)
        self.ports["handler"] = self.handler.addresses[0][1]
        self.ticking = asyncio.ensure_future(self.node._run_ticks())

    def deliver_state(self) -> None:
        """Delivers the core's configuration, a renewed lease and a health report of the local server."""
        self.node.feed(ConfigurationChanged(self.stack.view()))
        self.node.feed(LeaseRenewed(self.node.runtime.now()))
        local_server, address = self.local_server, f"127.0.0.1:{self.to_server.port}"
        self.node.feed(HealthReported(local_server.service, local_server.instance, address, READY, 8, timedelta()))

    async def kill(self) -> None:
        """Stops the sidecar without a drain, as a kill does."""
        self.ticking.cancel()
        for task in self.node.work:
            task.cancel()
        await self.rpc_server.stop()
        self.node.runtime.rpc_client.close()
        self.server_connections.close()
        for connection in list(self.handler.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await self.handler.cleanup()

    def links(self) -> tuple[ControlledLink, ...]:
        return self.to_server, self.to_rpc_server, self.to_handler

    def freeze(self) -> None:
        """Suspends the sidecar: its links pass no bytes in either direction, and its ticks stop."""
        self.ticking.cancel()
        for link in self.links():
            link.hold()

    def thaw(self) -> None:
        self.ticking = asyncio.ensure_future(self.node._run_ticks())
        for link in self.links():
            link.release()


class SidecarStack:
    """Sidecar s-1 as the ingress, and s-2 and s-3, whose local servers run the requests."""

    def __init__(self, *, seed: int = 1) -> None:
        self.seed = seed
        self.starts = 0
        self.history = History()
        self.log: State = initial_state(mesh="m", voters={1: "one"}, operators={}, level=3)
        self.machines: dict[str, Machine] = {}
        self.attempts = 0
        self.clients: set[asyncio.Task] = set()

    async def start(self) -> "SidecarStack":
        for name in ("s-1", "s-2", "s-3"):
            self.machines[name] = await Machine(name=name, stack=self).start()
        for machine in self.machines.values():
            machine.deliver_state()
        return self

    async def stop(self) -> None:
        for machine in self.machines.values():
            await machine.kill()
            machine.local_server.stop()
            for link in machine.links():
                link.stop()
        for client in self.clients:
            client.cancel()

    def view(self) -> View:
        items: dict[str, Any] = {f"entry:{name}": entry(name, hold_seconds=BUDGET) for name in KINDS}
        items["service:ledger"] = ServiceItem("ledger")
        nodes = {
            name: NodeRecord(
                name, "stall", f"127.0.0.1:{machine.to_rpc_server.port}", "a", machine.node.incarnation, "alive", 1
            )
            for name, machine in self.machines.items()
        }
        return View(
            revision=5,
            items=ItemConfiguration(items=items),
            item_revisions=dict.fromkeys(items, 1),
            servers={
                name: ServerRecord(name, "ledger", f"i-{name}", "there", "a", READY, 1, "life", "", 1)
                for name in ("s-2", "s-3")
            },
            nodes=nodes,
        )

    async def core(self, message: tuple) -> tuple | None:
        if not isinstance(message, WriteCall):
            return None
        outcomes = []
        for payload in message.payloads:
            stamp = timedelta(seconds=asyncio.get_running_loop().time())
            self.log, outcome = apply(self.log, offset=self.log.offset + 1, epoch=1, stamp=stamp, payload=payload)
            outcomes.append(pack_outcome(outcome))
        return WriteAnswer("", 1, tuple(outcomes), self.log.offset)

    # -- clients -----------------------------------------------------------------------------------------------------

    def client(self, kind: str, *, key: str = "", doors: tuple[str, ...] = ("s-1", "s-1", "s-2")) -> asyncio.Task:
        """Sends a request, and retries it as the platform's clients do.

        A 503 promises that the request did not run, so any request is retried after it. After other failures only
        repeatable requests and those with an idempotency key are retried.
        """
        task = asyncio.ensure_future(self._send_with_retries(kind, key, doors))
        self.clients.add(task)
        return task

    async def _send_with_retries(self, kind: str, key: str, doors: tuple[str, ...]) -> None:
        for door in doors:
            self.attempts += 1
            attempt = f"try-{self.attempts}"
            self.history.asked[attempt] = ClientRequest(kind, key)
            answer = await self._send_attempt(attempt, kind, key, self.machines[door].to_handler.port)
            if answer is not None:
                self.history.answers[attempt] = answer
            status = answer[0] if answer is not None else 0
            if status == 200 or (status != 503 and kind not in REPEATABLE and not key):
                return
            await asyncio.sleep(0.2)

    async def _send_attempt(self, attempt: str, kind: str, key: str, port: int) -> tuple[int, bytes] | None:
        body = b"x" * (20000 if kind == "pack" else 3)
        head_lines = [f"POST /{kind}/x HTTP/1.1", f"Host: {HOST}", f"{HEADER_NAMES.client_attempt_id}: {attempt}"]
        head_lines += [f"{HEADER_NAMES.budget}: {BUDGET * 1000:.0f}", f"Content-Length: {len(body)}"]
        head_lines += [f"{HEADER_NAMES.key}: {key}"] if key else []
        try:
            async with asyncio.timeout(BUDGET):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                try:
                    writer.write("\r\n".join([*head_lines, "", ""]).encode() + body)
                    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:])}
                    return int(head[0].split()[1]), await reader.readexactly(int(headers["content-length"]))
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None

    async def pass_time(self, seconds: float) -> None:
        """Steps the clock in tenths of a second."""
        for _ in range(round(seconds / 0.1)):
            await step(0.1)
            await self.settle()

    @staticmethod
    async def settle() -> None:
        """Gives the event loop turns to deliver bytes over the loopback; no checked result depends on their number."""
        for _ in range(40):
            await asyncio.sleep(0)
