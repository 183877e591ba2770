"""Commands on the control state. Deterministic and without I/O.

A command that no longer applies, because it was applied before or superseded by a later one, changes
nothing. Its submitter reads the outcome from the resulting state.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import ClassVar, Self

from emberlatch.cluster.consensus.state import (
    MAX_HISTORY,
    ControlState,
    DecommissionMark,
    RevisionStatus,
    Voter,
    decommission_mark_from_wire,
    text_digest,
    voters_from_wire,
)
from emberlatch.cluster.consensus.wire import as_sequence, decode_by_kind
from emberlatch.cluster.rpc.errors import MessageDecodeError

MAX_TRACKED_NODES = 512  # limit of the lists of decommissions and of removed machines; the newest stay


@dataclass(frozen=True, slots=True)
class CreateVoterGroup:
    """Create the cluster with its first group of voters. `cluster` is a random name, drawn by the proposer.

    The code calls this the founding of the cluster.
    """

    KIND: ClassVar[str] = "found"

    voters: tuple[Voter, ...]
    cluster: str = ""

    def apply(self, state: ControlState) -> ControlState:
        """Create the cluster unless it exists already."""
        if state.version != 0:
            return state
        voters = tuple(sorted(self.voters))
        return replace(state, voters=voters, cluster=self.cluster, epoch=state.epoch + 1)

    def to_wire(self) -> list[object]:
        """The encoding on the wire and on disk."""
        return [self.KIND, [voter.to_wire() for voter in self.voters], self.cluster]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, voters, str(cluster)]:
                return cls(voters_from_wire(voters), cluster)
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class SetVoters:
    """Change the group of voters from the next version on.

    `epoch` is the epoch of the state for which the change was computed.
    """

    KIND: ClassVar[str] = "voters"

    epoch: int
    voters: tuple[Voter, ...]

    def apply(self, state: ControlState) -> ControlState:
        """Add, remove or replace a single voter; a change that was computed for another epoch has no effect.

        Only one voter changes at a time, so every majority of the old group and every majority of the new
        group have a voter in common.
        """
        before, after = set(state.voters), set(self.voters)
        if self.epoch != state.epoch or not after or before == after:
            return state
        if len(before - after) > 1 or len(after - before) > 1:
            return state
        if len({voter.node for voter in after}) != len(after):
            return state
        return replace(state, voters=tuple(sorted(after)), epoch=state.epoch + 1)

    def to_wire(self) -> list[object]:
        """The encoding on the wire and on disk."""
        return [self.KIND, self.epoch, [voter.to_wire() for voter in self.voters]]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, int(epoch), voters]:
                return cls(epoch, voters_from_wire(voters))
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Configure:
    """Commit an operator's configuration text under its revision."""

    KIND: ClassVar[str] = "configure"

    revision: int
    text: bytes

    def apply(self, state: ControlState) -> ControlState:
        """Bind the revision permanently to the first text committed under it.

        The text of the highest revision is in force. A revision below the one in force is only recorded in
        the history.
        """
        digest = text_digest(self.text)
        if state.revision_status(self.revision, digest) is not RevisionStatus.ABSENT:
            return state
        history = (*state.history, (self.revision, digest))
        if len(history) > MAX_HISTORY:  # drop the oldest entry other than the one in force
            oldest = next(entry for entry in history if entry[0] != max(state.revision, self.revision))
            history = tuple(entry for entry in history if entry is not oldest)
        if self.revision < state.revision:
            return replace(state, history=history)
        return replace(state, history=history, revision=self.revision, text=self.text)

    def to_wire(self) -> list[object]:
        """The encoding on the wire and on disk."""
        return [self.KIND, self.revision, self.text]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, int(revision), bytes(text)]:
                return cls(revision, text)
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class MarkDecommission:
    """Advance the decommission of a machine. Only one machine is decommissioned at a time."""

    KIND: ClassVar[str] = "decommission"

    node: str
    mark: DecommissionMark

    def apply(self, state: ControlState) -> ControlState:
        """Advance the mark, which never goes back.

        A machine is not marked while another one is marked and not empty.
        """
        marks = dict(state.decommissions)
        current = marks.get(self.node)
        if current is not None and current >= self.mark:
            return state
        if current is None and self.mark is not DecommissionMark.MARKED:
            return state
        if current is None and DecommissionMark.MARKED in marks.values():
            return state
        marks.pop(self.node, None)
        marks[self.node] = self.mark
        newest = tuple(marks.items())[-MAX_TRACKED_NODES:]
        return replace(state, decommissions=newest, epoch=state.epoch + 1)

    def to_wire(self) -> list[object]:
        """The encoding on the wire and on disk."""
        return [self.KIND, self.node, int(self.mark)]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, str(node), mark]:
                return cls(node, decommission_mark_from_wire(mark))
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Remove a machine that was unreachable for long from the membership; it may be readmitted later."""

    KIND: ClassVar[str] = "give up"

    node: str

    def apply(self, state: ControlState) -> ControlState:
        """Remove the machine unless it is removed already."""
        if self.node in state.removed_members:
            return state
        removed_members = (*state.removed_members, self.node)[-MAX_TRACKED_NODES:]
        return replace(state, removed_members=removed_members, epoch=state.epoch + 1)

    def to_wire(self) -> list[object]:
        """The encoding on the wire and on disk."""
        return [self.KIND, self.node]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, str(node)]:
                return cls(node)
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class ReadmitMember:
    """Readmit a removed machine that is reachable again."""

    KIND: ClassVar[str] = "readmit"

    node: str

    def apply(self, state: ControlState) -> ControlState:
        """Readmit the machine if it is removed."""
        if self.node not in state.removed_members:
            return state
        removed_members = tuple(node for node in state.removed_members if node != self.node)
        return replace(state, removed_members=removed_members, epoch=state.epoch + 1)

    def to_wire(self) -> list[object]:
        """The encoding on the wire and on disk."""
        return [self.KIND, self.node]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, str(node)]:
                return cls(node)
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


Command = CreateVoterGroup | SetVoters | Configure | MarkDecommission | RemoveMember | ReadmitMember
Batch = tuple[Command, ...]

_DECODERS: Mapping[str, Callable[[object], Command]] = {
    command.KIND: command.from_wire
    for command in (CreateVoterGroup, SetVoters, Configure, MarkDecommission, RemoveMember, ReadmitMember)
}


def is_founding(batch: Batch) -> bool:
    """Whether a batch founds the cluster.

    The seeds decide no other batch. Another batch would become version 1, and the cluster could never be
    founded then.
    """
    return len(batch) == 1 and isinstance(batch[0], CreateVoterGroup)


def apply_batch(state: ControlState, batch: Iterable[Command]) -> ControlState:
    """Return the next version of the state, with this batch applied."""
    for command in batch:
        state = command.apply(state)
    return replace(state, version=state.version + 1)


def batch_to_wire(batch: Batch) -> list[object]:
    """The encoding on the wire and on disk."""
    return [command.to_wire() for command in batch]


def batch_from_wire(payload: object) -> Batch:
    """Decode; raises MessageDecodeError."""
    return tuple(map(_command_from_wire, as_sequence(payload, "batch")))


def _command_from_wire(payload: object) -> Command:
    return decode_by_kind(payload, _DECODERS, "command")
