"""Records on disk: one sqlite file, commits of all that came while the one before ran.

The file is of this process alone (`EXCLUSIVE` before `WAL`, so that no shared memory is wanted), and a commit
returns once it outlasts a loss of power (`synchronous=FULL`). Times on disk are the time of day.
"""

from __future__ import annotations

import asyncio
import math
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any

import cbor2

from emberlatch.cluster.message_store.record import Record, State
from emberlatch.store import GroupSync, Offload

_Write = tuple[str, tuple[Any, ...]]


class RecordDatabase:
    """See the module. `wall` gives the time of day in seconds, `failed` hears that a commit failed."""

    def __init__(
        self, path: Path, offload: Offload, wall: Callable[[], float], failed: Callable[[OSError], None]
    ) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self.fresh = not path.exists()
        self._wall, self._offload = wall, offload
        self._db = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        self._db.execute("PRAGMA locking_mode=EXCLUSIVE")
        self._db.execute("PRAGMA journal_mode=WAL")
        self._db.execute("PRAGMA synchronous=FULL")
        self._db.execute("PRAGMA cache_size=-2000")
        self._db.execute(
            "CREATE TABLE IF NOT EXISTS records (id TEXT PRIMARY KEY, meta BLOB, body BLOB) WITHOUT ROWID"
        )
        self._db.execute("CREATE TABLE IF NOT EXISTS marks (name TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID")
        self._writes: list[_Write] = []
        self._busy_since = math.inf
        self._sync = GroupSync(self, offload, failed)

    def _meta(self, record: Record, now: float) -> bytes:
        told = record.told(now - self._wall(), None)  # its times come out as times of day
        del told["body"], told["id"]
        return cbor2.dumps(told)

    def put(self, record: Record, now: float) -> None:
        """Write a record with its body."""
        self._writes.append(
            (
                "INSERT OR REPLACE INTO records VALUES (?, ?, ?)",
                (record.id, self._meta(record, now), record.body),
            )
        )

    def mark(self, record: Record, now: float) -> None:
        """Write what has changed of a record; the body of a success goes."""
        meta = self._meta(record, now)
        if record.state is State.DONE:
            self._writes.append(("UPDATE records SET meta = ?, body = NULL WHERE id = ?", (meta, record.id)))
        else:
            self._writes.append(("UPDATE records SET meta = ? WHERE id = ?", (meta, record.id)))

    def drop(self, id: str) -> None:
        """Forget a record."""
        self._writes.append(("DELETE FROM records WHERE id = ?", (id,)))

    def note(self, name: str, value: Any) -> None:
        """Write something by its name."""
        self._writes.append(("INSERT OR REPLACE INTO marks VALUES (?, ?)", (name, cbor2.dumps(value))))

    def noted(self, name: str) -> Any:
        """What was written by that name; None if nothing was."""
        row = self._db.execute("SELECT value FROM marks WHERE name = ?", (name,)).fetchone()
        return cbor2.loads(row[0]) if row is not None else None

    def stands(self, then: Callable[[], None]) -> None:
        """Do this once all that is written by now is safe."""
        self._sync.stands(then)

    def settle(self) -> None:
        """What is written by now becomes safe soon; nobody waits for it."""
        if self._writes:
            self._sync.stands(_nothing)

    def lag(self, now: float) -> float:
        """For how long the commit that runs has been running."""
        return max(0.0, now - self._busy_since)

    def unsynced(self) -> Callable[[], None]:
        writes, self._writes = self._writes, []
        self._busy_since = asyncio.get_running_loop().time()
        return lambda: self._commit(writes)

    def synced(self) -> None:
        self._busy_since = math.inf

    def _commit(self, writes: list[_Write]) -> None:
        try:
            self._db.execute("BEGIN")
            for statement, values in writes:
                self._db.execute(statement, values)
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            raise OSError(str(error)) from error

    def load(self, now: float) -> list[Record]:
        """All records; bodies of those that have not ended."""
        found, back = [], now - self._wall()
        for id, meta, body in self._db.execute("SELECT id, meta, body FROM records"):
            told = cbor2.loads(meta)
            told |= {"id": id, "body": body if told["state"] <= State.VOID else None}
            found.append(Record.read(told, back))
        return found

    async def body(self, id: str) -> bytes | None:
        """The body of a record, wherever it is."""
        found: list[bytes | None] = []

        def read() -> None:
            row = self._db.execute("SELECT body FROM records WHERE id = ?", (id,)).fetchone()
            found.append(row[0] if row is not None else None)

        await self._offload(read)
        return found[0]

    async def used(self) -> int:
        """Bytes of the file that hold something."""
        found: list[int] = []

        def read() -> None:
            pages, spare, size = (
                self._db.execute(f"PRAGMA {name}").fetchone()[0]
                for name in ("page_count", "freelist_count", "page_size")
            )
            found.append((pages - spare) * size)

        await self._offload(read)
        return found[0]

    def abandon(self) -> None:
        """Its process is dead: nothing more is written."""
        self._db.close()

    def close(self) -> None:
        """Write what is left, and close."""
        self._commit(self._writes)
        self._writes = []
        self._db.close()


def _nothing() -> None:
    pass
