"""What a generated day takes from a site file: names, spans and how much may be lost at once."""

import tomllib
from pathlib import Path
from typing import NamedTuple


class BenchSite(NamedTuple):
    """The part of a deployment that troubles refer to. The defaults fit a site whose file isn't given."""

    name: str = "any"
    # Seconds of traffic of a day.
    length: float = 32.0
    # After a machine's return it counts as lost for so many seconds more.
    settle: float = 4.0
    # Counted machines that may be lost at once.
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
        told = tomllib.load(file)
    core = [each for each in told["machines"] if "disk" in each]
    return BenchSite(
        name=told["name"],
        length=told["length_s"],
        settle=told["timing"]["catch_up_s"],
        losses=told["tolerate"]["machines"],
        spares=sum(each.get("spare", 0) for each in core),
        services=tuple(each["name"] for each in told["services"]),
        invalid=tuple(told["config"]["invalid"]),
        many_routes=max(200, 8 * told["config"]["idle_routes"]),
    )
