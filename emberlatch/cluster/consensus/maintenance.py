"""Reconfiguration policy: which machines should vote, and the next change towards that.

This module does no I/O. Any process may compute a change and propose it. A change of voters names the epoch
for which it was computed, and has no effect in any other epoch.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from emberlatch.cluster.consensus.commands import (
    Command,
    CreateVoterGroup,
    ReadmitMember,
    RemoveMember,
    SetVoters,
)
from emberlatch.cluster.consensus.state import DISK_WEIGHT, WITNESS_WEIGHT, ControlState, Voter

REPLACE_VOTER_AFTER_S = 2.5  # time without contact after which a spare replaces a voter
REMOVE_MEMBER_AFTER_S = 6.0  # time without contact after which a machine is removed
# Time for which a spare was in contact before it takes the place of a witness. The loss of a voter that it
# may succeed is noticed earlier.
REPLACE_WITNESS_AFTER_S = 6.0
MAX_VOTERS = 7


@dataclass(frozen=True, slots=True)
class MemberReport:
    """The information that a process has about a machine with a disk, or about a witness.

    `voter` has the node and the identity on its disk, as the machine reports them. `counted` is True if the
    machine has a disk, may vote, and its loss must be tolerated. `reachable` says whether this process can
    call the machine; of a process that may become a witness, whether it called this one recently.
    `unreachable_s` is the number of seconds for which a majority of the voters has not reached it, 0 if they
    reach it. `version` is the version of the state on its disk. `cluster` is the name of the cluster to which
    its disk belongs, empty before the founding. `ending` is True if it is a witness that is shutting down.
    `contact_s` is the number of seconds for which this process has been able to call the machine.
    """

    voter: Voter
    zone: str
    region: str
    counted: bool
    reachable: bool
    unreachable_s: float
    version: int
    cluster: str = ""
    ending: bool = False
    contact_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """How many machines, zones or regions may be lost at the same time."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def voters(self) -> int:
        """The number of voters to have: 2f + 1 to tolerate f faults, but at most MAX_VOTERS."""
        return min(MAX_VOTERS, 2 * max(self.machines, self.zones, self.regions) + 1)


Members = Mapping[str, MemberReport]
"""The report on each machine, by its node."""


def _best_spread(placed: Iterable[MemberReport], candidates: Iterable[MemberReport]) -> MemberReport | None:
    """Return the candidate with the fewest placed machines in its region; if equal, in its zone."""
    others = list(placed)

    def placement_order(member: MemberReport) -> tuple[int, int, str]:
        region = sum(other.region == member.region for other in others)
        zone = sum(other.zone == member.zone for other in others)
        return region, zone, member.voter.node

    return min(candidates, key=placement_order, default=None)


def founding_command(
    members: Iterable[MemberReport], tolerance: FaultTolerance, cluster: str = ""
) -> CreateVoterGroup | None:
    """Return the command that founds the cluster with machines that may vote; None if there are none."""
    chosen: list[MemberReport] = []
    candidates = [m for m in members if m.counted and m.reachable and not m.cluster]
    while candidates and len(chosen) < tolerance.voters:
        best = _best_spread(chosen, candidates)
        assert best is not None
        chosen.append(best)
        candidates.remove(best)
    return CreateVoterGroup(tuple(sorted(m.voter for m in chosen)), cluster) if chosen else None


def next_change(state: ControlState, members: Members, tolerance: FaultTolerance) -> Command | None:
    """Return the most urgent change that is due; None if no change is due."""
    if state.version == 0:
        return None
    return _voter_change(state, members, tolerance) or _member_change(state, members)


def _voter_change(state: ControlState, members: Members, tolerance: FaultTolerance) -> Command | None:
    reinstalled = _voter_with_new_disk(state, members)
    if reinstalled is not None:
        old, new = reinstalled
        return _replace_voter(state, old, new)
    spare = _best_spare(state, members)
    # Replace an unreachable voter before a decommissioned one, because the latter still votes.
    change = _replace_unreachable(state, members, spare)
    if change is not None:
        return change
    leaving = next((v for v in state.voters if state.decommission_mark(v.node) is not None), None)
    if leaving is not None:
        if spare is not None:
            return _replace_voter(state, leaving, spare)
        if _may_shrink(state, leaving, members, tolerance):
            return _replace_voter(state, leaving, _best_witness(state, members))
    if spare is not None:
        return _admit_spare(state, spare, members, tolerance)
    return _adjust_witnesses(state, members, tolerance)


def _replace_unreachable(
    state: ControlState, members: Members, spare: MemberReport | None
) -> SetVoters | None:
    """Return the change that removes an unreachable voter; None if there is none, or it has to stay.

    Beside witnesses an unreachable disk is dropped even if no spare can replace it. While the group waits
    for a spare, it would lose its majority if witnesses ended. The dropped machine comes back as a spare.
    """
    unreachable = [voter for voter in state.voters if _lacks_contact(members.get(voter.node))]
    for voter in sorted(unreachable, key=lambda voter: voter.is_witness):
        replacement = (_best_witness(state, members) or spare) if voter.is_witness else spare
        may_drop = bool(state.witnesses) and len(state.disk_voters) > 1 and not voter.is_witness
        if replacement is not None or may_drop:
            return _replace_voter(state, voter, replacement)
    return None


def _admit_spare(
    state: ControlState, spare: MemberReport, members: Members, tolerance: FaultTolerance
) -> SetVoters | None:
    """Return the change by which a spare fills a vacant place or that of a witness.

    A new spare may be the successor of a voter whose loss is not noticed yet. Then it has to take that
    voter's place, and the witnesses are needed until then.
    """
    disks = len(state.disk_voters)
    if disks >= tolerance.voters:
        return _adjust_witnesses(state, members, tolerance)
    if not state.witnesses or disks <= tolerance.machines:
        return _replace_voter(state, None, spare)
    if spare.contact_s >= REPLACE_WITNESS_AFTER_S and _all_in_contact(state.voters, members):
        return _replace_voter(state, state.witnesses[-1], spare)
    return None


def wanted_witnesses(disks: int, tolerance: FaultTolerance, available: int) -> int:
    """Return how many of the available witnesses a group with so many disks should have.

    They take the places of the missing disks, and one of them may end during the tolerated losses without
    costing the majority. All disks together outweigh all witnesses. An even number would need more votes
    than the odd number below it, and bring none.
    """
    missing_disks = tolerance.voters - disks
    if missing_disks <= 0:
        return 0
    most = min(DISK_WEIGHT * disks - 1, DISK_WEIGHT * (missing_disks - 1) + 3 * WITNESS_WEIGHT, available)
    return most if most % 2 else max(0, most - 1)


def _adjust_witnesses(state: ControlState, members: Members, tolerance: FaultTolerance) -> SetVoters | None:
    """Return the change that admits or removes a witness; None if the group has as many as it should.

    Without witnesses, a group that is smaller than `tolerance` asks for may lose its majority with a
    tolerated loss. None is admitted while a machine with a disk could still take the vacant place.
    """
    present = len(state.witnesses)
    candidates = _witness_candidates(state, members)
    wanted = wanted_witnesses(len(state.disk_voters), tolerance, present + len(candidates))
    if present > wanted and _all_in_contact(state.voters, members):
        return _replace_voter(state, state.witnesses[-1], None)
    if present < wanted and not _awaits_spare(state, members):
        return _replace_voter(state, None, _best_witness(state, members))
    return None


def _all_in_contact(voters: Iterable[Voter], members: Members) -> bool:
    return all(_is_in_contact(members.get(voter.node)) for voter in voters)


def _may_shrink(state: ControlState, leaving: Voter, members: Members, tolerance: FaultTolerance) -> bool:
    """Whether the group may lose the voter `leaving` although no spare can replace it.

    At least `tolerance.machines` + 1 voters with a disk must remain. The group does not shrink while another
    machine could still become a spare, nor while a remaining voter is unreachable. If that voter were lost
    permanently, the smaller group might have no majority and could not even replace the voter.
    """
    if len(state.disk_voters) <= tolerance.machines + 1 or _awaits_spare(state, members):
        return False
    return _all_in_contact((voter for voter in state.voters if voter != leaving), members)


def _awaits_spare(state: ControlState, members: Members) -> bool:
    """Whether a machine without a vote could still become a spare."""
    nodes = {voter.node for voter in state.voters}
    return any(_may_become_spare(state, m) for node, m in members.items() if node not in nodes)


def _may_become_spare(state: ControlState, member: MemberReport) -> bool:
    node = member.voter.node
    return member.counted and state.decommission_mark(node) is None and node not in state.removed_members


def _replace_voter(state: ControlState, old: Voter | None, new: MemberReport | None) -> SetVoters:
    voters = {voter for voter in state.voters if voter != old}
    if new is not None:
        voters.add(new.voter)
    return SetVoters(state.epoch, tuple(sorted(voters)))


def _voter_with_new_disk(state: ControlState, members: Members) -> tuple[Voter, MemberReport] | None:
    """Return a voter whose machine has a new disk with the newest state, and the report on that machine."""
    for voter in state.voters:
        member = members.get(voter.node)
        if member is not None and member.voter != voter and _is_eligible(state, member):
            return voter, member
    return None


def member_to_join(state: ControlState, members: Iterable[MemberReport]) -> MemberReport | None:
    """Return a machine whose cluster this machine may join; None if it is unclear which cluster to join.

    New machines may include one with a disk of an unrelated cluster. Therefore a cluster may be joined only
    if enough reachable machines belong to it. While this machine waits for the seeds to found a cluster, that
    number is a majority of the seeds. Otherwise it is more than half of the reachable machines that belong to
    any cluster.
    """
    founded = [m for m in members if m.reachable and m.cluster and m.version > 0]
    for member in sorted(founded, key=lambda m: -m.version):
        same = sum(other.cluster == member.cluster for other in founded)
        if same >= state.majority if state.awaiting_founding else 2 * same > len(founded):
            return member
    return None


def _is_eligible(state: ControlState, member: MemberReport) -> bool:
    """Whether a machine may become a voter.

    It votes at once, so its disk must already have the newest state.
    """
    same_cluster = member.cluster == state.cluster
    if member.voter.is_witness:
        return member.reachable  # a proposer sends it the newest state with the first request
    up_to_date = member.counted and member.reachable and same_cluster and member.version >= state.version
    return up_to_date and bool(member.voter.identity) and state.decommission_mark(member.voter.node) is None


def _best_spare(state: ControlState, members: Members) -> MemberReport | None:
    """Return the eligible machine without a vote that spreads the voters best over regions and zones."""
    placed = [members[v.node] for v in state.voters if v.node in members and _has_contact(members[v.node])]
    nodes = {voter.node for voter in state.voters}
    eligible = [
        member
        for node, member in members.items()
        if node not in nodes and not member.voter.is_witness and _is_eligible(state, member)
    ]
    return _best_spread(placed, eligible)


def _witness_candidates(state: ControlState, members: Members) -> list[MemberReport]:
    """Return the reachable processes without a disk that have no vote."""
    nodes = {voter.node for voter in state.voters}
    return [
        member
        for node, member in members.items()
        if node not in nodes and member.voter.is_witness and member.reachable
    ]


def _best_witness(state: ControlState, members: Members) -> MemberReport | None:
    """Return the candidate that spreads the voters best over regions and zones; None if there is none."""
    placed = [members[v.node] for v in state.voters if v.node in members]
    return _best_spread(placed, _witness_candidates(state, members))


def _is_in_contact(member: MemberReport | None) -> bool:
    """Whether this process and a majority of the voters reach a machine now."""
    return member is not None and member.reachable and member.unreachable_s == 0.0


def _has_contact(member: MemberReport) -> bool:
    return member.unreachable_s < REPLACE_VOTER_AFTER_S


def _lacks_contact(member: MemberReport | None) -> bool:
    return member is not None and (member.ending or not _has_contact(member))


def _member_change(state: ControlState, members: Members) -> Command | None:
    for node, member in sorted(members.items()):
        if member.voter.is_witness:
            continue  # it stores no messages, so nothing waits for it
        if node in state.removed_members:
            if member.reachable and member.unreachable_s == 0.0:
                return ReadmitMember(node)
        elif member.unreachable_s > REMOVE_MEMBER_AFTER_S:
            return RemoveMember(node)
    return None
