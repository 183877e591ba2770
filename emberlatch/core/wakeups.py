"""Schedules a wake-up for each time at which a pool must be processed without an event.

The forwarder has no periodic timer.
"""

from __future__ import annotations

import math

from emberlatch.core.bulkhead import Bulkhead
from emberlatch.core.context import Context
from emberlatch.core.health import RouteHealth
from emberlatch.core.messages import MessageQueue
from emberlatch.core.pools import PoolTable
from emberlatch.core.records import Pool
from emberlatch.core.send_rate import RateControl


class WakeupPlanner:
    """Schedules the next wake-up of each dirty pool. Has no state of its own."""

    __slots__ = ("_bulkhead", "_context", "_health", "_pools", "_queue", "_rates")

    def __init__(
        self,
        context: Context,
        pools: PoolTable,
        bulkhead: Bulkhead,
        health: RouteHealth,
        rates: RateControl,
        queue: MessageQueue,
    ) -> None:
        self._context, self._pools, self._bulkhead = context, pools, bulkhead
        self._health, self._rates, self._queue = health, rates, queue

    def schedule(self, destination: int, pool: Pool) -> None:
        """Schedule a pool's wake-up at the earliest time at which a route or a waiting message is due."""
        now, bulkhead, pools = self._context.now, self._bulkhead, self._pools
        pools.starved.pop(destination, None)
        if pool.waiting and (bulkhead.free_slots <= 0 or not bulkhead.has_unhealthy_quota):
            pools.starved[destination] = pool
        first = math.inf
        for at in self._route_times(pool):
            if now < at < first:
                first = at
        if pool.waiting:
            first = self._first_message_time(pool, first)
        pools.wakeups.schedule(destination, first)

    def _route_times(self, pool: Pool) -> list[float]:
        times = []
        for route in pool.routes:
            if route.calls and not route.ejected:
                times.append(self._health.response_timeout_at(route))
            if pool.waiting:
                times += (route.blocked_until, route.next_trial_at)
                times.append(route.token_bucket.ready_at(self._rates.rate(route)))
        return times

    def _first_message_time(self, pool: Pool, first: float) -> float:
        now, waits, quiet_until = self._context.now, self._queue.waits, self._queue.key_order.quiet_until
        limit, is_bounded, outage = waits.limit(pool), waits.is_bounded, waits.outage_routes(pool)
        for message in pool.waiting.values():  # often hundreds in every turn: avoid a list of all times
            if now < message.answer_due_at < first:
                first = message.answer_due_at
            if now < message.not_before < first:
                first = message.not_before
            if (
                is_bounded
                and not message.resubmitted
                and now < (at := waits.ends_at(message, pool, limit)) < first
            ):
                first = at
            if outage and now < (at := waits.undeliverable_from(message, pool, outage)) < first:
                first = at
            if message.key and now < (at := quiet_until(message.key)) < first:
                first = at
        return first
