"""What a generated day takes from a site file: names, durations and how much may be lost at once."""

import tomllib
from pathlib import Path
from typing import NamedTuple

# A large change has so many routes for each idle route of the site.
ROUTES_PER_IDLE_ROUTE = 8


class BenchSite(NamedTuple):
    """The part of a deployment that events refer to. The defaults fit a site whose file isn't given."""

    name: str = "any"
    # Seconds of traffic of a day.
    length: float = 32.0
    # After a machine's return it counts as lost for so many seconds more.
    settle: float = 4.0
    # Core machines that may be lost at once.
    losses: int = 1
    # Machines that may be added during a day.
    spares: int = 3
    services: tuple[str, ...] = ()
    # Ways in which an invalid configuration is wrong.
    invalid: tuple[str, ...] = ("cut_short", "unknown_service", "no_timeout", "old_version")
    # The routes that a large configuration brings: few on a small site.
    many_routes: int = 200


def read_site(path: Path) -> BenchSite:
    """Reads a site file.

    Raises:
        OSError: the file can't be read.
        tomllib.TOMLDecodeError: it holds no TOML.
        KeyError: it lacks what a site file has.
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
