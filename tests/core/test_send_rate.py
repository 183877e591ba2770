"""The send rate of one of many forwarders that share a rate limit."""

from __future__ import annotations

from typing import Any

import pytest

from emberlatch import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.interface import DirectoryUpdate, Entry, ListKind, Result
from emberlatch.core.records import EjectionReason, Route
from tests.core.test_endpoint_list import RULES

NOTE = api.Category("note", api.Effect.SAFE, latency_target=3.0, deadline=12.0)
LIMIT = 12.0  # calls per second, reported in every response


def limited_forwarder(forwarders: int) -> tuple[Forwarder, Route]:
    """Return one of `forwarders` forwarders and its route.

    The first call to the route was rejected, which has set the send rate.
    """
    values: dict[str, Any] = {"categories": (NOTE,), "slots": 6, "open_cap": 200, "rules": RULES}
    values |= {"max_attempts": 6, "separate_routes": (True,), "report_fields": ("x0", "x1")}
    made = Forwarder(api.Settings(forwarders=forwarders, **values), seed=1)
    made.handle(0.0, [DirectoryUpdate(ListKind.CACHED, 1, (Entry(b"t", 7),))])
    answer(made, 1, 1.0, Result.FULL, 0.5)
    return made, made.pools[7].routes[0]


def answer(made: Forwarder, ref: int, at: float, result: Result, remaining_share: float) -> None:
    """Submit a message and answer its call; the answer reports `remaining_share` of the limit as unused."""
    sent = [a for a in made.handle(at, [api.Arrival(ref, 0, 7, 12.0)]) if isinstance(a, api.Send)]
    while not sent:
        at = made.timer.next_at
        sent = [a for a in made.handle(at, [api.TimerFired(0)]) if isinstance(a, api.Send)]
    for send in sent:
        attempt = made.open_messages[send.ref].attempts - 1
        done = api.Outcome(send.ref, attempt, b"t", result, 0.05, report=(remaining_share, LIMIT))
        made.handle(at + 0.05, [done if result is not Result.OK else _closed(done)])


def _closed(done: api.Outcome) -> api.Outcome:
    return api.Outcome(done.ref, done.attempt, b"t", Result.OK, 0.05, is_final=True, report=done.report)


def total_rate_change(forwarders: int, remaining_share: float) -> float:
    """Return by how much one success changes the send rate, multiplied by the number of forwarders."""
    made, route = limited_forwarder(forwarders)
    route.send_rate = LIMIT / forwarders / 2
    before = route.send_rate
    answer(made, 2, 20.0, Result.OK, remaining_share)
    return (route.send_rate - before) * forwarders


def test_the_sum_of_rate_increases_does_not_grow_with_the_number_of_forwarders() -> None:
    assert total_rate_change(40, 0.8) == pytest.approx(total_rate_change(3, 0.8), rel=0.05)
    assert total_rate_change(120, 0.8) == pytest.approx(total_rate_change(3, 0.8), rel=0.05)


@pytest.mark.parametrize("forwarders", [1, 3, 40])
def test_a_success_at_an_exhausted_limit_lowers_the_send_rate(forwarders: int) -> None:
    assert total_rate_change(forwarders, 0.1) < 0 < total_rate_change(forwarders, 0.8)


def test_the_send_rate_never_grows_beyond_the_rate_limit() -> None:
    made, route = limited_forwarder(1)
    for n in range(200):
        answer(made, 10 + n, 20.0 + n, Result.OK, 0.9)
    assert route.send_rate == LIMIT


def slow_start_duration(forwarders: int, last_failure: float) -> float:
    """Return the duration in seconds of a route's slow start after an outage.

    The route is ejected at 10 s, fails for the last time at `last_failure` and serves again at 30 s.
    """
    made, route = limited_forwarder(forwarders)
    made.context.now = 10.0
    made.health.eject(route, EjectionReason.NO_RESPONSE)
    if last_failure > 10.0:
        made.handle(last_failure, [])
        call = route.endpoints[0].start_call(last_failure, is_trial=True)
        made.health.record_outcome(api.Outcome(1, 0, b"t", Result.CONNECT_FAILED, 0.01), call)
        assert route.ejection_reason == "connect_failed"
    made.handle(30.0, [])
    made.health.record_success(route, 0.01)
    assert not route.ejected
    return route.slow_start_until - 30.0


@pytest.mark.parametrize("last_failure", [10.0, 18.0, 29.0])
def test_one_of_many_forwarders_assumes_the_outage_ended_half_way_since_the_last_failure(
    last_failure: float,
) -> None:
    estimate = (1 - 3 / 40) * (30.0 - last_failure) / 2
    assert slow_start_duration(40, last_failure) == pytest.approx(max(0.0, RULES.slow_start - estimate))
    assert (
        slow_start_duration(3, last_failure)
        == slow_start_duration(1, last_failure)
        == pytest.approx(RULES.slow_start)
    )


def test_slow_start_uses_the_known_limit_after_fast_failures_and_demand_after_a_hang() -> None:
    made, route = limited_forwarder(40)
    rates = {}
    for elapsed in (0.01, 1.0):  # a connection attempt without response occupies a lease for 1 s
        route.ejected = False
        call = route.endpoints[0].start_call(made.context.now, is_trial=True)
        made.health.record_outcome(api.Outcome(1, 0, b"t", Result.CONNECT_FAILED, elapsed), call)
        rates[elapsed] = made.slow_start.rate(route)
    assert rates[0.01] > 1.5 * rates[1.0]
