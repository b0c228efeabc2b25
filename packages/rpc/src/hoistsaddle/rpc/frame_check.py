"""Checks the lengths and counts in a received frame before a decoder follows them.

Thrift's decoders believe a frame: the compiled one reads on behind its end, and both reserve memory and run loops for
as many bytes and elements as it says.
"""

import struct

# The types of Thrift's binary protocol whose values have a fixed size, in bytes: bool, byte, double, i16, i32, i64.
FIXED_SIZES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
STRING, STRUCT, MAP, SET, LIST = 11, 12, 13, 14, 15
STOP = 0
# The sizes of a field's type and id, of a length or count, and of the heads of lists and of maps, in bytes.
FIELD_HEAD_BYTES = 3
LENGTH_BYTES = 4
STRING_FIELD_BYTES = FIELD_HEAD_BYTES + LENGTH_BYTES
LIST_HEAD_BYTES = 5
MAP_HEAD_BYTES = 6
# How deep structs and containers may be nested; the messages have four levels.
MAX_DEPTH = 16
# The most fields and elements of a frame: more than those of 1 MiB of the smallest records of any message.
MAX_VALUES = 256 * 1024
_length = struct.Struct("!I")


class MalformedFrame(ValueError):
    """A frame's lengths or counts don't fit its bytes, or are over their limits."""


def check_frame(data: bytes) -> None:
    """Check one frame.

    Raises:
        MalformedFrame: it can't be decoded within its bytes and the limits.
    """
    walk = _Walk(data)
    try:
        end = walk.struct(0, MAX_DEPTH)
    except (IndexError, struct.error) as problem:
        raise MalformedFrame("a frame ends within a field") from problem
    if end > len(data):
        raise MalformedFrame("a frame ends within a field")


class _Walk:
    """Steps over the values of one frame; each method takes a value's position and returns the one after it."""

    __slots__ = ("_data", "_values_left")

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._values_left = MAX_VALUES

    def struct(self, position: int, depth: int) -> int:
        """Step over a struct's fields."""
        # Every field of every frame passes here. A length beyond the data ends in an IndexError at the next field.
        data, fixed_sizes, length_at = self._data, FIXED_SIZES, _length.unpack_from
        fields = 0
        while (kind := data[position]) != STOP:
            fields += 1
            if (size := fixed_sizes.get(kind)) is not None:
                position += FIELD_HEAD_BYTES + size
            elif kind == STRING:
                position += STRING_FIELD_BYTES + length_at(data, position + FIELD_HEAD_BYTES)[0]
            else:
                position = self._value(kind, position + FIELD_HEAD_BYTES, depth)
        self._count(fields)
        return position + 1

    def _count(self, values: int) -> None:
        self._values_left -= values
        if self._values_left < 0:
            raise MalformedFrame("a frame has too many values")

    def _value(self, kind: int, position: int, depth: int) -> int:
        """Step over a value without a fixed size."""
        if kind == STRING:
            return position + LENGTH_BYTES + self._length(position)
        if depth <= 0:
            raise MalformedFrame("a frame is nested too deep")
        if kind == STRUCT:
            return self.struct(position, depth - 1)
        if kind in (LIST, SET):
            count = self._length(position + 1)
            return self._elements((self._data[position],), count, position + LIST_HEAD_BYTES, depth - 1)
        if kind == MAP:
            count = self._length(position + 2)
            kinds = (self._data[position], self._data[position + 1])
            return self._elements(kinds, count, position + MAP_HEAD_BYTES, depth - 1)
        raise MalformedFrame(f"a frame has a value of type {kind}")

    def _length(self, position: int) -> int:
        (length,) = _length.unpack_from(self._data, position)
        if length > len(self._data) - position:
            raise MalformedFrame("a frame says a length that is not there")
        return length

    def _elements(self, kinds: tuple[int, ...], count: int, position: int, depth: int) -> int:
        """Step over the elements of a list or map; each consists of values of these types."""
        self._count(count * len(kinds))
        sizes = [FIXED_SIZES.get(kind) for kind in kinds]
        if None not in sizes:
            return position + count * sum(size or 0 for size in sizes)
        for _ in range(count):
            for kind, size in zip(kinds, sizes, strict=True):
                position = position + size if size is not None else self._value(kind, position, depth)
        return position
