"""Quota shares of a rate limit, closed categories, and retry-afters received from peers."""

from __future__ import annotations

from typing import Any

import pytest

from emberlatch import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.interface import DirectoryUpdate, Entry, ListKind, Result
from tests.core.test_endpoint_list import RULES

NOTE = api.Category("note", api.Effect.SAFE, latency_target=3.0, deadline=12.0)
ORDER = api.Category("order", api.Effect.UNSAFE, latency_target=3.0, deadline=12.0)
LIMIT = 24.0


def forwarder(quota_share: float = 0.0, **more: Any) -> Forwarder:
    values: dict[str, Any] = {"categories": (NOTE, ORDER), "slots": 100, "open_cap": 2000, "rules": RULES}
    values |= {"max_attempts": 6, "separate_routes": (True,), "weights": api.Weights.NOMINAL}
    made = Forwarder(
        api.Settings(quota_share=quota_share, retry_after=True, max_retry_after=5.0, **values, **more), seed=1
    )
    made.handle(0.0, [DirectoryUpdate(ListKind.CACHED, 1, (Entry(b"t", 7, weight=LIMIT),))])
    return made


def calls(made: Forwarder, seconds: float, rate: float) -> list[float]:
    """Run with `rate` arrivals per second and return the start times of the calls.

    Each call is answered after 10 ms.
    """
    started: list[float] = []
    step, ref, pending = 1 / rate, 0, list[tuple[float, api.Outcome]]()
    now = 0.0
    while now < seconds:
        events: list[api.Event] = [outcome for at, outcome in pending if at <= now]
        pending = [item for item in pending if item[0] > now]
        ref += 1
        for action in made.handle(now, [*events, api.Arrival(ref, 0, 7, 12.0), api.TimerFired(0)]):
            if isinstance(action, api.Send):
                started.append(now)
                attempt = made.open_messages[action.ref].attempts - 1
                done = api.Outcome(action.ref, attempt, b"t", Result.OK, 0.01, is_final=True)
                pending.append((now + 0.01, done))
        now += step
    return started


@pytest.mark.parametrize("quota_share", [1 / 2, 1 / 3, 1 / 12])
def test_a_quota_share_is_used_up_by_demand_but_not_exceeded(quota_share: float) -> None:
    started = calls(forwarder(quota_share), 20.0, 60.0)
    bound = quota_share * LIMIT
    per_second = [sum(1 for at in started if begin <= at < begin + 1.0) for begin in range(5, 19)]
    assert max(per_second) <= bound + max(1.0, bound) + 1
    assert sum(per_second) <= bound * len(per_second) + 2
    assert sum(per_second) >= 0.9 * bound * len(per_second)


def test_without_a_quota_share_calls_exceed_the_rate_limit() -> None:
    assert len(calls(forwarder(), 10.0, 60.0)) > 10 * LIMIT


def test_a_closed_category_is_rejected_at_once_with_its_retry_after() -> None:
    made = forwarder(closed_categories=(1,), closed_retry_after=1.5)
    assert made.handle(1.0, [api.Arrival(1, 1, 7, 12.0)])[:1] == [api.Reject(1, 1.5)]
    assert 1 not in made.open_messages
    assert any(isinstance(a, api.Send) for a in made.handle(1.1, [api.Arrival(2, 0, 7, 12.0)]))
    opened = api.Settings((NOTE, ORDER), 100, 2000, RULES)
    done = api.Outcome(2, 0, b"t", Result.OK, 0.1, is_final=True)
    made.handle(1.2, [api.SettingsChanged(opened), done])
    assert any(isinstance(a, api.Send) for a in made.handle(1.3, [api.Arrival(3, 1, 7, 12.0)]))


def test_no_call_is_sent_before_the_end_of_a_peers_retry_after() -> None:
    made = forwarder()
    made.handle(1.0, [api.PeerRetryAfter(b"t", 2.0), api.PeerRetryAfter(b"gone", 9.0)])
    sent = [a for a in made.handle(1.5, [api.Arrival(1, 0, 7, 12.0)]) if isinstance(a, api.Send)]
    assert sent == []
    made.handle(1.6, [api.PeerRetryAfter(b"t", 0.1)])  # a shorter retry-after does not replace it
    while not sent:
        at = made.timer.next_at
        sent = [a for a in made.handle(at, [api.TimerFired(0)]) if isinstance(a, api.Send)]
    assert 3.0 <= at <= 3.0 + 2.0
