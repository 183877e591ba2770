"""Storms on real processes. Each lasts some seconds, and kills only processes that it started itself."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest

from emberlatch.storm import Fault, History, Plan, check_history, generate_plan, parse_plan, play_plan
from emberlatch.storm.message_rules import submitted_messages
from emberlatch.storm.report import render_breach, render_table, save_chart
from tests.peers import ROOT
from tests.storm.planted import program


def storm(plan: Plan, folder: Path, plant: str = "") -> History:
    os.environ["PYTHONPATH"] = str(ROOT)
    return asyncio.run(
        play_plan(plan, folder / "fleet", program(plant)) if plant else play_plan(plan, folder / "fleet")
    )


@pytest.mark.parametrize("seed", range(8))
def test_a_generated_storm_has_no_breach(seed: int, tmp_path: Path) -> None:
    history = storm(generate_plan(seed, 3, 8.0), tmp_path)
    assert [str(breach) for breach in check_history(history)] == []
    assert sum(1 for _ in history.of_kind("end")) > 10
    assert {event.payload["member"] for event in history.of_kind("dead")} >= set(history.plan.member_names)


PLANS = sorted((ROOT / "tests/plans/storm").glob("*.toml"))


@pytest.mark.parametrize("path", PLANS, ids=lambda path: path.stem)
def test_the_storm_of_a_plan_file_has_no_breach(path: Path, tmp_path: Path) -> None:
    history = storm(parse_plan(path.read_text()), tmp_path)
    assert [str(breach) for breach in check_history(history)] == []
    if path.stem.startswith("stopped-for-") and path.stem != "stopped-for-0.3s":
        assert any(event.source == "f1" for event in history.of_kind("stalled"))
    if path.stem == "a-name-used-twice":
        assert "f0'" in {event.payload["member"] for event in history.of_kind("up")}


SLOW = Fault(0.5, "slow", ("p1-east", "p1-west", "p2-east", "p2-west"), until=5.5)
FULL = Fault(2.0, "full", ("p1-east", "p1-west"), until=9.5)
"""The rule on shared waits applies only if no member has started or stalled for `QUIET_BEFORE_WAIT_S`.
The endpoints therefore stay full for several times that period."""
KILLS = tuple(Fault(at, "kill", ("f0", "f1", "f2"), amount=0.05) for at in (2.0, 3.5, 5.0))


@pytest.mark.parametrize(
    ("plant", "rule", "faults", "duration_s", "rate"),
    [
        ("forgets_intents", "twice", (SLOW, *KILLS), 7.0, 40.0),
        ("forgets_messages", "lost", (SLOW, *KILLS), 7.0, 40.0),
        ("hears_no_waits", "waits", (FULL,), 10.0, 60.0),
        ("passes_no_waits_on", "others' waits", (FULL,), 10.0, 60.0),
    ],
)
def test_a_planted_bug_is_a_breach_of_its_rule(
    plant: str, rule: str, faults: tuple[Fault, ...], duration_s: float, rate: float, tmp_path: Path
) -> None:
    plan = Plan(5, 3, duration_s, rate, faults)
    history = storm(plan, tmp_path, plant)
    breaches = {breach.rule: breach for breach in check_history(history)}
    assert rule in breaches, [str(event) for event in history.of_kind("stalled")]
    report = render_breach(history, breaches[rule])
    assert "seed = 5" in report and "around it:" in report
    save_chart(history, tmp_path / "chart.png")
    assert (tmp_path / "chart.png").stat().st_size > 10_000
    assert "delivered" in render_table(history)


def test_members_obey_the_waits_of_others_while_endpoints_are_full(tmp_path: Path) -> None:
    history = storm(Plan(5, 3, 10.0, 60.0, (FULL,)), tmp_path)
    assert [str(breach) for breach in check_history(history)] == []


@pytest.mark.parametrize("plant", ["never_halts", "the_later_one_halts"])
def test_a_bug_in_the_resolution_of_duplicate_names_is_a_breach(plant: str, tmp_path: Path) -> None:
    plan = parse_plan((ROOT / "tests/plans/storm/a-name-used-twice.toml").read_text())
    history = storm(plan, tmp_path, plant)
    assert "two of a name" in {breach.rule for breach in check_history(history)}
    assert "f0'" in {event.payload["member"] for event in history.of_kind("up")}


def test_a_storm_in_a_folder_with_a_long_path_has_no_breach(tmp_path: Path) -> None:
    duplicate = Fault(0.5, "twin", ("f0",))
    history = storm(Plan(3, 2, 6.0, faults=(duplicate,)), tmp_path / ("deep" * 25))
    assert [str(breach) for breach in check_history(history)] == []
    assert "f0'" in {event.payload["member"] for event in history.of_kind("up")}


def test_a_process_that_exits_by_itself_is_a_breach_with_its_last_line(tmp_path: Path) -> None:
    history = storm(
        Plan(4, 2, 6.0, faults=(Fault(1.0, "twin", ("f0",)),)), tmp_path, "duplicates_cannot_start"
    )
    crashes = [breach.text for breach in check_history(history) if breach.rule == "crashed"]
    assert crashes == ["f0' ended by itself with status 1: state: in use"]


def test_a_suspension_and_a_restart_with_a_wrong_wall_clock_cause_no_breach(tmp_path: Path) -> None:
    faults = (Fault(2.0, "stop", ("f1",), until=4.0), Fault(3.0, "wall", ("f2",), amount=-3600.0))
    kill = Fault(3.2, "kill", ("f2",), amount=0.05)
    history = storm(Plan(11, 3, 6.0, 20.0, (*faults, kill)), tmp_path)
    assert check_history(history) == []
    accepted = [message for message in submitted_messages(history) if message.accepted_at < float("inf")]
    assert len(accepted) > 50
