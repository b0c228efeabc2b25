"""A sidecar's HTTP API for deployments without a platform: readiness, health reports, counters, events, key claims."""

from datetime import timedelta
from typing import Annotated

import msgspec
from aiohttp import web
from returns.result import Failure, Success

from hoistsaddle.common.settings import SidecarSettings
from hoistsaddle.proxy.admin_api import (
    HEALTH_PATH,
    HOLDS_PATH,
    READY_PATH,
    CountersApi,
    HealthReport,
    open_application,
    read_health_report,
    refuse,
    retry_budgets,
)
from hoistsaddle.sidecar.messages import HealthReported
from hoistsaddle.sidecar.node import SidecarNode

MAX_BODY_BYTES = 65536
SHUTDOWN_TIMEOUT = timedelta(seconds=1)

_Name = Annotated[str, msgspec.Meta(min_length=1)]


class _HealthReport(HealthReport, frozen=True):
    """A health report with the data that load balancing needs."""

    service: _Name
    instance: _Name
    # How many requests it runs concurrently, and how long it will still be slow after its start.
    room: Annotated[int, msgspec.Meta(ge=1, le=100000)] = 1
    cold_seconds: Annotated[float, msgspec.Meta(ge=0, le=86400)] = 0.0


class AdminApi:
    """The listeners for readiness checks and health reports; both also serve counters, events and key claims."""

    def __init__(self, *, node: SidecarNode, settings: SidecarSettings) -> None:
        self._node = node
        self._settings = settings
        self._counters_api = CountersApi(counters=node.counters)

    async def open(self) -> list[web.AppRunner]:
        """Open the listeners. Both may share one address; health reports are accepted only at their own."""
        addresses = dict.fromkeys((self._settings.ready_door, self._settings.health_door))
        return [await self._open(address, health=address == self._settings.health_door) for address in addresses]

    async def _open(self, address: str, *, health: bool) -> web.AppRunner:
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_get(READY_PATH, self._ready)
        application.router.add_get(HOLDS_PATH, self._holds)
        self._counters_api.add_routes(application)
        if health:
            application.router.add_post(HEALTH_PATH, self._take_health)
        return await open_application(application, address=address, shutdown_timeout=SHUTDOWN_TIMEOUT)

    async def _ready(self, request: web.Request) -> web.Response:
        core = self._node.core
        error = core.ready()
        state = {
            "ready": error is None,
            "items": len(core.view.item_revisions),
            "revision": core.view.revision,
            "server": core.server_state(),
            "life": self._node.incarnation,
        }
        if error is None:
            return web.json_response(state)
        return web.json_response({**state, "why": error.describe()}, status=503, headers={"Retry-After": "1"})

    async def _holds(self, request: web.Request) -> web.Response:
        """Return this sidecar's retry budget by service, and the number of its key claims by state."""
        ingress = self._node.core.ingress
        budgets = retry_budgets(ingress.retries.budget, now=self._node.runtime.now())
        return web.json_response(
            {"stall": self._settings.name, "room": budgets, "keys": ingress.keys.records.count_by_state()}
        )

    async def _take_health(self, request: web.Request) -> web.Response:
        match read_health_report(await request.read(), _HealthReport):
            case Failure(error):
                return refuse(error)
            case Success(report):
                pass
        warm_up = timedelta(seconds=report.cold_seconds)
        error = await self._node.report_server(
            HealthReported(report.service, report.instance, report.address, report.state, report.room, warm_up)
        )
        if error is None:
            return web.json_response({"heard": True})
        return web.json_response({"refused": error.describe()}, status=503, headers={"Retry-After": "0.2"})
