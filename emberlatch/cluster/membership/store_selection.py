"""Selects the stores that a message is sent to, and checks whether enough stores have a message."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from emberlatch.cluster.membership.agreed_state import AgreedState
from emberlatch.cluster.membership.links import PeerLinks
from emberlatch.cluster.membership.member import Member
from emberlatch.cluster.membership.placement import rank
from emberlatch.cluster.membership.roster import Roster
from emberlatch.cluster.membership.store_reports import StoreReports
from emberlatch.cluster.rpc import Peer
from emberlatch.cluster.settings import NodeSettings

Penalty = tuple[bool, ...]  # reasons not to choose a store, the most important first


class StoreSelection:
    """Selects stores by failure domain (zone and region), by response time and by rank for a key."""

    def __init__(
        self,
        settings: NodeSettings,
        roster: Roster,
        links: PeerLinks,
        reports: StoreReports,
        agreed: AgreedState,
    ) -> None:
        self._settings, self._roster, self._links = settings, roster, links
        self._reports, self._agreed = reports, agreed
        self._selections = 0  # used as the key of ranks, to spread replicas over stores

    def satisfies_quorum(self, nodes: Iterable[str]) -> bool:
        """Whether a message on the disks of these machines survives the losses that `resilience` specifies.

        This setting gives the numbers of machines, zones and regions that may be lost. Stores that are being
        decommissioned, or already are, do not count.
        """
        known, decommissioning = self._roster.members, self._agreed.control_state.decommission_ordered
        counted = (n for n in set(nodes) if n not in decommissioning)
        members = [m for n in counted if (m := known.get(n)) is not None and m.store]
        tolerated = self._settings.resilience
        return (
            len(members) > tolerated.machines
            and len({m.zone for m in members}) > tolerated.zones
            and len({m.region for m in members}) > tolerated.regions
        )

    def counted_stores(self) -> dict[str, Peer]:
        """The other stores, by node, except those that are decommissioned or removed by agreement."""
        excluded_nodes = self._agreed.control_state.excluded_nodes
        if not excluded_nodes:
            return self._links.stores()
        return {n: peer for n, peer in self._links.stores().items() if n not in excluded_nodes}

    def writable_stores(self) -> list[Peer]:
        """The other stores that accept messages and replicas.

        The link to such a store is up, and the store reports the phase `SERVING` and a writable disk.
        """
        return [p for n, p in self.counted_stores().items() if p.up and self._reports.is_serving(n)]

    def nearest_stores(self, key: str = "") -> list[Peer]:
        """The writable stores, the nearest first; slow stores come last.

        Stores of this process's zone come first, then those of its region. Equally near stores are ordered by
        their rank for the key, so that the messages of one service are sent to few stores.
        """
        local = self._settings
        return list(self._ranked(key, set(), lambda m: (m.zone != local.zone, m.region != local.region)))

    def replica_candidates(self, have: set[str]) -> Iterator[Peer]:
        """The writable stores for one more replica, the best first; `have` are the nodes with a replica.

        While `resilience` requires more regions or zones, stores in new ones are preferred. Once there are
        enough zones, stores in this process's zone are preferred, since traffic between zones costs money.
        """
        members, tolerated = self._roster.members, self._settings.resilience
        zones = {m.zone for n in have if (m := members.get(n)) is not None}
        regions = {m.region for n in have if (m := members.get(n)) is not None}
        new_zone, new_region = len(zones) <= tolerated.zones, len(regions) <= tolerated.regions
        self._selections += 1

        def penalty(member: Member) -> Penalty:
            return (
                new_region and member.region in regions,
                new_zone and member.zone in zones,
                not new_zone and member.zone != self._settings.zone,
            )

        return self._ranked(str(self._selections), have, penalty)

    def _ranked(self, key: str, excluded: set[str], penalty: Callable[[Member], Penalty]) -> Iterator[Peer]:
        """Yield the writable stores: slow ones last, then by ascending penalty, then by descending rank.

        Sorts one class of equal penalty at a time, because there may be many stores and callers use only the
        first few.
        """
        classes: dict[Penalty, list[Peer]] = {}
        for peer in self.writable_stores():
            if peer.name not in excluded:
                store_class = peer.slow, *penalty(self._roster.members[peer.name])
                classes.setdefault(store_class, []).append(peer)
        for store_class in sorted(classes):
            yield from sorted(classes[store_class], key=lambda peer: -rank(key, peer.name))
