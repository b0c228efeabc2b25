"""Encodes and decodes messages and frames with Thrift's binary protocol.

The structs of mesh.thrift have the same names as the message classes and fields; only their field ids are encoded.
"""

import re
from collections.abc import Callable
from datetime import timedelta
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.protocol.binary import TBinaryProtocol
from thriftpy2.transport.memory import TMemoryBuffer
from thriftpy2.utils import deserialize, serialize

from hoistsaddle.common.clock import from_microseconds, to_microseconds
from hoistsaddle.rpc import messages
from hoistsaddle.rpc.frame_check import check_frame

mesh_thrift = thriftpy2.load(str(Path(__file__).with_name("mesh.thrift")), module_name="hoistsaddle_mesh_thrift")
_protocol = TCyBinaryProtocolFactory()
MICROSECONDS = 1e6
# A larger message is encoded and decoded by the library's plain protocol. It is slower for each field, but it copies a
# field's bytes once, and the compiled protocol up to three times. Messages of many records are smaller than this.
LARGE_MESSAGE_BYTES = 1024 * 1024

Converter = Callable[[Any], Any]


def _is_message(hint: Any) -> bool:
    return isinstance(hint, type) and hasattr(hint, "_fields")


# Every message class, and every class nested in a message, by the common name of the class and its struct.
MESSAGES: dict[str, Any] = {name: value for name in messages.__all__ if _is_message(value := getattr(messages, name))}


@cache
def tag_of(kind: Any) -> str:
    """The name of the union field for messages of this class."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", kind.__name__).lower()


def _to_thrift_converter(hint: Any) -> Converter | None:
    """Returns the converter from a field's value to its Thrift value; None if the two are the same."""
    if hint is timedelta:
        return to_microseconds
    if get_origin(hint) is tuple:
        write = _to_thrift_converter(get_args(hint)[0])
        return list if write is None else lambda values: [write(value) for value in values]
    return to_thrift if _is_message(hint) else None


def _from_thrift_converter(hint: Any) -> Converter | None:
    """Returns the converter from a field's Thrift value to its value; None if the two are the same."""
    if hint is timedelta:
        return from_microseconds
    if get_origin(hint) is tuple:
        read = _from_thrift_converter(get_args(hint)[0])
        if read is None:
            return lambda values: tuple(values or ())
        return lambda values: tuple([read(value) for value in values or ()])
    if get_origin(hint) is dict:
        return lambda value: dict(value or {})
    if hint is bytes:
        return lambda value: value if isinstance(value, bytes) else (value or "").encode()
    return from_thrift if _is_message(hint) else None


class _Field(NamedTuple):
    """One field of a message, with its converters to and from Thrift."""

    name: str
    write: Converter | None
    read: Converter | None
    has_default: bool


@cache
def _fields_of(kind: Any) -> tuple[_Field, ...]:
    # Cached for each class: looking up the type hints for each message took half of a busy controller's CPU time.
    hints = get_type_hints(kind)
    return tuple(
        _Field(
            name, _to_thrift_converter(hints[name]), _from_thrift_converter(hints[name]), name in kind._field_defaults
        )
        for name in kind._fields
    )


def to_thrift(message: Any) -> object:
    """Converts a message to its Thrift struct."""
    kind: Any = type(message)
    struct = getattr(mesh_thrift, kind.__name__)()
    for field, value in zip(_fields_of(kind), message, strict=True):
        setattr(struct, field.name, value if field.write is None else field.write(value))
    return struct


def from_thrift(struct: object) -> tuple:
    """Converts a Thrift struct to its message."""
    kind = MESSAGES[type(struct).__name__]
    values = {}
    for field in _fields_of(kind):
        value = getattr(struct, field.name)
        # A field that an older sender doesn't know is unset, and gets the default of the message class.
        if value is None and field.has_default:
            continue
        values[field.name] = value if field.read is None else field.read(value)
    return kind(**values)


class Frame(NamedTuple):
    """One message on a connection; the number matches an answer to its call."""

    number: int
    answer: bool
    # None for a message that only a newer release knows.
    message: tuple | None
    # The sender's monotonic clock in seconds; 0 if the frame doesn't carry it.
    sent: float = 0.0


def pack(*, number: int, answer: bool, message: tuple, sent: float = 0.0) -> bytes:
    """Encodes a frame, without its length prefix.

    Args:
        number: Matches an answer to its call.
        answer: Whether the message is an answer.
        message: The message.
        sent: This process's monotonic clock in seconds; 0 to leave it out.
    """
    union = mesh_thrift.Message(**{tag_of(type(message)): to_thrift(message)})
    sent_microseconds = round(sent * MICROSECONDS) or None
    frame = mesh_thrift.Frame(number=number, answer=answer, message=union, sent=sent_microseconds)
    if bytes_in(message) <= LARGE_MESSAGE_BYTES:
        return serialize(frame, _protocol)
    buffer = TMemoryBuffer()
    frame.write(TBinaryProtocol(buffer))
    return buffer.getvalue()


def bytes_in(message: tuple) -> int:
    """The number of bytes in a message's own binary fields, which make up most of a large message."""
    return sum(len(field) for field in message if isinstance(field, bytes))


def unpack_frame(data: bytes) -> Frame:
    """Decodes a frame.

    Raises:
        ValueError: The data is not a valid frame.
    """
    check_frame(data)
    try:
        return _unpack(data)
    except Exception as problem:
        # The decoder and the conversion of fields raise many exception types for data that is no message.
        raise ValueError(f"invalid frame: {problem!r}") from problem


def _unpack(data: bytes) -> Frame:
    frame = mesh_thrift.Frame()
    if len(data) <= LARGE_MESSAGE_BYTES:
        deserialize(frame, data, _protocol)
    else:
        frame.read(TBinaryProtocol(TMemoryBuffer(data)))
    message = next((from_thrift(value) for value in vars(frame.message).values() if value is not None), None)
    return Frame(frame.number, bool(frame.answer), message, (frame.sent or 0) / MICROSECONDS)


def unpack(data: bytes) -> tuple[int, bool, tuple | None]:
    """Decodes a frame to its number, whether it is an answer, and its message."""
    return unpack_frame(data)[:3]
