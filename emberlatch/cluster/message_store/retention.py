"""Dead-letters messages whose retention is over, deletes ended records, watches how full the disk is."""

from __future__ import annotations

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store.database import RecordDatabase
from emberlatch.cluster.message_store.local_store import LocalStore
from emberlatch.cluster.message_store.record import MessageState, Record
from emberlatch.cluster.message_store.state_commits import StateCommits
from emberlatch.cluster.message_store.undeliverable import UndeliverableReason, log_undeliverable

RETENTION_SLACK_S = 0.5  # past its retention a message is dead-lettered, whatever clock says so
STATUS_SLACK_S = 5.0  # for which an ended record is kept beyond the time that the settings name
SWEEP_INTERVAL_S = 1.0


class DiskUsage:
    """Whether the records fill their share of the disk: `max_bytes`, or 0.0 for no limit."""

    def __init__(self, database: RecordDatabase, max_bytes: float) -> None:
        self._database, self._max_bytes = database, max_bytes
        self.full = False

    async def check(self) -> None:
        """Look how much of the disk is used."""
        if self._max_bytes <= 0:
            return
        try:
            full = await self._database.used_bytes() > self._max_bytes
        except OSError:
            return  # the state of the disk shows it
        if full and not self.full:
            log_event(Event.DISK_FULL)
        self.full = full


class Retention:
    """Dead-letters and deletes records by time; one is kept for `retain_status_s` seconds after its end."""

    def __init__(self, local_store: LocalStore, state_commits: StateCommits, retain_status_s: float) -> None:
        self._local_store, self._state_commits = local_store, state_commits
        self._retain_status_s = retain_status_s

    def sweep(self, now: float) -> None:
        """Look at all records."""
        for record in list(self._local_store.index.records.values()):
            self._sweep_record(record, now)
        self._local_store.database.schedule_commit()

    def _sweep_record(self, record: Record, now: float) -> None:
        local_store = self._local_store
        mine = record.open and record.owner == local_store.me and local_store.delivers
        if mine and now > record.expires_at + RETENTION_SLACK_S:
            if local_store.delivery.withdraw(record):
                log_undeliverable(record, UndeliverableReason.RETENTION_EXPIRED)
                self._state_commits.finish(record, MessageState.DEAD_LETTERED)
        elif not record.open and now - record.ended_at > self._retain_status_s + STATUS_SLACK_S:
            local_store.index.drop(record)
            local_store.database.delete(record.id)
