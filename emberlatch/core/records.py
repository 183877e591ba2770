"""Records of messages, calls, endpoints, routes and destinations, without any decision logic.

Times are in seconds on the caller's clock, latencies in seconds, rates per second.
"""

from __future__ import annotations

import math
from enum import StrEnum
from typing import NamedTuple

from emberlatch.core.events import Arrival, Entry, Target
from emberlatch.core.rates import DecayingRate, TokenBucket
from emberlatch.core.settings import Terms, ValueDecay

# Demand is averaged over this time. It is longer than a burst and shorter than a serious outage.
DEMAND_WINDOW_S = 10.0
MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_LATENCIES = 0.8, 6.0
MAX_IDLE_S = 60.0


class EjectionReason(StrEnum):
    """Reason for a route's ejection. The values are part of the state handed over: do not change them."""

    NONE = ""
    FULL = "full"
    ERROR = "error"
    RESET = "reset"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    NO_RESPONSE = "silence"
    PROBE_FAILED = "probe"

    @property
    def text(self) -> str:
        """Return the reason as written to the log."""
        return REASON_TEXTS.get(self, self.value)


REASON_TEXTS = {EjectionReason.NO_RESPONSE: "no response", EjectionReason.PROBE_FAILED: "failed health check"}


class UncertainAttempt(NamedTuple):
    """An attempt that may have been executed."""

    sent_at: float
    target: Target
    zone: int


class Message:
    """A message that must get one final answer.

    Attributes:
        key: ordering key; 0 if the message is not ordered.
        deadline_at: time after which the message has no value.
        answer_due_at: time at which it must be answered at the latest; earlier than the deadline by a margin.
        on_time_until: time until which a delivery meets the latency target.
        resubmitted: the client submitted the message again, or it was taken over from another forwarder.
        attempts: number of attempts made; also the number of the next attempt.
        call: the call that carries its attempt in flight; None while the message waits.
        not_before: end of the backoff after its last attempt.
        unknown_outcomes: attempts that may have been executed.
    """

    __slots__ = (
        "accepted_at",
        "answer_due_at",
        "attempts",
        "call",
        "category",
        "deadline_at",
        "destination",
        "key",
        "max_attempts",
        "not_before",
        "on_time_until",
        "ref",
        "resubmitted",
        "unknown_outcomes",
    )

    def __init__(self, event: Arrival, terms: Terms, now: float) -> None:
        self.ref, self.destination = event.ref, event.destination
        category = self.category = terms.category
        self.max_attempts = terms.max_attempts
        self.key = event.key if category.ordered else 0
        self.accepted_at = self.not_before = now
        self.deadline_at = self.answer_due_at = now + event.remaining
        self.on_time_until = self.deadline_at - (category.deadline - category.latency_target)
        self.resubmitted = False
        self.attempts = 0
        self.call: Call | None = None
        self.unknown_outcomes: list[UncertainAttempt] = []

    def value_at(self, at: float, decay: ValueDecay) -> float:
        """Return the value of a delivery at the time `at`, according to the message's category."""
        if at >= self.deadline_at:
            return 0.0
        category, late = self.category, at - self.on_time_until
        share = 1.0
        if late > 0:
            if decay is ValueDecay.HALVES:
                share = max(category.late_value_share, 0.5 ** (late / category.latency_target))
            else:
                span = max(category.deadline - category.latency_target, 1e-9)
                share -= (1 - category.late_value_share) * late / span
        return category.value * share


class Endpoint:
    """An endpoint of the directory, kept after its removal until its route's retry-after has ended.

    Attributes:
        in_service: whether new calls may be sent to it.
        removed: whether the directory no longer lists it.
        calls: number of calls in flight.
        max_concurrency: estimated number of connections that it accepts from this forwarder.
        batch_limit: maximum number of messages in one call.
        zone_fee: fee for one call.
    """

    __slots__ = (
        "batch_limit",
        "calls",
        "entry",
        "in_service",
        "last_success_at",
        "max_concurrency",
        "removed",
        "route",
        "zone_fee",
    )

    def __init__(self, entry: Entry, route: Route) -> None:
        self.entry, self.route = entry, route
        self.in_service, self.removed = True, False
        self.calls = 0
        self.max_concurrency = math.inf
        self.last_success_at = -math.inf
        self.batch_limit = 1
        self.zone_fee = 0.0

    def start_call(self, now: float, is_trial: bool) -> Call:
        """Start a call at `now`, which leases one slot from the pool."""
        call, route = Call(self, now, is_trial), self.route
        route.calls[call] = None
        route.pool.leases += 1
        route.token_bucket.tokens -= not is_trial
        route.unanswered_since = min(route.unanswered_since, now)
        route.trial_in_flight = is_trial
        self.calls += 1
        return call


class Call:
    """A call in flight, with one lease and one or more messages. `Endpoint.start_call` creates it.

    Attributes:
        is_trial: whether the call is sent to find out if an ejected route serves again.
        failure_counted: whether its failure is already counted. A call with many messages counts once.
        overtaken_by: number of calls to its endpoint that were sent after it and answered before it.
    """

    __slots__ = ("endpoint", "failure_counted", "is_trial", "messages", "overtaken_by", "sent_at")

    def __init__(self, endpoint: Endpoint, now: float, is_trial: bool) -> None:
        self.endpoint, self.sent_at, self.is_trial = endpoint, now, is_trial
        self.messages: dict[tuple[int, int], Message] = {}
        self.failure_counted = False
        self.overtaken_by = 0

    def add(self, message: Message) -> None:
        """Add the next attempt of a waiting message to this call."""
        self.messages[message.ref, message.attempts] = message
        message.attempts, message.call = message.attempts + 1, self
        self.endpoint.route.pool.waiting.pop(message.ref, None)

    def close(self) -> None:
        """Release the lease."""
        endpoint = self.endpoint
        endpoint.route.calls.pop(self)
        endpoint.route.pool.leases -= 1
        endpoint.calls -= 1


class Route:
    """The unit of rate limiting and health: one endpoint, or all endpoints of a destination.

    Attributes:
        calls: calls in flight, in the order in which they were sent.
        recent_latency: moving average of the latency; 0: unknown.
        failing_since: start of the current series of `consecutive_failures`.
        last_failure_at: time of the last failure or ejection.
        blocked_until: end of the retry-after; no calls are sent before it.
        unanswered_since: earliest start of the calls that were in flight at its last success or were sent
            after it; infinity without such calls.
        ejected: whether it gets no calls except trials.
        unhealthy: whether it is ejected, in slow start, or slow.
        probe_passed: whether a health check has passed since its ejection.
        extra_trial_allowed: whether one call may exceed the slow-start rate, because the previous call failed
            with an error.
        next_trial_at: earliest time of the next call while it is ejected or in slow start.
        limit_left_share: unused share of the rate limit in the last report.
        rate_limit: calls per second allowed to all forwarders together; 0: unknown.
        send_rate: calls per second that this forwarder sends at most; infinity: not limited yet.
        last_good_rate: the send rate at the last success.
    """

    __slots__ = (
        "blocked_until",
        "calls",
        "consecutive_failures",
        "ejected",
        "ejection_reason",
        "endpoints",
        "extra_trial_allowed",
        "failing_since",
        "last_failure_at",
        "last_good_rate",
        "last_success_at",
        "limit_left_share",
        "next_trial_at",
        "pool",
        "probe_passed",
        "rate_limit",
        "recent_latency",
        "send_rate",
        "slow_start_until",
        "token_bucket",
        "trial_in_flight",
        "unanswered_since",
        "unhealthy",
    )

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.endpoints: list[Endpoint] = []
        self.calls: dict[Call, None] = {}
        self.recent_latency = 0.0
        self.last_success_at = -math.inf
        self.consecutive_failures, self.failing_since, self.last_failure_at = 0, 0.0, 0.0
        self.blocked_until = -math.inf
        self.unanswered_since = math.inf
        self.ejected = self.unhealthy = self.trial_in_flight = self.probe_passed = False
        self.ejection_reason = EjectionReason.NONE
        self.extra_trial_allowed = False
        self.next_trial_at = 0.0
        self.slow_start_until = -math.inf
        self.limit_left_share = 1.0
        self.rate_limit = 0.0
        self.send_rate = self.last_good_rate = math.inf
        self.token_bucket = TokenBucket()

    def read_report(self, fields: tuple[str, ...], values: tuple[float, ...]) -> None:
        """Record the rate limit (`x1`) and its unused share (`x0`) from the report in a response."""
        report = dict(zip(fields, values, strict=False))
        if report.get("x1", 0.0) > 0:
            self.rate_limit, self.limit_left_share = report["x1"], report.get("x0", 1.0)

    def demand_share(self, now: float) -> float:
        """Return this forwarder's demand for the route in messages per second.

        The result may amount to less than one message in the forwarder's lifetime and is not rounded up. The
        results of all forwarders thus add up to the total demand, however unevenly it is distributed.
        """
        return self.pool.demand.at(now, DEMAND_WINDOW_S) / max(1, len(self.pool.routes))

    def max_batch(self) -> int:
        """Return the largest batch limit of its endpoints."""
        endpoints = self.endpoints
        if len(endpoints) == 1:
            return endpoints[0].batch_limit
        return max((endpoint.batch_limit for endpoint in endpoints), default=1)


class Pool:
    """The leases of one destination and the messages that wait for them.

    Attributes:
        leases: number of calls in flight.
        unhealthy_calls: number of calls in flight on unhealthy routes.
        adaptive_limit: limit on the number of leases; successes raise it and failures lower it.
        baseline_latency: latency while the routes are healthy.
        peak_rate: decaying peak of arrivals per second.
        window_start, window_arrivals: start of the current counting second and arrivals since then.
        demand: rate of first submissions, without resubmissions.
        unhealthy: whether one of its routes is unhealthy.
    """

    __slots__ = (
        "adaptive_limit",
        "baseline_latency",
        "demand",
        "latency_samples",
        "leases",
        "peak_rate",
        "routes",
        "unhealthy",
        "unhealthy_calls",
        "waiting",
        "window_arrivals",
        "window_start",
    )

    def __init__(self) -> None:
        self.routes: list[Route] = []
        self.waiting: dict[int, Message] = {}
        self.leases = self.unhealthy_calls = 0
        self.adaptive_limit = 1.0
        self.baseline_latency = 0.0
        self.latency_samples = 0
        self.peak_rate = self.window_start = 0.0
        self.window_arrivals = 0
        self.demand = DecayingRate()
        self.unhealthy = False

    def add_endpoint(self, entry: Entry, is_separate: bool) -> Endpoint:
        """Add an endpoint, on a route of its own if `is_separate`, otherwise on the shared route."""
        if is_separate or not self.routes:
            self.routes.append(Route(self))
        endpoint = Endpoint(entry, self.routes[-1])
        endpoint.route.endpoints.append(endpoint)
        return endpoint

    def count_arrival(self, now: float, retention: float) -> None:
        """Count an arrival and decay the peak rate by the factor `retention` per second."""
        if now - self.window_start >= 1:
            idle = min(now - self.window_start, MAX_IDLE_S)
            self.peak_rate = max(self.window_arrivals / idle, self.peak_rate * retention**idle)
            self.window_start, self.window_arrivals = now, 0
        self.window_arrivals += 1

    def response_timeout(self) -> float:
        """Return the time in seconds after which a call without a response shows that its route hangs."""
        return max(MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_LATENCIES * self.baseline_latency)
