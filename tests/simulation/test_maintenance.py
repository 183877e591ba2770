"""Cases in which random simulated days showed a wrong change of the group of voters."""

from __future__ import annotations

import dataclasses

import pytest

from emberlatch.cluster.consensus.commands import SetVoters
from emberlatch.cluster.consensus.maintenance import FaultTolerance, MemberReport, next_change
from emberlatch.cluster.consensus.state import ControlState, DecommissionMark, Voter


def report(node: str, reachable: bool = True, unreachable_s: float = 0.0) -> MemberReport:
    return MemberReport(Voter(node, f"disk of {node}"), "z", "r", True, reachable, unreachable_s, 3)


VOTERS = tuple(report(node).voter for node in ("a", "b", "c"))
DECOMMISSIONING = ControlState(3, 1, VOTERS, decommissions=(("b", DecommissionMark.MARKED),))
REACHABLE = {node: report(node) for node in ("a", "b", "c")}


def test_a_group_shrinks_if_there_is_no_spare_and_all_remaining_voters_are_reachable() -> None:
    without_b = tuple(voter for voter in VOTERS if voter.node != "b")
    assert next_change(DECOMMISSIONING, REACHABLE, FaultTolerance()) == SetVoters(1, without_b)


@pytest.mark.parametrize("unheard", [report("a", False), report("a", False, 1.0), report("a", True, 1.0)])
def test_a_group_does_not_shrink_if_a_remaining_voter_is_unreachable(unheard: MemberReport) -> None:
    """Day 199: of three voters, one was lost and one was decommissioned.

    A group without the decommissioned voter can't decide, because one of its two voters is lost.
    """
    assert next_change(DECOMMISSIONING, REACHABLE | {"a": unheard}, FaultTolerance()) is None


def test_an_unreachable_voter_is_replaced_before_a_decommissioned_one() -> None:
    """Day 304031: the decommissioned voter was replaced before the unreachable one.

    The next loss then left only one of three voters.
    """
    members = REACHABLE | {"a": report("a", False, 9.0), "d": report("d")}
    change = next_change(DECOMMISSIONING, members, FaultTolerance())
    assert isinstance(change, SetVoters)
    assert {voter.node for voter in change.voters} == {"b", "c", "d"}


def test_a_group_does_not_shrink_if_a_remaining_voter_is_unknown() -> None:
    known = {node: member for node, member in REACHABLE.items() if node != "a"}
    assert next_change(DECOMMISSIONING, known, FaultTolerance()) is None


def test_a_group_does_not_shrink_while_a_spare_is_unreachable() -> None:
    assert next_change(DECOMMISSIONING, REACHABLE | {"d": report("d", False, 1.0)}, FaultTolerance()) is None


def test_a_group_shrinks_if_its_only_spare_was_removed() -> None:
    state = dataclasses.replace(DECOMMISSIONING, removed_members=("d",))
    change = next_change(state, REACHABLE | {"d": report("d", False, 9.0)}, FaultTolerance())
    assert isinstance(change, SetVoters) and len(change.voters) == 2
