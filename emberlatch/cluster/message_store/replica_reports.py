"""Reports of changed records, which are repeated until each store that may have a copy has acknowledged them.

How a message ends is sent with COMMIT_STATE, and who owns a queued message with REPAIR, without its body.
There is one outbox for each other store and at most one request to it in flight, so that reports which are
added meanwhile share the next request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from emberlatch.cluster.message_store.local_store import LocalStore
from emberlatch.cluster.message_store.messages import CommitStateRequest, DurableReply, RecordBatch
from emberlatch.cluster.message_store.ports import ClusterView
from emberlatch.cluster.message_store.record import MessageState, Record
from emberlatch.cluster.message_store.record_batches import split_by_size
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcMethod
from emberlatch.engine import Tasks

CALL_TIMEOUT_S = 1.0  # timeout of one request; its reports are then sent again
RETRY_INTERVAL_S = 0.1  # pause after a failed request
MAX_REPORTS_PER_CALL = 500  # maximum number of reports in one COMMIT_STATE request
# Maximum number of reports that wait for one store. The oldest are dropped beyond that: a store that was
# unreachable compares its records with all others as soon as its link is up.
MAX_PENDING_REPORTS = 10_000


@dataclass(slots=True)
class _Outbox:
    """The reports for one store: ids of records that wait, and of those in the request in flight."""

    pending: dict[str, None] = field(default_factory=dict)  # in the order in which they were added
    in_flight: set[str] = field(default_factory=set)
    sending: bool = False  # whether a task sends the reports of this outbox

    def add(self, id: str) -> None:
        """Add the id of a record; drop the oldest if too many wait."""
        self.pending[id] = None
        if len(self.pending) > MAX_PENDING_REPORTS:
            del self.pending[next(iter(self.pending))]


class ReplicaReports:
    """Sends reports of changed records, and knows which stores have not acknowledged theirs.

    A report is read from its record when it is sent, so that a record that changed again is reported once.
    """

    def __init__(self, local_store: LocalStore, tasks: Tasks, cluster: ClusterView) -> None:
        self._local_store, self._tasks, self._cluster = local_store, tasks, cluster
        self._outboxes: dict[str, _Outbox] = {}

    def add(self, records: Iterable[Record]) -> None:
        """Report records to all other stores that have, or may have, a copy."""
        for record in records:
            for node in record.possible_replicas - {self._local_store.me, ""}:
                outbox = self._outboxes.setdefault(node, _Outbox())
                outbox.add(record.id)
                self._start(node, outbox)

    def unacknowledged_nodes(self) -> set[str]:
        """Return the stores that have not acknowledged all reports for them."""
        return {node for node, outbox in self._outboxes.items() if outbox.pending or outbox.in_flight}

    def tick(self) -> None:
        """Resume sending to stores whose links are up again; forget stores that are no members any more."""
        known = self._cluster.stores()
        for node, outbox in list(self._outboxes.items()):
            if node not in known and not outbox.sending:
                del self._outboxes[node]
            elif outbox.pending:
                self._start(node, outbox)

    def _start(self, node: str, outbox: _Outbox) -> None:
        peer = self._cluster.stores().get(node)
        if not outbox.sending and peer is not None and peer.up:
            outbox.sending = True
            self._tasks.spawn(self._send_all(peer, outbox))

    async def _send_all(self, peer: Peer, outbox: _Outbox) -> None:
        """Send reports until none can be sent now; `tick` starts again later."""
        try:
            while peer.up and (batch := self._next_batch(peer, outbox)):
                await self._send_batch(peer, outbox, batch)
        finally:
            outbox.sending = False

    async def _send_batch(self, peer: Peer, outbox: _Outbox, records: list[Record]) -> None:
        """Send reports in one request; if it fails they wait again, before all others."""
        ids = [record.id for record in records]
        for id in ids:
            del outbox.pending[id]
        outbox.in_flight = set(ids)
        acknowledged = False
        try:
            acknowledged = await self._send(peer, records)
        except CallFailedError:
            pass
        finally:
            outbox.in_flight = set()
            if not acknowledged:
                outbox.pending = dict.fromkeys(ids) | outbox.pending
        if not acknowledged:
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _next_batch(self, peer: Peer, outbox: _Outbox) -> list[Record]:
        """Return the records to report next: all of them ended, or none.

        How messages ended comes first. A store whose disk has a fault merges no more than that. Records that
        were deleted or cancelled are dropped: `Cancellation` reports what it cancels.
        """
        ended, queued = list[Record](), list[Record]()
        for id in list(outbox.pending):
            record = self._local_store.index.records.get(id)
            if record is None or record.state is MessageState.CANCELLED:
                del outbox.pending[id]
            else:
                (queued if record.is_queued else ended).append(record)
        sendable = ended
        if not ended and self._cluster.is_disk_writable(peer.name):
            sendable = queued
        return next(split_by_size(sendable[:MAX_REPORTS_PER_CALL], with_bodies=False), [])

    async def _send(self, peer: Peer, records: list[Record]) -> bool:
        """Send reports; return whether they were merged. Raises CallFailedError if the store fails."""
        if not records[0].is_queued:
            ends = CommitStateRequest(tuple(map(self._local_store.state_report, records)))
            await peer.call(RpcMethod.COMMIT_STATE, ends.to_wire(), CALL_TIMEOUT_S)
            return True
        now = asyncio.get_running_loop().time()
        batch = RecordBatch([record.to_wire(now, None) for record in records])
        reply = await peer.call(RpcMethod.REPAIR, batch.to_wire(), CALL_TIMEOUT_S)
        return DurableReply.from_wire(reply).durable
