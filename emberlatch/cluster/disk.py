"""The port to the machine's disk, which the simulation replaces by a simulated disk."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from emberlatch.cluster.files import write_synced
from emberlatch.store import Offload


def connect_database(path: Path) -> sqlite3.Connection:
    """Open a database file, creating it if there is none; sqlite3.Error if it can't be opened.

    Initial reads run in the event loop's thread and commits in the disk thread, never concurrently; SQLite's
    check for a single thread is therefore off.
    """
    return sqlite3.connect(path, check_same_thread=False, isolation_level=None)


@dataclass(frozen=True, slots=True)
class Disk:
    """The disk operations of a process.

    `offload` runs blocking work outside the event loop's thread, `connect` opens a database, `write` replaces
    a file atomically and syncs it.
    """

    offload: Offload
    connect: Callable[[Path], sqlite3.Connection] = connect_database
    write: Callable[[Path, bytes], None] = write_synced
