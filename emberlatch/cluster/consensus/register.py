"""The replicated register on one machine: its votes, and the newest state that it knows.

The module `acceptor` decides without I/O what is promised and accepted; this module connects it to the disk.
A process without a disk has no vote and only learns chosen states.
"""

from __future__ import annotations

from emberlatch.cluster.consensus.acceptor import (
    Acceptor,
    AcceptorRecord,
    adopt_state,
    advance,
    is_later_state,
)
from emberlatch.cluster.consensus.commands import Batch, apply_batch
from emberlatch.cluster.consensus.durable_record import DurableRecord
from emberlatch.cluster.consensus.ports import RegisterPorts, Storage
from emberlatch.cluster.consensus.replies import Declined, Reply
from emberlatch.cluster.consensus.requests import Request
from emberlatch.cluster.consensus.state import ControlState, Voter


class ControlRegister:
    """The acceptor and learner of one process. `record` and `storage` are None until the disk is open."""

    def __init__(self, record: AcceptorRecord | None, storage: Storage | None, ports: RegisterPorts) -> None:
        self._durable = DurableRecord(record, storage, ports)
        self._listener = ports.listener
        self._acceptor = Acceptor()
        self._state = record.state if record is not None else ControlState()

    @property
    def state(self) -> ControlState:
        """The newest version that this process knows."""
        return self._state

    @property
    def record(self) -> AcceptorRecord | None:
        """The record on this machine's disk; None without a disk."""
        return self._durable.current

    @property
    def local_voter(self) -> Voter:
        """The voter of this machine with its present disk; node and identity are empty without a disk."""
        record = self._durable.current
        return record.voter if record is not None else Voter("", "")

    @property
    def disk_failing(self) -> bool:
        """Whether the last use of the disk failed; this machine does not vote until a use succeeds."""
        return self._durable.disk_failing

    async def handle(self, request: Request) -> Reply:
        """Handle a request of this or another process; returns the reply once the record is durable."""
        durable = self._durable
        if durable.current is None or not durable.is_open:
            return Declined(self.local_voter, "no disk here")
        async with durable.lock:
            record, reply = self._acceptor.handle(durable.current, request)
            written = await durable.persist(record)
        self._advance_state(record.state)
        return reply if written else Declined(record.voter, "its disk can't be written")

    # The disk.

    def attach(self, record: AcceptorRecord, storage: Storage) -> None:
        """Start to vote with a disk that could not be opened until now."""
        self._durable.attach(record, storage)
        if record.state.version >= self._state.version and record.state != self._state:
            self._state = record.state  # even at version 0: the state names the seeds then
            self._listener.state_changed(record.state)
        self._durable.report_disk_result(None)

    def report_disk_result(self, error: OSError | None) -> None:
        """Record that opening the disk failed with `error`, or succeeded if `error` is None."""
        self._durable.report_disk_result(error)

    async def rewrite(self) -> None:
        """Write the record again after a failed write, to find out whether the disk works again."""
        await self._durable.rewrite()

    # Learning.

    def _advance_state(self, state: ControlState) -> None:
        """Replace the known state if `state` is newer. Only this method and `attach` replace it."""
        if state.version > self._state.version and self._state.cluster in ("", state.cluster):
            self._state = state
            self._listener.state_changed(state)

    async def learn(self, state: ControlState) -> None:
        """Learn a state that was chosen elsewhere; a state of another cluster is ignored."""
        record = self._durable.current
        if state.follows(self._state) or (record is not None and is_later_state(record, state)):
            self._advance_state(state)
        if record is None or not self._disk_lacks(record, state):
            return
        async with self._durable.lock:
            current = self._durable.current or record
            if self._disk_lacks(current, state):
                await self._durable.persist(adopt_state(current, state))

    def _disk_lacks(self, record: AcceptorRecord, state: ControlState) -> bool:
        """Whether `state` is newer than the record and belongs to the same cluster as this process."""
        if record.state.version == 0:
            return state.cluster == self._state.cluster and self._state.version > 0
        return state.follows(record.state)

    async def join(self, state: ControlState) -> None:
        """Join the cluster of this state, which was founded without this machine."""
        self._advance_state(state)
        await self.learn(state)

    async def learn_batch(self, before: ControlState, batch: Batch) -> None:
        """Learn that this batch was chosen as the version after `before`."""
        self._advance_state(apply_batch(before, batch))
        if self._durable.current is None:
            return
        async with self._durable.lock:
            record = self._durable.current
            if record is not None and record.state == before:
                await self._durable.persist(advance(record, batch))
