"""The checkpoint file: a header, the packed state, and a footer that detects torn files.

Its name contains the offset and the epoch, as those of KIP-630's snapshots do.
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
# The prefix common to the magic of all releases, without the format number and the line break.
MAGIC_FAMILY = MAGIC[:-2]
# The offset and the epoch.
_id_struct = struct.Struct("!qq")
# The length of the body and its SHA-256 digest.
_footer_struct = struct.Struct("!Q32s")
OTHER_RELEASE_REMEDY = "Start the release that wrote it."
_file_name = re.compile(r"^(\d{20})-(\d+)\.checkpoint$")


def checkpoint_file_name(checkpoint_id: OffsetAndEpoch) -> str:
    """The file name of a checkpoint."""
    return f"{checkpoint_id.offset:020d}-{checkpoint_id.epoch}.checkpoint"


def parse_checkpoint_file_name(name: str) -> OffsetAndEpoch | None:
    """The checkpoint that a file name stands for; None if it is no checkpoint's."""
    found = _file_name.match(name)
    return OffsetAndEpoch(int(found[1]), int(found[2])) if found else None


def pack_checkpoint(*, checkpoint_id: OffsetAndEpoch, state: State) -> bytes:
    """The content of a checkpoint file."""
    body = MAGIC + _id_struct.pack(*checkpoint_id) + pack_state(state)
    return body + _footer_struct.pack(len(body), hashlib.sha256(body).digest())


def unpack_checkpoint(*, checkpoint_id: OffsetAndEpoch, data: bytes) -> Result[State, MeshError]:
    """Verifies a checkpoint file and returns its state.

    Args:
        checkpoint_id: The checkpoint that the file is named after.
        data: The file's content.

    Returns:
        CheckpointTorn for a file that fails verification, OtherRelease for one in an unknown format.
    """
    file_name = checkpoint_file_name(checkpoint_id)
    torn: Result[State, MeshError] = Failure(CheckpointTorn(f"{file_name} is damaged or incomplete."))
    body, footer = data[: -_footer_struct.size], data[-_footer_struct.size :]
    if data.startswith(MAGIC_FAMILY) and not data.startswith(MAGIC):
        # The file is intact; setting it aside would lose its data.
        return Failure(OtherRelease(f"{file_name} was written by another release.", remedy=OTHER_RELEASE_REMEDY))
    if len(footer) < _footer_struct.size or not body.startswith(MAGIC):
        return torn
    length, digest = _footer_struct.unpack(footer)
    # Checks both length and digest: either alone would miss some torn files.
    if length != len(body) or hashlib.sha256(body).digest() != digest:
        return torn
    id_start = len(MAGIC)
    state_start = id_start + _id_struct.size
    if OffsetAndEpoch(*_id_struct.unpack(body[id_start:state_start])) != checkpoint_id:
        return torn
    return Success(unpack_state(body[state_start:]))
