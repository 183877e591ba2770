"""The proposer of Paxos: an attempt to decide the next version, and a round of a read of the newest one.

This module does no I/O. Any process may propose. If two proposers collide, the one with the lower ballot
retries under a higher one. A batch that an earlier proposer may have got chosen is completed before any
other batch is decided.
"""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from enum import Enum

from emberlatch.cluster.consensus.commands import Batch
from emberlatch.cluster.consensus.proposal import Proposal
from emberlatch.cluster.consensus.replies import (
    Accepted,
    Behind,
    Chosen,
    Declined,
    Promise,
    ReadState,
    Rejected,
    Reply,
    Snapshot,
)
from emberlatch.cluster.consensus.requests import Accept, Install, Learn, Prepare, Read, Request
from emberlatch.cluster.consensus.state import Ballot, ControlState, Voter, total_weight


@dataclass(frozen=True, slots=True)
class Quorum:
    """The votes that each phase needs.

    `voters_with_replaced_disk` are the voters whose disks are known to be lost permanently.

    Phase 1 needs the votes of a majority. Phase 2 also needs at least `min_disks` votes, or all votes of a
    smaller group. If there are fewer survivors than votes needed, the votes of all survivors are enough, but
    only if each possible majority includes a survivor. This is so in a group of two, four or six that has
    lost half of its voters.

    In a group with witnesses the voters with a disk have more weight, and a majority of all votes is enough
    in phase 2 too. Otherwise a batch that a voter on its only reachable disk has accepted could neither be
    decided nor be superseded by the change that replaces the other disk. Whoever acknowledges a batch to an
    operator there also waits until it is on `min_disks` disks. So all survivors are enough as long as fewer
    disks than that are lost, however many witnesses have ended: one of them has each acknowledged batch.
    """

    voters: tuple[Voter, ...]
    voters_with_replaced_disk: frozenset[Voter] = frozenset()
    min_disks: int = 1

    @property
    def survivors(self) -> frozenset[Voter]:
        """The voters whose disks are not lost."""
        return frozenset(self.voters) - self.voters_with_replaced_disk

    @property
    def majority(self) -> int:
        """The smallest number of voters that is more than half of the group."""
        return len(self.voters) // 2 + 1

    def _suffices(self, votes: set[Voter], required: int) -> bool:
        survivors = self.survivors
        counted = len(votes & survivors)
        if len(survivors) >= required:
            return counted >= required
        intersects_every_majority = len(survivors) > len(self.voters) - self.majority
        return intersects_every_majority and counted == len(survivors)

    @property
    def _has_witnesses(self) -> bool:
        return any(voter.is_witness for voter in self.voters)

    def _suffices_beside_witnesses(self, votes: set[Voter]) -> bool:
        survivors = self.survivors
        counted = votes & survivors
        if self._is_majority(survivors):
            return self._is_majority(counted)
        lost_disks = sum(not voter.is_witness for voter in self.voters_with_replaced_disk)
        has_disk = any(not voter.is_witness for voter in survivors)
        return lost_disks < self.min_disks and has_disk and counted == survivors

    def _is_majority(self, voters: AbstractSet[Voter]) -> bool:
        return 2 * total_weight(voters) > total_weight(self.voters)

    def satisfies_prepare(self, votes: set[Voter]) -> bool:
        """Whether promises of these voters complete phase 1."""
        if self._has_witnesses:
            return self._suffices_beside_witnesses(votes)
        return self._suffices(votes, self.majority)

    def satisfies_accept(self, votes: set[Voter]) -> bool:
        """Whether a batch that these voters accepted is chosen."""
        if self._has_witnesses:
            return self._suffices_beside_witnesses(votes)
        return self._suffices(votes, max(self.majority, min(self.min_disks, len(self.voters))))

    def satisfies_durable(self, votes: set[Voter]) -> bool:
        """Whether a chosen state that these voters have is on as many disks as an acknowledgement needs."""
        if not self._has_witnesses:
            return self.satisfies_accept(votes)
        disks = {voter for voter in self.survivors if not voter.is_witness}
        return self.satisfies_accept(votes) and len(votes & disks) >= self.min_disks


class Stage(Enum):
    """The progress of an attempt."""

    PREPARING = "preparing"
    ACCEPTING = "accepting"
    CHOSEN = "chosen"  # `decision` is chosen
    PREEMPTED = "preempted"  # a voter promised a higher ballot: retry above `preempting_ballot`
    SUPERSEDED = "superseded"  # the version was decided before: see `decision` or `newer_state`


@dataclass
class Proposer:
    """One attempt to decide the version after `state`, under one ballot.

    `decision` is the chosen batch, `newer_state` a later state that a voter has, and `preempting_ballot` the
    higher ballot that a voter promised; each is None until it is known.
    """

    state: ControlState
    quorum: Quorum
    ballot: Ballot
    batch: Batch
    stage: Stage = Stage.PREPARING
    decision: Batch | None = None
    newer_state: ControlState | None = None
    preempting_ballot: Ballot | None = None
    _votes: set[Voter] = field(default_factory=set)
    _highest_accepted: Proposal | None = None

    @property
    def version(self) -> int:
        """The version that is to be decided."""
        return self.state.version + 1

    def request(self) -> Request:
        """Return the request to each voter in the current stage."""
        if self.stage is Stage.PREPARING:
            return Prepare(self.version, self.state.group, self.ballot)
        return Accept(self.version, self.state.group, self.ballot, self.batch)

    def learn(self) -> Learn:
        """Return the announcement of the decision; there must be one."""
        assert self.decision is not None
        return Learn(self.version, self.state.group, self.decision)

    def receive(self, reply: Reply) -> Request | None:
        """Count a reply; returns a request to send to its voter before that voter can vote, or None.

        The caller reads `stage` to find out whether the phase has ended.
        """
        match reply:
            case Promise() if reply.version == self.version and reply.ballot == self.ballot:
                self._on_promise(reply)
            case Accepted() if reply.version == self.version and reply.ballot == self.ballot:
                self._on_accepted(reply)
            case Rejected() if reply.version == self.version:
                self._on_preempted(reply.promised)
            case Chosen() if reply.version == self.version:
                self._on_superseded(reply.batch, None)
            case Snapshot() if reply.state.follows(self.state):
                self._on_superseded(None, reply.state)
            case Behind():
                return Install(self.state)
            case Declined():
                pass
        return None

    def _on_promise(self, promise: Promise) -> None:
        if self.stage is not Stage.PREPARING or promise.voter not in self.quorum.survivors:
            return
        self._votes.add(promise.voter)
        accepted, highest = promise.accepted, self._highest_accepted
        if accepted is not None and (highest is None or accepted.ballot > highest.ballot):
            self._highest_accepted = accepted
        if self.quorum.satisfies_prepare(self._votes):
            self.stage, self._votes = Stage.ACCEPTING, set()
            if self._highest_accepted is not None:  # may have been chosen, so it must be completed first
                self.batch = self._highest_accepted.batch

    def _on_accepted(self, accepted: Accepted) -> None:
        if self.stage is not Stage.ACCEPTING or accepted.voter not in self.quorum.survivors:
            return
        self._votes.add(accepted.voter)
        if self.quorum.satisfies_accept(self._votes):
            self.stage, self.decision = Stage.CHOSEN, self.batch

    def _on_preempted(self, promised: Ballot) -> None:
        if self.stage in (Stage.PREPARING, Stage.ACCEPTING) and promised > self.ballot:
            self.stage, self.preempting_ballot = Stage.PREEMPTED, promised

    def _on_superseded(self, batch: Batch | None, state: ControlState | None) -> None:
        if self.stage in (Stage.PREPARING, Stage.ACCEPTING, Stage.PREEMPTED):
            self.stage, self.decision, self.newer_state = Stage.SUPERSEDED, batch, state


class ReadOutcome(Enum):
    """The result of a round of a read so far."""

    OPEN = "open"
    CONFIRMED = "confirmed"  # no newer version had been chosen when the read began
    PENDING = "pending"  # a newer version may be chosen; it has to be decided first
    BEHIND = "behind"  # a newer version is chosen


@dataclass
class ReadRound:
    """One round of a linearizable read: asks a majority whether the version of `state` is the newest.

    With `require_durable`, only voters that have that version on disk are counted, and as many of them are
    needed as for a decision. `newer_voter` is a voter that has a later version, or None.
    """

    state: ControlState
    quorum: Quorum
    require_durable: bool = False
    outcome: ReadOutcome = ReadOutcome.OPEN
    newer_voter: Voter | None = None
    _votes: set[Voter] = field(default_factory=set)

    def request(self) -> Request:
        """Return the request to each voter."""
        return Read(self.state.version)

    def receive(self, reply: Reply) -> None:
        """Count a reply; the caller reads `outcome` to find out whether the round has ended."""
        if not isinstance(reply, ReadState) or self.outcome is not ReadOutcome.OPEN:
            return
        if reply.version > self.state.version and reply.voter in self.quorum.voters:
            self.outcome, self.newer_voter = ReadOutcome.BEHIND, reply.voter
        elif reply.voter in self.quorum.survivors:
            self._count(reply)

    def _count(self, reply: ReadState) -> None:
        current = reply.version == self.state.version
        if reply.pending and current:
            self.outcome = ReadOutcome.PENDING
            return
        if current or not self.require_durable:
            self._votes.add(reply.voter)
        quorum = self.quorum
        satisfies = quorum.satisfies_durable if self.require_durable else quorum.satisfies_prepare
        if satisfies(self._votes):
            self.outcome = ReadOutcome.CONFIRMED
