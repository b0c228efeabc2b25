"""A replica's data folder: the log, epoch and vote in sqlite3, checkpoints as files. Used from the disk thread only.

Something lasts once it is synced: sqlite3 runs with full synchronisation, and a checkpoint is synced under a temporary
name, renamed, and then its folder is synced. What every mix of kept and lost files boots into is enumerated by
tests/test_disk_model.py; docs/design/control-under-faults/snapshots.md says why each step stands where it does.
"""

import errno
import secrets
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Success

from hoistsaddle.common.clock import from_microseconds, to_microseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.raft.checkpoint import (
    checkpoint_file_name,
    pack_checkpoint,
    parse_checkpoint_file_name,
    unpack_checkpoint,
)
from hoistsaddle.raft.core import OFFSET_OUT_OF_RANGE, SNAPSHOT_NOT_FOUND
from hoistsaddle.raft.events import Boot, OffsetAndEpoch, Write
from hoistsaddle.raft.files import Files
from hoistsaddle.rpc.messages import Record
from hoistsaddle.statemachine.state import State, initial_state

# Damaged files are kept for whoever looks into them, but only so many: a small disk must not fill up with them.
MOST_ASIDE = 8
ASIDE = ".aside-"
LEDGER = "ledger.sqlite3"
# A checkpoint that is being written, and one that is being pulled from the leader.
PART = ".part"
PULLED = ".pulled"
# The library's own pages in the write-ahead file before it moves them into the database.
WRITE_AHEAD_PAGES = 1000


def _holds(*, begin: OffsetAndEpoch, records: tuple[Record, ...], checkpoint_id: OffsetAndEpoch) -> bool:
    """Whether the log goes on from the checkpoint: without a gap, and with its own record of that epoch in place."""
    if any(record.offset != begin.offset + place for place, record in enumerate(records, start=1)):
        return False
    if checkpoint_id.offset == begin.offset:
        return checkpoint_id.epoch == begin.epoch
    place = checkpoint_id.offset - begin.offset - 1
    return place < len(records) and records[place].epoch == checkpoint_id.epoch


class Disk:
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
        self.folder = folder
        self.files = files or Files()
        self.write_ahead_pages = write_ahead_pages
        self.token = token
        # Only the simulator, which models lost writes itself, runs without syncs.
        self.synchronous = synchronous
        self.replica = replica
        self.checkpoints = folder / "checkpoints"
        self.connection: sqlite3.Connection | None = None
        self.remarks: list[str] = []

    # -- opening -----------------------------------------------------------------------------------------------------

    def boot(self) -> Boot:
        """Reads everything back; what can't be trusted makes this a blank disk with a new incarnation."""
        try:
            if self.connection is None:
                self._open()
            return self._read()
        except sqlite3.OperationalError as problem:
            # Full, locked or failing: the votes may still be there, so nothing is thrown away.
            # The next try opens it anew, as what was opened may be half laid.
            self.close()
            raise OSError(errno.EIO, f"the ledger can't be used now: {problem}") from problem
        except sqlite3.DatabaseError:
            # A database that can't be read has lost its votes: lay the folder anew, under a new incarnation.
            self.remarks.append("the ledger could not be read and was set aside")
            self.close()
            # The database last: while it is there, the folder is as damaged as it was and this is done again.
            for part in sorted(self.folder.glob(f"{LEDGER}*"), key=lambda each: each.name == LEDGER):
                if ASIDE not in part.name:
                    self._set_aside(part)
            self.files.sync_folder(self.folder)
            self._open()
            return self._read()

    def _open(self) -> None:
        self.files.make_folder(self.checkpoints)
        self._tidy()
        self._connect(self.folder / LEDGER)
        self.files.sync_folder(self.folder)

    def _tidy(self) -> None:
        """Pieces that a former life left half-made name nothing; they would only take up room."""
        for path in sorted(self.checkpoints.iterdir()):
            if path.suffix in (PART, PULLED):
                self.files.remove(path)

    def _set_aside(self, path: Path) -> None:
        """Moves what is damaged out of the way; the oldest of such files go first when there are too many."""
        found = sorted(path.parent.glob(f"*{ASIDE}*"), key=lambda each: int(each.name.rpartition("-")[2]))
        place = int(found[-1].name.rpartition("-")[2]) + 1 if found else 1
        for old in found[: max(0, len(found) - MOST_ASIDE + 1)]:
            self.files.remove(old)
        self.files.rename(path, path.with_name(f"{path.name}{ASIDE}{place}"))

    def _connect(self, path: Path) -> None:
        self.connection = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        self.connection.execute("PRAGMA journal_mode=WAL")
        self.connection.execute(f"PRAGMA synchronous={self.synchronous}")
        self.connection.execute(f"PRAGMA wal_autocheckpoint={self.write_ahead_pages}")
        # Bounds the write-ahead file, so that the folder of a small disk doesn't grow.
        self.connection.execute("PRAGMA journal_size_limit=4194304")
        self.connection.execute(
            "CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, epoch INTEGER, stamp INTEGER, payload BLOB)"
        )
        self.connection.execute("CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, value BLOB)")
        if self._fact("incarnation") is None:
            self._lay()

    def _lay(self) -> None:
        """Lays the folder anew: a blank disk under a new incarnation."""
        # Checkpoints of a former life first: kept beside a new one, a newer mark of theirs would be taken at a later
        # start for this life's state.
        former = [path for path in sorted(self.checkpoints.iterdir()) if parse_checkpoint_file_name(path.name)]
        for path in former:
            self._set_aside(path)
        if former:
            self.files.sync_folder(self.checkpoints)
        self.connection.execute("BEGIN")
        self.connection.execute("DELETE FROM log")
        self.connection.execute("DELETE FROM facts")
        self._set_fact("incarnation", self.token(8))
        self.connection.execute("COMMIT")

    def _fact(self, name: str) -> Any:
        row = self.connection.execute("SELECT value FROM facts WHERE name = ?", (name,)).fetchone()
        return None if row is None else msgspec.msgpack.decode(row[0])

    def _set_fact(self, name: str, value: object) -> None:
        self.connection.execute("INSERT OR REPLACE INTO facts VALUES (?, ?)", (name, msgspec.msgpack.encode(value)))

    def _read(self) -> Boot:
        mesh = self._fact("mesh") or ""
        vote = self._fact("vote")
        known = Boot(
            replica=self.replica,
            incarnation=self._fact("incarnation"),
            epoch=self._fact("epoch") or 0,
            vote=tuple(vote) if vote else None,
            voters=tuple((replica, incarnation) for replica, incarnation in self._fact("voters") or ()),
            mesh=mesh,
            begin=OffsetAndEpoch(*(self._fact("begin") or (0, 0))),
            catching=bool(self._fact("catching")),
            committed=self._fact("committed") or 0,
        )
        # A catch-up that was under way starts over; the votes are still on this disk, so it stays who it is.
        if not mesh or known.catching:
            return known
        records = tuple(
            Record(offset, epoch, from_microseconds(stamp), payload)
            for offset, epoch, stamp, payload in self.connection.execute("SELECT * FROM log ORDER BY place")
        )
        records = tuple(record for record in records if record.offset > known.begin.offset)
        found = self._newest_checkpoint(least=known.begin.offset, mesh=mesh)
        if found is None:
            # No checkpoint in range: the log counts as empty, and votes kept beside such damage can't be trusted.
            self.remarks.append(
                "no checkpoint in range: the folder was laid anew and this replica rejoins as a blank disk"
            )
            self._lay()
            return Boot(replica=self.replica, incarnation=self._fact("incarnation"))
        checkpoint_id, state = found
        begin = known.begin
        if not _holds(begin=begin, records=records, checkpoint_id=checkpoint_id):
            # The checkpoint was synced and the log up to it was not, or the log parts from what was agreed below it:
            # the committed state in the checkpoint stands, and nothing above it in such a log was ever agreed.
            records, begin = (), checkpoint_id
            self._drop_log(checkpoint_id)
        return known._replace(begin=begin, records=records, checkpoint=checkpoint_id, state=state)

    def _drop_log(self, begin: OffsetAndEpoch) -> None:
        """At once: left to the next write, records above it would be found again above that write's own."""
        self.connection.execute("BEGIN")
        self.connection.execute("DELETE FROM log")
        self._set_fact("begin", begin)
        self.connection.execute("COMMIT")

    def _newest_checkpoint(self, *, least: int, mesh: str) -> tuple[OffsetAndEpoch, State] | None:
        marks = sorted(
            (
                checkpoint_id
                for path in self.checkpoints.iterdir()
                if (checkpoint_id := parse_checkpoint_file_name(path.name))
            ),
            reverse=True,
        )
        for checkpoint_id in marks:
            if checkpoint_id.offset < least:
                break
            path = self.checkpoints / checkpoint_file_name(checkpoint_id)
            match unpack_checkpoint(checkpoint_id=checkpoint_id, data=path.read_bytes()):
                case Success(state) if state.mesh == mesh:
                    return checkpoint_id, state
                case Success(state):
                    self.remarks.append(f"{path.name} belongs to mesh {state.mesh} and was set aside")
                    self._set_aside(path)
                case Failure(error) if error.kind == ErrorKind.OTHER_RELEASE:
                    raise OSError(errno.EPROTO, str(error))
                case Failure(error):
                    self.remarks.append(str(error))
                    self._set_aside(path)
        return None

    def found(self, *, mesh: str, voters: dict[int, str], operators: dict[str, str], level: int = 1) -> None:
        """Founding: the first checkpoint, at offset and epoch zero, then the facts that make it count."""
        self.store_checkpoint(
            checkpoint_id=OffsetAndEpoch(0, 0),
            state=initial_state(mesh=mesh, voters=voters, operators=operators, level=level),
        )
        self.connection.execute("BEGIN")
        self._set_fact("mesh", mesh)
        self._set_fact("voters", sorted(voters.items()))
        self.connection.execute("COMMIT")

    # -- writing -----------------------------------------------------------------------------------------------------

    def write(self, writes: list[Write]) -> None:
        """One transaction, so one sync, for everything that was queued."""
        try:
            self.connection.execute("BEGIN")
            for write in writes:
                if write.clear:
                    self.connection.execute("DELETE FROM log")
                if write.truncate_from >= 0:
                    self.connection.execute("DELETE FROM log WHERE place >= ?", (write.truncate_from,))
                if write.records:
                    rows = [
                        (record.offset, record.epoch, to_microseconds(record.stamp), record.payload)
                        for record in write.records
                    ]
                    self.connection.executemany("INSERT OR REPLACE INTO log VALUES (?, ?, ?, ?)", rows)
            newest = writes[-1]
            self.connection.execute("DELETE FROM log WHERE place <= ?", (newest.begin.offset,))
            facts = {
                "epoch": newest.epoch,
                "vote": newest.vote,
                "voters": newest.voters,
                "mesh": newest.mesh,
                "begin": newest.begin,
                "catching": newest.catching,
                "committed": newest.committed,
            }
            for name, value in facts.items():
                self._set_fact(name, value)
            self.connection.execute("COMMIT")
        except sqlite3.Error:
            if self.connection.in_transaction:
                self.connection.execute("ROLLBACK")
            raise

    def _store(self, checkpoint_id: OffsetAndEpoch, data: bytes) -> None:
        temporary = self.checkpoints / (checkpoint_file_name(checkpoint_id) + PART)
        try:
            self.files.write(temporary, data)
            self.files.sync(temporary)
        except OSError:
            # On a full disk half a file would take the room that the log needs.
            self.files.remove(temporary)
            raise
        self.files.rename(temporary, self.checkpoints / checkpoint_file_name(checkpoint_id))
        self.files.sync_folder(self.checkpoints)

    def store_checkpoint(self, *, checkpoint_id: OffsetAndEpoch, state: State) -> int:
        data = pack_checkpoint(checkpoint_id=checkpoint_id, state=state)
        self._store(checkpoint_id, data)
        return len(data)

    def store_chunk(self, *, checkpoint_id: OffsetAndEpoch, position: int, data: bytes, last: bool) -> State | None:
        """Puts a pulled piece in its place; after the last one the whole file is checked, synced and named."""
        partial = self.checkpoints / (checkpoint_file_name(checkpoint_id) + PULLED)
        if not position:
            # A pull that was given up for a newer checkpoint leaves its pieces behind.
            for path in sorted(self.checkpoints.glob(f"*{PULLED}")):
                self.files.remove(path)
        self.files.write(partial, data, position=position)
        if not last:
            return None
        complete = partial.read_bytes()
        self.files.remove(partial)
        match unpack_checkpoint(checkpoint_id=checkpoint_id, data=complete):
            case Success(state):
                self._store(checkpoint_id, complete)
                return state
            case _:
                return None

    def read_chunk(self, *, checkpoint_id: OffsetAndEpoch, position: int, max_bytes: int) -> tuple[str, bytes, bool]:
        path = self.checkpoints / checkpoint_file_name(checkpoint_id)
        try:
            size = path.stat().st_size
            if not 0 <= position <= size:
                return OFFSET_OUT_OF_RANGE, b"", False
            with path.open("rb") as file:
                file.seek(position)
                data = file.read(max_bytes)
        except FileNotFoundError:
            return SNAPSHOT_NOT_FOUND, b"", False
        return "", data, position + len(data) < size

    def drop_checkpoints(self, *, below: int, keep: tuple[OffsetAndEpoch, ...] = ()) -> None:
        for path in sorted(self.checkpoints.iterdir()):
            checkpoint_id = parse_checkpoint_file_name(path.name.removesuffix(PART).removesuffix(PULLED))
            if checkpoint_id is not None and checkpoint_id.offset < below and checkpoint_id not in keep:
                self.files.remove(path)
        self.files.sync_folder(self.checkpoints)

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
