"""`hoistsaddle holds`: the idempotency keys held now, the servers leaving and the retry budgets, in lines of text."""

import asyncio
from collections import defaultdict

import click

from hoistsaddle.cli.caller import call_or_exit
from hoistsaddle.cli.output import print_json
from hoistsaddle.cli.proxy_reports import read_reports


def format_key(key: dict) -> str:
    """Formats an idempotency key: the time until it expires, its route, its proxy and its phase."""
    phase = "claimed, still working" if key["phase"] == "claimed" else "settled, its answer is kept"
    route = f" for {key['entry']}" if key["entry"] else ""
    return f"  {key['seconds_left']:7.1f} s  key {key['key']}{route} at {key['stall']}: {phase}"


def format_leaving(server: dict) -> str:
    """Formats a draining server: when it stops getting new requests and when its record is removed."""
    left = server["no_new_work_in_seconds"]
    timing = "gets no new work" if not left else f"gets no new work in {left:.1f} s at the latest"
    forgotten = server["forgotten_in_seconds"]
    more = "" if forgotten is None else f", is forgotten in {forgotten:.0f} s"
    name = f"{server['service']} beside {server['stall']} ({server['why']})"
    return f"  {left or 0:7.1f} s  {name}: {timing}{more}"


def format_retry_budgets(budgets: list[dict]) -> list[str]:
    """Formats one line for each service: what is left of its retry budget, summed over all proxies."""
    totals: dict[str, list[float]] = defaultdict(lambda: [0, 0.0])
    for proxy in budgets:
        for service, budget in proxy["room"].items():
            totals[service][0] += budget["part"]
            totals[service][1] += budget["room"]
    return [
        f"  retry budget left for {service}: {left:.1f} of {total:g}"
        for service, (total, left) in sorted(totals.items())
    ]


def format_holds(holds: dict, retry_budgets: list[dict]) -> list[str]:
    """Formats all lines of the report."""
    return [
        f"at {holds['mesh_time_seconds']:.1f} s of mesh time",
        *(format_key(key) for key in holds["keys"]),
        *(format_leaving(server) for server in holds["leaving"]),
        *format_retry_budgets(retry_budgets),
    ]


@click.command()
@click.option(
    "--door", "endpoints", multiple=True, envvar="HOISTSADDLE_DOORS", help="A registry's address for operators."
)
@click.option("--stall", "proxies", multiple=True, envvar="HOISTSADDLE_STALLS", help="A proxy's address for clients.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
def holds(endpoints, proxies, as_json) -> None:
    """Shows claimed and settled keys with the time left, leaving servers, and the retry budgets."""
    report = call_or_exit(endpoints=endpoints, method="GET", path="/holds")
    retry_budgets, silent = asyncio.run(read_reports(proxies=proxies, path="/hoistsaddle/holds"))
    if as_json:
        print_json({**report, "rooms": retry_budgets, "silent": silent})
        return
    for line in format_holds(report, retry_budgets):
        click.echo(line)
    if silent:
        click.echo(f"no retry budgets from {', '.join(silent)}: they may be stopped.", err=True)
