"""The message store: keeps messages on disk, replicates them to other stores and repairs differing copies."""

from emberlatch.cluster.message_store.database import INCARNATION_NOTE, RecordDatabase
from emberlatch.cluster.message_store.disk_health import DiskState
from emberlatch.cluster.message_store.index import RecordIndex
from emberlatch.cluster.message_store.local_store import LocalStore, Phase
from emberlatch.cluster.message_store.message_store import MessageStore, StoreLimits
from emberlatch.cluster.message_store.messages import (
    AcceptReply,
    AcceptRequest,
    MessageBody,
    MessageQuery,
    MessageStatus,
    StateReport,
    SubmittedMessage,
)
from emberlatch.cluster.message_store.ports import (
    ChangeListener,
    ClusterView,
    DeliveryQueue,
    LateBoundDeliveryQueue,
)
from emberlatch.cluster.message_store.record import STATE_LABELS, MessageState, Record
from emberlatch.cluster.message_store.request_handlers import MessageStoreHandlers
from emberlatch.cluster.message_store.undeliverable import UndeliverableReason, log_undeliverable

__all__ = [
    "INCARNATION_NOTE",
    "STATE_LABELS",
    "AcceptReply",
    "AcceptRequest",
    "ChangeListener",
    "ClusterView",
    "DeliveryQueue",
    "DiskState",
    "LateBoundDeliveryQueue",
    "LocalStore",
    "MessageBody",
    "MessageQuery",
    "MessageState",
    "MessageStatus",
    "MessageStore",
    "MessageStoreHandlers",
    "Phase",
    "Record",
    "RecordDatabase",
    "RecordIndex",
    "StateReport",
    "StoreLimits",
    "SubmittedMessage",
    "UndeliverableReason",
    "log_undeliverable",
]
