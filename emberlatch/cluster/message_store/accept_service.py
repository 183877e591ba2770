"""Accepts messages of clients: a message is accepted once enough stores have it on disk.

Otherwise the message is cancelled. The reply then says whether the message is certain never to be delivered.
"""

from __future__ import annotations

import asyncio

from emberlatch.cluster.message_store.cancellation import Cancellation
from emberlatch.cluster.message_store.local_store import LocalStore, Phase
from emberlatch.cluster.message_store.messages import AcceptReply, AcceptRequest
from emberlatch.cluster.message_store.ownership import Ownership
from emberlatch.cluster.message_store.ports import ClusterView
from emberlatch.cluster.message_store.record import MessageState, Record
from emberlatch.cluster.message_store.replica_reports import ReplicaReports
from emberlatch.cluster.message_store.replication import Replication
from emberlatch.cluster.message_store.retention import DiskUsage
from emberlatch.cluster.rpc import Peer

ENDED = AcceptReply(True, False, "ended")
DELIVERED_ELSEWHERE = AcceptReply(True, False, "another delivers it")
ACCEPTED = AcceptReply(True)
OWNED_ELSEWHERE = AcceptReply(False, False, "another holds it")
FAILED = AcceptReply(False, False, "failed")


class AcceptService:
    """Serves the ACCEPT calls of forwarders. `max_body_bytes` limits the total size of bodies in memory."""

    def __init__(
        self,
        local_store: LocalStore,
        cluster: ClusterView,
        replication: Replication,
        cancellation: Cancellation,
        ownership: Ownership,
        reports: ReplicaReports,
        disk_usage: DiskUsage,
        max_body_bytes: float,
    ) -> None:
        self._local_store, self._cluster = local_store, cluster
        self._replication, self._cancellation, self._ownership = replication, cancellation, ownership
        self._reports = reports
        self._disk_usage, self._max_body_bytes = disk_usage, max_body_bytes
        self._pending: dict[str, asyncio.Future[AcceptReply]] = {}

    @property
    def is_accepting(self) -> bool:
        """Whether any message is being accepted."""
        return bool(self._pending)

    def is_pending(self, id: str) -> bool:
        """Whether a message is being accepted."""
        return id in self._pending

    async def accept(self, request: AcceptRequest) -> AcceptReply:
        """Handle ACCEPT: make a message durable, or reply why not and whether delivery is ruled out."""
        id, epoch = request.message.id, 1 + request.prior_attempts
        if (pending := self._pending.get(id)) is not None:
            return await asyncio.shield(pending)
        existing = self._local_store.index.records.get(id)
        if existing is not None and existing.state in (MessageState.COMPLETED, MessageState.DEAD_LETTERED):
            return ENDED
        if existing is not None and existing.epoch >= epoch and existing.owner != self._local_store.me:
            return OWNED_ELSEWHERE
        replicas: list[Peer] = []
        reason = self._local_obstacle(len(request.message.body))
        if not reason:
            replicas = self._replication.choose_replicas()
            reason = "" if self._satisfies_promptly(replicas) else "too few other stores answer"
        if reason:
            return AcceptReply(False, existing is None, reason)
        return await self._accept_once(request, epoch, existing, replicas)

    def _local_obstacle(self, body_bytes: int) -> str:
        """Return why this process can't accept a message now; an empty string if it can."""
        local_store = self._local_store
        if local_store.phase is not Phase.SERVING:
            return str(local_store.phase.value)
        if self._disk_usage.full or local_store.index.body_bytes + body_bytes > self._max_body_bytes:
            return "full"
        return "" if local_store.commits_promptly() else "its disk can't be written now"

    def _satisfies_promptly(self, replicas: list[Peer]) -> bool:
        """Return whether copies here and on the replicas that are not slow satisfy the quorum."""
        prompt = (peer.name for peer in replicas if not peer.slow)
        return self._cluster.satisfies_quorum([self._local_store.me, *prompt])

    async def _accept_once(
        self, request: AcceptRequest, epoch: int, existing: Record | None, replicas: list[Peer]
    ) -> AcceptReply:
        """Store a message; requests for the same message that arrive meanwhile get the same reply."""
        id = request.message.id
        pending = self._pending[id] = asyncio.get_running_loop().create_future()
        self._local_store.probing.add(id)
        try:
            reply = await self._store(request, epoch, existing, replicas)
            pending.set_result(reply)
        finally:
            del self._pending[id]
            self._local_store.probing.discard(id)
            if not pending.done():
                pending.set_result(FAILED)
        return reply

    async def _store(
        self, request: AcceptRequest, epoch: int, existing: Record | None, replicas: list[Peer]
    ) -> AcceptReply:
        local_store = self._local_store
        record = self._write_record(request, epoch, existing, [peer.name for peer in replicas])
        local_commit = local_store.durable()
        probe = self._cancellation.probe_for_copies(record, request.possible_holders)
        outcome, _ = await asyncio.gather(self._replication.replicate_until_quorum(record, replicas), probe)
        local_store.probing.discard(record.id)  # stores that may deliver it have replied or timed out
        if record.owner != local_store.me or record.has_ended:
            self._reports.add([record])  # the replicas chosen here are unknown to the store that delivers it
        durable = await local_commit and self._cluster.satisfies_quorum([local_store.me, *outcome.durable])
        if durable and (reply := await self._reply_if_accepted(record, epoch)) is not None:
            return reply
        cancelled = await self._cancellation.cancel(record, outcome.possible, epoch)
        return AcceptReply(False, cancelled and existing is None and epoch == 1, "no copy")

    def _write_record(
        self, request: AcceptRequest, epoch: int, existing: Record | None, replicas: list[str]
    ) -> Record:
        """Write and return the record, owned by this process. A new record names the chosen replicas."""
        me, message = self._local_store.me, request.message
        if existing is not None:
            self._local_store.merge(existing, MessageState.QUEUED, "", epoch, me, existing.attempts)
            return existing
        record = Record(
            message.id, message.host, message.method, message.path, message.content_type, message.body
        )
        record.sent_at = asyncio.get_running_loop().time() - request.age_s
        record.due_at = record.sent_at + message.delay_s
        record.expires_at = record.sent_at + message.retention_s
        record.config_revision, record.owner, record.epoch = message.config_revision, me, epoch
        record.replicas = (me, *replicas)
        self._local_store.add(record)
        return record

    async def _reply_if_accepted(self, record: Record, epoch: int) -> AcceptReply | None:
        """Return the reply for a durable record; None if the record is cancelled or of an earlier epoch."""
        local_store = self._local_store
        if not record.is_queued:
            return ENDED if record.state is not MessageState.CANCELLED else None
        if record.epoch > epoch:
            return DELIVERED_ELSEWHERE
        if record.epoch < epoch:
            return None
        if record.owner == local_store.me and local_store.delivers:
            local_store.delivery.deliver(record)
        elif record.owner == local_store.me:
            await self._ownership.hand_over([record])
        return ACCEPTED
