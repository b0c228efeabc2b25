"""What was done to a data folder, as a list that a model can replay up to any point."""

from typing import NamedTuple


class Created(NamedTuple):
    """An empty file came into being under a new name, or an old one was emptied."""

    name: str


class FolderMade(NamedTuple):
    name: str


class Written(NamedTuple):
    name: str
    position: int
    data: bytes


class Shortened(NamedTuple):
    name: str
    size: int


class FileSynced(NamedTuple):
    name: str


class FolderSynced(NamedTuple):
    name: str


class Renamed(NamedTuple):
    name: str
    new: str


class Removed(NamedTuple):
    name: str


class Returned(NamedTuple):
    """A call of the disk returned: from here on what it wrote must last."""

    call: str


Operation = Created | FolderMade | Written | Shortened | FileSynced | FolderSynced | Renamed | Removed | Returned
