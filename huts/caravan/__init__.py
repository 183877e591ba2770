"""Batches: a file of messages that is worked through at a bounded rate, and goes on where it stopped."""

from huts.caravan.caravan import Caravan, Item, Step
from huts.caravan.progress import Progress

__all__ = ["Caravan", "Item", "Progress", "Step"]
