"""The ledger on disk: what went out, what was said of it, and the receipts that are worth keeping."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Iterator
from typing import Any

from emberlatch.as2 import ledger
from emberlatch.as2.judge import Verdict
from emberlatch.as2.ledger import Record
from emberlatch.store import Files
from emberlatch.store.book import Book

log = logging.getLogger(__name__)

ENDING = ".mdn"
MOST_UNKNOWN = 64  # receipts for messages that are not known: kept for a look, the newest
LONGEST = 64 * 1024  # bytes of a receipt that are kept
AT_ONCE = 200  # messages looked at for being over in one go


class Evidence:
    """`remember` is for how long (seconds) a receipt may still come; `limit` bounds the disk, half for each
    of the ledger and the receipts."""

    def __init__(self, files: Files, limit: int, remember: float) -> None:
        """Raises ValueError if the limit is too small."""
        self._files, self._remember = files, remember
        self._book, self._most = Book(files, limit // 2), limit // 2
        self._sizes: dict[str, int] = {}  # receipts, oldest first
        self._by_ref: dict[int, str] = {}
        self._unknown: dict[str, None] = {}  # keys of receipts that nothing is known of
        self._to_look_at: list[str] = []

    def load(self) -> None:
        """Read what an earlier life knew; raises OSError."""
        self._book.load()
        for original, state in list(self._book.states.items()):
            if original.startswith("?"):
                self._unknown[original] = None
                continue
            try:
                self._by_ref[ledger.read(state).ref] = original
            except (TypeError, ValueError, KeyError) as error:
                log.warning("ledger: record of %s cannot be read: %r", original, error)
                self._book.drop(original)
        for name in sorted(name for name in self._files.names() if name.endswith(ENDING)):
            self._sizes[name] = len(self._files.read(name))

    def look(self) -> None:
        """Read what another process writes, to tell of it and no more; raises OSError."""
        self._book.look()

    def find(self, original: str) -> Record | None:
        """What is known of the message with a Message-ID."""
        state = self._book.states.get(original)
        return ledger.read(state) if state is not None else None

    def out(self, record: Record, attempt: int, target: str) -> Record:
        """A message is about to go out; raises OSError, and then it must not."""
        known = self.find(record.original) or record
        ledger.attempted(known, attempt, target)
        self._put(known)
        self._by_ref[known.ref] = known.original
        return known

    def told(self, original: str, verdict: Verdict, at: float, receipt: bytes = b"") -> None:
        """A receipt or an answer says something of a message; raises OSError if it can't be recorded."""
        record = self.find(original)
        if record is None:
            return
        name = f"{round(at * 1000):014d}-{hashlib.sha256(receipt).hexdigest()[:16]}{ENDING}"
        if not ledger.told(record, verdict, at, name if receipt else ""):
            return
        if name in record.receipts:
            self._keep(name, receipt)
        self._put(record)

    def unknown(self, partner: str, original: str, at: float, receipt: bytes) -> None:
        """A receipt for a message that is not known, or not any more; raises OSError."""
        name = f"{round(at * 1000):014d}-{hashlib.sha256(receipt).hexdigest()[:16]}{ENDING}"
        key = f"?{partner} {original}"[:300]
        if key not in self._unknown and len(self._unknown) >= MOST_UNKNOWN:
            self._forget(next(iter(self._unknown)))
        self._unknown[key] = None
        self._keep(name, receipt)
        text = f"receipt for a message that is not known: {original[:80]}"
        self._book.put(key, {"partner": partner, "at": at, "disputes": [text], "receipts": [name]})

    def ended(self, ref: int, end: str, at: float) -> None:
        """A message has its end; one that never went out over AS2 does not concern us."""
        original = self._by_ref.get(ref)
        record = self.find(original) if original is not None else None
        if record is None or record.end:
            return
        ledger.ended(record, end, at)
        try:
            self._put(record)
        except OSError as error:  # the end itself stands elsewhere
            log.error("the ledger cannot be written: %s", error)

    def expire(self, now: float) -> None:
        """Forget what nothing more can come of, a few at a time; raises OSError."""
        if not self._to_look_at:
            self._to_look_at = [key for key in self._book.states if key not in self._unknown]
        for _ in range(min(AT_ONCE, len(self._to_look_at))):
            record = self.find(self._to_look_at.pop())
            if record is not None and ledger.over(record, now, self._remember):
                self._forget(record.original)

    def records(self) -> Iterator[Record]:
        """All messages that are known, the longest unchanged first."""
        for original in list(self._book.states):
            if not original.startswith("?"):
                yield ledger.read(self._book.states[original])

    def disputes(self) -> list[dict[str, Any]]:
        """What there is to argue about, for people."""
        return disputed(self._book.states)

    def receipt(self, name: str) -> bytes:
        """A receipt as it came; raises OSError."""
        return self._files.read(name)

    def close(self) -> None:
        """Write no more."""
        self._book.close()

    def _put(self, record: Record) -> None:
        for original, state in self._book.put(record.original, record.document()).items():
            self._unknown.pop(original, None)
            self._by_ref.pop(state.get("ref", -1), None)
            if state.get("disputes") or not state.get("said"):
                log.warning("no room in the ledger: what is known of %s goes", original)

    def _forget(self, original: str) -> None:
        state = self._book.states.get(original, {})
        self._book.drop(original)
        self._unknown.pop(original, None)
        self._by_ref.pop(state.get("ref", -1), None)

    def _keep(self, name: str, receipt: bytes) -> None:
        if name in self._sizes:
            return
        data = receipt[:LONGEST]
        while self._sizes and sum(self._sizes.values()) + len(data) > self._most:
            oldest = next(iter(self._sizes))
            self._files.remove(oldest)
            del self._sizes[oldest]
        handle = self._files.append_to(name)
        try:
            view = memoryview(data)
            while view:
                view = view[self._files.write(handle, view) :]
        finally:
            self._files.close(handle)
        self._sizes[name] = len(data)


def disputed(states: dict[str, dict[str, Any]]) -> list[dict[str, Any]]:
    """The states of a ledger that hold a dispute, each with its Message-ID."""
    found = []
    for original, state in states.items():
        if state.get("disputes"):
            found.append({"original": original.removeprefix("?"), **state})
    return found
