"""An upper bound on the number of messages that any forwarders could complete in time.

No forwarder could reach the bound in practice: the computation knows when each endpoint fails and recovers,
and serves messages in order of their due times. The share of this bound that the forwarders complete shows
how fast they recover from faults.

An endpoint serves nothing while it fails, while it is unreachable, while it is listed as draining or removed,
or while a Retry-After from it applies to every sender. After an outage the endpoint's capacity grows during a
warm-up; the forwarders' slow start permits a higher rate than that. An endpoint serves at most as many calls
a second as its rate limit allows. Each call counts as a full batch.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from emberlatch.faults.plan import partner_of
from emberlatch.standins.endpoint_model import (
    BATCH_ITEM_SHARE,
    OUTAGES,
    SLOW_FACTOR,
    Behaviour,
    Condition,
)

STEP_S = 0.1  # time step of the computation, which is short compared with outages and warm-ups
FAILING_CONDITIONS = {*OUTAGES, Condition.GARBLED}  # conditions in which no message is delivered


@dataclass(frozen=True, slots=True)
class DemandedMessage:
    """A message for a partner, requested at `at`. It is on time if it is completed by `due_at` (seconds)."""

    partner: str
    at: float
    due_at: float


@dataclass(frozen=True, slots=True)
class _Change:
    """A change of an endpoint's state at the time `at`; a field that is None does not change."""

    at: float
    condition: Condition | None = None
    is_reachable: bool | None = None  # whether the network reaches the endpoint
    is_serving: bool | None = None  # whether the directory lists the endpoint as serving
    sender: str = ""  # the forwarder that must not send before `wait_until`
    wait_until: float = -math.inf


class _EndpointState:
    """The state of one endpoint, from which its rate follows. Changes must be applied in order of time."""

    def __init__(self, behaviour: Behaviour, max_batch_size: int, sender_count: int) -> None:
        self._behaviour, self._max_batch_size = behaviour, max_batch_size
        self._sender_count = sender_count
        self._condition, self._is_reachable, self._is_serving = Condition.HEALTHY, True, True
        self._warming_since = -math.inf
        self._waits_until: dict[str, float] = {}  # by sender

    def apply(self, change: _Change) -> None:
        if change.condition is not None:
            if self._condition in OUTAGES and change.condition not in OUTAGES:
                self._warming_since = change.at
            self._condition = change.condition
        if change.is_reachable is not None:
            self._is_reachable = change.is_reachable
        if change.is_serving is not None:
            self._is_serving = change.is_serving
        if change.sender:
            earlier = self._waits_until.get(change.sender, 0.0)
            self._waits_until[change.sender] = max(change.wait_until, earlier)

    def rate(self, now: float) -> float:
        """The messages per second that the endpoint can serve."""
        waits = self._waits_until.values()
        all_wait = len(waits) >= self._sender_count and min(waits) > now
        if (
            self._condition in FAILING_CONDITIONS
            or not self._is_reachable
            or not self._is_serving
            or all_wait
        ):
            return 0.0
        behaviour = self._behaviour
        start_share, warming_s = behaviour.warm_up_start_share, now - self._warming_since
        capacity_share = min(
            1.0, start_share + (1 - start_share) * warming_s / max(behaviour.warm_up_s, 1e-9)
        )
        # With a truncated answer, delivery is certain only for a call with a single message.
        batch_size = 1 if self._condition is Condition.TRUNCATED else self._max_batch_size
        slow_factor = SLOW_FACTOR if self._condition is Condition.SLOW else 1.0
        call_s = behaviour.service_time_s * slow_factor * (1 + BATCH_ITEM_SHARE * (batch_size - 1))
        calls_per_s = capacity_share * behaviour.workers / call_s
        return batch_size * min(calls_per_s, behaviour.rate_limit_per_s or math.inf)


class CapacityBound:
    """Computes the bound from changes that the `on_...` methods record, in seconds from the start of the run.

    `behaviours` and `max_batch_sizes` (messages in a call) are by partner; `sender_count` is the number of
    forwarders.
    """

    def __init__(
        self, behaviours: Mapping[str, Behaviour], max_batch_sizes: Mapping[str, int], sender_count: int
    ) -> None:
        self._behaviours, self._max_batch_sizes = behaviours, max_batch_sizes
        self._sender_count = sender_count
        self._changes: dict[str, list[_Change]] = {}  # by endpoint

    def _add(self, endpoint: str, change: _Change) -> None:
        self._changes.setdefault(endpoint, []).append(change)

    def on_condition(self, at: float, endpoint: str, condition: Condition) -> None:
        """Record that an endpoint changes to a condition."""
        self._add(endpoint, _Change(at, condition=condition))

    def on_reachability(self, at: float, endpoint: str, is_reachable: bool) -> None:
        """Record that the network begins or ceases to reach an endpoint."""
        self._add(endpoint, _Change(at, is_reachable=is_reachable))

    def on_listed(self, at: float, endpoint: str, is_serving: bool) -> None:
        """Record that the directory lists an endpoint as serving, or as draining or removed."""
        self._add(endpoint, _Change(at, is_serving=is_serving))

    def on_retry_after(self, at: float, endpoint: str, sender: str, retry_after_s: float) -> None:
        """Record that an endpoint sent a Retry-After, in seconds, to a sender."""
        self._add(endpoint, _Change(at, sender=sender, wait_until=at + retry_after_s))

    def count_servable(self, demand: Iterable[DemandedMessage], since: float, until: float) -> int:
        """Count the messages requested between `since` and `until` that can be completed in time.

        Messages that were requested earlier use capacity too, but are not counted.
        """
        by_partner: dict[str, list[DemandedMessage]] = {}
        for message in demand:
            if message.at < until:
                by_partner.setdefault(message.partner, []).append(message)
        return sum(self._count_served(partner, messages, since) for partner, messages in by_partner.items())

    def _rates(self, endpoint: str, step_count: int) -> list[float]:
        """The messages per second that an endpoint can serve, for each time step."""
        partner = partner_of(endpoint)
        state = _EndpointState(self._behaviours[partner], self._max_batch_sizes[partner], self._sender_count)
        rates = []
        changes = sorted(self._changes[endpoint], key=lambda change: change.at)
        changes.reverse()  # so that pop() returns the earliest change
        for step in range(step_count):
            now = step * STEP_S
            while changes and changes[-1].at <= now:
                state.apply(changes.pop())
            rates.append(state.rate(now))
        return rates

    def _count_served(self, partner: str, demand: Sequence[DemandedMessage], since: float) -> int:
        """Count the messages of a partner completed in time, earliest due time first.

        No other order completes more in time.
        """
        step_count = math.ceil(max(message.due_at for message in demand) / STEP_S) + 1
        endpoint_rates = [
            self._rates(endpoint, step_count) for endpoint in self._changes if partner_of(endpoint) == partner
        ]
        future = sorted(demand, key=lambda message: message.at, reverse=True)
        waiting: list[tuple[float, float]] = []  # pairs of due time and request time
        count, budget = 0, 0.0
        for step, rate in enumerate(map(sum, zip(*endpoint_rates, strict=True))):
            now = step * STEP_S
            while future and future[-1].at <= now:
                message = future.pop()
                heapq.heappush(waiting, (message.due_at, message.at))
            budget = min(budget, 1.0) + rate * STEP_S if rate else 0.0  # unused capacity does not accumulate
            while waiting and (budget >= 1 or waiting[0][0] < now):
                due_at, requested_at = heapq.heappop(waiting)
                if due_at >= now:
                    budget -= 1
                    count += requested_at >= since
        return count
