"""`hoistsaddle export`: what the proxies counted, as a file for those who count."""

import asyncio
import sys
from datetime import UTC, datetime
from pathlib import Path

import aiohttp
import click
import msgspec
from returns.result import Failure, Success


async def read_usage(*, stalls: tuple[str, ...]) -> tuple[list[dict], list[str]]:
    """What each proxy tells, and which ones gave no answer."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3)) as session:

        async def one(proxy: str) -> dict | None:
            try:
                async with session.get(f"http://{proxy}/hoistsaddle/usage") as response:
                    return msgspec.json.decode(await response.read()) if response.status == 200 else None
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
                return None

        reports = await asyncio.gather(*(one(proxy) for proxy in stalls))
    return [each for each in reports if each is not None], [
        proxy for proxy, each in zip(stalls, reports, strict=True) if each is None
    ]


@click.command()
@click.option(
    "--stall",
    "stalls",
    multiple=True,
    envvar="HOISTSADDLE_STALLS",
    required=True,
    help="A proxy's clients' address; repeat, or set HOISTSADDLE_STALLS.",
)
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="A file ending in .parquet or .csv.")
def export(stalls, out) -> None:
    """Writes usage by service, entry, caller and outcome as Parquet or CSV."""
    # Only here: a daemon has no use for so large a library.
    from hoistsaddle.usage.usage import table_of, write_usage

    reports, silent = asyncio.run(read_usage(stalls=stalls))
    match write_usage(table_of(reports, read_at=datetime.now(UTC)), path=Path(out)):
        case Failure(error):
            click.echo(f"refused: {error}", err=True)
            sys.exit(1)
        case Success(rows):
            click.echo(f"{rows} rows from {len(reports)} proxies in {out}")
    if silent:
        click.echo(
            f"refused: unreachable: {', '.join(silent)} gave no answer and is missing from the file. "
            "Remedy: export again once it is back.",
            err=True,
        )
        sys.exit(1)
