"""What is to be written with the next commit: at most one write for each record. Pure.

Later writes of a record are combined with earlier ones, so that what waits while a disk fails is bounded by
the records that the process knows, however often they change.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Put:
    """The whole record."""

    meta: bytes
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Mark:
    """What has changed of a record that was put; `drop_body`: its body is needed no more."""

    meta: bytes
    drop_body: bool


@dataclass(frozen=True, slots=True)
class Drop:
    """The record is forgotten."""


Write = Put | Mark | Drop


def combine(earlier: Write, later: Write) -> Write:
    """One write with the effect of both, in this order."""
    match earlier, later:
        case Put(body=body), Mark(meta=meta, drop_body=drop_body):
            return Put(meta, None if drop_body else body)
        case Mark(drop_body=before), Mark(meta=meta, drop_body=drop_body):
            return Mark(meta, before or drop_body)
        case Drop(), Mark():
            return earlier  # a mark has no effect where nothing is
        case _:
            return later


class PendingWrites:
    """See the module. `notes` are values by name."""

    def __init__(self) -> None:
        self._records: dict[str, Write] = {}
        self.notes: dict[str, bytes] = {}

    def __bool__(self) -> bool:
        return bool(self._records or self.notes)

    def add(self, id: str, write: Write) -> None:
        """One more write of a record."""
        earlier = self._records.get(id)
        self._records[id] = write if earlier is None else combine(earlier, write)

    def add_all(self, later: PendingWrites) -> None:
        """Everything that was to be written after this."""
        for id, write in later.records():
            self.add(id, write)
        self.notes |= later.notes

    def records(self) -> Iterator[tuple[str, Write]]:
        """The writes, by the ids of their records."""
        return iter(self._records.items())
