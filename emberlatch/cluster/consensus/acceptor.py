"""A voter's part: what it promised, what it accepted, and the newest state that it knows was chosen. Pure.

`handle` says what the record becomes and what is replied. The caller writes the record, synced, before the
reply leaves, and keeps the old one if it can't be written: then nothing was promised.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from emberlatch.cluster.consensus.commands import Batch, apply_batch, founds
from emberlatch.cluster.consensus.messages import (
    Accept,
    Accepted,
    Behind,
    Chosen,
    Fetch,
    Install,
    Learn,
    Learned,
    Prepare,
    Promise,
    Proposal,
    Read,
    ReadState,
    Rejected,
    Reply,
    Request,
    Snapshot,
    Submit,
    Unfit,
    optional_ballot_from_wire,
    optional_ballot_to_wire,
    proposal_from_wire,
    proposal_to_wire,
)
from emberlatch.cluster.consensus.state import Ballot, ControlState, Voter


@dataclass(frozen=True)
class AcceptorRecord:
    """What lies on a machine's disk.

    `me` names the machine and the disk. `seat` is the machine's place among the seeds, by which it votes on
    the founding alone; None if it has no part in that: it is no seed, or its disk is not the first one.
    `promised` and `accepted` are about the version after `state`.
    """

    me: Voter
    seat: Voter | None = None
    state: ControlState = field(default_factory=ControlState)
    promised: Ballot | None = None
    accepted: Proposal | None = None
    last_batch: Batch | None = None  # what made `state` of the one before; not on disk

    def to_wire(self) -> list[Any]:
        """As it is kept on disk."""
        return [
            [self.me.node, self.me.identity],
            None if self.seat is None else [self.seat.node, self.seat.identity],
            self.state.to_wire(),
            optional_ballot_to_wire(self.promised),
            proposal_to_wire(self.accepted),
        ]

    @staticmethod
    def from_wire(told: Any) -> AcceptorRecord:
        """From what was kept; ValueError or TypeError if it is none."""
        (node, identity), seat, state, promised, accepted = told
        return AcceptorRecord(
            Voter(str(node), str(identity)),
            None if seat is None else Voter(str(seat[0]), str(seat[1])),
            ControlState.from_wire(state),
            optional_ballot_from_wire(promised),
            proposal_from_wire(accepted),
        )

    @property
    def vote(self) -> Voter | None:
        """The vote that this machine has on the next version; None if it has none."""
        for voter in (self.me, self.seat):
            if voter is not None and voter in self.state.voters:
                return voter
        return None


Step = tuple[AcceptorRecord, Reply]
"""What the record becomes, and what is replied once it is on disk."""


class Acceptor:
    """See the module."""

    def handle(self, record: AcceptorRecord, request: Request) -> Step:
        """One request."""
        match request:
            case Prepare() | Accept():
                return self._vote(record, request)
            case Learn():
                return self._learn(record, request)
            case Install(state):
                record = install(record, state)
                return record, Learned(record.me, record.state.version)
            case Read():
                voter = record.vote or record.me
                pending = record.accepted is not None
                return record, ReadState(voter, record.state.version, pending)
            case Fetch():
                return record, Snapshot(record.me, record.state)
            case Submit():
                return record, Unfit(record.me, "an acceptor does not propose")

    def _vote(self, record: AcceptorRecord, request: Prepare | Accept) -> Step:
        voter = record.vote or record.me
        if (told := self._not_next(record, voter, request)) is not None:
            return record, told
        if record.vote is None:
            return record, Unfit(voter, "it has no vote")
        if record.state.version == 0 and isinstance(request, Accept) and not founds(request.batch):
            return record, Unfit(voter, "the group has to be founded first")
        if record.promised is not None and request.ballot < record.promised:
            return record, Rejected(voter, request.version, record.promised)
        if isinstance(request, Prepare):
            promise = Promise(voter, request.version, request.ballot, record.accepted)
            return replace(record, promised=request.ballot), promise
        proposal = Proposal(request.ballot, request.batch)
        record = replace(record, promised=request.ballot, accepted=proposal)
        return record, Accepted(voter, request.version, request.ballot)

    def _learn(self, record: AcceptorRecord, request: Learn) -> Step:
        told = self._not_next(record, record.me, request)
        if isinstance(told, Chosen | Snapshot):  # it is known here
            return record, Learned(record.me, record.state.version)
        if told is not None:
            return record, told
        record = advance(record, request.batch)
        return record, Learned(record.me, record.state.version)

    def _not_next(
        self, record: AcceptorRecord, voter: Voter, request: Prepare | Accept | Learn
    ) -> Reply | None:
        """What is replied to a request that is not about the version after ours; None if it is."""
        known = record.state.version
        if known == request.version and record.last_batch is not None:
            return Chosen(voter, known, record.last_batch)
        if known >= request.version:
            return Snapshot(voter, record.state)
        if known < request.version - 1:
            return Behind(voter, known)
        if request.group != record.state.group:
            return Unfit(voter, "another group decides that version here")
        return None


def advance(record: AcceptorRecord, batch: Batch) -> AcceptorRecord:
    """The next version was chosen as this batch: what was promised about it is over."""
    state = apply_batch(record.state, batch)
    return replace(record, state=state, promised=None, accepted=None, last_batch=batch)


def install(record: AcceptorRecord, state: ControlState) -> AcceptorRecord:
    """A later state was chosen; one of another founding is not taken over."""
    return join(record, state) if belongs(record, state) else record


def belongs(record: AcceptorRecord, state: ControlState) -> bool:
    """Whether this is a later state of the machine's system: one that names it was founded with it."""
    return state.follows(record.state) or (record.state.unfounded and record.me in state.voters)


def join(record: AcceptorRecord, state: ControlState) -> AcceptorRecord:
    """A state that others were found to have: also where this machine waits for its founding."""
    return replace(record, state=state, promised=None, accepted=None, last_batch=None)
