"""A persistent map from keys to small states that never exceeds its disk space limit.

The log consists of numbered segment files with framed records. Each record holds the full state of one key,
so that a later record supersedes an earlier one. To free space, the live records of the oldest segment are
copied; if that is not enough, the oldest keys are evicted. The log is therefore only suitable for state that
may be lost eventually, such as which clients have been seen and what has been reported. Accepted messages and
unconfirmed notices are stored in the journal.
"""

from __future__ import annotations

import json
import logging
from typing import Any

from emberlatch.store.errors import LimitTooSmallError, RecordDecodeError
from emberlatch.store.files import Files
from emberlatch.store.records import decode_records, encode_record
from emberlatch.store.segments import SegmentFiles

log = logging.getLogger(__name__)

State = dict[str, Any]
"""The state of one key; it must be serializable as JSON."""

SEGMENTS = 16  # a segment's size is the limit divided by this number
MIN_LIMIT_BYTES = 256 * 1024
LIVE_DIVISOR = 3
"""Live records take at most 1/3 of the limit. With more, compaction would copy records endlessly."""


class StateLog:
    """A map from keys to states that is stored on disk. A failed write raises OSError.

    Attributes:
        states: state by key, the least recently changed first. Callers must not modify it.
    """

    def __init__(self, files: Files, limit: int) -> None:
        """`limit` is the maximum size of all files in bytes. Raises LimitTooSmallError."""
        if limit < MIN_LIMIT_BYTES:
            raise LimitTooSmallError(f"must be at least {MIN_LIMIT_BYTES} bytes, is {limit}")
        self._max_bytes, self._segment_bytes = limit, limit // SEGMENTS
        self._segments = SegmentFiles(files, "book", self._segment_bytes)
        self.states: dict[str, State] = {}
        self._segment_by_key: dict[str, int] = {}  # number of the segment with the newest record, by key
        self._record_bytes: dict[str, int] = {}  # size of the newest record, by key
        self._live_bytes = 0

    def load(self) -> None:
        """Read the stored states and open a new segment."""
        self.load_read_only()
        self._segments.open()

    def load_read_only(self) -> None:
        """Read the stored states without writing; another process may own the log. Raises OSError."""
        for number, name, data in self._segments.read():
            for payload in decode_records(data, name):
                try:
                    key, state = _decode(payload)
                except RecordDecodeError as error:
                    log.warning("%s: skipped a record that cannot be decoded: %s", name, error)
                    continue
                self._drop_record(key)
                if state is not None:
                    self._add_record(key, state, number, len(payload))

    def put(self, key: str, state: State) -> dict[str, State]:
        """Record the state of a key; return the states that were evicted to make space for it."""
        record = _encode(key, state)
        self._append(record)
        self._drop_record(key)
        self._add_record(key, state, self._segments.current, len(record))
        evicted: dict[str, State] = {}
        while self._live_bytes > self._max_bytes // LIVE_DIVISOR and len(self.states) > 1:
            oldest = next(iter(self.states))
            evicted[oldest] = self.states[oldest]
            self.remove(oldest)
        return evicted

    def remove(self, key: str) -> None:
        """Remove a key; do nothing if it has no state."""
        if key in self.states:
            self._append(_encode(key, None))
            self._drop_record(key)

    def close(self) -> None:
        """Close the current segment; nothing can be written after that."""
        self._segments.close()

    def _add_record(self, key: str, state: State, segment: int, size: int) -> None:
        self.states[key], self._segment_by_key[key], self._record_bytes[key] = state, segment, size
        self._live_bytes += size

    def _drop_record(self, key: str) -> None:
        if self.states.pop(key, None) is not None:
            del self._segment_by_key[key]
            self._live_bytes -= self._record_bytes.pop(key)

    def _append(self, record: bytes) -> None:
        for _ in range(len(self._segments.sizes)):
            if sum(self._segments.sizes.values()) + len(record) + self._segment_bytes <= self._max_bytes:
                break
            self._compact()
        self._write(record)

    def _write(self, record: bytes) -> None:
        if self._segments.is_full:
            self._segments.roll()
        self._segments.append(record)

    def _compact(self) -> None:
        """Copy the live records of the oldest segment to the newest one, and remove the oldest.

        Segments are removed in order only: the record that removes a key must not disappear before the record
        that it supersedes, or the key would be restored.
        """
        oldest = self._segments.oldest
        if oldest == self._segments.current:
            self._segments.roll()
        for key in [key for key, segment in self._segment_by_key.items() if segment == oldest]:
            self._write(_encode(key, self.states[key]))
            self._segment_by_key[key] = self._segments.current
        self._segments.remove_oldest()


def _encode(key: str, state: State | None) -> bytes:
    return encode_record(json.dumps({"key": key, "state": state}, separators=(",", ":")).encode())


def _decode(payload: bytes) -> tuple[str, State | None]:
    try:
        record = json.loads(payload)
        return record["key"], record["state"]
    except (KeyError, TypeError, ValueError) as error:
        raise RecordDecodeError(repr(error)) from error
