"""The discovery client as a state machine: times, answers and failures in, requests out.

| state | event | next state | action |
| --- | --- | --- | --- |
| idle | `watch(True)` | requesting | send a watch |
| requesting | answer accepted | delayed by `WATCH_GAP_S` | |
| requesting | older changes, asked after last answer | delayed by the backoff | fetch the complete list |
| requesting | older revision, asked before last answer | delayed by `WATCH_GAP_S` | |
| requesting | failure | delayed by the backoff | |
| requesting | time-out | requesting | send a new watch, which supersedes the old one |
| delayed | the delay has passed | requesting | send a watch |
| requesting, delayed | `change_address()` | requesting | drop all requests, fetch the complete list |
| requesting, delayed | `watch(False)` | idle after the current request | |

*Older* refers to the revision. *Asked after last answer* means: sent after the last accepted answer arrived.
A complete list that was asked for in this way is accepted even if its revision is older.

A superseded watch is dropped when its successor is answered or times out. A look-up runs independently of the
watch. The caller calls `take_actions` after each event, and no later than at `due`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from emberlatch.directory.assumed_delivery import DEFAULT_TERMS, AssumedDelivery, DeliveryTerms
from emberlatch.directory.backoff import Backoff

WATCH_WAIT_S = 20.0
"""How long the service may wait for changes before it answers a watch.

The contents of a lost answer count as delivered only after this time.
"""
WATCH_TIMEOUT_S = 5.0
"""Time-out of a watch at the start and after a new revision or a failure; then the watch is sent again.

The time-out doubles each time it passes. Its maximum is WATCH_WAIT_S and EMPTY_ANSWER_GRACE_S together: by
then the service has sent an answer, at least an empty one.
"""
EMPTY_ANSWER_GRACE_S = 0.6
"""How long after WATCH_WAIT_S the empty answer to a watch may arrive."""
LOOKUP_TIMEOUT_S = 2.0
URGENT_LOOKUP_TIMEOUT_S = 1.0
WATCH_GAP_S = 0.05
"""Delay between an answer and the next watch.

If the next watch arrives within 0.2 s of the answer, the service treats it as a continuation.
"""


class Failure(Enum):
    """How a request ended without an answer that can be accepted."""

    UNSENT = "unsent"  # not written completely: the service has not received the request
    NO_VALID_ANSWER = "ended"  # the connection ended without an answer, or the answer was an error
    UNREADABLE = "unreadable"  # the answer could not be decoded


@dataclass(frozen=True, slots=True)
class RequestContent:
    """The content of a request.

    Attributes:
        since: the revision after which changes are requested; None to request the complete list.
        wait: how many seconds the service may wait for changes.
    """

    since: int | None
    wait: float


@dataclass(frozen=True, slots=True)
class SendRequest:
    """The action to send a request.

    `on_new_connection`: use a new connection, because the existing one may be dead.
    """

    call: int
    content: RequestContent
    on_new_connection: bool


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The action to cancel a request: close its connection, and ignore a late answer."""

    call: int


Action = SendRequest | CancelRequest


@dataclass(slots=True)
class _Call:
    """A request in flight."""

    content: RequestContent
    sent_at: float
    times_out_at: float


class Client:
    """Decides which requests to send; at most one watch and one look-up are current at a time.

    A watch that timed out stays in flight until the watch that supersedes it is answered or times out.
    """

    def __init__(self, seed: int, terms: DeliveryTerms = DEFAULT_TERMS, callers: int = 1) -> None:
        """`callers`: how many forwarders, including this one, use the same service."""
        self.revision: int | None = None
        """The revision of the list accepted last; None if the complete list must be fetched."""
        self.assumed_delivery = AssumedDelivery(terms)
        self._backoff = Backoff(seed, callers)
        self._watch_wanted = self._lookup_wanted = False
        self._watch_not_before = -math.inf
        self._calls: dict[int, _Call] = {}
        self._watch_call: int | None = None
        self._superseded_call: int | None = None  # a watch that timed out, but may still be answered
        self._lookup_call: int | None = None
        self._last_call = 0
        self._needs_new_connection = False
        # The more callers, the longer a request may be queued at the service.
        self._initial_timeout_s = min(
            WATCH_TIMEOUT_S + self._backoff.round_s, WATCH_WAIT_S + EMPTY_ANSWER_GRACE_S
        )
        self._watch_timeout_s = self._initial_timeout_s
        self._accepted_at = -math.inf
        self._pending_actions: list[Action] = []

    # Events.

    def start_from(self, now: float, revision: int) -> None:
        """Start from a list that was obtained elsewhere; the first watch is delayed at random."""
        self.revision, self._watch_not_before = revision, now + self._backoff.first_delay_s()

    def watch(self, active: bool) -> None:
        """Watch for changes if `active`; otherwise stop after the current request. Idempotent."""
        self._watch_wanted = active

    def look_up(self) -> None:
        """Fetch the complete list once; ignored while such a request is in flight."""
        self._lookup_wanted = self._lookup_wanted or self._lookup_call is None

    def change_address(self, now: float) -> None:
        """Start anew at another address; revisions are valid only at the address that issued them."""
        for call in self._calls:
            self._pending_actions.append(CancelRequest(call))
        self._lookup_wanted = self._lookup_wanted or self._lookup_call is not None
        self._calls.clear()
        self._watch_call = self._superseded_call = self._lookup_call = None
        self.revision, self._accepted_at = None, -math.inf
        self._needs_new_connection, self._watch_timeout_s = True, self._initial_timeout_s
        self._backoff.reset()
        latest_delay = self.assumed_delivery.terms.after_move_s / 2
        self._watch_not_before = now + min(self._backoff.first_delay_s(), latest_delay)
        self.assumed_delivery.service_moved(now)

    def on_answer(self, now: float, call: int, revision: int, complete: bool) -> bool:
        """Handle a decoded answer; `complete`: it contains the complete list, otherwise changes.

        Returns whether the answer is accepted and is to be passed on.
        """
        answered_call = self._calls.pop(call, None)
        if answered_call is None:
            return False
        known = self.revision
        if (
            known is not None
            and revision < known
            and (answered_call.sent_at < self._accepted_at or not complete)
        ):
            self._reject_older(now, call, answered_call)
            return False
        if revision != known:
            self._watch_timeout_s = self._initial_timeout_s
        self.revision, self._accepted_at = revision, now
        if call == self._watch_call:
            # Drop the superseded watch before the deadline is cleared: this answer includes the changes
            # that the lost answer contained.
            self._drop_superseded()
        self.assumed_delivery.answer_accepted()
        self._backoff.reset()
        self._finish(call, now + WATCH_GAP_S)
        return True

    def on_failure(self, now: float, call: int, failure: Failure, retry_after: float = 0.0) -> bool:
        """Handle a failed request; `retry_after` is the delay in seconds that the service asked for.

        Returns whether the failure must be reported. The failure of a dropped or superseded request has been
        reported before.
        """
        failed_call = self._calls.pop(call, None)
        if failed_call is None:
            return False
        if failure is Failure.UNREADABLE:
            self.revision = None  # the contents are unknown, so the complete list is needed
        if failure is not Failure.UNSENT:
            self._record_lost_answer(failed_call)
        if call == self._superseded_call:
            self._superseded_call = None
            return False
        self._retry_later(now, call, retry_after)
        return True

    # Actions.

    def take_actions(self, now: float) -> list[Action]:
        """Return the actions that are due now, in order."""
        for number, call in list(self._calls.items()):
            if now >= call.times_out_at:
                self._time_out(now, number, call)
        if self._lookup_wanted:
            self._lookup_wanted = False
            self._lookup_call = self._send(now, RequestContent(None, 0.0), is_lookup=True)
        if self._watch_wanted and self._watch_call is None and now >= self._watch_not_before:
            self._watch_call = self._send(now, self._watch_content(), is_lookup=False)
        actions, self._pending_actions = self._pending_actions, []
        return actions

    @property
    def due(self) -> float:
        """The latest time at which `take_actions` must be called, unless an event occurs before."""
        if self._pending_actions or self._lookup_wanted:
            return -math.inf
        next_watch = self._watch_not_before if self._watch_wanted and self._watch_call is None else math.inf
        return min(next_watch, *(call.times_out_at for call in self._calls.values()), math.inf)

    def overdue(self, now: float) -> bool:
        """Whether a lost answer counts as delivered by now."""
        return now >= self.assumed_delivery.deadline

    # Private.

    def _reject_older(self, now: float, call: int, answered_call: _Call) -> None:
        """Handle an answer with an older revision than the list that was accepted last."""
        if answered_call.sent_at >= self._accepted_at:
            # The request was sent after the last answer arrived, so an older revision means that the service
            # has lost its state.
            self.revision = None
            self._retry_later(now, call, 0.0)
        elif call == self._watch_call:  # another answer was accepted after this request was sent
            self._finish(call, now + WATCH_GAP_S)

    def _watch_content(self) -> RequestContent:
        return (
            RequestContent(None, 0.0)
            if self.revision is None
            else RequestContent(self.revision, WATCH_WAIT_S)
        )

    def _send(self, now: float, content: RequestContent, is_lookup: bool) -> int:
        self._last_call += 1
        timeout_s = self._watch_timeout_s
        if content.since is None:
            until_deadline_s = self.assumed_delivery.deadline - now
            timeout_s = min(LOOKUP_TIMEOUT_S, max(URGENT_LOOKUP_TIMEOUT_S, until_deadline_s / 4))
        self._calls[self._last_call] = _Call(content, now, now + timeout_s)
        self._pending_actions.append(
            SendRequest(self._last_call, content, is_lookup or self._needs_new_connection)
        )
        self._needs_new_connection = self._needs_new_connection and is_lookup
        return self._last_call

    def _time_out(self, now: float, number: int, call: _Call) -> None:
        """Drop a look-up that timed out; keep a watch that timed out, and supersede it by a new watch."""
        if number == self._lookup_call:
            self._drop(number)
        else:
            self._drop_superseded()
            self._superseded_call, call.times_out_at = number, math.inf
            self._needs_new_connection = True
            self._watch_timeout_s = min(2 * self._watch_timeout_s, WATCH_WAIT_S + EMPTY_ANSWER_GRACE_S)
        self._finish(number, now)

    def _drop(self, number: int) -> None:
        self._record_lost_answer(self._calls.pop(number))
        self._pending_actions.append(CancelRequest(number))

    def _drop_superseded(self) -> None:
        if self._superseded_call is not None and self._superseded_call in self._calls:
            self._drop(self._superseded_call)
        self._superseded_call = None

    def _record_lost_answer(self, call: _Call) -> None:
        wait_s = None if call.content.since is None else call.content.wait
        self.assumed_delivery.answer_lost(call.sent_at, wait_s)

    def _retry_later(self, now: float, call: int, retry_after: float) -> None:
        self._needs_new_connection, self._watch_timeout_s = True, self._initial_timeout_s
        until_deadline_s = self.assumed_delivery.deadline - now
        self._finish(call, now + self._backoff.next_delay_s(until_deadline_s, retry_after))

    def _finish(self, call: int, next_watch_at: float) -> None:
        """End a request; if it is the current watch, the next one is to be sent at `next_watch_at`."""
        if call == self._lookup_call:
            self._lookup_call = None
        elif call == self._watch_call:
            self._watch_call, self._watch_not_before = None, next_watch_at
