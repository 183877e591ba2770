"""A voter without a disk, which completes a group that has too few voters with a disk. No I/O.

A witness keeps its promises in memory. A process that ends has forgotten them, so each start draws a new
identity: for the others it is a machine that has lost its disk, which votes again only once the group has
admitted it.
"""

from __future__ import annotations

import secrets

from emberlatch.cluster.consensus.acceptor import Acceptor, AcceptorRecord
from emberlatch.cluster.consensus.requests import request_from_wire
from emberlatch.cluster.consensus.state import WITNESS_IDENTITY_PREFIX, ControlState, Voter

IDENTITY_BYTES = 8  # number of random bytes in an identity


class Witness:
    """The acceptor and learner of one process without a disk. `node` is the name of its machine."""

    def __init__(self, node: str) -> None:
        identity = WITNESS_IDENTITY_PREFIX + secrets.token_hex(IDENTITY_BYTES)
        self._record = AcceptorRecord(Voter(node, identity))
        self._acceptor = Acceptor()

    @property
    def voter(self) -> Voter:
        """The voter that this process is, once a group has admitted it."""
        return self._record.voter

    @property
    def state(self) -> ControlState:
        """The newest state that this process was sent; version 0 if none."""
        return self._record.state

    @property
    def votes(self) -> bool:
        """Whether this process is one of the voters in the newest state that it was sent."""
        return self._record.active_voter is not None

    def serve(self, payload: object) -> list[object]:
        """Handle an encoded request; returns the encoded reply.

        Raises MessageDecodeError if the payload is no request.
        """
        self._record, reply = self._acceptor.handle(self._record, request_from_wire(payload))
        return reply.to_wire()
