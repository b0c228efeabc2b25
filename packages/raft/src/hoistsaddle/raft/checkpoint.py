"""The checkpoint file: a header, the packed state, and a footer by which a torn file is recognised."""

import hashlib
import re
import struct

from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.raft.events import OffsetAndEpoch
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import State

MAGIC = b"HOISTSADDLE-CHECKPOINT-1\n"
_mark = struct.Struct("!qq")
_footer = struct.Struct("!Q32s")
_file_name = re.compile(r"^(\d{20})-(\d+)\.checkpoint$")


def checkpoint_file_name(checkpoint_id: OffsetAndEpoch) -> str:
    return f"{checkpoint_id.offset:020d}-{checkpoint_id.epoch}.checkpoint"


def parse_checkpoint_file_name(name: str) -> OffsetAndEpoch | None:
    found = _file_name.match(name)
    return OffsetAndEpoch(int(found[1]), int(found[2])) if found else None


def pack_checkpoint(*, checkpoint_id: OffsetAndEpoch, state: State) -> bytes:
    body = MAGIC + _mark.pack(*checkpoint_id) + pack_state(state)
    return body + _footer.pack(len(body), hashlib.sha256(body).digest())


def unpack_checkpoint(*, checkpoint_id: OffsetAndEpoch, data: bytes) -> Result[State, MeshError]:
    torn = Failure(
        MeshError(
            ErrorKind.CHECKPOINT_TORN,
            f"{checkpoint_file_name(checkpoint_id)} fails its check.",
            "It is set aside; an older one or the leader's is used.",
        )
    )
    body, footer = data[: -_footer.size], data[-_footer.size :]
    family = MAGIC[:-2]
    if data.startswith(family) and not data.startswith(MAGIC):
        # Not torn but written by another release; setting it aside would throw away what it holds.
        return Failure(
            MeshError(
                ErrorKind.OTHER_RELEASE,
                f"{checkpoint_file_name(checkpoint_id)} was written by another release.",
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
    if OffsetAndEpoch(*_mark.unpack(body[place : place + _mark.size])) != checkpoint_id:
        return torn
    return Success(unpack_state(body[place + _mark.size :]))
