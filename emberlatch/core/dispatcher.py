"""Dispatch: chooses which waiting messages are sent now, and to which endpoints."""

from __future__ import annotations

import math
from operator import itemgetter

from emberlatch.core.actions import Send
from emberlatch.core.attempts import AttemptPolicy
from emberlatch.core.bulkhead import Bulkhead
from emberlatch.core.calls import CallTable
from emberlatch.core.context import Context
from emberlatch.core.endpoint_list import EndpointList
from emberlatch.core.events import Target
from emberlatch.core.key_order import KeyOrder
from emberlatch.core.pools import PoolTable
from emberlatch.core.records import Call, Endpoint, Message, Pool, Route
from emberlatch.core.send_rate import RateControl
from emberlatch.core.settings import Effect
from emberlatch.core.slow_start import SlowStart

# Latency that each additional message adds to a call, relative to a call with one message. This is an
# estimate, because endpoint kinds differ.
BATCH_ITEM_COST = 0.35
RETRY_HORIZON_S = 2.0  # a message that gets no lease now is assumed to be sent this much later
WAIT_PENALTY = 1.1  # weight of a message's value if sent now, relative to its value after RETRY_HORIZON_S
FEE_WEIGHT = 20.0  # the cost of an endpoint is its delay times (1 + FEE_WEIGHT * fee)
# Time-out of an attempt, as a minimum and as a multiple of the baseline latency. Both are generous, because a
# slow message is not necessarily lost.
MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_LATENCIES = 2.0, 20.0
SHUTDOWN_MARGIN_LATENCIES = 3.0  # minimum time between the start of a call and the shutdown, in latencies
MIN_LATENCY_S = 0.01


class Dispatcher:
    """Assigns free leases to messages and messages to endpoints.

    Owns the calls of the present turn to which more messages can be added (`_open_batches`, by target).
    """

    __slots__ = (
        "_attempts",
        "_bulkhead",
        "_calls",
        "_context",
        "_endpoints",
        "_key_order",
        "_open_batches",
        "_pools",
        "_rates",
        "_slow_start",
    )

    def __init__(
        self,
        context: Context,
        pools: PoolTable,
        bulkhead: Bulkhead,
        endpoints: EndpointList,
        slow_start: SlowStart,
        rates: RateControl,
        attempts: AttemptPolicy,
        calls: CallTable,
        key_order: KeyOrder,
    ) -> None:
        self._context, self._pools, self._bulkhead, self._endpoints = context, pools, bulkhead, endpoints
        self._slow_start, self._rates, self._attempts = slow_start, rates, attempts
        self._calls, self._key_order = calls, key_order
        self._open_batches: dict[Target, Call] = {}

    def dispatch(self) -> None:
        """Give free leases first to the messages that lose most value by waiting, per second of lease."""
        self._open_batches = {}
        ranked: list[tuple[float, Message]] = []
        for pool in self._pools.dirty.values():
            if pool.waiting and self._has_lease(pool):
                self._rank(pool, ranked)
        ranked.sort(key=itemgetter(0), reverse=True)
        now, full = self._context.now, set[Pool]()
        for _, message in ranked:
            pool = self._pools.by_destination[message.destination]
            if (
                pool not in full
                and self._key_order.is_next(message, now)
                and not self._assign(message, pool)
                and not message.unknown_outcomes
            ):
                full.add(pool)  # this message may use any endpoint and found none, so no other will

    def _has_lease(self, pool: Pool) -> bool:
        bulkhead = self._bulkhead
        return bulkhead.free_slots > 0 and pool.leases < bulkhead.lease_limit(pool)

    def _rank(self, pool: Pool, ranked: list[tuple[float, Message]]) -> None:
        """Add a pool's sendable messages to `ranked`, with the value lost by waiting per second of lease.

        Messages that can be sent in one call share the cost of its lease.
        """
        now, decay = self._context.now, self._context.settings.decay
        if not any(self._accepts_call(route) for route in pool.routes):
            return  # no route can take a call, so ranking the messages would be wasted work
        lease = max(pool.baseline_latency, *(route.recent_latency for route in pool.routes), MIN_LATENCY_S)
        if now + SHUTDOWN_MARGIN_LATENCIES * lease > self._context.shutdown_at:
            return
        delivered_at, delivered_later_at = now + lease, now + lease + RETRY_HORIZON_S
        is_next = self._key_order.is_next
        due = [m for m in pool.waiting.values() if m.not_before <= now and is_next(m, now)]
        batch_size = min(max(route.max_batch() for route in pool.routes), max(1, len(due)))
        lease *= (1 + BATCH_ITEM_COST * (batch_size - 1)) / batch_size
        for message in due:
            stake = WAIT_PENALTY * message.value_at(delivered_at, decay)
            stake -= message.value_at(delivered_later_at, decay)
            ranked.append((stake / lease, message))

    def _assign(self, message: Message, pool: Pool) -> bool:
        """Send a message to the endpoint with the lowest cost; return False if none can take it now."""
        endpoint = self._choose_endpoint(message, pool)
        if endpoint is None:
            return False
        target, route = endpoint.entry.target, endpoint.route
        call = self._open_batches.get(target)
        if call is None:
            call = self._open_batches[target] = self._start_call(endpoint)
        timeout = self._attempt_timeout(message, route)
        self._context.actions.append(Send(message.ref, target, timeout))
        self._calls.add(call, message)
        if call.is_trial or len(call.messages) >= endpoint.batch_limit:
            del self._open_batches[target]
        return True

    def _choose_endpoint(self, message: Message, pool: Pool) -> Endpoint | None:
        best, lowest_cost = None, math.inf
        has_lease, batches = self._has_lease(pool), self._open_batches
        for route in pool.routes:
            accepts_call = (
                has_lease
                and (not route.unhealthy or self._bulkhead.has_unhealthy_quota)
                and self._accepts_call(route)
            )
            for endpoint in route.endpoints:
                joins_batch = endpoint.entry.target in batches
                if not joins_batch and not (accepts_call and endpoint.calls < endpoint.max_concurrency):
                    continue
                latency = route.recent_latency or pool.baseline_latency
                delay = latency * (1 if joins_batch else 1 + endpoint.calls)
                cost = delay * (1 + FEE_WEIGHT * endpoint.zone_fee)
                if cost < lowest_cost and endpoint.in_service and self._attempts.may_send(message, endpoint):
                    best, lowest_cost = endpoint, cost
        return best

    def _start_call(self, endpoint: Endpoint) -> Call:
        route, now = endpoint.route, self._context.now
        call = endpoint.start_call(now, is_trial=route.ejected)
        self._bulkhead.on_call_started(call)
        if now < route.slow_start_until:
            route.next_trial_at = now if route.extra_trial_allowed else self._slow_start.next_call_at(route)
            route.extra_trial_allowed = False
        return call

    def _attempt_timeout(self, message: Message, route: Route) -> float:
        """Return the time-out of an attempt in seconds; 0: none before the message's deadline.

        A time-out leaves an unknown outcome, after which an unsafe message cannot be sent again. Unsafe
        messages and last attempts therefore have no time-out.
        """
        if message.category.effect is Effect.UNSAFE or message.attempts + 1 >= message.max_attempts:
            return 0.0
        if route.ejected:
            return route.pool.response_timeout()
        timeout = max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_LATENCIES * route.pool.baseline_latency)
        return timeout * 2.0 ** len(message.unknown_outcomes)

    def _accepts_call(self, route: Route) -> bool:
        """Return whether a route may get another call now.

        An ejected route gets trials only. The calls to any other route are limited by its send rate.
        """
        now = self._context.now
        if not route.ejected:
            has_token = self._rates.has_token(route)
            blocked_until = max(route.blocked_until, min(route.next_trial_at, route.slow_start_until))
            return has_token and now >= blocked_until
        is_due = route.probe_passed if self._context.settings.probes else now >= route.next_trial_at
        if not is_due or route.trial_in_flight or now < route.blocked_until:
            return False
        # If a directory update may be missing, an ejected route is probably draining. Do not call it unless
        # all routes of the pool are ejected.
        return not self._endpoints.may_miss_updates or all(other.ejected for other in route.pool.routes)
