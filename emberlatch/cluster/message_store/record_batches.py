"""Splits lists of records so that each part fits into one frame. Pure: no disk, no clock, no network."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from emberlatch.cluster.message_store.record import Record

MAX_BATCH_BYTES = 256 * 1024  # a batch ends before the record that would exceed this size
RECORD_OVERHEAD_BYTES = 300  # estimated size of a record in a frame besides its content


def record_bytes(record: Record, with_body: bool) -> int:
    """Return the estimated size of a record in a frame."""
    headers = len(record.host) + len(record.path) + len(record.content_type) + len(record.seal)
    body = len(record.body or b"") if with_body else 0
    return RECORD_OVERHEAD_BYTES + len(record.id) + headers + body


def split_by_size(records: Iterable[Record], with_bodies: bool = True) -> Iterator[list[Record]]:
    """Yield records in batches of at most `MAX_BATCH_BYTES`; a larger record is a batch of its own.

    `with_bodies` says whether the records are sent with their bodies.
    """
    batch, size = list[Record](), 0
    for record in records:
        added = record_bytes(record, with_bodies)
        if batch and size + added > MAX_BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += added
    if batch:
        yield batch
