"""The bulkhead: limits how many of the forwarder's call slots one destination may lease."""

from __future__ import annotations

import math

from emberlatch.core.records import Call, Pool

# Ratio of a pool's lease limit to the concurrency it needs at peak (peak rate times latency).
POOL_HEADROOM = 1.5


class Bulkhead:
    """Owns the call slots.

    Attributes:
        free_slots: slots available for new calls; negative while more slots are leased than are configured.
        unhealthy_calls: calls in flight on the unhealthy routes of all pools.
        healthy_pool_limit, unhealthy_pool_limit: maximum number of slots that one pool may lease.
    """

    __slots__ = ("free_slots", "healthy_pool_limit", "unhealthy_calls", "unhealthy_pool_limit")

    def __init__(self, slots: int) -> None:
        self.free_slots = slots
        self.unhealthy_calls = 0
        self._set_limits(slots)

    def _set_limits(self, slots: int) -> None:
        self.healthy_pool_limit = max(1, math.ceil(slots * 3 / 4) - 1)
        self.unhealthy_pool_limit = max(1, slots // 2)

    def resize(self, old_slots: int, new_slots: int) -> None:
        """Change the number of slots from `old_slots` to `new_slots`."""
        self.free_slots += new_slots - old_slots
        self._set_limits(new_slots)

    def lease_limit(self, pool: Pool) -> int:
        """Return the maximum number of leases for a pool.

        The limit is the larger of the pool's peak concurrency with headroom and its adaptive limit. It is at
        most `healthy_pool_limit`, or `unhealthy_pool_limit` if the pool is unhealthy.
        """
        wanted = math.ceil(max(pool.peak_rate, pool.window_arrivals) * pool.baseline_latency * POOL_HEADROOM)
        wanted += pool.latency_samples > 0
        cap = self.unhealthy_pool_limit if pool.unhealthy else self.healthy_pool_limit
        return int(min(cap, max(1, wanted, pool.adaptive_limit)))

    @property
    def has_unhealthy_quota(self) -> bool:
        """Return whether another call may use an unhealthy route.

        Several unhealthy destinations could together occupy every slot, even if each is within its own limit.
        Therefore all calls on unhealthy routes share one half of the slots.
        """
        return self.unhealthy_calls < self.unhealthy_pool_limit

    def on_call_started(self, call: Call) -> None:
        """Count the slot that a new call leases."""
        route = call.endpoint.route
        self.free_slots -= 1
        self.unhealthy_calls += route.unhealthy
        route.pool.unhealthy_calls += route.unhealthy

    def count_unhealthy(self, pool: Pool) -> None:
        """Recount a pool's calls on unhealthy routes."""
        count = sum(len(route.calls) for route in pool.routes if route.unhealthy)
        self.unhealthy_calls += count - pool.unhealthy_calls
        pool.unhealthy_calls = count
