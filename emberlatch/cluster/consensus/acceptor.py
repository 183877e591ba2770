"""The acceptor and learner of Paxos on one machine. This module does no I/O.

`Acceptor.handle` computes the next record and the reply. The caller makes that record durable before it
sends the reply. If the record can't be written, the caller keeps the old one and drops the reply, so that
nothing was promised.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Self

from emberlatch.cluster.consensus.commands import Batch, apply_batch, is_founding
from emberlatch.cluster.consensus.proposal import Proposal, proposal_from_wire, proposal_to_wire
from emberlatch.cluster.consensus.replies import (
    Accepted,
    Behind,
    Chosen,
    Declined,
    Learned,
    Promise,
    ReadState,
    Rejected,
    Reply,
    Snapshot,
)
from emberlatch.cluster.consensus.requests import (
    Accept,
    Fetch,
    Install,
    Learn,
    Prepare,
    Read,
    Request,
    Submit,
)
from emberlatch.cluster.consensus.state import Ballot, ControlState, Voter
from emberlatch.cluster.rpc.errors import MessageDecodeError


@dataclass(frozen=True)
class AcceptorRecord:
    """What a machine keeps on disk.

    `voter` names the machine and its disk. `founding_voter` has the address under which the machine votes on
    the founding as a seed. It is None if the machine takes no part in the founding, because it is no seed or
    its first disk was lost. `promised` and `accepted` are about the version after `state`.
    `last_batch` is the batch that produced `state`; it is not stored on disk.
    """

    voter: Voter
    founding_voter: Voter | None = None
    state: ControlState = field(default_factory=ControlState)
    promised: Ballot | None = None
    accepted: Proposal | None = None
    last_batch: Batch | None = None

    def to_wire(self) -> list[object]:
        """The encoding of the complete record as one value."""
        return [
            self.voter.to_wire(),
            None if self.founding_voter is None else self.founding_voter.to_wire(),
            self.state.to_wire(),
            None if self.promised is None else self.promised.to_wire(),
            proposal_to_wire(self.accepted),
        ]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [voter, founding_voter, state, promised, accepted]:
                return cls(
                    Voter.from_wire(voter),
                    None if founding_voter is None else Voter.from_wire(founding_voter),
                    ControlState.from_wire(state),
                    None if promised is None else Ballot.from_wire(promised),
                    proposal_from_wire(accepted),
                )
        raise MessageDecodeError("record of an acceptor", f"{payload!r:.60}")

    @property
    def active_voter(self) -> Voter | None:
        """The voter under which this machine votes on the next version; None if it has no vote."""
        for voter in (self.voter, self.founding_voter):
            if voter is not None and voter in self.state.voters:
                return voter
        return None


Step = tuple[AcceptorRecord, Reply]
"""The next record, and the reply that is sent once the record is durable."""


class Acceptor:
    """Handles requests to a voter, as a pure function of its record."""

    def handle(self, record: AcceptorRecord, request: Request) -> Step:
        """Return the next record and the reply to one request."""
        match request:
            case Prepare() | Accept():
                return self._vote(record, request)
            case Learn():
                return self._learn(record, request)
            case Install(state):
                record = install(record, state)
                return record, Learned(record.voter, record.state.version)
            case Read():
                voter = record.active_voter or record.voter
                pending = record.accepted is not None
                return record, ReadState(voter, record.state.version, pending)
            case Fetch():
                return record, Snapshot(record.voter, record.state)
            case Submit():
                return record, Declined(record.voter, "an acceptor does not propose")

    def _vote(self, record: AcceptorRecord, request: Prepare | Accept) -> Step:
        voter = record.active_voter or record.voter
        if (reply := self._reply_unless_next(record, voter, request)) is not None:
            return record, reply
        if record.active_voter is None:
            return record, Declined(voter, "it has no vote")
        if record.state.version == 0 and isinstance(request, Accept) and not is_founding(request.batch):
            return record, Declined(voter, "the group has to be founded first")
        if record.promised is not None and request.ballot < record.promised:
            return record, Rejected(voter, request.version, record.promised)
        if isinstance(request, Prepare):
            promise = Promise(voter, request.version, request.ballot, record.accepted)
            return replace(record, promised=request.ballot), promise
        proposal = Proposal(request.ballot, request.batch)
        record = replace(record, promised=request.ballot, accepted=proposal)
        return record, Accepted(voter, request.version, request.ballot)

    def _learn(self, record: AcceptorRecord, request: Learn) -> Step:
        reply = self._reply_unless_next(record, record.voter, request)
        if isinstance(reply, Chosen | Snapshot):  # this machine has the version already
            return record, Learned(record.voter, record.state.version)
        if reply is not None:
            return record, reply
        record = advance(record, request.batch)
        return record, Learned(record.voter, record.state.version)

    def _reply_unless_next(
        self, record: AcceptorRecord, voter: Voter, request: Prepare | Accept | Learn
    ) -> Reply | None:
        """Return the reply to a request that can't be handled, because it is not about the next version.

        Also decline a request that names another group of voters. Return None if the request can be handled.
        """
        local_version = record.state.version
        if local_version == request.version and record.last_batch is not None:
            return Chosen(voter, local_version, record.last_batch)
        if local_version >= request.version:
            return Snapshot(voter, record.state)
        if local_version < request.version - 1:
            return Behind(voter, local_version)
        if request.group != record.state.group:
            return Declined(voter, "another group decides that version here")
        return None


def advance(record: AcceptorRecord, batch: Batch) -> AcceptorRecord:
    """Return the record after this batch was chosen as the next version, without the vote on that version."""
    state = apply_batch(record.state, batch)
    return replace(record, state=state, promised=None, accepted=None, last_batch=batch)


def install(record: AcceptorRecord, state: ControlState) -> AcceptorRecord:
    """Return the record with a chosen state if that is a later one of the same cluster, else unchanged."""
    return adopt_state(record, state) if is_later_state(record, state) else record


def is_later_state(record: AcceptorRecord, state: ControlState) -> bool:
    """Whether a state follows the record's, or results from the founding that the machine waits for."""
    return state.follows(record.state) or (record.state.awaiting_founding and record.voter in state.voters)


def adopt_state(record: AcceptorRecord, state: ControlState) -> AcceptorRecord:
    """Return the record with another machine's state; the caller has checked that this state is newer."""
    return replace(record, state=state, promised=None, accepted=None, last_batch=None)
