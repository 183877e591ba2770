"""Plans of storms: writing, parsing, generation, and errors that name the invalid key."""

from __future__ import annotations

import pytest

from emberlatch.storm import Fault, Plan, PlanError, generate_plan, parse_plan


@pytest.mark.parametrize("seed", range(0, 200, 10))
def test_a_generated_plan_is_equal_when_parsed_and_when_generated_again(seed: int) -> None:
    plan = generate_plan(seed)
    assert parse_plan(plan.to_toml()) == plan == generate_plan(seed)


def test_generated_plans_contain_faults_of_each_expected_kind() -> None:
    kinds = {fault.kind for seed in range(300) for fault in generate_plan(seed).faults}
    assert kinds >= {"kill", "stop", "term", "wipe", "cut", "delay", "stalls", "throttle", "mute", "break"}
    assert kinds >= {"wall", "rate", "hang", "slow", "reset", "error", "full", "shut"}


def test_a_bidirectional_link_fault_affects_both_directions_of_each_pair() -> None:
    fault = Fault(1.0, "cut", ("f0", "f1"), until=2.0, destinations=("f1", "f2"), bidirectional=True)
    assert set(fault.directions()) == {
        ("f0", "f1"), ("f1", "f0"), ("f0", "f2"), ("f2", "f0"), ("f1", "f2"), ("f2", "f1"),
    }  # fmt: skip


@pytest.mark.parametrize(
    ("fault", "problem"),
    [
        ('at = 1.0\nwhat = "explode"\nwhom = ["f0"]', "'explode' is no fault"),
        ('at = 1.0\nwhat = "kill"\nwhom = ["f9"]', r"fault\[0\].whom"),
        ('at = 1.0\nwhat = "cut"\nwhom = ["f0"]\nuntil = 2.0', r"fault\[0\].to"),
        ('at = 1.0\nwhat = "cut"\nwhom = ["f0"]\nto = ["f1"]', r"fault\[0\].until"),
        ('at = 3.0\nwhat = "stop"\nwhom = ["f0"]\nuntil = 2.0', r"fault\[0\].at"),
        ('at = 1.0\nwhat = "delay"\nwhom = ["f0"]\nto = ["f1"]\nuntil = 2.0', r"fault\[0\].amount"),
        ('at = 1.0\nwhat = "kill"\nwhom = ["f0"]\ncolour = 3', "colour"),
        ('at = "soon"\nwhat = "kill"\nwhom = ["f0"]', r"fault\[0\].at"),
    ],
)
def test_an_invalid_fault_is_rejected_with_its_key_or_kind(fault: str, problem: str) -> None:
    with pytest.raises(PlanError, match=problem):
        parse_plan(f"seed = 1\n[[fault]]\n{fault}\n")


def test_an_invalid_plan_is_rejected_and_member_names_follow_the_count() -> None:
    for text in ("seed = 1\nmembers = 99", "seed = 1\nseconds = 0", "members = 3", "seed = ["):
        with pytest.raises(PlanError):
            parse_plan(text)
    assert Plan(1, member_count=4).member_names == ("f0", "f1", "f2", "f3")
