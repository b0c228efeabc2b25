"""A stall that serves items as a service of the house: node, server line and door, opened and closed in order."""

import asyncio
from datetime import timedelta

from aiohttp import web
from aiomisc import Service
from loguru import logger

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.settings import SidecarParams
from hoistsaddle.rpc.connection import Pulse
from hoistsaddle.rpc.runtime import RealRuntime
from hoistsaddle.sidecar.door import Door, close_door, open_door
from hoistsaddle.sidecar.node import SidecarNode
from hoistsaddle.sidecar.serverconnection import ServerLine
from hoistsaddle.sidecar.sidedoors import SideDoors
from hoistsaddle.sidecar.wording import Wording

PULSE = Pulse(every=milliseconds(250), span=milliseconds(900))
CONNECT_SPAN = milliseconds(350)
# A stopping stall ends once nobody has called its door for so long: the platform then sends its visitors elsewhere.
QUIET = milliseconds(500)
# What closing the handlers may take of the grace.
CLOSING_SHARE = 0.15
# The part of that after which they are left as they are: the rest is for what follows, before the last resort acts.
CLOSING_BOUND = 0.75
# How long handlers stay open for a request that stood unread in a connection.
UNREAD_WAIT = milliseconds(150)


class SidecarService(Service):
    def __init__(self, *, params: SidecarParams, wording: Wording | None = None) -> None:
        super().__init__()
        self.broker_params = params
        self.wording = wording or Wording()

    async def start(self) -> None:
        params = self.broker_params
        runtime = RealRuntime(pulse=PULSE, connect_span=CONNECT_SPAN, home=True)
        self.server_line = ServerLine(wording=self.wording, counters=Counters(owner=params.name))
        self.node = SidecarNode(params=params, runtime=runtime, serve=self.server_line.serve)
        self.server_line.counters = self.node.counters
        await self.node.start()
        self.door = await open_door(
            address=params.door, handler=Door(node=self.node, wording=self.wording).handle, idle=timedelta(seconds=60)
        )
        self.side_doors = await self.open_side_doors()
        self.start_event.set()

    async def open_side_doors(self) -> list[web.BaseRunner]:
        """Where readiness is asked and vitals are told: in the product's words, unless a platform has its own."""
        return [*await SideDoors(node=self.node, params=self.broker_params).open()]

    async def stop(self, exception: Exception | None = None) -> None:
        grace = self.grace()
        closing = grace * CLOSING_SHARE
        await self.node.wind_down(quiet=QUIET, most=grace - closing)
        try:
            async with asyncio.timeout(closing.total_seconds() * CLOSING_BOUND):
                await self._close(wait=min(UNREAD_WAIT, closing / 4))
        except TimeoutError:
            logger.warning("{}: a handler did not close in its time", self.broker_params.name)

    def grace(self) -> timedelta:
        """How long a stop may take, as the settings have it now."""
        return timedelta(seconds=self.node.broker_params.grace_seconds)

    async def _close(self, *, wait: timedelta) -> None:
        await asyncio.gather(close_door(self.door, wait=wait), *(runner.cleanup() for runner in self.side_doors))
        await self.node.stop()
        self.server_line.close()
