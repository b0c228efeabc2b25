"""The checkpoint file: a header, the packed state, and a footer by which a torn file is recognised."""

import hashlib
import re
import struct

from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.raft.events import Mark
from hoistsaddle.statemachine.state import State, pack_state, unpack_state

MAGIC = b"HOISTSADDLE-CHECKPOINT-1\n"
_mark = struct.Struct("!qq")
_footer = struct.Struct("!Q32s")
_file_name = re.compile(r"^(\d{20})-(\d+)\.checkpoint$")


def name_of(mark: Mark) -> str:
    return f"{mark.offset:020d}-{mark.epoch}.checkpoint"


def mark_of(name: str) -> Mark | None:
    found = _file_name.match(name)
    return Mark(int(found[1]), int(found[2])) if found else None


def pack_checkpoint(*, mark: Mark, state: State) -> bytes:
    body = MAGIC + _mark.pack(*mark) + pack_state(state)
    return body + _footer.pack(len(body), hashlib.sha256(body).digest())


def unpack_checkpoint(*, mark: Mark, data: bytes) -> Result[State, Mishap]:
    torn = Failure(
        Mishap(
            MishapKind.CHECKPOINT_TORN,
            f"{name_of(mark)} fails its check.",
            "It is set aside; an older one or the leader's is used.",
        )
    )
    body, footer = data[: -_footer.size], data[-_footer.size :]
    family = MAGIC[:-2]
    if data.startswith(family) and not data.startswith(MAGIC):
        # Not torn but written by another release; setting it aside would throw away what it holds.
        return Failure(
            Mishap(
                MishapKind.OTHER_RELEASE,
                f"{name_of(mark)} was written by another release.",
                "Start the release that wrote it.",
            )
        )
    if len(footer) < _footer.size or not body.startswith(MAGIC):
        return torn
    length, digest = _footer.unpack(footer)
    # Length first, digest second: either alone would miss some torn file.
    if length != len(body) or hashlib.sha256(body).digest() != digest:
        return torn
    place = len(MAGIC)
    if Mark(*_mark.unpack(body[place : place + _mark.size])) != mark:
        return torn
    return Success(unpack_state(body[place + _mark.size :]))
