"""Messages between a scale run and its worker processes, as lines of JSON."""

import msgspec

from hoistsaddle.testbed.scale.sizes import Size


class Job(msgspec.Struct, frozen=True):
    """The configuration of a worker: the first line that it reads."""

    # "hollow", "whole" (a full proxy) or "core".
    kind: str
    seed: int
    stretch: float
    # The second number of all addresses of the run.
    block: int
    size: Size
    # Hosts of the core machines.
    core: list[str]
    # Numbers of the proxies in this process.
    numbers: list[int] = []
    host: str = ""
    zone: str = ""
    folder: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """Resource usage and counters of a worker since its start."""

    # The time of the mesh's clock, in seconds.
    at: float
    # Seconds of processor time.
    processor: float
    # Bytes of resident memory.
    resident: int
    # Open file descriptors, most of them connections.
    connections: int
    # Frames and bytes sent and received, by direction and kind of message ("out PollCall").
    frames: dict[str, int]
    octets: dict[str, int]
    # The nodes' own counters.
    counts: dict[str, int]
