"""A day of the emulated platform: a site and what happens on it, drawn by a seed."""

import random
from typing import NamedTuple

from hoistsaddle.testbed.emulator.control_plane_days import change_events, control_plane_events
from hoistsaddle.testbed.emulator.scheduled_events import (
    ACKNOWLEDGED,
    LEADER,
    SENT,
    TAKEN,
    Change,
    CrashServer,
    DiskFault,
    FinalFault,
    Freeze,
    InvalidChange,
    Kill,
    Misbehave,
    Partition,
    ReassignAddress,
    RestartServer,
    RewriteSettings,
    ScheduledEvent,
    Stop,
    TriggeredFault,
)
from hoistsaddle.testbed.emulator.site import BOUNDS, Site, draw_site, is_core


class Day(NamedTuple):
    seed: int
    site: Site
    events: tuple[ScheduledEvent, ...]
    seconds: float


# So many days of all are about the control side.
CONTROL_DAYS = 0.65
# What the plain core lane draws.
CORE_FAULTS = (Kill, Freeze, Partition, DiskFault, Stop, TriggeredFault)


def _calm_from(seconds: float) -> float:
    return seconds - BOUNDS["settle_s"] - 2


def _of_core(trouble: ScheduledEvent) -> bool:
    match trouble:
        case Kill(machines=names) | Freeze(machines=names) | Partition(machines=names):
            return any(name == LEADER or is_core(name) for name in names)
        case DiskFault(machine=name) | Stop(machine=name):
            return name == LEADER or is_core(name)
    return True


def _core_faults(rng: random.Random, site: Site, seconds: float) -> list[ScheduledEvent]:
    """One trouble of the core after the other."""
    found: list[ScheduledEvent] = []
    calm_from = _calm_from(seconds)
    core = [machine.name for machine in site.core]
    at = rng.uniform(2, 6)
    while at < calm_from - 5:
        span = rng.uniform(1, 4)
        one = rng.choice([LEADER, *core])
        match rng.choice(("kill", "power", "wipe", "freeze", "cut", "one way", "disk", "herd", "stop", "after")):
            case "kill":
                found.append(Kill(at, (one,), span))
            case "power":
                found.append(Kill(at, (one,), span, power=True))
            case "wipe":
                found.append(Kill(at, (one,), span, power=True, wipe=True))
            case "freeze":
                found.append(Freeze(at, (one,), span))
            case "cut":
                found.append(Partition(at, (one,), tuple(core), span))
            case "one way":
                found.append(Partition(at, (one,), tuple(core), span, one_way=True))
            case "disk":
                found.append(DiskFault(at, one, span, rng.choice(("full", "stalled"))))
            case "herd":
                found.append(Kill(at, tuple(core), span / 3, power=rng.random() < 0.5))
            case "stop":
                found.append(Stop(at, one, 0.5))
            case "after":
                found.append(TriggeredFault(at, rng.choice(("kill", "power", "wipe")), span))
        # A lost machine counts as lost for a while after its return: the next trouble waits, as the losses borne say.
        at += span + BOUNDS["settle_s"] + rng.uniform(0.5, 4)
    return found


def _sidecar_faults(rng: random.Random, site: Site, seconds: float) -> list[ScheduledEvent]:
    """Troubles of the machines beside the servers, and of the servers."""
    found: list[ScheduledEvent] = []
    calm_from = _calm_from(seconds)
    core = [machine.name for machine in site.core]
    sidecars = [machine.name for machine in site.sidecars]
    services = [service_spec.name for service_spec in site.services]
    at = rng.uniform(2, 8)
    while at < calm_from - 3:
        span = rng.uniform(1, 5)
        some = tuple(rng.sample(sidecars, rng.choice((1, 1, 2, max(2, len(sidecars) // 2)))))
        match rng.choice(("kill", "herd", "freeze", "cut", "one way", "misbehave", "crash", "nothing")):
            case "kill":
                found.append(Kill(at, some[:1], span, power=rng.random() < 0.5))
            case "herd":
                found.append(Kill(at, some, span / 2, power=rng.random() < 0.5))
            case "freeze":
                found.append(Freeze(at, some[:2], span))
            case "cut":
                found.append(Partition(at, some[:1], (*core, *sidecars), span))
            case "one way":
                found.append(Partition(at, some[:1], (*core, *sidecars), span, one_way=True))
            case "misbehave":
                how = rng.choice(("lost", "cut", "failure"))
                found.append(Misbehave(at, rng.choice(services), rng.uniform(0.02, 0.3), span, how))
            case "crash":
                found.append(CrashServer(at, some[0], span))
        at += rng.uniform(2, 8)
    return found


def _planned_events(rng: random.Random, site: Site, seconds: float) -> list[ScheduledEvent]:
    """Releases, stops, changes and broken orders."""
    found: list[ScheduledEvent] = []
    sidecars = [machine.name for machine in site.sidecars]
    services = [service_spec.name for service_spec in site.services]
    at = rng.uniform(1, 4)
    while at < seconds - 4:
        machine = rng.choice(sidecars)
        match rng.choice(("release", "release", "replace", "stop", "change", "change", "change", "race", "bad")):
            case "release":
                found.append(RestartServer(at, machine))
            case "replace":
                found.append(ReassignAddress(at, machine, rng.choice(services)))
            case "stop":
                found.append(Stop(at, machine, 0.5))
            case "change":
                how = rng.choice(("add", "drop", "split", "move", "times", "idle"))
                found.append(Change(at, how, rng.randrange(1000)))
            case "race":
                found.append(Change(at, rng.choice(("split", "move", "times")), rng.randrange(1000), operators=2))
            case "bad":
                how = rng.choice(("torn", "unknown service", "below 0", "no hold", "aim", "kind", "old"))
                found.append(InvalidChange(at, how, rng.randrange(1000)))
        at += rng.uniform(0.8, 4)
    return found


def draw_day(seed: int, *, small: bool = False, seconds: float = 26.0) -> Day:
    """Three lanes side by side: the core's troubles one after the other, sidecars' troubles, and planned work.

    Two days of three are about the control side, with lanes of their own for the core and the operators.
    """
    site = draw_site(seed, small=small)
    rng = random.Random(f"day {seed}")
    # Drawn apart: what came later leaves the days of former seeds as they were.
    control = random.Random(f"control {seed}")
    about_control = control.random() < CONTROL_DAYS
    closing = rng.choice(("", "kill", "power", "wipe"))
    found = _core_faults(rng, site, seconds)
    found += _sidecar_faults(rng, site, seconds)
    found += _planned_events(rng, site, seconds)
    if about_control:
        found = [each for each in found if not isinstance(each, CORE_FAULTS) or not _of_core(each)]
        found += control_plane_events(control, site, seconds)
        found += change_events(control, seconds)
        site = site._replace(snapshot_records=control.choice((40, 150, 600)))
    more = random.Random(f"more {seed}")
    sidecars = [machine.name for machine in site.sidecars]
    if more.random() < 0.3:
        found.append(RewriteSettings(more.uniform(1, seconds - 4)))
    if more.random() < 0.5:
        service = more.choice([service_spec.name for service_spec in site.services])
        found.append(ReassignAddress(more.uniform(2, seconds - 6), more.choice(sidecars), service, crash=True))
    if closing:
        when = control.choice((ACKNOWLEDGED, SENT, TAKEN)) if about_control else ACKNOWLEDGED
        found.append(FinalFault(seconds, closing, rng.uniform(0.5, 1.5), when))
    return Day(seed, site, tuple(sorted(found, key=lambda each: each.at)), seconds)
