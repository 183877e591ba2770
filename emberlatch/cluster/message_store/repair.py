"""Anti-entropy: compares copies by digests of ranges and replaces older copies by newer ones.

Messages with too few copies on reachable machines are copied to more stores.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
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
from emberlatch.cluster.message_store.record import MessageState, Record, WireRecord
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcMethod
from emberlatch.engine import Tasks

MAX_BATCH_BYTES = 256 * 1024  # a batch is sent once its records exceed this size
RECORD_OVERHEAD_BYTES = 300  # estimated size of a record in a frame without its body
MAX_REQUESTED_RECORDS = 200  # maximum number of ids in one RECORDS request
MAX_COPIED_RECORDS = 100  # maximum number of records in one batch of additional copies
COMPARE_INTERVAL_S = 5.0  # interval of comparisons with a peer that stays up
CALL_TIMEOUT_S = 2.0  # timeout of one call to a peer
UNREACHABLE_AFTER_S = 1.5  # copies on a machine that is down for longer are not counted
SCAN_INTERVAL_S = 0.25  # interval of scans for messages with too few copies
NEVER = -1e9  # event loop time that precedes all others

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class _PlannedCopy:
    """A record to copy, and the value of its `replicas` after the copy is stored."""

    record: Record
    replicas: tuple[str, ...]


class Repair:
    """Compares copies with other stores, and makes more copies of messages that have too few.

    `repaired_at` maps a store to the loop time at which the last completed comparison with it began.
    """

    def __init__(self, local_store: LocalStore, tasks: Tasks, cluster: ClusterView) -> None:
        self._local_store, self._tasks, self._cluster = local_store, tasks, cluster
        self.repaired_at: dict[str, float] = {}
        self._repairing: set[str] = set()
        self._re_replicating = False
        self._scanned_at = 0.0

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
        for ids in split(newer_there, MAX_REQUESTED_RECORDS):
            request = MessageIds(tuple(ids))
            reply = await peer.call(RpcMethod.RECORDS, request.to_wire(), CALL_TIMEOUT_S)
            self._absorb(RecordBatch.from_wire(reply))
        # A store whose disk accepts no writes rejects records. It compares again once its disk has recovered.
        if self._cluster.is_disk_writable(peer.name):
            await self.send(peer, newer_here)
        return len(newer_there), len(newer_here)

    def _absorb(self, batch: RecordBatch) -> None:
        for copy in batch.decode(asyncio.get_running_loop().time()):
            self._local_store.absorb(copy)

    async def send(self, peer: Peer, records: list[Record]) -> None:
        """Send records. Raises CallFailedError if the peer does not confirm that they are on its disk."""
        batch, size = list[WireRecord](), 0
        for record in records:
            batch.append(self._local_store.to_wire(record))
            size += RECORD_OVERHEAD_BYTES + len(record.body or b"")
            if size > MAX_BATCH_BYTES:
                await self._send_batch(peer, batch)
                batch, size = [], 0
        if batch:
            await self._send_batch(peer, batch)

    @staticmethod
    async def _send_batch(peer: Peer, records: list[WireRecord]) -> None:
        batch = RecordBatch(records)
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

    def records(self, request: MessageIds) -> RecordBatch:
        """Handle RECORDS: return those of the requested records that this store has."""
        records = self._local_store.index.records
        found = (records.get(id) for id in request.ids)
        return RecordBatch([self._local_store.to_wire(record) for record in found if record is not None])

    async def receive(self, batch: RecordBatch) -> DurableReply:
        """Handle REPAIR: merge the records that another store sends; reply whether they are on disk."""
        if not self._local_store.writable:
            return DurableReply(False)
        self._absorb(batch)
        return DurableReply(await self._local_store.durable())

    # Copying messages with too few copies.

    def _reachable(self, now: float) -> set[str]:
        """Return the machines whose copies are counted."""
        stores = self._cluster.stores()
        recently_up = {
            n
            for n, p in stores.items()
            if p.up or now - max(p.last_up_at, p.created_at) < UNREACHABLE_AFTER_S
        }
        return ({self._local_store.me} | recently_up) - self._cluster.decommissioning_stores()

    def re_replicate_if_due(self, now: float) -> None:
        """Start copying the owned messages that too few reachable machines have, if a scan is due."""
        if self._re_replicating or now - self._scanned_at < SCAN_INTERVAL_S:
            return
        self._scanned_at = now
        me, reachable = self._local_store.me, self._reachable(now)
        if reachable >= {me, *self._cluster.stores()}:
            return
        records = self._local_store.index.records.values()
        owned = (r for r in records if r.is_queued and r.owner == me)
        under_quorum = [r for r in owned if not self._cluster.satisfies_quorum(reachable & set(r.replicas))]
        if under_quorum:
            self._re_replicating = True
            self._tasks.spawn(self._re_replicate(under_quorum, reachable))

    async def _re_replicate(self, records: list[Record], reachable: set[str]) -> None:
        try:
            count = await self.add_copies(records, reachable)
            if count:
                log_event(Event.RE_REPLICATED, messages=count)
        finally:
            self._re_replicating = False

    async def add_copies(self, records: list[Record], counted: set[str]) -> int:
        """Copy each record until enough of the counted machines have it; return the number of copies made."""
        peers = {peer.name: peer for peer in self._cluster.writable_stores()}
        copied = 0
        for name, assigned in self._plan_copies(records, counted, peers).items():
            for part in split(assigned, MAX_COPIED_RECORDS):
                planned = [_PlannedCopy(record, (*record.replicas, name)) for record in part]
                try:
                    await self._send_batch(peers[name], [self._planned_to_wire(copy) for copy in planned])
                except CallFailedError:
                    break
                for copy in planned:
                    self._local_store.set_replica_holders(copy.record, copy.replicas)
                copied += len(part)
        return copied

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

    def _planned_to_wire(self, copy: _PlannedCopy) -> WireRecord:
        return self._local_store.to_wire(copy.record) | {"keepers": list(copy.replicas)}

    def under_replicated(self, counted: set[str]) -> list[Record]:
        """Return the records here of which too few of the counted machines have a copy."""
        return [
            record
            for record in self._local_store.index.records.values()
            if record.state is not MessageState.CANCELLED
            and not self._cluster.satisfies_quorum(counted & set(record.replicas))
        ]


def split(items: list[Item], size: int) -> Iterator[list[Item]]:
    """Yield a list in parts of at most this size."""
    return (items[start : start + size] for start in range(0, len(items), size))
