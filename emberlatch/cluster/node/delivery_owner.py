"""The interface that the store provides to its dispatcher."""

from __future__ import annotations

import asyncio

from emberlatch.cluster.discovery import TargetDirectory
from emberlatch.cluster.message_store import MessageState, MessageStore, Record
from emberlatch.cluster.node.quota_shares import QuotaShares


class StoreDeliveryOwner:
    """The `DeliveryOwner` of the messages that this store owns."""

    def __init__(
        self, message_store: MessageStore, targets: TargetDirectory, quota_shares: QuotaShares
    ) -> None:
        self._message_store, self._targets, self._quota_shares = message_store, targets, quota_shares

    def owns(self, record: Record) -> bool:
        """Return whether this store owns the message, and has its body in memory."""
        return self._message_store.local_store.owns_with_body(record)

    def finish(self, record: Record, state: MessageState, seal: str) -> None:
        """Record the final state of a delivered message, and notify its replicas."""
        self._message_store.state_commits.finish(record, state, seal)

    def on_wrong_instance(self, target_id: str) -> None:
        """Record that another instance listens at the address of this target."""
        self._targets.on_wrong_instance(target_id, asyncio.get_running_loop().time())

    def may_start_calls(self) -> bool:
        """Return whether calls to targets may start."""
        return self._message_store.may_start_deliveries()

    def quota_divisor(self, service: str) -> float:
        """Return the number by which the service's rate limit is divided to get this store's share."""
        return self._quota_shares.divisor(service)
