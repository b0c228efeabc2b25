"""A day of the emulated platform: a site and what happens on it, drawn by a seed."""

import random
from typing import NamedTuple

from hoistsaddle.testbed.emulator.controldays import control_lane, orders_lane
from hoistsaddle.testbed.emulator.site import BOUNDS, Site, draw_site, is_core
from hoistsaddle.testbed.emulator.troubles import (
    ACKNOWLEDGED,
    LEADER,
    SENT,
    TAKEN,
    AfterWord,
    BadOrder,
    Change,
    Closing,
    Crash,
    Cut,
    DiskTrouble,
    Freeze,
    Happening,
    Kill,
    Misbehave,
    Release,
    Replace,
    Rewrite,
    Stop,
)


class Day(NamedTuple):
    seed: int
    site: Site
    happenings: tuple[Happening, ...]
    seconds: float


# So many days of all are about the control side.
CONTROL_DAYS = 0.65
# What the plain core lane draws.
CORE_TROUBLES = (Kill, Freeze, Cut, DiskTrouble, Stop, AfterWord)


def _calm_from(seconds: float) -> float:
    return seconds - BOUNDS["settle_s"] - 2


def _of_core(trouble: Happening) -> bool:
    match trouble:
        case Kill(machines=names) | Freeze(machines=names) | Cut(machines=names):
            return any(name == LEADER or is_core(name) for name in names)
        case DiskTrouble(machine=name) | Stop(machine=name):
            return name == LEADER or is_core(name)
    return True


def _core_lane(draw: random.Random, site: Site, seconds: float) -> list[Happening]:
    """One trouble of the core after the other."""
    found: list[Happening] = []
    calm_from = _calm_from(seconds)
    core = [machine.name for machine in site.core]
    at = draw.uniform(2, 6)
    while at < calm_from - 5:
        span = draw.uniform(1, 4)
        one = draw.choice([LEADER, *core])
        match draw.choice(("kill", "power", "wipe", "freeze", "cut", "one way", "disk", "herd", "stop", "after")):
            case "kill":
                found.append(Kill(at, (one,), span))
            case "power":
                found.append(Kill(at, (one,), span, power=True))
            case "wipe":
                found.append(Kill(at, (one,), span, power=True, wipe=True))
            case "freeze":
                found.append(Freeze(at, (one,), span))
            case "cut":
                found.append(Cut(at, (one,), tuple(core), span))
            case "one way":
                found.append(Cut(at, (one,), tuple(core), span, one_way=True))
            case "disk":
                found.append(DiskTrouble(at, one, span, draw.choice(("full", "stalled"))))
            case "herd":
                found.append(Kill(at, tuple(core), span / 3, power=draw.random() < 0.5))
            case "stop":
                found.append(Stop(at, one, 0.5))
            case "after":
                found.append(AfterWord(at, draw.choice(("kill", "power", "wipe")), span))
        # A lost machine counts as lost for a while after its return: the next trouble waits, as the losses borne say.
        at += span + BOUNDS["settle_s"] + draw.uniform(0.5, 4)
    return found


def _sidecar_lane(draw: random.Random, site: Site, seconds: float) -> list[Happening]:
    """Troubles of the machines beside the servers, and of the servers."""
    found: list[Happening] = []
    calm_from = _calm_from(seconds)
    core = [machine.name for machine in site.core]
    sidecars = [machine.name for machine in site.sidecars]
    services = [shape.name for shape in site.services]
    at = draw.uniform(2, 8)
    while at < calm_from - 3:
        span = draw.uniform(1, 5)
        some = tuple(draw.sample(sidecars, draw.choice((1, 1, 2, max(2, len(sidecars) // 2)))))
        match draw.choice(("kill", "herd", "freeze", "cut", "one way", "misbehave", "crash", "nothing")):
            case "kill":
                found.append(Kill(at, some[:1], span, power=draw.random() < 0.5))
            case "herd":
                found.append(Kill(at, some, span / 2, power=draw.random() < 0.5))
            case "freeze":
                found.append(Freeze(at, some[:2], span))
            case "cut":
                found.append(Cut(at, some[:1], (*core, *sidecars), span))
            case "one way":
                found.append(Cut(at, some[:1], (*core, *sidecars), span, one_way=True))
            case "misbehave":
                how = draw.choice(("lost", "cut", "failure"))
                found.append(Misbehave(at, draw.choice(services), draw.uniform(0.02, 0.3), span, how))
            case "crash":
                found.append(Crash(at, some[0], span))
        at += draw.uniform(2, 8)
    return found


def _planned_lane(draw: random.Random, site: Site, seconds: float) -> list[Happening]:
    """Releases, stops, changes and broken orders."""
    found: list[Happening] = []
    sidecars = [machine.name for machine in site.sidecars]
    services = [shape.name for shape in site.services]
    at = draw.uniform(1, 4)
    while at < seconds - 4:
        machine = draw.choice(sidecars)
        match draw.choice(("release", "release", "replace", "stop", "change", "change", "change", "race", "bad")):
            case "release":
                found.append(Release(at, machine))
            case "replace":
                found.append(Replace(at, machine, draw.choice(services)))
            case "stop":
                found.append(Stop(at, machine, 0.5))
            case "change":
                how = draw.choice(("add", "drop", "split", "move", "times", "idle"))
                found.append(Change(at, how, draw.randrange(1000)))
            case "race":
                found.append(Change(at, draw.choice(("split", "move", "times")), draw.randrange(1000), desks=2))
            case "bad":
                how = draw.choice(("torn", "unknown service", "below 0", "no hold", "aim", "kind", "old"))
                found.append(BadOrder(at, how, draw.randrange(1000)))
        at += draw.uniform(0.8, 4)
    return found


def draw_day(seed: int, *, small: bool = False, seconds: float = 26.0) -> Day:
    """Three lanes side by side: the core's troubles one after the other, sidecars' troubles, and planned work.

    Two days of three are about the control side, with lanes of their own for the core and the operators.
    """
    site = draw_site(seed, small=small)
    draw = random.Random(f"day {seed}")
    # Drawn apart: what came later leaves the days of former seeds as they were.
    control = random.Random(f"control {seed}")
    about_control = control.random() < CONTROL_DAYS
    closing = draw.choice(("", "kill", "power", "wipe"))
    found = _core_lane(draw, site, seconds)
    found += _sidecar_lane(draw, site, seconds)
    found += _planned_lane(draw, site, seconds)
    if about_control:
        found = [each for each in found if not isinstance(each, CORE_TROUBLES) or not _of_core(each)]
        found += control_lane(control, site, seconds)
        found += orders_lane(control, seconds)
        site = site._replace(snapshot_records=control.choice((40, 150, 600)))
    more = random.Random(f"more {seed}")
    sidecars = [machine.name for machine in site.sidecars]
    if more.random() < 0.3:
        found.append(Rewrite(more.uniform(1, seconds - 4)))
    if more.random() < 0.5:
        service = more.choice([shape.name for shape in site.services])
        found.append(Replace(more.uniform(2, seconds - 6), more.choice(sidecars), service, crash=True))
    if closing:
        when = control.choice((ACKNOWLEDGED, SENT, TAKEN)) if about_control else ACKNOWLEDGED
        found.append(Closing(seconds, closing, draw.uniform(0.5, 1.5), when))
    return Day(seed, site, tuple(sorted(found, key=lambda each: each.at)), seconds)
