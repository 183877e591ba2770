"""Delivery attempts: each is recorded in the journal, sent in a call, and ended by its outcome."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from emberlatch.core import interface as api
from emberlatch.engine.active_settings import DEADLINE_MARGIN_S, ActiveSettings
from emberlatch.engine.completions import Completions
from emberlatch.engine.counters import Counters
from emberlatch.engine.message_table import MessageJournal
from emberlatch.engine.ports import AttemptKey, CallItem, Carrier
from emberlatch.store import Entry, UnknownOutcome

NOT_EXECUTED_RESULTS = (api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.NOT_EXECUTED)
"""Results that rule out an execution; after any other result the attempt may have been executed."""
MIN_TIMEOUT_S = 0.001
"""Lower bound of a message's remaining time, from which the timeout of its call is computed."""

CallsByTarget = dict[api.Target, list[CallItem]]


class Deliveries:
    """Records and sends attempts, and records their outcomes."""

    def __init__(
        self,
        settings: ActiveSettings,
        journal: MessageJournal,
        completions: Completions,
        carrier: Carrier,
        counters: Counters,
        post: Callable[[api.Event], None],
    ) -> None:
        """`post` queues an event for the decision module."""
        self._settings, self._completions, self._carrier = settings, completions, carrier
        self._messages, self._clock = journal.messages, journal.clock
        self._durability = journal.durability
        self._counters, self._post = counters, post
        self._awaiting_sync: set[AttemptKey] = set()  # attempts that wait until their records are durable

    def add_attempts(self, action: api.Send, calls: CallsByTarget) -> None:
        """Record an attempt, then add it to the calls of its target.

        An attempt must be recorded before it is sent.
        """
        calls.setdefault(action.target, []).extend(self._record_attempt(action))

    def _record_attempt(self, action: api.Send) -> Iterator[CallItem]:
        entry = self._messages.open_messages.get(action.ref)
        if entry is None:
            # The message could not be written to the journal, so it was not accepted. The decision module has
            # already counted a lease for its first call; without an outcome that lease is never released.
            self._post_not_executed(action.ref, 0, action.target, is_final=True)
            return
        attempt, now = entry.attempts, self._clock.now()
        entry.attempts += 1
        endpoint = self._carrier.entry(action.target)
        if endpoint is None:  # the endpoint was removed after the decision
            self._post_not_executed(entry.ref, attempt, action.target)
            return
        unknown = UnknownOutcome(attempt, action.target.decode(), endpoint.zone, now)
        entry.unknown_outcomes.append(unknown)
        if not self._messages.record(entry):
            entry.unknown_outcomes.remove(unknown)  # an attempt without a journal record must not be sent
            self._post_not_executed(entry.ref, attempt, action.target)
            return
        remaining = max(entry.deadline - now, MIN_TIMEOUT_S)
        # Close to the deadline the margin is at most a quarter of the remaining time.
        remaining -= min(DEADLINE_MARGIN_S, remaining / 4)
        timeout = min(action.timeout or remaining, remaining)
        yield CallItem(entry.ref, attempt, entry.id, entry.key, entry.body, timeout)

    def _post_not_executed(self, ref: int, attempt: int, target: api.Target, is_final: bool = False) -> None:
        self._post(api.Outcome(ref, attempt, target, api.Result.NOT_EXECUTED, 0.0, is_final=is_final))

    def start_calls(self, calls: CallsByTarget) -> None:
        """Start the calls of one decision. A call has at most as many messages as its target accepts."""
        for target, items in calls.items():
            size = self._max_items_per_call(target)
            for first in range(0, len(items), size):
                self._start_call(target, self._latest_deadline_first(items[first : first + size]))

    def _max_items_per_call(self, target: api.Target) -> int:
        limits, endpoint = self._settings.current.batch_limits, self._carrier.entry(target)
        kind = endpoint.kind if endpoint is not None else len(limits)
        return max(limits[kind : kind + 1], default=1)

    def _latest_deadline_first(self, items: list[CallItem]) -> list[CallItem]:
        """Return the messages of one call, sorted by deadline with the latest first.

        A hung endpoint was observed to answer `ok` for all of a batch once the deadline of its first message
        had passed, although no message had been delivered. With the latest deadline first, such an answer
        arrives only after all messages of the call have been completed, and is ignored.
        """
        return sorted(items, key=lambda item: -self._messages.open_messages[item.ref].deadline)

    def _start_call(self, target: api.Target, items: list[CallItem]) -> None:
        """Start a call once the records of all its attempts are durable."""
        if not self._durability.required:
            self._send(target, items)
            return
        attempts = {(item.ref, item.attempt) for item in items}
        self._awaiting_sync |= attempts

        def send_remaining() -> None:
            remaining = [item for item in items if (item.ref, item.attempt) in self._awaiting_sync]
            for item in items:  # not sent if completed or cancelled during the sync
                if item not in remaining or item.ref not in self._messages.open_messages:
                    result = api.Result.NOT_EXECUTED
                    self.report(api.Outcome(item.ref, item.attempt, target, result, 0.0))
            self._awaiting_sync -= attempts
            if remaining := [item for item in remaining if item.ref in self._messages.open_messages]:
                self._send(target, remaining)

        categories = [self._messages.open_messages[item.ref].category for item in items]
        self._durability.when_durable(categories, send_remaining)

    def _send(self, target: api.Target, items: list[CallItem]) -> None:
        self._counters.count_target(target, "calls")
        self._carrier.call(target, items)

    def cancel(self, ref: int, attempt: int) -> None:
        """Stop waiting for an attempt; do not send it if its record is not durable yet."""
        if (ref, attempt) in self._awaiting_sync:
            self._awaiting_sync.discard((ref, attempt))
        else:
            self._carrier.cancel(ref, attempt)

    def report(self, outcome: api.Outcome) -> None:
        """Record the outcome of an attempt in the journal, then pass it to the decision module."""
        self._record_outcome(outcome)
        self._post(outcome)

    def _record_outcome(self, outcome: api.Outcome) -> None:
        """Write the effect of an outcome on its message to the journal."""
        entry = self._messages.open_messages.get(outcome.ref)
        self._counters.count_target(outcome.target, outcome.result.name.lower())
        if entry is not None and outcome.is_final:
            self._close(entry, outcome.result)
        elif entry is not None and outcome.result in NOT_EXECUTED_RESULTS:
            # After any other result the attempt stays listed as one that may have been executed.
            attempts = entry.unknown_outcomes
            entry.unknown_outcomes = [each for each in attempts if each.attempt != outcome.attempt]
            self._messages.record(entry)

    def _close(self, entry: Entry, result: api.Result) -> None:
        if result is api.Result.OK:
            late = self._clock.now() > self._settings.latency_deadline(entry)
            self._counters.count("late" if late else "delivered", entry.category)
            self._completions.complete_delivered(entry)
        else:
            self._counters.count("closed by target", entry.category)
            self._completions.complete_unnotified(entry)
