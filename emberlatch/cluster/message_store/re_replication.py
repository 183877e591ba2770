"""Copies messages that too few reachable machines have to more stores.

The owner of a message reports the message's end to the replicas that its own record names. So a copy of a
queued message may exist only on stores that the owner knows of: the owner notes a store in its record before
it sends the copy, and no other store copies a message whose owner may still deliver it.
"""

from __future__ import annotations

import asyncio
import contextlib

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store.local_store import LocalStore
from emberlatch.cluster.message_store.ownership import Ownership
from emberlatch.cluster.message_store.ports import ClusterView
from emberlatch.cluster.message_store.record import MessageState, Record
from emberlatch.cluster.message_store.record_batches import split_by_size
from emberlatch.cluster.message_store.repair import Repair
from emberlatch.cluster.message_store.replica_reports import ReplicaReports
from emberlatch.cluster.rpc import CallFailedError, Peer
from emberlatch.engine import Tasks

UNREACHABLE_AFTER_S = 1.5  # copies on a machine that is down for longer are not counted
SCAN_INTERVAL_S = 0.25  # interval of scans for messages with too few copies


class ReReplication:
    """Makes more copies of messages that have too few."""

    def __init__(
        self,
        local_store: LocalStore,
        repair: Repair,
        reports: ReplicaReports,
        ownership: Ownership,
        tasks: Tasks,
        cluster: ClusterView,
    ) -> None:
        self._local_store, self._repair, self._reports = local_store, repair, reports
        self._ownership = ownership
        self._tasks, self._cluster = tasks, cluster
        self._running = False
        self._scanned_at = 0.0

    # Owned messages.

    def start_if_due(self, now: float) -> None:
        """Start copying the owned messages that too few reachable machines have, if a scan is due."""
        if self._running or now - self._scanned_at < SCAN_INTERVAL_S:
            return
        self._scanned_at = now
        reachable = self._reachable(now)
        if reachable >= {self._local_store.me, *self._cluster.stores()}:
            return
        owned = self._local_store.index.owned_by(self._local_store.me)
        under_replicated = [r for r in owned if not self._has_enough_copies(r, reachable)]
        if under_replicated:
            self._running = True
            self._tasks.spawn(self._run(under_replicated, reachable))

    async def _run(self, records: list[Record], reachable: set[str]) -> None:
        try:
            count = await self.add_copies(records, reachable)
            if count:
                log_event(Event.RE_REPLICATED, messages=count)
        finally:
            self._running = False

    def _reachable(self, now: float) -> set[str]:
        """Return the machines whose copies are counted.

        While a store is being emptied, copies on disks that accept no writes are not counted: that store does
        not rely on them either, and would wait for more copies.
        """
        recently_up = {
            node
            for node, peer in self._cluster.stores().items()
            if peer.up or now - max(peer.last_up_at, peer.created_at) < UNREACHABLE_AFTER_S
        }
        decommissioning = self._cluster.decommissioning_stores()
        if recently_up & decommissioning:
            recently_up = {node for node in recently_up if self._cluster.is_disk_writable(node)}
        return ({self._local_store.me} | recently_up) - decommissioning

    # Counting copies.

    def under_replicated(self, counted: set[str]) -> list[Record]:
        """Return the records here of which too few of the counted machines have a copy."""
        return [
            record
            for record in self._local_store.index.records.values()
            if record.state is not MessageState.CANCELLED and not self._has_enough_copies(record, counted)
        ]

    def _has_enough_copies(self, record: Record, counted: set[str]) -> bool:
        return self._cluster.satisfies_quorum(counted & set(record.replicas))

    # Copying.

    async def add_copies(self, records: list[Record], counted: set[str]) -> int:
        """Copy each record until enough of the counted machines have it; return the number of copies made.

        Records that only their owner may copy are left out.
        """
        peers = {peer.name: peer for peer in self._cluster.writable_stores()}
        allowed = [record for record in records if self._may_copy(record)]
        copied = 0
        for name, assigned in self._plan_copies(allowed, counted, peers).items():
            for batch in split_by_size(assigned):
                try:
                    await self._copy(peers[name], batch)
                except CallFailedError:
                    break
                copied += len(batch)
        return copied

    def _may_copy(self, record: Record) -> bool:
        """Return whether this store may choose more replicas of a record.

        A final state may be copied by any store.
        """
        if not record.is_queued or record.owner == self._local_store.me:
            return True
        owner = self._cluster.stores().get(record.owner)
        now = asyncio.get_running_loop().time()
        return owner is None or self._ownership.has_surely_stopped(owner, now)

    async def _copy(self, peer: Peer, records: list[Record]) -> None:
        """Copy records to one store. Raises CallFailedError if it does not confirm that they are on disk.

        The store is named as an unconfirmed replica before the copy is sent. A report of the message's end,
        which is sent on the same connection, then follows the copy.
        """
        for record in records:
            record.unconfirmed_replicas |= {peer.name}
        await self._repair.send_batch(peer, records)
        for record in records:
            record.unconfirmed_replicas -= {peer.name}
            self._local_store.add_replica_holders(record, [peer.name])
        self._reports.add(records)

    def _plan_copies(
        self, records: list[Record], counted: set[str], peers: dict[str, Peer]
    ) -> dict[str, list[Record]]:
        """Return the records to copy, by the store that is to receive them."""
        by_peer: dict[str, list[Record]] = {}
        for record in records:
            have = counted & set(record.replicas)
            while not self._cluster.satisfies_quorum(have):
                candidates = self._cluster.replica_candidates(have)
                peer = next((p for p in candidates if p.name in peers), None)
                if peer is None:
                    break
                have.add(peer.name)
                by_peer.setdefault(peer.name, []).append(record)
        return by_peer

    # Messages of other owners.

    async def ask_owners(self, records: list[Record]) -> None:
        """Fetch the records that only their owners may copy from these owners, to learn their replicas."""
        by_owner: dict[str, list[str]] = {}
        for record in records:
            if not self._may_copy(record):
                by_owner.setdefault(record.owner, []).append(record.id)
        stores = self._cluster.stores()
        for owner, ids in by_owner.items():
            with contextlib.suppress(CallFailedError):
                await self._repair.fetch(stores[owner], ids)
