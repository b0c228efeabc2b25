"""Calls at the operators' interface of whichever registry answers."""

import asyncio
import secrets
from typing import NamedTuple

import aiohttp
import click
import msgspec

from hoistsaddle.cli.output import format_json, refuse, refuse_use
from hoistsaddle.common.errors import MeshError, Unreachable

CALL_TIMEOUT_SECONDS = 15.0
REQUEST_ID_BYTES = 12
OK = 200
UNAVAILABLE = 503


class Answer(NamedTuple):
    """An HTTP status and the JSON object that came with it; status 0 if nobody answered."""

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
    """Calls one registry after the other until one can answer.

    The same request id goes to each, so a call repeated elsewhere is still one call.

    Args:
        endpoints: The registries' operators' addresses, in the order of the attempts.
        method: The HTTP method.
        path: The path with its query.
        token: The operator's token; empty for a call that needs none.
        body: The body; empty for none.
        seconds: How long one attempt may take.
        kind: The body's content type, if it matters.
    """
    headers = {"X-Request-Id": secrets.token_hex(REQUEST_ID_BYTES)}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    if kind:
        headers["Content-Type"] = kind
    nobody = Unreachable(
        f"No registry answers at {', '.join(endpoints)}.",
        field="door",
        remedy="Check the addresses given with --door or HOISTSADDLE_DOORS.",
    )
    answer = Answer(0, {"refused": nobody.describe()})
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=seconds)) as session:
        for endpoint in endpoints:
            url = f"http://{endpoint}{path}"
            try:
                async with session.request(method, url, headers=headers, data=body or None) as response:
                    answer = Answer(response.status, msgspec.json.decode(await response.read(), type=dict))
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
                continue
            # A registry cut off from the leader says 503; another one may reach it.
            if answer.status != UNAVAILABLE:
                return answer
    return answer


def call(*, endpoints: tuple[str, ...], method: str, path: str) -> Answer:
    """A call whose refusal is an answer too, such as a ready check's."""
    return asyncio.run(call_first_available(endpoints=endpoints, method=method, path=path))


def call_or_exit(
    *, endpoints: tuple[str, ...], method: str, path: str, token: str = "", body: bytes = b"", kind: str = ""
) -> dict:
    """A call whose refusal ends the command.

    Raises:
        SystemExit: No address was given, or the call was refused.
    """
    if not endpoints:
        refuse_use("no door given. Remedy: give --door IP:PORT or set HOISTSADDLE_DOORS.")
    status, answer = asyncio.run(
        call_first_available(endpoints=endpoints, method=method, path=path, token=token, body=body, kind=kind)
    )
    refused = answer.get("refused")
    if status == OK or not refused:
        return answer
    error = MeshError(refused["kind"], refused["message"], refused["remedy"], refused.get("field") or "")
    if "machines" not in answer:
        refuse(error)
    click.echo(f"refused: {error}", err=True)
    click.echo(format_json(answer["machines"]), err=True)
    raise SystemExit(1)
