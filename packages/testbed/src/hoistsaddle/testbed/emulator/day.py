"""A day of the arcade: a site and what happens on it. Drawn by a seed, plain data, so that it can be made smaller."""

import random
from typing import NamedTuple

BOUNDS = {
    "contact_s": 3.0,
    "ack_s": 4.0,
    "settle_s": 4.0,
    "drain_s": 2.0,
    "grace_s": 6.0,
    "loss_slack_s": 0.2,
    "apply_s": 2.0,
    "revert_slack_s": 0.25,
    "budget_ratio": 0.2,
    "budget_window_s": 10.0,
    "budget_margin": 12.0,
    "key_window_s": 60.0,
    "recovery_s": 15.0,
    "reuse_after_s": 2.0,
}
REPEATABLE, ONCE_PER_SEND, ONCE_PER_KEY, UPLOAD = "repeatable", "once per send", "once per key", "upload"


class CoreMachine(NamedTuple):
    name: str
    host: str
    zone: str


class StallMachine(NamedTuple):
    name: str
    host: str
    zone: str
    service: str
    speed: float


class Shape(NamedTuple):
    """A service's servers."""

    name: str
    slots: int
    queue: int


class Route(NamedTuple):
    name: str
    host: str
    prefix: str
    kind: str
    parts: tuple[tuple[str, float], ...]
    hold: float
    aim: float
    rank: int
    sends: int


class Inner(NamedTuple):
    route: str
    share: float


class Visit(NamedTuple):
    """One kind of request: its route, its work at a server, what its visitors do."""

    route: str
    weight: float
    work: float
    deadline: float
    further: int
    inner: tuple[Inner, ...] = ()
    # So many of its good answers are asked for again.
    again: float = 0.0


class Site(NamedTuple):
    zones: tuple[str, ...]
    core: tuple[CoreMachine, ...]
    stalls: tuple[StallMachine, ...]
    services: tuple[Shape, ...]
    routes: tuple[Route, ...]
    visits: tuple[Visit, ...]
    inner: tuple[Visit, ...]
    losses: int
    rate: float
    sync_seconds: tuple[float, float]


# What happens. `at` counts from the start of traffic.


class Kill(NamedTuple):
    """Processes end at once; power also takes what a disk had not synced, and the machine says nothing while down."""

    at: float
    machines: tuple[str, ...]
    seconds: float
    power: bool = False
    wipe: bool = False


class Freeze(NamedTuple):
    at: float
    machines: tuple[str, ...]
    seconds: float


class Cut(NamedTuple):
    """Nothing passes from these machines to the others, nor back unless it is one way."""

    at: float
    machines: tuple[str, ...]
    others: tuple[str, ...]
    seconds: float
    one_way: bool = False


class DiskTrouble(NamedTuple):
    at: float
    machine: str
    seconds: float
    how: str


class Stop(NamedTuple):
    """SIGTERM, and a new start."""

    at: float
    machine: str
    seconds: float


class Misbehave(NamedTuple):
    """A share of a service's answers is lost, cut short or a failure."""

    at: float
    service: str
    share: float
    seconds: float
    how: str


class Release(NamedTuple):
    """A server leaves in order and a new life of it comes, on the same machine."""

    at: float
    machine: str


class Replace(NamedTuple):
    """A server leaves in order or crashes, its machine is stopped, and its address goes to another service's server."""

    at: float
    machine: str
    service: str
    crash: bool = False


class Crash(NamedTuple):
    """A server ends without a word."""

    at: float
    machine: str
    seconds: float


class Change(NamedTuple):
    """A proper order: add, drop, split, move, times or idle. Several at once are a race of desks."""

    at: float
    how: str
    pick: int
    desks: int = 1


class BadOrder(NamedTuple):
    at: float
    how: str
    pick: int


class Rewrite(NamedTuple):
    """The settings files change under the running programs."""

    at: float


class AfterWord(NamedTuple):
    """The core machine that acknowledges the next order is harmed right after."""

    at: float
    how: str
    seconds: float


class Closing(NamedTuple):
    """The day's last fault: kill, power, or wipe: as many disks as may be lost, the other machines' power now and then.

    "wipe and power" takes their power always.
    """

    at: float
    how: str
    seconds: float


Happening = (
    Kill
    | Freeze
    | Cut
    | DiskTrouble
    | Stop
    | Misbehave
    | Release
    | Replace
    | Crash
    | Change
    | BadOrder
    | Rewrite
    | AfterWord
    | Closing
)
# A core machine that is named when its time comes.
LEADER = "leader"


class Day(NamedTuple):
    seed: int
    site: Site
    happenings: tuple[Happening, ...]
    seconds: float


def _names(random: random.Random, count: int, stem: str) -> list[str]:
    found: dict[str, None] = {}
    while len(found) < count:
        found[stem + "".join(random.choice("bdfgklmnprstv") + random.choice("aeiou") for _ in range(2))] = None
    return list(found)


def draw_site(seed: int, *, small: bool = False) -> Site:
    draw = random.Random(f"site {seed}")
    zones = tuple(_names(draw, 2 if small else 3, "z-"))
    losses = 1 if small else draw.choice((1, 1, 1, 2))
    core = tuple(
        CoreMachine(f"core-{place}", f"10.{place % len(zones) + 1}.0.{10 + place}", zones[place % len(zones)])
        for place in range(2 * losses + 1 if small else draw.choice((2 * losses + 1, 2 * losses + 1, 5)))
    )
    names = _names(draw, 3, "s")
    services = tuple(Shape(name, draw.choice((4, 6, 9)), 24) for name in names)
    if random.Random(f"pressed {seed}").random() < 0.25 and not small:
        # A day on which more is asked than the servers can do.
        services = tuple(shape._replace(slots=2, queue=6) for shape in services)
    stalls: list[StallMachine] = []
    for service in services:
        for _ in range(2 if small else draw.choice((2, 3, 3, 4))):
            place = len(stalls)
            zone = zones[place % len(zones)]
            host = f"10.{place % len(zones) + 1}.1.{10 + place}"
            stalls.append(StallMachine(f"side-{place:02d}", host, zone, service.name, draw.choice((0.7, 1.0, 1.4))))
    first, second, third = names
    hosts = _names(draw, 3, "h-")
    # Inner routes lead to services that call nobody, so that calls end.
    routes = (
        Route("r-view", hosts[0], "/view/", REPEATABLE, ((first, 1.0),), 3.0, 0.5, 2, 2),
        Route("r-post", hosts[1], "/post/", ONCE_PER_KEY, ((second, 1.0),), 4.0, 0.6, 1, 2),
        Route("r-send", hosts[1], "/send/", ONCE_PER_SEND, ((second, 1.0),), 3.0, 0.6, 1, 2),
        Route("r-load", hosts[0], "/load/", UPLOAD, ((third, 1.0),), 4.0, 0.6, 2, 2),
        Route("r-peek", hosts[2], "/peek/", REPEATABLE, ((third, 1.0),), 0.5, 0.15, 0, 2),
    )
    visits = (
        Visit("r-view", 5.0, 0.1, draw.choice((0.8, 3.0)), 2, (Inner("r-peek", 0.6),)),
        Visit("r-post", 3.0, 0.12, draw.choice((1.0, 4.0)), 2, (Inner("r-peek", 0.3),), 0.1),
        Visit("r-send", 1.0, 0.1, 2.0, 2),
        Visit("r-load", 1.0, 0.15, 4.0, 2),
    )
    inner = (Visit("r-peek", 0.0, 0.03, 0.5, 0),)
    room = sum(shape.slots * len([s for s in stalls if s.service == shape.name]) for shape in services)
    room = max(room, 2 * 8 * len(services))
    rate = min(draw.uniform(0.25, 0.6) * room / 0.2, 18.0 if small else 45.0)
    return Site(
        zones,
        core,
        tuple(stalls),
        services,
        routes,
        visits,
        inner,
        losses,
        rate,
        draw.choice(((0.0003, 0.001), (0.0015, 0.004))),
    )


def draw_day(seed: int, *, small: bool = False, seconds: float = 26.0) -> Day:
    """Three lanes side by side: the core's troubles one after the other, stalls' troubles, and planned work."""
    site = draw_site(seed, small=small)
    draw = random.Random(f"day {seed}")
    found: list[Happening] = []
    core = [machine.name for machine in site.core]
    stalls = [machine.name for machine in site.stalls]
    services = [shape.name for shape in site.services]
    closing = draw.choice(("", "kill", "power", "wipe"))
    calm_from = seconds - BOUNDS["settle_s"] - 2

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

    at = draw.uniform(2, 8)
    while at < calm_from - 3:
        span = draw.uniform(1, 5)
        some = tuple(draw.sample(stalls, draw.choice((1, 1, 2, max(2, len(stalls) // 2)))))
        match draw.choice(("kill", "herd", "freeze", "cut", "one way", "misbehave", "crash", "nothing")):
            case "kill":
                found.append(Kill(at, some[:1], span, power=draw.random() < 0.5))
            case "herd":
                found.append(Kill(at, some, span / 2, power=draw.random() < 0.5))
            case "freeze":
                found.append(Freeze(at, some[:2], span))
            case "cut":
                found.append(Cut(at, some[:1], (*core, *stalls), span))
            case "one way":
                found.append(Cut(at, some[:1], (*core, *stalls), span, one_way=True))
            case "misbehave":
                how = draw.choice(("lost", "cut", "failure"))
                found.append(Misbehave(at, draw.choice(services), draw.uniform(0.02, 0.3), span, how))
            case "crash":
                found.append(Crash(at, some[0], span))
        at += draw.uniform(2, 8)

    at = draw.uniform(1, 4)
    while at < seconds - 4:
        machine = draw.choice(stalls)
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
    # Drawn apart: what came later leaves the days of former seeds as they were.
    more = random.Random(f"more {seed}")
    if more.random() < 0.3:
        found.append(Rewrite(more.uniform(1, seconds - 4)))
    if more.random() < 0.5:
        found.append(Replace(more.uniform(2, seconds - 6), more.choice(stalls), more.choice(services), crash=True))
    if closing:
        found.append(Closing(seconds, closing, draw.uniform(0.5, 1.5)))
    return Day(seed, site, tuple(sorted(found, key=lambda each: each.at)), seconds)
