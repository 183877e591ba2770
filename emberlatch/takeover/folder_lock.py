"""The ownership lock of a state folder: the owner holds an exclusive flock(2) lock on a file in the folder.

The kernel releases the lock when the process ends, for any reason.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

LOCK_FILE = "lock"  # name of the locked file, which stays empty and needs no disk space


class FolderLock:
    """The lock of one folder; implements `ports.OwnershipLock`."""

    def __init__(self, folder: Path) -> None:
        """Open the lock file. Raises OSError if it cannot be created."""
        self._descriptor = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.acquired = False

    def acquire(self) -> bool:
        """Try to acquire the lock without waiting; return whether this process holds it now."""
        if not self.acquired:
            try:
                fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                return False
            self.acquired = True
        return True

    def release(self) -> None:
        """Release the lock."""
        fcntl.flock(self._descriptor, fcntl.LOCK_UN)
        self.acquired = False

    def close(self) -> None:
        """Release the lock and close the lock file."""
        os.close(self._descriptor)
        self.acquired = False
