"""The parts of a site file that generated days depend on: names, durations and the tolerated losses."""

import tomllib
from pathlib import Path
from typing import NamedTuple

# A large change adds this many routes for each idle route of the site.
ROUTES_PER_IDLE_ROUTE = 8


class BenchSite(NamedTuple):
    """The part of a deployment that events refer to; the defaults are used without a site file."""

    name: str = "any"
    # Seconds of traffic in a day.
    length: float = 32.0
    # A machine counts as lost for this many seconds after its return.
    settle: float = 4.0
    # How many core machines may be lost at once.
    losses: int = 1
    # How many core machines may be added during a day.
    spares: int = 3
    services: tuple[str, ...] = ()
    # The kinds of invalid configurations.
    invalid: tuple[str, ...] = ("cut_short", "unknown_service", "no_timeout", "old_version")
    # The maximum number of routes that a large change adds; depends on the size of the site.
    many_routes: int = 200


def read_site(path: Path) -> BenchSite:
    """Reads a site file.

    Raises:
        OSError: the file can't be read.
        tomllib.TOMLDecodeError: the file isn't valid TOML.
        KeyError: a required key is missing.
    """
    with path.open("rb") as file:
        site = tomllib.load(file)
    core = [machines for machines in site["machines"] if "disk" in machines]
    return BenchSite(
        name=site["name"],
        length=site["length_s"],
        settle=site["timing"]["catch_up_s"],
        losses=site["tolerate"]["machines"],
        spares=sum(machines.get("spare", 0) for machines in core),
        services=tuple(service["name"] for service in site["services"]),
        invalid=tuple(site["config"]["invalid"]),
        many_routes=max(BenchSite().many_routes, ROUTES_PER_IDLE_ROUTE * site["config"]["idle_routes"]),
    )
