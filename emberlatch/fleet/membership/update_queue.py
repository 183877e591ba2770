"""The queue of membership updates, which are piggybacked on other frames or sent as gossip."""

from __future__ import annotations

import math

from emberlatch.fleet.frames import MemberUpdate
from emberlatch.fleet.membership.parameters import ProtocolParameters
from emberlatch.fleet.membership.peers import PeerTable


class UpdateQueue:
    """Queues the newest update on each member; sends each a limited number of times, least sent first."""

    def __init__(self, parameters: ProtocolParameters, peers: PeerTable) -> None:
        self._parameters, self._peers = parameters, peers
        self._queued: dict[str, tuple[MemberUpdate, int]] = {}  # by member: update, times sent

    def __bool__(self) -> bool:
        return bool(self._queued)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update, which replaces a queued update on the same member."""
        self._queued[update.name] = update, 0

    def take(self, first: MemberUpdate | None = None) -> tuple[MemberUpdate, ...]:
        """Return the updates for one frame. `first`, if given, is included whether queued or not."""
        size = max(self._peers.fleet_size, 1)
        max_sends = math.ceil(self._parameters.retransmissions * max(1.0, math.log10(size + 1)))
        least_sent = sorted(self._queued.items(), key=lambda item: item[1][1])
        selected = [first] if first is not None else []
        for name, (update, sends) in least_sent[: self._parameters.max_updates_per_frame]:
            if update != first:
                selected.append(update)
            if sends + 1 >= max_sends:
                del self._queued[name]
            else:
                self._queued[name] = update, sends + 1
        return tuple(selected)
