"""`hoistsaddle export`: what the stalls counted, as a file for those who count."""

import asyncio
import sys
from datetime import UTC, datetime
from pathlib import Path

import aiohttp
import click
import msgspec
from returns.result import Failure, Success


async def read_usage(*, stalls: tuple[str, ...]) -> tuple[list[dict], list[str]]:
    """What each stall tells, and which ones gave no answer."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3)) as session:

        async def one(stall: str) -> dict | None:
            try:
                async with session.get(f"http://{stall}/hoistsaddle/usage") as response:
                    return msgspec.json.decode(await response.read()) if response.status == 200 else None
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
                return None

        told = await asyncio.gather(*(one(stall) for stall in stalls))
    return [each for each in told if each is not None], [
        stall for stall, each in zip(stalls, told, strict=True) if each is None
    ]


@click.command()
@click.option(
    "--stall",
    "stalls",
    multiple=True,
    envvar="HOISTSADDLE_STALLS",
    required=True,
    help="A stall's visitors' address; repeat, or set HOISTSADDLE_STALLS.",
)
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="A file ending in .parquet or .csv.")
def export(stalls, out) -> None:
    """Writes usage by service, entry, caller and outcome as Parquet or CSV."""
    # Only here: a daemon has no use for so large a library.
    from hoistsaddle.usage.usage import table_of, write_usage

    told, silent = asyncio.run(read_usage(stalls=stalls))
    match write_usage(table_of(told, read_at=datetime.now(UTC)), path=Path(out)):
        case Failure(mishap):
            click.echo(f"refused: {mishap}", err=True)
            sys.exit(1)
        case Success(rows):
            click.echo(f"{rows} rows from {len(told)} stalls in {out}")
    if silent:
        click.echo(
            f"refused: unreachable: {', '.join(silent)} gave no answer and is missing from the file. "
            "Remedy: export again once it is back.",
            err=True,
        )
        sys.exit(1)
