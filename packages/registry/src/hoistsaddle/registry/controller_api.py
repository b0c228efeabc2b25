"""The HTTP interface of a controller for operators, and the service that runs a controller."""

import asyncio
from datetime import timedelta

from aiohttp import web
from aiomisc import Service
from returns.result import Failure, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import InvalidItem
from hoistsaddle.common.settings import ControllerSettings
from hoistsaddle.config.patch_text import MAX_TEXT_BYTES, read_text
from hoistsaddle.registry.controller import Controller
from hoistsaddle.registry.http_server import HttpListener, answer_or_refuse, refuse_call
from hoistsaddle.registry.report_api import JSON, ReportApi
from hoistsaddle.rpc.connection import KeepAlive
from hoistsaddle.rpc.runtime import RealRuntime

KEEP_ALIVE = KeepAlive(interval=milliseconds(250), timeout=milliseconds(900))
CONNECT_TIMEOUT = milliseconds(350)
READ_TIMEOUT = timedelta(seconds=3)
# Slightly larger than the largest text, so that the check of the text refuses longer ones, with a reason.
MAX_BODY_BYTES = MAX_TEXT_BYTES + 1024


class ControllerApi:
    """HTTP handlers for operators of a mesh whose configuration is a set of items; they take no signed bundles."""

    def __init__(self, *, controller: Controller) -> None:
        """Serves the operators' address of this controller."""
        self.controller = controller
        self.reports = ReportApi(registry=controller.registry)
        self.listener = HttpListener(routes=self.routes(), max_body_bytes=MAX_BODY_BYTES)

    def routes(self) -> list[web.RouteDef]:
        """The calls by their documented paths."""
        return [web.put("/items", self.put_items), web.get("/items", self.show_items), *self.reports.routes()]

    async def start(self) -> None:
        """Opens the operators' address."""
        settings = self.controller.settings
        await self.listener.start(host=settings.host, port=settings.operators_port)

    async def stop(self) -> None:
        """Closes the operators' address."""
        await self.listener.stop()

    async def put_items(self, request: web.Request) -> web.Response:
        """Submits a patch in TOML, or in JSON if its content type says so."""
        try:
            text = (await request.read()).decode()
        except UnicodeDecodeError:
            return refuse_call(InvalidItem("The body is not UTF-8.", field="body", remedy="Save the file as UTF-8."))
        match read_text(text, json=request.content_type == JSON):
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
        """The items in force, the newest patches and the signers."""
        return answer_or_refuse(await self.controller.patches.report(within=READ_TIMEOUT))


class ControllerService(Service):
    """Runs a controller and its operators' interface, started and stopped in order."""

    def __init__(self, *, settings: ControllerSettings) -> None:
        """Opens no listener before `start`."""
        super().__init__()
        self.controller_settings = settings

    async def start(self) -> None:
        """Opens the mesh addresses and the operators' address.

        If this is cancelled, the controller hands over its roles.
        """
        runtime = RealRuntime(keep_alive=KEEP_ALIVE, connect_timeout=CONNECT_TIMEOUT, local_calls=True)
        self.controller = Controller(settings=self.controller_settings, runtime=runtime)
        await self.controller.start()
        self.operator_api = ControllerApi(controller=self.controller)
        try:
            await self.operator_api.start()
        except asyncio.CancelledError:
            await self.controller.stop()
            raise
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        """Closes the operators' address, then hands over the replica's roles and stops the store and the registry."""
        await self.operator_api.stop()
        await self.controller.stop()
