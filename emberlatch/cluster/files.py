"""Replaces files so that their content survives a loss of power.

The content is written to a temporary file and synced, the file is renamed, and its folder is synced.
"""

from __future__ import annotations

import os
from pathlib import Path

TEMPORARY_SUFFIX = ".new"
FILE_MODE = 0o644


def write_synced(path: Path, raw: bytes) -> None:
    """Replace a file atomically; the new content survives a loss of power once this returns.

    Raises OSError if a step fails; the file then has either its old or its new content.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        remaining = memoryview(raw)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    sync_folder(path.parent)


def sync_folder(path: Path) -> None:
    """Sync a folder, so that creating, renaming and removing files in it survives a loss of power."""
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
