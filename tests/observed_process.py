"""The memory and descriptors of a process under a crowd, as the platform counts them."""

import os
import socket
import struct
from pathlib import Path
from typing import NamedTuple

# Columns of /proc/net/tcp.
LOCAL_ADDRESS, QUEUES = 1, 4
BYTES_PER_MB = 1024 * 1024


class Usage(NamedTuple):
    """What a process uses at one moment."""

    resident_mb: float
    # Bytes that have arrived for its sockets and that it has not read: the platform counts them as its memory.
    unread_mb: float
    descriptors: int


def unread_bytes(host: str) -> int:
    """The bytes that have arrived for sockets bound to this address and are not read yet."""
    (number,) = struct.unpack("=I", socket.inet_aton(host))
    own = f"{number:08X}:"
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[LOCAL_ADDRESS].startswith(own):
            total += int(fields[QUEUES].partition(":")[2], 16)
    return total


def usage_of(pid: int, host: str) -> Usage | None:
    """What a process uses now; None if it has ended."""
    folder = Path("/proc") / str(pid)
    try:
        status = (folder / "status").read_text()
        descriptors = len(os.listdir(folder / "fd"))
    except OSError:
        return None
    resident = next((line for line in status.splitlines() if line.startswith("VmRSS")), None)
    if resident is None:
        return None
    return Usage(int(resident.split()[1]) / 1024, unread_bytes(host) / BYTES_PER_MB, descriptors)
