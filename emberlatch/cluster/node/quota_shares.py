"""Divides the rate limit of a service among the stores."""

from __future__ import annotations

from emberlatch.cluster.membership import primary_store
from emberlatch.cluster.membership.view import MembershipView

PRIMARY_STORE_QUOTA_SHARE = 0.8  # part of a zone's share that its primary store gets


class QuotaShares:
    """Computes the share of this store in a service's rate limit.

    All known stores get a share, including dead ones, which may have sent calls just before they failed.
    """

    def __init__(self, node: str, zone: str, membership: MembershipView) -> None:
        self._node, self._zone, self._membership = node, zone, membership

    def divisor(self, service: str) -> float:
        """Return the number by which a service's rate limit is divided for this store; at least 1.

        Each zone gets the same share. Within a zone the primary store, to which the forwarders send the
        service's messages, gets most of the share. The other stores divide the rest, which they need to
        deliver messages that they took over.
        """
        stores = self._membership.roster.stores()
        zones = len({store.zone for store in stores})
        same_zone = [store.node for store in stores if store.zone == self._zone]
        if len(same_zone) < 2:
            return max(1, zones)
        counted = self._membership.counted_stores()
        candidates = [node for node in same_zone if node == self._node or node in counted]
        if primary_store(service, candidates) == self._node:
            return zones / PRIMARY_STORE_QUOTA_SHARE
        return zones * (len(same_zone) - 1) / (1 - PRIMARY_STORE_QUOTA_SHARE)
