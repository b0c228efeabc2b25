"""The market's own operators' door: patches taken and read back, counters, happenings and the core machines."""

from datetime import timedelta
from pathlib import Path

import msgspec
from aiohttp import web
from aiomisc import Service
from returns.result import Failure, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.common.settings import ControllerParams
from hoistsaddle.config.itemtext import LARGEST_TEXT, read_text
from hoistsaddle.registry.controller import Controller
from hoistsaddle.registry.operators import OperatorDoor, refuse_call
from hoistsaddle.rpc.connection import Pulse
from hoistsaddle.rpc.messages import ReadAnswer
from hoistsaddle.rpc.runtime import RealRuntime

PULSE = Pulse(every=milliseconds(250), span=milliseconds(900))
CONNECT_SPAN = milliseconds(350)
READ_SPAN = timedelta(seconds=3)


class ControllerDoor(OperatorDoor):
    """The calls that mean something where items are in force; the others belong to bundles signed by two."""

    def __init__(self, *, market: Controller) -> None:
        super().__init__(bourse=market.bourse)
        self.market = market

    async def start(self) -> None:
        application = web.Application(client_max_size=LARGEST_TEXT + 1024, middlewares=[self._guard])
        application.add_routes(
            [
                web.put("/items", self.put_items),
                web.get("/items", self.show_items),
                web.get("/core", self.core),
                web.get("/holds", self.holds),
                web.get("/ready", self.ready),
                web.get("/uptake", self.uptake),
                web.get("/counters", self.counters),
                web.get("/happenings", self.happenings),
            ]
        )
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=2)
        await self.runner.setup()
        params = self.market.params
        await web.TCPSite(self.runner, params.host, params.operators_port).start()

    async def put_items(self, request: web.Request) -> web.Response:
        try:
            text = (await request.read()).decode()
        except UnicodeDecodeError:
            return refuse_call(Mishap(MishapKind.ITEM_BROKEN, "It is not UTF-8.", "Save the file as UTF-8.", "body"))
        match read_text(text, json=request.content_type == "application/json"):
            case Failure(mishap):
                return refuse_call(mishap)
            case Success(patch):
                pass
        match await self.market.patch(patch):
            case Failure(mishap):
                return refuse_call(mishap)
            case Success(detail):
                params = self.market.params
                return web.json_response({**detail, "author": params.desk, "signer": params.standing_sign_off})

    async def show_items(self, request: web.Request) -> web.Response:
        match await self.bourse.writer.read(part="standing", known_revision=-1, within=READ_SPAN):
            case Success(ReadAnswer(content=content)):
                standing = {"desk": self.market.params.desk, "standing_sign_off": self.market.params.standing_sign_off}
                return web.json_response({**standing, **msgspec.json.decode(content)})
            case _:
                return refuse_call(
                    Mishap(MishapKind.NO_LEADER, "No warehouse leads now.", "Ask again shortly, or another machine.")
                )


class ControllerService(Service):
    """A market as a service of the house: both core programs and the operators' door, opened and closed in order."""

    def __init__(self, *, params: ControllerParams) -> None:
        super().__init__()
        self.market_params = params

    async def start(self) -> None:
        Path(self.market_params.data_folder).mkdir(parents=True, exist_ok=True)
        runtime = RealRuntime(pulse=PULSE, connect_span=CONNECT_SPAN, home=True)
        self.market = Controller(params=self.market_params, runtime=runtime)
        await self.market.start()
        self.door = ControllerDoor(market=self.market)
        await self.door.start()
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        await self.door.stop()
        await self.market.stop()
