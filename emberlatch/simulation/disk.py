"""The disk of a simulated machine: slow, stalled, full, or failing to sync, once or for a time.

The files are real; the duration of syncs and the failures of writes are simulated. Of the syncs that fail,
every other one, starting with the first, keeps the written data in the file, as a crash may do.
"""

from __future__ import annotations

import asyncio
import errno
import os
import sqlite3
from collections.abc import Callable, Mapping
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING

from emberlatch.cluster.disk import Disk
from emberlatch.cluster.files import write_synced

if TYPE_CHECKING:
    from _typeshed import SupportsLenAndGetItem

UNTIL_RECOVERY = 1 << 30  # number of writes; more than any simulated day has


class DiskFault(Enum):
    """The fault of a write."""

    NONE = "none"
    FULL = "full"  # nothing is written
    SYNC_FAILS = "sync fails"  # the data may be in the file or not


class SimulatedDisk:
    """A disk with faults. `sync_s` is the duration of a sync in seconds; the other fields are counters."""

    def __init__(self, sync_s: float) -> None:
        self.sync_s = sync_s
        self.failed_writes = 0
        self.commits = 0  # commits of databases
        self.files_written = 0  # files written, each synced together with its folder
        self.file_bytes_written = 0
        self._fault, self._failures_left = DiskFault.NONE, 0
        self._kept_unsynced = False  # whether the last failed sync kept the written data in the file

    def fail(self, fault: DiskFault, writes: int = UNTIL_RECOVERY) -> None:
        """Make the next `writes` writes fail with `fault`."""
        self._fault, self._failures_left = fault, writes

    def recover(self) -> None:
        """Make writes succeed again."""
        self._fault, self._failures_left = DiskFault.NONE, 0

    def as_disk(self) -> Disk:
        """The interface through which a process uses this disk."""
        return Disk(self._offload, self._connect, self._write)

    async def _offload(self, work: Callable[[], None]) -> None:
        await asyncio.sleep(self.sync_s)
        work()

    def next_fault(self) -> DiskFault:
        """Return the fault of the next write, and count that write."""
        if self._failures_left == 0:
            return DiskFault.NONE
        self._failures_left -= 1
        self.failed_writes += 1
        return self._fault

    def keeps_unsynced(self) -> bool:
        """Whether a failed sync keeps the written data in the file: the first, the third and so on do."""
        self._kept_unsynced = not self._kept_unsynced
        return self._kept_unsynced

    def _connect(self, path: Path) -> sqlite3.Connection:
        if not path.exists() and self.next_fault() is not DiskFault.NONE:
            raise sqlite3.OperationalError("unable to open database file")
        disk = self

        class Connection(sqlite3.Connection):
            """A connection whose commits fail when the disk does."""

            def execute(
                self,
                statement: str,
                parameters: SupportsLenAndGetItem[object] | Mapping[str, object] = (),
                /,
            ) -> sqlite3.Cursor:
                """Run a statement; sqlite3.OperationalError where the disk fails a commit."""
                if statement == "COMMIT":
                    return disk.commit(super().execute)
                return super().execute(statement, parameters)

        return sqlite3.connect(path, check_same_thread=False, isolation_level=None, factory=Connection)

    def commit(self, execute: Callable[[str], sqlite3.Cursor]) -> sqlite3.Cursor:
        """Commit a transaction; sqlite3.OperationalError if the disk fails it."""
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
        self.files_written += 1
        self.file_bytes_written += len(raw)
