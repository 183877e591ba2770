"""The interface between the logs and the file system; tests replace it to inject faults."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """The files of one folder. Every method raises OSError if the system call fails."""

    def names(self) -> list[str]:
        """Return the names of the files in the folder."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append_to(self, name: str) -> int:
        """Open a file for appending, create it if it is missing, and return a handle."""

    def write(self, handle: int, data: memoryview) -> int:
        """Write as many bytes as there is space for, and return their number."""

    def close(self, handle: int) -> None:
        """Close a handle."""

    def remove(self, name: str) -> None:
        """Remove a file; do nothing if it does not exist."""

    def sync(self, handle: int) -> None:
        """Block until the content of a file is durable. Its directory entry may still be lost."""

    def sync_folder(self) -> None:
        """Block until the creation and removal of files in the folder is durable."""


class Folder:
    """A folder of the file system; implements `Files`."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def names(self) -> list[str]:
        """See `Files`."""
        return os.listdir(self._path)

    def read(self, name: str) -> bytes:
        """See `Files`."""
        return (self._path / name).read_bytes()

    def append_to(self, name: str) -> int:
        """See `Files`."""
        return os.open(self._path / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, handle: int, data: memoryview) -> int:
        """See `Files`."""
        return os.write(handle, data)

    def close(self, handle: int) -> None:
        """See `Files`."""
        os.close(handle)

    def remove(self, name: str) -> None:
        """See `Files`."""
        (self._path / name).unlink(missing_ok=True)

    def sync(self, handle: int) -> None:
        """See `Files`."""
        os.fsync(handle)

    def sync_folder(self) -> None:
        """See `Files`."""
        folder = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
