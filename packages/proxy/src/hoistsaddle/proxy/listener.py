"""The HTTP listeners of a proxy under bundles: one for clients, one for the local server's calls and health reports."""

import hashlib
from datetime import timedelta

from aiohttp import web
from returns.result import Failure, Success

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.bundle_checks import MAX_BODY_BYTES
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
from hoistsaddle.proxy.messages import ANSWERED, REFUSED, AnswerClient, HealthReported, RequestArrived
from hoistsaddle.proxy.node import ProxyNode
from hoistsaddle.proxy.request_checks import clean_headers, header_error, path_error
from hoistsaddle.statemachine.state import GONE

USAGE_PATH = "/hoistsaddle/usage"
USAGE_FIELDS = ("service", "entry", "caller", "outcome", "requests", "further_sends", "body_bytes", "answer_bytes")
# Slightly more than the largest body, so that a body just over the limit is refused with a reason.
MAX_REQUEST_BYTES = MAX_BODY_BYTES + 1024
SHUTDOWN_TIMEOUT = timedelta(seconds=5)
# The number of hex digits of the digest that identifies a client to servers.
CLIENT_DIGEST_LENGTH = 32


class ProxyListener:
    """Converts HTTP requests into events for the proxy's core, and the core's answers into responses."""

    def __init__(self, *, node: ProxyNode) -> None:
        self.node = node
        self._counters_api = CountersApi(counters=node.counters)

    async def open(self, address: str, *, inner: bool) -> web.AppRunner:
        """Listen at this address; `inner` is for the local server, otherwise for clients."""
        application = web.Application(client_max_size=MAX_REQUEST_BYTES)
        application.router.add_get(READY_PATH, self._ready)
        self._counters_api.add_routes(application)
        application.router.add_get(USAGE_PATH, self._usage)
        application.router.add_get(HOLDS_PATH, self._holds)
        if inner:
            application.router.add_post(HEALTH_PATH, self._receive_health_report)
        application.router.add_route(
            "*", "/{tail:.*}", self._handle_server_call if inner else self._handle_client_request
        )
        return await open_application(application, address=address, shutdown_timeout=SHUTDOWN_TIMEOUT)

    async def _ready(self, request: web.Request) -> web.Response:
        core = self.node.core
        error = core.ready()
        state = {
            "ready": error is None,
            "bundle": core.view.bundle_number,
            "revision": core.view.revision,
            "server": core.server_state(),
            "life": self.node.incarnation,
        }
        if error is not None:
            state["why"] = error.describe()
        return web.json_response(state, status=200 if error is None else 503)

    async def _holds(self, request: web.Request) -> web.Response:
        """Return this proxy's retry budgets by service."""
        budgets = retry_budgets(self.node.core.ingress.retry_budget, now=self.node.runtime.now())
        return web.json_response({"stall": self.node.settings.name, "room": budgets})

    async def _usage(self, request: web.Request) -> web.Response:
        usage = [
            dict(zip(USAGE_FIELDS, (*key, *amounts), strict=True))
            for key, amounts in sorted(self.node.core.ingress.usage.items())
        ]
        return web.json_response({"stall": self.node.settings.name, "life": self.node.incarnation, "usage": usage})

    async def _receive_health_report(self, request: web.Request) -> web.Response:
        match read_health_report(await request.read(), HealthReport):
            case Failure(error):
                return refuse(error)
            case Success(report):
                pass
        self.node.feed(HealthReported(report.service, report.instance, report.address, report.state))
        return web.json_response({"heard": True})

    async def _handle_client_request(self, request: web.Request) -> web.Response:
        # Servers receive a digest of the client's credentials or, without any, of its address.
        credentials = request.headers.get("Authorization") or request.headers.get("Cookie") or f"from {request.remote}"
        client = hashlib.sha256(credentials.encode(errors="surrogateescape")).hexdigest()[:CLIENT_DIGEST_LENGTH]
        return await self._handle_request(request, caller="", client=client)

    async def _handle_server_call(self, request: web.Request) -> web.Response:
        server = self.node.core.server
        if server is None or self.node.core.server_state() == GONE:
            error = MeshError(
                ErrorKind.NO_SERVER,
                "No server has reported its health to this proxy.",
                "Post health reports to /hoistsaddle/vitals first.",
            )
            return self._respond(AnswerClient(0, REFUSED, 403, {}, b"", error, None))
        return await self._handle_request(request, caller=server.service, client=f"service {server.service}")

    async def _handle_request(self, request: web.Request, *, caller: str, client: str) -> web.Response:
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
        header_names = [name.lower() for name in request.headers]
        repeated_headers = tuple(sorted({name for name in header_names if header_names.count(name) > 1}))
        if "idempotency-key" in repeated_headers:
            error = MeshError(
                ErrorKind.REQUEST_BROKEN,
                "The request has several Idempotency-Key headers.",
                "Send one.",
                "Idempotency-Key",
            )
            return self._respond(AnswerClient(0, REFUSED, 400, {}, b"", error, None))
        # This header is not forwarded: it is meant only for the server's own proxy.
        instance = request.headers.get("X-Hoistsaddle-Instance", "") if caller else ""
        answer = await self.node.request(
            lambda ticket: RequestArrived(
                ticket, caller, client, request.method, raw_path, query, headers, body, key, instance, repeated_headers
            )
        )
        return self._respond(answer)

    def _respond(self, answer: AnswerClient) -> web.Response:
        self.node.counters.add(f"outcomes.{answer.outcome}")
        headers = {"X-Hoistsaddle-Outcome": answer.outcome}
        if self.node.core.stopping:
            # A persistent connection would bring the next request to a closing listener.
            headers["Connection"] = "close"
        if answer.retry_after is not None:
            headers["Retry-After"] = str(max(1, round(answer.retry_after.total_seconds())))
        if answer.outcome == ANSWERED or answer.error is None:
            return web.Response(status=answer.status, headers={**answer.headers, **headers}, body=answer.body)
        self.node.counters.add(f"mishaps.{answer.error.kind}")
        # A persistent connection would carry the rest of an unread body.
        return web.json_response(
            {"outcome": answer.outcome, "mishap": answer.error.describe()}, status=answer.status, headers=headers
        )
