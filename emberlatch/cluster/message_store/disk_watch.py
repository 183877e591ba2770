"""Reacts to the state of the disk: notifies other processes, hands messages over and requests comparisons.

While the disk has a fault, waiting messages are handed over to other stores. Once the disk has recovered,
this store compares its copies with all other stores again.

While the state is not OK the store accepts no message and starts no delivery. The outcomes of calls in flight
are kept in memory and sent to the other replicas; a message whose outcome is not durable is not handed over.
"""

from __future__ import annotations

import asyncio

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store.database import INCARNATION_NOTE
from emberlatch.cluster.message_store.disk_health import DiskState
from emberlatch.cluster.message_store.local_store import LocalStore
from emberlatch.cluster.message_store.ownership import Ownership
from emberlatch.cluster.message_store.ports import ChangeListener, ClusterView
from emberlatch.cluster.message_store.record import Record
from emberlatch.cluster.message_store.repair import Repair
from emberlatch.engine import Tasks

HAND_OVER_AFTER_S = 0.5  # duration of a fault after which waiting messages are handed over
HAND_OVER_INTERVAL_S = 0.5  # pause between two hand-overs
READ_RETRY_S = 0.2  # pause between two attempts to read the disk at startup
EVENTS = {
    DiskState.OK: Event.DISK_RECOVERED,
    DiskState.STALLED: Event.DISK_STALLED,
    DiskState.FAILING: Event.DISK_FAILING,
    DiskState.UNREADABLE: Event.DISK_UNREADABLE,
}
STATES_WITH_ERROR = (DiskState.FAILING, DiskState.UNREADABLE)


class DiskWatch:
    """Watches the state of the disk and reacts to each change."""

    def __init__(
        self,
        local_store: LocalStore,
        repair: Repair,
        ownership: Ownership,
        tasks: Tasks,
        cluster: ClusterView,
        listener: ChangeListener,
    ) -> None:
        self._local_store, self._repair, self._ownership = local_store, repair, ownership
        self._tasks, self._cluster, self._listener = tasks, cluster, listener
        self._state = DiskState.OK
        self._faulty_since = 0.0
        self._error = ""
        self._withheld: list[Record] = []  # owned records that are not delivered while the fault lasts
        self._handing_over = False
        local_store.database.group_commit.subscribe(self._on_commit)

    async def read_records(self) -> tuple[list[Record], bool]:
        """Return all stored records, and whether the disk is empty; retry until the disk can be read."""
        loop, database = asyncio.get_running_loop(), self._local_store.database
        while True:
            try:
                await database.open_offloaded()
                records, empty = database.load(loop.time()), database.read_note(INCARNATION_NOTE) is None
            except OSError as error:
                self._error = str(error)
                self.tick(loop.time())
                self._ownership.tick(loop.time())  # the process waits for its disk; it is not suspended
                await asyncio.sleep(READ_RETRY_S)
                continue
            database.health.mark_readable()
            self.tick(loop.time())
            return records, empty

    def _on_commit(self, error: OSError | None) -> None:
        if error is not None:
            self._error = str(error)
        self.tick(asyncio.get_running_loop().time())

    def tick(self, now: float) -> None:
        """Check the state of the disk. Must be called often, and after each commit."""
        state = self._local_store.database.health.state(now)
        if state is not self._state:
            self._enter_state(state, now)
        hand_over_due = now - self._faulty_since > HAND_OVER_AFTER_S and not self._handing_over
        if state is DiskState.OK or not hand_over_due or not self._local_store.delivers:
            return
        if self._cluster.writable_stores():
            self._start_hand_over()

    def _enter_state(self, state: DiskState, now: float) -> None:
        """Change the state, log it and notify the other processes. Every change goes through this method."""
        previous, self._state = self._state, state
        if previous is DiskState.OK:
            self._faulty_since = now
        log_event(EVENTS[state], *([self._error] if state in STATES_WITH_ERROR else []))
        if state is DiskState.OK:
            self._error = ""
            self._repair.repaired_at.clear()  # merged copies may be missing on disk: compare with all stores
            self._deliver_withheld()
        self._listener.notify()

    def _deliver_withheld(self) -> None:
        """Deliver the records that could not be handed over."""
        withheld, self._withheld = self._withheld, []
        for record in filter(self._local_store.owns_with_body, withheld):
            self._local_store.delivery.deliver(record)

    def _start_hand_over(self) -> None:
        """Hand over records without a call in flight; messages still being accepted are not handed over."""
        waiting = [
            *filter(self._local_store.owns_with_body, self._withheld),
            *self._local_store.delivery.remove_idle(),
        ]
        self._withheld = waiting
        if waiting:
            self._handing_over = True
            self._tasks.spawn(self._hand_over(waiting))

    async def _hand_over(self, records: list[Record]) -> None:
        try:
            await self._ownership.hand_over(records)
            await asyncio.sleep(HAND_OVER_INTERVAL_S)
        finally:
            self._handing_over = False
