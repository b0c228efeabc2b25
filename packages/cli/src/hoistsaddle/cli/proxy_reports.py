"""Reads what proxies report at their clients' address."""

import asyncio

import aiohttp
import msgspec

OK = 200
TIMEOUT_SECONDS = 3.0


async def fetch_report(*, session: aiohttp.ClientSession, address: str) -> dict | None:
    """The JSON object at an address with its path; None if it gives none in time."""
    try:
        async with session.get(f"http://{address}") as response:
            return msgspec.json.decode(await response.read()) if response.status == OK else None
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
        return None


async def read_reports(*, proxies: tuple[str, ...], path: str) -> tuple[list[dict], list[str]]:
    """What each proxy reports at a path, and the addresses of those that gave no answer."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)) as session:
        reports = await asyncio.gather(*(fetch_report(session=session, address=f"{proxy}{path}") for proxy in proxies))
    silent = [proxy for proxy, report in zip(proxies, reports, strict=True) if report is None]
    return [report for report in reports if report is not None], silent
