"""Cases in which random simulated days showed a wrong change of the group of voters."""

from __future__ import annotations

import dataclasses

import pytest

from emberlatch.cluster.consensus.commands import SetVoters
from emberlatch.cluster.consensus.maintenance import (
    FaultTolerance,
    MemberReport,
    next_change,
    wanted_witnesses,
)
from emberlatch.cluster.consensus.state import (
    DISK_WEIGHT,
    WITNESS_WEIGHT,
    ControlState,
    DecommissionMark,
    Voter,
)


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


PAIR = ControlState(3, 1, VOTERS[:2])
WITNESS = Voter("f", "witness-1")
WITNESSED = ControlState(3, 1, (*VOTERS[:2], WITNESS))


def witness_report(node: str = "f", identity: str = "witness-1", unreachable_s: float = 0.0) -> MemberReport:
    return MemberReport(Voter(node, identity), "z", "r", False, unreachable_s == 0.0, unreachable_s, -1)


def changed_voters(state: ControlState, *members: MemberReport) -> list[str] | None:
    """The identities of the voters after the due change; None if no change is due."""
    change = next_change(state, {member.voter.node: member for member in members}, FaultTolerance())
    assert change is None or isinstance(change, SetVoters)
    return None if change is None else [voter.identity for voter in change.voters]


def test_a_witness_takes_the_place_of_a_decommissioned_voter_if_there_is_no_spare() -> None:
    members = [*REACHABLE.values(), witness_report()]
    assert changed_voters(DECOMMISSIONING, *members) == ["disk of a", "disk of c", "witness-1"]


def test_a_witness_is_admitted_to_a_group_of_two_unless_a_machine_may_become_a_spare() -> None:
    both = [report("a"), report("b")]
    assert changed_voters(PAIR, *both, witness_report()) == ["disk of a", "disk of b", "witness-1"]
    assert changed_voters(PAIR, *both, witness_report(), report("d", False, 1.0)) is None
    assert changed_voters(PAIR, *both) is None


def test_a_full_group_and_one_with_a_single_disk_admit_no_witness() -> None:
    assert changed_voters(ControlState(3, 1, VOTERS), *REACHABLE.values(), witness_report()) is None
    alone = ControlState(3, 1, (VOTERS[0], WITNESS))
    assert changed_voters(alone, report("a"), witness_report(), witness_report("g", "witness-2")) is None


def test_a_restarted_witness_is_admitted_under_its_new_identity() -> None:
    members = [report("a"), report("b"), witness_report("f", "witness-2")]
    assert changed_voters(WITNESSED, *members) == ["disk of a", "disk of b", "witness-2"]


def test_an_unreachable_witness_is_replaced_by_another_one() -> None:
    members = [report("a"), report("b"), witness_report(unreachable_s=3.0), witness_report("g", "witness-2")]
    assert changed_voters(WITNESSED, *members) == ["disk of a", "disk of b", "witness-2"]


def test_a_witness_that_is_shutting_down_is_replaced_if_there_is_another_one() -> None:
    members = [report("a"), report("b"), dataclasses.replace(witness_report(), ending=True)]
    assert changed_voters(WITNESSED, *members) is None
    members.append(witness_report("g", "witness-2"))
    assert changed_voters(WITNESSED, *members) == ["disk of a", "disk of b", "witness-2"]


def test_a_spare_takes_the_place_of_the_witness_once_it_can_be_no_successor_of_a_lost_voter() -> None:
    members = [report("a"), report("b"), witness_report()]
    new, known = (dataclasses.replace(report("d"), contact_s=seconds) for seconds in (5.9, 6.0))
    assert changed_voters(WITNESSED, *members, new) is None
    assert changed_voters(WITNESSED, *members, known) == ["disk of a", "disk of b", "disk of d"]


@pytest.mark.parametrize(
    ("disks", "tolerance", "expected"), [(1, 1, 1), (2, 1, 3), (3, 1, 0), (3, 2, 5), (4, 2, 3), (5, 2, 0)]
)
def test_witnesses_keep_a_majority_through_the_tolerated_losses(
    disks: int, tolerance: int, expected: int
) -> None:
    wanted = wanted_witnesses(disks, FaultTolerance(tolerance), available=9)
    assert wanted == expected
    if wanted and disks > tolerance:  # the tolerated losses, and one witness that ends meanwhile
        total = DISK_WEIGHT * disks + WITNESS_WEIGHT * wanted
        assert 2 * (DISK_WEIGHT * (disks - tolerance) + WITNESS_WEIGHT * (wanted - 1)) > total
        assert 2 * DISK_WEIGHT * disks > total


@pytest.mark.parametrize(("available", "expected"), [(0, 0), (1, 1), (2, 1), (3, 3), (9, 3)])
def test_an_odd_number_of_the_available_witnesses_is_wanted(available: int, expected: int) -> None:
    assert wanted_witnesses(2, FaultTolerance(), available) == expected


@pytest.mark.parametrize("silent", [report("b", False), report("b", True, 1.0)])
def test_a_spare_does_not_take_the_place_of_the_witness_while_a_voter_is_silent(silent: MemberReport) -> None:
    """The spare may be the successor of that voter, which then would stay in the group for good."""
    assert changed_voters(WITNESSED, report("a"), silent, witness_report(), report("d")) is None


def test_an_unreachable_disk_is_dropped_beside_a_witness_and_comes_back_as_a_spare() -> None:
    """Otherwise the group would have no majority if the witness ended before a spare comes."""
    unreachable = [report("a"), report("b", False, 3.0), witness_report()]
    assert changed_voters(WITNESSED, *unreachable) == ["disk of a", "witness-1"]
    dropped = ControlState(3, 1, (VOTERS[0], WITNESS))
    members = [report("a"), report("b"), witness_report()]
    assert changed_voters(dropped, *members) == ["disk of a", "disk of b", "witness-1"]


def test_a_witness_is_never_removed_as_a_member() -> None:
    members = {m.voter.node: m for m in [report("a"), report("b"), witness_report(unreachable_s=60.0)]}
    assert next_change(WITNESSED, members, FaultTolerance()) is None
