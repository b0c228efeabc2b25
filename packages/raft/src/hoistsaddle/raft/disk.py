"""A replica's data folder: the log, epoch and vote in a database, checkpoints as files. Used from the disk thread only.

Something lasts once it is synced. What every mix of kept and lost files boots into is enumerated by
tests/test_raft_disk_model.py; docs/design/control-under-faults/snapshots.md says why each step stands where it does.
"""

import secrets
import sqlite3
from collections.abc import Callable
from pathlib import Path

from hoistsaddle.raft.checkpoint_folder import CheckpointFolder, Chunk
from hoistsaddle.raft.errors import DataFolderUnusable, NotStarted
from hoistsaddle.raft.events import Boot, OffsetAndEpoch, Write
from hoistsaddle.raft.files import ASIDE, Files, set_aside
from hoistsaddle.raft.log_database import DATABASE_NAME, LogDatabase
from hoistsaddle.rpc.messages import Record
from hoistsaddle.statemachine.state import State, initial_state

# The library's own pages in the write-ahead file before it moves them into the database.
WRITE_AHEAD_PAGES = 1000
INCARNATION_BYTES = 8


def _continues(*, begin: OffsetAndEpoch, records: tuple[Record, ...], checkpoint_id: OffsetAndEpoch) -> bool:
    """Whether the log goes on from the checkpoint: without a gap, and with its own record of that epoch in place."""
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
        """Names the folder; `boot` opens it.

        Args:
            folder: Where the data is, made if missing.
            replica: The replica's number.
            token: Makes a random name of so many bytes, for a new incarnation.
            synchronous: sqlite3's setting; only simulators, which model lost writes themselves, run without syncs.
            files: The calls by which the folder changes; a model of power losses passes its own.
            write_ahead_pages: sqlite3's setting of the same meaning.
        """
        self.folder = folder
        self.files = files or Files()
        self.write_ahead_pages = write_ahead_pages
        self.token = token
        self.synchronous = synchronous
        self.replica = replica
        # Set for the first start of all: an empty folder then notes that it was there, with the seeds of that start.
        self.first_seeds: tuple[int, ...] = ()
        # What was found damaged, in lines for operators.
        self.remarks: list[str] = []
        self.checkpoints = CheckpointFolder(folder=folder / "checkpoints", files=self.files, remarks=self.remarks)
        self.database: LogDatabase | None = None

    def _opened(self) -> LogDatabase:
        if self.database is None:
            raise NotStarted("the data folder is not open")
        return self.database

    # -- opening -----------------------------------------------------------------------------------------------------

    def boot(self) -> Boot:
        """Reads everything back; what can't be trusted makes this a blank disk with a new incarnation.

        Raises:
            DataFolderUnusable: The disk refuses at present; the votes on it may still be there.
            DataOfOtherRelease: The folder belongs to another release.
        """
        try:
            if self.database is None:
                self._open()
            return self._read()
        except sqlite3.OperationalError as problem:
            # Full, locked or failing: the votes may still be there, so nothing is thrown away.
            # The next attempt opens it anew, as what was opened may be half made.
            self.close()
            raise DataFolderUnusable(problem) from problem
        except sqlite3.DatabaseError:
            # A database that can't be read has lost its votes: begin anew, under a new incarnation.
            self.remarks.append("the log database could not be read and was set aside")
            # What it had acknowledged is gone: no disk of the first start any more.
            self.first_seeds = ()
            self.close()
            # The database last: while it is there, the folder is as damaged as it was and this is done again.
            for part in sorted(self.folder.glob(f"{DATABASE_NAME}*"), key=lambda each: each.name == DATABASE_NAME):
                if ASIDE not in part.name:
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
        """Begins anew: a blank disk under a new incarnation."""
        # Checkpoints of a former incarnation first: kept beside a new one, a newer one of theirs would be taken at a
        # later start for this incarnation's state.
        self.checkpoints.set_all_aside()
        self._opened().reset(self.token(INCARNATION_BYTES))

    def _read(self) -> Boot:
        database = self._opened()
        facts = database.facts()
        if self.first_seeds and not facts.mesh and not facts.first_seeds:
            database.record_first_start(self.first_seeds)
            facts = database.facts()
        known = Boot(replica=self.replica, **facts._asdict())
        # A catch-up that was under way starts over; the votes are still on this disk, so it stays who it is.
        if not known.mesh or known.catching:
            return known
        begin = known.begin
        records = database.records(above=begin.offset)
        found = self.checkpoints.newest(least=begin.offset, mesh=known.mesh)
        if found is None:
            # No checkpoint in range: the log counts as empty, and votes kept beside such damage can't be trusted.
            self.remarks.append(
                "no checkpoint in range: the folder was begun anew and this replica rejoins as a blank disk"
            )
            self.first_seeds = ()
            self._begin_incarnation()
            return Boot(replica=self.replica, incarnation=database.facts().incarnation)
        checkpoint_id, state = found
        if not _continues(begin=begin, records=records, checkpoint_id=checkpoint_id):
            # The checkpoint was synced and the log up to it was not, or the log parts from what was agreed below it:
            # the committed state in the checkpoint stands, and nothing above it in such a log was ever agreed.
            records, begin = (), checkpoint_id
            # At once: left to the next write, records above it would be found again above that write's own.
            database.clear_log(checkpoint_id)
        return known._replace(begin=begin, records=records, checkpoint=checkpoint_id, state=state)

    def bootstrap(self, *, mesh: str, voters: dict[int, str], operators: dict[str, str], level: int = 1) -> None:
        """Begins a mesh: the first checkpoint, at offset and epoch zero, then the facts that make it count.

        Args:
            mesh: The mesh's name.
            voters: The incarnation of each voter's disk, by replica.
            operators: The key of each operator, by name.
            level: The release level of the mesh.
        """
        self.checkpoints.store(
            checkpoint_id=OffsetAndEpoch(0, 0),
            state=initial_state(mesh=mesh, voters=voters, operators=operators, level=level),
        )
        self._opened().bootstrap(mesh=mesh, voters=voters)

    def leave_mesh(self) -> None:
        """Makes the disk blank again, under its incarnation, with its epoch and its vote."""
        self._opened().leave()
        self.checkpoints.set_all_aside()

    # -- writing -----------------------------------------------------------------------------------------------------

    def write(self, writes: list[Write]) -> None:
        """Carries out everything that was queued, with one sync.

        Raises:
            sqlite3.Error: The disk refused; nothing of it is written.
        """
        self._opened().write(writes)

    def store_checkpoint(self, *, checkpoint_id: OffsetAndEpoch, state: State) -> int:
        """Stores a checkpoint so that it lasts; returns its size in bytes."""
        return self.checkpoints.store(checkpoint_id=checkpoint_id, state=state)

    def store_chunk(self, *, checkpoint_id: OffsetAndEpoch, position: int, data: bytes, last: bool) -> State | None:
        """Stores a fetched chunk; after the last one the state, if the whole file is sound."""
        return self.checkpoints.store_chunk(checkpoint_id=checkpoint_id, position=position, data=data, last=last)

    def read_chunk(self, *, checkpoint_id: OffsetAndEpoch, position: int, max_bytes: int) -> Chunk:
        """At most so many bytes of a checkpoint's file, from the position on."""
        return self.checkpoints.read_chunk(checkpoint_id=checkpoint_id, position=position, max_bytes=max_bytes)

    def drop_checkpoints(self, *, below: int, keep: tuple[OffsetAndEpoch, ...] = ()) -> None:
        """Removes the checkpoints below the offset, finished or not, except those to keep."""
        self.checkpoints.drop(below=below, keep=keep)

    def close(self) -> None:
        """Closes the database; `boot` opens it again."""
        if self.database is not None:
            self.database.close()
            self.database = None
