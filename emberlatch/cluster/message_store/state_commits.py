"""Commits the outcomes of this store's deliveries and the states that other stores report.

Also answers queries for messages.
"""

from __future__ import annotations

from emberlatch.cluster.message_store.local_store import LocalStore, Phase
from emberlatch.cluster.message_store.messages import (
    CommitStateRequest,
    DurableReply,
    MessageBody,
    MessageQuery,
    MessageStatus,
    StateReport,
)
from emberlatch.cluster.message_store.record import STATE_NAMES, MessageState, Record
from emberlatch.cluster.message_store.replica_reports import ReplicaReports
from emberlatch.cluster.rpc import CallFailedError, RpcMethod


class StateCommits:
    """Commits the states of messages, and answers queries for them."""

    def __init__(self, local_store: LocalStore, reports: ReplicaReports) -> None:
        self._local_store, self._reports = local_store, reports

    def finish(self, record: Record, state: MessageState, seal: str = "") -> None:
        """Commit the end of a message that this process owns, and report it to its replicas."""
        self._local_store.merge(record, state, seal, record.epoch, record.owner, record.attempts)
        self._reports.add([record])

    async def commit_states(self, request: CommitStateRequest) -> DurableReply:
        """Handle COMMIT_STATE: merge another store's reports; reply whether they are durable.

        Only a cancellation has to be durable for its sender: the reply to other reports is not delayed. An
        end or a cancellation that arrives before its copy is kept, so that the copy is not delivered.
        """
        for report in request.reports:
            self._merge(report)
        if any(report.state is MessageState.CANCELLED for report in request.reports):
            return DurableReply(await self._local_store.durable())
        return DurableReply(False)

    def _merge(self, report: StateReport) -> None:
        record = self._local_store.index.records.get(report.id)
        if record is None:
            if report.state is not MessageState.QUEUED:
                self._local_store.add_without_content(report)
        elif record.body is not None or report.state is not MessageState.QUEUED or record.is_queued:
            self._local_store.merge_report(record, report)

    def message_state(self, query: MessageQuery) -> MessageStatus | None:
        """Handle MESSAGE_STATE: return state and seal of a message; None if it is unknown or cancelled.

        Raises CallFailedError while this store is starting and does not have the message: its record may be
        on the disk that has not been read yet, or may have been lost and not yet been copied back.
        """
        record = self._local_store.index.records.get(query.id)
        if record is None:
            self._require_started(RpcMethod.MESSAGE_STATE)
        if record is None or record.state is MessageState.CANCELLED:
            return None
        return MessageStatus(STATE_NAMES[record.state], record.seal)

    async def message_body(self, query: MessageQuery) -> MessageBody:
        """Handle MESSAGE_BODY: return the body of a queued or dead-lettered message.

        Raises CallFailedError if the body can't be read, and while this store is starting and does not have
        the message.
        """
        record = self._local_store.index.records.get(query.id)
        if record is None:
            self._require_started(RpcMethod.MESSAGE_BODY)
        if record is None or record.state in (MessageState.CANCELLED, MessageState.COMPLETED):
            return MessageBody(None)
        if record.body is not None:
            return MessageBody(record.body)
        try:
            return MessageBody(await self._local_store.database.body(query.id))
        except OSError as error:
            me = self._local_store.me
            raise CallFailedError(RpcMethod.MESSAGE_BODY, me, str(error), True) from error

    def _require_started(self, method: RpcMethod) -> None:
        """Raise CallFailedError while this store is starting: it may not have loaded a message yet."""
        if self._local_store.phase is Phase.STARTING:
            raise CallFailedError(method, self._local_store.me, "the store is starting", True)
