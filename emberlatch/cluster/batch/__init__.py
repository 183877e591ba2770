"""Batch jobs: a file of messages, submitted at a bounded rate, that can be interrupted and resumed."""

from emberlatch.cluster.batch.progress import BatchProgress, ItemState, ProgressEntry, ProgressLogError
from emberlatch.cluster.batch.sender import BatchItem, BatchRoute, BatchSender

__all__ = [
    "BatchItem",
    "BatchProgress",
    "BatchRoute",
    "BatchSender",
    "ItemState",
    "ProgressEntry",
    "ProgressLogError",
]
