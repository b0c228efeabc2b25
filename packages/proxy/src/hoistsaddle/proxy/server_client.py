"""HTTP client for the local server of a proxy under bundles: one connection per request, and only complete answers."""

import aiohttp
import msgspec
import yarl

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.bundle_checks import MAX_BODY_BYTES
from hoistsaddle.proxy.answer_framing import AnswerFraming, framing_of
from hoistsaddle.proxy.messages import RunOnServer, ServerAnswered, ServerFailed
from hoistsaddle.proxy.request_checks import clean_headers
from hoistsaddle.rpc.messages import BundleForwardCall

ASK_BEFORE_RETRY = "Ask what became of the request before sending it again."


class ServerClient:
    """Runs requests on the local server."""

    def __init__(self, *, counters: Counters) -> None:
        """Create the session without a connection; the event loop must be running."""
        self._counters = counters
        # A persistent connection may break during a request, and the library may then repeat the request.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()

    async def run(self, command: RunOnServer) -> tuple:
        """Run a request on the server.

        Returns:
            ServerAnswered, or ServerFailed, which tells whether anything was sent.
        """
        call = command.call
        try:
            # The path is forwarded byte for byte as it was admitted.
            async with self._session.request(
                call.method,
                yarl.URL(f"http://{command.address}{call.path}", encoded=True),
                headers=_headers_of(call),
                data=call.body or None,
                timeout=aiohttp.ClientTimeout(total=command.within.total_seconds()),
                allow_redirects=False,
            ) as answer:
                body = await answer.content.read(MAX_BODY_BYTES + 1)
                while not answer.content.at_eof() and len(body) <= MAX_BODY_BYTES:
                    body += await answer.content.read(MAX_BODY_BYTES + 1 - len(body))
                error = _answer_error(call, answer, body)
                if error is None:
                    return ServerAnswered(command.number, answer.status, clean_headers(answer.headers), body)
        except aiohttp.ClientConnectorError:
            unreachable = MeshError(
                ErrorKind.UNREACHABLE, "The server accepts no connection.", "Send it to another proxy."
            )
            return ServerFailed(command.number, True, unreachable)
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError):
            error = MeshError(
                ErrorKind.ANSWER_BROKEN, "The server's answer is not a complete HTTP response.", ASK_BEFORE_RETRY
            )
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            error = MeshError(ErrorKind.SILENT, "The server gave no complete answer.", ASK_BEFORE_RETRY)
        self._counters.add(f"runs.{error.kind}")
        return ServerFailed(command.number, False, error)


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


def _answer_error(call: BundleForwardCall, answer: aiohttp.ClientResponse, body: bytes) -> MeshError | None:
    """Return why an answer is not passed on; None if it is complete and valid."""
    if len(body) > MAX_BODY_BYTES or (not call.hold and len(body) > call.answer_bytes):
        return MeshError(
            ErrorKind.ANSWER_TOO_LARGE,
            "The answer is larger than its limit.",
            "Raise answer_bytes in a bundle, or have the server send less.",
            "answer_bytes",
        )
    length = answer.headers.get("Content-Length")
    chunked = "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
    with_body = call.method != "HEAD"
    framing = framing_of(status=answer.status, chunked=chunked, length=length, with_body=with_body)
    short = length is not None and with_body and length != str(len(body))
    if framing is AnswerFraming.CONNECTION_END or short or "Content-Encoding" in answer.headers:
        return MeshError(
            ErrorKind.ANSWER_BROKEN,
            "The answer may be incomplete, or its body is encoded.",
            "Have the server send Content-Length and plain JSON.",
        )
    if body:
        try:
            msgspec.json.decode(body)
        except msgspec.DecodeError:
            return MeshError(ErrorKind.ANSWER_BROKEN, "The answer is not JSON.", "Look at the server's log.")
    return None
