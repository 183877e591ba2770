"""Anti-entropy: compares copies by digests of ranges and replaces older copies by newer ones."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from typing import TypeVar

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store.local_store import LocalStore
from emberlatch.cluster.message_store.messages import (
    DurableReply,
    MessageIds,
    RangeDifferences,
    RangeDigests,
    RecordBatch,
)
from emberlatch.cluster.message_store.ports import ClusterView
from emberlatch.cluster.message_store.record import Record
from emberlatch.cluster.message_store.record_batches import split_by_size
from emberlatch.cluster.message_store.replica_reports import ReplicaReports
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcMethod
from emberlatch.engine import Tasks

MAX_REQUESTED_RECORDS = 200  # maximum number of ids in one RECORDS request
COMPARE_INTERVAL_S = 5.0  # interval of comparisons with a peer that stays up
CALL_TIMEOUT_S = 2.0  # timeout of one call to a peer
NEVER = -1e9  # event loop time that precedes all others

Item = TypeVar("Item")


class Repair:
    """Compares copies with other stores, and sends them records.

    `repaired_at` maps a store to the loop time at which the last completed comparison with it began.
    """

    def __init__(
        self, local_store: LocalStore, tasks: Tasks, cluster: ClusterView, reports: ReplicaReports
    ) -> None:
        self._local_store, self._tasks, self._cluster = local_store, tasks, cluster
        self._reports = reports
        self.repaired_at: dict[str, float] = {}
        self._repairing: set[str] = set()

    # Comparison with a peer.

    def start_due(self, now: float) -> None:
        """Start a comparison with each peer for which one is due.

        It is due if the link came up after the last comparison, or if `COMPARE_INTERVAL_S` has passed since.
        """
        for name, peer in self._cluster.stores().items():
            if not peer.up or name in self._repairing:
                continue
            last = self.repaired_at.get(name, NEVER)
            if now - last > COMPARE_INTERVAL_S or last < peer.state_since:
                self._tasks.spawn(self.repair_peer(peer))

    async def repair_peer(self, peer: Peer) -> None:
        """Compare with another store, and exchange records until both have the newer copies."""
        if peer.name in self._repairing:
            return
        self._repairing.add(peer.name)
        began_at = asyncio.get_running_loop().time()
        try:
            received, sent = await self._exchange(peer)
            await self._local_store.durable()  # writes that fail stay pending in memory
            if received or sent:
                log_event(Event.REPAIRED, peer.name, taken=received, given=sent)
            self.repaired_at[peer.name] = began_at
        except CallFailedError:
            pass
        finally:
            self._repairing.discard(peer.name)

    async def _exchange(self, peer: Peer) -> tuple[int, int]:
        """Exchange newer copies; return how many copies were newer at the peer, and how many here."""
        index = self._local_store.index
        digests = RangeDigests(tuple(index.digests(peer.name)))
        reply = await peer.call(RpcMethod.DIGEST_RANGES, digests.to_wire(), CALL_TIMEOUT_S)
        differences = RangeDifferences.from_wire(reply)
        newer_there, newer_here = index.compare(peer.name, differences.ranges, differences.summaries)
        self._add_reported_copies(peer.name, differences.summaries)
        await self.fetch(peer, newer_there)
        # A store whose disk accepts no writes rejects records. It compares again once its disk has recovered.
        if self._cluster.is_disk_writable(peer.name):
            await self.send(peer, newer_here)
        return len(newer_there), len(newer_here)

    def _add_reported_copies(self, node: str, ids: Iterable[str]) -> None:
        """Name a store as a replica of the messages of which it reports a copy.

        Their owner then reports the end of these messages to that store as well.
        """
        for id in ids:
            record = self._local_store.index.records.get(id)
            if record is not None:
                self._local_store.add_replica_holders(record, [node])

    async def fetch(self, peer: Peer, ids: list[str]) -> None:
        """Fetch and merge a peer's copies of these messages. Raises CallFailedError if the peer fails."""
        for part in split(ids, MAX_REQUESTED_RECORDS):
            missing, received = part, set(part)
            while missing and received:
                received = await self._fetch_batch(peer, missing) & set(missing)
                missing = [id for id in missing if id not in received]

    async def _fetch_batch(self, peer: Peer, ids: list[str]) -> set[str]:
        """Fetch and merge as many of a peer's copies as it sends in one frame; return their ids."""
        reply = await peer.call(RpcMethod.RECORDS, MessageIds(tuple(ids)).to_wire(), CALL_TIMEOUT_S)
        return self._absorb(RecordBatch.from_wire(reply))

    def _absorb(self, batch: RecordBatch) -> set[str]:
        """Add or merge received copies; return their ids.

        All that may have a copy get a report of two kinds of records: of a message that has ended here, since
        its queued copy shows that a store has not learned of the end; and of a new queued copy that does not
        name this store as a replica, since the owner may not know of it.
        """
        copies = batch.decode(asyncio.get_running_loop().time())
        for copy in copies:
            unnamed = self._local_store.me not in copy.replicas
            record = self._local_store.absorb(copy)
            is_new = record is copy
            if record is not None and copy.is_queued and (record.has_ended or (is_new and unnamed)):
                self._reports.add([record])
        return {copy.id for copy in copies}

    async def send(self, peer: Peer, records: list[Record]) -> None:
        """Send records. Raises CallFailedError if the peer does not confirm that they are on its disk."""
        for batch in split_by_size(records):
            await self.send_batch(peer, batch)

    async def send_batch(self, peer: Peer, records: list[Record]) -> None:
        """Send a batch of `split_by_size` in one frame.

        Raises CallFailedError if the peer does not confirm that the records are on its disk.
        """
        batch = RecordBatch([self._local_store.to_wire(record) for record in records])
        reply = await peer.call(RpcMethod.REPAIR, batch.to_wire(), CALL_TIMEOUT_S)
        if not DurableReply.from_wire(reply).durable:
            raise CallFailedError(
                RpcMethod.REPAIR,
                peer.name,
                f"got durable=False for {len(records)} records, expected True",
                True,
            )

    # Requests from other stores.

    def compare_digests(self, node: str, theirs: RangeDigests) -> RangeDifferences:
        """Handle DIGEST_RANGES: return the ranges that differ, with summaries of our records in them."""
        return self._local_store.index.differences(node, theirs.digests)

    def records(self, node: str, request: MessageIds) -> RecordBatch:
        """Handle RECORDS: return the first of the requested records that this store has.

        The store that asks is noted as an unconfirmed replica of them, so that it learns how they end. It
        asks again for those that do not fit into one frame.
        """
        records = self._local_store.index.records
        found = (records[id] for id in request.ids if id in records)
        batch = next(split_by_size(found), [])
        for record in batch:
            record.unconfirmed_replicas |= {node} - set(record.replicas)
        return RecordBatch([self._local_store.to_wire(record) for record in batch])

    async def receive(self, batch: RecordBatch) -> DurableReply:
        """Handle REPAIR: merge the records that another store sends; reply whether they are on disk."""
        if not self._local_store.writable:
            return DurableReply(False)
        self._absorb(batch)
        return DurableReply(await self._local_store.durable())


def split(items: list[Item], size: int) -> Iterator[list[Item]]:
    """Yield a list in parts of at most this size."""
    return (items[start : start + size] for start in range(0, len(items), size))
