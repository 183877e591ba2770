"""Which files of an inventory can be read now: a file that is being saved must not be taken half-way.

A file renamed into its place is whole: its name changed after its last byte (its change time is later
than its modification time), so it is taken at once. A file that was written in place may be half
saved, whatever it looks like, and so may one that is new, empty or gone: each is taken once it has
looked the same for `settle` seconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

FORCED = 0.2  # seconds that are enough where somebody has asked for the look


@dataclass(frozen=True, slots=True)
class Signature:
    """What `stat` says of a file; it changes with every write and every rename."""

    device: int
    inode: int
    size: int
    modified: int  # ns
    changed: int  # ns: contents or name

    def replaces(self, before: Signature | None) -> bool:
        """Whether it was put in the place of the other whole, by a rename."""
        other = before is None or (self.device, self.inode) != (before.device, before.inode)
        return other and self.size > 0 and self.changed > self.modified


@dataclass(slots=True)
class Look:
    """What a look found: files to read, files that are gone for good, and those that are waited for."""

    read: list[str] = field(default_factory=list)
    gone: list[str] = field(default_factory=list)
    waiting: dict[str, str] = field(default_factory=dict)


class Settling:
    """Remembers what was taken and since when anything else has looked the same. Times are seconds."""

    def __init__(self, settle: float) -> None:
        self._settle = settle
        self._taken: dict[str, Signature] = {}
        self._pending: dict[str, tuple[Signature | None, float]] = {}

    def look(self, now: float, seen: Mapping[str, Signature], forced: bool = False) -> Look:
        """Say what to do about the files that are there now; `forced` shortens the wait."""
        look, enough = Look(), min(self._settle, FORCED) if forced else self._settle
        for path in sorted(seen.keys() | self._taken.keys()):
            signature, taken = seen.get(path), self._taken.get(path)
            if signature == taken:
                self._pending.pop(path, None)
                continue
            before, since = self._pending.get(path, (taken, now))
            if path not in self._pending or before != signature:
                since = now
                self._pending[path] = signature, now
            if now - since >= enough or (signature is not None and signature.replaces(taken)):
                (look.gone if signature is None else look.read).append(path)
            else:
                look.waiting[path] = (
                    "missing" if signature is None else "empty" if not signature.size else "changing"
                )
        for path in self._pending.keys() - seen.keys() - self._taken.keys():
            del self._pending[path]  # came and went
        return look

    def took(self, path: str, signature: Signature) -> None:
        """A file was read, and was the same before and after."""
        self._taken[path] = signature
        self._pending.pop(path, None)

    def dropped(self, path: str) -> None:
        """A file that is gone is not missed any longer."""
        self._taken.pop(path, None)
        self._pending.pop(path, None)
