"""Cancels messages that too few stores wrote to disk, and probes for copies of earlier attempts."""

from __future__ import annotations

import asyncio

from emberlatch.cluster.message_store.local_store import LocalStore
from emberlatch.cluster.message_store.messages import CommitStateRequest, DurableReply, StateReport
from emberlatch.cluster.message_store.ports import ClusterView
from emberlatch.cluster.message_store.record import MessageState, Record
from emberlatch.cluster.message_store.replica_reports import ReplicaReports
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcMethod

CANCEL_TIMEOUT_S = 0.15  # time for another store to write a cancellation to its disk
PROBE_TIMEOUT_S = 0.1  # time for another store to report its copy of a message that is being accepted


class Cancellation:
    """Cancels messages, and probes for copies of them that other stores accepted."""

    def __init__(self, local_store: LocalStore, reports: ReplicaReports, cluster: ClusterView) -> None:
        self._local_store, self._reports, self._cluster = local_store, reports, cluster

    async def cancel(self, record: Record, possible_holders: set[str], epoch: int) -> bool:
        """Cancel a message; return True if no copy of this epoch can be delivered now or later.

        `possible_holders` are the stores that have a copy or may still receive one.
        """
        me, attempts = self._local_store.me, record.attempts
        self._local_store.merge(record, MessageState.CANCELLED, "", epoch, me, attempts)
        local_commit = self._local_store.durable()
        report = StateReport(record.id, MessageState.CANCELLED, "", epoch, me, record.attempts)
        request = CommitStateRequest((report,))
        peers = [peer for node, peer in self._cluster.counted_stores().items() if node in possible_holders]
        confirmed = await asyncio.gather(*(self._cancel_at(peer, request) for peer in peers))
        durable_everywhere = await local_commit and all(confirmed) and len(peers) == len(possible_holders)
        return durable_everywhere and record.state is MessageState.CANCELLED

    @staticmethod
    async def _cancel_at(peer: Peer, request: CommitStateRequest) -> bool:
        try:
            reply = await peer.call(RpcMethod.COMMIT_STATE, request.to_wire(), CANCEL_TIMEOUT_S)
        except CallFailedError:
            return False
        return DurableReply.from_wire(reply).durable

    async def probe_for_copies(self, record: Record, possible_holders: list[str]) -> None:
        """Ask the stores that may have accepted the message for the same client, and merge their reports.

        This process then owns the message, unless another store is delivering it or has ended it.
        """
        stores = self._cluster.stores()
        peers = [peer for node, peer in stores.items() if node in possible_holders]
        if not peers:
            return
        report = self._local_store.state_report(record).to_wire()
        calls = (peer.call(RpcMethod.PROBE, report, PROBE_TIMEOUT_S) for peer in peers)
        for reply in await asyncio.gather(*calls, return_exceptions=True):
            if not isinstance(reply, BaseException):
                self._local_store.merge_report(record, StateReport.from_wire(reply))

    def probe(self, report: StateReport) -> StateReport:
        """Handle PROBE: another store is accepting a message that this store may have accepted.

        Return the state of the record here after it was merged with the report. The replicas that this store
        chose and the other store learn of each other, so that one owner reports the end to all of them.
        """
        local_store, epoch = self._local_store, report.epoch
        record = local_store.index.records.get(report.id)
        if record is None:  # the tombstone cancels a copy of an earlier epoch that arrives later
            record = local_store.add_tombstone(report.id, epoch - 1, report.owner)
        elif record.is_queued and local_store.delivery.is_in_flight(record):
            later_epoch = max(epoch, record.epoch) + 1
            local_store.merge(record, record.state, "", later_epoch, local_store.me, record.attempts)
        else:
            local_store.merge(record, MessageState.QUEUED, "", epoch, report.owner, report.attempts)
        if record.state is not MessageState.CANCELLED:
            local_store.add_replica_holders(record, [report.owner])
            self._reports.add([record])
        return local_store.state_report(record)
