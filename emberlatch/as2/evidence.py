"""The ledger on disk: the messages sent, what receipts prove of them, and the receipts themselves."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Iterator, Mapping
from typing import TypedDict, cast

from emberlatch.as2 import ledger
from emberlatch.as2.evaluation import Verdict
from emberlatch.as2.ledger import Record
from emberlatch.store import Files
from emberlatch.store.state_log import StateLog

log = logging.getLogger(__name__)

RECEIPT_SUFFIX = ".mdn"
UNKNOWN_PREFIX = "?"  # prefix of the keys of receipts for unknown messages
MAX_UNKNOWN_RECEIPTS = 64  # number of receipts for unknown messages that are kept; the oldest are deleted
MAX_UNKNOWN_KEY_CHARACTERS = 300
MAX_RECEIPT_BYTES = 64 * 1024  # length to which a stored receipt is truncated
EXPIRY_BATCH = 200  # number of records that one call checks for expiry


class Dispute(TypedDict, total=False):
    """A dispute as it is stored: the keys of a stored `Record`, or of a receipt for an unknown message."""

    original: str  # the Message-ID; preceded by the partner's name if the message is unknown
    partner: str
    disputes: list[str]
    receipts: list[str]  # names of the stored receipts
    message: str
    end: str
    at: float  # when a receipt for an unknown message arrived


class Evidence:
    """Stores a record of each message sent and the receipts for it.

    A receipt may still arrive within `retention_s` seconds after a message's final state. `max_bytes` limits
    the disk space: half of it is for the ledger, and half for the receipts.
    """

    def __init__(self, files: Files, max_bytes: int, retention_s: float) -> None:
        """Raises ValueError if `max_bytes` is too small."""
        self._files, self._retention_s = files, retention_s
        self._store, self._max_receipt_bytes = StateLog(files, max_bytes // 2), max_bytes // 2
        self._receipt_sizes: dict[str, int] = {}  # sizes in bytes by file name, oldest first
        self._id_of_ref: dict[int, str] = {}
        self._unknown: dict[str, None] = {}  # keys of receipts for unknown messages, oldest first
        self._expiry_queue: list[str] = []

    def load(self) -> None:
        """Read the ledger and the receipts of earlier processes; raises OSError."""
        self._store.load()
        for message_id, state in list(self._store.states.items()):
            if message_id.startswith(UNKNOWN_PREFIX):
                self._unknown[message_id] = None
                continue
            try:
                self._id_of_ref[ledger.read(state).ref] = message_id
            except (TypeError, ValueError, KeyError) as error:
                log.warning("ledger: record of %s cannot be read: %r", message_id, error)
                self._store.remove(message_id)
        for name in sorted(name for name in self._files.names() if name.endswith(RECEIPT_SUFFIX)):
            self._receipt_sizes[name] = len(self._files.read(name))

    def load_read_only(self) -> None:
        """Read the ledger of another process, without its receipts and without writing; raises OSError."""
        self._store.load_read_only()

    def find(self, message_id: str) -> Record | None:
        """Return the record of the message with a Message-ID; None if there is none."""
        state = self._store.states.get(message_id)
        return ledger.read(state) if state is not None else None

    def record_attempt(self, record: Record, attempt: int, target: str) -> Record:
        """Record that a message is about to be sent; if this raises OSError, the message must not be sent."""
        known = self.find(record.message_id) or record
        ledger.add_attempt(known, attempt, target)
        self._put(known)
        self._id_of_ref[known.ref] = known.message_id
        return known

    def record_verdict(self, message_id: str, verdict: Verdict, at: float, receipt: bytes = b"") -> None:
        """Record what a receipt or an answer proves of a message; raises OSError if that fails."""
        record = self.find(message_id)
        if record is None:
            return
        name = _receipt_name(receipt, at)
        if not ledger.add_verdict(record, verdict, at, name if receipt else ""):
            return
        if name in record.receipts:
            self._store_receipt(name, receipt)
        self._put(record)

    def record_unknown(self, partner: str, message_id: str, at: float, receipt: bytes) -> None:
        """Record a receipt for a message that has no record or whose record was deleted; raises OSError."""
        name = _receipt_name(receipt, at)
        key = f"{UNKNOWN_PREFIX}{partner} {message_id}"[:MAX_UNKNOWN_KEY_CHARACTERS]
        if key not in self._unknown and len(self._unknown) >= MAX_UNKNOWN_RECEIPTS:
            self._delete(next(iter(self._unknown)))
        self._unknown[key] = None
        self._store_receipt(name, receipt)
        text = f"receipt for a message that is not known: {message_id[:80]}"
        self._store.put(key, {"partner": partner, "at": at, "disputes": [text], "receipts": [name]})

    def record_final_state(self, ref: int, state: str, at: float) -> None:
        """Record a message's final state; messages that were not sent over AS2 are ignored."""
        message_id = self._id_of_ref.get(ref)
        record = self.find(message_id) if message_id is not None else None
        if record is None or record.final_state:
            return
        ledger.set_final_state(record, state, at)
        try:
            self._put(record)
        except OSError as error:  # The final state itself is durable in the journal.
            log.error("the ledger cannot be written: %s", error)

    def expire(self, now: float) -> None:
        """Delete records that have expired, checking at most EXPIRY_BATCH in each call; raises OSError."""
        if not self._expiry_queue:
            self._expiry_queue = [key for key in self._store.states if key not in self._unknown]
        for _ in range(min(EXPIRY_BATCH, len(self._expiry_queue))):
            record = self.find(self._expiry_queue.pop())
            if record is not None and ledger.is_expired(record, now, self._retention_s):
                self._delete(record.message_id)

    def records(self) -> Iterator[Record]:
        """Yield all records, the least recently changed first."""
        for message_id in list(self._store.states):
            if not message_id.startswith(UNKNOWN_PREFIX):
                yield ledger.read(self._store.states[message_id])

    def disputes(self) -> list[Dispute]:
        """Return, for operators, the stored states that have a dispute, each with its Message-ID."""
        return filter_disputes(self._store.states)

    def receipt(self, name: str) -> bytes:
        """Read a stored receipt by its name; raises OSError."""
        return self._files.read(name)

    def close(self) -> None:
        """Close the ledger: nothing is written afterwards."""
        self._store.close()

    def _put(self, record: Record) -> None:
        for message_id, state in self._store.put(record.message_id, record.document()).items():
            self._unknown.pop(message_id, None)
            self._id_of_ref.pop(state.get("ref", -1), None)
            if ledger.is_unresolved(state):
                log.warning("no space in the ledger: the record of %s is deleted", message_id)

    def _delete(self, message_id: str) -> None:
        state = self._store.states.get(message_id, {})
        self._store.remove(message_id)
        self._unknown.pop(message_id, None)
        self._id_of_ref.pop(state.get("ref", -1), None)

    def _store_receipt(self, name: str, receipt: bytes) -> None:
        if name in self._receipt_sizes:
            return
        data = receipt[:MAX_RECEIPT_BYTES]
        sizes = self._receipt_sizes
        while sizes and sum(sizes.values()) + len(data) > self._max_receipt_bytes:
            oldest = next(iter(sizes))
            self._files.remove(oldest)
            del sizes[oldest]
        handle = self._files.append_to(name)
        try:
            view = memoryview(data)
            while view:
                view = view[self._files.write(handle, view) :]
        finally:
            self._files.close(handle)
        sizes[name] = len(data)


def _receipt_name(receipt: bytes, at: float) -> str:
    """Return the name of a receipt's file: its time of arrival in milliseconds, and a digest."""
    return f"{round(at * 1000):014d}-{hashlib.sha256(receipt).hexdigest()[:16]}{RECEIPT_SUFFIX}"


def filter_disputes(states: Mapping[str, Mapping[str, object]]) -> list[Dispute]:
    """Return the states of a ledger that have a dispute, each with its Message-ID."""
    found: list[Dispute] = []
    for message_id, state in states.items():
        if state.get("disputes"):
            found.append(cast(Dispute, {"original": message_id.removeprefix(UNKNOWN_PREFIX), **state}))
    return found
