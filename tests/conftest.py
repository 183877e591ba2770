"""Fixtures that tests of several packages share."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

MEMORY_FOLDER = Path("/dev/shm")


@pytest.fixture
def memory_path(tmp_path: Path) -> Iterator[Path]:
    """Return a temporary folder in memory if the system has /dev/shm, else one on disk.

    Some file systems flush a file to the disk each time that it is truncated. On them, tests that truncate a
    file hundreds of times took minutes.
    """
    if not (MEMORY_FOLDER.is_dir() and os.access(MEMORY_FOLDER, os.W_OK)):
        yield tmp_path
        return
    with tempfile.TemporaryDirectory(prefix="emberlatch-", dir=MEMORY_FOLDER) as name:
        yield Path(name)
