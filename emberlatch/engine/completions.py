"""Completes messages.

A completion is recorded in the journal, its notice is sent once the record is durable, and the message is
removed once the notice is confirmed.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import cast

from emberlatch.engine.counters import Counters
from emberlatch.engine.message_table import MessageJournal
from emberlatch.engine.ports import CompletionNotice, CompletionNotifier
from emberlatch.store import Entry


class CompletionResult(StrEnum):
    """How a message was completed; the value is sent in its completion notice."""

    DELIVERED = "delivered"
    BOUNCED = "bounced"
    DEAD = "dead"


class Completions:
    """Completes open messages and notifies their senders."""

    def __init__(self, journal: MessageJournal, notifier: CompletionNotifier, counters: Counters) -> None:
        self._messages, self._durability = journal.messages, journal.durability
        self._notifier, self._counters = notifier, counters

    @property
    def pending(self) -> bool:
        """Whether any completion notice is unconfirmed."""
        return self._notifier.pending

    def restore(self, entry: Entry) -> None:
        """Restore a completed message from the journal and send its notice again."""
        self._messages.restore_completed(entry)
        self._notifier.add(entry.ref, cast(CompletionNotice, entry.notice))

    def complete_undelivered(
        self, ref: int, result: CompletionResult, retry_after_ms: int | None = None
    ) -> None:
        """Complete a message that was not delivered; do nothing if the message is not open."""
        if (entry := self._messages.open_messages.get(ref)) is not None:
            self._counters.count(result.value, entry.category)
            self.complete(entry, result, retry_after_ms)

    def complete_delivered(self, entry: Entry) -> None:
        """Complete a message that its endpoint has accepted; notify the sender if deliveries are notified."""
        if self._notifier.notifies_deliveries:
            self.complete(entry, CompletionResult.DELIVERED)
        else:
            self.complete_unnotified(entry)

    def complete_unnotified(self, entry: Entry) -> None:
        """Complete a message without a notice."""
        self._messages.remove(entry)
        self._messages.forget(entry)

    def complete(self, entry: Entry, result: CompletionResult, retry_after_ms: int | None = None) -> None:
        """Record a completion, and send its notice once the record is durable.

        If the notice were sent earlier, a crash could lose the record, and the sender would get a second,
        different notice.
        """
        notice = CompletionNotice(ref=entry.id, result=result.value)
        if retry_after_ms is not None:
            notice["wait_ms"] = retry_after_ms
        entry.notice = dict(notice)
        self._messages.complete(entry)
        self._durability.when_durable((entry.category,), lambda: self._notifier.add(entry.ref, notice))

    def confirm(self, refs: Iterable[int]) -> None:
        """Remove the messages whose completion notices are confirmed."""
        for ref in refs:
            self._messages.confirm(ref)
