"""The proxy under bundles as a service: opens and closes node, local-server client and listeners in order."""

import asyncio
from datetime import timedelta

from aiomisc import Service

from hoistsaddle.common.settings import ProxySettings
from hoistsaddle.proxy.listener import ProxyListener
from hoistsaddle.proxy.messages import RunOnServer
from hoistsaddle.proxy.node import ProxyNode
from hoistsaddle.proxy.server_client import ServerClient
from hoistsaddle.rpc.runtime import RealRuntime

# How long requests that are still unread in a connection get "not run" as their answer, before connections are closed.
UNREAD_WAIT = timedelta(milliseconds=700)


class ProxyService(Service):
    """The service of one proxy process."""

    def __init__(self, *, settings: ProxySettings) -> None:
        """Create the service."""
        super().__init__()
        self.proxy_settings = settings

    async def start(self) -> None:
        """Open the node first, so that requests at the listeners can be forwarded, and then the listeners."""
        settings = self.proxy_settings
        runtime = RealRuntime(line_faults=settings.line_faults)
        self.node = ProxyNode(settings=settings, runtime=runtime, run_server=self._run_server)
        self.server_client = ServerClient(counters=self.node.counters)
        await self.node.start()
        listener = ProxyListener(node=self.node)
        self.runners = [
            await listener.open(settings.clients, inner=False),
            await listener.open(settings.inner, inner=True),
        ]
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        """Shut down gracefully."""
        await self.node.finish()
        # The listeners close to new connections first.
        for runner in self.runners:
            for site in list(runner.sites):
                await site.stop()
        await asyncio.sleep(UNREAD_WAIT.total_seconds())
        await self.node.settle()
        for runner in self.runners:
            await runner.cleanup()
        await self.node.stop()
        self.server_client.close()

    async def _run_server(self, command: RunOnServer) -> tuple:
        return await self.server_client.run(command)
