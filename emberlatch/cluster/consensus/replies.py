"""Replies of a voter to requests about one version of the control state. This module does no I/O.

Each reply names its voter. A duplicated reply therefore counts once, and a late reply counts only for the
disk identity that sent it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import ClassVar, Self

from emberlatch.cluster.consensus.commands import Batch, batch_from_wire, batch_to_wire
from emberlatch.cluster.consensus.proposal import Proposal, proposal_from_wire, proposal_to_wire
from emberlatch.cluster.consensus.state import Ballot, ControlState, Voter
from emberlatch.cluster.consensus.wire import decode_by_kind
from emberlatch.cluster.rpc.errors import MessageDecodeError


@dataclass(frozen=True, slots=True)
class Promise:
    """Phase 1b: the ballot is promised; `accepted` is the voter's accepted proposal of the highest ballot."""

    KIND: ClassVar[str] = "promise"

    voter: Voter
    version: int
    ballot: Ballot
    accepted: Proposal | None

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [
            self.KIND,
            self.voter.to_wire(),
            self.version,
            self.ballot.to_wire(),
            proposal_to_wire(self.accepted),
        ]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, voter, int(version), ballot, accepted]:
                return cls(
                    Voter.from_wire(voter), version, Ballot.from_wire(ballot), proposal_from_wire(accepted)
                )
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Accepted:
    """Phase 2b: the batch of this ballot is durable on the voter's disk."""

    KIND: ClassVar[str] = "accepted"

    voter: Voter
    version: int
    ballot: Ballot

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.voter.to_wire(), self.version, self.ballot.to_wire()]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, voter, int(version), ballot]:
                return cls(Voter.from_wire(voter), version, Ballot.from_wire(ballot))
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Rejected:
    """The voter has promised a higher ballot, `promised`."""

    KIND: ClassVar[str] = "rejected"

    voter: Voter
    version: int
    promised: Ballot

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.voter.to_wire(), self.version, self.promised.to_wire()]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, voter, int(version), promised]:
                return cls(Voter.from_wire(voter), version, Ballot.from_wire(promised))
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Chosen:
    """The requested version is decided already: this batch was chosen."""

    KIND: ClassVar[str] = "chosen"

    voter: Voter
    version: int
    batch: Batch

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.voter.to_wire(), self.version, batch_to_wire(self.batch)]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, voter, int(version), batch]:
                return cls(Voter.from_wire(voter), version, batch_from_wire(batch))
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The newest state on the voter's disk.

    As a reply to Prepare or Accept it means that the requested version is decided already.
    """

    KIND: ClassVar[str] = "snapshot"

    voter: Voter
    state: ControlState

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.voter.to_wire(), self.state.to_wire()]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, voter, state]:
                return cls(Voter.from_wire(voter), ControlState.from_wire(state))
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Behind:
    """The voter lacks versions before the requested one; `version` is the newest that it has."""

    KIND: ClassVar[str] = "behind"

    voter: Voter
    version: int

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.voter.to_wire(), self.version]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, voter, int(version)]:
                return cls(Voter.from_wire(voter), version)
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Learned:
    """The voter's disk has this version, or a later one."""

    KIND: ClassVar[str] = "learned"

    voter: Voter
    version: int

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.voter.to_wire(), self.version]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, voter, int(version)]:
                return cls(Voter.from_wire(voter), version)
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class ReadState:
    """The newest version on the voter's disk, and whether it has accepted a batch for the next one."""

    KIND: ClassVar[str] = "read state"

    voter: Voter
    version: int
    pending: bool

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.voter.to_wire(), self.version, self.pending]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, voter, int(version), bool(pending)]:
                return cls(Voter.from_wire(voter), version, pending)
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Declined:
    """The request was declined: for example, the voter has no vote, or its disk can't be written."""

    KIND: ClassVar[str] = "unfit"

    voter: Voter
    reason: str

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.voter.to_wire(), self.reason]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, voter, str(reason)]:
                return cls(Voter.from_wire(voter), reason)
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


Reply = Promise | Accepted | Rejected | Chosen | Snapshot | Behind | Learned | ReadState | Declined

_DECODERS: Mapping[str, Callable[[object], Reply]] = {
    reply.KIND: reply.from_wire
    for reply in (Promise, Accepted, Rejected, Chosen, Snapshot, Behind, Learned, ReadState, Declined)
}


def reply_from_wire(payload: object) -> Reply:
    """Decode a reply of any kind; raises MessageDecodeError."""
    return decode_by_kind(payload, _DECODERS, "reply of the control state")
