"""Requests to a voter about one version of the control state. This module does no I/O.

Prepare, Accept and Learn name a version and the group of voters that decides this version. A voter declines
the request if its own state names another group for the version.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import ClassVar, Self

from emberlatch.cluster.consensus.commands import Batch, batch_from_wire, batch_to_wire
from emberlatch.cluster.consensus.state import Ballot, ControlState
from emberlatch.cluster.consensus.wire import decode_by_kind
from emberlatch.cluster.rpc.errors import MessageDecodeError


@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1a: asks for a promise to join no lower ballot, and for the proposal accepted so far."""

    KIND: ClassVar[str] = "prepare"

    version: int
    group: str
    ballot: Ballot

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.version, self.group, self.ballot.to_wire()]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, int(version), str(group), ballot]:
                return cls(version, group, Ballot.from_wire(ballot))
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2a: asks a voter to accept this batch unless it has promised a higher ballot."""

    KIND: ClassVar[str] = "accept"

    version: int
    group: str
    ballot: Ballot
    batch: Batch

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.version, self.group, self.ballot.to_wire(), batch_to_wire(self.batch)]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, int(version), str(group), ballot, batch]:
                return cls(version, group, Ballot.from_wire(ballot), batch_from_wire(batch))
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Learn:
    """Announces that this batch was chosen as this version."""

    KIND: ClassVar[str] = "learn"

    version: int
    group: str
    batch: Batch

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.version, self.group, batch_to_wire(self.batch)]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, int(version), str(group), batch]:
                return cls(version, group, batch_from_wire(batch))
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Install:
    """Carries a chosen state to a machine that may have only an older one."""

    KIND: ClassVar[str] = "install"

    state: ControlState

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.state.to_wire()]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, state]:
                return cls(ControlState.from_wire(state))
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Read:
    """Asks whether a version newer than this one is chosen, or may be chosen."""

    KIND: ClassVar[str] = "read"

    version: int

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, self.version]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, int(version)]:
                return cls(version)
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Fetch:
    """Asks for the newest state that the machine has on disk."""

    KIND: ClassVar[str] = "fetch"

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND]:
                return cls()
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


@dataclass(frozen=True, slots=True)
class Submit:
    """Delegates these commands to the preferred proposer, so that proposers seldom collide."""

    KIND: ClassVar[str] = "submit"

    batch: Batch

    def to_wire(self) -> list[object]:
        """The encoding on the wire."""
        return [self.KIND, batch_to_wire(self.batch)]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [cls.KIND, batch]:
                return cls(batch_from_wire(batch))
        raise MessageDecodeError(cls.KIND, f"{payload!r:.60}")


Request = Prepare | Accept | Learn | Install | Read | Fetch | Submit

_DECODERS: Mapping[str, Callable[[object], Request]] = {
    request.KIND: request.from_wire for request in (Prepare, Accept, Learn, Install, Read, Fetch, Submit)
}


def request_from_wire(payload: object) -> Request:
    """Decode a request of any kind; raises MessageDecodeError."""
    return decode_by_kind(payload, _DECODERS, "request of the control state")
