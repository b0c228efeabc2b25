"""The servers beside the proxies of a simulated deployment, and the calls that they make themselves."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import msgspec

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.proxy.messages import HealthReported, RequestArrived, RunOnServer, ServerAnswered, ServerFailed
from hoistsaddle.testbed.deployments import Deployment, NestedCall
from hoistsaddle.testbed.history import History, RunEnded, RunStarted, ServerStateChanged, body_digest_of
from hoistsaddle.testbed.simulation.event_loop import SimulatedProcess
from hoistsaddle.testbed.simulation.results import result_of
from hoistsaddle.testbed.simulation.world import World

READY = "ready"
# States that a history knows and no server reports.
DRAINED, VANISHED = "drained", "vanished"
HEALTH_INTERVAL_SECONDS = 0.8
# What a server does instead of answering well.
LOSE_ANSWER, GARBAGE, TRUNCATE = "lose answer", "garbage", "truncate"
# Shortest and longest time that a server takes for an answer.
ANSWER_SECONDS = (0.002, 0.03)


class SimulatedServer:
    """A server beside a proxy; tests change its state, its speed and how it misbehaves."""

    def __init__(self, *, pool: ServerPool, proxy: str, service: str) -> None:
        self.pool = pool
        self.proxy = proxy
        self.service = service
        self.instance = f"{service}-{next(pool.counter)}"
        self.state = READY
        self.present = True
        self.misbehaviour = ""
        self.seconds = ANSWER_SECONDS

    def change_state(self, state: str) -> None:
        """Takes another state and reports it at once."""
        self.state = state
        self.pool.record_state(self, state)
        self.report_health()

    def report_health(self) -> None:
        """Sends one health report to the proxy, if the server is there and the proxy hears it."""
        process = self.pool.processes.get(self.proxy)
        node = self.pool.nodes.get(self.proxy)
        if self.present and process is not None and not process.dead and not process.frozen:
            report = HealthReported(self.service, self.instance, f"at-{self.proxy}", self.state)
            process.context.run(node.feed, report)

    def vanish(self) -> None:
        """The server is gone and says nothing."""
        self.present = False
        self.pool.record_state(self, VANISHED)


class ServerPool:
    """The present server beside each proxy.

    Attributes:
        by_proxy: the servers by the name of the proxy they stand beside.
        processes: the simulated processes by name.
        nodes: the nodes that run in them.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        world: World,
        history: History,
        counter: itertools.count,
        processes: dict[str, SimulatedProcess],
        nodes: dict[str, Any],
    ) -> None:
        self.deployment = deployment
        self.world = world
        self.history = history
        self.counter = counter
        self.processes = processes
        self.nodes = nodes
        self.by_proxy: dict[str, SimulatedServer] = {}

    def __getitem__(self, proxy: str) -> SimulatedServer:
        return self.by_proxy[proxy]

    def all(self) -> list[SimulatedServer]:
        """Every server, whether it is there or vanished."""
        return list(self.by_proxy.values())

    def replace(self, proxy: str, *, service: str) -> SimulatedServer:
        """Puts a new instance of a service beside a proxy; it serves once it has reported its health."""
        server = self.by_proxy[proxy] = SimulatedServer(pool=self, proxy=proxy, service=service)
        return server

    def record_state(self, server: SimulatedServer, state: str) -> None:
        """Writes down a server's new state."""
        self.history.add(ServerStateChanged(self.world.loop.time(), server.service, server.instance, state))

    def present_members(self, running: list[str]) -> tuple[tuple[str, str, str, str], ...]:
        """Proxy, service, instance and state of every present server beside one of the running proxies, sorted."""
        members = [
            (name, server.service, server.instance, server.state)
            for name, server in self.by_proxy.items()
            if server.present and name in running
        ]
        return tuple(sorted(members))

    async def report_all(self) -> None:
        """Every server reports its health again and again, for ever."""
        while True:
            for server in self.all():
                server.report_health()
            await asyncio.sleep(HEALTH_INTERVAL_SECONDS)

    async def run(self, proxy: str, command: RunOnServer) -> tuple:
        """The way from a proxy to its server, and the server itself; both may be gone or misbehave."""
        call = command.call
        server = self.by_proxy[proxy]
        if not server.present:
            error = MeshError(ErrorKind.UNREACHABLE, "connection refused", "simulated")
            return ServerFailed(command.number, True, error)
        nonce = msgspec.json.decode(call.body)["nonce"] if call.body else call.path.partition("nonce=")[2]
        path = call.path.partition("?")[0]
        run = f"run-{next(self.counter)}"
        self.history.add(
            RunStarted(
                timestamp=self.world.loop.time(),
                request=nonce,
                service=server.service,
                instance=server.instance,
                method=call.method,
                path=path,
                key=call.headers.get("Idempotency-Key", ""),
                client=call.client,
                caller=call.caller,
                send=call.attempt_id,
                run=run,
                proxy=proxy,
                size=len(call.body),
            )
        )
        await asyncio.sleep(self.world.random.uniform(*server.seconds))
        for nested in self.deployment.nested_calls.get((server.service, path), ()):
            await self.call_nested(proxy, server, nested, nonce)
        if server.misbehaviour in (LOSE_ANSWER, GARBAGE, TRUNCATE) or not server.present:
            error = MeshError(ErrorKind.SILENT, "no complete answer", "simulated")
            return ServerFailed(command.number, False, error)
        body = msgspec.json.encode({"nonce": nonce, "run": run, "service": server.service, "instance": server.instance})
        self.history.add(RunEnded(run, 200, body_digest_of(body)))
        return ServerAnswered(command.number, 200, {"Content-Type": "application/json"}, body)

    async def call_nested(self, proxy: str, server: SimulatedServer, nested: NestedCall, nonce: str) -> None:
        """A server's own call through its proxy.

        The proxy knows which service stands beside it; the server says which instance it is.
        """
        node = self.nodes[proxy]
        beside = node.core.server
        if beside is None:
            return
        asked = self.world.loop.time()
        answer = await node.request(
            lambda ticket: RequestArrived(
                ticket,
                beside.service,
                f"service {beside.service}",
                nested.method,
                nested.path,
                f"nonce={nonce}",
                {},
                b"",
                "",
                server.instance,
            )
        )
        now = self.world.loop.time()
        self.history.add(result_of(answer, now=now, request=nonce, proxy=proxy, asked=asked, caller=server.service))
