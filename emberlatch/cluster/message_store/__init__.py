"""Messages on disk: copies, digests over ranges, repair."""

from emberlatch.cluster.message_store.database import RecordDatabase
from emberlatch.cluster.message_store.disk_health import DiskState
from emberlatch.cluster.message_store.index import RecordIndex
from emberlatch.cluster.message_store.local_store import LocalStore, Phase
from emberlatch.cluster.message_store.record import Record, State
from emberlatch.cluster.message_store.replicator import Replicator

__all__ = [
    "DiskState",
    "LocalStore",
    "Phase",
    "Record",
    "RecordDatabase",
    "RecordIndex",
    "Replicator",
    "State",
]
