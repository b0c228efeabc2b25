"""The schedule of a soak: overlapping series of signals, restarts and changes, drawn from the seed."""

import random

from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.scheduled_events import (
    LEFT,
    Change,
    ChangeStorm,
    CrashServer,
    Freeze,
    InvalidChange,
    Kill,
    LateHeartbeats,
    Misbehave,
    RepeatChange,
    RestartServer,
    RewriteSettings,
    ScheduledEvent,
    Stop,
    TriggeredFault,
)
from hoistsaddle.testbed.emulator.site import Site

# Events of servers; the more frequent ones are listed twice.
SERVER_EVENTS = ("leave", "leave unannounced", "leave unannounced", "late", "crash", "misbehave", "misbehave")
# Seconds between two lost disks, so that no more are lost at once than the smallest site tolerates.
WIPE_GAP = 20.0
# No events in the last seconds, so that operators can read back the configuration in force.
QUIET_SECONDS = 10.0
# Mean seconds between two events of each series; the series run independently of each other.
SIGNAL_GAP, SERVER_GAP, CHANGE_GAP, CORE_GAP, FROZEN_GAP = 4.0, 3.0, 1.2, 14.0, 9.0


def draw_soak(site: Site, *, seed: int, seconds: float) -> Day:
    """Draw the day of a soak.

    Args:
        site: the machines and services.
        seed: determines the schedule; only the timing of the machine varies.
        seconds: the duration of the traffic, with the quiet time at the end.
    """
    rng = random.Random(f"soak day {seed}")
    end = max(2.0, seconds - QUIET_SECONDS)
    events = _signals(rng, site, end) + _servers(rng, site, end) + _changes(rng, end) + _core(rng, site, end)
    events += _frozen_servers(random.Random(f"soak frozen servers {seed}"), site, end)
    return Day(seed, site, tuple(sorted(events, key=lambda event: event.at)), seconds)


def _times(rng: random.Random, gap: float, end: float) -> list[float]:
    times = [rng.uniform(0.5, 2.0)]
    while times[-1] < end:
        times.append(times[-1] + rng.expovariate(1 / gap))
    return times[:-1]


def _signals(rng: random.Random, site: Site, end: float) -> list[ScheduledEvent]:
    """Draw signals to sidecars: TERM, HUP, KILL, STOP and CONT, often several at once."""
    names = [machine.name for machine in site.sidecars]
    events: list[ScheduledEvent] = []
    for at in _times(rng, SIGNAL_GAP, end):
        for name in rng.sample(names, rng.choice((1, 1, 2))):
            match rng.choice(("term", "term", "kill", "freeze", "settings")):
                case "term":
                    events.append(Stop(at, name, rng.uniform(0.2, 1.0)))
                case "kill":
                    events.append(Kill(at, (name,), rng.uniform(0.2, 1.5)))
                case "freeze":
                    events.append(Freeze(at, (name,), rng.uniform(0.3, 3.0)))
                case "settings":
                    events.append(RewriteSettings(at))
    return events


def _frozen_servers(rng: random.Random, site: Site, end: float) -> list[ScheduledEvent]:
    """Draw freezes of sidecars as long as the deadlines of requests, so that the outcome of requests is unknown."""
    longest = max(request_kind.deadline for request_kind in site.request_kinds)
    return [
        Freeze(at, (rng.choice(site.sidecars).name,), rng.uniform(1.0, longest + 1.0))
        for at in _times(rng, FROZEN_GAP, end)
    ]


def _servers(rng: random.Random, site: Site, end: float) -> list[ScheduledEvent]:
    """Draw servers that leave with or without notice, crash, send late heartbeats, and break answers off."""
    names = [machine.name for machine in site.sidecars]
    events: list[ScheduledEvent] = []
    for at in _times(rng, SERVER_GAP, end):
        name = rng.choice(names)
        match rng.choice(SERVER_EVENTS):
            case "leave":
                events.append(RestartServer(at, name))
            case "leave unannounced":
                events.append(LateHeartbeats(max(0.1, at - 2.0), name, 3.0, rng.uniform(1.0, 4.0)))
                events.append(RestartServer(at, name, announced=False))
                if rng.random() < 0.3:
                    events.append(TriggeredFault(at - 0.1, "kill", rng.uniform(0.3, 1.0), LEFT))
            case "late":
                events.append(LateHeartbeats(at, name, rng.uniform(1.0, 5.0), rng.uniform(1.0, 4.0)))
            case "crash":
                events.append(CrashServer(at, name, rng.uniform(0.5, 3.0)))
            case "misbehave":
                service = rng.choice([each.name for each in site.services])
                how = rng.choice(("cut", "cut", "lost", "failure"))
                events.append(Misbehave(at, service, rng.uniform(0.05, 0.3), rng.uniform(1.0, 5.0), how))
    return events


def _changes(rng: random.Random, end: float) -> list[ScheduledEvent]:
    """Draw configuration changes, which don't wait for the previous one, and bursts of them."""
    events: list[ScheduledEvent] = []
    for at in _times(rng, CHANGE_GAP, end):
        pick = rng.randrange(1000)
        match rng.choice(("change", "change", "change", "race", "storm", "repeat", "invalid")):
            case "change":
                events.append(Change(at, rng.choice(("add", "drop", "split", "move", "times", "idle")), pick))
            case "race":
                events.append(Change(at, rng.choice(("split", "move", "times")), pick, operators=2))
            case "storm":
                events.append(ChangeStorm(at, rng.randint(4, 16), rng.uniform(0.02, 0.2), pick))
            case "repeat":
                events.append(RepeatChange(at, pick))
            case "invalid":
                events.append(InvalidChange(at, rng.choice(("unknown service", "below 0", "no hold", "kind")), pick))
    return events


def _core(rng: random.Random, site: Site, end: float) -> list[ScheduledEvent]:
    """Draw stops, kills, freezes and disk losses of single controllers; disk losses keep their minimum gap."""
    names = [machine.name for machine in site.core]
    events: list[ScheduledEvent] = []
    last_wipe = -WIPE_GAP
    for at in _times(rng, CORE_GAP, end):
        name, seconds = rng.choice(names), rng.uniform(0.3, 2.0)
        kind = rng.choice(("term", "kill", "freeze", "wipe" if at - last_wipe >= WIPE_GAP else "kill"))
        last_wipe = at if kind == "wipe" else last_wipe
        match kind:
            case "term":
                events.append(Stop(at, name, seconds))
            case "kill":
                events.append(Kill(at, (name,), seconds))
            case "freeze":
                events.append(Freeze(at, (name,), seconds))
            case "wipe":
                events.append(Kill(at, (name,), seconds, power=True, wipe=True))
    return events
