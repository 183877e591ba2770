"""Model checks of the consensus on the control state, and planted bugs that the check must find.

`PYTHONPATH=. python -m tests.cluster.consensus_scenarios 500000` explores larger scenarios, up to 500000
states each.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from typing import Any

from ward import each, test

from emberlatch.cluster.consensus import acceptor as acceptor_module
from emberlatch.cluster.consensus.acceptor import Acceptor, AcceptorRecord, Step
from emberlatch.cluster.consensus.commands import Configure
from emberlatch.cluster.consensus.proposer import Proposer, Quorum, ReadOutcome, ReadRound, Stage
from emberlatch.cluster.consensus.replies import (
    Accepted,
    Chosen,
    Promise,
    ReadState,
    Rejected,
    Reply,
    Snapshot,
)
from emberlatch.cluster.consensus.requests import Accept, Prepare, Request
from emberlatch.cluster.consensus.state import Ballot, ControlState, Voter, text_digest
from tests.cluster import consensus_scenarios as scenarios
from tests.cluster.consensus_model import Explorer
from tests.cluster.consensus_states import Scenario, expected_coverage

Patch = tuple[Any, str, Any]
"""A class or module, the name of its attribute, and the faulty value that replaces it."""


@contextmanager
def patched(*patches: Patch) -> Iterator[None]:
    """Replace attributes of the production code by faulty ones, and restore them at the end."""
    with ExitStack() as stack:
        for where, name, bug in patches:
            stack.callback(setattr, where, name, getattr(where, name))
            setattr(where, name, bug)
        yield


# Planted bugs.

handle, vote, reply_unless_next = Acceptor.handle, Acceptor._vote, Acceptor._reply_unless_next
receive, on_promise, on_accepted = Proposer.receive, Proposer._on_promise, Proposer._on_accepted
receive_read = ReadRound.receive
satisfies_accept = Quorum.satisfies_accept


def promise_unsynced(self: Acceptor, record: AcceptorRecord, request: Request) -> Step:
    after, reply = handle(self, record, request)
    return (record if isinstance(reply, Promise) else after), reply


def accept_unsynced(self: Acceptor, record: AcceptorRecord, request: Request) -> Step:
    after, reply = handle(self, record, request)
    return (record if isinstance(reply, Accepted) else after), reply


def vote_with_any_disk(self: AcceptorRecord) -> Voter | None:
    """The machine votes even if its disk is not the voter's."""
    return self.state.voter(self.voter.node)


def lower_ballot_accepted(self: Acceptor, record: AcceptorRecord, request: Prepare | Accept) -> Step:
    return vote(self, replace(record, promised=None), request)


def decided_version_handled(
    self: Acceptor, record: AcceptorRecord, voter: Voter, request: Any
) -> Reply | None:
    """Requests about decided versions are handled as if they were about the next version."""
    reply = reply_unless_next(self, record, voter, request)
    return None if isinstance(reply, Chosen | Snapshot) else reply


def other_group_handled(self: Acceptor, record: AcceptorRecord, voter: Voter, request: Any) -> Reply | None:
    return reply_unless_next(self, record, voter, replace(request, group=record.state.group))


def half_is_enough(self: Quorum) -> int:
    return len(self.voters) // 2


def majority_of_survivors(self: Quorum) -> int:
    return len(self.survivors) // 2 + 1


def all_survivors_suffice(self: Quorum, votes: set[Voter], required: int) -> bool:
    """All survivors suffice, even if some majority of the voters contains none of them."""
    counted = len(votes & self.survivors)
    return counted >= required or counted == len(self.survivors)


def disks_needed_beside_a_witness(self: Quorum, votes: set[Voter]) -> bool:
    """A batch is chosen only once it is on two disks, also if one of two is gone for good."""
    on_disk = [voter for voter in votes if not voter.is_witness]
    return satisfies_accept(self, votes) and len(on_disk) >= self.min_disks


def highest_digest_wins(self: Proposer, promise: Promise) -> None:
    self._highest_accepted, best = None, self._highest_accepted
    on_promise(self, promise)
    found = [proposal for proposal in (best, promise.accepted) if proposal is not None]
    self._highest_accepted = max(found, key=lambda proposal: digest_of(proposal.batch), default=None)
    if self.stage is Stage.ACCEPTING and self._highest_accepted is not None:
        self.batch = self._highest_accepted.batch


def digest_of(batch: Any) -> str:
    return "".join(text_digest(command.text) for command in batch if isinstance(command, Configure))


def accepted_ignored(self: Proposer, promise: Promise) -> None:
    on_promise(self, replace(promise, accepted=None))


def first_accepted_wins(self: Proposer, promise: Promise) -> None:
    """The first reported proposal is taken, not that of the highest ballot."""
    best = self._highest_accepted or promise.accepted
    on_promise(self, promise)
    self._highest_accepted = best
    if self.stage is Stage.ACCEPTING and best is not None:
        self.batch = best.batch


def earlier_ballot_counted(self: Proposer, reply: Reply) -> Request | None:
    """Replies to an earlier ballot are counted."""
    if isinstance(reply, Promise | Accepted):
        reply = replace(reply, ballot=self.ballot)
    return receive(self, reply)


def duplicate_counted(self: Proposer, reply: Accepted) -> None:
    """A duplicated reply is counted as a reply of another voter."""
    others = sorted(self.quorum.survivors - self._votes)
    on_accepted(self, replace(reply, voter=others[0]) if reply.voter in self._votes and others else reply)


def promises_counted_as_votes(self: Proposer, promise: Promise) -> None:
    votes = {*self._votes, promise.voter}
    on_promise(self, promise)
    if self.stage is Stage.ACCEPTING:
        self._votes = votes


def read_confirmed_by_one_reply(self: ReadRound, reply: Reply) -> None:
    receive_read(self, reply)
    if self.outcome is ReadOutcome.OPEN and isinstance(reply, ReadState):
        self.outcome = ReadOutcome.CONFIRMED


def pending_ignored(self: ReadRound, reply: Reply) -> None:
    receive_read(self, replace(reply, pending=False) if isinstance(reply, ReadState) else reply)


def durability_ignored(self: ReadRound, reply: Reply) -> None:
    self.require_durable = False
    receive_read(self, reply)


def older_snapshot_installed(record: AcceptorRecord, state: ControlState) -> AcceptorRecord:
    return replace(record, state=state, promised=None, accepted=None, last_batch=None)


def install_keeps_vote(record: AcceptorRecord, state: ControlState) -> AcceptorRecord:
    return replace(record, state=state) if state.version > record.state.version else record


def last_text_wins(self: Configure, state: ControlState) -> ControlState:
    history = {**state.by_revision, self.revision: text_digest(self.text)}
    return replace(state, history=tuple(history.items()), revision=self.revision, text=self.text)


def rejected_batch_accepted(self: Acceptor, record: AcceptorRecord, request: Prepare | Accept) -> Step:
    """A voter accepts a lower ballot than it promised, and keeps its higher promise."""
    after, reply = vote(self, record, request)
    if isinstance(reply, Rejected) and isinstance(request, Accept):
        after, reply = vote(self, replace(record, promised=None), request)
        return replace(after, promised=record.promised), reply
    return after, reply


RACE, REPLACEMENT, DECOMMISSION = scenarios.RACE, scenarios.REPLACEMENT, scenarios.DECOMMISSION
ONE_DISK_NEEDED = replace(scenarios.SECOND_LOSS_TOO_EARLY, min_disks=1)
REUSED_BALLOTS = (Ballot(1, "p"), Ballot(1, "p"), Ballot(2, "p"))
FOUNDING_VOTE_KEPT = replace(
    scenarios.FOUNDING,
    founding_voters=(*scenarios.FOUNDING_VOTERS, scenarios.FOUNDING_VOTERS[2]),
    symmetric=(),
)

FORGETFUL_WITNESS = replace(
    scenarios.WITNESS_RESTART,
    disks=(scenarios.A, scenarios.B, scenarios.WITNESS, scenarios.WITNESS),
    batch_choices=((scenarios.TEXT_A,), (scenarios.TEXT_B,)),
)
TWO_VOTERS = replace(scenarios.WITNESS_AND_LOSS, initial=scenarios.PAIRED)

BUGS: dict[str, tuple[Scenario, tuple[Patch, ...]]] = {
    "a group of two without a witness": (TWO_VOTERS, ()),
    "a witness that keeps its identity and forgets its promises": (FORGETFUL_WITNESS, ()),
    "a disk that is gone for good is needed": (
        scenarios.WITNESS_AND_LOSS,
        ((Quorum, "satisfies_accept", disks_needed_beside_a_witness),),
    ),
    "a promise that is not synced": (RACE, ((Acceptor, "handle", promise_unsynced),)),
    "an acceptance that is not synced": (RACE, ((Acceptor, "handle", accept_unsynced),)),
    "a vote from an empty disk": (
        REPLACEMENT,
        ((AcceptorRecord, "active_voter", property(vote_with_any_disk)),),
    ),
    "half of the voters": (RACE, ((Quorum, "majority", property(half_is_enough)),)),
    "a majority of the live": (
        ONE_DISK_NEEDED,
        ((Quorum, "majority", property(majority_of_survivors)),),
    ),
    "any survivors": (scenarios.SECOND_LOSS_TOO_EARLY, ((Quorum, "_suffices", all_survivors_suffice),)),
    "a version that was decided": (
        scenarios.SUCCESSION,
        ((Acceptor, "_reply_unless_next", decided_version_handled),),
    ),
    "another group": (scenarios.FOUNDING, ((Acceptor, "_reply_unless_next", other_group_handled),)),
    "a founding vote kept by an empty disk": (FOUNDING_VOTE_KEPT, ()),
    "a read without a round": (scenarios.READ, ((ReadRound, "receive", read_confirmed_by_one_reply),)),
    "a read that ignores what is pending": (scenarios.READ, ((ReadRound, "receive", pending_ignored),)),
    "a member released too early": (DECOMMISSION, ((ReadRound, "receive", durability_ignored),)),
    "the highest digest": (RACE, ((Proposer, "_on_promise", highest_digest_wins),)),
    "accepted proposals ignored": (RACE, ((Proposer, "_on_promise", accepted_ignored),)),
    "the first accepted proposal": (RACE, ((Proposer, "_on_promise", first_accepted_wins),)),
    "a lower ballot": (RACE, ((Acceptor, "_vote", lower_ballot_accepted),)),
    "a lower ballot beside the promise": (RACE, ((Acceptor, "_vote", rejected_batch_accepted),)),
    "ballots used again after a restart": (replace(RACE, ballots=REUSED_BALLOTS), ()),
    "replies to an earlier ballot": (RACE, ((Proposer, "receive", earlier_ballot_counted),)),
    "a reply counted twice": (RACE, ((Proposer, "_on_accepted", duplicate_counted),)),
    "promises counted as acceptances": (RACE, ((Proposer, "_on_promise", promises_counted_as_votes),)),
    "an older snapshot": (scenarios.SUCCESSION, ((acceptor_module, "install", older_snapshot_installed),)),
    "a promise kept beyond its version": (
        scenarios.SUCCESSION,
        ((acceptor_module, "install", install_keeps_vote),),
    ),
    "the last text under a revision": (scenarios.SUCCESSION, ((Configure, "apply", last_text_wins),)),
}


WITH_REPLACEMENT = ("a second loss after a replacement", "a loss in a group of two")


@test("no order of steps violates an invariant of the consensus: {name}")
def _(name: str = each(*scenarios.CI)) -> None:
    scenario = scenarios.CI[name]
    result = Explorer(scenario).explore()
    assert result.complete and not result.violation, str(result)
    assert expected_coverage(scenario) <= result.coverage, str(result)


@test("a lost disk is replaced and the replacement is completed in: {name}")
def _(name: str = each(*WITH_REPLACEMENT)) -> None:
    assert "replacement" in Explorer(scenarios.CI[name]).explore().coverage


@test("the model check detects the planted bug: {bug}")
def _(bug: str = each(*BUGS)) -> None:
    scenario, patches = BUGS[bug]
    with patched(*patches):
        result = Explorer(scenario).explore()
    assert result.violation, str(result)
