"""The proxy's HTTP: a door for clients, one for its own server, and the way to that server."""

import asyncio
import hashlib
from datetime import timedelta
from typing import Literal

import aiohttp
import msgspec
import yarl
from aiohttp import web
from aiomisc import Service
from returns.result import Failure, Success

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.common.reading import plain_name, read_body, whole_number
from hoistsaddle.common.settings import ProxySettings, check_address, split_address
from hoistsaddle.config.bundle_checks import MAX_BODY_BYTES
from hoistsaddle.proxy.messages import (
    ANSWERED,
    REFUSED,
    AnswerClient,
    HealthReported,
    RequestArrived,
    RunOnServer,
    ServerAnswered,
    ServerFailed,
)
from hoistsaddle.proxy.node import ProxyNode
from hoistsaddle.rpc.messages import BundleForwardCall
from hoistsaddle.rpc.runtime import RealRuntime
from hoistsaddle.statemachine.state import GONE

DOOR_WAIT = timedelta(milliseconds=700)
# Hop-by-hop headers and the mesh's own names never pass from one side to the other.
_dropped = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
        "accept-encoding",
        "content-encoding",
    }
)
_mesh_prefix = "x-hoistsaddle-"


def clean_headers(headers) -> dict[str, str]:
    """What a caller says of itself in the mesh's names is stripped: identity comes from the mesh alone."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _dropped and not name.lower().startswith(_mesh_prefix)
    }


def path_error(raw_path: str) -> MeshError | None:
    # A path that two programs could read differently must not pass a gate that compares paths.
    if not raw_path.isascii():
        return MeshError(ErrorKind.REQUEST_BROKEN, "The path is not ASCII.", "Escape it with %.", "path")
    lowered = raw_path.partition("?")[0].lower()
    if any(part in lowered for part in ("%2f", "%2e", "%5c", "%00", "\\", "//", "/../", "/./")) or lowered.endswith(
        ("/..", "/.")
    ):
        return MeshError(
            ErrorKind.REQUEST_BROKEN, "The path has parts that can be read two ways.", "Send a plain path.", "path"
        )
    return None


class _Health(msgspec.Struct, frozen=True):
    """What a server says of itself about once a second; what else it says is passed over."""

    service: str
    instance: str
    address: str
    state: Literal["ready", "winding down", "gone"]


def header_error(headers) -> MeshError | None:
    """Bytes that aren't text can't travel as text: every hop might read them another way."""
    for name, value in headers.items():
        try:
            (name + value).encode()
        except UnicodeEncodeError:
            return MeshError(
                ErrorKind.REQUEST_BROKEN, f"Header {ascii(name)} is not UTF-8.", "Send plain text.", ascii(name)
            )
    return None


class ProxyService(Service):
    def __init__(self, *, settings: ProxySettings) -> None:
        super().__init__()
        self.proxy_settings = settings

    async def start(self) -> None:
        settings = self.proxy_settings
        # Each run has a connection of its own: a kept one may die under a request and tempt a library to repeat it.
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        runtime = RealRuntime(line_faults=settings.line_faults)
        self.node = ProxyNode(settings=settings, runtime=runtime, run_server=self.run_server)
        await self.node.start()
        self.runners = [
            await self._open_door(settings.clients, inner=False),
            await self._open_door(settings.inner, inner=True),
        ]
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        await self.node.finish()
        # The doors close to new connections first. One that stood already may hold a request nobody has read yet: it
        # gets its "not run" in this while, in place of a cut.
        for runner in self.runners:
            for site in list(runner.sites):
                await site.stop()
        await asyncio.sleep(DOOR_WAIT.total_seconds())
        await self.node.settle()
        for runner in self.runners:
            await runner.cleanup()
        await self.node.stop()
        await self.session.close()

    # -- doors -------------------------------------------------------------------------------------------------------

    async def _open_door(self, address: str, *, inner: bool) -> web.AppRunner:
        application = web.Application(client_max_size=MAX_BODY_BYTES + 1024)
        application.router.add_get("/hoistsaddle/ready", self._ready)
        application.router.add_get("/hoistsaddle/counters", self._counters)
        application.router.add_get("/hoistsaddle/happenings", self._happenings)
        application.router.add_get("/hoistsaddle/usage", self._usage)
        application.router.add_get("/hoistsaddle/holds", self._holds)
        if inner:
            application.router.add_post("/hoistsaddle/vitals", self._take_health)
        application.router.add_route("*", "/{tail:.*}", self._inner if inner else self._client)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=5)
        await runner.setup()
        host, port = split_address(address)
        await web.TCPSite(runner, host, port).start()
        return runner

    async def _ready(self, request: web.Request) -> web.Response:
        error = self.node.core.ready()
        state = {
            "ready": error is None,
            "bundle": self.node.core.view.bundle_number,
            "revision": self.node.core.view.revision,
            "server": self.node.core.server_state(),
            "life": self.node.incarnation,
        }
        if error is not None:
            state["why"] = error.describe()
        return web.json_response(state, status=200 if error is None else 503)

    async def _counters(self, request: web.Request) -> web.Response:
        return web.json_response(self.node.counters.read())

    async def _happenings(self, request: web.Request) -> web.Response:
        match whole_number(request.query.get("after", "0"), field="after"):
            case Failure(error):
                return web.json_response({"refused": error.describe()}, status=400)
            case Success(after):
                return web.json_response(self.node.counters.events(after=after))

    async def _holds(self, request: web.Request) -> web.Response:
        """This proxy's room for further sends, by service."""
        core = self.node.core
        room = {
            name: {
                "part": account.cap.value + account.slots.value,
                "room": round(float(core.further.room(name, now=self.node.runtime.now())), 2),
            }
            for name, account in sorted(core.further.accounts.items())
        }
        return web.json_response({"stall": self.proxy_settings.name, "room": room})

    async def _usage(self, request: web.Request) -> web.Response:
        names = ("service", "entry", "caller", "outcome", "requests", "further_sends", "body_bytes", "answer_bytes")
        usage = [
            dict(zip(names, (*key, *amounts), strict=True)) for key, amounts in sorted(self.node.core.usage.items())
        ]
        return web.json_response({"stall": self.proxy_settings.name, "life": self.node.incarnation, "usage": usage})

    async def _take_health(self, request: web.Request) -> web.Response:
        match read_body(await request.read(), _Health):
            case Failure(error):
                return web.json_response({"refused": error.describe()}, status=400)
            case Success(told):
                pass
        wrong = check_address(field="address", address=told.address)
        for field in ("service", "instance"):
            wrong = wrong or plain_name(getattr(told, field), field=field).swap().value_or(None)
        if wrong is not None:
            return web.json_response({"refused": wrong.describe()}, status=400)
        self.node.feed(HealthReported(told.service, told.instance, told.address, told.state))
        return web.json_response({"heard": True})

    async def _client(self, request: web.Request) -> web.Response:
        # What servers are told of a client: a digest of its credentials, or else of where it calls from.
        shown = request.headers.get("Authorization") or request.headers.get("Cookie") or f"from {request.remote}"
        client = hashlib.sha256(shown.encode(errors="surrogateescape")).hexdigest()[:32]
        return await self._request(request, caller="", client=client)

    async def _inner(self, request: web.Request) -> web.Response:
        server = self.node.core.server
        if server is None or self.node.core.server_state() == GONE:
            error = MeshError(
                ErrorKind.NO_SERVER,
                "No server has reported its health here.",
                "Post health reports to /hoistsaddle/vitals first.",
            )
            return self._respond(AnswerClient(0, REFUSED, 403, {}, b"", error, None))
        return await self._request(request, caller=server.service, client=f"service {server.service}")

    async def _request(self, request: web.Request, *, caller: str, client: str) -> web.Response:
        raw_path, _, query = request.raw_path.partition("?")
        if (error := path_error(request.raw_path) or header_error(request.headers)) is not None:
            return self._respond(AnswerClient(0, REFUSED, 400, {}, b"", error, None))
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            error = MeshError(
                ErrorKind.BODY_TOO_LARGE, f"The body is over {MAX_BODY_BYTES} bytes.", "Send a smaller body.", "body"
            )
            return self._respond(AnswerClient(0, REFUSED, 413, {}, b"", error, None))
        self.node.counters.add("requests.inner" if caller else "requests.visitors")
        headers, key = clean_headers(request.headers), request.headers.get("Idempotency-Key", "")
        came = [name.lower() for name in request.headers]
        twice = tuple(sorted({name for name in came if came.count(name) > 1}))
        if "idempotency-key" in twice:
            error = MeshError(ErrorKind.REQUEST_BROKEN, "Two keys came.", "Send one.", "Idempotency-Key")
            return self._respond(AnswerClient(0, REFUSED, 400, {}, b"", error, None))
        # Stripped from the headers that go on: it is the server's word to its own proxy.
        instance = request.headers.get("X-Hoistsaddle-Instance", "") if caller else ""
        answer = await self.node.request(
            lambda ticket: RequestArrived(
                ticket, caller, client, request.method, raw_path, query, headers, body, key, instance, twice
            )
        )
        return self._respond(answer)

    def _respond(self, answer: AnswerClient) -> web.Response:
        self.node.counters.add(f"outcomes.{answer.outcome}")
        headers = {"X-Hoistsaddle-Outcome": answer.outcome}
        if self.node.core.stopping:
            # A kept connection would bring the next request to a door that closes.
            headers["Connection"] = "close"
        if answer.retry_after is not None:
            headers["Retry-After"] = str(max(1, round(answer.retry_after.total_seconds())))
        if answer.outcome == ANSWERED:
            return web.Response(status=answer.status, headers={**answer.headers, **headers}, body=answer.body)
        self.node.counters.add(f"mishaps.{answer.error.kind}")
        # A kept connection would carry the rest of a body nobody read.
        return web.json_response(
            {"outcome": answer.outcome, "mishap": answer.error.describe()}, status=answer.status, headers=headers
        )

    # -- the server beside it

    async def run_server(self, command: RunOnServer) -> tuple:
        call = command.call
        headers = {
            **call.headers,
            "X-Hoistsaddle-Caller": call.caller,
            "X-Hoistsaddle-Visitor": call.client,
            "X-Hoistsaddle-Send": call.send,
            "X-Hoistsaddle-Service": call.service_name,
            "X-Hoistsaddle-Instance": call.instance,
            "X-Hoistsaddle-Ordinal": str(call.ordinal),
        }
        silent = MeshError(
            ErrorKind.SILENT,
            "The server gave no whole answer.",
            "Ask what became of the request before sending it again.",
        )
        broken = MeshError(
            ErrorKind.ANSWER_BROKEN,
            "The server's answer is not whole JSON.",
            "Ask what became of the request before sending it again.",
        )
        try:
            # The path goes on byte for byte as it was admitted.
            timeout = aiohttp.ClientTimeout(total=command.within.total_seconds())
            async with self.session.request(
                call.method,
                yarl.URL(f"http://{command.address}{call.path}", encoded=True),
                headers=headers,
                data=call.body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as answer:
                body = await answer.content.read(MAX_BODY_BYTES + 1)
                while not answer.content.at_eof() and len(body) <= MAX_BODY_BYTES:
                    body += await answer.content.read(MAX_BODY_BYTES + 1 - len(body))
                error = self._answer_error(call, answer, body)
                if error is None:
                    return ServerAnswered(command.number, answer.status, clean_headers(answer.headers), body)
        except aiohttp.ClientConnectorError:
            return ServerFailed(
                command.number,
                True,
                MeshError(ErrorKind.UNREACHABLE, "The server takes no connection.", "Send it elsewhere."),
            )
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError):
            error = broken
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            error = silent
        self.node.counters.add(f"runs.{error.kind}")
        return ServerFailed(command.number, False, error)

    @staticmethod
    def _answer_error(call: BundleForwardCall, answer: aiohttp.ClientResponse, body: bytes) -> MeshError | None:
        """Whole and readable, or not passed on at all."""
        if len(body) > MAX_BODY_BYTES or (not call.hold and len(body) > call.answer_bytes):
            return MeshError(
                ErrorKind.ANSWER_TOO_LARGE,
                "The answer is over its limit.",
                "Raise answer_bytes in a bundle, or have the server say less.",
                "answer_bytes",
            )
        length = answer.headers.get("Content-Length")
        chunked = "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
        # An answer that ends only where its connection ends may have been cut anywhere.
        unmarked = bool(body) and length is None and not chunked
        short = length is not None and call.method != "HEAD" and length != str(len(body))
        if unmarked or short or "Content-Encoding" in answer.headers:
            return MeshError(
                ErrorKind.ANSWER_BROKEN,
                "Nothing shows that the answer is whole.",
                "Have the server send Content-Length and plain JSON.",
            )
        if body:
            try:
                msgspec.json.decode(body)
            except msgspec.DecodeError:
                return MeshError(ErrorKind.ANSWER_BROKEN, "The answer is not JSON.", "Look at the server's log.")
        return None
