"""A proxy's own admin API, for deployments without a platform: readiness, health reports, counters, events, holds."""

from datetime import timedelta
from typing import Annotated, Literal

import msgspec
from aiohttp import web
from returns.result import Failure, Success

from hoistsaddle.common.errors import MeshError
from hoistsaddle.common.reading import plain_name, read_body, whole_number
from hoistsaddle.common.settings import SidecarSettings, check_address, split_address
from hoistsaddle.sidecar.messages import HealthReported
from hoistsaddle.sidecar.node import SidecarNode

_Name = Annotated[str, msgspec.Meta(min_length=1)]


class _Health(msgspec.Struct, frozen=True):
    """What a server says of itself about once a second; what else it says is passed over."""

    service: _Name
    instance: _Name
    address: str
    state: Literal["ready", "winding down", "gone"]
    # How many requests it works on at a time, and for how long it still is slow after its start.
    room: Annotated[int, msgspec.Meta(ge=1, le=100000)] = 1
    cold_seconds: Annotated[float, msgspec.Meta(ge=0, le=86400)] = 0.0


def _refuse(error: MeshError) -> web.Response:
    return web.json_response({"refused": error.describe()}, status=400)


class AdminApi:
    def __init__(self, *, node: SidecarNode, settings: SidecarSettings) -> None:
        self.node = node
        self.settings = settings

    async def open(self) -> list[web.AppRunner]:
        # One address may serve for both; health reports are the own server's affair and taken at its door alone.
        return [
            await self._open(address, health=address == self.settings.health_door)
            for address in dict.fromkeys((self.settings.ready_door, self.settings.health_door))
        ]

    async def _open(self, address: str, *, health: bool) -> web.AppRunner:
        application = web.Application(client_max_size=65536)
        application.router.add_get("/hoistsaddle/ready", self._ready)
        application.router.add_get("/hoistsaddle/counters", self._counters)
        application.router.add_get("/hoistsaddle/happenings", self._happenings)
        application.router.add_get("/hoistsaddle/holds", self._holds)
        if health:
            application.router.add_post("/hoistsaddle/vitals", self._take_health)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=1)
        await runner.setup()
        host, port = split_address(address)
        await web.TCPSite(runner, host, port).start()
        return runner

    async def _ready(self, request: web.Request) -> web.Response:
        core = self.node.core
        error = core.ready()
        state = {
            "ready": error is None,
            "items": len(core.view.item_revisions),
            "revision": core.view.revision,
            "server": core.server_state(),
            "life": self.node.incarnation,
        }
        if error is None:
            return web.json_response(state)
        return web.json_response({**state, "why": error.describe()}, status=503, headers={"Retry-After": "1"})

    async def _counters(self, request: web.Request) -> web.Response:
        return web.json_response(self.node.counters.read())

    async def _happenings(self, request: web.Request) -> web.Response:
        match whole_number(request.query.get("after", "0"), field="after"):
            case Failure(error):
                return _refuse(error)
            case Success(after):
                return web.json_response(self.node.counters.events(after=after))

    async def _holds(self, request: web.Request) -> web.Response:
        """This proxy's room for further sends by service, and what it keeps of the keys it holds."""
        core = self.node.core
        room = {
            name: {
                "part": account.cap.value + account.slots.value,
                "room": round(float(core.further.room(name, now=self.node.runtime.now())), 2),
            }
            for name, account in sorted(core.further.accounts.items())
        }
        kept: dict[str, int] = {}
        for each in core.kept.values():
            standing = "kept" if each.answer is not None else each.standing
            kept[standing] = kept.get(standing, 0) + 1
        return web.json_response({"stall": self.settings.name, "room": room, "keys": kept})

    async def _take_health(self, request: web.Request) -> web.Response:
        match read_body(await request.read(), _Health):
            case Failure(error):
                return _refuse(error)
            case Success(told):
                pass
        wrong = check_address(field="address", address=told.address)
        for field in ("service", "instance"):
            wrong = wrong or plain_name(getattr(told, field), field=field).swap().value_or(None)
        if wrong is not None:
            return _refuse(wrong)
        cold = timedelta(seconds=told.cold_seconds)
        self.node.feed(HealthReported(told.service, told.instance, told.address, told.state, told.room, cold))
        return web.json_response({"heard": True})
