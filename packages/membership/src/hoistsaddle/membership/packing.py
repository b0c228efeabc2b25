"""Items of the configuration as one compressed block: on slow links a large change must arrive within a second.

Names and fields repeat from item to item, so a block is about a seventh of the size of its items one by one.
"""

import zlib
from collections.abc import Iterable

import msgspec

from hoistsaddle.rpc.messages import ConfigurationItem

# zlib's fastest level: higher ones take twice the time for a tenth less.
COMPRESSION_LEVEL = 1
# A block that unpacks to more than this is damaged: no configuration is near it.
MAX_BLOCK_BYTES = 64 * 1024 * 1024

_decoder = msgspec.msgpack.Decoder(list[ConfigurationItem])


def pack_items(items: Iterable[ConfigurationItem]) -> bytes:
    """The items as one block; empty for none."""
    listed = list(items)
    return zlib.compress(msgspec.msgpack.encode(listed), COMPRESSION_LEVEL) if listed else b""


def unpack_items(block: bytes) -> tuple[ConfigurationItem, ...]:
    """The items of a block.

    Raises:
        ValueError: the block is damaged.
    """
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
