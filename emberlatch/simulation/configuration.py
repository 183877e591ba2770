"""The configurations that a simulated operator sends. The keys are those of the user documentation."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, TypedDict

FIXED_ENDPOINT_SERVICE = "outside"
FIXED_ENDPOINT = ("172.20.0.3", 8043)


class Route(NamedTuple):
    """Requests for `host` whose path begins with `path_prefix` go to `service`."""

    service: str
    host: str
    path_prefix: str


class Configuration(TypedDict):
    """One revision of the configuration, in the form that the control interface accepts."""

    revision: int
    route_entries: list[dict[str, object]]
    services: list[dict[str, object]]
    limits: dict[str, object]


def build_configuration(
    revision: int, routes: Iterable[Route], services: Iterable[str], rate_limit_per_s: float
) -> Configuration:
    """Build a configuration with these routes; revisions differ in their guard timers.

    With a rate limit other than 0, there is also a service with a fixed endpoint, to which the limit applies.
    """
    service_entries: list[dict[str, object]] = [{"name": name, "max_connections": 60} for name in services]
    if rate_limit_per_s:
        service_entries.append(
            {
                "name": FIXED_ENDPOINT_SERVICE,
                "rate_per_s": rate_limit_per_s,
                "fixed_endpoint": f"{FIXED_ENDPOINT[0]}:{FIXED_ENDPOINT[1]}",
            }
        )
    return {
        "revision": revision,
        "route_entries": [_route_entry(route, revision) for route in routes],
        "services": service_entries,
        "limits": {},
    }


def _route_entry(route: Route, revision: int) -> dict[str, object]:
    return {
        "name": f"r-{route.service}",
        "host_name": route.host,
        "path_prefix": route.path_prefix,
        "route_type": "deferred",
        "guard_timer_ms": 1000 + revision % 7,
        "nominal_ms": 80,
        "priority": 1,
        "service": route.service,
        "max_attempts": 4,
        "in_order": False,
        "retention_s": 60.0,
        "notify_uri": False,
        "nominal_start_ms": 800,
    }
