"""Calls the operators' interface of the first available registry."""

import asyncio
import secrets
from typing import NamedTuple

import aiohttp
import click
import msgspec

from hoistsaddle.cli.output import exit_with_error, exit_with_usage_error, format_json
from hoistsaddle.common.errors import MeshError, Unreachable

CALL_TIMEOUT_SECONDS = 15.0
REQUEST_ID_BYTES = 12
OK = 200
UNAVAILABLE = 503


class Answer(NamedTuple):
    """An HTTP status and the JSON object of its response; status 0 if no registry answered."""

    status: int
    body: dict


async def call_first_available(
    *,
    endpoints: tuple[str, ...],
    method: str,
    path: str,
    token: str = "",
    body: bytes = b"",
    seconds: float = CALL_TIMEOUT_SECONDS,
    kind: str = "",
) -> Answer:
    """Calls one registry after the other until one is available.

    Each attempt carries the same request id, so that a call repeated at another registry is carried out once.

    Args:
        endpoints: The addresses of the registries' operators' interfaces, in the order of the attempts.
        method: The HTTP method.
        path: The path with its query.
        token: The operator's token; empty for a call without authentication.
        body: The body; empty for none.
        seconds: The timeout of one attempt.
        kind: The body's content type, if it matters.
    """
    headers = {"X-Request-Id": secrets.token_hex(REQUEST_ID_BYTES)}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    if kind:
        headers["Content-Type"] = kind
    unreachable = Unreachable(
        f"No registry answers at {', '.join(endpoints)}.",
        field="door",
        remedy="Check the addresses given with --door or HOISTSADDLE_DOORS.",
    )
    answer = Answer(0, {"refused": unreachable.describe()})
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=seconds)) as session:
        for endpoint in endpoints:
            url = f"http://{endpoint}{path}"
            try:
                async with session.request(method, url, headers=headers, data=body or None) as response:
                    answer = Answer(response.status, msgspec.json.decode(await response.read(), type=dict))
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
                continue
            # A registry that can't reach the leader answers 503; another one may reach it.
            if answer.status != UNAVAILABLE:
                return answer
    return answer


def call(*, endpoints: tuple[str, ...], method: str, path: str) -> Answer:
    """Makes a call and returns its answer whatever the status, as a readiness check needs."""
    return asyncio.run(call_first_available(endpoints=endpoints, method=method, path=path))


def call_or_exit(
    *, endpoints: tuple[str, ...], method: str, path: str, token: str = "", body: bytes = b"", kind: str = ""
) -> dict:
    """Makes a call and exits with its error if it is rejected.

    Raises:
        SystemExit: No address was given, or the call was rejected.
    """
    if not endpoints:
        exit_with_usage_error("no address given. Remedy: give --door IP:PORT or set HOISTSADDLE_DOORS.")
    status, answer = asyncio.run(
        call_first_available(endpoints=endpoints, method=method, path=path, token=token, body=body, kind=kind)
    )
    rejection = answer.get("refused")
    if status == OK or not rejection:
        return answer
    error = MeshError(rejection["kind"], rejection["message"], rejection["remedy"], rejection.get("field") or "")
    if "machines" not in answer:
        exit_with_error(error)
    click.echo(f"refused: {error}", err=True)
    click.echo(format_json(answer["machines"]), err=True)
    raise SystemExit(1)
