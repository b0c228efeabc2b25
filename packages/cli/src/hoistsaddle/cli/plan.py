"""`hoistsaddle plan`: forecasts the effect of a change with the planner."""

import sys
from pathlib import Path

import click
from returns.result import Failure, Result, Success

from hoistsaddle.cli.caller import call_or_exit
from hoistsaddle.cli.output import exit_with_error, exit_with_usage_error, print_json
from hoistsaddle.common.errors import MeshError
from hoistsaddle.planner.bundle_forecast import forecast_bundle
from hoistsaddle.planner.change_forecast import Change, forecast_change


@click.command()
@click.option(
    "--door",
    "endpoints",
    multiple=True,
    envvar="HOISTSADDLE_DOORS",
    help="A registry's address for operators; repeat, or set HOISTSADDLE_DOORS.",
)
@click.argument("file", required=False, type=click.Path(exists=True, dir_okay=False))
@click.option("--drain", multiple=True, help="A proxy whose server would be drained.")
@click.option("--undrain", multiple=True, help="A proxy whose server's drain would be undone.")
@click.option("--gone", multiple=True, help="A proxy that would leave the mesh.")
@click.option("--server", multiple=True, help="STALL=SERVICE: a server that would be added beside a proxy.")
def plan(endpoints, file, drain, undrain, gone, server) -> None:
    """Shows what a bundle FILE, or a change of servers and nodes, would affect. Changes nothing."""
    change = Change(
        tuple(drain), tuple(undrain), tuple(gone), tuple(tuple(each.partition("=")[::2]) for each in server)
    )
    if not file and change == Change():
        exit_with_usage_error("nothing to plan. Remedy: give a bundle file, --drain, --undrain, --gone or --server.")
    configuration = call_or_exit(endpoints=endpoints, method="GET", path="/setup")
    forecast: dict = {}
    if file:
        text = Path(file).read_text(encoding="utf-8", errors="replace")
        forecast["bundle"] = _unwrap(forecast_bundle(configuration, text))
    if change != Change():
        forecast["change"] = _unwrap(forecast_change(configuration, change))
    print_json(forecast)
    sys.exit(1 if forecast.get("bundle", {}).get("refused") else 0)


def _unwrap(forecast: Result[dict, MeshError]) -> dict:
    match forecast:
        case Failure(error):
            exit_with_error(error)
        case Success(value):
            return value
