"""Keeps the parsed contents of all inventory files, each as it was when last read."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from pathlib import Path

from emberlatch.inventory.assembly import assemble
from emberlatch.inventory.model import Inventory, RefusedError, Vocabulary
from emberlatch.inventory.parsed_file import PickledFile
from emberlatch.inventory.reader import UnstableFileError, missing_paths, parse, read, scan
from emberlatch.inventory.stability import FileSignature, StabilityTracker

log = logging.getLogger(__name__)

NS_PER_S = 1e9


class InventoryFiles:
    """Reads files as they become stable. All methods block on I/O or parsing: call them in a thread."""

    def __init__(self, paths: Sequence[Path], quiet_period_s: float, vocabulary: Vocabulary) -> None:
        self._paths, self._vocabulary, self._quiet_period_s = paths, vocabulary, quiet_period_s
        self._stability = StabilityTracker(quiet_period_s)
        self._parsed: dict[str, PickledFile] = {}
        self.waiting: dict[str, str] = {}
        """Path of each file that has not been read yet -> the reason."""

    def read_first(self, now: float, wall: float, accept_recent: bool) -> None:
        """Read the files that exist at the start; raises RefusedError if a configured path does not exist.

        A file that was modified within the quiet period may be incomplete, unless it was renamed into place.
        A later scan reads it. With `accept_recent` it is read now, as there is no other inventory to use.
        `now` is monotonic time and `wall` is Unix time, both in seconds.
        """
        if missing := missing_paths(self._paths):
            raise RefusedError(missing)
        found = scan(self._paths)
        for path, signature in found.items():
            age_s = wall - signature.modified_ns / NS_PER_S
            if accept_recent or age_s >= self._quiet_period_s or signature.replaces(None):
                self._read(path, signature)
        self.waiting = self._stability.scan(now, found).waiting

    def update(self, now: float, forced: bool) -> bool:
        """Read the changed files that are stable; return whether any file was read or deleted.

        Raises RefusedError if there are too many files.
        """
        result = self._stability.scan(now, scan(self._paths), forced)
        self.waiting = result.waiting
        were_read = [self._read(path, None) for path in result.to_read]
        for path in result.deleted:
            log.warning("inventory file %s was deleted: its endpoints are removed", path)
            self._stability.forget(path)
            self._parsed.pop(path, None)
        return any(were_read) or bool(result.deleted)

    def _read(self, path: str, expected: FileSignature | None) -> bool:
        """Read and parse a file; returns False if it can't be read or its signature is not `expected`.

        If `expected` is None, any signature is accepted.
        """
        try:
            signature, data = read(path)
        except UnstableFileError:
            return False  # the next scan finds a new signature
        except OSError as error:
            log.warning("inventory file %s cannot be read: %s", path, error.strerror)
            return False
        if expected is not None and expected != signature:
            return False
        self._stability.mark_read(path, signature)
        self._parsed[path] = PickledFile(parse(data, path, self._vocabulary))
        return True

    def assemble(self) -> Inventory:
        """Combine the files that were read into one inventory; raises RefusedError."""
        return assemble((pickled.unpickle() for pickled in self._parsed.values()), self._vocabulary)
