"""A simulated disk for the control state, with the files and the order of writes of `RecordStorage`.

A kill or a loss of power can interrupt a write. Then none, some or all files of the write are on the disk.
A write that has returned is durable unless the disk itself is lost.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from emberlatch.cluster.consensus.acceptor import AcceptorRecord
from emberlatch.cluster.consensus.proposal import Proposal
from emberlatch.cluster.consensus.state import Ballot, ControlState, Voter

WRITTEN_DESPITE_FAILURE_SHARE = 0.3  # share of failing writes whose data is written: only the sync fails


class _WriteInterruptedError(Exception):
    """The process ended in the middle of a write."""


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of a disk.

    For the disk of a seed, `founding_address` stands for the identity until the voter group is founded.
    """

    identity: str
    founding_address: str | None


@dataclass(frozen=True, slots=True)
class Vote:
    """The ballot that was promised and the proposal that was accepted for one version."""

    version: int
    promised: Ballot | None
    accepted: Proposal | None


@dataclass(slots=True)
class Files:
    """The files on a disk; None for a missing file."""

    identity: Identity | None = None
    state: ControlState | None = None
    vote: Vote | None = None


@dataclass
class SimulatedDisk:
    """The disk of a machine, which outlives its processes."""

    rng: random.Random
    files: Files = field(default_factory=Files)
    failing: bool = False  # whether every write fails
    sync_s: float = 0.001  # mean duration of a write in seconds
    stalled_until: float = 0.0
    in_flight: list[Callable[[], None]] = field(default_factory=list)

    def lose(self) -> None:
        """Lose all files."""
        self.files = Files()

    def draw_write_duration(self, now: float) -> float:
        """Draw the duration in seconds of a write that begins now."""
        return max(0.0, self.stalled_until - now) + self.sync_s * self.rng.uniform(0.5, 1.5)

    def interrupt_writes(self) -> None:
        """Interrupt each write in flight at a random point, because the process has ended."""
        in_flight, self.in_flight = self.in_flight, []
        for write in in_flight:
            write()


class SimulatedStorage:
    """A substitute for `RecordStorage` on a simulated disk, for one incarnation of a process."""

    def __init__(self, disk: SimulatedDisk, node: str) -> None:
        self._disk, self._node = disk, node
        self._state_on_disk: ControlState | None = None
        # Number of files that an interrupted write still writes; None if the write is not interrupted:
        self.files_until_interruption: int | None = None

    def load(self) -> AcceptorRecord | None:
        """The record of an earlier incarnation; None if there is no valid one."""
        files = self._disk.files
        if files.identity is None or files.state is None:
            return None
        founding_address = (
            None if files.identity.founding_address is None else Voter(files.identity.founding_address, "")
        )
        me = Voter(self._node, files.identity.identity)
        self._state_on_disk = files.state
        vote = files.vote
        if vote is None or vote.version <= files.state.version:
            return AcceptorRecord(me, founding_address, files.state)
        if vote.version > files.state.version + 1:
            return None
        return AcceptorRecord(me, founding_address, files.state, vote.promised, vote.accepted)

    def create(self, state: ControlState, founding_address: str | None) -> AcceptorRecord:
        """Create a record with a new identity on an empty disk; OSError if it can't be written."""
        self._raise_if_failing()
        identity = Identity(f"{self._disk.rng.getrandbits(64):016x}", founding_address)
        self._disk.files = Files(identity, state)
        self._state_on_disk = state
        me = Voter(self._node, identity.identity)
        return AcceptorRecord(me, None if founding_address is None else Voter(founding_address, ""), state)

    def write(self, record: AcceptorRecord) -> None:
        """Write and sync a record; raises OSError on failure, but may have written the record."""
        if not self._disk.failing:
            return self._write_files(record)
        if self._disk.rng.random() < WRITTEN_DESPITE_FAILURE_SHARE:
            self._write_files(record)
            self._state_on_disk = None
        self._raise_if_failing()
        return None

    def _write_files(self, record: AcceptorRecord) -> None:
        if record.state != self._state_on_disk:
            self._state_on_disk = None
            self._count_file()
            self._disk.files.state = record.state
            self._state_on_disk = record.state
        if record.promised is None and record.accepted is None:
            return
        self._count_file()
        self._disk.files.vote = Vote(record.state.version + 1, record.promised, record.accepted)

    def _raise_if_failing(self) -> None:
        if self._disk.failing:
            raise OSError(errno.EIO, "the simulated disk fails all writes")

    def _count_file(self) -> None:
        if self.files_until_interruption is None:
            return
        if self.files_until_interruption == 0:
            raise _WriteInterruptedError
        self.files_until_interruption -= 1

    def write_interrupted(self, work: Callable[[], None]) -> None:
        """Run a write of a process that has ended, up to a random point."""
        self.files_until_interruption = self._disk.rng.randrange(3)
        try:
            work()
        except (_WriteInterruptedError, OSError):
            pass
        finally:
            self.files_until_interruption = None
