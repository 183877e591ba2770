"""Data types of the model checker: scenarios, and the states of a small deployment."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

from emberlatch.cluster.consensus.commands import Batch
from emberlatch.cluster.consensus.proposer import Stage
from emberlatch.cluster.consensus.replies import Accepted, Promise, Reply
from emberlatch.cluster.consensus.state import Ballot, ControlState, Voter

ABSENT = -1  # used in place of an identifier that does not exist
UNNAMED = Voter("", "")  # used in place of the voter to which a disk belongs

Item = TypeVar("Item", bound=Hashable)


class Interner(Generic[Item]):
    """Maps equal values to one small number, so that states hash quickly."""

    def __init__(self) -> None:
        self._numbers: dict[Item, int] = {}
        self._items: list[Item] = []

    def number(self, item: Item) -> int:
        """Return the number of a value."""
        known = self._numbers.setdefault(item, len(self._items))
        if known == len(self._items):
            self._items.append(item)
        return known

    def __getitem__(self, number: int) -> Item:
        return self._items[number]


@dataclass(frozen=True)
class BatchChoice:
    """A batch that an attempt may propose; `batch` is None for the change that `next_change` finds due."""

    batch: Batch | None


@dataclass(frozen=True)
class Scenario:
    """A small deployment and the faults that may happen to it. Disks are given by their index in `disks`."""

    disks: tuple[Voter, ...]
    initial: ControlState
    batch_choices: tuple[tuple[BatchChoice, ...], ...]  # by attempt; later attempts have higher ballots
    max_version: int  # no version above this one is proposed
    ballots: tuple[Ballot, ...] = ()  # by attempt; if empty, each attempt has a ballot of its own
    founding_voters: tuple[Voter | None, ...] = ()  # by disk; empty if no group is founded
    other_initial: tuple[ControlState, ...] = ()  # initial states of misconfigured proposers
    absent: frozenset[int] = frozenset()  # disks that exist only as replacements
    may_lose: tuple[int, ...] = ()  # disks that may be lost
    replacements: tuple[tuple[int, int], ...] = ()  # pairs of a lost disk and its empty replacement
    silent_losses: frozenset[int] = frozenset()  # disks of whose loss no proposer is ever told
    max_losses: int = 0
    max_losses_at_once: int = 1  # limit of lost disks that are still voters
    tolerated_losses: int = 1  # simultaneous losses that must not lose data or block
    decommissioned: int = ABSENT  # disk that is switched off once the other voters have the new state
    reads: bool = False
    symmetric: tuple[int, ...] = ()  # interchangeable disks
    min_disks: int = 2  # number of disks on which a chosen batch must be durable

    def ballot(self, attempt: int) -> Ballot:
        """Return the ballot of an attempt; two proposers alternate, with one attempt each per round."""
        return self.ballots[attempt] if self.ballots else Ballot(attempt // 2 + 1, "pq"[attempt % 2])

    def founding_voter(self, disk: int) -> Voter | None:
        """Return the founding voter of a disk; None if the disk has no vote on the founding."""
        return self.founding_voters[disk] if self.founding_voters else None

    def replying_voter(self, disk: int, version: int) -> Voter:
        """Return the voter under which a disk replies to requests about a version."""
        return (self.founding_voter(disk) if version == 1 else None) or self.disks[disk]


class Sent(NamedTuple):
    """A reply that may count as a vote, and the batch that it accepts, if any."""

    reply: Promise | Accepted
    batch: Batch | None


@dataclass(frozen=True, eq=False, slots=True)
class Disk:
    """One disk: its synced record and the votes it sent. Equal disks are one object, see `Pool`."""

    number: int
    record: int
    sent: frozenset[int]
    read: bool  # whether the read in progress has counted its reply


@dataclass(frozen=True, eq=False, slots=True)
class Attempt:
    """One proposer under one ballot. Equal attempts are one object, see `Pool`."""

    index: int
    stage: Stage
    base: int  # number of the state before the proposed version
    batch: Batch
    lost: int  # bit mask of the disks that the proposer knows to be lost
    votes: frozenset[Voter]


class Pool:
    """Makes equal disks and attempts one object, so that states hash by identity."""

    def __init__(self) -> None:
        self._disks: dict[tuple[int, frozenset[int], bool], Disk] = {}
        self._attempts: dict[Hashable, Attempt] = {}

    def disk(self, record: int, sent: frozenset[int] = frozenset(), read: bool = False) -> Disk:
        """Return the only `Disk` with this content."""
        key = (record, sent, read)
        if key not in self._disks:
            self._disks[key] = Disk(len(self._disks), record, sent, read)
        return self._disks[key]

    def attempt(
        self, index: int, stage: Stage, base: int, batch: Batch, lost: int, votes: frozenset[Voter]
    ) -> Attempt:
        """Return the only `Attempt` with these values."""
        key = (index, stage.value, base, batch, lost, votes)
        if key not in self._attempts:
            self._attempts[key] = Attempt(index, stage, base, batch, lost, votes)
        return self._attempts[key]


class Reading(NamedTuple):
    """A read in progress."""

    state: int  # number of the state that the read would confirm
    min_version: int  # newest version that was confirmed before the read began
    lost: int  # bit mask of the disks that the reader knows to be lost
    confirmed: bool = False


class SystemState(NamedTuple):
    """One state of a deployment."""

    disks: tuple[Disk, ...]
    attempts: tuple[Attempt | None, ...]
    reading: Reading | None = None
    lost: int = 0  # bit mask of the lost disks
    retired: int = 0  # bit mask of lost or decommissioned disks that are no voters in a durable state


@dataclass
class Result:
    """The result of an exploration."""

    states: int = 0
    depth: int = 0
    complete: bool = False
    violation: str = ""
    trace: list[str] = field(default_factory=list)
    coverage: set[str] = field(default_factory=set)  # events that happened in some state


class HandledRequest(NamedTuple):
    """The result of a request: the number of the disk's record, and either a vote or another reply."""

    record: int
    vote: int
    other_reply: Reply | None


def expected_coverage(scenario: Scenario) -> set[str]:
    """Return the events that must happen in some state; without them the invariants would not be tested."""
    expected = {f"version {scenario.max_version}"}
    expected |= {"loss"} if scenario.max_losses else set()
    expected |= {"read"} if scenario.reads else set()
    expected |= {"decommission"} if scenario.decommissioned != ABSENT else set()
    return expected


class InvariantError(Exception):
    """An invariant is violated."""


def require(holds: bool, rule: str) -> None:
    """Raise InvariantError with this text unless an invariant holds."""
    if not holds:
        raise InvariantError(rule)
