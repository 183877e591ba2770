"""The table of calls in flight, and the handling of their outcomes."""

from __future__ import annotations

import math

from emberlatch.core.actions import Cancel
from emberlatch.core.attempts import AttemptPolicy
from emberlatch.core.bulkhead import Bulkhead
from emberlatch.core.context import Context
from emberlatch.core.endpoint_list import EndpointList
from emberlatch.core.events import Outcome, Result
from emberlatch.core.health import RETRY_BACKOFF_S, RouteHealth
from emberlatch.core.messages import MessageQueue
from emberlatch.core.pools import PoolTable
from emberlatch.core.records import Call, Message, UncertainAttempt

# Once this many later calls were answered before a call, the call counts as stuck, not just slow.
OVERTAKING_CALLS = 3
MAX_BACKOFF_DOUBLINGS = 5
STILL_RUNNING = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
"""Results after which the attempt may still be running."""
BACKOFF_RESULTS = (Result.FULL, Result.CONNECT_FAILED, Result.NOT_EXECUTED, Result.ERROR)
"""Results after which the next attempt waits for a backoff."""
NOT_EXECUTED = (Result.FULL, Result.CONNECT_FAILED, Result.NOT_EXECUTED)
"""Results that prove that the attempt was not executed."""


class CallTable:
    """Owns the calls in flight, keyed by message ref and attempt number."""

    __slots__ = (
        "_attempts",
        "_bulkhead",
        "_context",
        "_endpoints",
        "_health",
        "_pools",
        "_queue",
        "in_flight",
    )

    def __init__(
        self,
        context: Context,
        pools: PoolTable,
        bulkhead: Bulkhead,
        endpoints: EndpointList,
        health: RouteHealth,
        queue: MessageQueue,
        attempts: AttemptPolicy,
    ) -> None:
        self._context, self._pools, self._bulkhead, self._endpoints = context, pools, bulkhead, endpoints
        self._health, self._queue, self._attempts = health, queue, attempts
        self.in_flight: dict[tuple[int, int], Call] = {}

    def add(self, call: Call, message: Message) -> None:
        """Add a message's next attempt to a call."""
        self.in_flight[message.ref, message.attempts] = call
        call.add(message)
        self._queue.key_order.on_sent(message)

    def on_outcome(self, event: Outcome) -> None:
        """Handle the end of an attempt: complete its message, queue it for another attempt, or end it."""
        call = self.in_flight.pop((event.ref, event.attempt), None)
        if call is None:
            if event.is_final:  # the call is not known here, but its message is completed
                self._queue.remove(event.ref)
            return
        message = call.messages.pop((event.ref, event.attempt))
        self._pools.mark_dirty(message.destination)
        if not call.messages:
            self._close(call, event.result)
        self._health.record_outcome(event, call)
        if not call.messages and event.result is Result.OK:
            self._cancel_overtaken(call)
        message.call = None
        quiet_until = -math.inf
        if event.result in STILL_RUNNING:
            quiet_until = self._context.now + self._context.rules.order_quiet_period
        self._queue.key_order.on_outcome(message, quiet_until)
        self._queue.wake_next(message.key)
        if event.is_final or message.ref not in self._queue.open_messages:
            self._queue.remove(message.ref)
        else:
            self._requeue(message, call, event.result)

    def _close(self, call: Call, result: Result) -> None:
        self._bulkhead.free_slots += 1
        call.close()
        self._pools.mark_starved_dirty()
        self._endpoints.close_idle_connections(call.endpoint, result)

    def _requeue(self, message: Message, call: Call, result: Result) -> None:
        """Queue a message for its next attempt, after a backoff if the result requires one.

        After FULL and ERROR the backoff doubles with each attempt, because other callers retry then too.
        """
        context, entry = self._context, call.endpoint.entry
        if result in BACKOFF_RESULTS:
            backoff = RETRY_BACKOFF_S
            if result in (Result.FULL, Result.ERROR):
                backoff *= 2 ** min(message.attempts, MAX_BACKOFF_DOUBLINGS)
            message.not_before = context.now + backoff * context.random.uniform(0.5, 1.5)
        if result not in NOT_EXECUTED:
            message.unknown_outcomes.append(UncertainAttempt(call.sent_at, entry.target, entry.zone))
        call.endpoint.route.pool.waiting[message.ref] = message
        if not self._attempts.allows_another_attempt(message):
            self._queue.finish(message)

    def _cancel_overtaken(self, answered: Call) -> None:
        """Cancel late calls if later calls to the same endpoint were answered first and a lease is needed.

        An endpoint answers its calls in the order in which they were sent, even if it is slow. An overtaken
        call therefore has a connection that does not respond.
        """
        context, route = self._context, answered.endpoint.route
        if not context.settings.cancel:
            return
        timeout = route.pool.response_timeout()
        is_lease_wanted = bool(route.pool.waiting or self._pools.starved)
        for call in list(route.calls):
            if call.sent_at >= answered.sent_at:
                break
            if call.endpoint is not answered.endpoint:  # order of answers is defined per endpoint only
                continue
            call.overtaken_by += 1
            if is_lease_wanted and call.overtaken_by >= OVERTAKING_CALLS and self._is_late(call, timeout):
                context.actions += [Cancel(ref, attempt) for ref, attempt in call.messages]

    def _is_late(self, call: Call, timeout: float) -> bool:
        """Return whether a call is late and may be cancelled.

        The time-out doubles with each earlier attempt with an unknown outcome, because the message itself may
        be slow to execute.
        """
        unknown = max((len(message.unknown_outcomes) for message in call.messages.values()), default=0)
        if self._context.now - call.sent_at <= timeout * 2.0**unknown:
            return False
        return all(map(self._can_lose_attempt, call.messages.values()))

    def _can_lose_attempt(self, message: Message) -> bool:
        is_open = message.ref in self._queue.open_messages
        return is_open and self._attempts.tolerates_unknown_outcome(message)
