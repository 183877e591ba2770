"""Moves the messages and records of a store to the other stores, so that its machine can be removed."""

from __future__ import annotations

import asyncio

from emberlatch.cluster.decommission.ports import StoreDirectory
from emberlatch.cluster.message_store import MessageStore, Phase, Record
from emberlatch.cluster.rpc import CallFailedError

POLL_INTERVAL_S = 0.1  # seconds between two steps, and between two checks of the store's phase
MAX_RECORDS_PER_STEP = 500  # largest number of records that are copied in one step
ASK_OWNERS_INTERVAL_S = 1.0  # seconds between two requests for the replicas that owners have chosen


class Evacuation:
    """Empties the store of this process: hands its messages to other owners and replicates its records."""

    def __init__(self, node: str, message_store: MessageStore, stores: StoreDirectory) -> None:
        self._node, self._message_store, self._stores = node, message_store, stores
        self._owners_asked_at = 0.0

    async def run(self) -> None:
        """Evacuate; return once this store owns no message and no record needs the replica on this disk.

        The other stores have then acknowledged how its messages ended, and who owns those that wait.
        """
        while self._message_store.phase is Phase.STARTING:
            await asyncio.sleep(POLL_INTERVAL_S)
        self._message_store.enter_phase(Phase.RETIRING)
        self._owners_asked_at = asyncio.get_running_loop().time()
        while not await self._step():
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _step(self) -> bool:
        """Move some of the remaining records; return whether none remain.

        A failed call is retried in a later step.
        """
        message_store, re_replication = self._message_store, self._message_store.re_replication
        try:
            message_store.local_store.delivery.remove_idle()
            await message_store.ownership.hand_over(self._waiting())
            counted = self._writable()
            under_replicated = re_replication.under_replicated(counted)
            under_replicated.sort(key=lambda record: not record.is_queued)  # Undelivered messages come first.
            await re_replication.add_copies(under_replicated[:MAX_RECORDS_PER_STEP], counted)
            await self._ask_owners_if_due(under_replicated)
            remaining = re_replication.under_replicated(self._writable())
            return not (
                remaining
                or message_store.is_accepting
                or message_store.awaited_reports()
                or message_store.local_store.index.owned_by(self._node)
            )
        except CallFailedError:
            return False

    def _waiting(self) -> list[Record]:
        """The owned messages that are neither being accepted nor delivered.

        They are taken from the records, since a message that could not be handed over before is in no queue.
        """
        message_store = self._message_store
        local_store = message_store.local_store
        return [
            record
            for record in local_store.index.owned_by(self._node)
            if local_store.owns_with_body(record)
            and not local_store.delivery.is_in_flight(record)
            and not message_store.accept_service.is_pending(record.id)
        ]

    async def _ask_owners_if_due(self, records: list[Record]) -> None:
        """Ask the owners of some records for their present replicas, if the last time was long enough ago.

        An owner reports new replicas by itself; that report may get lost.
        """
        now = asyncio.get_running_loop().time()
        if now - self._owners_asked_at < ASK_OWNERS_INTERVAL_S:
            return
        self._owners_asked_at = now
        await self._message_store.re_replication.ask_owners(records[:MAX_RECORDS_PER_STEP])

    def _writable(self) -> set[str]:
        return {peer.name for peer in self._stores.writable_stores()}
