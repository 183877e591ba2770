"""The journal: the log on disk of the messages that this forwarder has accepted and not yet finished.

The journal consists of numbered segment files with framed records. The first record of a
message holds its full state and its body. Each later record holds the current values of the fields that can
change, and supersedes the earlier values. To free space, the live entries of the oldest segment are copied to
the newest segment, and the oldest file is removed.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from emberlatch.store.entries import MAX_BODY_BYTES, Entry
from emberlatch.store.entry_index import STATE_BYTES, EntryIndex
from emberlatch.store.errors import LimitTooSmallError, RecordDecodeError
from emberlatch.store.files import Files
from emberlatch.store.journal_records import (
    ClockRecord,
    EntryRecord,
    JournalRecord,
    RemovalRecord,
    TermsRecord,
    UpdateRecord,
    decode_payload,
    encode_clock,
    encode_entry,
    encode_removal,
    encode_terms,
    encode_update,
)
from emberlatch.store.records import decode_records
from emberlatch.store.segments import SegmentFiles
from emberlatch.store.terms_table import TermsTable

log = logging.getLogger(__name__)

SEGMENTS = 16  # a segment's size is the limit divided by this number
MAX_RECORD_BYTES = MAX_BODY_BYTES + 4096
DISK_BLOCK_BYTES = 512  # unit of disk allocation; frequent restarts leave many small files


class Journal:
    """Appends to the journal and keeps it under its limit. A failed write raises OSError.

    Attributes:
        clock: the boot id of the machine, and the seconds by which the journal's clock is ahead of the
            event loop's clock in that boot; None if no journal was found. The value is written
            into each segment.
    """

    def __init__(self, files: Files, limit: int, durable: bool = False) -> None:
        """`limit` is the maximum size of all files in bytes. `durable` enables syncs (`prepare_sync`).

        Raises LimitTooSmallError.
        """
        segment_bytes = limit // SEGMENTS
        compaction_bytes = segment_bytes + 3 * MAX_RECORD_BYTES  # additional space that a compaction may need
        self._max_bytes = limit - compaction_bytes
        self._max_live_bytes = self._max_bytes - 2 * segment_bytes
        if self._max_live_bytes < MAX_RECORD_BYTES:
            raise LimitTooSmallError(
                f"{limit} bytes are too small for the journal: the space for messages would be"
                f" {self._max_live_bytes} bytes, at least {MAX_RECORD_BYTES} are needed"
            )
        self._segments = SegmentFiles(files, "log", segment_bytes, durable)
        self._index = EntryIndex()
        self._terms = TermsTable()
        self.clock: tuple[str, float] | None = None

    def load(self) -> list[Entry]:
        """Read the stored entries and open a new segment. Damaged records are skipped."""
        for number, name, data in self._segments.read(remove_empty=True):
            for payload in decode_records(data, name):
                try:
                    self._replay(number, decode_payload(payload))
                except RecordDecodeError as error:
                    log.warning("journal %s: skipped a record that cannot be decoded: %s", name, error)
        if self._segments.durable:
            self._segments.sync_existing()
        self._segments.open()
        self._start_segment()
        return self._index.entries()

    def _replay(self, segment: int, record: JournalRecord) -> None:
        match record:
            case ClockRecord(boot, offset):
                self.clock = boot, offset
            case TermsRecord(number, text):
                self._terms.add(number, text)
            case RemovalRecord(ref):
                self._index.remove(ref)
            case EntryRecord(entry, terms):
                entry.terms = self._terms.text(terms)
                self._index.put(entry, segment)
            case UpdateRecord(ref):
                if (known := self._index.get(ref)) is not None:
                    known.attempts, known.notice = record.attempts, record.notice
                    known.unknown_outcomes = record.unknown_outcomes

    def has_capacity(self, size: int) -> bool:
        """Return whether a new message with a body of `size` bytes fits, including its later records."""
        return self._index.live_bytes + size + STATE_BYTES <= self._max_live_bytes

    def add(self, entry: Entry) -> None:
        """Record an accepted message."""
        self._append(self._encode(entry), entry.terms)
        self._index.put(entry, self._segments.current)

    def update(self, entry: Entry) -> None:
        """Record the current state of a message: a new attempt, an outcome or the completion."""
        self._append(encode_update(entry))

    def remove(self, entry: Entry) -> None:
        """Record that a message is finished; do nothing if the journal has no entry for it."""
        if self._index.remove(entry.ref):
            self._append(encode_removal(entry.ref))

    def prepare_sync(self) -> Callable[[], None]:
        """See `group_sync.Syncable`."""
        return self._segments.prepare_sync()

    def on_synced(self) -> None:
        """See `group_sync.Syncable`."""
        self._segments.on_synced()

    def close(self) -> None:
        """Close the current segment, synced if the journal is durable."""
        self._segments.close()

    def reopen(self) -> None:
        """Continue after `close`; allowed only if no other process has written to the folder since."""
        self._roll()

    def _append(self, record: bytes, terms: str = "") -> None:
        for _ in range(len(self._segments.sizes)):
            if self._disk_bytes() + len(record) <= self._max_bytes:
                break
            self._compact()
        self._write(record, terms)

    def _disk_bytes(self) -> int:
        blocks = sum(-(-size // DISK_BLOCK_BYTES) for size in self._segments.sizes.values())
        return blocks * DISK_BLOCK_BYTES

    def _write(self, record: bytes, terms: str = "") -> None:
        if self._segments.is_full:
            self._roll()
        # Each segment contains the clock and the terms, since compaction may remove all other segments.
        if self._segments.is_empty and self.clock is not None:
            self._segments.append(encode_clock(*self.clock))
        if (number := self._terms.number(terms)) is not None and not self._terms.is_written(number):
            self._segments.append(encode_terms(number, terms))
            self._terms.mark_written(number)
        self._segments.append(record)

    def _roll(self) -> None:
        self._segments.roll()
        self._start_segment()

    def _start_segment(self) -> None:
        self._terms.start_segment(self._index.terms())

    def _encode(self, entry: Entry) -> bytes:
        return encode_entry(entry, self._terms.number(entry.terms))

    def _compact(self) -> None:
        """Copy the live entries of the oldest segment to the newest one, and remove the oldest.

        Segments are removed in order only: a message's removal record must not disappear before the record
        with its body, or the message would be restored.
        """
        oldest = self._segments.oldest
        if oldest == self._segments.current:
            self._roll()
        for entry in self._index.in_segment(oldest):
            self._write(self._encode(entry), entry.terms)
            self._index.move(entry, self._segments.current)
        # The copies must be durable before the removal; this blocks the event loop once per segment.
        if self._segments.durable:
            self._segments.prepare_sync()()
        self._segments.remove_oldest()
