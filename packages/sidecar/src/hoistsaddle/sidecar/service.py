"""The sidecar as a service: node, connections to the local server and listeners, opened and closed in order."""

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
from hoistsaddle.sidecar.admin_api import AdminApi
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.listener import IngressHandler, close_listener, open_listener
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.sidecar.server_connections import ServerConnectionPool

KEEP_ALIVE = KeepAlive(interval=milliseconds(250), timeout=milliseconds(900))
CONNECT_TIMEOUT = milliseconds(350)
# A stopping sidecar ends once no client has called for so long: the platform then sends its clients elsewhere.
QUIET = milliseconds(500)
# What closing the handlers may take of the grace.
CLOSING_SHARE = 0.15
# The part of that after which they are left as they are: the rest is for what follows, before the last resort acts.
CLOSING_BOUND = 0.75
# How long handlers stay open for a request that stood unread in a connection.
UNREAD_WAIT = milliseconds(150)


class SidecarService(Service):
    """One sidecar process."""

    def __init__(self, *, settings: SidecarSettings, header_names: HeaderNames | None = None) -> None:
        """Make the service; `header_names` are a platform's own, if it has such."""
        super().__init__()
        self.sidecar_settings = settings
        self.header_names = header_names or HeaderNames()

    async def start(self) -> None:
        """Open everything: the node first, so that a request that comes can be forwarded."""
        settings = self.sidecar_settings
        runtime = RealRuntime(keep_alive=KEEP_ALIVE, connect_timeout=CONNECT_TIMEOUT, local_calls=True)
        self.server_connections = ServerConnectionPool(
            header_names=self.header_names, counters=Counters(owner=settings.name)
        )
        self.node = SidecarNode(settings=settings, runtime=runtime, serve=self.server_connections.serve)
        self.server_connections.counters = self.node.counters
        await self.node.start()
        self.budget = ByteBudget(memory_megabytes=settings.memory_megabytes, descriptors=settings.descriptors)
        ingress = IngressHandler(node=self.node, header_names=self.header_names)
        self.listener = await open_listener(
            address=settings.door,
            handler=ingress.handle,
            idle=timedelta(seconds=60),
            budget=self.budget,
            limits=ingress.limits,
        )
        self.admin_listeners = await self.open_admin_listeners()
        self.start_event.set()

    async def open_admin_listeners(self) -> list[web.BaseRunner]:
        """Listen for readiness checks and health reports, in the product's form unless a platform has its own."""
        return [*await AdminApi(node=self.node, settings=self.sidecar_settings).open()]

    async def stop(self, exception: Exception | None = None) -> None:
        """Shut down gracefully, within the grace that the settings give."""
        grace = self.grace()
        closing = grace * CLOSING_SHARE
        await self.node.wind_down(quiet=QUIET, most=grace - closing)
        try:
            async with asyncio.timeout(closing.total_seconds() * CLOSING_BOUND):
                await self._close(wait=min(UNREAD_WAIT, closing / 4))
        except TimeoutError:
            logger.warning("{}: a handler did not close in its time", self.sidecar_settings.name)

    def grace(self) -> timedelta:
        """Return how long a stop may take, as the settings have it now."""
        return timedelta(seconds=self.node.sidecar_settings.grace_seconds)

    async def _close(self, *, wait: timedelta) -> None:
        await asyncio.gather(
            close_listener(self.listener, wait=wait), *(runner.cleanup() for runner in self.admin_listeners)
        )
        await self.node.stop()
        self.server_connections.close()
