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

UNKNOWN_VERSION = -1  # control state version of a store that has not reported one


class MemberReports:
    """Combines the observations of this process with the reports of the others."""

    def __init__(self, roster: Roster, links: PeerLinks, reports: StoreReports, agreed: AgreedState) -> None:
        self._node, self._roster, self._links = roster.me.node, roster, links
        self._reports, self._agreed = reports, agreed
        self._created_at = _now()

    def unreachable(self) -> dict[str, float]:
        """The other stores whose link is down, each with the seconds since the link was last up."""
        now, stores = _now(), self._links.stores()
        unreachable = {n: now - max(p.last_up_at, p.created_at) for n, p in stores.items() if not p.up}
        for voter in self._agreed.control_state.voters:
            known = voter.node == self._node or voter.node in stores
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
        voters = [voter.node for voter in self._agreed.control_state.voters]
        return self._reports.unreachability.unreachable_s(node, voters, _now())

    def reports(self) -> dict[str, MemberReport]:
        """The reports on all stores, this one included, and on all voters, by node."""
        self._report_own()
        reports = {member.node: self._report(member) for member in self._roster.stores()}
        for voter in self._agreed.control_state.voters:
            if voter.node not in reports:
                unreachable_s = self._unreachable_s(voter.node)
                reports[voter.node] = MemberReport(voter, "", "", True, False, unreachable_s, UNKNOWN_VERSION)
        return reports

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
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
