"""Simulated fleets of the real code: generated plans cause no breach, and planted bugs cause breaches."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from emberlatch.fleet import QuotaShare, QuotaShareController
from emberlatch.fleet.frames import MemberState, MemberUpdate
from emberlatch.fleet.link_manager import LinkManager
from emberlatch.fleet.membership import (
    IsolationReason,
    MembershipMachine,
    Peer,
)
from emberlatch.fleet.membership.identity import OwnIdentity
from emberlatch.fleet.membership.isolation import IsolationDetector
from emberlatch.fleet.membership.peers import PeerTable
from emberlatch.fleet.membership.suspicion import Suspicion
from emberlatch.fleet.membership.transitions import PeerTransitions
from emberlatch.storm import Fault, History, Plan, check_history, generate_plan, parse_plan
from emberlatch.storm.virtual_fleet import play_virtually
from tests.peers import ROOT
from tests.storm.planted import never_halts, the_later_one_halts


def breaches_and_failures(history: History) -> list[str]:
    return [str(breach) for breach in check_history(history)] + [
        str(event) for event in history.of_kind("failure")
    ]


@pytest.mark.parametrize("first", range(0, 120, 20))
def test_generated_plans_cause_no_breach(first: int) -> None:
    for seed in range(first, first + 20):
        assert breaches_and_failures(play_virtually(generate_plan(seed))) == [], seed


@pytest.mark.parametrize("seed", range(2))
def test_a_fleet_of_40_has_no_breach(seed: int) -> None:
    assert breaches_and_failures(play_virtually(generate_plan(seed, 40, 10.0))) == []


def test_the_same_seed_gives_the_same_history() -> None:
    assert play_virtually(generate_plan(7)).events == play_virtually(generate_plan(7)).events


PLANS = sorted((ROOT / "tests/plans/storm").glob("*.toml"))
"""Plans of difficult cases; they are played here in the simulation and in `test_storms` on real processes."""


@pytest.mark.parametrize("path", PLANS, ids=lambda path: path.stem)
def test_a_plan_file_causes_no_breach_and_isolates_only_the_expected_members(path: Path) -> None:
    history = play_virtually(parse_plan(path.read_text()))
    assert breaches_and_failures(history) == []
    isolated = {event.source for event in history.of_kind("cut") if event.payload["why"] == "no majority"}
    expected = {"three-and-two": {"f0", "f1"}, "middle-of-four": {"f0", "f1", "f2", "f3"}}
    if path.stem in (*expected, "bridge", "one-way", "stopped-for-0.3s", "rubbish"):
        assert isolated == expected.get(path.stem, set())


def test_a_member_suspended_for_20_seconds_recovers_and_reports_the_stall() -> None:
    history = play_virtually(Plan(3, 5, 24.0, faults=(Fault(2.0, "stop", ("f1",), until=22.0),)))
    assert breaches_and_failures(history) == [] and any(
        event.source == "f1" for event in history.of_kind("stalled")
    )


# Planted bugs. For each bug, at least one generated plan breaks a rule that BUGS lists for the bug.
# The function names are test ids.


def no_incarnation(patch: Callable[..., None]) -> None:
    """Never take a later incarnation to refute a false update about the member itself."""
    advance = OwnIdentity._advance_to
    patch(OwnIdentity, "_advance_to", lambda self, inc: None if inc & 0xFFFFF else advance(self, inc))


def no_refutation(patch: Callable[..., None]) -> None:
    patch(OwnIdentity, "on_update", lambda self, now, update: None)


def trusts_its_view_after_a_stall(patch: Callable[..., None]) -> None:
    patch(MembershipMachine, "_detect_stall", lambda self, now: None)


def a_share_by_who_is_seen(patch: Callable[..., None]) -> None:
    patch(PeerTable, "fleet_size", property(lambda self: self.present_count))


def takes_a_late_view(patch: Callable[..., None]) -> None:
    """Accept updates about a peer whatever their incarnation."""
    patch(Peer, "is_superseded_by", lambda self, update: update.state is not self.state)


def forgets_who_left(patch: Callable[..., None]) -> None:
    set_state = PeerTransitions.set_state

    def replace_left(self: PeerTransitions, now: float, peer: Peer, update: MemberUpdate) -> None:
        if update.state is MemberState.LEFT:
            update = MemberUpdate(update.name, MemberState.UNREACHABLE, update.incarnation, update.run_id)
        set_state(self, now, peer, update)

    patch(PeerTransitions, "set_state", replace_left)


def says_left_though_it_does_not(patch: Callable[..., None]) -> None:
    """Treat every unreachable peer as one that has left."""
    set_state = PeerTransitions.set_state

    def replace_unreachable(self: PeerTransitions, now: float, peer: Peer, update: MemberUpdate) -> None:
        if update.state is MemberState.UNREACHABLE:
            update = MemberUpdate(update.name, MemberState.LEFT, update.incarnation, update.run_id)
        set_state(self, now, peer, update)

    patch(PeerTransitions, "set_state", replace_unreachable)


def dials_once(patch: Callable[..., None]) -> None:
    async def connect_once(self: LinkManager, name: str) -> None:
        await self._connect(name)

    patch(LinkManager, "_dial", connect_once)


def suspects_for_ever(patch: Callable[..., None]) -> None:
    patch(Suspicion, "deadline", property(lambda self: 1e9))


def holds_itself_cut_off(patch: Callable[..., None]) -> None:
    """Never let answers to probes end an isolation that a stall caused."""
    review = IsolationDetector.review

    def skip_after_stall(self: IsolationDetector, now: float) -> None:
        if self.reason is not IsolationReason.STALLED:
            review(self, now)

    patch(IsolationDetector, "review", skip_after_stall)


def kills_at_the_first_silence(patch: Callable[..., None]) -> None:
    """Declare a peer unreachable without a suspicion period, after one probe without an answer."""
    patch(Suspicion, "deadline", property(lambda self: self.started_at))
    patch(Suspicion, "in_final_probe", property(lambda self: True))


def keeps_all_of_a_limit(patch: Callable[..., None]) -> None:
    share_at = QuotaShareController.share_at
    patch(
        QuotaShareController,
        "share_at",
        lambda self, now: QuotaShare(1, 1.0, share_at(self, now).closed_classes),
    )


BUGS: dict[Callable[..., Any], set[str]] = {
    no_incarnation: {"heals"},
    no_refutation: {"heals", "two of a name"},
    trusts_its_view_after_a_stall: {"stalled"},
    a_share_by_who_is_seen: {"parts"},
    takes_a_late_view: {"backwards"},
    forgets_who_left: {"left"},
    says_left_though_it_does_not: {"left"},
    dials_once: {"heals", "detects", "false death"},
    never_halts: {"two of a name"},
    the_later_one_halts: {"two of a name", "heals"},
    suspects_for_ever: {"detects"},
    holds_itself_cut_off: {"heals"},
    keeps_all_of_a_limit: {"parts"},
    kills_at_the_first_silence: {"false death"},
}


@pytest.mark.parametrize("bug", BUGS, ids=lambda bug: bug.__name__)
def test_a_planted_bug_is_a_breach_of_one_of_its_rules_within_60_seeds(
    bug: Callable[..., Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch.setattr)
    broken_rules: set[str] = set()
    for seed in range(60):
        broken_rules |= {breach.rule for breach in check_history(play_virtually(generate_plan(seed)))}
        if broken_rules & BUGS[bug]:
            return
    pytest.fail(f"expected a breach of one of {sorted(BUGS[bug])}, got {sorted(broken_rules) or 'none'}")
