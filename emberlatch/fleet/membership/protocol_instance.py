"""The state that the parts of the membership machine share."""

from __future__ import annotations

import random
from dataclasses import dataclass

from emberlatch.fleet.membership.actions import Outbox
from emberlatch.fleet.membership.parameters import ProtocolParameters
from emberlatch.fleet.membership.peers import PeerTable
from emberlatch.fleet.membership.update_queue import UpdateQueue


@dataclass(frozen=True, slots=True)
class ProtocolInstance:
    """The state of one run of the membership protocol; each process of a member has its own.

    Attributes:
        parameters: the intervals, time-outs and limits of the protocol.
        rng: the generator of all random numbers; for a given seed, they depend on the order of calls.
        peers: this member's view of the other members.
        queue: the updates that are to be sent with the next frames.
        outbox: the actions requested since the caller last took them.
    """

    parameters: ProtocolParameters
    rng: random.Random
    peers: PeerTable
    queue: UpdateQueue
    outbox: Outbox

    @classmethod
    def begin(cls, parameters: ProtocolParameters, seed: int) -> ProtocolInstance:
        """Return an instance without peers, queued updates and actions."""
        peers = PeerTable()
        return cls(parameters, random.Random(seed), peers, UpdateQueue(parameters, peers), Outbox())
