"""Plain files that outlast the machine: written beside, synced, renamed, and their folder synced."""

from __future__ import annotations

import hashlib
import os
import re
from pathlib import Path

from emberlatch.cluster.events import Event, log_event

KEPT = 3  # versions that stay on disk
_NAME = re.compile(r"word-(\d{20})-([0-9a-f]{16})\.json")


def digest(raw: bytes) -> str:
    """What tells two texts of one version apart."""
    return hashlib.sha256(raw).hexdigest()[:16]


def write_synced(path: Path, raw: bytes) -> None:
    """Put a file in place, whole or not at all; it outlasts a loss of power once this returns."""
    beside = path.with_name(path.name + ".new")
    descriptor = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        left = memoryview(raw)
        while left:
            left = left[os.write(descriptor, left) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(beside, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class ConfigFiles:
    """The versions of the operator's word in one folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)

    def _found(self) -> list[tuple[int, str, Path]]:
        names = ((_NAME.fullmatch(path.name), path) for path in self._folder.iterdir())
        return sorted((int(m[1]), m[2], path) for m, path in names if m is not None)

    def newest(self) -> bytes | None:
        """The highest version that is there whole; what is damaged is passed over."""
        for _, told, path in reversed(self._found()):
            raw = path.read_bytes()
            if digest(raw) == told:
                return raw
            log_event(Event.CONFIG_UNREADABLE, path.name)
        return None

    def write(self, revision: int, raw: bytes) -> None:
        """Keep a version; OSError if it can't be. Older ones go once it is safe."""
        write_synced(self._folder / f"word-{revision:020d}-{digest(raw)}.json", raw)
        for _, _, path in self._found()[:-KEPT]:
            path.unlink(missing_ok=True)
