"""The control state that all machines agree on. This module does no I/O.

A state depends only on its predecessor and a batch of commands. Processes that apply the same batches
therefore have the same state. Its size does not grow with the number of changes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum
from functools import cached_property
from typing import Self

from emberlatch.cluster.consensus.wire import as_sequence
from emberlatch.cluster.rpc.errors import MessageDecodeError

MAX_HISTORY = 1024  # maximum number of revisions in the history, each with the digest of its text
NO_REVISION = -1  # revision of a state without a configuration
DISK_WEIGHT, WITNESS_WEIGHT = 2, 1  # votes of a voter in a group with witnesses
WITNESS_IDENTITY_PREFIX = "witness-"  # the identities of disks are hexadecimal, so none begins like this


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """A ballot number of Paxos. `proposer` is unique to one incarnation of one process."""

    round: int
    proposer: str

    def to_wire(self) -> list[object]:
        """The encoding on the wire and on disk."""
        return [self.round, self.proposer]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [int(number), str(proposer)]:
                return cls(number, proposer)
        raise MessageDecodeError("ballot", f"{payload!r:.60}")


@dataclass(frozen=True, slots=True, order=True)
class Voter:
    """A machine with a vote: its node and the identity on its disk.

    After the loss of its disk a machine is a different voter. The seeds, which vote on the founding of the
    cluster, have no identity yet: for them `node` is an address and `identity` is empty. A witness is a
    process without a disk that votes; it has a new identity with each start.
    """

    node: str
    identity: str

    @property
    def is_witness(self) -> bool:
        """Whether this voter keeps its promises in memory only, until its process ends."""
        return self.identity.startswith(WITNESS_IDENTITY_PREFIX)

    @property
    def weight(self) -> int:
        """The number of votes of this voter. In a group without witnesses all voters have equal weight."""
        return WITNESS_WEIGHT if self.is_witness else DISK_WEIGHT

    def to_wire(self) -> list[object]:
        """The encoding on the wire and on disk."""
        return [self.node, self.identity]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [str(node), str(identity)]:
                return cls(node, identity)
        raise MessageDecodeError("voter", f"{payload!r:.60}")


class DecommissionMark(IntEnum):
    """The progress of a machine's decommission; it never goes back."""

    MARKED = 1  # the decommission was ordered; replicas on the machine no longer count
    EMPTY = 2  # no record has its only replica on the machine


class RevisionStatus(Enum):
    """The status of an operator's configuration text under its revision."""

    COMMITTED = "committed"  # this text was chosen under this revision
    CONFLICT = "conflict"  # another text was chosen under this revision
    ABSENT = "absent"  # no text was chosen under this revision, but one still may be
    FORGOTTEN = "forgotten"  # the revision is older than the history


def total_weight(voters: Iterable[Voter]) -> int:
    """The number of votes that these voters have together."""
    return sum(voter.weight for voter in voters)


def text_digest(text: bytes) -> str:
    """The digest that distinguishes two texts under one revision, in 16 hexadecimal digits."""
    return hashlib.sha256(text).hexdigest()[:16]


@dataclass(frozen=True)
class ControlState:
    """One version of the control state.

    `version` counts instances of Paxos. `epoch` counts changes of voters, decommission marks and removed
    members. `history` has pairs of a revision and the digest of its text, oldest first. `cluster` is a random
    name that is drawn at the founding and distinguishes the states of different clusters.
    """

    version: int = 0
    epoch: int = 0
    voters: tuple[Voter, ...] = ()
    revision: int = NO_REVISION
    text: bytes = b""
    history: tuple[tuple[int, str], ...] = ()
    decommissions: tuple[tuple[str, DecommissionMark], ...] = ()
    removed_members: tuple[str, ...] = ()
    cluster: str = ""

    @cached_property
    def by_revision(self) -> dict[int, str]:
        """The digest of the text of each revision in the history."""
        return dict(self.history)

    @cached_property
    def group(self) -> str:
        """A digest that identifies the group of voters that decides the next version."""
        text = f"{self.cluster} {self.version} " + " ".join(f"{v.node}/{v.identity}" for v in self.voters)
        return hashlib.sha256(text.encode()).hexdigest()[:16]

    @cached_property
    def witnesses(self) -> tuple[Voter, ...]:
        """The voters without a disk."""
        return tuple(voter for voter in self.voters if voter.is_witness)

    @cached_property
    def disk_voters(self) -> tuple[Voter, ...]:
        """The voters with a disk."""
        return tuple(voter for voter in self.voters if not voter.is_witness)

    @cached_property
    def decommission_ordered(self) -> frozenset[str]:
        """Nodes whose decommission was ordered, the completed ones included."""
        return frozenset(node for node, _ in self.decommissions)

    @cached_property
    def excluded_nodes(self) -> frozenset[str]:
        """Nodes for which other machines need not wait.

        They are empty after a decommission, or were removed from the membership.
        """
        empty = {node for node, mark in self.decommissions if mark is DecommissionMark.EMPTY}
        return frozenset(empty | set(self.removed_members))

    @property
    def digest(self) -> str:
        """The digest of the text in force; empty if there is none."""
        return self.by_revision.get(self.revision, "")

    @property
    def awaiting_founding(self) -> bool:
        """Whether the seeds still have to found the cluster.

        Until they have, the state of another machine may be of another cluster.
        """
        return self.version == 0 and bool(self.voters)

    def follows(self, other: ControlState) -> bool:
        """Whether this is certainly a later state of the cluster of `other`."""
        later = self.version > other.version
        return later and not other.awaiting_founding and other.cluster in ("", self.cluster)

    def revision_status(self, revision: int, digest: str) -> RevisionStatus:
        """Return the status of the text with this digest under this revision."""
        chosen = self.by_revision.get(revision)
        if chosen is not None:
            return RevisionStatus.COMMITTED if chosen == digest else RevisionStatus.CONFLICT
        if len(self.history) >= MAX_HISTORY and revision < self.revision:
            return RevisionStatus.FORGOTTEN
        return RevisionStatus.ABSENT

    def decommission_mark(self, node: str) -> DecommissionMark | None:
        """Return the progress of a node's decommission; None if none was ordered."""
        return dict(self.decommissions).get(node)

    def voter(self, node: str) -> Voter | None:
        """Return the voter on a node; None if the node has no vote."""
        return next((voter for voter in self.voters if voter.node == node), None)

    @property
    def majority(self) -> int:
        """The smallest number of voters that is more than half of the group."""
        return len(self.voters) // 2 + 1

    def to_wire(self) -> list[object]:
        """The encoding on the wire and on disk."""
        return [
            self.version,
            self.epoch,
            [voter.to_wire() for voter in self.voters],
            self.revision,
            self.text,
            [list(entry) for entry in self.history],
            [[node, int(mark)] for node, mark in self.decommissions],
            list(self.removed_members),
            self.cluster,
        ]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [
                int(version),
                int(epoch),
                voters,
                int(revision),
                bytes(text),
                history,
                decommissions,
                removed,
                str(cluster),
            ]:
                return cls(
                    version,
                    epoch,
                    voters_from_wire(voters),
                    revision,
                    text,
                    _history_from_wire(history),
                    _decommissions_from_wire(decommissions),
                    tuple(map(str, as_sequence(removed, "removed members"))),
                    cluster,
                )
        raise MessageDecodeError("control state", f"{payload!r:.60}")


def voters_from_wire(payload: object) -> tuple[Voter, ...]:
    """Decode a list of voters; raises MessageDecodeError."""
    return tuple(map(Voter.from_wire, as_sequence(payload, "voters")))


def decommission_mark_from_wire(payload: object) -> DecommissionMark:
    """Decode; raises MessageDecodeError."""
    match payload:
        case int(number) if number in DecommissionMark.__members__.values():
            return DecommissionMark(number)
    raise MessageDecodeError("decommission mark", f"{payload!r:.60}")


def _history_from_wire(payload: object) -> tuple[tuple[int, str], ...]:
    return tuple(map(_history_entry_from_wire, as_sequence(payload, "history")))


def _history_entry_from_wire(payload: object) -> tuple[int, str]:
    match payload:
        case [int(revision), str(digest)]:
            return revision, digest
    raise MessageDecodeError("entry of the history", f"{payload!r:.60}")


def _decommissions_from_wire(payload: object) -> tuple[tuple[str, DecommissionMark], ...]:
    return tuple(map(_decommission_from_wire, as_sequence(payload, "decommissions")))


def _decommission_from_wire(payload: object) -> tuple[str, DecommissionMark]:
    match payload:
        case [str(node), mark]:
            return node, decommission_mark_from_wire(mark)
    raise MessageDecodeError("decommission", f"{payload!r:.60}")
