"""Framing on a stream: a 4-byte length, then the frame in Thrift's binary protocol; and counts of the traffic."""

import asyncio
import io
import struct
from collections import defaultdict
from datetime import timedelta
from typing import NamedTuple

from hoistsaddle.common.byte_budget import SMALL_LEASE_BYTES, ByteLease
from hoistsaddle.common.connection_writes import write_or_raise
from hoistsaddle.rpc.codec import Frame, pack, unpack_frame

# What a frame may have besides a body: its headers and encoding, in bytes.
FRAME_OVERHEAD_BYTES = 1024 * 1024
# The largest frame: one with the largest body. A larger length means that the peer isn't a hoistsaddle process.
MAX_FRAME_BYTES = 64 * 1024 * 1024 + FRAME_OVERHEAD_BYTES
# A larger frame is read in parts of this size, each of which is counted.
FRAME_PART_BYTES = 65536
# A large frame of which nothing arrives for this long will not be completed.
FRAME_SILENCE_TIMEOUT = timedelta(seconds=10)
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


class FrameOverBudget(Exception):
    """The byte budget of the process has no room for a frame that is being received."""


async def read_frame(reader: asyncio.StreamReader, traffic: Traffic, *, lease: ByteLease | None = None) -> Frame:
    """Reads the next frame.

    Args:
        reader: The stream to read from.
        traffic: Counts the frame.
        lease: Holds the bytes of the frame as they arrive, until the caller releases it; None if they are not counted.

    Raises:
        ValueError: The data is not a valid frame.
        FrameOverBudget: The budget has no room for the frame; the stream can't be used any more.
        OSError, asyncio.IncompleteReadError, EOFError: The connection was lost, or the frame stopped arriving.
    """
    (length,) = _length_struct.unpack(await reader.readexactly(_length_struct.size))
    if length > MAX_FRAME_BYTES:
        raise ValueError(f"frame of {length} bytes")
    if length <= SMALL_LEASE_BYTES or lease is None:
        data = await reader.readexactly(length)
        if lease is not None:
            lease.resize(length)
    else:
        data = await _read_large_frame(reader, length, lease)
    frame = unpack_frame(data)
    traffic.count(IN, frame.message, length + _length_struct.size)
    return frame


async def _read_large_frame(reader: asyncio.StreamReader, length: int, lease: ByteLease) -> bytes:
    # Its value is taken without a copy.
    data = io.BytesIO()
    received = 0
    while received < length:
        async with asyncio.timeout(FRAME_SILENCE_TIMEOUT.total_seconds()):
            part = await reader.read(min(length - received, FRAME_PART_BYTES))
        if not part:
            raise asyncio.IncompleteReadError(b"", length - received)
        received += data.write(part)
        lease.resize(received)
        if not lease.fits():
            raise FrameOverBudget
    return data.getvalue()


def release_frames_of(problem: BaseException) -> None:
    """Drops the traceback of an error that ended a stream.

    The stream keeps the error, and by its traceback all that was being read or written: a cycle that is freed late.
    """
    problem.__traceback__ = None


class EncodedFrame(NamedTuple):
    """A frame to be sent: its length prefix and its data, which are not joined, as that would copy a large body."""

    prefix: bytes
    data: bytes

    @property
    def size(self) -> int:
        """The number of bytes to be sent."""
        return len(self.prefix) + len(self.data)


def encode_frame(traffic: Traffic, *, number: int, answer: bool, message: tuple, sent: float) -> EncodedFrame:
    """Encodes and counts one frame; for a call, `sent` is the event loop's time when its last byte is written."""
    data = pack(number=number, answer=answer, message=message, sent=sent)
    frame = EncodedFrame(_length_struct.pack(len(data)), data)
    traffic.count(OUT, message, frame.size)
    return frame


def write_frame(writer: asyncio.StreamWriter, traffic: Traffic, *, number: int, answer: bool, message: tuple) -> int:
    """Writes one frame and returns its size in bytes.

    Raises:
        OSError: The connection was lost.
    """
    sent = 0.0 if answer else asyncio.get_running_loop().time()
    frame = encode_frame(traffic, number=number, answer=answer, message=message, sent=sent)
    if frame.size <= SMALL_LEASE_BYTES:
        write_or_raise(writer, frame.prefix + frame.data)
    else:
        write_or_raise(writer, frame.prefix)
        write_or_raise(writer, frame.data)
    return frame.size
