"""Sends queued updates in Gossip frames. Other frames carry queued updates too. Times are in seconds."""

from __future__ import annotations

import math

from emberlatch.fleet.frames import Gossip, MemberUpdate
from emberlatch.fleet.membership.peers import PRESENT, sample_names
from emberlatch.fleet.membership.protocol_instance import ProtocolInstance

LEAVE_FANOUT_FACTOR = 4  # multiplies the fan-out of the announcement of leaving, sent only once


class Gossiper:
    """Regularly sends queued updates to a few randomly chosen peers."""

    def __init__(self, instance: ProtocolInstance, now: float) -> None:
        self._peers, self._queue, self._outbox = instance.peers, instance.queue, instance.outbox
        self._parameters, self._rng = instance.parameters, instance.rng
        self._next_at = now

    @property
    def due(self) -> float:
        """When updates are to be sent next; infinite while no update is queued."""
        return self._next_at if self._queue else math.inf

    def tick(self, now: float) -> None:
        """Send queued updates, if that is due."""
        if now < self.due:
            return
        self._next_at = now + self._parameters.gossip_interval_s
        for name in sample_names(self._rng, self._peers.names_in(*PRESENT), self._parameters.gossip_fanout):
            self._outbox.send(name, Gossip(self._queue.take()))

    def announce_leaving(self, update: MemberUpdate) -> None:
        """Send the update that this member leaves to many peers at once."""
        fanout = LEAVE_FANOUT_FACTOR * self._parameters.gossip_fanout
        for name in sample_names(self._rng, self._peers.names_in(*PRESENT), fanout):
            self._outbox.send(name, Gossip((update,)))
