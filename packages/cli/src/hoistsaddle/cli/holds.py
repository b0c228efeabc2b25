"""`hoistsaddle holds`: the spans the mesh keeps at this moment, on one time line."""

import asyncio
from collections import defaultdict

import aiohttp
import click
import msgspec

from hoistsaddle.cli.caller import call_or_exit


async def read_retry_budgets(*, stalls: tuple[str, ...]) -> tuple[list[dict], list[str]]:
    """What each proxy tells of its room for further sends, and which ones gave no answer."""
    report, silent = [], []
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3)) as session:
        for proxy in stalls:
            try:
                async with session.get(f"http://{proxy}/hoistsaddle/holds") as response:
                    report.append(msgspec.json.decode(await response.read()))
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
                silent.append(proxy)
    return report, silent


def format_holds(holds: dict, retry_budgets: list[dict]) -> list[str]:
    lines = [f"at {holds['mesh_time_seconds']:.1f} s of mesh time"]
    for key in holds["keys"]:
        what = "claimed, still working" if key["phase"] == "claimed" else "settled, its answer is kept"
        entry = f" for {key['entry']}" if key["entry"] else ""
        lines.append(f"  {key['seconds_left']:7.1f} s  key {key['key']}{entry} at {key['stall']}: {what}")
    for server in holds["leaving"]:
        left = server["no_new_work_in_seconds"]
        timing = "gets no new work" if not left else f"gets no new work in {left:.1f} s at the latest"
        forgotten = server["forgotten_in_seconds"]
        more = "" if forgotten is None else f", is forgotten in {forgotten:.0f} s"
        name = f"{server['service']} beside {server['stall']} ({server['why']})"
        lines.append(f"  {left or 0:7.1f} s  {name}: {timing}{more}")
    totals: dict[str, list[float]] = defaultdict(lambda: [0, 0.0])
    for proxy in retry_budgets:
        for service, room in proxy["room"].items():
            totals[service][0] += room["part"]
            totals[service][1] += room["room"]
    for service, (part, room) in sorted(totals.items()):
        lines.append(f"  room for further sends to {service}: {room:.1f} of {part:g}")
    return lines


@click.command()
@click.option("--door", "doors", multiple=True, envvar="HOISTSADDLE_DOORS", help="A registry's operators' address.")
@click.option("--stall", "stalls", multiple=True, envvar="HOISTSADDLE_STALLS", help="A proxy's clients' address.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
def holds(doors, stalls, as_json) -> None:
    """Shows keys claimed and settled with the time left, leaving servers, and the room for further sends."""
    report = call_or_exit(doors=doors, method="GET", path="/holds")
    retry_budgets, silent = asyncio.run(read_retry_budgets(stalls=stalls))
    if as_json:
        complete = {**report, "rooms": retry_budgets, "silent": silent}
        click.echo(msgspec.json.format(msgspec.json.encode(complete)).decode())
        return
    for line in format_holds(report, retry_budgets):
        click.echo(line)
    if silent:
        click.echo(f"no word of their room from {', '.join(silent)}: they may be stopped.", err=True)
