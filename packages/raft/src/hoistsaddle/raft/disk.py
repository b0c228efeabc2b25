"""A replica's data folder: log, epoch and vote in a database, checkpoints as files. Used from the disk thread only.

Data is durable once it is synced. tests/test_raft_disk_model.py enumerates the combinations of kept and lost files and
what each boots into; docs/design/control-under-faults/snapshots.md gives the reason for the order of the steps.
"""

import secrets
import sqlite3
from collections.abc import Callable
from pathlib import Path

from hoistsaddle.raft.checkpoint_folder import CheckpointFolder, Chunk
from hoistsaddle.raft.errors import DataFolderUnusable, NotStarted
from hoistsaddle.raft.events import Boot, OffsetAndEpoch, Write
from hoistsaddle.raft.files import SET_ASIDE_MARKER, Files, set_aside
from hoistsaddle.raft.log_database import DATABASE_NAME, LogDatabase
from hoistsaddle.rpc.messages import Record
from hoistsaddle.statemachine.state import State, initial_state

# The number of pages in the write-ahead log at which SQLite checkpoints them into the database.
WRITE_AHEAD_PAGES = 1000
INCARNATION_BYTES = 8


def _log_matches_checkpoint(
    *, begin: OffsetAndEpoch, records: tuple[Record, ...], checkpoint_id: OffsetAndEpoch
) -> bool:
    """Whether the log has no gap and contains the checkpoint's last record with the checkpoint's epoch."""
    if any(record.offset != begin.offset + distance for distance, record in enumerate(records, start=1)):
        return False
    if checkpoint_id.offset == begin.offset:
        return checkpoint_id.epoch == begin.epoch
    index = checkpoint_id.offset - begin.offset - 1
    return index < len(records) and records[index].epoch == checkpoint_id.epoch


class Disk:
    """The data folder of one replica."""

    def __init__(
        self,
        *,
        folder: Path,
        replica: int,
        token: Callable[[int], str] = secrets.token_hex,
        synchronous: str = "FULL",
        files: Files | None = None,
        write_ahead_pages: int = WRITE_AHEAD_PAGES,
    ) -> None:
        """Configures the folder; `boot` opens it.

        Args:
            folder: The path of the data folder, created if missing.
            replica: The replica's number.
            token: Returns a random token of so many bytes, for a new incarnation.
            synchronous: SQLite's setting; only simulators, which model lost writes themselves, run without syncs.
            files: The file operations that change the folder; a model of power losses passes its own.
            write_ahead_pages: SQLite's setting wal_autocheckpoint.
        """
        self.folder = folder
        self.files = files or Files()
        self.write_ahead_pages = write_ahead_pages
        self.token = token
        self.synchronous = synchronous
        self.replica = replica
        # Set for the mesh's first start: an empty folder then records that it took part, with the seeds of that start.
        self.first_seeds: tuple[int, ...] = ()
        # Messages for operators about damaged data.
        self.remarks: list[str] = []
        self.checkpoints = CheckpointFolder(folder=folder / "checkpoints", files=self.files, remarks=self.remarks)
        self.database: LogDatabase | None = None

    def _opened(self) -> LogDatabase:
        if self.database is None:
            raise NotStarted("the data folder is not open")
        return self.database

    # -- opening -----------------------------------------------------------------------------------------------------

    def boot(self) -> Boot:
        """Reads the data folder; if its data can't be trusted, it becomes a blank disk with a new incarnation.

        Raises:
            DataFolderUnusable: The disk can't be used at present; its votes may still be intact.
            DataOfOtherRelease: The folder belongs to another release.
        """
        try:
            if self.database is None:
                self._open()
            return self._read()
        except sqlite3.OperationalError as problem:
            # The disk is full, locked or failing. The votes may still be intact, so nothing is discarded.
            # The next attempt reopens the database, as this one may have been opened only in part.
            self.close()
            raise DataFolderUnusable(problem) from problem
        except sqlite3.DatabaseError:
            # A database that can't be read has lost its votes: the disk starts over under a new incarnation.
            self.remarks.append("the log database could not be read and was set aside")
            # Acknowledged data is lost, so the disk no longer counts as one of the first start.
            self.first_seeds = ()
            self.close()
            # The main file goes last: if this is interrupted, it is still found damaged and all of this is repeated.
            for part in sorted(self.folder.glob(f"{DATABASE_NAME}*"), key=lambda each: each.name == DATABASE_NAME):
                if SET_ASIDE_MARKER not in part.name:
                    set_aside(self.files, part)
            self.files.sync_folder(self.folder)
            self._open()
            return self._read()

    def _open(self) -> None:
        self.checkpoints.make()
        self._connect(self.folder / DATABASE_NAME)
        self.files.sync_folder(self.folder)

    def _connect(self, path: Path) -> None:
        self.database = LogDatabase.open(path, synchronous=self.synchronous, write_ahead_pages=self.write_ahead_pages)
        if self.database.incarnation() is None:
            self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        """Makes this a blank disk with a new incarnation."""
        # The former incarnation's checkpoints go first: otherwise a later start would take one of them, if it is newer
        # than the new incarnation's own, for the state of this incarnation.
        self.checkpoints.set_all_aside()
        self._opened().reset(self.token(INCARNATION_BYTES))

    def _read(self) -> Boot:
        database = self._opened()
        facts = database.facts()
        if self.first_seeds and not facts.mesh and not facts.first_seeds:
            database.record_first_start(self.first_seeds)
            facts = database.facts()
        known = Boot(replica=self.replica, **facts._asdict())
        # An interrupted catch-up starts over; the votes are still on this disk, so it keeps its incarnation.
        if not known.mesh or known.catching:
            return known
        begin = known.begin
        records = database.records(above=begin.offset)
        found = self.checkpoints.newest(least=begin.offset, mesh=known.mesh)
        if found is None:
            # Without a checkpoint in range the log counts as empty, and votes on such a damaged disk can't be trusted.
            self.remarks.append("no checkpoint in range: the folder was reset and this replica rejoins as a blank disk")
            self.first_seeds = ()
            self._begin_incarnation()
            return Boot(replica=self.replica, incarnation=database.facts().incarnation)
        checkpoint_id, state = found
        if not _log_matches_checkpoint(begin=begin, records=records, checkpoint_id=checkpoint_id):
            # The checkpoint was synced and the log up to it was not, or the log diverges from the committed records
            # below it. The checkpoint's state is committed and stays; no record above it in such a log was committed.
            records, begin = (), checkpoint_id
            # Cleared at once: otherwise its records would reappear above those of the next write.
            database.clear_log(checkpoint_id)
        return known._replace(begin=begin, records=records, checkpoint=checkpoint_id, state=state)

    def bootstrap(self, *, mesh: str, voters: dict[int, str], operators: dict[str, str], level: int = 1) -> None:
        """Bootstraps a mesh: stores the first checkpoint, at offset and epoch zero, then the facts that refer to it.

        Args:
            mesh: The mesh's name.
            voters: The incarnation of each voter, by replica number.
            operators: The key of each operator, by name.
            level: The release level of the mesh.
        """
        self.checkpoints.store(
            checkpoint_id=OffsetAndEpoch(0, 0),
            state=initial_state(mesh=mesh, voters=voters, operators=operators, level=level),
        )
        self._opened().bootstrap(mesh=mesh, voters=voters)

    def leave_mesh(self) -> None:
        """Makes the disk blank again; incarnation, epoch and vote stay."""
        self._opened().leave()
        self.checkpoints.set_all_aside()

    # -- writing -----------------------------------------------------------------------------------------------------

    def write(self, writes: list[Write]) -> None:
        """Executes the queued writes with one sync.

        Raises:
            sqlite3.Error: The transaction failed and nothing was written.
        """
        self._opened().write(writes)

    def store_checkpoint(self, *, checkpoint_id: OffsetAndEpoch, state: State) -> int:
        """Stores a checkpoint durably; returns its size in bytes."""
        return self.checkpoints.store(checkpoint_id=checkpoint_id, state=state)

    def store_chunk(self, *, checkpoint_id: OffsetAndEpoch, position: int, data: bytes, last: bool) -> State | None:
        """Stores a fetched chunk; after the last one returns the state, if the whole file is valid."""
        return self.checkpoints.store_chunk(checkpoint_id=checkpoint_id, position=position, data=data, last=last)

    def read_chunk(self, *, checkpoint_id: OffsetAndEpoch, position: int, max_bytes: int) -> Chunk:
        """Reads at most max_bytes bytes of a checkpoint file from the position on."""
        return self.checkpoints.read_chunk(checkpoint_id=checkpoint_id, position=position, max_bytes=max_bytes)

    def drop_checkpoints(self, *, below: int, keep: tuple[OffsetAndEpoch, ...] = ()) -> None:
        """Removes the checkpoints below the offset, finished or not, except those to keep."""
        self.checkpoints.drop(below=below, keep=keep)

    def close(self) -> None:
        """Closes the database; `boot` opens it again."""
        if self.database is not None:
            self.database.close()
            self.database = None
