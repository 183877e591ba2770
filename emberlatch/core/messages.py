"""The open messages: accepts them, limits how long they wait, and ends them."""

from __future__ import annotations

import math

from emberlatch.core.actions import Fail, Reject
from emberlatch.core.attempts import AttemptPolicy
from emberlatch.core.bulkhead import Bulkhead
from emberlatch.core.context import Context
from emberlatch.core.events import Arrival, MessageRecovered
from emberlatch.core.key_order import KeyOrder
from emberlatch.core.pools import PoolTable
from emberlatch.core.records import DEMAND_WINDOW_S, Message, Pool, UncertainAttempt
from emberlatch.core.settings import Terms
from emberlatch.core.slow_start import SlowStart
from emberlatch.core.wait_policy import SubmissionStatistics, WaitPolicy

PEAK_RETENTION = 0.95  # factor by which a peak rate decays each second
# A message is answered before its deadline by at least this time plus two decision intervals.
ANSWER_MARGIN_S = 0.005
# A message counts as resubmitted if its remaining time is shorter than its category's deadline by more than
# this.
RESUBMITTED_TOLERANCE_S = 0.1
SHED_SHARE = 20  # 1/20 of the limit of open messages is kept free by shedding
RETRY_AFTER_MARGIN_S = 0.1  # added to the estimated time in which the backlog is processed


class MessageQueue:
    """Owns the open messages and the delivery order of those with an ordering key.

    Attributes:
        open_messages: messages by ref, from acceptance to the final answer.
        key_order: delivery order of messages with the same key.
        submissions: counts of rejected and resubmitted messages.
        waits: policy that limits how long messages wait.
    """

    __slots__ = (
        "_answer_margin",
        "_attempts",
        "_bulkhead",
        "_context",
        "_pools",
        "_slow_start",
        "key_order",
        "open_messages",
        "submissions",
        "waits",
    )

    def __init__(
        self,
        context: Context,
        pools: PoolTable,
        bulkhead: Bulkhead,
        slow_start: SlowStart,
        attempts: AttemptPolicy,
    ) -> None:
        self._context, self._pools, self._bulkhead = context, pools, bulkhead
        self._slow_start, self._attempts = slow_start, attempts
        self._answer_margin = 2 * context.settings.decision_interval + ANSWER_MARGIN_S
        self.open_messages: dict[int, Message] = {}
        self.key_order = KeyOrder()
        self.submissions = SubmissionStatistics()
        self.waits = WaitPolicy(context, bulkhead, self.submissions)

    def on_arrival(self, event: Arrival) -> None:
        """Accept a message, unless its category is closed."""
        settings = self._context.settings
        if event.category in settings.closed_categories:
            self._context.actions.append(Reject(event.ref, settings.closed_retry_after))
        else:
            self._accept(event, Terms(settings.categories[event.category], settings.max_attempts))

    def on_recovered(self, event: MessageRecovered) -> None:
        """Accept a message of an earlier incarnation, with its attempts that may have been executed."""
        settings, arrival = self._context.settings, event.arrival
        terms = Terms(settings.categories[arrival.category], settings.max_attempts)
        message = self._accept(arrival, event.terms or terms)
        message.resubmitted, message.attempts = True, event.attempts
        message.unknown_outcomes = [
            UncertainAttempt(self._context.now - unknown.age, unknown.target, unknown.zone)
            for unknown in event.unknown_outcomes
        ]
        if (
            message.unknown_outcomes
            and not event.relayed
            and not self._attempts.allows_another_attempt(message)
        ):
            self.finish(message)

    def _accept(self, event: Arrival, terms: Terms) -> Message:
        context, now = self._context, self._context.now
        message = Message(event, terms, now)
        margin = min(context.settings.end_margin, event.remaining / 4)
        message.answer_due_at = message.deadline_at - max(self._answer_margin, margin)
        is_short = event.remaining < terms.category.deadline - RESUBMITTED_TOLERANCE_S
        message.resubmitted = event.inherited or is_short
        self.submissions.resubmitted += message.resubmitted and not event.inherited
        pool = self._pools.mark_dirty(event.destination)
        pool.count_arrival(now, PEAK_RETENTION)
        if not message.resubmitted:
            pool.demand.add(now, DEMAND_WINDOW_S)
            # Demand has changed, so draw the random gap to the next trial again. Gaps are exponentially
            # distributed: drawing one again does not change their distribution.
            for route in pool.routes:
                if route.next_trial_at > now and route.demand_share(now) * context.rules.overload_window < 1:
                    route.next_trial_at = self._slow_start.next_call_at(route)
        self.open_messages[event.ref] = pool.waiting[event.ref] = message
        self.key_order.enqueue(message)
        return message

    def expire_waiting(self, pool: Pool) -> None:
        """End a pool's messages that have no time or attempts left, or whose delivery cannot be expected."""
        if not pool.waiting:
            return
        now, waits = self._context.now, self.waits
        limit, is_bounded, outage = waits.limit(pool), waits.is_bounded, waits.outage_routes(pool)
        available_trials = sum(not route.trial_in_flight for route in pool.routes)
        for message in list(pool.waiting.values()):
            is_expired = now >= message.answer_due_at or message.attempts >= message.max_attempts
            has_waited = is_bounded and not message.resubmitted and now >= waits.ends_at(message, pool, limit)
            is_waiting = not (is_expired or has_waited)
            if outage and is_waiting and now >= waits.undeliverable_from(message, pool, outage):
                # Keep one message for each route that can get a trial, which shows if the route serves again.
                has_waited, available_trials = available_trials <= 0, available_trials - 1
            if is_expired or (has_waited and self._attempts.may_reject(message)):
                self.finish(message)

    def shed_load(self) -> None:
        """Reject the messages of least value when the limit of open messages is nearly reached.

        At the limit, new messages would be rejected whatever their value.
        """
        context, open_cap = self._context, self._context.settings.open_cap
        surplus = len(self.open_messages) - open_cap + max(1, open_cap // SHED_SHARE)
        if surplus <= 0:
            return
        rejectable = [m for m in self.open_messages.values() if self._attempts.may_reject(m)]
        rejectable.sort(key=lambda message: message.value_at(context.now + 1, context.settings.decay))
        for message in rejectable[:surplus]:
            self.finish(message)

    def finish(self, message: Message) -> None:
        """End a message: reject it if that is safe, otherwise fail it."""
        context = self._context
        if self._attempts.may_reject(message):
            self.submissions.rejected += not message.resubmitted
            pool = self._pools.by_destination[message.destination]
            if all(route.ejected for route in pool.routes):
                retry_after = math.inf
            else:
                backlog = len(pool.waiting) * pool.baseline_latency
                retry_after = backlog / self._bulkhead.lease_limit(pool) + RETRY_AFTER_MARGIN_S
            retry_after = min(retry_after, context.settings.max_retry_after)
            context.actions.append(Reject(message.ref, retry_after))
        else:
            context.actions.append(Fail(message.ref))
        self.remove(message.ref)

    def remove(self, ref: int) -> None:
        """Remove an answered message."""
        message = self.open_messages.pop(ref, None)
        if message is not None:
            self._pools.mark_dirty(message.destination).waiting.pop(ref, None)
            self.key_order.remove(message)
            self.wake_next(message.key)

    def wake_next(self, key: int) -> None:
        """Mark the pool of an ordering key's next message as dirty, because it may be sent now."""
        for ref in self.key_order.head(key):
            self._pools.mark_dirty(self.open_messages[ref].destination)
