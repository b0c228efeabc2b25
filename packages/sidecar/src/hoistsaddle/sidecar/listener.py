"""The HTTP listener for a sidecar's clients: any method and body, complete requests in and complete responses out."""

import asyncio
import io
import re
from collections.abc import Awaitable, Callable
from contextlib import suppress
from datetime import timedelta

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.connection_writes import write_or_raise
from hoistsaddle.common.errors import BodyTooLarge, MeshError, QueueFull
from hoistsaddle.common.listening import bound_socket, listen_once_free
from hoistsaddle.common.receive_buffers import RECEIVE_BUFFER_BYTES
from hoistsaddle.sidecar.guarded_http import GuardedServer, HttpLimits, OverBudget
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.header_pairs import HOP_BY_HOP, Pairs, pack_pairs, unpack_pairs
from hoistsaddle.sidecar.messages import Reply, RequestArrived
from hoistsaddle.sidecar.node import SidecarNode

LARGEST_HEADER = 262144
# What a connection reads ahead of its handler, in bytes; at twice this, reading is paused.
READ_AHEAD_BYTES = 32768
MAX_PENDING_CONNECTIONS = 1024
# The limit on a request body, in bytes, before there is a configuration.
UNCONFIGURED_BODY = 1024 * 1024
UNAVAILABLE, TOO_LARGE = 503, 413
# Most bodies in progress have been forwarded or given up by then.
BUDGET_RETRY_AFTER = milliseconds(500)
# How a request target in absolute form begins (RFC 9112, 3.2.2).
ABSOLUTE_FORM = "http://"
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
_rewritten = HOP_BY_HOP | {b"date", b"server"}


async def open_listener(
    *,
    address: str,
    handler: Handler,
    idle: timedelta = timedelta(seconds=75),
    budget: ByteBudget | None = None,
    limits: Callable[[], HttpLimits] = HttpLimits,
) -> web.ServerRunner:
    """Listen for plain HTTP.

    Args:
        address: IP address and port.
        handler: responds to each request.
        idle: how long a keep-alive connection may be idle.
        budget: the byte budget of the process; without one only the size of each head is limited.
        limits: returns the limits on clients that are in force now.

    Returns:
        The runner that closes the listener.
    """
    budget = budget or ByteBudget()
    server = GuardedServer(
        handler,
        budget=budget,
        limits=limits,
        access_log=None,
        max_line_size=LARGEST_HEADER,
        max_field_size=LARGEST_HEADER,
        keepalive_timeout=idle.total_seconds(),
        lingering_time=0.5,
        read_bufsize=READ_AHEAD_BYTES,
        # Bodies are forwarded unchanged, whatever their content coding, together with their headers.
        auto_decompress=False,
        # The handler is cancelled when its client disconnects, so that the request is abandoned where that is allowed.
        handler_cancellation=True,
    )
    # Requests that still run when a listener closes have had their grace period, so the close itself is quick.
    runner = web.ServerRunner(server, handle_signals=False, shutdown_timeout=0.2)
    await runner.setup()
    receive_buffer = None if budget.max_bytes is None else RECEIVE_BUFFER_BYTES
    await listen_once_free(lambda: _open_site(runner, address, receive_buffer=receive_buffer), address=address)
    return runner


async def _open_site(runner: web.ServerRunner, address: str, *, receive_buffer: int | None) -> None:
    site = web.SockSite(runner, bound_socket(address, receive_buffer=receive_buffer), backlog=MAX_PENDING_CONNECTIONS)
    try:
        await site.start()
    except OSError:
        # The site is registered with the runner already, which would stop it again at its cleanup.
        await site.stop()
        raise


class IngressHandler:
    """Converts client requests to events of the sidecar's core, and the core's replies to HTTP responses."""

    def __init__(self, *, node: SidecarNode, header_names: HeaderNames) -> None:
        self.node = node
        self.header_names = header_names

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one HTTP request."""
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            with suppress(ConnectionResetError):
                write_or_raise(request.transport, b"HTTP/1.1 100 Continue\r\n\r\n")
        items = self.node.core.view.items
        if items is not None:
            handler: RequestHandler = request.protocol
            # The configured idle timeout may change while a connection is open.
            handler._keepalive_timeout = items.limits.idle_seconds
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            body = await _read_body(request, max_bytes=UNCONFIGURED_BODY if items is None else items.limits.body_bytes)
        except OverBudget:
            error = QueueFull("The byte budget of this process is used up.", remedy="Retry later, or elsewhere.")
            return self._refuse(UNAVAILABLE, error, retry_after=BUDGET_RETRY_AFTER)
        except _BodyOverLimit:
            return self._refuse(TOO_LARGE, BodyTooLarge("The body is over its limit.", field="body"))
        host, path, raw = _read_target(request)
        budget = _milliseconds(request.headers.get(self.header_names.budget))
        if budget is not None:
            # The budget counts from the request's first byte: a large body on a slow link may use up much of it.
            budget -= timedelta(seconds=loop.time() - began)
        answer = await self.node.handle_request(
            lambda ticket: RequestArrived(
                ticket,
                request.method,
                host.partition(":")[0].lower(),
                path,
                pack_pairs(raw),
                sum(len(name) + len(value) + 4 for name, value in raw),
                body,
                budget,
                request.headers.get(self.header_names.key, ""),
                request.headers.get(self.header_names.client_attempt_id, ""),
            )
        )
        return self._respond(answer)

    def limits(self) -> HttpLimits:
        """Return the configured limits on clients, or the defaults before there is a configuration."""
        items = self.node.core.view.items
        if items is None:
            return HttpLimits()
        limits = items.limits
        return HttpLimits(
            limits.header_bytes,
            timedelta(seconds=limits.header_seconds),
            timedelta(seconds=limits.idle_seconds),
        )

    def _refuse(self, status: int, error: MeshError, *, retry_after: timedelta | None = None) -> web.Response:
        """Refuse a request whose body is incomplete: it has not run, and its connection is closed."""
        response = web.json_response({"error": str(error)}, status=status)
        self.node.counters.add(f"replies.{status}.{error.kind}")
        if retry_after is not None:
            response.headers["Retry-After"] = f"{retry_after.total_seconds():.3f}"
        response.force_close()
        return response

    def _respond(self, answer: Reply) -> web.Response:
        counters = self.node.counters
        if answer.error is None:
            response = web.Response(status=answer.status, body=answer.body)
            response.headers.pop("Content-Type", None)
            for name, value in unpack_pairs(answer.headers):
                if name.lower() not in _rewritten:
                    response.headers.add(name.decode("utf-8", "replace"), value.decode("utf-8", "replace"))
            counters.add("replies.answered")
        else:
            response = web.json_response({"error": str(answer.error)}, status=answer.status)
            counters.add(f"replies.{answer.status}.{answer.error.kind}")
        if answer.retry_after is not None:
            response.headers["Retry-After"] = f"{answer.retry_after.total_seconds():.3f}"
        if self.node.core.stopping:
            # On a keep-alive connection the next request would reach a listener that is closing.
            response.force_close()
        return response


class _BodyOverLimit(Exception):
    """The body received so far is over its limit."""


async def _read_body(request: web.BaseRequest, *, max_bytes: int) -> bytes:
    """Return a request's body; the library's own limit would also enlarge its buffers to that size."""
    # Its value is taken without a copy.
    with io.BytesIO() as body:
        # It is closed by errors too: the stream keeps the error that ended it, and so whatever is open here.
        while chunk := await request.content.readany():
            body.write(chunk)
            if body.tell() > max_bytes:
                raise _BodyOverLimit
        return body.getvalue()


def _read_target(request: web.BaseRequest) -> tuple[str, str, Pairs]:
    """Return a request's host, its path with query, and its headers.

    A target in absolute form takes precedence over the Host header, which is forwarded with the target's host instead.
    """
    target, headers = request.raw_path, request.raw_headers
    if not target.lower().startswith(ABSOLUTE_FORM):
        return request.headers.get("Host") or "", target, headers
    authority = re.split("[/?]", target[len(ABSOLUTE_FORM) :], maxsplit=1)[0]
    path = target[len(ABSOLUTE_FORM) + len(authority) :]
    host = authority.encode("utf-8", "surrogateescape")
    changed = [(name, host) if name.lower() == b"host" else (name, value) for name, value in headers]
    return authority, path if path.startswith("/") else f"/{path}", changed


def _milliseconds(text: str | None) -> timedelta | None:
    try:
        return None if text is None else timedelta(milliseconds=max(0.0, float(text)))
    except (ValueError, OverflowError):
        return None


async def close_listener(runner: web.ServerRunner, *, wait: timedelta) -> None:
    """Close a listener, for new connections first: an open one may hold a request that has not been read yet.

    Args:
        runner: the runner of the listener.
        wait: how long such requests are still handled.
    """
    for site in list(runner.sites):
        await site.stop()
    await asyncio.sleep(wait.total_seconds())
    await runner.cleanup()
