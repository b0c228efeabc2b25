"""`hoistsaddle holds`: the spans the mesh keeps at this moment, on one time line."""

import asyncio
from collections import defaultdict

import aiohttp
import click
import msgspec

from hoistsaddle.cli.caller import say


async def read_rooms(*, stalls: tuple[str, ...]) -> tuple[list[dict], list[str]]:
    """What each stall tells of its room for further sends, and which ones gave no answer."""
    told, silent = [], []
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3)) as session:
        for stall in stalls:
            try:
                async with session.get(f"http://{stall}/hoistsaddle/holds") as response:
                    told.append(msgspec.json.decode(await response.read()))
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
                silent.append(stall)
    return told, silent


def lines_of(holds: dict, rooms: list[dict]) -> list[str]:
    lines = [f"at {holds['mesh_time_seconds']:.1f} s of mesh time"]
    for key in holds["keys"]:
        what = "claimed, still working" if key["phase"] == "claimed" else "settled, its answer is kept"
        entry = f" for {key['entry']}" if key["entry"] else ""
        lines.append(f"  {key['seconds_left']:7.1f} s  key {key['key']}{entry} at {key['stall']}: {what}")
    for server in holds["leaving"]:
        left = server["no_new_work_in_seconds"]
        word = "gets no new work" if not left else f"gets no new work in {left:.1f} s at the latest"
        forgotten = server["forgotten_in_seconds"]
        more = "" if forgotten is None else f", is forgotten in {forgotten:.0f} s"
        name = f"{server['service']} beside {server['stall']} ({server['why']})"
        lines.append(f"  {left or 0:7.1f} s  {name}: {word}{more}")
    parts: dict[str, list[float]] = defaultdict(lambda: [0, 0.0])
    for stall in rooms:
        for service, room in stall["room"].items():
            parts[service][0] += room["part"]
            parts[service][1] += room["room"]
    for service, (part, room) in sorted(parts.items()):
        lines.append(f"  room for further sends to {service}: {room:.1f} of {part:g}")
    return lines


@click.command()
@click.option("--door", "doors", multiple=True, envvar="HOISTSADDLE_DOORS", help="A bourse's operators' address.")
@click.option("--stall", "stalls", multiple=True, envvar="HOISTSADDLE_STALLS", help="A stall's visitors' address.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
def holds(doors, stalls, as_json) -> None:
    """Shows keys claimed and settled with the time left, leaving servers, and the room for further sends."""
    told = say(doors=doors, method="GET", path="/holds")
    rooms, silent = asyncio.run(read_rooms(stalls=stalls))
    if as_json:
        whole = {**told, "rooms": rooms, "silent": silent}
        click.echo(msgspec.json.format(msgspec.json.encode(whole)).decode())
        return
    for line in lines_of(told, rooms):
        click.echo(line)
    if silent:
        click.echo(f"no word of their room from {', '.join(silent)}: they may be stopped.", err=True)
