"""Handles submissions from their arrival until the decision whether they are accepted."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from emberlatch.core import interface as api
from emberlatch.engine.active_settings import ActiveSettings
from emberlatch.engine.counters import Counters
from emberlatch.engine.message_table import MessageJournal
from emberlatch.engine.ports import BadMessageError, Submission, SubmissionResponder
from emberlatch.store import Entry

JOURNAL_FULL_RETRY_S = 1.0
"""Seconds after which a client may submit a message again when the journal is full."""


class PendingSubmission(NamedTuple):
    """A submission on which the decision module has not decided yet."""

    entry: Entry
    responder: SubmissionResponder


PendingByRef = dict[int, PendingSubmission]


class Submissions:
    """Validates submissions, queues them for the next decision, and answers them according to it."""

    def __init__(
        self,
        settings: ActiveSettings,
        journal: MessageJournal,
        counters: Counters,
        post: Callable[[api.Event], None],
    ) -> None:
        """`post` queues an event for the decision module."""
        self._settings, self._counters, self._post = settings, counters, post
        self._messages, self._clock = journal.messages, journal.clock
        self._durability = journal.durability
        self._pending: PendingByRef = {}
        self._pending_ids: set[str] = set()
        self._destinations: set[int] = set()
        self._references = itertools.count()

    def start(self, first_reference: int) -> None:
        """Assign references to new messages, starting with `first_reference`."""
        self._references = itertools.count(first_reference)

    def add_destinations(self, destinations: Iterable[int]) -> None:
        """Add destinations to which messages are accepted."""
        self._destinations.update(destinations)

    @property
    def has_pending(self) -> bool:
        """Whether any submission is undecided."""
        return bool(self._pending)

    def submit(self, message: Submission, responder: SubmissionResponder) -> None:
        """Queue a submission for the next decision, or answer it at once if its id is known.

        Raises BadMessageError if the submission is invalid.
        """
        category = self._validate(message)
        if self._messages.is_open(message.id):  # a repeated submission of a message that was accepted
            self._durability.when_durable((message.category,), responder.respond_accepted)
            return
        if message.id in self._pending_ids:  # no decision has been made on the first submission of this id
            responder.respond_unavailable()
            return
        ref, remaining = next(self._references), message.remaining
        entry = Entry(
            ref,
            message.id,
            message.key,
            message.category,
            message.tenant,
            message.destination,
            self._clock.now() + remaining,
            message.body,
            terms=self._settings.encoded_terms(category),
        )
        self._pending[ref] = PendingSubmission(entry, responder)
        self._pending_ids.add(entry.id)
        self._post(
            api.Arrival(
                ref,
                category,
                message.destination,
                remaining,
                self._settings.tenant_number(message.tenant),
                resubmitted=message.resubmitted,
                inherited=message.inherited,
            )
        )

    def _validate(self, message: Submission) -> int:
        category = self._settings.validate(message)
        if message.destination not in self._destinations:
            raise BadMessageError(f"unknown destination {message.destination}")
        if self._settings.requires_key(category) and not message.key:
            raise BadMessageError("idempotency-key is missing")
        return category

    def take(self, events: list[api.Event]) -> tuple[PendingByRef, list[api.Event]]:
        """Remove and return all pending submissions, together with the events to decide on.

        A submission whose client has disconnected is dropped and its event removed from `events`: the client
        got no response, so it may submit the message again.
        """
        pending, self._pending = self._pending, {}
        self._pending_ids.clear()
        disconnected = [ref for ref, (_, responder) in pending.items() if responder.client_disconnected]
        for ref in disconnected:
            del pending[ref]
            events = [e for e in events if not (isinstance(e, api.Arrival) and e.ref == ref)]
        return pending, events

    def requeue(self, pending: PendingByRef) -> None:
        """Queue undecided submissions again."""
        self._pending |= pending
        self._pending_ids |= {entry.id for entry, _ in self._pending.values()}

    def answer(self, pending: PendingByRef, actions: list[api.Action]) -> None:
        """Answer submissions according to a decision.

        An accepted submission is written to the journal before it is answered. If the write fails, the
        submission is answered as unavailable.
        """
        negative = {action.ref: action for action in actions if isinstance(action, api.Reject | api.Fail)}
        for ref, (entry, responder) in pending.items():
            decision = negative.get(ref)
            if decision is None and self._messages.accept(entry):
                self._counters.count("accepted")
                self._durability.when_durable((entry.category,), responder.respond_accepted)
            elif isinstance(decision, api.Reject):
                self._counters.count("rejected", entry.category)
                responder.respond_rejected(decision.retry_after)
            elif isinstance(decision, api.Fail):
                self._counters.count("failed at submission", entry.category)
                responder.respond_failed()
            else:
                self._counters.count("journal full", entry.category)
                responder.respond_unavailable(JOURNAL_FULL_RETRY_S)
                self._post(api.ClientDisconnected(ref))
