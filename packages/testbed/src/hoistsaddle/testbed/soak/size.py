"""The size of a soak: its site on loopback addresses, and whether this machine has the capacity for it."""

import os
import random
import re
from typing import NamedTuple

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.testbed.emulator.site import CORE, CoreMachine, SidecarMachine, Site, draw_site

# The platform's limits for a shared machine: processes, and the share of its memory.
MAX_PROCESSES = 300
MEMORY_SHARE = 0.5
# The largest memory that one program needs in a short run.
BYTES_PER_PROCESS = 80 * 1024 * 1024
MIN_CONTROLLERS, MIN_SIDECARS = 3, 6
# Client requests a second per sidecar and in total: one Python process simulates all clients and servers.
RATE_PER_SIDECAR, MAX_RATE = 5.0, 150.0
# Each run has its own loopback network, 127.N.0.0, so that several can run at the same time.
FIRST_NETWORK, NETWORKS = 16, 200
_SIZE = re.compile(r"(\d{1,3})\+(\d{1,3})")


class Size(NamedTuple):
    """The numbers of controllers and sidecars of a soak."""

    controllers: int
    sidecars: int

    @property
    def processes(self) -> int:
        """The number of processes, without the one that runs clients and servers."""
        return self.controllers + self.sidecars


def read_size(text: str) -> Size | None:
    """Parse CONTROLLERS+SIDECARS; None if it can't be parsed or is too small to tolerate a loss."""
    match = _SIZE.fullmatch(text)
    if match is None:
        return None
    size = Size(int(match[1]), int(match[2]))
    return size if size.controllers >= MIN_CONTROLLERS and size.sidecars >= MIN_SIDECARS else None


def total_memory() -> int:
    """Return this machine's memory in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def check_room(size: Size, *, memory: int) -> MeshError | None:
    """Return an error if the soak needs more processes than this machine allows.

    Args:
        size: the size of the soak.
        memory: the memory of the machine, in bytes.
    """
    max_processes = min(MAX_PROCESSES, int(memory * MEMORY_SHARE / BYTES_PER_PROCESS))
    if size.processes <= max_processes:
        return None
    return MeshError(
        ErrorKind.PARAMS,
        f"{size.processes} processes, and this machine has room for {max_processes}.",
        "Ask for fewer.",
    )


def site_of(size: Size, *, seed: int) -> Site:
    """Return the site of a seed in this size, with loopback addresses."""
    drawn = draw_site(seed, small=True)
    rng = random.Random(f"soak {seed}")
    network = FIRST_NETWORK + (seed * 7 + os.getpid()) % NETWORKS
    services = [each.name for each in drawn.services]
    zones = drawn.zones
    core = tuple(
        CoreMachine(f"{CORE}{number}", f"127.{network}.{number % len(zones)}.{10 + number}", zones[number % len(zones)])
        for number in range(size.controllers)
    )
    sidecars = tuple(
        SidecarMachine(
            f"side-{number:02d}",
            f"127.{network}.{100 + number // 200}.{1 + number % 200}",
            zones[number % len(zones)],
            services[number % len(services)],
            rng.choice((0.7, 1.0, 1.4)),
        )
        for number in range(size.sidecars)
    )
    rate = min(size.sidecars * RATE_PER_SIDECAR, MAX_RATE)
    return drawn._replace(core=core, sidecars=sidecars, losses=(size.controllers - 1) // 2, rate=rate)
