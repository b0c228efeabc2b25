"""What the operators' HTTP interfaces share: a listener, the statuses of refusals, and errors turned into answers."""

from collections.abc import Awaitable, Callable, Iterable

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, InvalidRequest, MeshError

CONFLICT = 409
UNAVAILABLE = 503
RETRY_AFTER_SECONDS = 1
SHUTDOWN_TIMEOUT_SECONDS = 2
# Every other kind is a conflict with what stands.
HTTP_STATUSES: dict[str, int] = {
    ErrorKind.OPERATOR_UNKNOWN: 401,
    ErrorKind.REQUEST_BROKEN: 400,
    ErrorKind.BUNDLE_BROKEN: 422,
    ErrorKind.ITEM_BROKEN: 422,
    ErrorKind.ITEM_CONFLICT: CONFLICT,
    # Neither taken nor refused.
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
    """The answer that refuses a call: the error as JSON under "refused", with the status of its kind."""
    status = HTTP_STATUSES.get(error.kind, CONFLICT)
    # Whoever is told to come back is told when.
    headers = {"Retry-After": str(RETRY_AFTER_SECONDS)} if status == UNAVAILABLE else {}
    return web.json_response({"refused": error.describe()}, status=status, headers=headers)


def answer_or_refuse(result: Result[dict, MeshError]) -> web.Response:
    """The result as JSON, or the refusal."""
    match result:
        case Success(answer):
            return web.json_response(answer)
        case Failure(error):
            return refuse_call(error)


@web.middleware
async def refuse_unreadable(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Answers what can't be read, is too large or names no call with an error as JSON."""
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
    """One listening address with its routes."""

    def __init__(self, *, routes: Iterable[web.RouteDef], max_body_bytes: int) -> None:
        """Makes the application; nothing is opened yet."""
        application = web.Application(client_max_size=max_body_bytes, middlewares=[refuse_unreadable])
        application.add_routes(routes)
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS)

    async def start(self, *, host: str, port: int) -> None:
        """Opens it.

        Raises:
            OSError: The address can't be opened.
        """
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()

    async def stop(self) -> None:
        """Closes it; calls under way get a moment to end."""
        await self.runner.cleanup()
