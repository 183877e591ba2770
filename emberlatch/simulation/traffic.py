"""What the processes of a simulated cluster have sent each other since the start."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from emberlatch.cluster.rpc.peer import SEED_PREFIX
from emberlatch.simulation.cluster import SimulatedCluster, SimulatedNode


@dataclass(frozen=True, slots=True)
class Sent:
    """All frames from one process to another about one method; answers count with their questions."""

    sender: SimulatedNode
    receiver: SimulatedNode
    method: str
    frames: int
    bytes: int

    @property
    def over(self) -> bool:
        """Whether it crosses a zone's border."""
        return self.sender.zone != self.receiver.zone


def traffic(world: SimulatedCluster) -> Iterator[Sent]:
    """All of it, since the processes that live now began.

    A connection that was dialled by a seed's address keeps that as its name: it is the same machine.
    """
    by_name = dict(world.nodes)
    by_name |= {f"{SEED_PREFIX}{node.host}": node for node in world.nodes.values()}
    for node in world.nodes.values():
        if node.program is None:
            continue
        for (peer, told), (frames, size) in node.program.membership.counters.sent.items():
            receiver = by_name.get(peer)
            if receiver is not None:  # else a greeting, before it is known who is there
                yield Sent(node, receiver, told.removeprefix("="), frames, size)
