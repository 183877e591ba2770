"""The operators' view of the decision module: its keys, their order and its values."""

from __future__ import annotations

import json
from typing import get_type_hints

from emberlatch import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.view import (
    EndpointCounts,
    EndpointView,
    ForwarderView,
    PoolView,
    RouteView,
    count_endpoints,
    view,
)

SETTINGS = api.Settings((api.Category("order", api.Effect.SAFE, 1.0, 4.0),), 6, 30)
ENTRIES = (api.Entry(b"a", 7), api.Entry(b"b", 7, phase=api.Phase.DRAINING), api.Entry(b"c", 8))


def make_forwarder() -> Forwarder:
    """Return a forwarder with a message in flight to destination 7 and no message for destination 8.

    One of the two endpoints of destination 7 is draining.
    """
    forwarder = Forwarder(SETTINGS, 1)
    forwarder.handle(0.0, iter([api.DirectoryUpdate(api.ListKind.FULL, 1, ENTRIES)]))
    forwarder.handle(0.1, iter([api.Arrival(1, 0, 7, 4.0)]))
    return forwarder


def test_a_view_has_the_keys_of_its_types_in_their_order() -> None:
    snapshot = view(make_forwarder(), 0.1)
    assert list(snapshot) == ["slots", "slots_free", "open", "endpoints", "destinations", "pools"]
    assert list(snapshot) == list(get_type_hints(ForwarderView))
    (pool,) = snapshot["pools"]
    assert list(pool) == ["destination", "leases", "waiting", "normal", "sick", "routes"]
    assert list(pool) == list(get_type_hints(PoolView))
    for route in pool["routes"]:
        assert list(route) == ["endpoints", "state", "wait", "calls", "recent", "limit", "pace"]
        assert list(route) == list(get_type_hints(RouteView))
        for endpoint in route["endpoints"]:
            assert list(endpoint) == ["target", "phase"] == list(get_type_hints(EndpointView))
    assert json.loads(json.dumps(snapshot)) == snapshot


def test_a_view_shows_slots_messages_and_the_pools_that_are_used() -> None:
    snapshot = view(make_forwarder(), 0.1)
    assert (snapshot["slots"], snapshot["slots_free"], snapshot["open"]) == (6, 5, 1)
    assert (snapshot["endpoints"], snapshot["destinations"]) == (3, 2)
    (pool,) = snapshot["pools"]
    assert (pool["destination"], pool["leases"], pool["waiting"], pool["sick"]) == (7, 1, 0, False)
    phases = {each["target"]: each["phase"] for route in pool["routes"] for each in route["endpoints"]}
    assert phases == {"a": "serving", "b": "draining"}


def test_draining_endpoints_and_those_blocked_by_a_retry_after_are_unavailable() -> None:
    forwarder = make_forwarder()
    assert count_endpoints(forwarder, 0.1) == EndpointCounts(listed=3, unavailable=1)
    next(e for e in forwarder.endpoints.values() if e.entry.target == b"c").route.blocked_until = 0.5
    assert count_endpoints(forwarder, 0.1) == EndpointCounts(listed=3, unavailable=2)
    assert count_endpoints(forwarder, 0.6) == EndpointCounts(listed=3, unavailable=1)
