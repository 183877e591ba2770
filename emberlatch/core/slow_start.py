"""Slow start: limits the rate at which all forwarders together call a route that recovers from an outage.

The rules state the rate that a recovering destination can process while its caches and pools are cold. No
forwarder knows what the others send, so each uses its share of that rate.
"""

from __future__ import annotations

import math

from emberlatch.core.context import Context
from emberlatch.core.records import EjectionReason, Route

# The load of all forwarders together may reach this share of the load that would overload a recovering route.
SLOW_START_BUDGET = 0.75
MIN_TRIAL_CALLS = 4.0  # calls per overload window that all forwarders may send even to a small route
# Each of up to this many forwarders may act as if it were alone. If there are more, all of them together may
# do as much as this many.
UNCOORDINATED_FORWARDERS = 3
FAST_FAILURES = (
    EjectionReason.NONE,
    EjectionReason.FULL,
    EjectionReason.ERROR,
    EjectionReason.RESET,
    EjectionReason.CONNECT_FAILED,
)
"""Reasons for ejection in which a failed call takes almost no time."""


class SlowStart:
    """Decides how often a route that is ejected or in slow start may be called. Has no state of its own."""

    __slots__ = ("_context",)

    def __init__(self, context: Context) -> None:
        self._context = context

    def rate(self, route: Route) -> float:
        """Return the calls per second of this forwarder: its share of the rate allowed to all forwarders.

        A route would be overloaded if many forwarders each had a minimum rate of their own, or if all of them
        resumed together at the end of one retry-after.
        """
        context, rules = self._context, self._context.rules
        remaining = max(route.slow_start_until - context.now, 0.0) if not route.ejected else math.inf
        warm_share = 1 - (1 - rules.slow_start_share) * min(1.0, remaining / max(rules.slow_start, 1e-9))
        highest, forwarders = route.demand_share(context.now), context.settings.forwarders
        if route.ejection_reason in FAST_FAILURES:
            # A failed trial is cheap, so the known rate limit counts as well. After other failures only the
            # demand counts, because a trial that hangs delays its messages.
            highest = max(highest, route.rate_limit / forwarders / route.max_batch())
        lowest = MIN_TRIAL_CALLS / rules.overload_window / forwarders
        return max(SLOW_START_BUDGET * rules.overload_factor * warm_share * highest, lowest)

    def is_frequent(self, route: Route) -> bool:
        """Return whether more than one call per overload window is allowed."""
        return self.rate(route) * self._context.rules.overload_window > 1

    def next_call_at(self, route: Route) -> float:
        """Return when this forwarder may send its next call.

        That is after a gap, which begins now, or at the end of the retry-after if there is one. The gap is
        random if calls are rare.

        If the route is ejected, a retry-after states when the outage ends. All forwarders that got it resume
        then. Up to `MIN_TRIAL_CALLS` forwarders call at once. If there are more, each calls after a shortened
        random gap.

        If the route serves calls, a retry-after indicates a rate limit. A forwarder that called at the end of
        each retry-after would be rejected more often. The gap is therefore not shortened.
        """
        context = self._context
        rate = self.rate(route)
        is_frequent = rate * context.rules.overload_window > 1
        gap = 1 / rate if is_frequent else context.random.expovariate(rate)
        if route.ejected and route.blocked_until > context.now:
            gap *= max(0.0, 1 - MIN_TRIAL_CALLS / context.settings.forwarders)
            gap *= context.random.random() if is_frequent else 1.0
        return max(context.now, route.blocked_until) + gap

    def fair_share(self) -> float:
        """Return this forwarder's share of what forwarders may do without coordination, from 0 to 1.

        The share is 1 for up to `UNCOORDINATED_FORWARDERS` forwarders. If there are more, their shares add up
        to that number.
        """
        return min(1.0, UNCOORDINATED_FORWARDERS / self._context.settings.forwarders)
