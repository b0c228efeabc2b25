"""The sidecar service: starts and stops the node, the connections to the local server and the listeners in order."""

import asyncio
from datetime import timedelta

from aiohttp import web
from aiomisc import Service
from loguru import logger

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.settings import SidecarSettings
from hoistsaddle.rpc.connection import KeepAlive
from hoistsaddle.rpc.runtime import RealRuntime
from hoistsaddle.sidecar.abandoned_bodies import AbandonedBodies
from hoistsaddle.sidecar.admin_api import AdminApi
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.listener import IngressHandler, close_listener, open_listener
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.sidecar.server_connections import ServerConnectionPool

KEEP_ALIVE = KeepAlive(interval=milliseconds(250), timeout=milliseconds(900))
CONNECT_TIMEOUT = milliseconds(350)
# A stopping sidecar exits once no client request has arrived for this long: the platform then sends clients elsewhere.
QUIET = milliseconds(500)
# The share of the grace period that is reserved for closing the listeners and handlers.
CLOSING_SHARE = 0.15
# The part of that time after which closing is given up; later steps must end before the watchdog kills the process.
CLOSING_BOUND = 0.75
# How long handlers stay open for requests that wait unread in a connection.
UNREAD_WAIT = milliseconds(150)


class SidecarService(Service):
    """One sidecar process."""

    def __init__(self, *, settings: SidecarSettings, header_names: HeaderNames | None = None) -> None:
        """Create the service; `header_names` are those of a platform, if it has its own."""
        super().__init__()
        self.sidecar_settings = settings
        self.header_names = header_names or HeaderNames()

    async def start(self) -> None:
        """Start the node and then the listeners, so that any request that arrives can be forwarded.

        If this is cancelled, requests that have arrived by then are finished.
        """
        self._create_node()
        try:
            await self._open()
        except asyncio.CancelledError:
            await self._finish_requests()
            raise
        self.start_event.set()

    def _create_node(self) -> None:
        settings = self.sidecar_settings
        self.budget = ByteBudget(memory_megabytes=settings.memory_megabytes, descriptors=settings.descriptors)
        runtime = RealRuntime(
            keep_alive=KEEP_ALIVE, connect_timeout=CONNECT_TIMEOUT, local_calls=True, budget=self.budget
        )
        self.server_connections = ServerConnectionPool(
            header_names=self.header_names, counters=Counters(owner=settings.name), budget=self.budget
        )
        self.node = SidecarNode(settings=settings, runtime=runtime, serve=self.server_connections.serve)
        self.node.abandoned_bodies = AbandonedBodies(budget=self.budget)
        self.server_connections.counters = self.node.counters

    async def _open(self) -> None:
        await self.node.start()
        ingress = IngressHandler(node=self.node, header_names=self.header_names)
        self.listener = await open_listener(
            address=self.sidecar_settings.door,
            handler=ingress.handle,
            idle=timedelta(seconds=60),
            budget=self.budget,
            limits=ingress.limits,
        )
        self.admin_listeners = await self.open_admin_listeners()

    async def open_admin_listeners(self) -> list[web.BaseRunner]:
        """Listen for readiness checks and health reports; a platform overrides this with its own API."""
        return [*await AdminApi(node=self.node, settings=self.sidecar_settings).open()]

    async def stop(self, exception: Exception | None = None) -> None:
        """Shut down gracefully, within the grace period of the settings."""
        await self._finish_requests()
        closing = self.grace() * CLOSING_SHARE
        try:
            async with asyncio.timeout(closing.total_seconds() * CLOSING_BOUND):
                await self._close(wait=min(UNREAD_WAIT, closing / 4))
        except TimeoutError:
            logger.warning("{}: the listeners did not close in time", self.sidecar_settings.name)

    async def _finish_requests(self) -> None:
        await self.node.wind_down(quiet=QUIET, most=self.grace() * (1 - CLOSING_SHARE))

    def grace(self) -> timedelta:
        """Return the current grace period for a shutdown."""
        # A signal may ask for it before the node is there.
        settings = self.node.sidecar_settings if hasattr(self, "node") else self.sidecar_settings
        return timedelta(seconds=settings.grace_seconds)

    async def _close(self, *, wait: timedelta) -> None:
        await asyncio.gather(
            close_listener(self.listener, wait=wait), *(runner.cleanup() for runner in self.admin_listeners)
        )
        await self.node.stop()
        self.server_connections.close()
