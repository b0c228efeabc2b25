"""The checkpoint file: a header, the packed state, and a footer by which a torn file is recognised.

Its name holds the offset and the epoch, as KIP-630 names its snapshots.
"""

import hashlib
import re
import struct

from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import MeshError, OtherRelease
from hoistsaddle.raft.errors import CheckpointTorn
from hoistsaddle.raft.events import OffsetAndEpoch
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import State

MAGIC = b"HOISTSADDLE-CHECKPOINT-1\n"
# The magic of every release but for the form's number and the line's end.
MAGIC_FAMILY = MAGIC[:-2]
# Offset and epoch.
_id_form = struct.Struct("!qq")
# Length of the body and its SHA-256.
_footer_form = struct.Struct("!Q32s")
START_WRITER = "Start the release that wrote it."
_file_name = re.compile(r"^(\d{20})-(\d+)\.checkpoint$")


def checkpoint_file_name(checkpoint_id: OffsetAndEpoch) -> str:
    """The name of the checkpoint's file."""
    return f"{checkpoint_id.offset:020d}-{checkpoint_id.epoch}.checkpoint"


def parse_checkpoint_file_name(name: str) -> OffsetAndEpoch | None:
    """The checkpoint that a file of this name holds; None for any other file."""
    found = _file_name.match(name)
    return OffsetAndEpoch(int(found[1]), int(found[2])) if found else None


def pack_checkpoint(*, checkpoint_id: OffsetAndEpoch, state: State) -> bytes:
    """The content of a checkpoint's file."""
    body = MAGIC + _id_form.pack(*checkpoint_id) + pack_state(state)
    return body + _footer_form.pack(len(body), hashlib.sha256(body).digest())


def unpack_checkpoint(*, checkpoint_id: OffsetAndEpoch, data: bytes) -> Result[State, MeshError]:
    """The state in a checkpoint's file.

    Args:
        checkpoint_id: What the file's name says that it holds.
        data: The file's content.

    Returns:
        CheckpointTorn for a file that fails its check, OtherRelease for one in an unknown form.
    """
    file_name = checkpoint_file_name(checkpoint_id)
    torn: Result[State, MeshError] = Failure(CheckpointTorn(f"{file_name} fails its check."))
    body, footer = data[: -_footer_form.size], data[-_footer_form.size :]
    if data.startswith(MAGIC_FAMILY) and not data.startswith(MAGIC):
        # Not torn; setting it aside would throw away what it holds.
        return Failure(OtherRelease(f"{file_name} was written by another release.", remedy=START_WRITER))
    if len(footer) < _footer_form.size or not body.startswith(MAGIC):
        return torn
    length, digest = _footer_form.unpack(footer)
    # Length first, digest second: either alone would miss some torn file.
    if length != len(body) or hashlib.sha256(body).digest() != digest:
        return torn
    id_start = len(MAGIC)
    state_start = id_start + _id_form.size
    if OffsetAndEpoch(*_id_form.unpack(body[id_start:state_start])) != checkpoint_id:
        return torn
    return Success(unpack_state(body[state_start:]))
