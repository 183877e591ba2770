"""Decides when an inventory file may be read, so that a file is never read while it is half written.

A file that was renamed into its path after its last write is complete and may be read at once. Its change
time is later than its modification time. A file that was written in place may be incomplete, whatever it
contains. Any other new file, an empty file and a missing file may be incomplete too. Such a file is used
after its signature has not changed for a quiet period.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

FORCED_QUIET_PERIOD_S = 0.2
"""The maximum of the quiet period in a forced scan, for example after an operator's reload command."""


@dataclass(frozen=True, slots=True)
class FileSignature:
    """Fields of a file's `stat` result. Every write and every rename changes at least one of these fields."""

    device: int
    inode: int
    size: int
    modified_ns: int
    changed_ns: int  # time of the last change of contents or name

    def replaces(self, before: FileSignature | None) -> bool:
        """Return whether a complete file was renamed over the file with the signature `before`."""
        another_file = before is None or (self.device, self.inode) != (before.device, before.inode)
        return another_file and self.size > 0 and self.changed_ns > self.modified_ns


@dataclass(slots=True)
class ScanResult:
    """The result of a scan, by path: files to read, files that were deleted, and unstable files."""

    to_read: list[str] = field(default_factory=list)
    deleted: list[str] = field(default_factory=list)
    waiting: dict[str, str] = field(default_factory=dict)  # path -> why the file is not stable yet


class StabilityTracker:
    """Tracks the signatures of the files in use, and how long changed files have been stable.

    All times are in seconds of one monotonic clock, which the caller reads.
    """

    def __init__(self, quiet_period_s: float) -> None:
        self._quiet_period_s = quiet_period_s
        self._in_use: dict[str, FileSignature] = {}
        self._pending: dict[str, tuple[FileSignature | None, float]] = {}

    def scan(self, now: float, found: Mapping[str, FileSignature], forced: bool = False) -> ScanResult:
        """Compare the files that exist now with those in use; `forced` shortens the quiet period."""
        result = ScanResult()
        quiet_period_s = min(self._quiet_period_s, FORCED_QUIET_PERIOD_S) if forced else self._quiet_period_s
        for path in sorted(found.keys() | self._in_use.keys()):
            signature, in_use = found.get(path), self._in_use.get(path)
            if signature == in_use:
                self._pending.pop(path, None)
                continue
            stable_s = self._stable_for(path, signature, now)
            if stable_s >= quiet_period_s or (signature is not None and signature.replaces(in_use)):
                (result.deleted if signature is None else result.to_read).append(path)
            else:
                result.waiting[path] = _waiting_reason(signature)
        for path in self._pending.keys() - found.keys() - self._in_use.keys():
            del self._pending[path]  # created and deleted again before it was ever read
        return result

    def _stable_for(self, path: str, signature: FileSignature | None, now: float) -> float:
        """Return for how many seconds a changed file has had this signature."""
        pending = self._pending.get(path)
        if pending is None or pending[0] != signature:
            self._pending[path] = signature, now
            return 0.0
        return now - pending[1]

    def mark_read(self, path: str, signature: FileSignature) -> None:
        """Record that a file was read, and that it had this signature before and after the read."""
        self._in_use[path] = signature
        self._pending.pop(path, None)

    def forget(self, path: str) -> None:
        """Stop tracking a file that was deleted."""
        self._in_use.pop(path, None)
        self._pending.pop(path, None)


def _waiting_reason(signature: FileSignature | None) -> str:
    if signature is None:
        return "missing"
    return "changing" if signature.size else "empty"
