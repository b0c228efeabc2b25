"""Reads reports of proxies at their addresses for clients."""

import asyncio

import aiohttp
import msgspec

OK = 200
TIMEOUT_SECONDS = 3.0


async def fetch_report(*, session: aiohttp.ClientSession, address: str) -> dict | None:
    """Fetches the JSON object at an address with path; None if there is no valid answer in time."""
    try:
        async with session.get(f"http://{address}") as response:
            return msgspec.json.decode(await response.read()) if response.status == OK else None
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
        return None


async def read_reports(*, proxies: tuple[str, ...], path: str) -> tuple[list[dict], list[str]]:
    """Returns each proxy's report at a path, and the addresses of the proxies that gave none."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)) as session:
        reports = await asyncio.gather(*(fetch_report(session=session, address=f"{proxy}{path}") for proxy in proxies))
    silent = [proxy for proxy, report in zip(proxies, reports, strict=True) if report is None]
    return [report for report in reports if report is not None], silent
