"""The writes of the next commit: at most one for each record. Pure: no disk, no clock.

A later write of a record is combined with the earlier one. The number of pending writes is thus limited to
the number of records in the process, also while a disk fails and the records change often.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PutRecord:
    """Write a complete record."""

    meta: bytes
    body: bytes | None


@dataclass(frozen=True, slots=True)
class UpdateRecord:
    """Write all fields of a stored record except its body. If `drop_body` is set, delete the body."""

    meta: bytes
    drop_body: bool


@dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Delete the record."""


Write = PutRecord | UpdateRecord | DeleteRecord


def combine(earlier: Write, later: Write) -> Write:
    """Return one write that has the effect of both, in this order."""
    match earlier, later:
        case PutRecord(body=body), UpdateRecord(meta=meta, drop_body=drop_body):
            return PutRecord(meta, None if drop_body else body)
        case UpdateRecord(drop_body=drop_body_before), UpdateRecord(meta=meta, drop_body=drop_body):
            return UpdateRecord(meta, drop_body_before or drop_body)
        case DeleteRecord(), UpdateRecord():
            return earlier  # updating a deleted record has no effect
        case _:
            return later


class PendingWrites:
    """The writes that wait for a commit. `notes` maps names to encoded values that belong to no record."""

    def __init__(self) -> None:
        self._records: dict[str, Write] = {}
        self.notes: dict[str, bytes] = {}

    def __bool__(self) -> bool:
        return bool(self._records or self.notes)

    def add(self, id: str, write: Write) -> None:
        """Add a write of a record."""
        earlier = self._records.get(id)
        self._records[id] = write if earlier is None else combine(earlier, write)

    def add_all(self, later: PendingWrites) -> None:
        """Add all writes of a later batch."""
        for id, write in later.records():
            self.add(id, write)
        self.notes |= later.notes

    def records(self) -> Iterator[tuple[str, Write]]:
        """Return an iterator over record ids and their writes."""
        return iter(self._records.items())
