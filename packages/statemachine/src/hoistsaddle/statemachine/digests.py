"""Digests over ranges of keys: by them copies of the news are compared with each other and with what the log says."""

import hashlib
import zlib
from collections.abc import Mapping
from functools import lru_cache

RANGES = 16
# Keys whose range is remembered: those of a large mesh, with room for what comes and goes.
RANGE_CACHE_SIZE = 16384


@lru_cache(maxsize=RANGE_CACHE_SIZE)
def range_of(key: str) -> int:
    return zlib.crc32(key.encode()) % RANGES


def digests_of(items: Mapping[str, tuple[int, bytes]]) -> tuple[int, ...]:
    hashes = [hashlib.blake2b(digest_size=8) for _ in range(RANGES)]
    for key in sorted(items):
        revision, value = items[key]
        hashes[range_of(key)].update(f"{key}\0{revision}\0{len(value)}\0".encode() + value)
    # Thrift's i64 is signed: keep 63 bits.
    return tuple(int.from_bytes(each.digest()) >> 1 for each in hashes)
