"""A read-only snapshot of the decision module for operators.

The keys and states are part of the `status` answer on the control socket: do not change them.
"""

from __future__ import annotations

import math
from typing import Literal, NamedTuple, TypedDict

from emberlatch.core.forwarder import Forwarder
from emberlatch.core.records import Endpoint, Pool, Route

MAX_POOLS = 500  # maximum number of pools in a snapshot


class EndpointView(TypedDict):
    """One endpoint of a route."""

    target: str
    """Name of the endpoint."""
    phase: Literal["serving", "draining", "gone"]


RouteState = Literal["open", "told to wait", "held", "returning"]
"""State of a route, in this order: in use, blocked by a retry-after, ejected, in slow start."""


class RouteView(TypedDict):
    """One route of a pool: one or more endpoints that share one health state."""

    endpoints: list[EndpointView]
    state: RouteState
    wait: float
    """Seconds until its retry-after ends; 0 without one."""
    calls: int
    """Number of calls in flight."""
    recent: float
    """Moving average of its latency in seconds; 0 while unknown."""
    limit: float
    """Calls per second that it accepts from all forwarders; 0 while unknown."""
    pace: float | None
    """Maximum calls per second from this forwarder; None while there is no limit."""


PoolView = TypedDict(  # noqa: UP013 - the class syntax would define the withdrawn word `sick` as a name
    "PoolView",
    {
        "destination": int,
        "leases": int,  # calls in flight
        "waiting": int,  # messages without a lease
        "normal": float,  # baseline latency in seconds; 0 while unknown
        "sick": bool,  # whether one of its routes is unhealthy
        "routes": list[RouteView],
    },
)
"""The pool of one destination."""


class ForwarderView(TypedDict):
    """State of one forwarder's decision module."""

    slots: int
    """Maximum number of calls in flight."""
    slots_free: int
    open: int
    """Number of accepted messages without a final answer."""
    endpoints: int
    destinations: int
    pools: list[PoolView]
    """Pools that are or have been in use, or have an endpoint that gets no calls; at most `MAX_POOLS`."""


class EndpointCounts(NamedTuple):
    """Numbers of listed and of unavailable endpoints of one forwarder."""

    listed: int
    unavailable: int
    """Listed endpoints that get no messages now: draining, or on a route that is ejected or blocked by a
    retry-after."""


def view(forwarder: Forwarder, now: float) -> ForwarderView:
    """Return the snapshot of a forwarder as plain values; times are in seconds.

    Pools that have never been used are left out, unless one of their endpoints gets no calls.
    """
    used = [(number, pool) for number, pool in forwarder.pools.items() if _is_of_interest(pool, now)]
    return {
        "slots": forwarder.context.settings.slots,
        "slots_free": forwarder.free_slots,
        "open": len(forwarder.open_messages),
        "endpoints": len(forwarder.endpoints),
        "destinations": len(forwarder.pools),
        "pools": [_pool(number, pool, now) for number, pool in used[:MAX_POOLS]],
    }


def count_endpoints(forwarder: Forwarder, now: float) -> EndpointCounts:
    """Return the number of listed endpoints, and the number of these that get no messages now."""
    listed = [endpoint for endpoint in forwarder.endpoints.values() if not endpoint.removed]
    unavailable = sum(not e.in_service or e.route.ejected or e.route.blocked_until > now for e in listed)
    return EndpointCounts(len(listed), unavailable)


def _is_of_interest(pool: Pool, now: float) -> bool:
    if pool.leases or pool.waiting or pool.latency_samples:
        return True
    return any(
        route.blocked_until > now or route.ejected or not _is_in_service(route) for route in pool.routes
    )


def _is_in_service(route: Route) -> bool:
    return all(endpoint.in_service for endpoint in route.endpoints)


def _pool(destination: int, pool: Pool, now: float) -> PoolView:
    return {
        "destination": destination,
        "leases": pool.leases,
        "waiting": len(pool.waiting),
        "normal": round(pool.baseline_latency, 4),
        "sick": pool.unhealthy,
        "routes": [_route(route, now) for route in pool.routes],
    }


def _route(route: Route, now: float) -> RouteView:
    return {
        "endpoints": [_endpoint(endpoint) for endpoint in route.endpoints],
        "state": _state(route, now),
        "wait": round(max(0.0, route.blocked_until - now), 3),
        "calls": len(route.calls),
        "recent": round(route.recent_latency, 4),
        "limit": route.rate_limit,
        "pace": None if route.send_rate == math.inf else round(route.send_rate, 2),
    }


def _state(route: Route, now: float) -> RouteState:
    if now < route.blocked_until:
        return "told to wait"
    if route.ejected:
        return "held"
    return "returning" if now < route.slow_start_until else "open"


def _endpoint(endpoint: Endpoint) -> EndpointView:
    return {
        "target": endpoint.entry.target.decode("utf-8", "replace"),
        "phase": "gone" if endpoint.removed else "serving" if endpoint.in_service else "draining",
    }
