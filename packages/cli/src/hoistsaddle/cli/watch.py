"""`hoistsaddle watch`: what the mesh does, as it happens."""

import asyncio
from collections.abc import Callable

import aiohttp
import click

from hoistsaddle.cli.caller import call_or_exit
from hoistsaddle.cli.output import exit_with_usage_error
from hoistsaddle.cli.proxy_reports import fetch_report

ROUND_TIMEOUT_SECONDS = 1.5
ROUND_INTERVAL_SECONDS = 0.2
# Lower than the number of any event.
BEFORE_ALL = -1
# Hours, minutes, seconds and milliseconds in an ISO timestamp.
TIME_OF_DAY = slice(11, 23)

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
    "server assumed": "takes the server that the log names for its own until that reports: {service} {instance}",
    "server signed off": "its server {service} {instance} signs off",
    "link full": "refuses large bodies: its link is given away for {wait_milliseconds} ms, {waiting} wait",
    "link free": "its link has room for large bodies again, {bytes_per_second} bytes a second",
    "calls arrive late": "{late} of {calls} calls were over 0.2 s under way, the oldest {oldest_milliseconds} ms",
    "calls arrive in time": "calls arrive in time again",
    "lease lapsed": "its configuration, revision {revision}, was last confirmed {age_milliseconds} ms ago",
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


def format_event(event: dict) -> str:
    """One event as a line: time of day, owner and what happened."""
    kind = event["kind"]
    template = _TEMPLATES.get(kind)
    detail = event["detail"]
    try:
        text = template.format(**detail) if template else ""
    except KeyError:
        # A process of another release may give other details.
        text = ""
    text = text or kind + "".join(f" {name}={value}" for name, value in detail.items())
    return f"{event['moment'][TIME_OF_DAY]}  {event['owner']:<14} {text}"


class EventFollower:
    """Reads the new events of several processes, round by round."""

    def __init__(self, *, sources: list[str], past: bool) -> None:
        """Begins with the next event of each source, or with all it still keeps if `past` is set."""
        self.sources = sources
        self.past = past
        self.newest_seen: dict[str, int] = {}

    async def new_events(self, session: aiohttp.ClientSession) -> list[dict]:
        """The events since the last round, in the order of their times."""
        answers = await asyncio.gather(
            *(fetch_report(session=session, address=self._address(source)) for source in self.sources)
        )
        events: list[dict] = []
        for source, answer in zip(self.sources, answers, strict=True):
            if answer is not None:
                events += self._take(source, answer)
        return sorted(events, key=lambda event: event["moment"])

    def _address(self, source: str) -> str:
        separator = "&" if "?" in source else "?"
        return f"{source}{separator}after={self.newest_seen.get(source, BEFORE_ALL)}"

    def _take(self, source: str, answer: dict) -> list[dict]:
        newest = answer["newest"]
        # A process that started anew counts from one again: then all its events are new.
        if newest < self.newest_seen.get(source, BEFORE_ALL):
            self.newest_seen[source] = BEFORE_ALL
            return []
        is_shown = source in self.newest_seen or self.past
        self.newest_seen[source] = newest
        return answer["happenings"] if is_shown else []


async def follow(*, sources: list[str], seconds: float | None, past: bool, echo: Callable[[str], None]) -> None:
    """Prints new events until time is up.

    Args:
        sources: The addresses, with path, of what shows events.
        seconds: How long to go on; None for ever.
        past: Whether to begin with the events that are still kept.
        echo: Prints one line.
    """
    loop = asyncio.get_running_loop()
    end = None if seconds is None else loop.time() + seconds
    follower = EventFollower(sources=sources, past=past)
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=ROUND_TIMEOUT_SECONDS)) as session:
        while end is None or loop.time() < end:
            for event in await follower.new_events(session):
                echo(format_event(event))
            await asyncio.sleep(ROUND_INTERVAL_SECONDS)


@click.command()
@click.option(
    "--door",
    "endpoints",
    multiple=True,
    envvar="HOISTSADDLE_DOORS",
    help="A registry's operators' address; repeat for each.",
)
@click.option(
    "--stall",
    "proxies",
    multiple=True,
    envvar="HOISTSADDLE_STALLS",
    help="A proxy's clients' address; repeat for each.",
)
@click.option("--seconds", type=float, help="Stop after this long; without it, watch until interrupted.")
@click.option("--past", is_flag=True, help="Begin with what the processes still remember.")
def watch(endpoints, proxies, seconds, past) -> None:
    """Shows changes arriving, servers leaving, keys held, core machines catching up, as they happen."""
    if not endpoints and not proxies:
        exit_with_usage_error(
            "nothing to watch. Remedy: give --door and --stall, or set HOISTSADDLE_DOORS and HOISTSADDLE_STALLS."
        )
    sources = [f"{endpoint}/happenings" for endpoint in endpoints]
    # Registries also show the events of the stores. Which there are is read once; each is read at an endpoint of its
    # own.
    replicas = _replicas(endpoints) if endpoints else []
    for place, replica in enumerate(replicas):
        sources.append(f"{endpoints[place % len(endpoints)]}/happenings?warehouse={replica}")
    sources += [f"{proxy}/hoistsaddle/happenings" for proxy in proxies]
    try:
        asyncio.run(follow(sources=sources, seconds=seconds, past=past, echo=click.echo))
    except KeyboardInterrupt:
        pass


def _replicas(endpoints: tuple[str, ...]) -> list[str]:
    return sorted(call_or_exit(endpoints=endpoints, method="GET", path="/core")["machines"], key=int)
