"""Collects the reports on each machine that the maintenance of the group of voters needs."""

from __future__ import annotations

import asyncio

from emberlatch.cluster.consensus.maintenance import MemberReport
from emberlatch.cluster.consensus.state import Voter
from emberlatch.cluster.membership.agreed_state import AgreedState
from emberlatch.cluster.membership.links import PeerLinks
from emberlatch.cluster.membership.member import Member
from emberlatch.cluster.membership.roster import Roster
from emberlatch.cluster.membership.store_reports import StoreReports
from emberlatch.cluster.membership.witness_candidates import WitnessCandidates
from emberlatch.cluster.rpc import Peer

UNKNOWN_VERSION = -1  # control state version of a store that has not reported one


class MemberReports:
    """Combines the observations of this process with the reports of the others."""

    def __init__(self, roster: Roster, links: PeerLinks, reports: StoreReports, agreed: AgreedState) -> None:
        self._node, self._roster, self._links = roster.me.node, roster, links
        self._reports, self._agreed = reports, agreed
        self._witness_candidates = WitnessCandidates(roster, reports.identities)
        self._created_at = _now()

    def unreachable(self) -> dict[str, float]:
        """The other stores and voters whose link is down, each with the seconds since it was last up."""
        now, stores = _now(), self._links.stores()
        unreachable = {n: now - max(p.last_up_at, p.created_at) for n, p in stores.items() if not p.up}
        for node, peer in self._links.witnesses().items():
            if not peer.up:
                unreachable[node] = now - max(peer.last_up_at, peer.created_at)
        for voter in self._agreed.control_state.voters:
            known = voter.node == self._node or self._links.voter(voter.node) is not None
            # A voter that is missing in the roster has had no contact with any running process.
            if voter.identity and not known:
                unreachable[voter.node] = now - self._created_at
        return unreachable

    def unreachable_s(self, node: str) -> float:
        """For how many seconds a majority of the voters has not reached a machine; 0.0 if it has."""
        self._report_own()
        return self._unreachable_s(node)

    def _report_own(self) -> None:
        self._reports.unreachability.report(self._node, self.unreachable(), _now())

    def _unreachable_s(self, node: str) -> float:
        voters = self._agreed.control_state.voters
        return self._reports.unreachability.unreachable_s(node, voters, _now())

    def reports(self) -> dict[str, MemberReport]:
        """The reports on all stores, this one included, on all voters and possible witnesses, by node."""
        self._report_own()
        state = self._agreed.control_state
        reports = {member.node: self._report(member) for member in self._roster.stores()}
        for voter in state.witnesses:
            if (member := self._roster.members.get(voter.node)) is not None:
                reports[voter.node] = self._report_witness(member, voter, self._links.voter(voter.node))
        for candidate in self._witness_candidates.choose({voter.node for voter in state.voters}, _now()):
            reports[candidate.node] = self._report_candidate(candidate)
        for voter in state.voters:
            if voter.node not in reports:
                unreachable_s = self._unreachable_s(voter.node)
                counted = not voter.is_witness
                reports[voter.node] = MemberReport(
                    voter, "", "", counted, False, unreachable_s, UNKNOWN_VERSION
                )
        return reports

    def _report_witness(self, member: Member, voter: Voter, peer: Peer | None) -> MemberReport:
        node = member.node
        return MemberReport(
            Voter(node, self._reports.identities.get(node, voter.identity)),
            member.zone,
            member.region,
            False,
            peer is not None and peer.up,
            self._unreachable_s(node),
            self._reports.versions.get(node, UNKNOWN_VERSION),
            self._reports.clusters.get(node, ""),
            ending=node in self._reports.withheld_votes,
        )

    def _report_candidate(self, member: Member) -> MemberReport:
        identity = self._reports.identities.get(member.node, "")
        voter = Voter(member.node, identity)
        return MemberReport(voter, member.zone, member.region, False, True, 0.0, UNKNOWN_VERSION)

    def _report(self, member: Member) -> MemberReport:
        node, domain = member.node, (member.zone, member.region, member.counted)
        if node == self._node:
            voter, cluster = Voter(node, self._agreed.identity), self._agreed.control_state.cluster
            return MemberReport(voter, *domain, True, 0.0, self._reports.versions.get(node, 0), cluster)
        peer = self._links.stores().get(node)
        return MemberReport(
            Voter(node, self._reports.identities.get(node, "")),
            *domain,
            peer is not None and peer.up and not self._reports.is_closing(node),
            self._unreachable_s(node),
            self._reports.versions.get(node, UNKNOWN_VERSION),
            self._reports.clusters.get(node, ""),
            contact_s=_now() - peer.state_since if peer is not None and peer.up else 0.0,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
