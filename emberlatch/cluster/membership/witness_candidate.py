"""Chooses the process without a disk that may become a witness: a voter that keeps its promises in memory."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from emberlatch.cluster.consensus.state import Voter
from emberlatch.cluster.membership.member import Member
from emberlatch.cluster.membership.roster import Roster

CONTACT_VALID_S = 2.0  # seconds after its last message for which a process counts as reachable
SEARCH_INTERVAL_S = 1.0  # pause between two searches of the roster, which may have thousands of members
_NEVER = -1e9  # a loop time earlier than any search


class WitnessCandidate:
    """Keeps one candidate for as long as it is in contact. Pure: each call receives the current time.

    `identities` are the identities that processes reported, by node.
    """

    def __init__(self, roster: Roster, identities: Mapping[str, str]) -> None:
        self._roster, self._identities = roster, identities
        self._node = ""
        self._searched_at = _NEVER

    def choose(self, voter_nodes: Collection[str], now: float) -> Member | None:
        """Return a process that is in contact and has no vote; None if no such process is known.

        A zone without a voter is preferred.
        """
        current = self._roster.members.get(self._node)
        if current is not None and self._is_suitable(current, voter_nodes, now):
            return current
        if now - self._searched_at < SEARCH_INTERVAL_S:
            return None
        self._searched_at = now
        members = self._roster.members
        zones = {members[node].zone for node in voter_nodes if node in members}
        suitable = (m for m in members.values() if self._is_suitable(m, voter_nodes, now))
        found = min(suitable, key=lambda m: (m.zone in zones, m.node), default=None)
        self._node = found.node if found is not None else ""
        return found

    def _is_suitable(self, member: Member, voter_nodes: Collection[str], now: float) -> bool:
        if member.store or member.node in voter_nodes or member.node == self._roster.me.node:
            return False
        identity = self._identities.get(member.node, "")
        in_contact = now - self._roster.renewed_at(member.node) <= CONTACT_VALID_S
        return in_contact and Voter(member.node, identity).is_witness
