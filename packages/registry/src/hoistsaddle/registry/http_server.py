"""Shared parts of the operators' HTTP interfaces: the listener, and the conversion of errors to responses."""

from collections.abc import Awaitable, Callable, Iterable

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, InvalidRequest, MeshError

CONFLICT = 409
UNAVAILABLE = 503
RETRY_AFTER_SECONDS = 1
SHUTDOWN_TIMEOUT_SECONDS = 2
# Every other kind is answered as a conflict with the current state.
HTTP_STATUSES: dict[str, int] = {
    ErrorKind.OPERATOR_UNKNOWN: 401,
    ErrorKind.REQUEST_BROKEN: 400,
    ErrorKind.BUNDLE_BROKEN: 422,
    ErrorKind.ITEM_BROKEN: 422,
    ErrorKind.ITEM_CONFLICT: CONFLICT,
    # Neither accepted nor refused.
    ErrorKind.ORDER_UNSURE: UNAVAILABLE,
    ErrorKind.NO_LEADER: UNAVAILABLE,
    ErrorKind.UNSURE: UNAVAILABLE,
    ErrorKind.NOT_FOUNDED: UNAVAILABLE,
    ErrorKind.UNREACHABLE: UNAVAILABLE,
    ErrorKind.BUNDLE_UNKNOWN: 404,
    ErrorKind.NO_SERVER: 404,
    ErrorKind.RELEASE_LEVEL: UNAVAILABLE,
}
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def refuse_call(error: MeshError) -> web.Response:
    """The response to a refused call: the error as JSON under "refused", with the HTTP status of its kind."""
    status = HTTP_STATUSES.get(error.kind, CONFLICT)
    # Clients that may retry are given the delay.
    headers = {"Retry-After": str(RETRY_AFTER_SECONDS)} if status == UNAVAILABLE else {}
    return web.json_response({"refused": error.describe()}, status=status, headers=headers)


def answer_or_refuse(result: Result[dict, MeshError]) -> web.Response:
    """The result as JSON, or the response to a refused call."""
    match result:
        case Success(answer):
            return web.json_response(answer)
        case Failure(error):
            return refuse_call(error)


@web.middleware
async def refuse_unreadable(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Answers requests that can't be parsed, are too large or have an unknown path with an error as JSON."""
    try:
        return await handler(request)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError, RecursionError) as problem:
        return refuse_call(
            InvalidRequest(
                f"The request can't be read: {problem}.", field="body", remedy="Send what the operators' pages show."
            )
        )
    except web.HTTPRequestEntityTooLarge:
        return refuse_call(InvalidRequest("The body is too large.", field="body", remedy="Keep a bundle under 4 MiB."))
    except web.HTTPException as problem:
        error = InvalidRequest(
            f"{request.method} {request.path}: {problem.reason}.",
            field="path",
            remedy="docs/operators/api.md lists the calls.",
        )
        return web.json_response({"refused": error.describe()}, status=problem.status)


class HttpListener:
    """An HTTP listener on one address."""

    def __init__(self, *, routes: Iterable[web.RouteDef], max_body_bytes: int) -> None:
        """Creates the application; opens no listener yet."""
        application = web.Application(client_max_size=max_body_bytes, middlewares=[refuse_unreadable])
        application.add_routes(routes)
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS)

    async def start(self, *, host: str, port: int) -> None:
        """Opens the listener.

        Raises:
            OSError: The address can't be opened.
        """
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()

    async def stop(self) -> None:
        """Closes the listener; requests in flight get up to SHUTDOWN_TIMEOUT_SECONDS to end."""
        await self.runner.cleanup()
