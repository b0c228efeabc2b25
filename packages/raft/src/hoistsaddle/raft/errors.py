"""The errors of a replica's disk and process."""

import errno

from hoistsaddle.common.errors import ErrorKind, MeshError, TypedError


class CheckpointTorn(TypedError):
    """The length, digest or name of a checkpoint file doesn't match its content."""

    KIND = ErrorKind.CHECKPOINT_TORN
    REMEDY = "The file is set aside; an older checkpoint or the leader's is used."


class DataFolderUnusable(OSError):
    """The log database can't be used now: the disk is full, locked or failing. Nothing is lost; try again later."""

    def __init__(self, problem: Exception) -> None:
        """Includes the database's own error in the message."""
        super().__init__(errno.EIO, f"the log database can't be used now: {problem}")


class DataOfOtherRelease(OSError):
    """The data folder contains a checkpoint of another release, so this release must not start on it."""

    def __init__(self, problem: MeshError) -> None:
        """Takes the message from the checkpoint's error."""
        super().__init__(errno.EPROTO, str(problem))


class NotStarted(RuntimeError):
    """The replica's disk or core was used before it was opened or started."""
