"""Whether this process is in contact with a majority of the voters on the control state."""

from __future__ import annotations

import asyncio

from emberlatch.cluster.consensus.state import Voter, total_weight
from emberlatch.cluster.membership.agreed_state import AgreedState
from emberlatch.cluster.membership.links import PeerLinks
from emberlatch.cluster.membership.store_reports import StoreReports
from emberlatch.cluster.rpc import PeerState

CONTACT_VALID_S = 1.3  # seconds after sending for which an answered heartbeat proves contact


class VoterContact:
    """Two checks for contact with a majority of the voters.

    `has_majority_contact` depends on the state of the links. `has_confirmed_majority` is stricter and is used
    for operators' calls.
    """

    def __init__(self, node: str, agreed: AgreedState, links: PeerLinks, reports: StoreReports) -> None:
        self._node, self._agreed, self._links, self._reports = node, agreed, links, reports

    def has_majority_contact(self) -> bool:
        """Whether each voter of a majority has a link to this process or has certainly stopped.

        Any other majority of running voters then contains this process or a voter with a link to it.
        """
        voters = self._agreed.control_state.voters
        in_contact = [v for v in voters if v.node == self._node or self._linked_or_dead(v.node)]
        return 2 * total_weight(in_contact) > total_weight(voters)

    def _linked_or_dead(self, node: str) -> bool:
        peer = self._links.voter(node)
        return peer is not None and (peer.up or peer.state is PeerState.REFUSED)

    def has_confirmed_majority(self) -> bool:
        """Whether a majority of the voters answered a recent heartbeat, and this disk is not a foreign one.

        The answered heartbeat was sent within the last `CONTACT_VALID_S` seconds. A voter counts only if its
        machine has the disk that has the vote. A foreign disk belongs to another cluster.
        """
        voters, now = self._agreed.control_state.voters, asyncio.get_running_loop().time()
        confirmed = [voter for voter in voters if self._confirmed(voter, now)]
        majority = 2 * total_weight(confirmed) > total_weight(voters)
        return majority and not self._has_foreign_disk()

    def _confirmed(self, voter: Voter, now: float) -> bool:
        if voter.node == self._node:
            return voter.identity == self._agreed.identity
        peer = self._links.voter(voter.node)
        identified = self._reports.identities.get(voter.node) == voter.identity
        return identified and peer is not None and now - peer.last_answered_sent_at <= CONTACT_VALID_S

    def _has_foreign_disk(self) -> bool:
        """Whether the reachable stores of other clusters outnumber those of this one, this store included."""
        own_cluster, clusters = self._agreed.control_state.cluster, self._reports.clusters
        if all(cluster in ("", own_cluster) for cluster in clusters.values()):
            return False  # the usual case, decided without checking each link
        reported = [clusters.get(node, "") for node, peer in self._links.stores().items() if peer.up]
        foreign = [cluster for cluster in reported if cluster not in ("", own_cluster)]
        return len(foreign) > 1 + reported.count(own_cluster)
