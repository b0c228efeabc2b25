"""A day of the emulated platform: a site and its scheduled events, drawn from a seed."""

import random
from typing import NamedTuple

from hoistsaddle.testbed.emulator.control_plane_days import (
    change_events,
    control_plane_events,
    end_of_faults,
    simple_fault,
)
from hoistsaddle.testbed.emulator.scheduled_events import (
    ACKNOWLEDGED,
    LEADER,
    LEFT,
    SENT,
    TAKEN,
    Change,
    CrashServer,
    DiskFault,
    FinalFault,
    Freeze,
    InvalidChange,
    JammedLink,
    Kill,
    LateHeartbeats,
    Misbehave,
    Partition,
    ReassignAddress,
    RestartServer,
    RewriteSettings,
    ScheduledEvent,
    Stop,
    TriggeredFault,
)
from hoistsaddle.testbed.emulator.site import BOUNDS, ONCE_PER_KEY, Site, draw_site, is_core


class Day(NamedTuple):
    """A site, its events by time, and the seconds of traffic before the final fault."""

    seed: int
    site: Site
    events: tuple[ScheduledEvent, ...]
    seconds: float
    # Faults during the first start of the whole site; their `at` counts from that start.
    first_start: tuple[ScheduledEvent, ...] = ()


# The share of days that concentrate on control-plane faults and changes.
CONTROL_PLANE_SHARE = 0.65
# On the other days, the share of simultaneous core failures that are power losses.
HERD_POWER_SHARE = 0.5
# The share of final disk losses in which all other machines lose power too.
ALL_POWER_SHARE = 0.5
# The kinds of faults that `_core_faults` draws.
CORE_FAULTS = (Kill, Freeze, Partition, DiskFault, Stop, TriggeredFault)


def _concerns_core(event: ScheduledEvent) -> bool:
    match event:
        case Kill(machines=names) | Freeze(machines=names) | Partition(machines=names):
            return any(name == LEADER or is_core(name) for name in names)
        case DiskFault(machine=name) | Stop(machine=name):
            return name == LEADER or is_core(name)
    return True


def _core_faults(rng: random.Random, site: Site, seconds: float) -> list[ScheduledEvent]:
    """Consecutive faults of core machines."""
    events: list[ScheduledEvent] = []
    end = end_of_faults(seconds)
    core = tuple(machine.name for machine in site.core)
    at = rng.uniform(2, 6)
    while at < end - 5:
        duration = rng.uniform(1, 4)
        machine = rng.choice([LEADER, *core])
        kind = rng.choice(("kill", "power", "wipe", "freeze", "cut", "one way", "disk", "herd", "stop", "after"))
        fault = simple_fault(
            rng, kind, at=at, duration=duration, machine=machine, core=core, herd_power_share=HERD_POWER_SHARE
        )
        events.append(fault or TriggeredFault(at, rng.choice(("kill", "power", "wipe")), duration))
        # A machine counts as lost for `settle_s` after its return; no more than the tolerated losses may overlap.
        at += duration + BOUNDS["settle_s"] + rng.uniform(0.5, 4)
    return events


def _sidecar_faults(rng: random.Random, site: Site, seconds: float) -> list[ScheduledEvent]:
    """Faults of sidecar machines and of servers."""
    events: list[ScheduledEvent] = []
    end = end_of_faults(seconds)
    core = [machine.name for machine in site.core]
    sidecars = [machine.name for machine in site.sidecars]
    services = [service_spec.name for service_spec in site.services]
    at = rng.uniform(2, 8)
    while at < end - 3:
        duration = rng.uniform(1, 5)
        machines = tuple(rng.sample(sidecars, rng.choice((1, 1, 2, max(2, len(sidecars) // 2)))))
        match rng.choice(("kill", "herd", "freeze", "cut", "one way", "misbehave", "crash", "nothing")):
            case "kill":
                events.append(Kill(at, machines[:1], duration, power=rng.random() < 0.5))
            case "herd":
                events.append(Kill(at, machines, duration / 2, power=rng.random() < 0.5))
            case "freeze":
                events.append(Freeze(at, machines[:2], duration))
            case "cut":
                events.append(Partition(at, machines[:1], (*core, *sidecars), duration))
            case "one way":
                events.append(Partition(at, machines[:1], (*core, *sidecars), duration, one_way=True))
            case "misbehave":
                how = rng.choice(("lost", "cut", "failure"))
                events.append(Misbehave(at, rng.choice(services), rng.uniform(0.02, 0.3), duration, how))
            case "crash":
                events.append(CrashServer(at, machines[0], duration))
        at += rng.uniform(2, 8)
    return events


def _planned_events(rng: random.Random, site: Site, seconds: float) -> list[ScheduledEvent]:
    """Restarts, planned stops, changes and invalid changes."""
    events: list[ScheduledEvent] = []
    sidecars = [machine.name for machine in site.sidecars]
    services = [service_spec.name for service_spec in site.services]
    at = rng.uniform(1, 4)
    while at < seconds - 4:
        machine = rng.choice(sidecars)
        match rng.choice(("release", "release", "replace", "stop", "change", "change", "change", "race", "bad")):
            case "release":
                events.append(RestartServer(at, machine))
            case "replace":
                events.append(ReassignAddress(at, machine, rng.choice(services)))
            case "stop":
                events.append(Stop(at, machine, 0.5))
            case "change":
                how = rng.choice(("add", "drop", "split", "move", "times", "idle"))
                events.append(Change(at, how, rng.randrange(1000)))
            case "race":
                events.append(Change(at, rng.choice(("split", "move", "times")), rng.randrange(1000), operators=2))
            case "bad":
                how = rng.choice(("torn", "unknown service", "below 0", "no hold", "aim", "kind", "old"))
                events.append(InvalidChange(at, how, rng.randrange(1000)))
        at += rng.uniform(0.8, 4)
    return events


def _server_reports(seed: int, site: Site, seconds: float) -> list[ScheduledEvent]:
    """On half of the days some heartbeats arrive late, and servers deregister without announcing that they leave.

    Drawn from a generator of its own, so that the other events of a seed don't change.
    """
    rng = random.Random(f"heartbeats {seed}")
    events: list[ScheduledEvent] = []
    if rng.random() < 0.5:
        return events
    for machine in rng.sample([machine.name for machine in site.sidecars], min(4, len(site.sidecars))):
        at = rng.uniform(1, seconds - 6)
        events.append(LateHeartbeats(max(0.0, at - rng.uniform(0.5, 3)), machine, rng.uniform(1, 4), rng.uniform(1, 4)))
        events.append(RestartServer(at, machine, announced=rng.random() < 0.4))
        if rng.random() < 0.4:
            events.append(TriggeredFault(at, rng.choice(("kill", "power")), rng.uniform(0.3, 1), LEFT))
    return events


def _full_links(seed: int, site: Site, seconds: float) -> list[ScheduledEvent]:
    """On some days links are full for seconds; drawn from a generator of its own, like the server reports."""
    rng = random.Random(f"links {seed}")
    if rng.random() < 0.6:
        return []
    names = [machine.name for machine in site.sidecars]
    return [
        JammedLink(rng.uniform(0.5, seconds - 6), rng.choice(names), rng.uniform(1, 6), rng.uniform(0, 1.5))
        for _ in range(rng.randint(1, 3))
    ]


def _frozen_servers(seed: int, site: Site, seconds: float) -> list[ScheduledEvent]:
    """On half of the days sidecars freeze for longer than the deadlines of keyed requests to their servers.

    The senders see broken connections and timeouts and can't tell whether the requests ran. Drawn from a generator of
    its own, like the server reports.
    """
    rng = random.Random(f"frozen servers {seed}")
    if rng.random() < 0.5:
        return []
    keyed = {route.name: route for route in site.routes if route.kind == ONCE_PER_KEY}
    services = {service for route in keyed.values() for service, _ in route.parts}
    names = [machine.name for machine in site.sidecars if machine.service in services]
    deadline = max(request_kind.deadline for request_kind in site.request_kinds if request_kind.route in keyed)
    return [
        Freeze(rng.uniform(0.5, seconds - 12), (name,), deadline + rng.uniform(0.5, 2.5))
        for name in rng.sample(names, min(2, len(names)))
    ]


def draw_day(seed: int, *, small: bool = False, seconds: float = 26.0) -> Day:
    """Draws three concurrent sequences: faults of the core, faults of the sidecars, and planned work.

    About two thirds of the days concentrate on the control plane, with other core faults and more changes.
    """
    site = draw_site(seed, small=small)
    rng = random.Random(f"day {seed}")
    # A generator of its own, so that days without a control-plane focus don't depend on its draws.
    control = random.Random(f"control {seed}")
    about_control_plane = control.random() < CONTROL_PLANE_SHARE
    final_fault = rng.choice(("", "kill", "power", "wipe"))
    events = _core_faults(rng, site, seconds)
    events += _sidecar_faults(rng, site, seconds)
    events += _planned_events(rng, site, seconds)
    if about_control_plane:
        events = [event for event in events if not isinstance(event, CORE_FAULTS) or not _concerns_core(event)]
        events += control_plane_events(control, site, seconds)
        events += change_events(control, seconds)
        site = site._replace(snapshot_records=control.choice((40, 150, 600)))
    events += _server_reports(seed, site, seconds) + _full_links(seed, site, seconds)
    events += _frozen_servers(seed, site, seconds)
    more = random.Random(f"more {seed}")
    sidecars = [machine.name for machine in site.sidecars]
    if more.random() < 0.3:
        events.append(RewriteSettings(more.uniform(1, seconds - 4)))
    if more.random() < 0.5:
        service = more.choice([service_spec.name for service_spec in site.services])
        events.append(ReassignAddress(more.uniform(2, seconds - 6), more.choice(sidecars), service, crash=True))
    if final_fault == "wipe" and random.Random(f"closing {seed}").random() < ALL_POWER_SHARE:
        final_fault = "wipe and all power"
    if final_fault:
        trigger = control.choice((ACKNOWLEDGED, SENT, TAKEN)) if about_control_plane else ACKNOWLEDGED
        events.append(FinalFault(seconds, final_fault, rng.uniform(0.5, 1.5), trigger))
    return Day(seed, site, tuple(sorted(events, key=lambda event: event.at)), seconds)
