"""The errors of a replica's disk and of its process."""

import errno

from hoistsaddle.common.errors import ErrorKind, MeshError, TypedError


class CheckpointTorn(TypedError):
    """A checkpoint file whose length, digest or name doesn't fit its content."""

    KIND = ErrorKind.CHECKPOINT_TORN
    REMEDY = "It is set aside; an older one or the leader's is used."


class DataFolderUnusable(OSError):
    """The log database can't be used now: the disk is full, locked or failing. Nothing is lost; try again later."""

    def __init__(self, problem: Exception) -> None:
        """Names the database's own error."""
        super().__init__(errno.EIO, f"the log database can't be used now: {problem}")


class DataOfOtherRelease(OSError):
    """The data folder holds a checkpoint of another release; this one must not start on it."""

    def __init__(self, problem: MeshError) -> None:
        """Names the error of the checkpoint."""
        super().__init__(errno.EPROTO, str(problem))


class NotStarted(RuntimeError):
    """The replica's disk or core was used before it was opened or started."""
