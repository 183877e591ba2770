"""The message store of one process: messages on this machine's disk, with copies on other machines.

The store that accepts a message owns it from the first write on and delivers it; the other replicas only
store it. How ownership passes to another store is described in `ownership`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from emberlatch.cluster.message_store.accept_service import AcceptService
from emberlatch.cluster.message_store.cancellation import Cancellation
from emberlatch.cluster.message_store.disk_watch import DiskWatch
from emberlatch.cluster.message_store.local_store import LocalStore, Phase
from emberlatch.cluster.message_store.ownership import Ownership
from emberlatch.cluster.message_store.ports import ChangeListener, ClusterView
from emberlatch.cluster.message_store.re_replication import ReReplication
from emberlatch.cluster.message_store.repair import Repair
from emberlatch.cluster.message_store.replica_reports import ReplicaReports
from emberlatch.cluster.message_store.replication import Replication
from emberlatch.cluster.message_store.retention import SWEEP_INTERVAL_S, DiskUsage, Retention
from emberlatch.cluster.message_store.startup import Startup
from emberlatch.cluster.message_store.state_commits import StateCommits
from emberlatch.cluster.message_store.takeover import Takeover
from emberlatch.engine import Tasks

MAX_DISK_FILL_RATIO = 0.8  # share of the disk limit that records may fill
MAX_MEMORY_FILL_RATIO = 0.35  # share of the memory limit that bodies of messages may fill
MAINTENANCE_INTERVAL_S = 0.1  # pause between two rounds of maintenance


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Resource limits of this process; a `disk_bytes` of 0.0 means no limit.

    `retain_status_s` is the time in seconds for which the state of a message is kept after its end.
    """

    memory_bytes: float
    disk_bytes: float
    retain_status_s: float


class MessageStore:
    """Constructs the parts of the message store, and runs its maintenance.

    `cluster` gives access to the other stores; `listener` is notified of changes of the phase or disk state.
    """

    def __init__(
        self,
        local_store: LocalStore,
        tasks: Tasks,
        cluster: ClusterView,
        listener: ChangeListener,
        limits: StoreLimits,
    ) -> None:
        self.local_store, self.me = local_store, local_store.me
        self._listener, self._cluster = listener, cluster
        self.reports = ReplicaReports(local_store, tasks, cluster)
        self.repair = Repair(local_store, tasks, cluster, self.reports)
        self.ownership = Ownership(local_store, self.repair, self.reports, cluster)
        self.takeover = Takeover(local_store, self.ownership, self.reports, tasks, cluster)
        self.re_replication = ReReplication(
            local_store, self.repair, self.reports, self.ownership, tasks, cluster
        )
        self.disk_watch = DiskWatch(local_store, self.repair, self.ownership, tasks, cluster, listener)
        self.replication = Replication(local_store, cluster)
        self.cancellation = Cancellation(local_store, self.reports, cluster)
        self.state_commits = StateCommits(local_store, self.reports)
        self._disk_usage = DiskUsage(local_store.database, limits.disk_bytes * MAX_DISK_FILL_RATIO)
        self._retention = Retention(local_store, self.state_commits, limits.retain_status_s)
        self._startup = Startup(local_store, cluster, self.repair, self.ownership, self.disk_watch)
        self.accept_service = AcceptService(
            local_store, cluster, self.replication, self.cancellation, self.ownership, self.reports,
            self._disk_usage, limits.memory_bytes * MAX_MEMORY_FILL_RATIO,
        )  # fmt: skip

    @property
    def phase(self) -> Phase:
        """The current phase of the store."""
        return self.local_store.phase

    def enter_phase(self, phase: Phase) -> None:
        """Change the phase; `Phase.CLOSING` cannot be left again."""
        if self.local_store.enter_phase(phase):
            self._listener.notify()

    async def start(self, first: bool) -> None:
        """Run `Startup.run`, then enter the phase `SERVING`."""
        await self._startup.run(first)
        self.enter_phase(Phase.SERVING)

    @property
    def is_accepting(self) -> bool:
        """Whether any message is being accepted."""
        return self.accept_service.is_accepting

    def may_start_deliveries(self) -> bool:
        """Return whether outcomes can be written, and no other store can have taken over the messages."""
        return self.local_store.writable and self.ownership.may_deliver()

    def awaited_reports(self) -> set[str]:
        """Return the stores that have not acknowledged all reports and can be expected to.

        A store that may take over the messages of this one must know before how they ended. Nothing is
        expected of a store that has surely stopped, is being removed, or has a faulty disk.
        """
        now, stores = asyncio.get_running_loop().time(), self._cluster.counted_stores()
        return {
            node
            for node in self.reports.unacknowledged_nodes() & stores.keys()
            if self._cluster.is_disk_writable(node)
            and not self.ownership.has_surely_stopped(stores[node], now)
        }

    async def flush(self, timeout_s: float) -> bool:
        """Wait up to `timeout_s`; return whether all writes made before the call are on disk."""
        durable = self.local_store.durable()
        await asyncio.wait({durable}, timeout=timeout_s)
        return durable.done() and durable.result()

    async def run_maintenance(self) -> None:
        """Run the periodic tasks of the store until this task is cancelled.

        These are takeovers, comparisons with other stores, additional copies and sweeps.
        """
        loop = asyncio.get_running_loop()
        swept_at = loop.time()
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            now = loop.time()
            self.ownership.tick(now)
            self.disk_watch.tick(now)
            self.takeover.start_if_due(now)
            self.reports.tick()
            self.repair.start_due(now)
            if self.local_store.delivers:
                self.re_replication.start_if_due(now)
            if now - swept_at > SWEEP_INTERVAL_S:
                swept_at = now
                self._retention.sweep(now)
                await self._disk_usage.check()
