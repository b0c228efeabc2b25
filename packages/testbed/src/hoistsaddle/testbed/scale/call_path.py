"""Processor time on the path of one call, so many deep: door, two cores, line, server line, and back.

Two whole proxies and their servers share this process; each server calls the next one through the mesh until the call
is as deep as asked. The same chain with servers calling each other directly costs what is not the mesh's. Both are
counted by this process's processor time, so whatever else runs on the machine waits outside the figures.
"""

import asyncio
import time
from typing import Any

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


def _place(number: int, port: int) -> str:
    return f"127.{BLOCK}.0.{number + 1}:{port}"


class _Chain:
    """Proxies 0 and 1, whose servers call each other's service until nothing is left to go down."""

    def __init__(self, size: Size) -> None:
        # A route of each of the two services that may be repeated.
        self.routes = (0, size.services + 1)
        state = make_state(size)
        nodes, servers = state.nodes, state.servers
        for number in range(2):
            name = proxy_name(number)
            nodes = nodes.set(name, nodes[name]._replace(address=_place(number, 7100), zone="zone-1"))
            entry = servers[name]._replace(address=_place(number, 9000), zone="zone-1")
            servers = servers.set(name, entry)
        # Only these two serve the first two services: every call stays in this process.
        others = {key: entry for key, entry in servers.items() if entry.service not in _own() or key in _two()}
        self.items = data_plane_items(state._replace(nodes=nodes, servers=type(servers)(others)))
        self.nodes: list[SidecarNode] = []
        self.lines: list[ServerConnectionPool] = []
        self.open: list[Any] = []
        self.asked = 0

    async def start(self) -> None:
        self.session = aiohttp.ClientSession()
        for number in range(2):
            name = proxy_name(number)
            settings = SidecarSettings(
                name=name,
                zone="zone-1",
                listen=_place(number, 7100),
                door=_place(number, 7110),
                health_door=_place(number, 7111),
                ready_door=_place(number, 7112),
                seeds=[_place(9, 7100)],
                service=service_name(number),
                server=_place(number, 9000),
                health_seconds=3600.0,
            )
            line = ServerConnectionPool(header_names=HEADER_NAMES, counters=None)
            node = SidecarNode(settings=settings, runtime=ScaleRuntime(stretch=1.0, seed=name), serve=line.serve)
            line.counters = node.counters
            view = read_view(revision=1, items=self.items, node=name, zone="zone-1", before=View())
            node.feed(ConfigurationChanged(view))
            server = view.servers[name]
            node.feed(HealthReported(server.service, server.instance, server.address, READY, 64, ZERO))
            self.open.append(await node.runtime.serve(settings.listen, node.answer))
            self.open.append(
                await open_listener(
                    address=settings.door, handler=IngressHandler(node=node, header_names=HEADER_NAMES).handle
                )
            )
            self.open.append(await open_listener(address=settings.server, handler=self._serve(number)))
            self.nodes.append(node)
            self.lines.append(line)

    def _serve(self, number: int):
        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            await request.read()
            left = int(request.headers["X-Left"])
            if left > 1:
                await self.ask(number, 1 - number, left - 1, meshed=request.headers["X-Meshed"] == "1")
            carried = request.headers.get(HEADER_NAMES.client_attempt_id, "")
            return web.Response(body=BODY, headers={HEADER_NAMES.client_attempt_id: carried})

        return serve

    async def ask(self, here: int, service: int, left: int, *, meshed: bool) -> None:
        """Through the door of the proxy beside the caller, or straight to the server."""
        self.asked += 1
        place = _place(here, 7110) if meshed else _place(service, 9000)
        headers = {
            "Host": HOST,
            "X-Left": str(left),
            "X-Meshed": str(int(meshed)),
            HEADER_NAMES.client_attempt_id: str(self.asked),
        }
        async with self.session.get(f"http://{place}{prefix_of(self.routes[service])}x", headers=headers) as answer:
            await answer.read()
            if answer.status != 200:
                raise AssertionError(f"{answer.status}: {await answer.text()}")

    async def stop(self) -> None:
        await self.session.close()
        for node in self.nodes:
            for task in list(node.work):
                task.cancel()
        for each in self.open:
            await (each.cleanup() if isinstance(each, web.ServerRunner) else each.stop())
        for node, line in zip(self.nodes, self.lines, strict=True):
            node.runtime.rpc_client.close()
            line.close()


def _own() -> set[str]:
    return {service_name(0), service_name(1)}


def _two() -> set[str]:
    return {proxy_name(0), proxy_name(1)}


async def _spend(size: Size, *, depth: int, times: int, rounds: int) -> dict[str, list[float]]:
    chain = _Chain(size)
    await chain.start()
    spent: dict[str, list[float]] = {"through the mesh": [], "directly": []}
    try:
        for meshed in (True, False):
            await chain.ask(0, 1, depth, meshed=meshed)
        # In turns, so that whatever slows the machine for a while slows both.
        for _ in range(rounds):
            for way, meshed in (("through the mesh", True), ("directly", False)):
                began = time.process_time()
                for _ in range(times):
                    await chain.ask(0, 1, depth, meshed=meshed)
                spent[way].append((time.process_time() - began) * 1000 / times)
    finally:
        await chain.stop()
    return spent


def spend(size: Size, *, depth: int, times: int, rounds: int) -> dict[str, list[float]]:
    """Milliseconds of processor for one call, a figure for each round, by way."""
    # What two proxies say at their start has no place in a table of figures.
    logger.disable("hoistsaddle.common.counters")
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_spend(size, depth=depth, times=times, rounds=rounds))
    finally:
        logger.enable("hoistsaddle.common.counters")
