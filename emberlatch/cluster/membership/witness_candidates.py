"""Chooses processes without a disk that may become witnesses: voters that keep their promises in memory."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from emberlatch.cluster.consensus.state import Voter
from emberlatch.cluster.membership.member import Member
from emberlatch.cluster.membership.roster import Roster

MAX_CANDIDATES = 3
CONTACT_VALID_S = 2.0  # seconds after its last message for which a process counts as reachable
SEARCH_INTERVAL_S = 1.0  # pause between two searches of the roster, which may have thousands of members
_NEVER = -1e9  # a loop time earlier than any search


class WitnessCandidates:
    """Keeps a few candidates for as long as they are in contact. Pure: each call receives the current time.

    `identities` are the identities that processes reported, by node.
    """

    def __init__(self, roster: Roster, identities: Mapping[str, str]) -> None:
        self._roster, self._identities = roster, identities
        self._nodes: list[str] = []
        self._searched_at = _NEVER

    def choose(self, voter_nodes: Collection[str], now: float) -> list[Member]:
        """Return up to MAX_CANDIDATES processes that are in contact and have no vote.

        Those in zones without a voter are preferred.
        """
        known = (self._roster.members.get(node) for node in self._nodes)
        suitable = [m for m in known if m is not None and self._is_suitable(m, voter_nodes, now)]
        if len(suitable) < MAX_CANDIDATES and now - self._searched_at >= SEARCH_INTERVAL_S:
            self._searched_at = now
            suitable = self._search(voter_nodes, now)
        self._nodes = [member.node for member in suitable]
        return suitable

    def _search(self, voter_nodes: Collection[str], now: float) -> list[Member]:
        members = self._roster.members
        zones = {members[node].zone for node in voter_nodes if node in members}
        suitable = [m for m in members.values() if self._is_suitable(m, voter_nodes, now)]
        suitable.sort(key=lambda member: (member.zone in zones, member.node))
        return suitable[:MAX_CANDIDATES]

    def _is_suitable(self, member: Member, voter_nodes: Collection[str], now: float) -> bool:
        if member.store or member.node in voter_nodes or member.node == self._roster.me.node:
            return False
        identity = self._identities.get(member.node, "")
        in_contact = now - self._roster.renewed_at(member.node) <= CONTACT_VALID_S
        return in_contact and Voter(member.node, identity).is_witness
