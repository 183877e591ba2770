"""The rule checks report violations and nothing else; plans can be generated, printed and parsed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from emberlatch.faults import PLAN_GENERATORS, Fault, FaultKind, Plan, PlanError, draw_mixed, parse_plan
from emberlatch.faults.checks import RuleChecks, RuleParameters
from emberlatch.faults.plan_generator import LAST_FAULT_END_S

PARAMETERS = RuleParameters(
    slots=8,
    drain_grace_s=0.5,
    dedup_windows_s={"keyed": 8.0},
    zones={"p1-east": "east", "p1-west": "west", "p2-east": "east"},
)


def make_checks(kind: str = "safe") -> RuleChecks:
    """Return rule checks that have seen a ready forwarder accept one message."""
    rule_checks = RuleChecks(PARAMETERS)
    rule_checks.on_ready(0.0, "f0", [])
    rule_checks.on_submitted("f0", "m", kind, 12.0)
    rule_checks.on_submission_answered(1.01, "m", 202)
    return rule_checks


def send_call(
    rule_checks: RuleChecks, at: float, endpoint: str = "p1-east", number: int = 1, status: int | None = None
) -> None:
    rule_checks.on_call(at, "f0", endpoint, number, ["m"])
    if status is not None:
        rule_checks.on_call_answered(at + 0.1, endpoint, number, status, True, 0.0)


def broken_rules(rule_checks: RuleChecks) -> list[str]:
    rule_checks.check_overdue(100.0)
    return [breach.rule for breach in rule_checks.breaches]


def test_delivery_or_identical_notices_in_time_break_no_rule() -> None:
    rule_checks = make_checks()
    send_call(rule_checks, 2.0, status=200)
    assert broken_rules(rule_checks) == []
    rule_checks = make_checks()
    rule_checks.on_notice(12.2, "f0", "m", "dead")
    rule_checks.on_notice(12.3, "f0", "m", "dead")  # a repeat, as after a lost confirmation
    assert broken_rules(rule_checks) == []


@pytest.mark.parametrize(
    ("kind", "second", "status", "broken"),
    [
        ("safe", (5.0, "p1-west"), 500, False),
        ("unsafe", (5.0, "p1-east"), 500, True),
        ("unsafe", (5.0, "p1-east"), 429, False),
        ("keyed", (5.0, "p1-east"), 500, False),
        ("keyed", (5.0, "p1-west"), 500, True),
        ("keyed", (5.0, "p1-west"), 503, False),
        ("keyed", (10.5, "p1-east"), 500, True),
    ],
)
def test_repeated_call_is_a_duplicate_if_the_first_may_have_run_and_its_key_does_not_protect(
    kind: str, second: tuple[float, str], status: int, broken: bool
) -> None:
    rule_checks = make_checks(kind)
    send_call(rule_checks, 2.0, number=1, status=status)
    send_call(rule_checks, *second, number=2, status=200)
    assert broken_rules(rule_checks) == (["duplicates"] if broken else [])


def test_repeat_of_an_unsafe_message_after_a_call_without_an_answer_is_a_duplicate() -> None:
    for change in (
        lambda c: c.on_call_broken(3.0, "p1-east", 1),
        lambda c: c.on_down("f0"),
        lambda c: None,
    ):
        rule_checks = make_checks("unsafe")
        send_call(rule_checks, 2.0)
        change(rule_checks)
        send_call(rule_checks, 5.0, number=2)
        rule_checks.on_notice(6.0, "f0", "m", "dead")
        assert broken_rules(rule_checks) == ["duplicates"]


def test_bounced_notice_for_a_message_that_may_have_run_is_reported() -> None:
    rule_checks = make_checks("keyed")
    send_call(rule_checks, 2.0, status=500)
    rule_checks.on_notice(3.0, "f0", "m", "bounced")
    assert broken_rules(rule_checks) == ["duplicates"]


Event = Callable[[RuleChecks], None]


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        ([lambda c: c.on_phase_sent(2.0, "f0", "p1-east", False),
          lambda c: send_call(c, 2.5, status=200)], []),
        ([lambda c: c.on_phase_sent(2.0, "f0", "p1-east", False),
          lambda c: send_call(c, 2.6, status=200)], ["drains"]),
        ([lambda c: c.on_phase_sent(2.0, "f0", "p1-east", False),
          lambda c: c.on_phase_sent(2.1, "f0", "p1-east", True),
          lambda c: send_call(c, 3.0, status=200)], []),
        ([lambda c: c.on_notice(2.0, "f0", "m", "dead"), lambda c: send_call(c, 3.0)], ["ends"]),
        ([lambda c: c.on_notice(2.0, "f0", "m", "dead"),
          lambda c: c.on_notice(2.0, "f0", "m", "bounced")], ["ends"]),
        ([lambda c: send_call(c, 2.0, status=200), lambda c: c.on_notice(5.0, "f0", "m", "dead")], ["ends"]),
        ([lambda c: c.on_notice(2.0, "f0", "x", "dead"),
          lambda c: c.on_notice(2.0, "f0", "m", "dead")], ["ends"]),
        ([lambda c: c.on_given_up(2.0, "m"), lambda c: c.on_notice(2.2, "f0", "m", "dead")], []),
        ([lambda c: c.on_given_up(2.0, "m"), lambda c: c.on_notice(4.0, "f0", "m", "dead")], ["at once"]),
        ([], ["lost"]),
        ([lambda c: c.on_notice(12.4, "f0", "m", "dead")], ["lost"]),
        ([lambda c: c.excuse("f0", [(11.0, 13.0)]), lambda c: c.on_notice(12.9, "f0", "m", "dead")], []),
    ],
)  # fmt: skip
def test_sequence_of_events_breaks_exactly_the_expected_rules(events: list[Event], broken: list[str]) -> None:
    rule_checks = make_checks()
    for event in events:
        event(rule_checks)
    assert broken_rules(rule_checks) == broken


def test_call_during_retry_after_is_reported_unless_the_process_has_restarted() -> None:
    for at, end, broken in (
        (2.05, False, False),
        (2.5, False, True),
        (3.2, False, False),
        (2.5, True, False),
    ):
        rule_checks = make_checks()
        send_call(rule_checks, 2.0)
        rule_checks.on_call_answered(2.0, "p1-east", 1, 429, True, 1.0)
        if end:
            rule_checks.on_down("f0")
            rule_checks.on_ready(2.2, "f0", [])
        send_call(rule_checks, at, number=2, status=200)
        assert broken_rules(rule_checks) == (["waits"] if broken else [])


def test_too_many_calls_in_flight_to_one_partner_or_to_a_hanging_endpoint_are_reported() -> None:
    rule_checks = make_checks()
    for n in range(6):
        rule_checks.on_call(2.0, "f0", f"p1-{'east' if n % 2 else 'west'}", n, [])
    rule_checks.check_leases(2.1, set())
    assert [b.rule for b in rule_checks.breaches] == ["leases"]
    rule_checks = make_checks()
    rule_checks.check_leases(20.0, {"p1-east"})
    for n in range(5):
        rule_checks.on_call(20.1 + 3 * (n > 1), "f0", "p1-east", n, [])
    assert [b.rule for b in rule_checks.breaches] == ["leases"]


def test_overload_is_reported_only_if_its_callers_saw_the_outage() -> None:
    for seen, broken in ((True, True), (False, False)):
        rule_checks = make_checks()
        rule_checks.on_outage("p1-east")
        if seen:
            send_call(rule_checks, 2.0)
            rule_checks.on_call_broken(2.5, "p1-east", 1)
        rule_checks.on_overload(9.0, "p1-east", ["f0"] * 9 + ["f1"])
        assert ("returns" in [b.rule for b in rule_checks.breaches]) is broken


def test_generated_plans_are_reproducible_overlapping_and_survive_parsing() -> None:
    for seed in range(300):
        plan = draw_mixed(seed)
        assert plan == draw_mixed(seed) and parse_plan(str(plan)) == plan
        assert all(
            fault.kind in FaultKind and (fault.until or 0.0) <= LAST_FAULT_END_S for fault in plan.faults
        )
        moments = [f.since for f in plan.faults]
        overlap = max(
            sum(f.since <= at <= (f.until or LAST_FAULT_END_S) for f in plan.faults) for at in moments
        )
        assert len(plan.faults) >= 3 and overlap >= 3
    drawn = {
        fault.kind for seed in range(300) for way in PLAN_GENERATORS.values() for fault in way(seed).faults
    }
    assert drawn == set(FaultKind)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("rate 4\n", "no line names the seed"),
        ("seed x\n", "line 1"),
        ("seed 1\nfault 1 2 hang\n", "line 2: a fault is"),
        ("seed 1\nfault 1 2 burn p1\n", "line 2: 'burn' is no fault"),
        ("seed 1\n# a word\nfault 1 2 hang p9\n", "line 3: 'p9' is no target"),
        ("seed 1\nspeed 3\n", "line 2: a line is"),
    ],
)
def test_invalid_plan_is_rejected_with_its_line_number(text: str, message: str) -> None:
    with pytest.raises(PlanError, match=message):
        parse_plan(text)


def test_without_removes_the_given_faults() -> None:
    one, two = Fault(1.0, 2.0, FaultKind.HANG, "p1"), Fault(3.0, None, FaultKind.KILL, "f0")
    assert Plan(1, (one, two)).without([one]) == Plan(1, (two,))


def broken_rules_after_drain(rule_checks: RuleChecks, at: float) -> list[str]:
    """Return the rules broken by a call at the time `at`, after a drain at 2 s that no forwarder receives."""
    rule_checks.on_listed(2.0, "p1-east", False)
    send_call(rule_checks, at)
    return [breach.rule for breach in rule_checks.breaches]


def test_lost_list_counts_as_received_after_its_grace_time() -> None:
    for wait, due in ((None, 9.0), (5.0, 10.0)):  # first a look-up at 3 s, then a watch until 8 s
        for at, broken in ((due + 0.4, False), (due + 0.7, True)):
            rule_checks = make_checks()
            rule_checks.on_poll(3.0, "f0")
            rule_checks.on_list_lost("f0", 3.0, wait)
            assert broken_rules_after_drain(rule_checks, at) == (["drains"] if broken else [])


def test_lost_list_does_not_inform_of_later_changes() -> None:
    rule_checks = make_checks()
    rule_checks.on_poll(1.0, "f0")
    rule_checks.on_list_lost("f0", 1.0, None)
    assert broken_rules_after_drain(rule_checks, 8.0) == []
    rule_checks.on_list_lost("f0", 1.0, 0.5)  # the watch's longest wait ended before the drain
    send_call(rule_checks, 9.0, number=2)
    assert not rule_checks.breaches


def test_forwarder_that_stops_polling_counts_as_informed_after_the_poll_interval() -> None:
    rule_checks = RuleChecks(replace(PARAMETERS, poll_interval_s=10.0))
    rule_checks.on_ready(0.0, "f0", [])
    rule_checks.on_submitted("f0", "m", "safe", 30.0)
    rule_checks.on_poll(0.5, "f0")
    assert broken_rules_after_drain(rule_checks, 12.4) == []
    send_call(rule_checks, 12.7, number=2)
    assert [breach.rule for breach in rule_checks.breaches] == ["drains"]


def test_after_a_directory_move_earlier_changes_count_as_received() -> None:
    rule_checks = make_checks()
    rule_checks.on_poll(1.0, "f0")
    rule_checks.on_directory_moved(3.0, "f0")
    assert broken_rules_after_drain(rule_checks, 7.4) == []
    send_call(rule_checks, 7.7, number=2)
    assert [breach.rule for breach in rule_checks.breaches] == ["drains"]
    rule_checks.on_listed(8.0, "p1-east", True)
    send_call(rule_checks, 9.0, number=3)
    assert len(rule_checks.breaches) == 1
