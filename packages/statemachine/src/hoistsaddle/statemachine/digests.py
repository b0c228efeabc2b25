"""Digests over ranges of keys; they compare copies of the data plane's items with each other and with the log."""

import hashlib
import zlib
from collections.abc import Mapping
from functools import lru_cache

RANGES = 16
# The number of keys whose range is cached: more than a large mesh has.
RANGE_CACHE_SIZE = 16384


@lru_cache(maxsize=RANGE_CACHE_SIZE)
def range_of(key: str) -> int:
    """Returns the range of a key, at least 0 and below RANGES."""
    return zlib.crc32(key.encode()) % RANGES


def digests_of(items: Mapping[str, tuple[int, bytes]]) -> tuple[int, ...]:
    """Returns a digest of the keys, revisions and values of each range.

    A digest has 63 bits, as it is sent as a signed 64-bit integer.
    """
    hashes = [hashlib.blake2b(digest_size=8) for _ in range(RANGES)]
    for key in sorted(items):
        revision, value = items[key]
        hashes[range_of(key)].update(f"{key}\0{revision}\0{len(value)}\0".encode() + value)
    return tuple(int.from_bytes(each.digest()) >> 1 for each in hashes)
