"""A disk of a simulated machine: slow, stalled, full, or failing to sync, once or for a time.

The files are real. What is simulated is how long a sync takes, and which writes fail. A sync that fails
leaves what was written in the file, as a crash may keep it, in every other case.
"""

from __future__ import annotations

import asyncio
import errno
import os
import sqlite3
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any

from emberlatch.cluster.disk import Disk
from emberlatch.cluster.files import write_synced


class DiskFault(Enum):
    """What goes wrong with each write."""

    NONE = "none"
    FULL = "full"  # nothing is written
    SYNC_FAILS = "sync fails"  # what was written may be there, or not


class SimulatedDisk:
    """See the module. `sync_s` are the seconds that a sync takes."""

    def __init__(self, sync_s: float) -> None:
        self.sync_s = sync_s
        self.failed = 0  # writes that failed
        self.commits = 0  # commits of databases that succeeded
        self.files = 0  # files put in place, each synced with its folder
        self.file_bytes = 0
        self._fault, self._left = DiskFault.NONE, 0
        self._kept = False  # whether the last failed sync left what was written

    def fail(self, fault: DiskFault, times: int = 1 << 30) -> None:
        """From now on writes fail, so many of them."""
        self._fault, self._left = fault, times

    def mend(self) -> None:
        """Writes succeed again."""
        self._fault, self._left = DiskFault.NONE, 0

    def seam(self) -> Disk:
        """As a process uses it."""
        return Disk(self._offload, self._connect, self._write)

    async def _offload(self, work: Callable[[], None]) -> None:
        await asyncio.sleep(self.sync_s)
        work()

    def next_fault(self) -> DiskFault:
        """What befalls the next write."""
        if self._left == 0:
            return DiskFault.NONE
        self._left -= 1
        self.failed += 1
        return self._fault

    def keeps_unsynced(self) -> bool:
        """Whether a failed sync leaves what was written: every other one does."""
        self._kept = not self._kept
        return self._kept

    def _connect(self, path: Path) -> sqlite3.Connection:
        if not path.exists() and self.next_fault() is not DiskFault.NONE:
            raise sqlite3.OperationalError("unable to open database file")
        disk = self

        class Connection(sqlite3.Connection):
            """Fails as the disk does."""

            def execute(self, statement: str, *values: Any) -> sqlite3.Cursor:
                if statement == "COMMIT":
                    return disk.commit(super().execute)
                return super().execute(statement, *values)

        return sqlite3.connect(path, check_same_thread=False, isolation_level=None, factory=Connection)

    def commit(self, execute: Callable[[str], sqlite3.Cursor]) -> sqlite3.Cursor:
        """Commit a transaction, or fail to."""
        match self.next_fault():
            case DiskFault.FULL:
                raise sqlite3.OperationalError("database or disk is full")
            case DiskFault.SYNC_FAILS:
                if self.keeps_unsynced():
                    execute("COMMIT")
                raise sqlite3.OperationalError("disk I/O error")
        self.commits += 1
        return execute("COMMIT")

    def _write(self, path: Path, raw: bytes) -> None:
        match self.next_fault():
            case DiskFault.FULL:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            case DiskFault.SYNC_FAILS:
                if self.keeps_unsynced():
                    write_synced(path, raw)
                raise OSError(errno.EIO, os.strerror(errno.EIO))
        write_synced(path, raw)
        self.files += 1
        self.file_bytes += len(raw)
