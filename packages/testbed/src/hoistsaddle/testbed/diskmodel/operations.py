"""The operations on a data folder: a list of them can be replayed by a model up to any point.

Names are paths relative to the folder; positions and sizes are in bytes.
"""

from typing import NamedTuple


class Created(NamedTuple):
    """An empty file was created under a new name, or an old one was truncated to nothing."""

    name: str


class FolderMade(NamedTuple):
    """A folder was created."""

    name: str


class Written(NamedTuple):
    """Bytes were written at a position."""

    name: str
    position: int
    data: bytes


class Shortened(NamedTuple):
    """A file was truncated, or extended with zeros, to this size."""

    name: str
    size: int


class FileSynced(NamedTuple):
    """The content of a file was synced."""

    name: str


class FolderSynced(NamedTuple):
    """The names in a folder were synced."""

    name: str


class Renamed(NamedTuple):
    """A file got another name, which may have been another file's."""

    name: str
    new: str


class Removed(NamedTuple):
    """A name was removed."""

    name: str


class Returned(NamedTuple):
    """A call of the disk returned: from here on what it wrote must be durable."""

    call: str


Operation = Created | FolderMade | Written | Shortened | FileSynced | FolderSynced | Renamed | Removed | Returned
