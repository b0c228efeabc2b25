"""HTTP client for the local server of a proxy under bundles: one connection per request, and only complete answers."""

import asyncio

import msgspec

from hoistsaddle.common.byte_budget import ByteBudget
from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.common.socket_addresses import split_address
from hoistsaddle.common.work_turns import WorkTurns
from hoistsaddle.config.bundle_checks import MAX_BODY_BYTES
from hoistsaddle.proxy.answer_reader import Answer, AnswerFault
from hoistsaddle.proxy.messages import RunOnServer, ServerAnswered, ServerFailed
from hoistsaddle.proxy.request_checks import clean_headers
from hoistsaddle.proxy.server_connection import PIECES_PER_ITERATION, BrokenAnswer, ServerConnection
from hoistsaddle.rpc.messages import BundleForwardCall

ASK_BEFORE_RETRY = "Ask what became of the request before sending it again."
# Their requests have a Content-Length also without a body.
METHODS_WITH_BODY = frozenset({"PATCH", "POST", "PUT"})


class ServerClient:
    """Runs requests on the local server."""

    def __init__(self, *, counters: Counters) -> None:
        """Start without a connection."""
        self._counters = counters
        self._turns = WorkTurns(pieces_per_iteration=PIECES_PER_ITERATION)
        self._open_connections: set[ServerConnection] = set()

    def close(self) -> None:
        """Close all connections; the requests on them get no answer."""
        for connection in list(self._open_connections):
            connection.abort()

    async def run(self, command: RunOnServer) -> tuple:
        """Run a request on the server.

        Returns:
            ServerAnswered, or ServerFailed, which tells whether anything was sent.
        """
        try:
            async with asyncio.timeout(command.within.total_seconds()):
                connection = await self._connect(command.address)
                if connection is None:
                    unreachable = MeshError(
                        ErrorKind.UNREACHABLE, "The server accepts no connection.", "Send it to another proxy."
                    )
                    return ServerFailed(command.number, True, unreachable)
                answer = await self._answer(connection, command)
        except BrokenAnswer as problem:
            error = _refusal(problem)
        except (OSError, TimeoutError, ValueError):
            error = _silent()
        else:
            refusal = _answer_error(command.call, answer)
            if refusal is None:
                return ServerAnswered(
                    command.number, answer.message.code, clean_headers(answer.message.headers), answer.body
                )
            error = refusal
        self._counters.add(f"runs.{error.kind}")
        return ServerFailed(command.number, False, error)

    async def _connect(self, address: str) -> ServerConnection | None:
        """Open a connection; None if the server accepts none."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: ServerConnection(loop, budget=ByteBudget(), turns=self._turns), host, port
            )
        except OSError:
            return None
        return connection

    async def _answer(self, connection: ServerConnection, command: RunOnServer) -> Answer:
        """Send the request and return its answer.

        A kept connection may break during a request, which would then have to be repeated: each is used once.
        """
        call = command.call
        self._open_connections.add(connection)
        try:
            connection.begin(with_body=call.method != "HEAD", max_bytes=MAX_BODY_BYTES)
            connection.write(_request_head(call, address=command.address) + call.body)
            return await connection.answer()
        finally:
            self._open_connections.discard(connection)
            connection.abort()


def _request_head(call: BundleForwardCall, *, address: str) -> bytes:
    """Return the head of the request; the path is forwarded byte for byte as it was admitted.

    Raises:
        ValueError: a value has a line end.
    """
    headers = {"Host": address, "Accept": "*/*", "Connection": "close"}
    for name, value in _headers_of(call).items():
        headers = {known: old for known, old in headers.items() if known.lower() != name.lower()}
        headers[name] = value
    if call.body or call.method in METHODS_WITH_BODY:
        headers["Content-Length"] = str(len(call.body))
    lines = [f"{call.method} {call.path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if any("\r" in line or "\n" in line for line in lines):
        raise ValueError("a line end in a request's head")
    return "\r\n".join([*lines, "", ""]).encode("utf-8", "surrogateescape")


def _headers_of(call: BundleForwardCall) -> dict[str, str]:
    return {
        **call.headers,
        "X-Hoistsaddle-Caller": call.caller,
        "X-Hoistsaddle-Visitor": call.client,
        "X-Hoistsaddle-Send": call.attempt_id,
        "X-Hoistsaddle-Service": call.service_name,
        "X-Hoistsaddle-Instance": call.instance,
        "X-Hoistsaddle-Ordinal": str(call.ordinal),
    }


def _silent() -> MeshError:
    return MeshError(ErrorKind.SILENT, "The server gave no complete answer.", ASK_BEFORE_RETRY)


def _too_large() -> MeshError:
    return MeshError(
        ErrorKind.ANSWER_TOO_LARGE,
        "The answer is larger than its limit.",
        "Raise answer_bytes in a bundle, or have the server send less.",
        "answer_bytes",
    )


def _refusal(problem: BrokenAnswer) -> MeshError:
    """Return the error for an answer that was refused before it was complete."""
    if problem.fault is AnswerFault.TOO_LARGE:
        return _too_large()
    if problem.fault is AnswerFault.CUT_SHORT and not problem.begun:
        return _silent()
    return MeshError(
        ErrorKind.ANSWER_BROKEN, f"The server's answer is no complete response: {problem.fault}.", ASK_BEFORE_RETRY
    )


def _answer_error(call: BundleForwardCall, answer: Answer) -> MeshError | None:
    """Return why a complete answer is not passed on; None if it is valid."""
    if len(answer.body) > MAX_BODY_BYTES or (not call.hold and len(answer.body) > call.answer_bytes):
        return _too_large()
    if "Content-Encoding" in answer.message.headers:
        return MeshError(
            ErrorKind.ANSWER_BROKEN,
            "The answer's body is encoded.",
            "Have the server send Content-Length and plain JSON.",
        )
    if answer.body:
        try:
            msgspec.json.decode(answer.body)
        except (msgspec.DecodeError, RecursionError):
            return MeshError(ErrorKind.ANSWER_BROKEN, "The answer is not JSON.", "Look at the server's log.")
    return None
