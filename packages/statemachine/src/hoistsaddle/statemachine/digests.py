"""Digests over ranges of keys, by which copies of the data plane's items are compared with each other and the log."""

import hashlib
import zlib
from collections.abc import Mapping
from functools import lru_cache

RANGES = 16
# Keys whose range is cached: those of a large mesh, and then some.
RANGE_CACHE_SIZE = 16384


@lru_cache(maxsize=RANGE_CACHE_SIZE)
def range_of(key: str) -> int:
    """The range that a key belongs to, from 0 below RANGES."""
    return zlib.crc32(key.encode()) % RANGES


def digests_of(items: Mapping[str, tuple[int, bytes]]) -> tuple[int, ...]:
    """A digest of each range's keys, revisions and values; 63 bits, as they are sent as signed 64-bit integers."""
    hashes = [hashlib.blake2b(digest_size=8) for _ in range(RANGES)]
    for key in sorted(items):
        revision, value = items[key]
        hashes[range_of(key)].update(f"{key}\0{revision}\0{len(value)}\0".encode() + value)
    return tuple(int.from_bytes(each.digest()) >> 1 for each in hashes)
