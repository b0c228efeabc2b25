"""The errors of a replica's disk and of its process."""

import errno

from hoistsaddle.common.errors import ErrorKind, MeshError


class CheckpointTorn(MeshError):
    """A checkpoint file whose length, digest or name doesn't fit its content."""

    __slots__ = ()

    def __new__(cls, file_name: str) -> "CheckpointTorn":
        """Names the file."""
        return super().__new__(
            cls,
            ErrorKind.CHECKPOINT_TORN,
            f"{file_name} fails its check.",
            "It is set aside; an older one or the leader's is used.",
        )


class CheckpointOfOtherRelease(MeshError):
    """A checkpoint file in a form that this release doesn't know; setting it aside would throw away what it holds."""

    __slots__ = ()

    def __new__(cls, file_name: str) -> "CheckpointOfOtherRelease":
        """Names the file."""
        return super().__new__(
            cls,
            ErrorKind.OTHER_RELEASE,
            f"{file_name} was written by another release.",
            "Start the release that wrote it.",
        )


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
