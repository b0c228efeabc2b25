"""Reading what comes from outside: whatever its shape, it ends as a value in range or as a typed error."""

import re
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import InvalidRequest, MeshError, field_in

Kind = TypeVar("Kind")
# What a double and a signed 64-bit number both hold exactly.
LARGEST_NUMBER = 2**53
# Longer texts are no number up to the largest one.
MAX_DIGITS = 16
_PLAIN_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")
# So much of a wrong text is shown again.
SHOWN_CHARACTERS = 40


def whole_number(text: str, *, field: str, least: int = 0) -> Result[int, MeshError]:
    """Reads a decimal integer from `least` to `LARGEST_NUMBER`."""
    # ASCII digits only: other scripts' digits and very long numbers mean nothing here.
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    if is_number and least <= int(text) <= LARGEST_NUMBER:
        return Success(int(text))
    message = f"{text[:SHOWN_CHARACTERS]!r} is no whole number from {least}."
    return Failure(InvalidRequest(message, field=field, remedy="Give one."))


def plain_name(text: str, *, field: str) -> Result[str, MeshError]:
    """Reads a name of at most 128 letters, digits, dots, underscores, colons and hyphens."""
    if _PLAIN_NAME.match(text):
        return Success(text)
    message = f"{ascii(text[:SHOWN_CHARACTERS])} is no plain name."
    return Failure(InvalidRequest(message, field=field, remedy="Use letters, digits, . _ : and -, 128 at most."))


def read_body(data: bytes, kind: type[Kind]) -> Result[Kind, MeshError]:
    """Reads a JSON body of this type; an empty one counts as an empty object."""
    try:
        return Success(msgspec.json.decode(data or b"{}", type=kind))
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError) as problem:
        return Failure(InvalidRequest(f"The body can't be read: {problem}.", field=field_in(problem) or "body"))
