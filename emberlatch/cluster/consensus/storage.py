"""The acceptor's record in files: the identity of the disk, the newest state, and the vote on the next one.

Each of the three files is replaced atomically. A disk without an identity gets a new random one, so that a
machine whose disk was lost is a different voter. A damaged file counts as a lost disk; a file that can't be
read because of an I/O error does not.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Self

import cbor2

from emberlatch.cluster.consensus.acceptor import AcceptorRecord
from emberlatch.cluster.consensus.proposal import Proposal, proposal_from_wire, proposal_to_wire
from emberlatch.cluster.consensus.state import Ballot, ControlState, Voter
from emberlatch.cluster.files import sync_folder, write_synced
from emberlatch.cluster.rpc.errors import MessageDecodeError

IDENTITY_FILE, STATE_FILE, VOTE_FILE = "identity.cbor", "state.cbor", "vote.cbor"
IDENTITY_BYTES = 8  # number of random bytes in an identity

WriteFile = Callable[[Path, bytes], None]
"""Replaces a file atomically and syncs it; raises OSError."""


@dataclass(frozen=True, slots=True)
class DiskIdentity:
    """The content of the identity file.

    `founding_address` is the address under which the machine votes on the founding as a seed, or None if the
    machine takes no part in the founding.
    """

    identity: str
    founding_address: str | None

    def to_wire(self) -> list[object]:
        """The encoding on disk."""
        return [self.identity, self.founding_address]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [str(identity), str() | None as founding_address]:
                return cls(identity, founding_address)
        raise MessageDecodeError(IDENTITY_FILE, f"{payload!r:.60}")

    def voter(self, node: str) -> Voter:
        """Return the voter for a node with this disk."""
        return Voter(node, self.identity)

    @property
    def founding_voter(self) -> Voter | None:
        """The voter as which the machine votes on the founding; None if it takes no part in the founding."""
        return None if self.founding_address is None else Voter(self.founding_address, "")


@dataclass(frozen=True, slots=True)
class StoredVote:
    """The content of the vote file: what was promised and accepted for one version."""

    version: int
    promised: Ballot | None
    accepted: Proposal | None

    def to_wire(self) -> list[object]:
        """The encoding on disk."""
        promised = None if self.promised is None else self.promised.to_wire()
        return [self.version, promised, proposal_to_wire(self.accepted)]

    @classmethod
    def from_wire(cls, payload: object, decided_version: int = -1) -> Self:
        """Decode; raises MessageDecodeError.

        If the version is at most `decided_version`, only the version is read: the proposal may be of a kind
        that this release of the program does not know.
        """
        match payload:
            case [int(version), _, _] if version <= decided_version:
                return cls(version, None, None)
            case [int(version), promised, accepted]:
                ballot = None if promised is None else Ballot.from_wire(promised)
                return cls(version, ballot, proposal_from_wire(accepted))
        raise MessageDecodeError(VOTE_FILE, f"{payload!r:.60}")


class RecordStorage:
    """The files of one node in `folder`; nothing else writes to that folder."""

    def __init__(self, folder: Path, node: str, write: WriteFile = write_synced) -> None:
        self._folder, self._node, self._write_file = folder, node, write
        self._state_on_disk: ControlState | None = None
        folder.mkdir(parents=True, exist_ok=True)

    def load(self) -> AcceptorRecord | None:
        """Read the record; returns None if it is missing or damaged.

        Raises OSError if the disk can't be read. The disk does not count as lost then, and must not get a
        new identity.
        """
        try:
            identity = DiskIdentity.from_wire(_read(self._folder / IDENTITY_FILE))
            state = ControlState.from_wire(_read(self._folder / STATE_FILE))
        except (FileNotFoundError, MessageDecodeError):
            return None
        self._state_on_disk = state
        return self._with_vote(AcceptorRecord(identity.voter(self._node), identity.founding_voter, state))

    def _with_vote(self, record: AcceptorRecord) -> AcceptorRecord | None:
        """Return the record with the vote on disk.

        None if the vote is damaged, or if the state before the version of the vote is lost.
        """
        try:
            vote = StoredVote.from_wire(_read(self._folder / VOTE_FILE), record.state.version)
        except FileNotFoundError:
            return record
        except MessageDecodeError:
            return None
        if vote.version > record.state.version + 1:
            return None  # the state before the version of this vote is lost
        if vote.version <= record.state.version:
            return record  # the version of this vote has been decided since
        return replace(record, promised=vote.promised, accepted=vote.accepted)

    def create(self, state: ControlState, founding_address: str | None) -> AcceptorRecord:
        """Write a new random identity and a state to an empty disk; returns the record. Raises OSError.

        `founding_address` is this machine's address if it takes part in the founding.
        """
        # The identity is removed first. If a crash interrupts the rest, the disk has no identity.
        for name in (IDENTITY_FILE, VOTE_FILE):
            (self._folder / name).unlink(missing_ok=True)
            sync_folder(self._folder)
        identity = DiskIdentity(secrets.token_hex(IDENTITY_BYTES), founding_address)
        self._write(STATE_FILE, state.to_wire())
        self._write(IDENTITY_FILE, identity.to_wire())
        self._state_on_disk = state
        return AcceptorRecord(identity.voter(self._node), identity.founding_voter, state)

    def initialize(self, record: AcceptorRecord) -> None:
        """Write a complete record to an empty disk, its identity included. Raises OSError."""
        founding_address = None if record.founding_voter is None else record.founding_voter.node
        identity = DiskIdentity(record.voter.identity, founding_address)
        self._write(IDENTITY_FILE, identity.to_wire())
        self.write(record)

    def write(self, record: AcceptorRecord) -> None:
        """Make a record durable; raises OSError. After a failure the next call writes the state again."""
        on_disk, self._state_on_disk = self._state_on_disk, None  # unknown until the write succeeds
        if record.state != on_disk:
            self._write(STATE_FILE, record.state.to_wire())
        if record.promised is not None or record.accepted is not None:  # else an older vote may stay on disk
            vote = StoredVote(record.state.version + 1, record.promised, record.accepted)
            self._write(VOTE_FILE, vote.to_wire())
        self._state_on_disk = record.state

    def _write(self, name: str, content: list[object]) -> None:
        self._write_file(self._folder / name, cbor2.dumps(content))


def _read(path: Path) -> object:
    """Return the decoded content of a file; raises OSError, or MessageDecodeError if it is damaged."""
    raw = path.read_bytes()
    try:
        content: object = cbor2.loads(raw)
    except (cbor2.CBORDecodeError, EOFError, ValueError, TypeError) as error:
        raise MessageDecodeError(path.name, str(error)) from error
    return content


def read_state(folder: Path) -> ControlState | None:
    """Return the state in a folder, for tools that inspect a disk; None if it is missing or unreadable."""
    try:
        return ControlState.from_wire(_read(folder / STATE_FILE))
    except (OSError, MessageDecodeError):
        return None
