"""The code under test of the model checker: runs the production consensus code on the checker's states."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import combinations

from emberlatch.cluster.consensus.acceptor import Acceptor, AcceptorRecord
from emberlatch.cluster.consensus.commands import Batch, CreateVoterGroup, apply_batch
from emberlatch.cluster.consensus.maintenance import FaultTolerance, MemberReport, next_change
from emberlatch.cluster.consensus.proposer import Proposer, Quorum, ReadOutcome, ReadRound, Stage
from emberlatch.cluster.consensus.replies import Accepted, Chosen, Promise, Reply
from emberlatch.cluster.consensus.requests import Accept, Install, Learn, Prepare, Read, Request
from emberlatch.cluster.consensus.state import Ballot, ControlState, Voter
from tests.cluster.consensus_states import (
    ABSENT,
    UNNAMED,
    Attempt,
    Disk,
    HandledRequest,
    Interner,
    Pool,
    Scenario,
    Sent,
    require,
)

RECOVERY_BALLOT = Ballot(99, "recovery")
RECOVERY_FOUNDING = (CreateVoterGroup((Voter("recovery", "recovery"),)),)
"""The batch to propose in version 0, in which voters accept nothing but the creation of a group."""
RECOVERY_ATTEMPTS = 5
LONG_S = 1000.0  # seconds without contact with a disk of whose loss no proposer is told
STAGES = (Stage.PREPARING, Stage.ACCEPTING)


class CodeUnderTest:
    """Runs the production acceptor, proposer and reads on interned values; one object per exploration."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self.records: Interner[AcceptorRecord] = Interner()
        self.states: Interner[ControlState] = Interner()
        self.sent: Interner[Sent] = Interner()
        self.pool = Pool()
        self._producing_batch: dict[ControlState, Batch] = {}
        self._acceptor = Acceptor()

    def next_state(self, attempt: Attempt) -> int:
        """Return the number of the state that follows if the batch of this attempt is chosen."""
        state = apply_batch(self.states[attempt.base], attempt.batch)
        self._producing_batch[state] = attempt.batch
        return self.states.number(state)

    # Voters.

    def requests(self, attempt: Attempt) -> list[Request]:
        """Return all requests that an attempt sends to voters up to its stage."""
        base, ballot = self.states[attempt.base], self._scenario.ballot(attempt.index)
        version = base.version + 1
        requests: list[Request] = [Prepare(version, base.group, ballot)]
        if attempt.stage is not Stage.PREPARING:
            requests.append(Accept(version, base.group, ballot, attempt.batch))
        if attempt.stage is Stage.CHOSEN:
            requests.append(Learn(version, base.group, attempt.batch))
            requests.append(Install(self.states[self.next_state(attempt)]))
        return requests

    def handle(self, index: int, number: int, request: Request) -> HandledRequest:
        """Return the record of a disk after a request, and its reply.

        Checks that the record does not depend on whether the last batch is known.
        """
        record = self.records[number]
        named = replace(
            record, voter=self._scenario.disks[index], founding_voter=self._scenario.founding_voter(index)
        )
        after, reply = self._acceptor.handle(named, request)
        require(after.state.version >= record.state.version, "a disk went back to an older version")
        if (batch := self._producing_batch.get(record.state)) is not None:
            same, reply = self._acceptor.handle(replace(named, last_batch=batch), request)
            require(
                replace(same, last_batch=after.last_batch) == after,
                "the record depends on whether the last batch is known",
            )
            if isinstance(reply, Chosen):
                require(
                    (reply.version, reply.batch) == (record.state.version, batch),
                    "a Chosen reply has another version or batch than the one chosen",
                )
        stored = self.records.number(replace(after, voter=UNNAMED, founding_voter=None, last_batch=None))
        if not isinstance(reply, Promise | Accepted):
            return HandledRequest(stored, ABSENT, reply)
        if reply.voter == self._scenario.replying_voter(index, reply.version):
            reply = replace(reply, voter=UNNAMED)
        accepted = request.batch if isinstance(request, Accept) else None
        return HandledRequest(stored, self.sent.number(Sent(reply, accepted)), None)

    def replies(self, disks: Iterable[Disk]) -> list[Promise | Accepted]:
        """Return all sent votes, each with its voter."""
        return [
            self.named(index, self.sent[number].reply)
            for index, disk in enumerate(disks)
            for number in sorted(disk.sent)
        ]

    def named(self, index: int, reply: Promise | Accepted) -> Promise | Accepted:
        """Return a vote with the voter of the disk that sent it."""
        if reply.voter != UNNAMED:
            return reply
        return replace(reply, voter=self._scenario.replying_voter(index, reply.version))

    # Proposers.

    def quorum(self, state: ControlState, lost: int) -> Quorum:
        """Return the quorum for the version after `state`; `lost` is a bit mask of disks known to be lost."""
        silent = self._scenario.silent_losses
        lost_voters = {
            voter
            for index, voter in enumerate(self._scenario.disks)
            if lost >> index & 1 and index not in silent
        }
        lost_voters |= {
            founding_voter
            for index, founding_voter in enumerate(self._scenario.founding_voters)
            if founding_voter and lost >> index & 1
        }
        min_disks = self._scenario.min_disks if state.version else 1
        return Quorum(state.voters, frozenset(lost_voters) & set(state.voters), min_disks)

    def proposer(self, attempt: Attempt) -> Proposer:
        """Return a production proposer in the state of this attempt."""
        state = self.states[attempt.base]
        quorum, ballot = self.quorum(state, attempt.lost), self._scenario.ballot(attempt.index)
        proposer = Proposer(state, quorum, ballot, attempt.batch, attempt.stage)
        proposer._votes = set(attempt.votes)
        return proposer

    def changes_proposer(self, attempt: Attempt, reply: Reply) -> bool:
        """Whether a reply changes anything at this proposer."""
        proposer, untouched = self.proposer(attempt), self.proposer(attempt)
        proposer.receive(reply)
        return proposer != untouched

    def count(self, attempt: Attempt, replies: list[Promise | Accepted]) -> list[Attempt]:
        """Return the attempts in a new stage that result from any subset of these replies.

        Each reply is received twice, and each subset in two orders.
        """
        counting = [reply for reply in replies if self.changes_proposer(attempt, reply)]
        outcomes: dict[Attempt, None] = {}
        for size in range(1, min(len(counting), len(self._scenario.disks)) + 1):
            for subset in combinations(counting, size):
                for ordered in (subset, subset[::-1]):
                    after = self._receive(attempt, ordered)
                    if after.stage is not attempt.stage:
                        outcomes[after] = None
        return list(outcomes)

    def _receive(self, attempt: Attempt, replies: Iterable[Reply]) -> Attempt:
        """Return the attempt after these replies, up to the first change of its stage."""
        proposer = self.proposer(attempt)
        for reply in replies:
            for _ in range(2):
                if proposer.stage is attempt.stage:
                    proposer.receive(reply)
        stage, batch = proposer.stage, proposer.batch
        if stage is attempt.stage:
            return attempt
        votes = frozenset(proposer._votes) if stage in STAGES else frozenset()
        batch = proposer.decision if proposer.decision is not None else batch
        return self.pool.attempt(attempt.index, stage, attempt.base, batch, attempt.lost, votes)

    def receive_other_reply(self, attempt: Attempt, reply: Reply) -> None:
        """Check that a reply that is no vote decides nothing."""
        if attempt.stage in STAGES:
            proposer = self.proposer(attempt)
            proposer.receive(reply)
            require(proposer.stage is not Stage.CHOSEN, "a batch was chosen without votes")

    def has_quorum(self, attempt: Attempt, disks: tuple[Disk, ...]) -> bool:
        """Whether the sent votes choose the batch of this attempt, computed without a proposer."""
        state, ballot = self.states[attempt.base], self._scenario.ballot(attempt.index)
        votes = set()
        for index, disk in enumerate(disks):
            for reply, batch in map(self.sent.__getitem__, disk.sent):
                matches = (reply.version, reply.ballot, batch) == (state.version + 1, ballot, attempt.batch)
                if matches and isinstance(reply, Accepted):
                    votes.add(self.named(index, reply).voter)
        return self.quorum(state, attempt.lost).satisfies_accept(votes)

    # Reads and changes of voters.

    def due_change(self, disks: tuple[Disk, ...], base: int) -> Batch:
        """Return the change that the production maintenance finds due, given reports of all present disks."""
        members = {}
        for index, (voter, disk) in enumerate(zip(self._scenario.disks, disks, strict=True)):
            counted = not voter.is_witness
            if disk.record != ABSENT:
                version = self.records[disk.record].state.version
                members[voter.node] = MemberReport(voter, "", "", counted, True, 0.0, version)
            elif index in self._scenario.silent_losses:
                members[voter.node] = MemberReport(voter, "", "", counted, False, LONG_S, ABSENT)
        command = next_change(self.states[base], members, FaultTolerance(1))
        return () if command is None else (command,)

    def is_durable(self, disks: tuple[Disk, ...], state: ControlState, lost: int) -> bool:
        """Whether a read finds the state on enough of its voters' disks."""
        read = ReadRound(state, self.quorum(state, lost), require_durable=True)
        for index, disk in enumerate(disks):
            if disk.record != ABSENT and self._scenario.disks[index] in state.voters:
                reply = self.handle(index, disk.record, Read(state.version)).other_reply
                assert reply is not None
                read.receive(reply)
        return read.outcome is ReadOutcome.CONFIRMED

    def recover(self, records: tuple[int, ...], lost: int) -> ControlState | None:
        """Return the state after a new proposer has its own batch decided on these disks.

        Batches of earlier proposers may be decided first. Returns None if a version can't be decided, or if
        the proposer's own batch is not decided within RECOVERY_ATTEMPTS versions.
        """
        records_by_index = {
            index: replace(
                self.records[n],
                voter=self._scenario.disks[index],
                founding_voter=self._scenario.founding_voter(index),
            )
            for index, n in enumerate(records)
            if n != ABSENT
        }
        for _ in range(RECOVERY_ATTEMPTS):
            state = max(
                (record.state for record in records_by_index.values()), key=lambda known: known.version
            )
            probe = () if state.version > 0 else RECOVERY_FOUNDING
            proposer = Proposer(state, self.quorum(state, lost), RECOVERY_BALLOT, probe)
            for stage in STAGES:
                self._call_all(records_by_index, state, proposer, stage)
            if proposer.decision is None:
                return None
            after = apply_batch(state, proposer.decision)
            records_by_index = {
                index: self._acceptor.handle(old, Install(after))[0]
                for index, old in records_by_index.items()
            }
            if proposer.decision == probe:
                return after
        return None

    def _call_all(
        self,
        records_by_index: dict[int, AcceptorRecord],
        state: ControlState,
        proposer: Proposer,
        stage: Stage,
    ) -> None:
        for index, record in records_by_index.items():
            record, _ = self._acceptor.handle(record, Install(state))
            if proposer.stage is stage:
                record, reply = self._acceptor.handle(record, proposer.request())
                proposer.receive(reply)
            records_by_index[index] = record
