"""Frames on a stream: a length, then thrift's form of the frame; and the counts of what passed."""

import asyncio
import struct
from collections import defaultdict

from hoistsaddle.rpc.codec import Frame, pack, unpack_frame

# In bytes; a frame over the limit is garbage from something that isn't a hoistsaddle process.
LARGEST_FRAME = 64 * 1024 * 1024
IN = "in"
OUT = "out"
_length_form = struct.Struct("!I")


class Traffic:
    """Frames and bytes that passed this process's connections, by direction and class of message.

    Plain additions on the loop's one thread: a frame costs two look-ups and no lock.
    """

    def __init__(self) -> None:
        """Begins at zero."""
        self.frames: defaultdict[tuple[str, str], int] = defaultdict(int)
        self.octets: defaultdict[tuple[str, str], int] = defaultdict(int)

    def count(self, direction: str, message: tuple | None, size: int) -> None:
        """Counts a frame of so many bytes."""
        passed = (direction, type(message).__name__)
        self.frames[passed] += 1
        self.octets[passed] += size


async def read_frame(reader: asyncio.StreamReader, traffic: Traffic) -> Frame:
    """The next frame.

    Raises:
        ValueError: What comes is no frame.
        OSError, asyncio.IncompleteReadError, EOFError: The connection ended.
    """
    (length,) = _length_form.unpack(await reader.readexactly(_length_form.size))
    if length > LARGEST_FRAME:
        raise ValueError(f"frame of {length} bytes")
    frame = unpack_frame(await reader.readexactly(length))
    traffic.count(IN, frame.message, length + _length_form.size)
    return frame


def encode_frame(traffic: Traffic, *, number: int, answer: bool, message: tuple, sent: float) -> bytes:
    """The bytes of one frame, counted as passed; `sent` is the loop's time as its last byte is written, for calls."""
    data = pack(number=number, answer=answer, message=message, sent=sent)
    frame = _length_form.pack(len(data)) + data
    traffic.count(OUT, message, len(frame))
    return frame


def write_frame(writer: asyncio.StreamWriter, traffic: Traffic, *, number: int, answer: bool, message: tuple) -> int:
    """Writes one frame; returns its size in bytes."""
    sent = 0.0 if answer else asyncio.get_running_loop().time()
    frame = encode_frame(traffic, number=number, answer=answer, message=message, sent=sent)
    writer.write(frame)
    return len(frame)
