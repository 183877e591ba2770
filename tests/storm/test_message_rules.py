"""The rules on messages, checked on hand-written histories.

A valid history has no breach, and each rule rejects an invalid one.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from emberlatch.storm import Fault, History, HistoryEvent, Plan, check_history, read_history
from emberlatch.storm.message_rules import count_unresolved
from emberlatch.storm.report import events_around

Events = list[tuple[float, str, str, dict[str, Any]]]


def history(events: Events, *faults: Fault) -> History:
    made = History(Plan(1, 3, faults=faults), [HistoryEvent(*event) for event in events])
    made.sort()
    return made


def submitted(at: float, name: str, kind: str = "order", request: int = 1, member: str = "f0") -> Events:
    submission = {"id": name, "wish": request, "kind": kind, "member": member, "partner": "p1", "left": 6.0}
    submission |= {"key": f"k{request}"} if kind == "payout" else {}
    answered = {"id": name, "status": 202, "wait": 0}
    return [(at, "client", "hand", submission), (at + 0.01, "client", "heard", answered)]


def call(at: float, number: int, *ids: str, member: str = "f0", endpoint: str = "p1-east") -> Events:
    started = {"member": member, "number": number, "ids": list(ids), "keys": ["" for _ in ids]}
    return [(at, endpoint, "call", started)]


def answer(at: float, number: int, status: int = 200, wait: float = 0.0, endpoint: str = "p1-east") -> Events:
    return [(at, endpoint, "answer", {"member": "f0", "number": number, "status": status, "wait": wait})]


def effects(name: str, times: int = 1, endpoint: str = "p1-east") -> Events:
    return [(30.0, endpoint, "ran", {"name": name, "times": times})]


def outcome(at: float, name: str, state: str = "delivered", member: str = "f0") -> Events:
    return [(at, member, "end", {"id": name, "state": state, "ref": 1})]


def runner_event(at: float, kind: str, member: str = "f0") -> Events:
    return [(at, "rig", kind, {"member": member, "life": 1})]


COMPLETED: Events = [(40.0, "rig", "settled", {})]
VALID = (
    submitted(1.0, "a") + call(1.1, 1, "a") + answer(1.2, 1) + outcome(1.3, "a") + effects("a") + COMPLETED
)


def rules(events: Events, *faults: Fault) -> list[str]:
    return [breach.rule for breach in check_history(history(events, *faults))]


def test_a_valid_history_has_no_breach() -> None:
    assert rules(VALID) == []


BROKEN: dict[str, tuple[str, Events]] = {
    "no end": ("lost", submitted(1.0, "a") + COMPLETED),
    "a late end": ("lost", submitted(1.0, "a") + outcome(9.0, "a", "failed") + COMPLETED),
    "an end of each of two": ("two ends", VALID + outcome(2.0, "a", "failed", "f1")),
    "an unsafe message runs twice": (
        "twice",
        submitted(1.0, "a") + outcome(2.0, "a") + effects("a", 2) + COMPLETED,
    ),
    "an unsafe request runs under two ids": (
        "twice",
        submitted(1.0, "a")
        + submitted(2.0, "b")
        + outcome(2.0, "a", "failed")
        + outcome(3.0, "b")
        + effects("a")
        + effects("b")
        + COMPLETED,
    ),
    "a key runs in both wings": (
        "twice",
        submitted(1.0, "a", "payout")
        + outcome(2.0, "a")
        + effects("k1")
        + effects("k1", endpoint="p1-west")
        + COMPLETED,
    ),
    "delivered and never ran": ("untrue", submitted(1.0, "a") + outcome(2.0, "a") + COMPLETED),
    "refused and ran": (
        "untrue",
        submitted(1.0, "a") + outcome(2.0, "a", "refused") + effects("a") + COMPLETED,
    ),
    "a call within a wait": ("waits", VALID + answer(2.0, 7, 429, 2.0) + call(3.0, 8, "z") + answer(3.1, 8)),
    "a process that cannot go on": (
        "crashed",
        [*VALID, (2.0, "rig", "dead", {"member": "f0'", "life": 1, "status": 2, "text": "state: in use"})],
    ),
    "three quarters at one partner": (
        "leases",
        VALID + [item for number in range(12) for item in call(5.0, number, f"m{number}")],
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_history_that_breaks_a_rule_has_a_breach_of_that_rule(name: str) -> None:
    rule, events = BROKEN[name]
    assert rule in rules(events)


@pytest.mark.parametrize("status", [0, -9, -15])
def test_a_process_that_exits_with_0_or_by_a_signal_has_not_crashed(status: int) -> None:
    assert rules([*VALID, (2.0, "rig", "dead", {"member": "f0'", "life": 1, "status": status})]) == []


def test_a_deadline_is_extended_while_the_member_is_down_and_for_a_grace_period() -> None:
    downtime = runner_event(1.5, "killed") + runner_event(1.5, "dead") + runner_event(8.0, "up")
    assert rules(submitted(1.0, "a") + downtime + outcome(9.0, "a", "failed") + COMPLETED) == []
    assert rules(submitted(1.0, "a") + downtime + outcome(9.9, "a", "failed") + COMPLETED) == ["lost"]
    suspension = runner_event(6.0, "stopped") + runner_event(12.0, "continued")
    assert rules(submitted(1.0, "a") + suspension + outcome(13.0, "a", "failed") + COMPLETED) == []


def test_only_messages_accepted_before_a_wipe_need_no_outcome() -> None:
    wipe = runner_event(1.5, "killed") + runner_event(1.6, "emptied") + runner_event(2.0, "up")
    assert rules(submitted(1.0, "a") + wipe + COMPLETED) == []
    assert rules(submitted(3.0, "a") + wipe + COMPLETED) == ["lost"]


def test_a_call_within_a_wait_is_allowed_only_after_a_link_impairment_or_a_restart() -> None:
    events = VALID + answer(2.0, 7, 429, 2.0) + call(3.0, 8, "z") + answer(3.1, 8)
    delay = Fault(1.0, "delay", ("f0",), until=4.0, destinations=("p1-east",), amount=0.5)
    assert rules(events, delay) == []
    assert rules(events + runner_event(2.2, "killed") + runner_event(2.5, "up")) == []
    delay_of_other_link = Fault(1.0, "delay", ("f1",), until=4.0, destinations=("p1-east",), amount=0.5)
    assert rules(events, delay_of_other_link) == ["waits"]


def test_a_saved_history_is_read_back_with_the_same_breaches(tmp_path: Path) -> None:
    saved = history(submitted(1.0, "a") + COMPLETED)
    saved.save(tmp_path / "1.jsonl")
    loaded = read_history(tmp_path / "1.jsonl")
    assert loaded == saved and check_history(loaded) == check_history(saved) != []
    assert count_unresolved(loaded) == 1
    two_outcomes = history(VALID + outcome(2.0, "a", "failed", "f1"))
    assert [event.kind for event in events_around(two_outcomes, check_history(two_outcomes)[0])] == ["end"]
