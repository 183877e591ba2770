"""The files of the outcome log: a current and a rotated file of JSON lines.

A line has the keys of `StoredOutcome`. An append writes either all of its lines or none. A retry therefore
writes no line twice.
"""

from __future__ import annotations

import errno
import json
import logging
import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NotRequired, TypedDict

log = logging.getLogger(__name__)

CURRENT_FILE, ROTATED_FILE = "ends.jsonl", "ends.old.jsonl"
LOGGED_BYTES = 40
"""How many bytes of an unreadable line are logged."""


class StoredOutcome(TypedDict):
    """The outcome of a message, with the keys that are stored; operators' scripts read them too."""

    ref: int
    """The number that the gateway gave the message; it is never reused."""
    id: str
    state: str
    """`delivered`, `refused` or `failed`."""
    at: float
    """Unix time in seconds."""
    wait_ms: NotRequired[float]
    """Only if refused: after how many milliseconds the message may be submitted again."""


class OutcomeFile:
    """Appends lines to the files in a folder within a size limit, and syncs them."""

    def __init__(self, folder: Path, limit_bytes: int) -> None:
        """`limit_bytes` limits the size of both files together.

        If a kill has left the last line incomplete, append a line end. The next outcome then starts on a new
        line.
        """
        self._folder, self._limit_bytes = folder, limit_bytes
        path = folder / CURRENT_FILE
        last_byte = path.read_bytes()[-1:] if path.exists() else b"\n"
        if last_byte not in (b"\n", b""):
            with open(path, "ab") as file:
                file.write(b"\n")

    def append(self, data: bytes) -> None:
        """Write all of the data or nothing; raises OSError if it can't be written."""
        if not data:
            return
        path = self._folder / CURRENT_FILE
        size = path.stat().st_size if path.exists() else 0
        if size and size + len(data) > self._limit_bytes // 2:
            os.replace(path, self._folder / ROTATED_FILE)
        with open(path, "ab", buffering=0) as file:
            start = file.tell()
            try:
                if file.write(data) != len(data):
                    raise OSError(errno.ENOSPC, f"no space to write all {len(data)} bytes of outcomes")
            except OSError:
                file.truncate(start)  # the retry writes all of the data again
                raise

    def read(self) -> Iterator[StoredOutcome]:
        """Yield the outcomes of both files, the oldest first.

        Lines that can't be decoded or have no `ref` or `id` are logged and skipped. Lines with a `ref` or
        `id` of another type are skipped without a log line.
        """
        for name in (ROTATED_FILE, CURRENT_FILE):
            try:
                data = (self._folder / name).read_bytes()
            except FileNotFoundError:
                continue
            for text in data.splitlines():
                try:
                    line = json.loads(text)
                    if isinstance(line["ref"], int) and isinstance(line["id"], str):
                        yield line
                except (ValueError, KeyError, TypeError):
                    log.warning("%s: a line cannot be read: %r", name, text[:LOGGED_BYTES])

    def prepare_sync(self) -> Callable[[], None]:
        """See `emberlatch.store.group_sync.Syncable`."""
        return self._sync

    def on_synced(self) -> None:
        """See `emberlatch.store.group_sync.Syncable`."""

    def _sync(self) -> None:
        for path, flags in ((self._folder / CURRENT_FILE, 0), (self._folder, os.O_DIRECTORY)):
            handle = os.open(path, os.O_RDONLY | os.O_CLOEXEC | flags)
            try:
                os.fsync(handle)
            finally:
                os.close(handle)


def encode(outcome: StoredOutcome) -> bytes:
    """Encode an outcome as a JSON line."""
    return json.dumps(outcome, separators=(",", ":")).encode() + b"\n"
