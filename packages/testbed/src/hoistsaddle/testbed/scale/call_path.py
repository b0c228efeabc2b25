"""Processor time of a chain of nested calls: listener, two cores, connection, server connection, and back.

Two full proxies and their servers run in this process; each server calls the next one through the mesh until the chain
has the given depth. The same chain with direct calls between the servers gives the cost without the mesh. Both are
measured as this process's processor time, which other programs on the machine don't affect.
"""

import asyncio
import time
from typing import Any, NamedTuple

import aiohttp
import uvloop
from aiohttp import web
from loguru import logger

from hoistsaddle.common.clock import ZERO
from hoistsaddle.common.settings import SidecarSettings
from hoistsaddle.proxy.messages import ConfigurationChanged
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.listener import IngressHandler, open_listener
from hoistsaddle.sidecar.messages import HealthReported
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.sidecar.server_connections import ServerConnectionPool
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.state import READY
from hoistsaddle.statemachine.view import View, read_view
from hoistsaddle.testbed.scale.clock import ScaleRuntime
from hoistsaddle.testbed.scale.sizes import HOST, Size, make_state, prefix_of, proxy_name, service_name

BODY = b"x" * 200
HEADER_NAMES = HeaderNames()
# The second number of the chain's addresses; a fleet of a scale run begins at 20.
BLOCK = 18


RPC_PORT, INGRESS_PORT, HEALTH_PORT, READY_PORT, SERVER_PORT = 7100, 7110, 7111, 7112, 9000
ZONE = "zone-1"


def _address(number: int, port: int) -> str:
    return f"127.{BLOCK}.0.{number + 1}:{port}"


class _Chain:
    """Proxies 0 and 1, whose servers call each other's services until the chain has its depth."""

    def __init__(self, size: Size) -> None:
        # A repeatable route of each of the two services.
        self.routes = (0, size.services + 1)
        state = make_state(size)
        nodes, servers = state.nodes, state.servers
        for number in range(2):
            name = proxy_name(number)
            nodes = nodes.set(name, nodes[name]._replace(address=_address(number, RPC_PORT), zone=ZONE))
            record = servers[name]._replace(address=_address(number, SERVER_PORT), zone=ZONE)
            servers = servers.set(name, record)
        # Only these two serve the first two services: every call stays in this process.
        kept = {
            name: record
            for name, record in servers.items()
            if record.service not in _chain_services() or name in _chain_proxies()
        }
        self.items = data_plane_items(state._replace(nodes=nodes, servers=type(servers)(kept)))
        self.nodes: list[SidecarNode] = []
        self.server_connections: list[ServerConnectionPool] = []
        # Servers and listeners to close at the end.
        self.listeners: list[Any] = []
        self.calls = 0

    async def start(self) -> None:
        """Starts both proxies and their servers."""
        self.session = aiohttp.ClientSession()
        for number in range(2):
            name = proxy_name(number)
            settings = SidecarSettings(
                name=name,
                zone=ZONE,
                listen=_address(number, RPC_PORT),
                door=_address(number, INGRESS_PORT),
                health_door=_address(number, HEALTH_PORT),
                ready_door=_address(number, READY_PORT),
                seeds=[_address(9, RPC_PORT)],
                service=service_name(number),
                server=_address(number, SERVER_PORT),
                health_seconds=3600.0,
            )
            connections = ServerConnectionPool(header_names=HEADER_NAMES, counters=None)
            node = SidecarNode(settings=settings, runtime=ScaleRuntime(stretch=1.0, seed=name), serve=connections.serve)
            connections.counters = node.counters
            view = read_view(revision=1, items=self.items, node=name, zone=ZONE, before=View())
            node.feed(ConfigurationChanged(view))
            server = view.servers[name]
            node.feed(HealthReported(server.service, server.instance, server.address, READY, 64, ZERO))
            self.listeners.append(await node.runtime.serve(settings.listen, node.answer))
            self.listeners.append(
                await open_listener(
                    address=settings.door, handler=IngressHandler(node=node, header_names=HEADER_NAMES).handle
                )
            )
            self.listeners.append(await open_listener(address=settings.server, handler=self._serve(number)))
            self.nodes.append(node)
            self.server_connections.append(connections)

    def _serve(self, number: int):
        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            await request.read()
            depth = int(request.headers["X-Left"])
            if depth > 1:
                await self.call(number, 1 - number, depth - 1, meshed=request.headers["X-Meshed"] == "1")
            attempt_id = request.headers.get(HEADER_NAMES.client_attempt_id, "")
            return web.Response(body=BODY, headers={HEADER_NAMES.client_attempt_id: attempt_id})

        return serve

    async def call(self, caller: int, service: int, depth: int, *, meshed: bool) -> None:
        """Calls through the proxy beside the caller, or the server directly."""
        self.calls += 1
        address = _address(caller, INGRESS_PORT) if meshed else _address(service, SERVER_PORT)
        headers = {
            "Host": HOST,
            "X-Left": str(depth),
            "X-Meshed": str(int(meshed)),
            HEADER_NAMES.client_attempt_id: str(self.calls),
        }
        async with self.session.get(f"http://{address}{prefix_of(self.routes[service])}x", headers=headers) as answer:
            await answer.read()
            if answer.status != 200:
                raise AssertionError(f"{answer.status}: {await answer.text()}")

    async def stop(self) -> None:
        """Ends proxies, servers and connections."""
        await self.session.close()
        for node in self.nodes:
            for task in list(node.work):
                task.cancel()
        for listener in self.listeners:
            await (listener.cleanup() if isinstance(listener, web.ServerRunner) else listener.stop())
        for node, connections in zip(self.nodes, self.server_connections, strict=True):
            node.runtime.rpc_client.close()
            connections.close()


def _chain_services() -> set[str]:
    return {service_name(0), service_name(1)}


def _chain_proxies() -> set[str]:
    return {proxy_name(0), proxy_name(1)}


class CallPathTimes(NamedTuple):
    """Milliseconds of processor time of one call, one value for each round."""

    through_mesh: list[float]
    directly: list[float]


async def _measure(size: Size, *, depth: int, times: int, rounds: int) -> CallPathTimes:
    chain = _Chain(size)
    await chain.start()
    result = CallPathTimes([], [])
    try:
        for meshed in (True, False):
            await chain.call(0, 1, depth, meshed=meshed)
        # Alternating, so that a temporary slowdown of the machine affects both.
        for _ in range(rounds):
            for milliseconds, meshed in ((result.through_mesh, True), (result.directly, False)):
                began = time.process_time()
                for _ in range(times):
                    await chain.call(0, 1, depth, meshed=meshed)
                milliseconds.append((time.process_time() - began) * 1000 / times)
    finally:
        await chain.stop()
    return result


def measure_call_path(size: Size, *, depth: int, times: int, rounds: int) -> CallPathTimes:
    """Measures chains of `depth` nested calls; each value is the mean of `times` chains."""
    # Keep the start-up logs of the two proxies out of the printed table.
    logger.disable("hoistsaddle.common.counters")
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_measure(size, depth=depth, times=times, rounds=rounds))
    finally:
        logger.enable("hoistsaddle.common.counters")
