"""`hoistsaddle watch`: prints the events of the mesh as they occur."""

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
    "bundle submitted": "bundle {number} is submitted by {author}",
    "bundle refused": "a bundle from {author} is rejected: {mishap}",
    "operator refused": "a call of {operator} is rejected: {wanted}, {mishap}",
    "key given back": "releases key {scope} for {entry}: no attempt ran",
    "bundle signed": "bundle {number} is signed by {operator}: stage {stage} of {stages} ({name})",
    "bundle advanced": "bundle {number} advances to stage {stage} of {stages} ({name})",
    "bundle aborted": "bundle {number} is aborted",
    "in force": "in force on all machines concerned after {seconds} s",
    "bundle taken up": "applies bundle {bundle} (before: {before})",
    "bundle patched": "bundle {number}, in parts, is in force: {items} items from {author}, signed by {signer}",
    "patch refused": "a patch is rejected: {mishap} (field {field})",
    "items taken up": "applies {items} items at revision {revision}",
    "server told": "its server reports: {service} {instance} is {state}",
    "server assumed": "uses the server that the log records here until its next health report: {service} {instance}",
    "server signed off": "its server {service} {instance} signs off",
    "link full": "rejects large bodies: its link is allocated for {wait_milliseconds} ms, {waiting} are queued",
    "link free": "its link has room for large bodies again, {bytes_per_second} bytes a second",
    "calls arrive late": "{late} of {calls} calls took over 0.2 s to arrive, the oldest {oldest_milliseconds} ms",
    "calls arrive in time": "calls arrive in time again",
    "lease lapsed": "its configuration, revision {revision}, was last confirmed {age_milliseconds} ms ago",
    "server silent": "its server {service} {instance} stopped reporting",
    "server noted": "server beside {stall}: {service} {instance} is {state}",
    "server drained": "server beside {stall} is marked by {operator}",
    "key held": "holds key {scope} for {entry}",
    "key settled": "settles key {scope} for {entry}",
    "key expired": "key {scope} for {entry} expires; it was {was}",
    "room spent": "has no retry budget left for {service}",
    "room again": "has retry budget again for {service}",
    "release level raised": "replica {replica}: the mesh is now at release level {level}",
    "halted": "replica {replica} has stopped: {why}",
    "gone forgotten": "replica {replica} removes servers {servers} and nodes {nodes}, which left long ago",
    "operator change proposed": "a change of operator {name} is proposed: {what}",
    "operator change signed": "operator {name} is changed; there are now {operators}",
    "leading": "replica {replica} is the leader from offset {offset}, epoch {epoch}",
    "catching up": "replica {replica} pulls checkpoint {checkpoint}",
    "caught up": "replica {replica} has caught up: checkpoint {checkpoint}, log to {log_end}",
    "voter swapped": "replica {voter} is a voter again with its new disk",
    "voter added": "replica {voter} becomes a voter, one of {voters}",
    "voter dropped": "replica {voter} is no longer a voter; {voters} are left",
    "founded": "is founded as mesh {mesh}",
    "losses not borne": "the voters don't bear the tolerated losses, {lost_at_worst} of {voters} may go. {remedy}",
    "losses borne": "the voters {voters} bear the tolerated losses",
    "params refused": "its changed settings are refused: {message} (field {field}). {remedy}",
    "addresses kept": "goes on with port_range {port_range}, not {changed_port_range}. {remedy}",
    "task restarted": "its task {task} ended and is started again: {why}",
    "duty done": "carries out a duty: {what} {about}",
    "member changed": "sees {node} as {state}",
    "stood still": "was frozen for {seconds} s",
}


def format_event(event: dict) -> str:
    """Formats an event as a line: time of day, owner and description."""
    kind = event["kind"]
    template = _TEMPLATES.get(kind)
    detail = event["detail"]
    try:
        text = template.format(**detail) if template else ""
    except KeyError:
        # A process of another release may report other details.
        text = ""
    text = text or kind + "".join(f" {name}={value}" for name, value in detail.items())
    return f"{event['moment'][TIME_OF_DAY]}  {event['owner']:<14} {text}"


class EventFollower:
    """Polls several processes for new events."""

    def __init__(self, *, sources: list[str], past: bool) -> None:
        """Begins with the next event of each source, or with all events that it still keeps if `past` is set."""
        self.sources = sources
        self.past = past
        self.newest_seen: dict[str, int] = {}

    async def new_events(self, session: aiohttp.ClientSession) -> list[dict]:
        """Returns the events since the last round, in the order of their times."""
        answers = await asyncio.gather(
            *(fetch_report(session=session, address=self._address(source)) for source in self.sources)
        )
        events: list[dict] = []
        for source, answer in zip(self.sources, answers, strict=True):
            if answer is not None:
                events += self._unseen_events(source, answer)
        return sorted(events, key=lambda event: event["moment"])

    def _address(self, source: str) -> str:
        separator = "&" if "?" in source else "?"
        return f"{source}{separator}after={self.newest_seen.get(source, BEFORE_ALL)}"

    def _unseen_events(self, source: str, answer: dict) -> list[dict]:
        newest = answer["newest"]
        # A restarted process numbers its events from one again, so the next round reads all of them.
        if newest < self.newest_seen.get(source, BEFORE_ALL):
            self.newest_seen[source] = BEFORE_ALL
            return []
        is_shown = source in self.newest_seen or self.past
        self.newest_seen[source] = newest
        return answer["happenings"] if is_shown else []


async def follow(*, sources: list[str], seconds: float | None, past: bool, echo: Callable[[str], None]) -> None:
    """Prints new events until the time has passed.

    Args:
        sources: The addresses, with path, at which processes report events.
        seconds: How long to run; None for no limit.
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
    help="A registry's address for operators; repeat for each.",
)
@click.option(
    "--stall",
    "proxies",
    multiple=True,
    envvar="HOISTSADDLE_STALLS",
    help="A proxy's address for clients; repeat for each.",
)
@click.option("--seconds", type=float, help="Stop after this long; without it, watch until interrupted.")
@click.option("--past", is_flag=True, help="Begin with the events that the processes still keep.")
def watch(endpoints, proxies, seconds, past) -> None:
    """Shows events as they occur: changes, leaving servers, held keys, core machines that catch up."""
    if not endpoints and not proxies:
        exit_with_usage_error(
            "nothing to watch. Remedy: give --door and --stall, or set HOISTSADDLE_DOORS and HOISTSADDLE_STALLS."
        )
    sources = [f"{endpoint}/happenings" for endpoint in endpoints]
    # Registries also report the events of the stores. The list of stores is read once, and the stores are spread over
    # the endpoints.
    replicas = _replicas(endpoints) if endpoints else []
    for index, replica in enumerate(replicas):
        sources.append(f"{endpoints[index % len(endpoints)]}/happenings?warehouse={replica}")
    sources += [f"{proxy}/hoistsaddle/happenings" for proxy in proxies]
    try:
        asyncio.run(follow(sources=sources, seconds=seconds, past=past, echo=click.echo))
    except KeyboardInterrupt:
        pass


def _replicas(endpoints: tuple[str, ...]) -> list[str]:
    return sorted(call_or_exit(endpoints=endpoints, method="GET", path="/core")["machines"], key=int)
