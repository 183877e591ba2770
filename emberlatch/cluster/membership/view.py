"""The membership as one process sees it: the facade of this package for the rest of the process.

`MembershipView` only combines the parts, and each part owns its state. The parts are the roster of members,
the links, the reports of the other stores, the exchange of rosters, the contact with the voters and the
selection of stores.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator

from emberlatch.cluster.consensus.maintenance import MemberReport
from emberlatch.cluster.consensus.state import Voter
from emberlatch.cluster.membership.agreed_state import AgreedState
from emberlatch.cluster.membership.links import PeerLinks
from emberlatch.cluster.membership.member import Member
from emberlatch.cluster.membership.member_reports import MemberReports
from emberlatch.cluster.membership.messages import Handshake, Heartbeat, MembershipUpdate
from emberlatch.cluster.membership.roster import Roster
from emberlatch.cluster.membership.roster_exchange import RosterExchange
from emberlatch.cluster.membership.roster_storage import RosterStorage
from emberlatch.cluster.membership.store_reports import StoreReports
from emberlatch.cluster.membership.store_selection import StoreSelection
from emberlatch.cluster.membership.voter_contact import VoterContact
from emberlatch.cluster.rpc import (
    Peer,
    PeerDelegate,
    RequestHandler,
    RpcConnection,
    RpcServer,
    TrafficCounters,
)
from emberlatch.cluster.settings import NodeSettings
from emberlatch.engine import Tasks

FORGET_AFTER_S = 120.0  # seconds without contact after which a machine is removed


class MembershipView:
    """Provides the membership to the rest of the process; see the module docstring.

    Args:
        settings: Settings of this process.
        incarnation: Incarnation of this process; increases with each start.
        tasks: Runs the links.
        agreed: The agreed control state, which the control plane keeps up to date.
        storage: Where a store keeps its roster across restarts; None without a disk.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        tasks: Tasks,
        agreed: AgreedState,
        storage: RosterStorage | None,
    ) -> None:
        self.settings, self.me = settings, _describe(settings, incarnation)
        self.roster, self.reported = Roster(self.me), StoreReports()
        self._agreed = agreed
        self._links = PeerLinks(settings, self.roster, tasks, agreed)
        self._exchange = RosterExchange(self.roster, self._links, tasks, storage)
        self._contact = VoterContact(settings.node, agreed, self._links, self.reported)
        self._selection = StoreSelection(settings, self.roster, self._links, self.reported, agreed)
        self._members = MemberReports(self.roster, self._links, self.reported, agreed)

    @staticmethod
    def now() -> float:
        """The loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    # Links.

    @property
    def peers(self) -> dict[tuple[str, int], Peer]:
        """The links that this process dials, by address."""
        return self._links.peers

    @property
    def counters(self) -> TrafficCounters:
        """Counters of the frames sent and the messages dropped on all links."""
        return self._links.counters

    def open_links(self, rpc_server: RpcServer, delegate: PeerDelegate, handler: RequestHandler) -> None:
        """Start to dial the other processes; see `PeerLinks.open`."""
        self._links.open(rpc_server, delegate, handler)

    def dial(self) -> None:
        """Dial the stores that are new to the roster, and close the links to those removed from it."""
        self._links.dial()

    def close(self) -> None:
        """Close all links."""
        self._links.close()

    def inbound_connections(self) -> list[RpcConnection]:
        """The connections that other processes dialled to this one."""
        return self._links.inbound_connections()

    def stores(self) -> dict[str, Peer]:
        """The links to the other stores, by node, whether they are up or not."""
        return self._links.stores()

    def voter_link(self, node: str) -> Peer | None:
        """The link to a store or a witness; None if there is none."""
        return self._links.voter(node)

    def reachable_stores(self) -> list[Peer]:
        """The links to stores that are up."""
        return self._links.reachable_stores()

    def reachable_witnesses(self) -> list[Peer]:
        """The links to voters without a disk that are up."""
        return [peer for peer in self._links.witnesses().values() if peer.up]

    # The roster.

    def restore_roster(self) -> None:
        """Add the stores that the previous incarnation knew. Raises OSError if the disk can't be read."""
        self._exchange.restore()

    def create_update(self) -> MembershipUpdate:
        """The description of this process and, if it is a store, of all stores that it knows."""
        return self._exchange.create_update()

    def apply_membership_update(self, update: MembershipUpdate, link: Peer | RpcConnection | None) -> None:
        """Apply an update of another process; `link` is the link to that process."""
        self._exchange.apply_update(update, link)

    def forget_removed_stores(self, now: float) -> None:
        """Remove stores that are excluded by agreement and were unreachable for `FORGET_AFTER_S`."""
        excluded_nodes = self._agreed.control_state.excluded_nodes
        for name, peer in list(self.stores().items()):
            last_up_at = max(peer.last_up_at, peer.created_at)
            if name in excluded_nodes and not peer.up and now - last_up_at > FORGET_AFTER_S:
                self.roster.remove(name)
                self.dial()

    def expire_leases(self, now: float) -> None:
        """Remove forwarders that have sent nothing for `FORGET_AFTER_S`."""
        for node in self.roster.expire_leases(now - FORGET_AFTER_S):
            self.reported.identities.pop(node, None)

    def node_at(self, control: str) -> str | None:
        """The machine whose control API has the address `control` (`host:port`); None if it is unknown."""
        return next((m.node for m in self.roster.stores() if m.control == control), None)

    # Reports of the other processes.

    def apply_handshake(self, handshake: Handshake, link: Peer | RpcConnection) -> None:
        """Apply the handshake of a process. An identity is accepted only from its own process."""
        sender = handshake.update.me
        if handshake.heartbeat.phase is not None:
            self.reported.phases[sender.node] = handshake.heartbeat.phase
        self.apply_membership_update(handshake.update, link)
        if handshake.identity:
            self.reported.set_identity(sender.node, handshake.identity)

    def apply_heartbeat(self, peer: Peer, heartbeat: Heartbeat) -> None:
        """Apply a store's phase, disk state and roster digest; a forwarder's heartbeat has no phase."""
        if heartbeat.phase is not None and heartbeat.disk is not None:
            self.reported.apply(peer.name, heartbeat.phase, heartbeat.disk, self.now())
            self._exchange.compare_digest(peer, heartbeat.roster_digest)

    def on_link_state_change(self, peer: Peer) -> None:
        """Handle a change of the state of a link."""
        if not peer.up:
            self.reported.link_down(peer.name)
        self.dial()

    # Contact with the voters.

    def has_majority_contact(self) -> bool:
        """Whether each voter of a majority has a link to this process or has certainly stopped.

        Any other majority of running voters then contains this process or a voter with a link to it;
        see `VoterContact`.
        """
        return self._contact.has_majority_contact()

    def has_confirmed_majority(self) -> bool:
        """Whether a majority of the voters answered a recent heartbeat; see `VoterContact`."""
        return self._contact.has_confirmed_majority()

    def founding_voters(self) -> tuple[Voter, ...]:
        """The voters when the cluster is founded: the seeds, by the addresses of their control APIs."""
        return tuple(Voter(f"{host}:{port}", "") for host, port in self.settings.seeds)

    def unreachable(self) -> dict[str, float]:
        """The other stores whose link is down, each with the seconds since the link was last up."""
        return self._members.unreachable()

    def unreachable_s(self, node: str) -> float:
        """For how many seconds a majority of the voters has not reached a machine; 0.0 if it has."""
        return self._members.unreachable_s(node)

    def reports(self) -> dict[str, MemberReport]:
        """The reports on all stores, this one included, on all voters and possible witnesses, by node."""
        return self._members.reports()

    # Selection of stores.

    def satisfies_quorum(self, nodes: Iterable[str]) -> bool:
        """Whether a message on the disks of these machines survives the losses that `resilience` specifies.

        This setting gives the numbers of machines, zones and regions that may be lost. Stores that are being
        decommissioned, or already are, do not count.
        """
        return self._selection.satisfies_quorum(nodes)

    def counted_stores(self) -> dict[str, Peer]:
        """The other stores, by node, except those that are decommissioned or removed by agreement."""
        return self._selection.counted_stores()

    def writable_stores(self) -> list[Peer]:
        """The other stores that accept messages and replicas.

        The link to such a store is up, and the store reports the phase `SERVING` and a writable disk.
        """
        return self._selection.writable_stores()

    def nearest_stores(self, key: str = "") -> list[Peer]:
        """The writable stores, the nearest first, then by their rank for the key; slow stores come last."""
        return self._selection.nearest_stores(key)

    def replica_candidates(self, have: set[str]) -> Iterator[Peer]:
        """The writable stores for one more replica, the best first; `have` are the nodes with a replica."""
        return self._selection.replica_candidates(have)

    def decommissioning_stores(self) -> set[str]:
        """The machines that are being decommissioned or already are."""
        return set(self._agreed.control_state.decommission_ordered)

    def is_disk_writable(self, node: str) -> bool:
        """Whether a machine's disk accepts writes; True if the machine has not reported."""
        return self.reported.disks.is_writable(node)

    def disk_unreadable_s(self, node: str) -> float:
        """Seconds since a machine first reported that its disk can't be read; 0.0 if the disk can be read."""
        return self.reported.disks.unreadable_s(node, self.now())


def _describe(settings: NodeSettings, incarnation: int) -> Member:
    control = settings.listen.get("control")
    return Member(
        node=settings.node,
        ip=settings.ip,
        port=settings.inner_port,
        zone=settings.zone,
        region=settings.region,
        store=settings.is_store,
        counted=settings.counted,
        control=f"{control[0]}:{control[1]}" if control else "",
        incarnation=incarnation,
    )
