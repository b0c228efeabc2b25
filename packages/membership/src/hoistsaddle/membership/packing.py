"""Packs configuration items into one compressed block: on slow links a large change must arrive within a second.

Names and fields repeat from item to item, so a block has about a seventh of the size of the separate items.
"""

import zlib
from collections.abc import Iterable

import msgspec

from hoistsaddle.rpc.messages import ConfigurationItem

# zlib's fastest level: higher levels take twice the time and save a tenth of the size.
COMPRESSION_LEVEL = 1
# A block that unpacks to more than this is damaged: no configuration comes near this size.
MAX_BLOCK_BYTES = 64 * 1024 * 1024

_decoder = msgspec.msgpack.Decoder(list[ConfigurationItem])


def pack_items(items: Iterable[ConfigurationItem]) -> bytes:
    """Packs the items into one block; empty if there are no items."""
    listed = list(items)
    return zlib.compress(msgspec.msgpack.encode(listed), COMPRESSION_LEVEL) if listed else b""


def unpack_items(block: bytes) -> tuple[ConfigurationItem, ...]:
    """Unpacks the items of a block.

    Raises:
        ValueError: The block is damaged.
    """
    if not block:
        return ()
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(block, MAX_BLOCK_BYTES)
        if not unpacker.eof:
            raise ValueError("the block of configuration items is truncated or too large")
        return tuple(_decoder.decode(data))
    except (zlib.error, msgspec.DecodeError) as problem:
        raise ValueError(f"the block of configuration items is damaged: {problem}") from problem
