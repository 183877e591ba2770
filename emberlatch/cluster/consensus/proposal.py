"""What an acceptor votes for: a batch of commands under a ballot. This module does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from emberlatch.cluster.consensus.commands import Batch, batch_from_wire, batch_to_wire
from emberlatch.cluster.consensus.state import Ballot
from emberlatch.cluster.rpc.errors import MessageDecodeError


@dataclass(frozen=True, slots=True)
class Proposal:
    """A batch of commands under a ballot."""

    ballot: Ballot
    batch: Batch

    def to_wire(self) -> list[object]:
        """The encoding on the wire and on disk."""
        return [self.ballot.to_wire(), batch_to_wire(self.batch)]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode; raises MessageDecodeError."""
        match payload:
            case [ballot, batch]:
                return cls(Ballot.from_wire(ballot), batch_from_wire(batch))
        raise MessageDecodeError("proposal", f"{payload!r:.60}")


def proposal_to_wire(proposal: Proposal | None) -> list[object] | None:
    """Return the encoding of a proposal; None for None."""
    return None if proposal is None else proposal.to_wire()


def proposal_from_wire(payload: object) -> Proposal | None:
    """Decode a proposal; None for None. Raises MessageDecodeError."""
    return None if payload is None else Proposal.from_wire(payload)
