"""The operations on a data folder, which a model can replay up to any point.

Names are paths relative to the folder; positions and sizes are in bytes.
"""

from typing import NamedTuple


class Created(NamedTuple):
    """An empty file was created, or an existing file was truncated to zero bytes."""

    name: str


class FolderCreated(NamedTuple):
    """A folder was created."""

    name: str


class Written(NamedTuple):
    """Bytes were written at a position."""

    name: str
    position: int
    data: bytes


class Resized(NamedTuple):
    """A file was truncated to this size, or extended to it with zeros."""

    name: str
    size: int


class FileSynced(NamedTuple):
    """The content of a file was synced."""

    name: str


class FolderSynced(NamedTuple):
    """The names in a folder were synced."""

    name: str


class Renamed(NamedTuple):
    """A file was renamed, possibly over another file."""

    name: str
    new: str


class Removed(NamedTuple):
    """A name was removed."""

    name: str


class Returned(NamedTuple):
    """A method of the disk returned; its writes must be durable from this point on."""

    call: str


Operation = Created | FolderCreated | Written | Resized | FileSynced | FolderSynced | Renamed | Removed | Returned
