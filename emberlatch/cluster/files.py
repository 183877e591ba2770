"""Files that outlast a loss of power: written beside, synced, renamed, and their folder synced."""

from __future__ import annotations

import os
from pathlib import Path


def write_synced(path: Path, raw: bytes) -> None:
    """Put a file in place, whole or not at all; it outlasts a loss of power once this returns.

    OSError if it can't be: then either the old content or the new one is there.
    """
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
    sync_folder(path.parent)


def sync_folder(path: Path) -> None:
    """Names that were made, renamed or removed in a folder outlast a loss of power once this returns."""
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
