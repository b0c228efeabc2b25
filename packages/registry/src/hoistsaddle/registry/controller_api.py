"""The controller's own operators' door: patches taken and read back, counters, happenings and the core machines."""

from datetime import timedelta
from pathlib import Path

import msgspec
from aiohttp import web
from aiomisc import Service
from returns.result import Failure, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.common.settings import ControllerSettings
from hoistsaddle.config.patch_text import MAX_TEXT_BYTES, read_text
from hoistsaddle.registry.controller import Controller
from hoistsaddle.registry.operator_api import OperatorApi, refuse_call
from hoistsaddle.rpc.connection import KeepAlive
from hoistsaddle.rpc.messages import ReadAnswer
from hoistsaddle.rpc.runtime import RealRuntime

KEEP_ALIVE = KeepAlive(interval=milliseconds(250), timeout=milliseconds(900))
CONNECT_TIMEOUT = milliseconds(350)
READ_TIMEOUT = timedelta(seconds=3)


class ControllerApi(OperatorApi):
    """The calls that mean something where items are in force; the others belong to bundles signed by two."""

    def __init__(self, *, controller: Controller) -> None:
        super().__init__(registry=controller.registry)
        self.controller = controller

    async def start(self) -> None:
        application = web.Application(client_max_size=MAX_TEXT_BYTES + 1024, middlewares=[self._guard])
        application.add_routes(
            [
                web.put("/items", self.put_items),
                web.get("/items", self.show_items),
                web.get("/core", self.core),
                web.get("/holds", self.holds),
                web.get("/ready", self.ready),
                web.get("/uptake", self.applied_version),
                web.get("/counters", self.counters),
                web.get("/happenings", self.events),
            ]
        )
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=2)
        await self.runner.setup()
        settings = self.controller.settings
        await web.TCPSite(self.runner, settings.host, settings.operators_port).start()

    async def put_items(self, request: web.Request) -> web.Response:
        try:
            text = (await request.read()).decode()
        except UnicodeDecodeError:
            return refuse_call(MeshError(ErrorKind.ITEM_BROKEN, "It is not UTF-8.", "Save the file as UTF-8.", "body"))
        match read_text(text, json=request.content_type == "application/json"):
            case Failure(error):
                return refuse_call(error)
            case Success(patch):
                pass
        match await self.controller.patch(patch):
            case Failure(error):
                return refuse_call(error)
            case Success(detail):
                settings = self.controller.settings
                return web.json_response({**detail, "author": settings.desk, "signer": settings.standing_sign_off})

    async def show_items(self, request: web.Request) -> web.Response:
        match await self.registry.writer.read(part="standing", known_revision=-1, within=READ_TIMEOUT):
            case Success(ReadAnswer(content=content)):
                standing = {
                    "desk": self.controller.settings.desk,
                    "standing_sign_off": self.controller.settings.standing_sign_off,
                }
                return web.json_response({**standing, **msgspec.json.decode(content)})
            case _:
                return refuse_call(
                    MeshError(ErrorKind.NO_LEADER, "No store leads now.", "Ask again shortly, or another machine.")
                )


class ControllerService(Service):
    """A controller as a service: both core programs and the operators' listener, opened and closed in order."""

    def __init__(self, *, settings: ControllerSettings) -> None:
        super().__init__()
        self.controller_settings = settings

    async def start(self) -> None:
        Path(self.controller_settings.data_folder).mkdir(parents=True, exist_ok=True)
        runtime = RealRuntime(keep_alive=KEEP_ALIVE, connect_timeout=CONNECT_TIMEOUT, local_calls=True)
        self.controller = Controller(settings=self.controller_settings, runtime=runtime)
        await self.controller.start()
        self.door = ControllerApi(controller=self.controller)
        await self.door.start()
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        await self.door.stop()
        await self.controller.stop()
