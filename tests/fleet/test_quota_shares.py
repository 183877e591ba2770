"""Quota shares: their sum never exceeds the limit. A share drops at once and grows gradually."""

from __future__ import annotations

import itertools

import pytest

from emberlatch.fleet.membership_change import membership_change_error
from emberlatch.fleet.quota_shares import ISOLATED_FRACTION, RAMP_S, IsolationPolicy, QuotaShareController

POLICIES = {"payout": IsolationPolicy.REFUSE, "note": IsolationPolicy.REDUCED_SHARE}


def test_a_share_grows_from_the_isolated_fraction_to_the_full_share_within_a_second() -> None:
    controller = QuotaShareController(POLICIES, 0.0)
    controller.update(0.0, 4, True)
    assert controller.share_at(0.0).fraction == pytest.approx(ISOLATED_FRACTION / 4)
    assert controller.next_change_at(0.0) is None
    controller.update(1.0, 4, False)
    fractions = []
    now: float | None = 1.0
    while now is not None:
        fractions.append(controller.share_at(now).fraction)
        controller.update(now, 4, False)  # repeating the same state changes nothing
        last, now = now, controller.next_change_at(now)
    assert fractions[0] == pytest.approx(ISOLATED_FRACTION / 4) and fractions[-1] == pytest.approx(1 / 4)
    assert last <= 1.0 + RAMP_S + 0.11
    steps = [b - a for a, b in itertools.pairwise(fractions)]
    assert all(0 < step <= 0.2 / 4 for step in steps)


def test_an_isolation_lowers_the_share_at_once_and_closes_classes_with_the_refuse_policy() -> None:
    controller = QuotaShareController(POLICIES, 0.0)
    controller.update(0.0, 2, False)
    assert controller.share_at(5.0).fraction == 0.5 and controller.share_at(5.0).closed_classes == frozenset()
    controller.update(5.0, 2, True)
    assert controller.share_at(5.0).fraction == pytest.approx(ISOLATED_FRACTION / 2)
    assert controller.share_at(5.0).closed_classes == {"payout"}


def test_an_isolated_member_with_an_own_policy_class_keeps_its_full_share() -> None:
    controller = QuotaShareController({"payout": IsolationPolicy.FULL_SHARE}, 0.0)
    controller.update(0.0, 2, True)
    assert controller.share_at(0.0).fraction == 0.5 and controller.share_at(0.0).closed_classes == frozenset()


def test_the_shares_on_all_sides_of_any_partition_never_sum_to_more_than_the_limit() -> None:
    for size in range(1, 7):
        for isolations in itertools.product((True, False), repeat=size):
            total = 0.0
            for is_isolated in isolations:
                controller = QuotaShareController(POLICIES, 0.0)
                controller.update(0.0, size, is_isolated)
                total += controller.share_at(10.0).fraction
            assert total <= 1.0 + 1e-9


def test_a_membership_change_is_rejected_unless_one_member_changes() -> None:
    old = {"a": ("h", 1), "b": ("h", 2), "c": ("h", 3)}
    assert membership_change_error(old, old | {"d": ("h", 4)}, "a") == ""
    assert membership_change_error(old, old | {"b": ("h", 9)}, "a") == ""
    two = {"a": ("h", 1), "b": ("h", 2), "d": ("h", 4)}
    assert "at once" in membership_change_error(old, two, "a")
    assert "'a'" in membership_change_error(old, {"b": ("h", 2), "c": ("h", 3)}, "a")
