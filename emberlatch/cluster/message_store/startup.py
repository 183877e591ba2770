"""Startup of a store: reads the disk, then compares the records with those of other stores.

The startup ends when the store knows which messages it owns.
"""

from __future__ import annotations

import asyncio

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store.database import INCARNATION_NOTE
from emberlatch.cluster.message_store.disk_watch import DiskWatch
from emberlatch.cluster.message_store.local_store import LocalStore
from emberlatch.cluster.message_store.ownership import Ownership
from emberlatch.cluster.message_store.ports import ClusterView
from emberlatch.cluster.message_store.repair import Repair
from emberlatch.cluster.rpc import PeerState

STARTUP_PEER_TIMEOUT_S = 1.5  # time after which the startup continues without stores that do not answer
STARTUP_TICK_S = 0.02  # interval of checks whether the startup is complete


class Startup:
    """Prepares the local store so that it may serve."""

    def __init__(
        self,
        local_store: LocalStore,
        cluster: ClusterView,
        repair: Repair,
        ownership: Ownership,
        disk_watch: DiskWatch,
    ) -> None:
        self._local_store, self._cluster = local_store, cluster
        self._repair, self._ownership, self._disk_watch = repair, ownership, disk_watch

    async def run(self, first: bool) -> None:
        """Return once this process knows what it owns.

        `first` is True if no store has accepted a message yet. Otherwise an empty disk means that the records
        were lost.
        """
        loop = asyncio.get_running_loop()
        lost = await self._read_disk(first)
        began_at = loop.time()
        # This loop polls, as a gap between calls of `Ownership.tick` counts as a suspension of the process.
        while not first and not self._compared_with_enough(loop.time() - began_at, lost):
            self._ownership.tick(loop.time())
            self._disk_watch.tick(loop.time())
            self._repair.start_due(loop.time())
            await asyncio.sleep(STARTUP_TICK_S)

    async def _read_disk(self, first: bool) -> bool:
        """Read the records from disk; return whether the disk was lost."""
        records, empty = await self._disk_watch.read_records()
        lost = empty and not first
        for record in records:
            if record.id in self._local_store.index.records:  # another store has reported it already
                self._local_store.absorb(record)
            else:
                self._local_store.index.put(record)
        if lost:
            log_event(Event.DISK_EMPTY)
        else:
            log_event(Event.DISK_LOADED, records=len(records))
        self._local_store.database.write_note(INCARNATION_NOTE, 1)
        return lost

    def _compared_with_enough(self, waited_s: float, lost: bool) -> bool:
        """Return whether this store has compared its records with enough other stores to serve.

        Stores whose port refuses connections own nothing now, and are not waited for. Comparisons with all
        others are enough; there must be at least one comparison, unless there are no other stores. After
        `STARTUP_PEER_TIMEOUT_S`, a majority of the stores is enough, this one included, and no comparison is
        needed if all others refuse connections. If the disk was lost, one comparison is always needed.
        """
        others, repaired_at = self._cluster.counted_stores(), self._repair.repaired_at
        compared = [node for node in others if node in repaired_at]
        pending = [
            node
            for node, peer in others.items()
            if node not in repaired_at and peer.state is not PeerState.REFUSED
        ]
        if lost and not compared:
            return False
        waited_enough = waited_s > STARTUP_PEER_TIMEOUT_S
        if not pending and (compared or not others or waited_enough):
            return True
        return waited_enough and 2 * (1 + len(compared)) > 1 + len(others)
