"""The table of the messages that this process owns, and the access of the engine's parts to the journal."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from emberlatch.engine.durability import DurabilityGate
from emberlatch.engine.journal_clock import JournalClock
from emberlatch.store import Entry, Journal

log = logging.getLogger(__name__)


class MessageTable:
    """The open messages, and the completed ones whose notices are not confirmed.

    A failed write to the journal is logged. `accept` and `record` then return False, so that their callers
    neither accept nor send a message whose record is missing.

    Attributes: `open_messages` and `completed` may be read by other classes, and are changed by this
    class only.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self.open_messages: dict[int, Entry] = {}
        """Messages that are accepted and not completed, by reference."""
        self.completed: dict[int, Entry] = {}
        """Completed messages whose notice is not confirmed yet, by reference."""
        self._open_ids: set[str] = set()

    def is_open(self, message_id: str) -> bool:
        """Return whether a message with this id is accepted and not completed."""
        return message_id in self._open_ids

    def restore_open(self, entry: Entry) -> None:
        """Add an open message that is already in the journal."""
        self.open_messages[entry.ref] = entry
        self._open_ids.add(entry.id)

    def restore_completed(self, entry: Entry) -> None:
        """Add a completed message that is already in the journal."""
        self.completed[entry.ref] = entry

    def accept(self, entry: Entry) -> bool:
        """Add a new message and return True; return False if the journal is full or a write fails.

        The capacity is checked for each message, since the messages of one loop iteration together could
        exceed it.
        """
        if not (self._journal.has_capacity(len(entry.body)) and self._write(self._journal.add, entry)):
            return False
        self.restore_open(entry)
        return True

    def record(self, entry: Entry) -> bool:
        """Write the current state of a message to the journal; return False if the write fails."""
        return self._write(self._journal.update, entry)

    def remove(self, entry: Entry) -> None:
        """Remove a message from the open ones in memory; the journal is not changed."""
        del self.open_messages[entry.ref]
        self._open_ids.discard(entry.id)

    def complete(self, entry: Entry) -> None:
        """Record an open message whose notice is set, and move it to the completed ones."""
        self.remove(entry)
        self.record(entry)
        self.completed[entry.ref] = entry

    def forget(self, entry: Entry) -> None:
        """Remove a message from the journal after it was removed from memory.

        Call this only if no work and no notice is pending for the message.
        """
        self._write(self._journal.remove, entry)

    def confirm(self, ref: int) -> None:
        """Remove a completed message whose notice is confirmed; ignore an unknown reference."""
        if (entry := self.completed.pop(ref, None)) is not None:
            self.forget(entry)

    def clear(self) -> None:
        """Drop all messages from memory: another process owns them."""
        self.open_messages.clear()
        self.completed.clear()

    def _write(self, write: Callable[[Entry], None], entry: Entry) -> bool:
        try:
            write(entry)
        except OSError as error:
            log.error("journal cannot be written: %s", error)
            return False
        return True


@dataclass(frozen=True, slots=True)
class MessageJournal:
    """The access of an engine's parts to the journal. Only the engine itself loads, closes and reopens it."""

    messages: MessageTable
    """The messages in the journal; all writes to the journal go through this table."""
    clock: JournalClock
    """The clock of the journal's deadlines and attempt times, in seconds since the Unix epoch."""
    durability: DurabilityGate
    """Runs actions once the records written so far are as durable as their classes require."""
