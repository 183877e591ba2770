"""Dead-letters messages after their retention time, deletes ended records, checks disk usage."""

from __future__ import annotations

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store.database import RecordDatabase
from emberlatch.cluster.message_store.local_store import LocalStore
from emberlatch.cluster.message_store.record import MessageState, Record
from emberlatch.cluster.message_store.state_commits import StateCommits
from emberlatch.cluster.message_store.undeliverable import UndeliverableReason, log_undeliverable

RETENTION_SLACK_S = 0.5  # delay of dead-lettering, so that the retention time is over on each store's clock
STATUS_SLACK_S = 5.0  # time for which an ended record is kept in addition to the configured time
SWEEP_INTERVAL_S = 1.0  # interval of sweeps over all records


class DiskUsage:
    """Tracks whether the records use more than `max_bytes` of the disk; 0.0 means no limit."""

    def __init__(self, database: RecordDatabase, max_bytes: float) -> None:
        self._database, self._max_bytes = database, max_bytes
        self.full = False

    async def check(self) -> None:
        """Check how many bytes are used, and log when the limit is exceeded."""
        if self._max_bytes <= 0:
            return
        try:
            full = await self._database.used_bytes() > self._max_bytes
        except OSError:
            return  # `DiskHealth` reports faults of the disk
        if full and not self.full:
            log_event(Event.DISK_FULL)
        self.full = full


class Retention:
    """Dead-letters expired messages, and deletes ended ones after at least `retain_status_s` seconds."""

    def __init__(self, local_store: LocalStore, state_commits: StateCommits, retain_status_s: float) -> None:
        self._local_store, self._state_commits = local_store, state_commits
        self._retain_status_s = retain_status_s

    def sweep(self, now: float) -> None:
        """Mark messages as dead-lettered after their retention time, and delete old ended records."""
        for record in list(self._local_store.index.records.values()):
            self._sweep_record(record, now)
        self._local_store.database.schedule_commit()

    def _sweep_record(self, record: Record, now: float) -> None:
        local_store = self._local_store
        deliverable = record.is_queued and record.owner == local_store.me and local_store.delivers
        if deliverable and now > record.expires_at + RETENTION_SLACK_S:
            if local_store.delivery.withdraw(record):
                log_undeliverable(record, UndeliverableReason.RETENTION_EXPIRED)
                self._state_commits.finish(record, MessageState.DEAD_LETTERED)
        elif not record.is_queued and now - record.ended_at > self._retain_status_s + STATUS_SLACK_S:
            local_store.index.remove(record)
            local_store.database.delete(record.id)
