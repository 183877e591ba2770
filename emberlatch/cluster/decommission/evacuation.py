"""Moves the messages and records of a store to the other stores, so that it can be removed."""

from __future__ import annotations

import asyncio

from emberlatch.cluster.decommission.ports import StoreDirectory
from emberlatch.cluster.message_store import MessageStore, Phase
from emberlatch.cluster.rpc import CallFailedError

POLL_INTERVAL_S = 0.1  # seconds between two steps, and between two checks of the store's phase
MAX_RECORDS_PER_STEP = 500  # largest number of records that are copied in one step


class Evacuation:
    """Empties the store of this process: hands its messages to other owners and replicates its records."""

    def __init__(self, node: str, replicator: MessageStore, stores: StoreDirectory) -> None:
        self._node, self._replicator, self._stores = node, replicator, stores

    async def run(self) -> None:
        """Evacuate; return once no message is owned here and no record needs its replica on this machine."""
        while self._replicator.phase is Phase.STARTING:
            await asyncio.sleep(POLL_INTERVAL_S)
        self._replicator.enter_phase(Phase.RETIRING)
        while not await self._step():
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _step(self) -> bool:
        """Move some of the remaining records; return whether none remain.

        A failed call is retried in a later step.
        """
        replicator = self._replicator
        try:
            if records := replicator.local_store.delivery.remove_idle():
                await replicator.ownership.hand_over(records)
            counted = self._writable()
            under_replicated = replicator.repair.under_replicated(counted)
            under_replicated.sort(key=lambda record: not record.is_queued)  # Undelivered messages come first.
            await replicator.repair.add_copies(under_replicated[:MAX_RECORDS_PER_STEP], counted)
            remaining = replicator.repair.under_replicated(self._writable())
            return not (
                remaining or replicator.is_accepting or replicator.local_store.index.owned_by(self._node)
            )
        except CallFailedError:
            return False

    def _writable(self) -> set[str]:
        return {peer.name for peer in self._stores.writable_stores()}
