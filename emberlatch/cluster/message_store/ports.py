"""Interfaces through which the message store uses the rest of the process."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from emberlatch.cluster.message_store.record import Record
from emberlatch.cluster.rpc import Peer


class ClusterView(Protocol):
    """The other stores as this process sees them. Nodes are identified by name."""

    def satisfies_quorum(self, nodes: Iterable[str]) -> bool:
        """Return whether copies on these machines' disks survive the losses that the settings specify."""

    def stores(self) -> dict[str, Peer]:
        """Return the links to all other known stores, whether they are up or not."""

    def counted_stores(self) -> dict[str, Peer]:
        """Return the other stores that are neither decommissioned nor removed."""

    def writable_stores(self) -> list[Peer]:
        """Return the other stores that accept messages and copies now."""

    def replica_candidates(self, have: set[str]) -> Iterator[Peer]:
        """Yield the writable stores that are not in `have`, the best one for one more copy first."""

    def has_majority_contact(self) -> bool:
        """Return whether each voter of a majority is in contact with this process or has surely stopped."""

    def unreachable_s(self, node: str) -> float:
        """Return for how many seconds a majority of the voters has not reached a machine."""

    def decommissioning_stores(self) -> set[str]:
        """Return the machines that are, or are being, decommissioned: their copies must not be counted."""

    def is_disk_writable(self, node: str) -> bool:
        """Return whether a machine's disk accepts writes, by the machine's last report."""

    def disk_unreadable_s(self, node: str) -> float:
        """Return for how many seconds a machine has been unable to read its disk."""


class DeliveryQueue(Protocol):
    """Delivers the messages that this process owns."""

    def deliver(self, record: Record) -> None:
        """Deliver a message that this process now owns."""

    def withdraw(self, record: Record) -> bool:
        """Stop delivering a message that ended or has another owner; return False if a call is in flight."""

    def remove_idle(self) -> list[Record]:
        """Remove and return all messages without a call in flight."""

    def is_in_flight(self, record: Record) -> bool:
        """Return whether a call that delivers the message is in flight."""


class LateBoundDeliveryQueue:
    """A delivery queue that is bound after the store was constructed.

    The dispatcher asks the store whether a message is still owned, and the store passes messages to the
    dispatcher, so one of the two has to be constructed before the other.
    """

    def __init__(self) -> None:
        self._queue: DeliveryQueue | None = None

    def bind(self, queue: DeliveryQueue) -> None:
        """Set the queue to use."""
        self._queue = queue

    def deliver(self, record: Record) -> None:
        """See `DeliveryQueue`."""
        self._bound().deliver(record)

    def withdraw(self, record: Record) -> bool:
        """See `DeliveryQueue`."""
        return self._bound().withdraw(record)

    def remove_idle(self) -> list[Record]:
        """See `DeliveryQueue`."""
        return self._bound().remove_idle()

    def is_in_flight(self, record: Record) -> bool:
        """See `DeliveryQueue`."""
        return self._bound().is_in_flight(record)

    def _bound(self) -> DeliveryQueue:
        if self._queue is None:
            raise RuntimeError("the delivery queue is not bound yet: bind it before the store starts")
        return self._queue


class ChangeListener(Protocol):
    """Is notified of changes that must be sent to the other processes at once."""

    def notify(self) -> None:
        """Handle a change of the store's phase or of its disk's state."""
