"""Which machines should vote, and the next change that brings the group there. Pure.

Any process may work a change out and propose it; the epoch that it names voids what another overtook.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from emberlatch.cluster.consensus.commands import Command, Found, GiveUp, Readmit, SetVoters
from emberlatch.cluster.consensus.state import ControlState, Voter

REPLACE_AFTER = 2.5  # seconds of silence after which a spare takes a voter's place
GIVE_UP_AFTER = 6.0  # seconds of silence after which a machine counts no more
MAX_VOTERS = 7


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What is known of a machine with a disk."""

    voter: Voter  # as it says itself: its node, and the identity on its disk
    zone: str
    region: str
    counted: bool  # its loss counts among those that have to be borne
    reachable: bool
    silent_s: float  # for how long a majority of the voters has not heard it; 0: it is heard
    version: int  # of the state on its disk
    cluster: str = ""  # of the system that its disk belongs to; empty before that is founded


@dataclass(frozen=True, slots=True)
class Losses:
    """What may be lost at once."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def voters(self) -> int:
        """How many voters bear it."""
        return min(MAX_VOTERS, 2 * max(self.machines, self.zones, self.regions) + 1)


def _spread(chosen: Iterable[MemberReport], candidates: Iterable[MemberReport]) -> MemberReport | None:
    """The candidate whose region and zone have the fewest voters."""
    there = list(chosen)

    def crowding(member: MemberReport) -> tuple[int, int, str]:
        region = sum(other.region == member.region for other in there)
        zone = sum(other.zone == member.zone for other in there)
        return region, zone, member.voter.node

    return min(candidates, key=crowding, default=None)


def first_voters(members: Iterable[MemberReport], losses: Losses, cluster: str = "") -> Found | None:
    """The group to begin with, under this name; None if nobody may vote."""
    chosen: list[MemberReport] = []
    candidates = [m for m in members if m.counted and m.reachable and not m.cluster]
    while candidates and len(chosen) < losses.voters:
        best = _spread(chosen, candidates)
        assert best is not None
        chosen.append(best)
        candidates.remove(best)
    return Found(tuple(sorted(m.voter for m in chosen)), cluster) if chosen else None


def next_change(state: ControlState, members: Mapping[str, MemberReport], losses: Losses) -> Command | None:
    """The change that is due, the most urgent first; None if all is as it should be."""
    if state.version == 0:
        return None
    return _voter_change(state, members, losses) or _member_change(state, members)


def _voter_change(state: ControlState, members: Mapping[str, MemberReport], losses: Losses) -> Command | None:
    returned = _returned_empty(state, members)
    if returned is not None:
        old, new = returned
        return _replaced(state, old, new)
    spare = _spare(state, members)
    silent = next((v for v in state.voters if _silent(members.get(v.node))), None)
    if silent is not None and spare is not None:  # before one that leaves, which still votes
        return _replaced(state, silent, spare)
    leaving = next((v for v in state.voters if state.mark_of(v.node) is not None), None)
    if leaving is not None and (spare is not None or _may_shrink(state, leaving, members, losses)):
        return _replaced(state, leaving, spare)
    if spare is not None and len(state.voters) < losses.voters:
        return _replaced(state, None, spare)
    return None


def _may_shrink(
    state: ControlState, leaving: Voter, members: Mapping[str, MemberReport], losses: Losses
) -> bool:
    """Whether the group may do without a voter for whom there is no spare.

    Not while one is only out of reach, and not while a voter that stays is not heard: if that one is gone
    for good, the smaller group can decide nothing any more, not even to replace it.
    """
    if len(state.voters) <= losses.machines + 1:
        return False
    nodes = {voter.node for voter in state.voters}
    if any(_may_come_back(state, m) for node, m in members.items() if node not in nodes):
        return False
    staying = [members.get(voter.node) for voter in state.voters if voter != leaving]
    return all(m is not None and m.reachable and m.silent_s == 0.0 for m in staying)


def _may_come_back(state: ControlState, member: MemberReport) -> bool:
    node = member.voter.node
    return member.counted and state.mark_of(node) is None and node not in state.given_up


def _replaced(state: ControlState, old: Voter | None, new: MemberReport | None) -> SetVoters:
    voters = {voter for voter in state.voters if voter != old}
    if new is not None:
        voters.add(new.voter)
    return SetVoters(state.epoch, tuple(sorted(voters)))


def _returned_empty(
    state: ControlState, members: Mapping[str, MemberReport]
) -> tuple[Voter, MemberReport] | None:
    """A voter whose machine is back with another disk, which has the newest state by now."""
    for voter in state.voters:
        member = members.get(voter.node)
        if member is not None and member.voter != voter and _fit(state, member):
            return voter, member
    return None


def joinable(state: ControlState, members: Iterable[MemberReport]) -> MemberReport | None:
    """A machine of the system that one without a founding may take part in; None if that is not clear.

    A single disk that was founded elsewhere may lie among new machines: where the seeds are still to found
    the system, a majority as large as theirs has to have done so.
    """
    founded = [m for m in members if m.reachable and m.cluster and m.version > 0]
    for member in sorted(founded, key=lambda m: -m.version):
        same = sum(other.cluster == member.cluster for other in founded)
        if same >= state.majority if state.unfounded else 2 * same > len(founded):
            return member
    return None


def _fit(state: ControlState, member: MemberReport) -> bool:
    """A new voter counts from its first moment: it has to have everything before."""
    same_system = member.cluster == state.cluster
    fit = member.counted and member.reachable and same_system and member.version >= state.version
    return fit and bool(member.voter.identity) and state.mark_of(member.voter.node) is None


def _spare(state: ControlState, members: Mapping[str, MemberReport]) -> MemberReport | None:
    """The best machine without a vote."""
    there = [members[v.node] for v in state.voters if v.node in members and _heard(members[v.node])]
    nodes = {voter.node for voter in state.voters}
    fit = [m for node, m in members.items() if node not in nodes and _fit(state, m)]
    return _spread(there, fit)


def _heard(member: MemberReport) -> bool:
    return member.silent_s < REPLACE_AFTER


def _silent(member: MemberReport | None) -> bool:
    return member is not None and not _heard(member)


def _member_change(state: ControlState, members: Mapping[str, MemberReport]) -> Command | None:
    for node, member in sorted(members.items()):
        if node in state.given_up:
            if member.reachable and member.silent_s == 0.0:
                return Readmit(node)
        elif member.silent_s > GIVE_UP_AFTER:
            return GiveUp(node)
    return None
