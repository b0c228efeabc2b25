"""Framing on a stream: a 4-byte length, then the frame in Thrift's binary protocol; and counts of the traffic."""

import asyncio
import struct
from collections import defaultdict

from hoistsaddle.rpc.codec import Frame, pack, unpack_frame

# In bytes. A larger length means that the peer isn't a hoistsaddle process.
MAX_FRAME_BYTES = 64 * 1024 * 1024
IN = "in"
OUT = "out"
_length_struct = struct.Struct("!I")


class Traffic:
    """The frames and bytes of this process's connections, by direction and class of message.

    Counted only on the event loop's thread: a frame costs two look-ups and no lock.
    """

    def __init__(self) -> None:
        """Starts at zero."""
        self.frames: defaultdict[tuple[str, str], int] = defaultdict(int)
        self.octets: defaultdict[tuple[str, str], int] = defaultdict(int)

    def count(self, direction: str, message: tuple | None, size: int) -> None:
        """Counts one frame of `size` bytes."""
        key = (direction, type(message).__name__)
        self.frames[key] += 1
        self.octets[key] += size


async def read_frame(reader: asyncio.StreamReader, traffic: Traffic) -> Frame:
    """Reads the next frame.

    Raises:
        ValueError: The data is not a valid frame.
        OSError, asyncio.IncompleteReadError, EOFError: The connection was closed or lost.
    """
    (length,) = _length_struct.unpack(await reader.readexactly(_length_struct.size))
    if length > MAX_FRAME_BYTES:
        raise ValueError(f"frame of {length} bytes")
    frame = unpack_frame(await reader.readexactly(length))
    traffic.count(IN, frame.message, length + _length_struct.size)
    return frame


def encode_frame(traffic: Traffic, *, number: int, answer: bool, message: tuple, sent: float) -> bytes:
    """Encodes and counts one frame; for a call, `sent` is the event loop's time when its last byte is written."""
    data = pack(number=number, answer=answer, message=message, sent=sent)
    frame = _length_struct.pack(len(data)) + data
    traffic.count(OUT, message, len(frame))
    return frame


def write_frame(writer: asyncio.StreamWriter, traffic: Traffic, *, number: int, answer: bool, message: tuple) -> int:
    """Writes one frame and returns its size in bytes."""
    sent = 0.0 if answer else asyncio.get_running_loop().time()
    frame = encode_frame(traffic, number=number, answer=answer, message=message, sent=sent)
    writer.write(frame)
    return len(frame)
