"""Calls the operators' door of any registry that answers."""

import asyncio
import secrets
import sys

import aiohttp
import click
import msgspec


async def call_first_available(
    *,
    doors: tuple[str, ...],
    method: str,
    path: str,
    token: str = "",
    body: bytes = b"",
    seconds: float = 15,
    kind: str = "",
) -> tuple[int, dict]:
    """The same request id goes to each door in turn, so a call repeated elsewhere is still one call."""
    headers = {"X-Request-Id": secrets.token_hex(12)}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    if kind:
        headers["Content-Type"] = kind
    refused = {
        "kind": "unreachable",
        "message": f"No registry answers at {', '.join(doors)}.",
        "remedy": "Check the addresses given with --door or HOISTSADDLE_DOORS.",
        "field": "door",
    }
    answer: tuple[int, dict] = (0, {"refused": refused})
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=seconds)) as session:
        for door in doors:
            try:
                async with session.request(
                    method, f"http://{door}{path}", headers=headers, data=body or None
                ) as response:
                    answer = response.status, msgspec.json.decode(await response.read(), type=dict)
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
                continue
            # A registry cut off from the leader says 503; another one may reach it.
            if answer[0] != 503:
                return answer
    return answer


def call(*, doors: tuple[str, ...], method: str, path: str) -> tuple[int, dict]:
    """A call whose refusal is an answer too, such as a ready check's."""
    status, answer = asyncio.run(call_first_available(doors=doors, method=method, path=path))
    return status, answer


def call_or_exit(
    *, doors: tuple[str, ...], method: str, path: str, token: str = "", body: bytes = b"", kind: str = ""
) -> dict:
    if not doors:
        click.echo("refused: no door given. Remedy: give --door IP:PORT or set HOISTSADDLE_DOORS.", err=True)
        sys.exit(2)
    status, answer = asyncio.run(
        call_first_available(doors=doors, method=method, path=path, token=token, body=body, kind=kind)
    )
    refused = answer.get("refused")
    if status != 200 and refused:
        place = f" (field {refused['field']})" if refused.get("field") else ""
        click.echo(f"refused: {refused['kind']}{place}: {refused['message']} Remedy: {refused['remedy']}", err=True)
        if "machines" in answer:
            click.echo(msgspec.json.format(msgspec.json.encode(answer["machines"])).decode(), err=True)
        sys.exit(1)
    return answer


def print_json(answer: dict) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(answer)).decode())
