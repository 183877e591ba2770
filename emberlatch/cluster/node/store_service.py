"""Starts a store from the records on its disk, then runs its periodic work."""

from __future__ import annotations

import asyncio
import contextlib

from emberlatch.cluster.membership import MembershipView
from emberlatch.cluster.node.parts import StoreParts
from emberlatch.engine import Tasks

INTERVAL_S = 0.25  # seconds between two rounds of periodic work


class StoreService:
    """Opens the database, starts the message store, and runs the periodic work."""

    def __init__(
        self, store: StoreParts, membership: MembershipView, tasks: Tasks, initial_start: bool
    ) -> None:
        self._store, self._membership, self._tasks = store, membership, tasks
        self._initial_start = initial_start
        self._roster_restored = False  # whether the roster of the earlier incarnation was read from disk

    def open(self) -> None:
        """Open the database and read the roster: the stores that the earlier incarnation of this node knew.

        An unreadable disk is no error here. `run` starts the message store, which opens the database again,
        and then reads the roster.
        """
        with contextlib.suppress(OSError):
            self._store.message_store.local_store.database.open()
            self._restore_roster()

    def _restore_roster(self) -> None:
        self._membership.restore_roster()
        self._roster_restored = True

    async def run(self) -> None:
        """Start the message store and run the periodic work until cancelled."""
        message_store = self._store.message_store
        await message_store.start(self._initial_start)
        if not self._roster_restored:
            with contextlib.suppress(OSError):  # If this fails, the seed nodes report the other stores.
                self._restore_roster()
                self._membership.dial()
        self._tasks.spawn(message_store.run_maintenance())
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(INTERVAL_S)
            self._tick(loop.time())

    def _tick(self, now: float) -> None:
        self._store.targets.expire(now)
        self._membership.forget_removed_stores(now)
        self._membership.expire_leases(now)
        self._store.dispatcher.schedule_decision()
