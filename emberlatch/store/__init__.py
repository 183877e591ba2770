"""Logs on disk: the journal of accepted messages, and logs of small states by key."""

from emberlatch.store.entries import MAX_BODY_BYTES, Entry, UnknownOutcome
from emberlatch.store.errors import LimitTooSmallError, RecordDecodeError, StoreError
from emberlatch.store.files import Files, Folder
from emberlatch.store.group_sync import GroupSync, Offload, Syncable
from emberlatch.store.journal import Journal
from emberlatch.store.state_log import StateLog

__all__ = [
    "MAX_BODY_BYTES",
    "Entry",
    "Files",
    "Folder",
    "GroupSync",
    "Journal",
    "LimitTooSmallError",
    "Offload",
    "RecordDecodeError",
    "StateLog",
    "StoreError",
    "Syncable",
    "UnknownOutcome",
]
