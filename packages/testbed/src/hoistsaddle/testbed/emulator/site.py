"""A site of the emulated platform, drawn from a seed: machines, services, routes and kinds of requests."""

import random
from typing import NamedTuple

from hoistsaddle.testbed.emulator.processors import ProcessorSpeed

# The platform's bounds: seconds (`_s`) and ratios that its rules and the product's settings share.
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
# Prefix of the names of core machines.
CORE = "core-"
# The share of sites whose servers can't handle the load.
OVERLOADED_SHARE = 0.25
# The mean time that a request occupies a slot, used to choose the load.
MEAN_RUN_SECONDS = 0.2


def is_core(machine: str) -> bool:
    """Whether this is the name of a core machine, including those added during the day."""
    return machine.startswith(CORE)


class CoreMachine(NamedTuple):
    """A machine with a replica of the log."""

    name: str
    host: str
    zone: str


class SidecarMachine(NamedTuple):
    """A machine with a sidecar and a server of one service; a server of speed 2 takes twice as long."""

    name: str
    host: str
    zone: str
    service: str
    speed: float


class ServiceSpec(NamedTuple):
    """A service, and how many requests each of its servers runs and queues."""

    name: str
    slots: int
    queue: int


class Route(NamedTuple):
    """A configured route: weighted services, timeout and latency target in seconds, rank, maximum attempts."""

    name: str
    host: str
    prefix: str
    kind: str
    parts: tuple[tuple[str, float], ...]
    timeout: float
    latency_target: float
    rank: int
    max_attempts: int


class NestedCall(NamedTuple):
    """A call that a server makes for a share of the requests it runs."""

    route: str
    share: float


class RequestKind(NamedTuple):
    """A kind of request: route, weight among all requests, run time and deadline in seconds, maximum retries."""

    route: str
    weight: float
    work: float
    deadline: float
    retries: int
    nested: tuple[NestedCall, ...] = ()
    # The share of served requests that are repeated with the same key.
    repeated_share: float = 0.0
    # The minimum size of a request's body, on routes whose requests have one.
    body_bytes: int = 0


class Site(NamedTuple):
    """A deployment of the platform, and the load of its clients."""

    zones: tuple[str, ...]
    core: tuple[CoreMachine, ...]
    sidecars: tuple[SidecarMachine, ...]
    services: tuple[ServiceSpec, ...]
    routes: tuple[Route, ...]
    request_kinds: tuple[RequestKind, ...]
    nested_kinds: tuple[RequestKind, ...]
    # How many core machines may be lost at once.
    losses: int
    # Requests a second.
    rate: float
    # Shortest and longest duration of a disk's sync.
    sync_seconds: tuple[float, float]
    # A snapshot is written after this many records; by default the product's own setting.
    snapshot_records: int = 600
    # Bandwidth of each sidecar machine's link in each direction; 0 means unlimited.
    link_bytes_per_second: float = 0.0
    # Processing time of messages on core machines; none by default.
    core_speed: ProcessorSpeed = ProcessorSpeed()


def _draw_names(rng: random.Random, count: int, prefix: str) -> list[str]:
    """Distinct names of two syllables."""
    found: dict[str, None] = {}
    while len(found) < count:
        found[prefix + "".join(rng.choice("bdfgklmnprstv") + rng.choice("aeiou") for _ in range(2))] = None
    return list(found)


def draw_site(seed: int, *, small: bool = False) -> Site:
    """Draws the site of a seed; `small` gives the fewest machines. The order of the draws determines the result."""
    rng = random.Random(f"site {seed}")
    zones = tuple(_draw_names(rng, 2 if small else 3, "z-"))
    losses = 1 if small else rng.choice((1, 1, 1, 2))
    core = _draw_core(rng, zones, losses, small=small)
    names = _draw_names(rng, 3, "s")
    services = tuple(ServiceSpec(name, rng.choice((4, 6, 9)), 24) for name in names)
    if random.Random(f"pressed {seed}").random() < OVERLOADED_SHARE and not small:
        # The load of such a day exceeds the capacity of the servers.
        services = tuple(service_spec._replace(slots=2, queue=6) for service_spec in services)
    sidecars = _draw_sidecars(rng, zones, services, small=small)
    routes = _routes(names, _draw_names(rng, 3, "h-"))
    request_kinds = (
        RequestKind("r-view", 5.0, 0.1, rng.choice((0.8, 3.0)), 2, (NestedCall("r-peek", 0.6),)),
        RequestKind("r-post", 3.0, 0.12, rng.choice((1.0, 4.0)), 2, (NestedCall("r-peek", 0.3),), 0.1),
        RequestKind("r-send", 1.0, 0.1, 2.0, 2),
        RequestKind("r-load", 1.0, 0.15, 4.0, 2),
    )
    nested_kinds = (RequestKind("r-peek", 0.0, 0.03, 0.5, 0),)
    slots_by_service = {service_spec.name: service_spec.slots for service_spec in services}
    slots = max(sum(slots_by_service[sidecar.service] for sidecar in sidecars), 2 * 8 * len(services))
    rate = min(rng.uniform(0.25, 0.6) * slots / MEAN_RUN_SECONDS, 18.0 if small else 45.0)
    sync_seconds = rng.choice(((0.0003, 0.001), (0.0015, 0.004)))
    return Site(zones, core, sidecars, services, routes, request_kinds, nested_kinds, losses, rate, sync_seconds)


def _draw_core(rng: random.Random, zones: tuple[str, ...], losses: int, *, small: bool) -> tuple[CoreMachine, ...]:
    """The smallest number of replicas that tolerates the losses, or five."""
    least = 2 * losses + 1
    return tuple(
        CoreMachine(f"{CORE}{number}", f"10.{number % len(zones) + 1}.0.{10 + number}", zones[number % len(zones)])
        for number in range(least if small else rng.choice((least, least, 5)))
    )


def _draw_sidecars(
    rng: random.Random, zones: tuple[str, ...], services: tuple[ServiceSpec, ...], *, small: bool
) -> tuple[SidecarMachine, ...]:
    sidecars: list[SidecarMachine] = []
    for service in services:
        for _ in range(2 if small else rng.choice((2, 3, 3, 4))):
            number = len(sidecars)
            zone = number % len(zones)
            host = f"10.{zone + 1}.1.{10 + number}"
            speed = rng.choice((0.7, 1.0, 1.4))
            sidecars.append(SidecarMachine(f"side-{number:02d}", host, zones[zone], service.name, speed))
    return tuple(sidecars)


def _routes(services: list[str], hosts: list[str]) -> tuple[Route, ...]:
    """A route of each kind, and one for nested calls; its service makes no nested calls, so that call chains end."""
    first, second, third = services
    return (
        Route("r-view", hosts[0], "/view/", REPEATABLE, ((first, 1.0),), 3.0, 0.5, 2, 2),
        Route("r-post", hosts[1], "/post/", ONCE_PER_KEY, ((second, 1.0),), 4.0, 0.6, 1, 2),
        Route("r-send", hosts[1], "/send/", ONCE_PER_SEND, ((second, 1.0),), 3.0, 0.6, 1, 2),
        Route("r-load", hosts[0], "/load/", UPLOAD, ((third, 1.0),), 4.0, 0.6, 2, 2),
        Route("r-peek", hosts[2], "/peek/", REPEATABLE, ((third, 1.0),), 0.5, 0.15, 0, 2),
    )
