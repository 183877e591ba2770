"""Send rates: limits the calls per second to each route.

A call that is rejected quickly frees its lease at once, so the lease limit of a pool does not slow down calls
to a route that rejects them. A send rate does.
"""

from __future__ import annotations

import math

from emberlatch.core.context import Context
from emberlatch.core.records import Route

# The initial send rate is this multiple of an even share of a known limit, because other forwarders may need
# less than their shares.
INITIAL_SHARE_FACTOR = 1.5
# Minimum send rate as a share of this forwarder's demand. The second share is added to it, in proportion to
# the spare capacity.
MIN_RATE_SHARE, UNCONGESTED_RATE_SHARE = 0.5, 0.7
CONGESTION_WEIGHT = 0.05  # weight of one outcome in the moving average of the rejected share
CONGESTION_PENALTY = 6.0  # the spare capacity is 1 minus this multiple of the rejected share
MIN_SEND_RATE = 1e-6


class CongestionEstimate:
    """Estimates the spare capacity from the share of this forwarder's calls that are rejected as full.

    Attributes:
        rejected_share: moving average of the share of rejected calls, over all destinations.
        spare_capacity: a value from 0 to 1; 1 if no calls are rejected, 0 if a sixth of them or more are.
    """

    __slots__ = ("rejected_share", "spare_capacity")

    def __init__(self) -> None:
        self.rejected_share, self.spare_capacity = 0.0, 1.0

    def record(self, is_rejected: bool) -> None:
        """Update the estimate with the outcome of a call."""
        self.rejected_share += CONGESTION_WEIGHT * (is_rejected - self.rejected_share)
        self.spare_capacity = max(0.0, 1 - CONGESTION_PENALTY * self.rejected_share)


class RateControl:
    """Decides by the send rate whether a route that is not ejected may be called."""

    __slots__ = ("_congestion", "_context")

    def __init__(self, context: Context, congestion: CongestionEstimate) -> None:
        self._context, self._congestion = context, congestion

    def has_token(self, route: Route) -> bool:
        """Return whether the route's token bucket has a token now. A call takes the token when it starts."""
        context = self._context
        if route.send_rate == math.inf:  # set it now: a burst could exceed a known limit
            share = INITIAL_SHARE_FACTOR * route.rate_limit / context.settings.forwarders
            route.send_rate = share or math.inf
        rate, quota = self.rate(route), self.quota(route)
        depth = max(1 + 2 * self._congestion.spare_capacity * (1 - min(rate, 1.0)), rate / 2)
        if quota:
            depth = max(1.0, min(depth, quota))
        return route.token_bucket.refill(context.now, rate, depth) >= 1

    def rate(self, route: Route) -> float:
        """Return the permitted calls per second.

        The rate is at least `MIN_RATE_SHARE` of this forwarder's demand. This minimum counts full batches,
        because waiting messages are sent in one call. In proportion to the spare capacity, up to
        `UNCONGESTED_RATE_SHARE` of the demand is added. A quota limits the result.
        """
        lowest = MIN_RATE_SHARE / route.max_batch() + UNCONGESTED_RATE_SHARE * self._congestion.spare_capacity
        rate = max(route.send_rate, lowest * route.demand_share(self._context.now), MIN_SEND_RATE)
        quota = self.quota(route)
        return min(rate, quota) if quota else rate

    def quota(self, route: Route) -> float:
        """Return this forwarder's share of a known limit in calls per second; 0 if no shares are assigned."""
        return self._context.settings.quota_share * route.rate_limit
