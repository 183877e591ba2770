"""Records on disk: one sqlite file, written in group commits.

No other process opens the file: `EXCLUSIVE` is set before `WAL`, so that sqlite needs no shared memory. A
commit returns once it survives a loss of power (`synchronous=FULL`). Times are stored as Unix time.

A commit that failed is executed again in full, so that its pages are written again. Syncing again would not
be enough: after a failed sync the kernel may mark pages as clean that are not on the disk
(docs/design/disks.md).
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Callable
from pathlib import Path

import cbor2

from emberlatch.cluster.disk import Disk
from emberlatch.cluster.message_store.disk_health import DiskHealth
from emberlatch.cluster.message_store.group_commit import GroupCommit
from emberlatch.cluster.message_store.pending_writes import (
    DeleteRecord,
    PendingWrites,
    PutRecord,
    UpdateRecord,
    Write,
)
from emberlatch.cluster.message_store.record import MessageState, Record

INCARNATION_NOTE = "life"
"""Name of the note that every incarnation writes. A disk without this note counts as empty."""

TABLES = (
    "CREATE TABLE IF NOT EXISTS records (id TEXT PRIMARY KEY, meta BLOB, body BLOB) WITHOUT ROWID",
    "CREATE TABLE IF NOT EXISTS marks (name TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID",
)

PRAGMAS = ("locking_mode=EXCLUSIVE", "journal_mode=WAL", "synchronous=FULL", "cache_size=-2000")

USED_BYTES = (
    "SELECT (page_count - freelist_count) * page_size"
    " FROM pragma_page_count, pragma_freelist_count, pragma_page_size"
)


class RecordDatabase:
    """The database file of one store. `wall` returns the Unix time in seconds."""

    def __init__(self, path: Path, disk: Disk, wall: Callable[[], float]) -> None:
        self._path, self._disk, self._wall = path, disk, wall
        self._db: sqlite3.Connection | None = None
        self._old_log_emptied = False  # whether `_empty_old_log` succeeded since the file was opened
        self._closed = False
        self.health = DiskHealth()
        self.group_commit = GroupCommit(self._commit, disk.offload, self.health)

    def open(self) -> None:
        """Open the file, and create it if there is none. Raises OSError if that fails."""
        if self._db is not None:
            return
        if self._closed:
            raise OSError("the database is closed")
        self._path.parent.mkdir(parents=True, exist_ok=True)
        try:
            db = self._disk.connect(self._path)
            try:
                _prepare(db)
            except sqlite3.Error:
                db.close()
                raise
        except sqlite3.Error as error:
            raise OSError(str(error)) from error
        self._db, self._old_log_emptied = db, False

    async def open_offloaded(self) -> None:
        """Open the file by `Disk.offload`, as opening may block. Raises OSError if that fails."""
        if self._db is None:
            await self._disk.offload(self.open)

    @property
    def _open_db(self) -> sqlite3.Connection:
        if self._db is None:
            raise OSError("the database is not open")
        return self._db

    def _encode_meta(self, record: Record, now: float) -> bytes:
        fields = record.to_wire(now - self._wall(), None)  # converts loop times to Unix times
        del fields["body"], fields["id"]  # both have their own columns
        return cbor2.dumps(fields)

    # Writing.

    def put(self, record: Record, now: float) -> None:
        """Write a record with its body."""
        self.group_commit.pending.add(record.id, PutRecord(self._encode_meta(record, now), record.body))

    def update(self, record: Record, now: float) -> None:
        """Write the fields of a record other than its body; the body of a completed record is deleted."""
        drop_body = record.state is MessageState.COMPLETED
        self.group_commit.pending.add(record.id, UpdateRecord(self._encode_meta(record, now), drop_body))

    def delete(self, id: str) -> None:
        """Delete a record."""
        self.group_commit.pending.add(id, DeleteRecord())

    def write_note(self, name: str, value: object) -> None:
        """Write a note: a single value under a name."""
        self.group_commit.pending.notes[name] = cbor2.dumps(value)

    def when_durable(self, committed: Callable[[], None], failed: Callable[[], None] = lambda: None) -> None:
        """See `GroupCommit.when_durable`."""
        self.group_commit.when_durable(committed, failed)

    def schedule_commit(self) -> None:
        """See `GroupCommit.schedule_commit`."""
        self.group_commit.schedule_commit()

    def _commit(self, writes: PendingWrites) -> None:
        """Commit all of these writes or none. Raises OSError if the commit fails."""
        try:
            self.open()
            self._empty_old_log()
            db = self._open_db
            db.execute("BEGIN")
            for id, write in writes.records():
                _execute(db, id, write)
            for name, value in writes.notes.items():
                db.execute("INSERT OR REPLACE INTO marks VALUES (?, ?)", (name, value))
            db.execute("COMMIT")
        except sqlite3.Error as error:
            self._roll_back()
            raise OSError(str(error)) from error

    def _empty_old_log(self) -> None:
        """Before the first commit, move the writes of earlier incarnations from the log into the file.

        The last sync of that incarnation may have failed and left frames of the log only in the page cache.
        A loss of power would lose these frames, and with them every commit that follows them in the log.
        """
        if self._old_log_emptied:
            return
        busy, _, _ = self._open_db.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchone()
        if busy:
            raise OSError(f"can't empty the write-ahead log of {self._path}: got busy={busy}, expected 0")
        self._old_log_emptied = True

    def _roll_back(self) -> None:
        """Roll back a failed transaction. If that fails, close the file; the next commit opens it again."""
        if self._db is None or not self._db.in_transaction:
            return
        try:
            self._db.execute("ROLLBACK")
        except sqlite3.Error:
            with contextlib.suppress(sqlite3.Error):
                self._db.close()
            self._db = None

    # Reading.

    def read_note(self, name: str) -> object:
        """Return the decoded value of a note; None if there is none. Raises OSError if it can't be read."""
        try:
            row = self._open_db.execute("SELECT value FROM marks WHERE name = ?", (name,)).fetchone()
        except sqlite3.Error as error:
            raise OSError(str(error)) from error
        return cbor2.loads(row[0]) if row is not None else None

    def load(self, now: float) -> list[Record]:
        """Return all records, with bodies of queued and cancelled ones. Raises OSError if reading fails."""
        records, time_offset = [], now - self._wall()
        try:
            for id, meta, body in self._open_db.execute("SELECT id, meta, body FROM records"):
                fields = cbor2.loads(meta)
                fields |= {"id": id, "body": body if fields["state"] <= MessageState.CANCELLED else None}
                records.append(Record.from_wire(fields, time_offset))
        except sqlite3.Error as error:
            raise OSError(str(error)) from error
        return records

    async def body(self, id: str) -> bytes | None:
        """Return the stored body of a record in any state, or None. Raises OSError if it can't be read."""
        rows = await self._read("SELECT body FROM records WHERE id = ?", (id,))
        body = rows[0][0] if rows else None
        return body if isinstance(body, bytes) else None

    async def used_bytes(self) -> int:
        """Return the bytes of the file that are in use. Raises OSError if that can't be read."""
        rows = await self._read(USED_BYTES)
        return int(str(rows[0][0]))

    async def _read(self, statement: str, values: tuple[str, ...] = ()) -> list[tuple[object, ...]]:
        rows: list[tuple[object, ...]] = []

        def read() -> None:
            try:
                rows.extend(self._open_db.execute(statement, values).fetchall())
            except sqlite3.Error as error:
                raise OSError(str(error)) from error

        await self._disk.offload(read)
        return rows

    # Closing.

    def close_without_commit(self) -> None:
        """Close without the pending writes, as if the process had been killed."""
        self._closed = True
        if self._db is not None:
            self._db.close()

    def close(self) -> None:
        """Commit the pending writes and close. Raises OSError if the commit fails."""
        try:
            self._commit(self.group_commit.take())
        finally:
            self.close_without_commit()


def _prepare(db: sqlite3.Connection) -> None:
    for pragma in PRAGMAS:
        db.execute(f"PRAGMA {pragma}")
    for table in TABLES:
        db.execute(table)


def _execute(db: sqlite3.Connection, id: str, write: Write) -> None:
    match write:
        case PutRecord(meta=meta, body=body):
            db.execute("INSERT OR REPLACE INTO records VALUES (?, ?, ?)", (id, meta, body))
        case UpdateRecord(meta=meta, drop_body=True):
            db.execute("UPDATE records SET meta = ?, body = NULL WHERE id = ?", (meta, id))
        case UpdateRecord(meta=meta):
            db.execute("UPDATE records SET meta = ? WHERE id = ?", (meta, id))
        case DeleteRecord():
            db.execute("DELETE FROM records WHERE id = ?", (id,))
