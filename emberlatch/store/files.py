"""The one place where the journal meets the disk: small enough to be replaced by a faulty one."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """The files of one folder. Everything raises OSError where the system does."""

    def names(self) -> list[str]:
        """What is there."""

    def read(self, name: str) -> bytes:
        """All of a file."""

    def append_to(self, name: str) -> int:
        """Open a file, made if need be, to write at its end; a handle."""

    def write(self, handle: int, data: memoryview) -> int:
        """Write what there is room for; how many bytes that were."""

    def close(self, handle: int) -> None:
        """Give a handle back."""

    def remove(self, name: str) -> None:
        """Remove a file; one that is not there is no fault."""

    def sync(self, handle: int) -> None:
        """Wait until what was written to a file outlasts the machine; its name may still not."""

    def sync_folder(self) -> None:
        """Wait until the names outlast the machine: new files, and those that were removed."""


class Folder:
    """A folder of the real file system."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def names(self) -> list[str]:
        return os.listdir(self._path)

    def read(self, name: str) -> bytes:
        return (self._path / name).read_bytes()

    def append_to(self, name: str) -> int:
        return os.open(self._path / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, handle: int, data: memoryview) -> int:
        return os.write(handle, data)

    def close(self, handle: int) -> None:
        os.close(handle)

    def remove(self, name: str) -> None:
        (self._path / name).unlink(missing_ok=True)

    def sync(self, handle: int) -> None:
        os.fsync(handle)

    def sync_folder(self) -> None:
        folder = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
