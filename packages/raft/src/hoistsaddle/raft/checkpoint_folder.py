"""The folder of a replica's checkpoints.

A checkpoint is written and synced under a temporary name, then renamed, and then the folder is synced.
"""

from pathlib import Path
from typing import NamedTuple

from returns.result import Failure, Success

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.checkpoint import (
    checkpoint_file_name,
    pack_checkpoint,
    parse_checkpoint_file_name,
    unpack_checkpoint,
)
from hoistsaddle.raft.errors import DataOfOtherRelease
from hoistsaddle.raft.events import OffsetAndEpoch
from hoistsaddle.raft.files import Files, set_aside
from hoistsaddle.raft.replica import OFFSET_OUT_OF_RANGE, SNAPSHOT_NOT_FOUND
from hoistsaddle.statemachine.state import State

# The suffixes of a checkpoint that is being written, and of one that is being fetched from the leader.
WRITING_SUFFIX = ".part"
FETCHING_SUFFIX = ".pulled"


class Chunk(NamedTuple):
    """A chunk of a checkpoint file; error is one of those of KIP-630, empty if there is none."""

    error: str
    data: bytes = b""
    continues: bool = False


class CheckpointFolder:
    """Stores, reads and removes the checkpoints of one replica."""

    def __init__(self, *, folder: Path, files: Files, remarks: list[str]) -> None:
        """Configures the folder; `make` creates it.

        Args:
            folder: The path of the checkpoint folder.
            files: The file operations that change the folder.
            remarks: The list to which a message is appended for each damaged file that is set aside.
        """
        self.folder = folder
        self.files = files
        self.remarks = remarks

    def path(self, checkpoint_id: OffsetAndEpoch, suffix: str = "") -> Path:
        """The path of a checkpoint file, or of an unfinished one with the suffix."""
        return self.folder / (checkpoint_file_name(checkpoint_id) + suffix)

    def make(self) -> None:
        """Creates the folder, and removes unfinished files of a former process, which would only take up space."""
        self.files.make_folder(self.folder)
        for path in sorted(self.folder.iterdir()):
            if path.suffix in (WRITING_SUFFIX, FETCHING_SUFFIX):
                self.files.remove(path)

    def set_all_aside(self) -> None:
        """Sets aside every checkpoint of a former incarnation, so that the new one never loads one of them."""
        former = [path for path in sorted(self.folder.iterdir()) if parse_checkpoint_file_name(path.name)]
        for path in former:
            set_aside(self.files, path)
        if former:
            self.files.sync_folder(self.folder)

    def newest(self, *, least: int, mesh: str) -> tuple[OffsetAndEpoch, State] | None:
        """The newest valid checkpoint of the mesh at or above the offset, if any; damaged ones are set aside.

        Raises:
            DataOfOtherRelease: A checkpoint has a format that this release doesn't know.
        """
        names = (path.name for path in self.folder.iterdir())
        for checkpoint_id in sorted(filter(None, map(parse_checkpoint_file_name, names)), reverse=True):
            if checkpoint_id.offset < least:
                break
            path = self.path(checkpoint_id)
            match unpack_checkpoint(checkpoint_id=checkpoint_id, data=path.read_bytes()):
                case Success(state) if state.mesh == mesh:
                    return checkpoint_id, state
                case Success(state):
                    self.remarks.append(f"{path.name} belongs to mesh {state.mesh} and was set aside")
                    set_aside(self.files, path)
                case Failure(error) if error.kind == ErrorKind.OTHER_RELEASE:
                    raise DataOfOtherRelease(error)
                case Failure(error):
                    self.remarks.append(str(error))
                    set_aside(self.files, path)
        return None

    def store(self, *, checkpoint_id: OffsetAndEpoch, state: State) -> int:
        """Stores a checkpoint durably; returns its size in bytes."""
        data = pack_checkpoint(checkpoint_id=checkpoint_id, state=state)
        self._store(checkpoint_id, data)
        return len(data)

    def _store(self, checkpoint_id: OffsetAndEpoch, data: bytes) -> None:
        temporary = self.path(checkpoint_id, WRITING_SUFFIX)
        try:
            self.files.write(temporary, data)
            self.files.sync(temporary)
        except OSError:
            # On a full disk a partial file would take space that the log needs.
            self.files.remove(temporary)
            raise
        self.files.rename(temporary, self.path(checkpoint_id))
        self.files.sync_folder(self.folder)

    def store_chunk(self, *, checkpoint_id: OffsetAndEpoch, position: int, data: bytes, last: bool) -> State | None:
        """Writes a fetched chunk at its position; after the last one the file is verified, synced and renamed.

        Returns:
            The state after the last chunk, if the whole file is valid; None otherwise.
        """
        partial = self.path(checkpoint_id, FETCHING_SUFFIX)
        if not position:
            # An abandoned fetch of another checkpoint has left its chunks behind.
            for path in sorted(self.folder.glob(f"*{FETCHING_SUFFIX}")):
                self.files.remove(path)
        self.files.write(partial, data, position=position)
        if not last:
            return None
        content = partial.read_bytes()
        self.files.remove(partial)
        match unpack_checkpoint(checkpoint_id=checkpoint_id, data=content):
            case Success(state):
                self._store(checkpoint_id, content)
                return state
            case _:
                return None

    def read_chunk(self, *, checkpoint_id: OffsetAndEpoch, position: int, max_bytes: int) -> Chunk:
        """Reads at most max_bytes bytes of a checkpoint file from the position on."""
        path = self.path(checkpoint_id)
        try:
            size = path.stat().st_size
            if not 0 <= position <= size:
                return Chunk(OFFSET_OUT_OF_RANGE)
            with path.open("rb") as file:
                file.seek(position)
                data = file.read(max_bytes)
        except FileNotFoundError:
            return Chunk(SNAPSHOT_NOT_FOUND)
        return Chunk("", data, position + len(data) < size)

    def drop(self, *, below: int, keep: tuple[OffsetAndEpoch, ...] = ()) -> None:
        """Removes the checkpoints below the offset, finished or not, except those to keep."""
        for path in sorted(self.folder.iterdir()):
            finished_name = path.name.removesuffix(WRITING_SUFFIX).removesuffix(FETCHING_SUFFIX)
            checkpoint_id = parse_checkpoint_file_name(finished_name)
            if checkpoint_id is not None and checkpoint_id.offset < below and checkpoint_id not in keep:
                self.files.remove(path)
        self.files.sync_folder(self.folder)
