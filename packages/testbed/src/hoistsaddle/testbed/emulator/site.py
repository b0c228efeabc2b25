"""A site of the emulated platform: bounds, machines, services, routes and what clients ask for, drawn by a seed."""

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
    "seed_lag_s": 3.0,
}
REPEATABLE, ONCE_PER_SEND, ONCE_PER_KEY, UPLOAD = "repeatable", "once per send", "once per key", "upload"


CORE = "core-"


def is_core(machine: str) -> bool:
    """Whether this name is one of a core machine, also of one that came during the day."""
    return machine.startswith(CORE)


class CoreMachine(NamedTuple):
    name: str
    host: str
    zone: str


class SidecarMachine(NamedTuple):
    name: str
    host: str
    zone: str
    service: str
    speed: float


class ServiceSpec(NamedTuple):
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


class NestedCall(NamedTuple):
    route: str
    share: float


class RequestKind(NamedTuple):
    """One kind of request: its route, its work at a server, what its clients do."""

    route: str
    weight: float
    work: float
    deadline: float
    retries: int
    inner: tuple[NestedCall, ...] = ()
    # So many of its good answers are asked for again.
    again: float = 0.0


class Site(NamedTuple):
    zones: tuple[str, ...]
    core: tuple[CoreMachine, ...]
    sidecars: tuple[SidecarMachine, ...]
    services: tuple[ServiceSpec, ...]
    routes: tuple[Route, ...]
    request_kinds: tuple[RequestKind, ...]
    inner: tuple[RequestKind, ...]
    losses: int
    rate: float
    sync_seconds: tuple[float, float]
    # A snapshot each so many records; the product's own span by default.
    snapshot_records: int = 600


def _names(random: random.Random, count: int, stem: str) -> list[str]:
    found: dict[str, None] = {}
    while len(found) < count:
        found[stem + "".join(random.choice("bdfgklmnprstv") + random.choice("aeiou") for _ in range(2))] = None
    return list(found)


def draw_site(seed: int, *, small: bool = False) -> Site:
    rng = random.Random(f"site {seed}")
    zones = tuple(_names(rng, 2 if small else 3, "z-"))
    losses = 1 if small else rng.choice((1, 1, 1, 2))
    core = tuple(
        CoreMachine(f"{CORE}{place}", f"10.{place % len(zones) + 1}.0.{10 + place}", zones[place % len(zones)])
        for place in range(2 * losses + 1 if small else rng.choice((2 * losses + 1, 2 * losses + 1, 5)))
    )
    names = _names(rng, 3, "s")
    services = tuple(ServiceSpec(name, rng.choice((4, 6, 9)), 24) for name in names)
    if random.Random(f"pressed {seed}").random() < 0.25 and not small:
        # A day on which more is asked than the servers can do.
        services = tuple(service_spec._replace(slots=2, queue=6) for service_spec in services)
    sidecars: list[SidecarMachine] = []
    for service in services:
        for _ in range(2 if small else rng.choice((2, 3, 3, 4))):
            place = len(sidecars)
            zone = zones[place % len(zones)]
            host = f"10.{place % len(zones) + 1}.1.{10 + place}"
            sidecars.append(SidecarMachine(f"side-{place:02d}", host, zone, service.name, rng.choice((0.7, 1.0, 1.4))))
    first, second, third = names
    hosts = _names(rng, 3, "h-")
    # Inner routes lead to services that call nobody, so that calls end.
    routes = (
        Route("r-view", hosts[0], "/view/", REPEATABLE, ((first, 1.0),), 3.0, 0.5, 2, 2),
        Route("r-post", hosts[1], "/post/", ONCE_PER_KEY, ((second, 1.0),), 4.0, 0.6, 1, 2),
        Route("r-send", hosts[1], "/send/", ONCE_PER_SEND, ((second, 1.0),), 3.0, 0.6, 1, 2),
        Route("r-load", hosts[0], "/load/", UPLOAD, ((third, 1.0),), 4.0, 0.6, 2, 2),
        Route("r-peek", hosts[2], "/peek/", REPEATABLE, ((third, 1.0),), 0.5, 0.15, 0, 2),
    )
    request_kinds = (
        RequestKind("r-view", 5.0, 0.1, rng.choice((0.8, 3.0)), 2, (NestedCall("r-peek", 0.6),)),
        RequestKind("r-post", 3.0, 0.12, rng.choice((1.0, 4.0)), 2, (NestedCall("r-peek", 0.3),), 0.1),
        RequestKind("r-send", 1.0, 0.1, 2.0, 2),
        RequestKind("r-load", 1.0, 0.15, 4.0, 2),
    )
    inner = (RequestKind("r-peek", 0.0, 0.03, 0.5, 0),)
    room = sum(
        service_spec.slots * len([s for s in sidecars if s.service == service_spec.name]) for service_spec in services
    )
    room = max(room, 2 * 8 * len(services))
    rate = min(rng.uniform(0.25, 0.6) * room / 0.2, 18.0 if small else 45.0)
    return Site(
        zones,
        core,
        tuple(sidecars),
        services,
        routes,
        request_kinds,
        inner,
        losses,
        rate,
        rng.choice(((0.0003, 0.001), (0.0015, 0.004))),
    )
