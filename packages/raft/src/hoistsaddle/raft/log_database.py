"""The log, epoch, vote and other facts of a replica, in one SQLite database that syncs every transaction.

The tables and the names of the facts are the on-disk format and must not change.
"""

import sqlite3
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from hoistsaddle.common.clock import from_microseconds, to_microseconds
from hoistsaddle.raft.events import OffsetAndEpoch, Write
from hoistsaddle.rpc.messages import Record

DATABASE_NAME = "ledger.sqlite3"
# The limit of the write-ahead file in bytes, so that it doesn't fill up a small disk.
WRITE_AHEAD_BYTES = 4 * 1024 * 1024
# The facts that describe the mesh rather than the disk.
MESH_FACTS = ("mesh", "voters", "begin", "catching", "committed")


class Facts(NamedTuple):
    """The replica's persistent facts other than the log."""

    incarnation: str
    epoch: int
    vote: tuple[int, str] | None
    voters: tuple[tuple[int, str], ...]
    mesh: str
    begin: OffsetAndEpoch
    catching: bool
    committed: int
    first_seeds: tuple[int, ...]


class LogDatabase:
    """The open database of a replica."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        """Takes over a connection; `open` creates one."""
        self.connection = connection

    @classmethod
    def open(cls, path: Path, *, synchronous: str, write_ahead_pages: int) -> "LogDatabase":
        """Opens the database and creates missing tables.

        Args:
            path: The database file.
            synchronous: SQLite's setting; any value below FULL may lose writes in a power loss.
            write_ahead_pages: The number of pages at which SQLite checkpoints the write-ahead file into the database.

        Raises:
            sqlite3.OperationalError: The disk is full, locked or failing.
            sqlite3.DatabaseError: The file is damaged.
        """
        connection = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        try:
            connection.execute("PRAGMA journal_mode=WAL")
            connection.execute(f"PRAGMA synchronous={synchronous}")
            connection.execute(f"PRAGMA wal_autocheckpoint={write_ahead_pages}")
            connection.execute(f"PRAGMA journal_size_limit={WRITE_AHEAD_BYTES}")
            connection.execute(
                "CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, epoch INTEGER, stamp INTEGER, payload BLOB)"
            )
            connection.execute("CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, value BLOB)")
        except sqlite3.Error:
            connection.close()
            raise
        return cls(connection)

    def close(self) -> None:
        """Closes the connection."""
        self.connection.close()

    # -- facts -------------------------------------------------------------------------------------------------------

    def _fact(self, name: str) -> Any:
        row = self.connection.execute("SELECT value FROM facts WHERE name = ?", (name,)).fetchone()
        return None if row is None else msgspec.msgpack.decode(row[0])

    def _set_fact(self, name: str, value: object) -> None:
        self.connection.execute("INSERT OR REPLACE INTO facts VALUES (?, ?)", (name, msgspec.msgpack.encode(value)))

    def incarnation(self) -> str | None:
        """The incarnation of this disk; None for a new database."""
        return self._fact("incarnation")

    def facts(self) -> Facts:
        """All facts; those not written yet have the values of a new replica."""
        vote = self._fact("vote")
        return Facts(
            incarnation=self._fact("incarnation"),
            epoch=self._fact("epoch") or 0,
            vote=tuple(vote) if vote else None,
            voters=tuple((replica, incarnation) for replica, incarnation in self._fact("voters") or ()),
            mesh=self._fact("mesh") or "",
            begin=OffsetAndEpoch(*(self._fact("begin") or (0, 0))),
            catching=bool(self._fact("catching")),
            committed=self._fact("committed") or 0,
            first_seeds=tuple(self._fact("first_seeds") or ()),
        )

    def records(self, *, above: int) -> tuple[Record, ...]:
        """The log's records above the offset, in order."""
        return tuple(
            Record(offset, epoch, from_microseconds(stamp), payload)
            for offset, epoch, stamp, payload in self.connection.execute("SELECT * FROM log ORDER BY place")
            if offset > above
        )

    # -- changes -----------------------------------------------------------------------------------------------------

    def reset(self, incarnation: str) -> None:
        """Deletes log and facts and begins a new incarnation."""
        self.connection.execute("BEGIN")
        self.connection.execute("DELETE FROM log")
        self.connection.execute("DELETE FROM facts")
        self._set_fact("incarnation", incarnation)
        self.connection.execute("COMMIT")

    def bootstrap(self, *, mesh: str, voters: dict[int, str]) -> None:
        """Writes the mesh and its first voters; a catch-up that the blank replica had begun is discarded."""
        self.connection.execute("BEGIN")
        self.connection.execute("DELETE FROM log")
        self.connection.executemany("DELETE FROM facts WHERE name = ?", [(name,) for name in MESH_FACTS])
        self._set_fact("mesh", mesh)
        self._set_fact("voters", sorted(voters.items()))
        self.connection.execute("COMMIT")

    def record_first_start(self, seeds: tuple[int, ...]) -> None:
        """Records that this incarnation took part in the mesh's first start, with the seeds of that start."""
        self.connection.execute("BEGIN")
        self._set_fact("first_seeds", seeds)
        self.connection.execute("COMMIT")

    def leave(self) -> None:
        """Deletes the facts about the mesh and the log; epoch, vote and incarnation stay."""
        self.connection.execute("BEGIN")
        self.connection.execute("DELETE FROM log")
        self.connection.executemany("DELETE FROM facts WHERE name = ?", [(name,) for name in MESH_FACTS])
        self.connection.execute("COMMIT")

    def clear_log(self, begin: OffsetAndEpoch) -> None:
        """Deletes all records and begins the log after the position."""
        self.connection.execute("BEGIN")
        self.connection.execute("DELETE FROM log")
        self._set_fact("begin", begin)
        self.connection.execute("COMMIT")

    def write(self, writes: list[Write]) -> None:
        """Executes the writes in one transaction, so with one sync.

        Raises:
            sqlite3.Error: The transaction failed; nothing of it is in the database.
        """
        try:
            self.connection.execute("BEGIN")
            for write in writes:
                self._change_log(write)
            newest = writes[-1]
            self.connection.execute("DELETE FROM log WHERE place <= ?", (newest.begin.offset,))
            self._set_fact("epoch", newest.epoch)
            self._set_fact("vote", newest.vote)
            self._set_fact("voters", newest.voters)
            self._set_fact("mesh", newest.mesh)
            self._set_fact("begin", newest.begin)
            self._set_fact("catching", newest.catching)
            self._set_fact("committed", newest.committed)
            self.connection.execute("COMMIT")
        except sqlite3.Error:
            if self.connection.in_transaction:
                self.connection.execute("ROLLBACK")
            raise

    def _change_log(self, write: Write) -> None:
        if write.clear:
            self.connection.execute("DELETE FROM log")
        if write.truncate_from >= 0:
            self.connection.execute("DELETE FROM log WHERE place >= ?", (write.truncate_from,))
        if write.records:
            rows = [
                (record.offset, record.epoch, to_microseconds(record.stamp), record.payload) for record in write.records
            ]
            self.connection.executemany("INSERT OR REPLACE INTO log VALUES (?, ?, ?, ?)", rows)
