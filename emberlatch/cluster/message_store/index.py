"""Indexes all records of a process, with digests to compare copies. Pure: no disk, no clock, no network.

For each other store and each range of ids there is one digest. It is the sum of the fingerprints of the
records of which both that store and this one are replicas. Each change of a record updates the digests; they
are never recomputed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from zlib import crc32

from emberlatch.cluster.message_store.messages import CopySummary, RangeDifferences
from emberlatch.cluster.message_store.record import MessageState, Record, rank

RANGE_COUNT = 64
_DIGEST_MASK = (1 << 64) - 1


def range_of(id: str) -> int:
    """Return the number of the range that an id belongs to."""
    return crc32(id.encode()) % RANGE_COUNT


class RecordIndex:
    """The records of one store in memory. `me` is the name of this process's node."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.records: dict[str, Record] = {}
        self._digests: dict[str, list[int]] = {}
        self._ranges: list[dict[str, Record]] = [{} for _ in range(RANGE_COUNT)]
        self.body_bytes = 0  # total size of the bodies in memory

    def _update_digests(self, record: Record, fingerprint: int) -> None:
        """Replace a record's contribution to the digests of its other replicas by this fingerprint."""
        range_number = range_of(record.id)
        for node in record.replicas:
            if node != self.me:
                digests = self._digests.setdefault(node, [0] * RANGE_COUNT)
                digests[range_number] = (
                    digests[range_number] - record.counted_fingerprint + fingerprint
                ) & _DIGEST_MASK
        record.counted_fingerprint = fingerprint

    def put(self, record: Record) -> None:
        """Add a record that the index does not contain."""
        self.records[record.id] = self._ranges[range_of(record.id)][record.id] = record
        self.body_bytes += len(record.body or b"")
        record.counted_fingerprint = 0
        self._update_digests(record, record.fingerprint())

    def update_record_digests(self, record: Record) -> None:
        """Update the digests after the state, epoch or owner of a record has changed."""
        if record.id in self.records:
            self._update_digests(record, record.fingerprint())

    def set_replicas(self, record: Record, replicas: Iterable[str]) -> None:
        """Set the stores that have a copy or are to receive one."""
        self._update_digests(record, 0)
        record.replicas = tuple(replicas)
        self.update_record_digests(record)

    def fill_tombstone(self, record: Record, copy: Record) -> None:
        """Add the content of a copy to a tombstone that has none; its state does not change."""
        record.host, record.method, record.path = copy.host, copy.method, copy.path
        record.content_type, record.body, record.config_revision = (
            copy.content_type,
            copy.body,
            copy.config_revision,
        )
        record.sent_at, record.due_at = copy.sent_at, copy.due_at
        record.expires_at = copy.expires_at
        self.body_bytes += len(record.body or b"")

    def unload_body(self, record: Record) -> None:
        """Remove a record's body from memory."""
        self.body_bytes -= len(record.body or b"")
        record.body = None

    def remove(self, record: Record) -> None:
        """Remove a record."""
        if self.records.pop(record.id, None) is not None:
            self._update_digests(record, 0)
            self.unload_body(record)
            del self._ranges[range_of(record.id)][record.id]

    def digests(self, node: str) -> list[int]:
        """Return the digests, by range, of the records of which both that node and this one are replicas."""
        return list(self._digests.get(node, [0] * RANGE_COUNT))

    def shared_records(self, node: str, ranges: Iterable[int]) -> Iterator[Record]:
        """Yield the records in these ranges of which both that node and this one are replicas."""
        for range_number in ranges:
            yield from (r for r in list(self._ranges[range_number].values()) if node in r.replicas)

    def summary(self, node: str, ranges: Iterable[int]) -> dict[str, CopySummary]:
        """Return state, epoch and owner of the shared records in these ranges by id, in their wire form."""
        return {r.id: [int(r.state), r.epoch, r.owner] for r in self.shared_records(node, ranges)}

    def differing_ranges(self, node: str, theirs: list[int] | tuple[int, ...]) -> list[int]:
        """Return the ranges in which that node's digests differ from ours."""
        ours = self._digests.get(node, [0] * RANGE_COUNT)
        return [n for n in range(RANGE_COUNT) if n >= len(theirs) or ours[n] != theirs[n]]

    def differences(self, node: str, theirs: tuple[int, ...]) -> RangeDifferences:
        """Return the ranges in which that node's digests differ, with summaries of our records in them."""
        ranges = self.differing_ranges(node, theirs)
        return RangeDifferences(ranges, self.summary(node, ranges))

    def compare(
        self, node: str, ranges: list[int], theirs: dict[str, CopySummary]
    ) -> tuple[list[str], list[Record]]:
        """Return the ids of the copies there that outweigh ours, and our records that outweigh those there.

        A copy that exists on one side only counts as outweighing. The peer may report a copy that our record
        does not name as a replica: that copy is compared as well.
        """
        ours = {r.id: r for r in self.shared_records(node, ranges)}
        newer_there = []
        newer_here = [r for r in ours.values() if r.id not in theirs]
        for id, (state, epoch, owner) in theirs.items():
            record = self.records.get(id)
            if record is None or rank(state, epoch, owner) > record.rank:
                newer_there.append(id)
            elif record.outweighs(state, epoch, owner):
                newer_here.append(record)
        return newer_there, newer_here

    def owned_by(self, owner: str) -> list[Record]:
        """Return the queued records that a node owns."""
        return [r for r in self.records.values() if r.owner == owner and r.state is MessageState.QUEUED]
