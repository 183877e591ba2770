"""Route health: ejects and reinstates routes by call outcomes, missing responses and health checks.

An ejected route gets trial calls only. A route that serves again may be put in slow start, which limits its
call rate for some time.
"""

from __future__ import annotations

import math

from emberlatch.core.actions import Probe
from emberlatch.core.bulkhead import Bulkhead
from emberlatch.core.context import Context
from emberlatch.core.events import Outcome, ProbeResult, Result
from emberlatch.core.records import (
    MIN_RESPONSE_TIMEOUT_S,
    Call,
    EjectionReason,
    Endpoint,
    Pool,
    Route,
)
from emberlatch.core.send_rate import MIN_RATE_SHARE, CongestionEstimate
from emberlatch.core.slow_start import SlowStart

SLOW_LATENCY_RATIO = 3.0  # a route is slow above this multiple of its pool's baseline latency
# After this many response time-outs, a single call without a response shows that its route hangs.
SINGLE_CALL_TIMEOUTS = 1.5
# A rejection is attributed to the rate limit if a smaller share of that limit remains. The value is well
# above 0 because reports of the remaining share lag and are noisy.
EXHAUSTED_LIMIT_SHARE = 0.3
LIVENESS_S = 1.0  # an endpoint counts as serving for this time after a success
OUTAGE_GAP_S = 2.0  # a gap between two successes counts as an outage only if it is longer
# A rejection lowers the send rate by the factor `RATE_DECREASE`. A success adds about the share
# `RATE_INCREASE` of the rate to it.
RATE_DECREASE, RATE_INCREASE = 0.8, 0.03
# A success that reports a nearly exhausted rate limit multiplies the send rate by this.
RATE_DECREASE_AT_LIMIT = 0.95
POOL_DECREASE = 0.7  # factor for a pool's adaptive limit at each failure
# Successes after which a destination's latency is known. From then on, one failure to connect or one time-out
# suffices for an ejection.
KNOWN_ROUTE_SAMPLES = 30
# Consecutive failures needed for an ejection if a single failure of this kind also occurs on a healthy route.
REPEATED_FAILURES = 3
RETRY_BACKOFF_S = 0.05  # doubled with each attempt after FULL and ERROR (see calls.py)
RECENT_LATENCY_WEIGHT, BASELINE_LATENCY_WEIGHT = 0.3, 0.03
RETRY_AFTER_JITTER = 0.3

EJECTION_REASONS = {
    Result.FULL: EjectionReason.FULL,
    Result.ERROR: EjectionReason.ERROR,
    Result.RESET: EjectionReason.RESET,
    Result.TIMEOUT: EjectionReason.TIMEOUT,
    Result.CONNECT_FAILED: EjectionReason.CONNECT_FAILED,
}


class RouteHealth:
    """Ejects and reinstates routes; adapts their send rates and the adaptive limits of their pools."""

    __slots__ = ("_bulkhead", "_congestion", "_context", "_slow_start")

    def __init__(
        self, context: Context, bulkhead: Bulkhead, slow_start: SlowStart, congestion: CongestionEstimate
    ) -> None:
        self._context, self._bulkhead, self._slow_start = context, bulkhead, slow_start
        self._congestion = congestion

    def check(self, pool: Pool) -> None:
        """Eject a pool's unresponsive routes, send due health checks, and mark which routes are unhealthy."""
        now, is_unhealthy = self._context.now, False
        for route in pool.routes:
            if route.calls and not route.ejected and now >= self.response_timeout_at(route):
                self.eject(route, EjectionReason.NO_RESPONSE)  # before the time-out of any of its calls
            if route.ejected and pool.waiting and self._context.settings.probes:
                self._probe(route)
            is_slow = route.recent_latency > SLOW_LATENCY_RATIO * pool.baseline_latency > 0
            route.unhealthy = route.ejected or now < route.slow_start_until or is_slow
            is_unhealthy = is_unhealthy or route.unhealthy
        self._bulkhead.count_unhealthy(pool)
        pool.unhealthy = is_unhealthy

    def _probe(self, route: Route) -> None:
        if route.probe_passed or route.trial_in_flight:
            return
        if self._context.now < max(route.next_trial_at, route.blocked_until):
            return
        if targets := [e.entry.target for e in route.endpoints if e.in_service]:
            route.trial_in_flight = True
            self._context.actions.append(Probe(self._context.random.choice(targets)))

    def response_timeout_at(self, route: Route) -> float:
        """Return the time from which a route counts as hanging if its calls in flight get no response."""
        timeout, pool = route.pool.response_timeout(), route.pool
        calls = iter(route.calls)
        hangs_at = math.inf
        oldest = next(calls)
        if pool.latency_samples >= KNOWN_ROUTE_SAMPLES:  # otherwise the destination may just be slow
            hangs_at = oldest.sent_at + SINGLE_CALL_TIMEOUTS * timeout
        second = next(calls, None)
        if second is not None:
            hangs_at = min(hangs_at, second.sent_at + timeout)
        return max(hangs_at, route.last_success_at + timeout, self._context.stalled_at + timeout)

    def eject(self, route: Route, reason: EjectionReason) -> None:
        """Stop sending calls to a route except trials. A new reason replaces an earlier one."""
        if not route.ejected:
            self._context.log(route, f"ejected after {reason.text}")
        route.ejected, route.probe_passed, route.extra_trial_allowed = True, False, False
        route.slow_start_until = -math.inf
        route.ejection_reason, route.last_failure_at = reason, self._context.now
        route.next_trial_at = self._slow_start.next_call_at(route)

    def reinstate(self, route: Route) -> None:
        """Mark a route as serving.

        Slow start begins if the route has not served for so long that there may have been an outage. Its
        caches and pools may then be cold.
        """
        now = self._context.now
        had_outage = (route.ejected or route.consecutive_failures) and (
            now - max(route.last_success_at, route.slow_start_until) > OUTAGE_GAP_S
        )
        # If most calls fail but not all, a recent success does not show that the route is warm.
        had_outage = had_outage or (route.ejected and route.ejection_reason == EjectionReason.ERROR)
        if route.ejected:
            self._context.log(route, "answers again")
        if route.ejection_reason == EjectionReason.FULL:
            # If every call was rejected, the rejections do not show where the rate limit is. All of them
            # together lower the send rate only as much as a single rejection would.
            route.send_rate = max(route.send_rate, route.last_good_rate * RATE_DECREASE)
        extra_allowed = route.extra_trial_allowed
        route.ejected, route.probe_passed, route.extra_trial_allowed = False, False, False
        route.ejection_reason = EjectionReason.NONE
        if had_outage:
            # The route recovered at an unknown time since its last failure, on average half-way. The errors
            # in the estimates of many forwarders even out. With fewer forwarders, `fair_share` lowers the
            # estimate. It is 0 with at most `UNCOORDINATED_FORWARDERS` forwarders.
            estimated_warm_time = (1 - self._slow_start.fair_share()) * (now - route.last_failure_at) / 2
            route.slow_start_until = now + max(0.0, self._context.rules.slow_start - estimated_warm_time)
            route.next_trial_at = now if extra_allowed else self._slow_start.next_call_at(route)

    def on_probe_result(self, endpoint: Endpoint, event: ProbeResult) -> None:
        """Handle the end of a health check of an ejected route."""
        route = endpoint.route
        route.trial_in_flight = False
        route.read_report(self._context.settings.report_fields, event.report)
        if event.result is Result.OK:
            route.probe_passed, endpoint.last_success_at = True, self._context.now
        else:
            self.eject(route, EjectionReason.PROBE_FAILED)

    def apply_retry_after(self, route: Route, seconds: float) -> None:
        """Block a route that asked to get no calls for some seconds.

        Jitter is added, because other forwarders of the same sender wait for the end of the same period.
        """
        context = self._context
        jitter = min(seconds, OUTAGE_GAP_S) * context.random.uniform(0.0, RETRY_AFTER_JITTER)
        jitter = context.settings.decision_interval + jitter
        route.blocked_until = max(route.blocked_until, context.now + seconds + jitter)

    def record_outcome(self, event: Outcome, call: Call) -> None:
        """Update health, send rate and limits from the outcome of one message of a call."""
        context, result, endpoint = self._context, event.result, call.endpoint
        route, pool = endpoint.route, endpoint.route.pool
        route.trial_in_flight = route.trial_in_flight and not call.is_trial
        route.read_report(context.settings.report_fields, event.report)
        if event.retry_after > 0:  # applies to every message of a call, not only the first
            self.apply_retry_after(route, event.retry_after)
        self._congestion.record(result is Result.FULL)
        if result is Result.OK:
            endpoint.last_success_at = context.now
            endpoint.max_concurrency = min(endpoint.entry.max_concurrency, endpoint.max_concurrency + 0.1)
            is_measured = context.stalled_at < context.now
            self.record_success(route, event.elapsed if is_measured else route.recent_latency)
            if pool.waiting and self._bulkhead.free_slots > 0:
                pool.adaptive_limit = min(self._bulkhead.healthy_pool_limit, pool.adaptive_limit + 1)
        elif not call.failure_counted and result not in (Result.NOT_EXECUTED, Result.CANCELLED):
            call.failure_counted = True
            pool.adaptive_limit = max(1.0, pool.adaptive_limit * POOL_DECREASE)
            self._record_failure(event, call)

    def _record_failure(self, event: Outcome, call: Call) -> None:
        now, result, endpoint = self._context.now, event.result, call.endpoint
        route = endpoint.route
        if result is Result.FULL:
            self._reduce_send_rate(route, len(call.messages))
        if self._is_short_of_capacity(result, call):
            self.reinstate(route)
            return
        if result is Result.TIMEOUT and max(route.last_success_at, endpoint.last_success_at) > call.sent_at:
            return  # a success since the call was sent shows that only this message is slow
        route.last_failure_at = now
        route.failing_since = route.failing_since if route.consecutive_failures else now
        route.consecutive_failures += 1
        if event.retry_after > OUTAGE_GAP_S or self._is_lasting(route, result) or call.is_trial:
            never_connected = result is Result.CONNECT_FAILED and event.elapsed > MIN_RESPONSE_TIMEOUT_S
            self.eject(route, EjectionReason.NO_RESPONSE if never_connected else EJECTION_REASONS[result])
        if result is Result.ERROR and (route.ejected or now < route.slow_start_until):
            # The outage continues, and calls that fail with an error are no load on a recovering route.
            # The next call may follow after a short backoff, and one extra call may follow right after it.
            # If most calls fail but not all, a single success does not show that the route has recovered.
            route.next_trial_at = now + RETRY_BACKOFF_S * self._context.random.uniform(0.5, 1.5)
            route.extra_trial_allowed = self._slow_start.is_frequent(route)

    def _is_short_of_capacity(self, result: Result, call: Call) -> bool:
        """Return whether the endpoint serves but lacks capacity.

        Either it has no free connection for this forwarder, or all forwarders together use up its limit.
        """
        endpoint = call.endpoint
        if result is Result.CONNECT_FAILED and endpoint.last_success_at > call.sent_at - LIVENESS_S:
            endpoint.max_concurrency = max(1.0, endpoint.calls)
            return True
        return result is Result.FULL and endpoint.route.limit_left_share < EXHAUSTED_LIMIT_SHARE

    def _reduce_send_rate(self, route: Route, batched: int) -> None:
        # Demand in calls per second, if each call has as many messages as the rejected one. The message of
        # this outcome is no longer in the call, hence 1 + batched.
        demand = route.demand_share(self._context.now) / (1 + batched)
        recent = max(demand, route.rate_limit / self._context.settings.forwarders / 2)
        route.send_rate = max(min(route.send_rate, 2 * recent), recent * MIN_RATE_SHARE) * RATE_DECREASE

    def _is_lasting(self, route: Route, result: Result) -> bool:
        """Return whether consecutive failures show an outage.

        A single failure may also occur by chance, or because of a full connection table or a lost response. A
        series of rejections as full must also have lasted longer than `OUTAGE_GAP_S`.

        An ejection is expensive for a route with few calls, and one more call sent immediately is safe:
        overload comes from delayed calls that many forwarders send at the same time.
        """
        now, needed = self._context.now, REPEATED_FAILURES
        if result not in (Result.FULL, Result.ERROR, Result.RESET):
            needed = 1 + (route.pool.latency_samples < KNOWN_ROUTE_SAMPLES)
        needed -= result is Result.ERROR and now < route.slow_start_until
        is_long = result is not Result.FULL or now - route.failing_since > OUTAGE_GAP_S
        return route.consecutive_failures >= needed and is_long

    def record_success(self, route: Route, elapsed: float) -> None:
        """Record the latency of a success, reinstate the route and adapt its send rate."""
        pool, samples = route.pool, route.pool.latency_samples
        weight = RECENT_LATENCY_WEIGHT if route.recent_latency else 1.0
        route.recent_latency += (elapsed - route.recent_latency) * weight
        if not samples or not route.unhealthy:  # latencies during an outage must not raise the baseline
            pool.latency_samples = samples = samples + 1
            baseline = pool.baseline_latency
            bounded = min(elapsed, 2 * baseline or elapsed)
            pool.baseline_latency += (bounded - baseline) * max(1 / samples, BASELINE_LATENCY_WEIGHT)
        self.reinstate(route)
        route.consecutive_failures, route.last_success_at = 0, self._context.now
        route.unanswered_since = min((call.sent_at for call in route.calls), default=math.inf)
        if route.send_rate < math.inf and route.rate_limit and route.limit_left_share < EXHAUSTED_LIMIT_SHARE:
            # Reduce the rate before calls are rejected, because rejected calls also count against the limit.
            route.send_rate *= RATE_DECREASE_AT_LIMIT
        elif route.send_rate < math.inf:
            # The sum of the increases of all forwarders does not depend on their number.
            step = RATE_INCREASE * (route.send_rate + self._slow_start.fair_share())
            route.send_rate = min(route.send_rate + step, route.rate_limit or math.inf)
        route.last_good_rate = route.send_rate
