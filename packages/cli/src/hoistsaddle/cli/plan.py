"""`hoistsaddle plan`: the planner at the command line."""

import sys
from pathlib import Path

import click
from returns.result import Failure, Success

from hoistsaddle.cli.caller import call_or_exit, print_json
from hoistsaddle.planner.forecast import Change, forecast_bundle, forecast_change


@click.command()
@click.option(
    "--door",
    "doors",
    multiple=True,
    envvar="HOISTSADDLE_DOORS",
    help="A registry's operators' address; repeat, or set HOISTSADDLE_DOORS.",
)
@click.argument("file", required=False, type=click.Path(exists=True, dir_okay=False))
@click.option("--drain", multiple=True, help="A proxy whose server would be marked as leaving.")
@click.option("--undrain", multiple=True, help="A proxy whose mark would be taken away.")
@click.option("--gone", multiple=True, help="A proxy that would leave.")
@click.option("--server", multiple=True, help="STALL=SERVICE: a server that would come beside a stall.")
def plan(doors, file, drain, undrain, gone, server) -> None:
    """Shows what a bundle FILE, or a change of servers and nodes, would move. Changes nothing."""
    change = Change(
        tuple(drain), tuple(undrain), tuple(gone), tuple(tuple(each.partition("=")[::2]) for each in server)
    )
    if not file and change == Change():
        click.echo(
            "refused: nothing to plan. Remedy: give a bundle file, --drain, --undrain, --gone or --server.", err=True
        )
        sys.exit(2)
    setup = call_or_exit(doors=doors, method="GET", path="/setup")
    forecast: dict = {}
    for name, wanted, weigh in (
        ("bundle", file, lambda: forecast_bundle(setup, Path(file).read_text(encoding="utf-8", errors="replace"))),
        ("change", change != Change(), lambda: forecast_change(setup, change)),
    ):
        if not wanted:
            continue
        match weigh():
            case Failure(error):
                click.echo(f"refused: {error}", err=True)
                sys.exit(1)
            case Success(found):
                forecast[name] = found
    print_json(forecast)
    sys.exit(1 if forecast.get("bundle", {}).get("refused") else 0)
