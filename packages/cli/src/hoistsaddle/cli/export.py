"""`hoistsaddle export`: writes the usage that the proxies counted to a file for accounting."""

import asyncio
import sys
from datetime import UTC, datetime
from pathlib import Path

import click
from returns.result import Failure, Success

from hoistsaddle.cli.output import EXIT_FAILURE, exit_with_error
from hoistsaddle.cli.proxy_reports import read_reports


@click.command()
@click.option(
    "--stall",
    "proxies",
    multiple=True,
    envvar="HOISTSADDLE_STALLS",
    required=True,
    help="A proxy's address for clients; repeat, or set HOISTSADDLE_STALLS.",
)
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="A file ending in .parquet or .csv.")
def export(proxies, out) -> None:
    """Writes usage by service, entry, caller and outcome as Parquet or CSV."""
    # Imported only here, because this module loads a large library that the long-running programs don't need.
    from hoistsaddle.usage.usage import table_of, write_usage

    reports, silent = asyncio.run(read_reports(proxies=proxies, path="/hoistsaddle/usage"))
    match write_usage(table_of(reports, read_at=datetime.now(UTC)), path=Path(out)):
        case Failure(error):
            exit_with_error(error)
        case Success(rows):
            click.echo(f"{rows} rows from {len(reports)} proxies in {out}")
    if silent:
        click.echo(
            f"refused: unreachable: {', '.join(silent)} gave no answer and is missing from the file. "
            "Remedy: export again once it is back.",
            err=True,
        )
        sys.exit(EXIT_FAILURE)
