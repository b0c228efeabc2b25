"""One worker of a scale run: many hollow proxies, one full proxy, or one core machine, controlled by lines of JSON.

A hollow proxy is a proxy's node with real connections at its own address. Core, membership, tree, applied versions,
health reports and claims are those of any proxy; but its server is a function that answers at once, and it has no HTTP
listener. A command names a method, and its arguments are the method's parameters; see `Worker.do`.
"""

import asyncio
import contextlib
import gc
import resource
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web
from loguru import logger
from returns.result import Success

from hoistsaddle.common.clock import ZERO, milliseconds
from hoistsaddle.common.settings import ControllerSettings, SidecarSettings
from hoistsaddle.config.items import Patch
from hoistsaddle.membership.membership import DEAD
from hoistsaddle.raft.core import LEADER
from hoistsaddle.registry.controller import Controller
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.header_pairs import pack_pairs
from hoistsaddle.sidecar.listener import IngressHandler, close_listener, open_listener
from hoistsaddle.sidecar.messages import HealthReported, Reply, RequestArrived, RunOnServer, ServerAnswered
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.sidecar.server_connections import ServerConnectionPool
from hoistsaddle.statemachine.commands import LEVEL, RegisterNode, RegisterServer
from hoistsaddle.statemachine.state import GONE, READY
from hoistsaddle.testbed.scale.clock import ScaleRuntime, make_loop, mesh_seconds
from hoistsaddle.testbed.scale.sizes import (
    HOST,
    Size,
    items_of,
    prefix_of,
    proxy_name,
    route_item,
    service_name,
    zone_name,
)
from hoistsaddle.testbed.scale.worker_messages import Job, Snapshot

POLL_INTERVAL = milliseconds(20)
HEARTBEAT_INTERVAL = timedelta(seconds=1)
SERVER_CAPACITY = 64
# The number of records proposed at once while the log is preloaded.
PRELOAD_BATCH = 64
PRELOAD_TIMEOUT = timedelta(seconds=5)
# The interval at which due calls are sent, and how long the last calls may take, in seconds of the mesh's clock.
LOAD_STEP_SECONDS, LAST_CALLS_SECONDS = 0.01, 10
RPC_PORT, INGRESS_PORT, HEALTH_PORT, READY_PORT, SERVER_PORT = 7100, 7110, 7111, 7112, 9000
MAX_SEEDS = 3
# The longest line that a worker reads, in bytes.
LINE_LIMIT = 2**22
_headers = pack_pairs([(b"Host", HOST.encode())])


def address_of(number: int, job: Job, *, port: int = RPC_PORT) -> str:
    """A proxy's loopback address."""
    return f"127.{job.block}.{number // 200}.{number % 200 + 1}:{port}"


def incarnation_of(number: int, job: Job) -> str:
    """The incarnation of a proxy, derived from the seed before the proxy starts."""
    return _runtime(job, proxy_name(number)).token(6)


def _runtime(job: Job, name: str) -> ScaleRuntime:
    return ScaleRuntime(stretch=job.stretch, seed=f"{job.seed} {name}")


def _instance(number: int, size: Size) -> str:
    return f"{service_name(number % size.services)}-{number}-1"


async def _serve_hollow(command: RunOnServer) -> tuple:
    return ServerAnswered(command.number, 200, b"", b"served", False)


class ProxyGroup:
    """The proxies of this process; a full proxy also has a listener, and a server behind a connection."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.nodes: dict[int, SidecarNode] = {}
        # Includes ended nodes, so that their counters stay in the totals.
        self.all_nodes: list[SidecarNode] = []
        self.heartbeat_task: asyncio.Task | None = None
        self.calls = 0
        self.closing: list[Callable[[], Awaitable]] = []

    async def start(self, *, spread_seconds: float) -> dict:
        """Starts the proxies, spread evenly over this many seconds."""
        job = self.job
        for number in job.numbers:
            node = self.nodes[number] = await self._create_node(number)
            self.all_nodes.append(node)
            await node.start()
            self._send_heartbeat(number, node)
            # Not all at once: a simultaneous start of the fleet is another measurement.
            await asyncio.sleep(spread_seconds / len(job.numbers))
        self.heartbeat_task = asyncio.ensure_future(self._send_heartbeats())
        return {"started": len(self.nodes)}

    async def _create_node(self, number: int) -> SidecarNode:
        job = self.job
        settings = SidecarSettings(
            name=proxy_name(number),
            zone=zone_name(number, job.size),
            listen=address_of(number, job),
            door=address_of(number, job, port=INGRESS_PORT),
            health_door=address_of(number, job, port=HEALTH_PORT),
            ready_door=address_of(number, job, port=READY_PORT),
            seeds=[f"{host}:{RPC_PORT}" for host in job.core[:MAX_SEEDS]],
            service=service_name(number % job.size.services),
            server=address_of(number, job, port=SERVER_PORT),
        )
        runtime = _runtime(job, settings.name)
        if job.kind == "hollow":
            return SidecarNode(settings=settings, runtime=runtime, serve=_serve_hollow)
        header_names = HeaderNames()
        connections = ServerConnectionPool(header_names=header_names, counters=None)
        node = SidecarNode(settings=settings, runtime=runtime, serve=connections.serve)
        connections.counters = node.counters
        listener = await open_listener(
            address=settings.door, handler=IngressHandler(node=node, header_names=header_names).handle
        )
        server = await open_listener(address=settings.server, handler=_answer_request)
        self.closing += [lambda: close_listener(listener, wait=ZERO), server.cleanup]
        return node

    def _send_heartbeat(self, number: int, node: SidecarNode) -> None:
        settings = node.sidecar_settings
        node.feed(
            HealthReported(
                settings.service, _instance(number, self.job.size), settings.server, READY, SERVER_CAPACITY, ZERO
            )
        )

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL.total_seconds())
            for number, node in list(self.nodes.items()):
                self._send_heartbeat(number, node)

    def settled(self, *, items: int, nodes: int) -> dict:
        """Counts the proxies with the complete configuration, a valid lease and an acknowledged health report."""
        settled = 0
        for node in self.nodes.values():
            view = node.core.view
            alive = sum(record.state != GONE for record in view.nodes.values() if record.kind == "stall")
            if (
                len(view.item_revisions) >= items
                and alive >= nodes
                and node.core.has_lease()
                and node.health.acknowledged[1] == READY
            ):
                settled += 1
        return {"settled": settled, "of": len(self.nodes)}

    async def watch_item(self, *, key: str, revision: int, within: float) -> dict:
        """Waits, for at most `within` seconds, and returns when each proxy had this revision of the item in force."""
        seen: dict[int, float] = {}
        deadline = mesh_seconds(self.job.stretch) + within
        while len(seen) < len(self.nodes) and mesh_seconds(self.job.stretch) < deadline:
            for number, node in self.nodes.items():
                if number not in seen and node.core.view.item_revisions.get(key, -1) >= revision:
                    seen[number] = mesh_seconds(self.job.stretch)
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
        return {"seen": sorted(seen.values()), "missing": len(self.nodes) - len(seen)}

    async def watch_gone(self, *, numbers: list[int], within: float) -> dict:
        """Returns when each proxy learned that all of these are gone: from the log, and from its own membership."""
        names = [proxy_name(number) for number in numbers]
        logged: dict[int, float] = {}
        gossiped: dict[int, float] = {}
        deadline = mesh_seconds(self.job.stretch) + within
        while min(len(logged), len(gossiped)) < len(self.nodes) and mesh_seconds(self.job.stretch) < deadline:
            now = mesh_seconds(self.job.stretch)
            for number, node in self.nodes.items():
                known = node.core.view.nodes
                if number not in logged and all(name not in known or known[name].state == GONE for name in names):
                    logged[number] = now
                members = node.member.core.members
                if number not in gossiped and all(name not in members or members[name].state == DEAD for name in names):
                    gossiped[number] = now
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
        return {
            "logged": sorted(logged.values()),
            "gossiped": sorted(gossiped.values()),
            "missing": len(self.nodes) - len(logged),
            "never_gossiped": len(self.nodes) - len(gossiped),
        }

    async def lose(self, *, numbers: list[int]) -> dict:
        """Ends proxies without deregistration, as a loss of power does, except that their connections are reset."""
        lost_at = mesh_seconds(self.job.stretch)
        for number in numbers:
            node = self.nodes.pop(number, None)
            if node is not None:
                for task in [*node.tasks, *node.work]:
                    task.cancel()
                await node.stop()
        return {"at": lost_at}

    async def load(self, *, seconds: float, calls: float, keyed: float) -> dict:
        """Makes plain and keyed calls at these rates per second, evenly, from the proxies in turn."""
        outcomes: Counter[str] = Counter()
        tasks: set[asyncio.Task] = set()
        numbers = list(self.nodes)
        total = calls + keyed
        began = mesh_seconds(self.job.stretch)
        sent = 0
        due_keyed = 0.0
        while total and (elapsed := mesh_seconds(self.job.stretch) - began) < seconds:
            while sent < elapsed * total:
                due_keyed += keyed / total
                with_key = due_keyed >= 1
                due_keyed -= with_key
                node = self.nodes[numbers[sent % len(numbers)]]
                task = asyncio.ensure_future(self._call(node, with_key=with_key, outcomes=outcomes))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                sent += 1
            await asyncio.sleep(LOAD_STEP_SECONDS)
        if tasks:
            await asyncio.wait(tasks, timeout=LAST_CALLS_SECONDS)
        return {"outcomes": dict(outcomes), "sent": sent}

    async def _call(self, node: SidecarNode, *, with_key: bool, outcomes: Counter) -> None:
        self.calls += 1
        number = self.calls
        routes = [route for route in range(self.job.size.routes) if (route % 4 == 1) == with_key] or [0]
        path = f"{prefix_of(routes[number % len(routes)])}thing"
        key = f"{node.settings.name}-{number}" if with_key else ""
        if self.job.kind == "hollow":
            reply = await node.handle_request(
                lambda ticket: RequestArrived(
                    ticket, "POST", HOST, path, _headers, 80, b"", None, key, f"send-{number}"
                )
            )
            outcomes[_outcome_of(reply, keyed=with_key)] += 1

    def counts(self) -> dict[str, int]:
        """The sums of the nodes' counters."""
        counts: Counter[str] = Counter()
        for node in self.all_nodes:
            counts.update({name: int(value) for name, value in node.counters.read()["counts"].items()})
        return dict(counts)

    def traffic(self) -> tuple[Counter, Counter]:
        """Frames and bytes sent and received, by direction and kind."""
        return _sum_traffic([node.runtime.rpc_client for node in self.all_nodes])

    async def stop(self) -> None:
        """Ends all proxies and listeners."""
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        for close in self.closing:
            await close()
        await self.lose(numbers=list(self.nodes))


def _outcome_of(reply: Reply, *, keyed: bool) -> str:
    return f"{'keyed' if keyed else 'plain'} {reply.error.kind if reply.error else reply.status}"


async def _answer_request(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    attempt_id = request.headers.get(HeaderNames().client_attempt_id, "")
    return web.Response(
        body=b"served", headers={HeaderNames().client_attempt_id: attempt_id, "Keep-Alive": "timeout=60"}
    )


def _sum_traffic(clients: list[Any]) -> tuple[Counter, Counter]:
    frames: Counter[str] = Counter()
    octets: Counter[str] = Counter()
    for client in clients:
        frames.update(
            {" ".join(direction_and_kind): count for direction_and_kind, count in client.traffic.frames.items()}
        )
        octets.update(
            {" ".join(direction_and_kind): count for direction_and_kind, count in client.traffic.octets.items()}
        )
    return frames, octets


class CoreMachine:
    """One controller with its replica of the log."""

    def __init__(self, job: Job) -> None:
        self.job = job
        Path(job.folder).mkdir(parents=True, exist_ok=True)
        self.controller = Controller(
            settings=ControllerSettings(
                host=job.host,
                zone=job.zone,
                data_folder=job.folder,
                seeds=job.core[:MAX_SEEDS],
                cold_start=True,
                losses=(len(job.core) - 1) // 2,
            ),
            runtime=_runtime(job, job.host),
        )

    async def start(self) -> dict:
        """Starts the controller."""
        await self.controller.start()
        return {}

    def status(self) -> dict:
        """Whether the replica leads, and the size of its state."""
        core = self.controller.store.runner.core
        return {
            "leads": core.role == LEADER,
            "mesh": core.mesh,
            "voters": len(core.state.voters),
            "alive": sum(node.state != GONE and node.kind == "stall" for node in core.state.nodes.values()),
            "items": len(core.state.items),
            "offset": core.state.offset,
        }

    async def preload(self) -> dict:
        """Writes every proxy and server to the log before any proxy starts: joining is another measurement."""
        job, writer = self.job, self.controller.registry.writer
        commands: list[Any] = []
        for number in range(job.size.nodes):
            name, zone = proxy_name(number), zone_name(number, job.size)
            life = incarnation_of(number, job)
            commands.append(
                RegisterNode(name, "stall", address_of(number, job), zone, life, "alive", seen_revision=0, level=LEVEL)
            )
        for first in range(0, len(commands), PRELOAD_BATCH):
            await asyncio.gather(
                *(writer.write(command, within=PRELOAD_TIMEOUT) for command in commands[first : first + PRELOAD_BATCH])
            )
        servers = [
            RegisterServer(
                proxy_name(number),
                service_name(number % job.size.services),
                _instance(number, job.size),
                address_of(number, job, port=SERVER_PORT),
                zone_name(number, job.size),
                READY,
                1,
                incarnation_of(number, job),
                seen_revision=0,
            )
            for number in range(job.size.nodes)
        ]
        for first in range(0, len(servers), PRELOAD_BATCH):
            await asyncio.gather(
                *(writer.write(command, within=PRELOAD_TIMEOUT) for command in servers[first : first + PRELOAD_BATCH])
            )
        return {"noted": len(commands)}

    async def patch(self, *, revision: int, complete: bool = False) -> dict:
        """Patches one route, or the complete configuration; returns whether and when it was acknowledged."""
        items = items_of(self.job.size) if complete else [route_item(0, self.job.size, revision=revision)]
        began = mesh_seconds(self.job.stretch)
        result = await self.controller.patch(Patch(items))
        return {
            "taken": isinstance(result, Success),
            "at": began,
            "acknowledged": mesh_seconds(self.job.stretch) - began,
        }

    def counts(self) -> dict[str, int]:
        """The sums of the counters of controller and store."""
        counts: Counter[str] = Counter()
        for counters in (self.controller.counters, self.controller.store.counters):
            counts.update({name: int(value) for name, value in counters.read()["counts"].items()})
        return dict(counts)

    def traffic(self) -> tuple[Counter, Counter]:
        """Frames and bytes sent and received, by direction and kind."""
        return _sum_traffic([self.controller.runtime.rpc_client])

    async def stop(self) -> None:
        """Ends the controller."""
        await self.controller.stop()


def _resident_bytes() -> int:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


class Worker:
    """Carries out the commands of a scale run on a core machine or on proxies, as the job says."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.command_handler: Any = CoreMachine(job) if job.kind == "core" else ProxyGroup(job)

    def snapshot(self) -> Snapshot:
        """The resources used, and the counters, since the start."""
        frames, octets = self.command_handler.traffic()
        return Snapshot(
            at=mesh_seconds(self.job.stretch),
            processor=time.process_time(),
            resident=_resident_bytes(),
            connections=len(list(Path("/proc/self/fd").iterdir())),
            frames=dict(frames),
            octets=dict(octets),
            counts=self.command_handler.counts(),
        )

    async def do(self, command: dict) -> dict | Snapshot:
        """Carries out one command and returns its answer."""
        match command:
            case {"do": "snapshot"}:
                return self.snapshot()
            case {"do": "stop"}:
                await self.command_handler.stop()
                return {}
            case {"do": method, **arguments}:
                result = getattr(self.command_handler, method)(**arguments)
                return await result if asyncio.iscoroutine(result) else result
        raise ValueError(f"unknown command: {command}")


async def _run() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_LIMIT)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    worker = Worker(msgspec.json.decode(await reader.readline(), type=Job))
    _write_answer({"up": True})
    while line := await reader.readline():
        command = msgspec.json.decode(line)
        try:
            _write_answer(await worker.do(command))
        except Exception as error:  # noqa: BLE001
            # Report every error, so that the run doesn't wait for an answer.
            _write_answer({"problem": f"{type(error).__name__}: {error}"})
        if command["do"] == "stop":
            break


def _write_answer(answer: dict | Snapshot) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
    sys.stdout.buffer.flush()


def main() -> None:
    """Runs a worker until a stop command or the end of its input."""
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    gc.freeze()
    loop = make_loop(stretch=float(sys.argv[1]))
    asyncio.set_event_loop(loop)
    with contextlib.suppress(KeyboardInterrupt):
        loop.run_until_complete(_run())


if __name__ == "__main__":
    main()
