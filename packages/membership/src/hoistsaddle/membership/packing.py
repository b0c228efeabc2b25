"""Items of the configuration as one compressed block: on thin links a large change must cross in a part of a second.

Names and fields repeat from item to item, so a block is about a seventh of what its items are one by one.
"""

import zlib
from collections.abc import Iterable

import msgspec

from hoistsaddle.rpc.messages import ConfigurationItem

# The fastest level: higher ones take twice the time for a tenth less.
LEVEL = 1
# A block that unpacks to more than this is damaged: no configuration is near it.
MAX_BLOCK_BYTES = 64 * 1024 * 1024

_decoder = msgspec.msgpack.Decoder(list[ConfigurationItem])


def pack_items(items: Iterable[ConfigurationItem]) -> bytes:
    """The items as one block; empty for none."""
    transmissions = list(items)
    return zlib.compress(msgspec.msgpack.encode(transmissions), LEVEL) if transmissions else b""


def unpack_items(block: bytes) -> tuple[ConfigurationItem, ...]:
    """The items of a block. Raises ValueError for one that is damaged."""
    if not block:
        return ()
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(block, MAX_BLOCK_BYTES)
        if not unpacker.eof:
            raise ValueError("a block of items is cut short or too large")
        return tuple(_decoder.decode(data))
    except (zlib.error, msgspec.DecodeError) as problem:
        raise ValueError(f"a block of items is damaged: {problem}") from problem
