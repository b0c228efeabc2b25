"""Reading what comes from outside: whatever its shape, it ends as a value in range or as a typed error."""

import re
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, MeshError, field_in

Kind = TypeVar("Kind")
# What a double and a signed 64-bit number both hold exactly.
LARGEST_NUMBER = 2**53
_plain = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")


def whole_number(text: str, *, field: str, least: int = 0) -> Result[int, MeshError]:
    # ASCII digits only: other scripts' digits and very long numbers mean nothing here.
    if text.isascii() and text.isdigit() and len(text) < 17 and least <= int(text) <= LARGEST_NUMBER:
        return Success(int(text))
    return Failure(
        MeshError(ErrorKind.REQUEST_BROKEN, f"{text[:40]!r} is no whole number from {least}.", "Give one.", field)
    )


def plain_name(text: str, *, field: str) -> Result[str, MeshError]:
    if _plain.match(text):
        return Success(text)
    return Failure(
        MeshError(
            ErrorKind.REQUEST_BROKEN,
            f"{ascii(text[:40])} is no plain name.",
            "Use letters, digits, . _ : and -, 128 at most.",
            field,
        )
    )


def read_body(data: bytes, kind: type[Kind]) -> Result[Kind, MeshError]:
    try:
        return Success(msgspec.json.decode(data or b"{}", type=kind))
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError) as problem:
        field = field_in(problem) or "body"
        return Failure(
            MeshError(
                ErrorKind.REQUEST_BROKEN, f"The body can't be read: {problem}.", "See docs/operators/api.md.", field
            )
        )
