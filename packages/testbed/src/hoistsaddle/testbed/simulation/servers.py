"""The local servers of the proxies in a simulated deployment, and the nested calls that they make."""

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
# States that only the history records; no server reports them.
DRAINED, VANISHED = "drained", "vanished"
HEALTH_INTERVAL_SECONDS = 0.8
# Faults of a server: it runs the request, but no complete and valid answer reaches the proxy.
LOSE_ANSWER, GARBAGE, TRUNCATE = "lose answer", "garbage", "truncate"
# The shortest and longest time that a server takes to answer.
ANSWER_SECONDS = (0.002, 0.03)


class SimulatedServer:
    """The local server of a proxy; scenarios change its state, its answer time and its fault."""

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
        """Changes the state and reports it immediately."""
        self.state = state
        self.pool.record_state(self, state)
        self.report_health()

    def report_health(self) -> None:
        """Sends one health report to the proxy, if the server is present and the proxy is running."""
        process = self.pool.processes.get(self.proxy)
        node = self.pool.nodes.get(self.proxy)
        if self.present and process is not None and not process.dead and not process.frozen:
            report = HealthReported(self.service, self.instance, f"at-{self.proxy}", self.state)
            process.context.run(node.feed, report)

    def vanish(self) -> None:
        """Removes the server without a report."""
        self.present = False
        self.pool.record_state(self, VANISHED)


class ServerPool:
    """The current local server of each proxy.

    Attributes:
        by_proxy: the servers by the name of their proxy.
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
        """Returns every server, whether present or vanished."""
        return list(self.by_proxy.values())

    def replace(self, proxy: str, *, service: str) -> SimulatedServer:
        """Starts a new instance of a service beside a proxy; it serves once it has reported its health."""
        server = self.by_proxy[proxy] = SimulatedServer(pool=self, proxy=proxy, service=service)
        return server

    def record_state(self, server: SimulatedServer, state: str) -> None:
        """Records a server's new state in the history."""
        self.history.add(ServerStateChanged(self.world.loop.time(), server.service, server.instance, state))

    def present_members(self, running: list[str]) -> tuple[tuple[str, str, str, str], ...]:
        """Returns proxy, service, instance and state of every present server of a running proxy, sorted."""
        members = [
            (name, server.service, server.instance, server.state)
            for name, server in self.by_proxy.items()
            if server.present and name in running
        ]
        return tuple(sorted(members))

    async def report_all(self) -> None:
        """Reports the health of every server periodically until cancelled."""
        while True:
            for server in self.all():
                server.report_health()
            await asyncio.sleep(HEALTH_INTERVAL_SECONDS)

    async def run(self, proxy: str, command: RunOnServer) -> tuple:
        """Runs a request on the local server of a proxy; the server may be absent or faulty."""
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
        """Makes a server's nested call through its proxy.

        The proxy knows the service of its local server; the call names the instance of the server that makes it.
        """
        node = self.nodes[proxy]
        local_server = node.core.server
        if local_server is None:
            return
        asked = self.world.loop.time()
        answer = await node.request(
            lambda ticket: RequestArrived(
                ticket,
                local_server.service,
                f"service {local_server.service}",
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
