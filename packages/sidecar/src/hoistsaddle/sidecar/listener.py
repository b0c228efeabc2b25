"""The HTTP listener for clients of a sidecar: any method, any bytes, complete requests in and complete answers out."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from datetime import timedelta

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from hoistsaddle.common.listening import listen_once_free
from hoistsaddle.common.settings import split_address
from hoistsaddle.sidecar.header_names import HeaderNames
from hoistsaddle.sidecar.header_pairs import HOP_BY_HOP, Pairs, pack_pairs, unpack_pairs
from hoistsaddle.sidecar.messages import Reply, RequestArrived
from hoistsaddle.sidecar.node import SidecarNode

LARGEST_HEADER = 262144
# How a request target in absolute form begins (RFC 9112, 3.2.2).
ABSOLUTE_FORM = "http://"
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
_rewritten = HOP_BY_HOP | {b"date", b"server"}


async def open_listener(*, address: str, handler: Handler, idle: timedelta = timedelta(seconds=75)) -> web.ServerRunner:
    """Listen for plain HTTP; the runner closes it.

    Args:
        address: IP number and port.
        handler: answers each request.
        idle: how long a kept connection may stand unused.
    """
    server = web.Server(
        handler,
        access_log=None,
        max_line_size=LARGEST_HEADER,
        max_field_size=LARGEST_HEADER,
        keepalive_timeout=idle.total_seconds(),
        lingering_time=0.5,
        # Bodies go on byte for byte, whatever coding they are in: their headers go on too.
        auto_decompress=False,
        # A client that leaves ends its handler: what it asked for is given up where that is allowed.
        handler_cancellation=True,
    )
    # What still runs when a listener closes had its time before: closing itself is quick.
    runner = web.ServerRunner(server, handle_signals=False, shutdown_timeout=0.2)
    await runner.setup()
    await listen_once_free(lambda: _open_site(runner, address), address=address)
    return runner


async def _open_site(runner: web.ServerRunner, address: str) -> None:
    host, port = split_address(address)
    site = web.TCPSite(runner, host, port, backlog=1024, reuse_address=True)
    try:
        await site.start()
    except OSError:
        # It is the runner's already, which would close it at its end.
        await site.stop()
        raise


class IngressHandler:
    """Turns HTTP requests of clients into events of the sidecar's core, and its replies into responses."""

    def __init__(self, *, node: SidecarNode, header_names: HeaderNames) -> None:
        self.node = node
        self.header_names = header_names

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        items = self.node.core.view.items
        if items is not None:
            request._client_max_size = 0
            handler: RequestHandler = request.protocol
            # The operators' limit on silence may change under an open connection.
            handler._keepalive_timeout = items.limits.idle_seconds
        loop = asyncio.get_running_loop()
        began = loop.time()
        body = await request.read()
        host, path, raw = _read_target(request)
        budget = _milliseconds(request.headers.get(self.header_names.budget))
        if budget is not None:
            # Its client's time runs from its first byte: a large body on a thin link may use up much of it.
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
            # A kept connection would bring the next request to a listener that closes.
            response.force_close()
        return response


def _read_target(request: web.BaseRequest) -> tuple[str, str, Pairs]:
    """Return a request's host, its path with query, and its headers.

    A target in absolute form names host and path, whatever the Host header says; its host then goes on in that header.
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
    """Close a listener, new connections first: one that stood already may hold a request that nobody has read yet.

    Args:
        runner: of the listener.
        wait: how long such requests still get answers.
    """
    for site in list(runner.sites):
        await site.stop()
    await asyncio.sleep(wait.total_seconds())
    await runner.cleanup()
