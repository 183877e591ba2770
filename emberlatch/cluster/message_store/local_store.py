"""Changes the records of this process in memory and on disk, and queues the owned ones for delivery."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from enum import Enum

from emberlatch.cluster.message_store.database import RecordDatabase
from emberlatch.cluster.message_store.disk_health import DiskState
from emberlatch.cluster.message_store.index import RecordIndex
from emberlatch.cluster.message_store.messages import StateReport
from emberlatch.cluster.message_store.ports import DeliveryQueue
from emberlatch.cluster.message_store.record import MessageState, Record, WireRecord

MAX_COMMIT_LAG_S = 0.05  # while a commit runs for longer, no message or copy is accepted


class Phase(Enum):
    """The phases of a store's life, from start to shutdown."""

    STARTING = "starting"  # compares records with other stores; accepts and delivers nothing
    SERVING = "serving"
    RETIRING = "retiring"  # accepts nothing; copies its records to other stores
    CLOSING = "closing"  # accepts nothing; hands messages over and finishes calls in flight


class LocalStore:
    """The records of one process. `me` is its node; `delivery` delivers the messages that it owns."""

    def __init__(
        self, me: str, index: RecordIndex, database: RecordDatabase, delivery: DeliveryQueue
    ) -> None:
        self.me, self.index, self.database, self.delivery = me, index, database, delivery
        # Ids of messages being accepted whose probes are not complete: they are not delivered yet.
        self.probing: set[str] = set()
        self.phase = Phase.STARTING

    @property
    def delivers(self) -> bool:
        """Whether this process delivers the messages that it owns."""
        return self.phase is Phase.SERVING

    def owns_with_body(self, record: Record) -> bool:
        """Return whether this process owns the queued record and has its body in memory."""
        return record.is_queued and record.owner == self.me and record.body is not None

    def enter_phase(self, phase: Phase) -> bool:
        """Change the phase unless the current one is CLOSING; return whether it changed."""
        if phase is self.phase or self.phase is Phase.CLOSING:
            return False
        self.phase = phase
        if phase is Phase.SERVING:
            for record in self.index.owned_by(self.me):
                self.delivery.deliver(record)
        return True

    # Changing records.

    def add(self, record: Record) -> None:
        """Add a record that this store does not have."""
        self.index.put(record)
        self.database.put(record, self._now())

    def add_tombstone(self, id: str, epoch: int, owner: str) -> Record:
        """Add a tombstone for an unknown message, so that no copy written under this epoch is delivered."""
        return self.add_without_content(StateReport(id, MessageState.CANCELLED, "", epoch, owner, 0))

    def add_without_content(self, report: StateReport) -> Record:
        """Add a record that has only the end or cancellation of an unknown message.

        A queued copy that arrives later is merged with it, and is not delivered.
        """
        now = self._now()
        record = Record(report.id, "", "", "", "", None)
        record.state, record.seal, record.attempts = report.state, report.seal, report.attempts
        record.epoch, record.owner = report.epoch, report.owner
        record.replicas, record.ended_at, record.expires_at = (self.me, report.owner), now, now
        self.add(record)
        return record

    def merge(
        self, record: Record, state: MessageState, seal: str, epoch: int, owner: str, attempts: int
    ) -> bool:
        """Merge another copy's state in memory, in the next commit and in the delivery queue.

        Return whether state, epoch or owner changed. Only this method changes the owner of an existing
        record. It removes the message from the delivery queue when this process ceases to own the message,
        and adds the message to the queue when this process becomes its owner.
        """
        was_owned = record.is_queued and record.owner == self.me
        if state is MessageState.QUEUED and record.state is MessageState.CANCELLED and record.body is None:
            return False  # only a copy with content can change the owner of an empty tombstone
        if not record.merge(state, seal, epoch, owner, attempts):
            return False
        record.ended_at = 0.0 if record.is_queued else record.ended_at or self._now()
        owned = record.is_queued and record.owner == self.me
        if was_owned and not owned:
            self.delivery.withdraw(record)
        if record.state in (MessageState.COMPLETED, MessageState.DEAD_LETTERED):
            self.index.unload_body(record)
        self.index.update_record_digests(record)
        self._write_update(record)
        if owned and not was_owned and self.delivers and record.id not in self.probing:
            self.delivery.deliver(record)
        return True

    def merge_report(self, record: Record, report: StateReport) -> bool:
        """Merge a state report; see `merge`."""
        return self.merge(record, report.state, report.seal, report.epoch, report.owner, report.attempts)

    def set_owner(self, record: Record, epoch: int, owner: str, attempts: int) -> bool:
        """Make a process the owner from this epoch on; the state does not change."""
        return self.merge(record, record.state, record.seal, epoch, owner, attempts)

    def absorb(self, copy: Record) -> Record | None:
        """Add or merge a received copy and return the record.

        A queued copy without a body is not added: return None if this store has no record of its message.
        """
        record = self.index.records.get(copy.id)
        if record is not None:
            return self._absorb_known(record, copy)
        if copy.is_queued and copy.body is None:
            return None
        if self.me not in copy.replicas:
            copy.replicas = (*copy.replicas, self.me)
        self.add(copy)
        if copy.is_queued and copy.owner == self.me and self.delivers:
            self.delivery.deliver(copy)
        return copy

    def _absorb_known(self, record: Record, copy: Record) -> Record:
        self.add_replica_holders(record, copy.replicas)
        has_content = copy.body is not None and copy.state <= MessageState.CANCELLED
        if record.body is None and has_content and record.state is not MessageState.COMPLETED:
            self.index.fill_tombstone(record, copy)  # this store had only a tombstone
            self.database.put(record, self._now())
        self.merge(record, copy.state, copy.seal, copy.epoch, copy.owner, copy.attempts)
        return record

    def add_replica_holders(self, record: Record, nodes: Iterable[str]) -> None:
        """Add stores that have a copy or are to receive one; those that are named already change nothing."""
        added = [node for node in nodes if node not in record.replicas]
        if added:
            self.index.set_replicas(record, dict.fromkeys((*record.replicas, *added)))
            self._write_update(record)

    def _write_update(self, record: Record) -> None:
        self.database.update(record, self._now())
        self.database.schedule_commit()

    # Wire forms for other stores.

    def to_wire(self, record: Record) -> WireRecord:
        """Return a record's wire form; only queued and cancelled records are sent with their body."""
        with_body = record.state <= MessageState.CANCELLED
        return record.to_wire(self._now(), record.body if with_body else None)

    def state_report(self, record: Record) -> StateReport:
        """Return the state of a record without its content."""
        return StateReport(record.id, record.state, record.seal, record.epoch, record.owner, record.attempts)

    # The disk.

    def durable(self) -> asyncio.Future[bool]:
        """Return a future that tells whether all writes added so far reached the disk.

        Its result is True once they are on disk, and False if a commit fails before that.

        Failed writes are retried later; nobody may be notified of them before they are on disk.
        """
        outcome: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

        def resolve(committed: bool) -> None:
            if not outcome.done():
                outcome.set_result(committed)

        self.database.when_durable(lambda: resolve(True), lambda: resolve(False))
        return outcome

    @property
    def disk_state(self) -> DiskState:
        """The current state of the disk."""
        return self.database.health.state(self._now())

    @property
    def writable(self) -> bool:
        """Whether the disk accepts writes."""
        return self.disk_state is DiskState.OK

    def commits_promptly(self) -> bool:
        """Return whether a write made now can be expected on disk without a long delay."""
        return self.writable and self.database.health.lag(self._now()) <= MAX_COMMIT_LAG_S

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
