"""Batches: a file of messages that is worked through at a bounded rate, and goes on where it stopped."""

from emberlatch.cluster.batch.progress import Progress
from emberlatch.cluster.batch.sender import BatchSender, Item, Step

__all__ = ["BatchSender", "Item", "Progress", "Step"]
