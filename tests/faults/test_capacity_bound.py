"""The capacity bound against hand-computed counts: limits, outages, warm-ups, waits and due times."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from unittest.mock import patch

import pytest

from emberlatch.faults import Plan, draw_mixed, run_plan
from emberlatch.faults.capacity_bound import CapacityBound, DemandedMessage
from emberlatch.faults.clients import SimulatedClients
from emberlatch.standins.endpoint_model import Behaviour, Condition

BEHAVIOURS = {
    "a": Behaviour(service_time_s=0.1, workers=1, warm_up_s=10.0, warm_up_start_share=0.2),
    "b": Behaviour(service_time_s=0.1, rate_limit_per_s=2.0),
}


def make_bound(per_call: int = 1, sender_count: int = 1) -> CapacityBound:
    capacity_bound = CapacityBound(BEHAVIOURS, {"a": per_call, "b": per_call}, sender_count)
    for name in ("a-east", "b-east"):
        capacity_bound.on_listed(0.0, name, True)
    return capacity_bound


def steady_demand(
    partner: str, rate_per_s: int, duration_s: int, latency_target_s: float = 1.0
) -> list[DemandedMessage]:
    """Return messages at a constant rate for `duration_s` seconds, starting at 1 s."""
    return [
        DemandedMessage(partner, at, at + latency_target_s)
        for at in (1 + n / rate_per_s for n in range(rate_per_s * duration_s))
    ]


@pytest.mark.parametrize(
    ("partner", "per_call", "rate_per_s", "least", "most"),
    [
        ("a", 1, 5, 50, 50),  # half of the capacity
        ("a", 1, 20, 100, 115),  # twice the capacity: 10 a second for 10 s, then messages still in time
        ("a", 3, 20, 170, 195),  # a call with three messages takes 1.7 times as long
        ("b", 1, 10, 20, 25),  # limit of 2 calls a second
        ("b", 4, 10, 80, 95),  # the same limit, with 4 messages in each call
    ],
)
def test_servable_count_is_limited_by_capacity_and_rate_limit(
    partner: str, per_call: int, rate_per_s: int, least: int, most: int
) -> None:
    assert (
        least
        <= make_bound(per_call).count_servable(steady_demand(partner, rate_per_s, 10), 0.0, 99.0)
        <= most
    )


def test_outage_allows_nothing_and_warm_up_allows_a_reduced_rate() -> None:
    capacity_bound = make_bound()
    capacity_bound.on_condition(3.0, "a-east", Condition.HANG)
    capacity_bound.on_condition(6.0, "a-east", Condition.HEALTHY)
    demand = steady_demand("a", 8, 20)
    # Requests before 5 s are due before the outage ends at 6 s:
    assert capacity_bound.count_servable(demand, 3.0, 5.0) <= 2
    assert 2 * 2 <= capacity_bound.count_servable(demand, 6.0, 8.0) <= 2 * 4  # warm-up: 2 to 3.6 a second
    assert capacity_bound.count_servable(demand, 16.0, 20.0) == 4 * 8


@pytest.mark.parametrize("how", ["listed", "reached", "waits"])
def test_endpoint_that_drains_is_unreachable_or_makes_all_senders_wait_serves_nothing(how: str) -> None:
    capacity_bound = make_bound(sender_count=2)
    if how == "listed":
        capacity_bound.on_listed(3.0, "a-east", False)
        capacity_bound.on_listed(6.0, "a-east", True)
    elif how == "reached":
        capacity_bound.on_reachability(3.0, "a-east", False)
        capacity_bound.on_reachability(6.0, "a-east", True)
    else:
        capacity_bound.on_retry_after(3.0, "a-east", "f0", 3.0)
        # The other sender may still send:
        assert capacity_bound.count_servable(steady_demand("a", 5, 10, latency_target_s=0.5), 3.0, 5.0) == 10
        capacity_bound.on_retry_after(3.0, "a-east", "f1", 3.0)
    demand = steady_demand("a", 5, 10, latency_target_s=0.5)
    assert capacity_bound.count_servable(demand, 3.0, 5.4) <= 1
    assert capacity_bound.count_servable(demand, 6.0, 10.0) == 20


def test_messages_are_served_in_order_of_due_time() -> None:
    late_due = [DemandedMessage("a", 1.0, 20.0) for _ in range(20)]
    early_due = [DemandedMessage("a", 1.5, 2.5) for _ in range(9)]
    assert make_bound().count_servable(late_due + early_due, 0.0, 99.0) == 29


def test_forwarder_that_serves_nothing_is_reported_though_the_total_suffices() -> None:
    """Nine of ten forwarders serve enough for the required total.

    This total must not hide the forwarder that serves nothing.
    """
    real = SimulatedClients.served_in_time

    def served_in_time(self: SimulatedClients, *span: Any) -> Iterator[tuple[float, bool]]:
        return ((at, done and self.name != "f3") for at, done in real(self, *span))

    plan = Plan(1, duration_s=34.0, rate_per_s=1.0, forwarder_count=10)
    assert not run_plan(plan).breaches
    with patch.object(SimulatedClients, "served_in_time", served_in_time):
        assert [breach.text[:3] for breach in run_plan(plan).breaches] == ["f3 "]


def test_simulated_runs_serve_something_and_at_most_the_bound() -> None:
    for seed in range(6):
        served_in_time, capacity_bound = run_plan(draw_mixed(seed)).since_last_fault
        assert 0 < served_in_time <= capacity_bound
