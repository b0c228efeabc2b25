"""Parses external input: the result is always a value in range or a typed error."""

import re
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import InvalidRequest, MeshError, field_in

Kind = TypeVar("Kind")
# The largest integer that both a double and a signed 64-bit integer represent exactly, like all below it.
MAX_INTEGER = 2**53
# Any number up to MAX_INTEGER fits into this many digits.
MAX_DIGITS = 16
_PLAIN_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")
# How much of an invalid text an error message shows.
MAX_SHOWN_CHARACTERS = 40


def whole_number(text: str, *, field: str, least: int = 0) -> Result[int, MeshError]:
    """Parses a decimal integer from `least` to `MAX_INTEGER`."""
    # Only ASCII digits are accepted, not those of other scripts, and no very long numbers.
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    if is_number and least <= int(text) <= MAX_INTEGER:
        return Success(int(text))
    message = f"{text[:MAX_SHOWN_CHARACTERS]!r} is not an integer from {least}."
    return Failure(InvalidRequest(message, field=field, remedy="Give an integer in this range."))


def plain_name(text: str, *, field: str) -> Result[str, MeshError]:
    """Validates a name of at most 128 letters, digits, dots, underscores, colons and hyphens."""
    if _PLAIN_NAME.match(text):
        return Success(text)
    message = f"{ascii(text[:MAX_SHOWN_CHARACTERS])} is not a valid name."
    return Failure(
        InvalidRequest(
            message, field=field, remedy="Use at most 128 letters, digits, dots, underscores, colons and hyphens."
        )
    )


def read_body(data: bytes, kind: type[Kind]) -> Result[Kind, MeshError]:
    """Decodes a JSON body of this type; an empty body counts as an empty object."""
    try:
        return Success(msgspec.json.decode(data or b"{}", type=kind))
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError) as problem:
        return Failure(InvalidRequest(f"The body is invalid: {problem}.", field=field_in(problem) or "body"))
