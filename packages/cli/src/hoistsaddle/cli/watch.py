"""`hoistsaddle watch`: what the mesh does, as it happens."""

import asyncio
import sys

import aiohttp
import click
import msgspec

from hoistsaddle.cli.caller import call_or_exit

_TEMPLATES = {
    "bundle submitted": "bundle {number} arrives from {author}",
    "bundle refused": "a bundle from {author} is refused: {mishap}",
    "operator refused": "{operator} is refused: {wanted}, {mishap}",
    "key given back": "gives back a key {scope} for {entry}: nothing ran",
    "bundle signed": "bundle {number} is signed by {operator}: stage {stage} of {stages} ({name})",
    "bundle advanced": "bundle {number} goes on to stage {stage} of {stages} ({name})",
    "bundle aborted": "bundle {number} is taken back",
    "in force": "in force everywhere it concerns after {seconds} s",
    "bundle taken up": "takes up bundle {bundle} (had {before})",
    "bundle patched": "bundle {number}, in parts, is in force: {items} items from {author}, signed by {signer}",
    "patch refused": "a patch is refused: {mishap} (field {field})",
    "items taken up": "takes up {items} items at revision {revision}",
    "server told": "its server says: {service} {instance} is {state}",
    "server silent": "its server {service} {instance} fell silent",
    "server noted": "server beside {stall}: {service} {instance} is {state}",
    "server drained": "server beside {stall} is marked by {operator}",
    "key held": "holds a key {scope} for {entry}",
    "key settled": "settles a key {scope} for {entry}",
    "key expired": "a key {scope} for {entry} expires; it was {was}",
    "room spent": "has no room left for further sends to {service}",
    "room again": "has room again for further sends to {service}",
    "release level raised": "replica {replica}: the mesh is at release level {level} from here on",
    "halted": "replica {replica} has stopped: {why}",
    "gone forgotten": "replica {replica} forgets servers {servers} and nodes {nodes}, gone for long",
    "operator change proposed": "a change of operator {name} is proposed: {what}",
    "operator change signed": "operator {name} is changed; there are now {operators}",
    "leading": "replica {replica} leads from offset {offset}, epoch {epoch}",
    "catching up": "replica {replica} pulls checkpoint {checkpoint}",
    "caught up": "replica {replica} has caught up: checkpoint {checkpoint}, log to {log_end}",
    "voter swapped": "replica {voter} votes again with its new disk",
    "voter added": "replica {voter} votes from now on, of {voters}",
    "voter dropped": "replica {voter} votes no more; {voters} are left",
    "founded": "is founded as mesh {mesh}",
    "duty done": "does a duty: {what} {about}",
    "member changed": "sees {node} as {state}",
    "stood still": "stood still for {seconds} s",
}


def format_event(happening: dict) -> str:
    kind = happening["kind"]
    template = _TEMPLATES.get(kind)
    detail = happening["detail"]
    try:
        text = template.format(**detail) if template else ""
    except KeyError:
        # A process of another revision may tell it with other details.
        text = ""
    text = text or kind + "".join(f" {name}={value}" for name, value in detail.items())
    return f"{happening['moment'][11:23]}  {happening['owner']:<14} {text}"


async def fetch_events(*, session: aiohttp.ClientSession, address: str) -> dict | None:
    try:
        async with session.get(f"http://{address}") as response:
            return msgspec.json.decode(await response.read()) if response.status == 200 else None
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
        return None


async def follow(*, sources: list[str], seconds: float | None, past: bool, echo) -> None:
    loop = asyncio.get_running_loop()
    end = None if seconds is None else loop.time() + seconds
    newest_seen: dict[str, int] = {}
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.5)) as session:
        while end is None or loop.time() < end:
            urls = [f"{source}{'&' if '?' in source else '?'}after={newest_seen.get(source, -1)}" for source in sources]
            gathered = await asyncio.gather(*(fetch_events(session=session, address=address) for address in urls))
            new_events: list[dict] = []
            for source, answer in zip(sources, gathered, strict=True):
                if answer is None:
                    continue
                newest, happenings = answer["newest"], answer["happenings"]
                # A process that started anew counts from one again: then all it says is new.
                if newest < newest_seen.get(source, -1):
                    newest_seen[source] = -1
                    continue
                if source in newest_seen or past:
                    new_events += happenings
                newest_seen[source] = newest
            for happening in sorted(new_events, key=lambda each: each["moment"]):
                echo(format_event(happening))
            await asyncio.sleep(0.2)


@click.command()
@click.option(
    "--door",
    "doors",
    multiple=True,
    envvar="HOISTSADDLE_DOORS",
    help="A registry's operators' address; repeat for each.",
)
@click.option(
    "--stall",
    "stalls",
    multiple=True,
    envvar="HOISTSADDLE_STALLS",
    help="A proxy's clients' address; repeat for each.",
)
@click.option("--seconds", type=float, help="Stop after this long; without it, watch until interrupted.")
@click.option("--past", is_flag=True, help="Begin with what the processes still remember.")
def watch(doors, stalls, seconds, past) -> None:
    """Shows changes arriving, servers leaving, keys held, core machines catching up, as they happen."""
    if not doors and not stalls:
        click.echo(
            "refused: nothing to watch. Remedy: give --door and --stall, or set HOISTSADDLE_DOORS and "
            "HOISTSADDLE_STALLS.",
            err=True,
        )
        sys.exit(2)
    sources = [f"{door}/happenings" for door in doors]
    # The registries also speak for the stores. Which there are is read once; each is asked through a door of its own.
    replicas = sorted(call_or_exit(doors=doors, method="GET", path="/core")["machines"], key=int) if doors else []
    sources += [f"{doors[place % len(doors)]}/happenings?warehouse={replica}" for place, replica in enumerate(replicas)]
    sources += [f"{proxy}/hoistsaddle/happenings" for proxy in stalls]
    try:
        asyncio.run(follow(sources=sources, seconds=seconds, past=past, echo=click.echo))
    except KeyboardInterrupt:
        pass
