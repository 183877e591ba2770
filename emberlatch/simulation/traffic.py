"""The traffic between the processes of a simulated cluster since their start."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from emberlatch.cluster.rpc.peer import SEED_PREFIX
from emberlatch.simulation.cluster import SimulatedCluster
from emberlatch.simulation.node import SimulatedNode

ANSWER_PREFIX = "="  # prefix of a method's name in the counters of its answers


@dataclass(frozen=True, slots=True)
class MethodTraffic:
    """All frames from one process to another about one method; answers count with their requests."""

    sender: SimulatedNode
    receiver: SimulatedNode
    method: str
    frames: int
    bytes: int

    @property
    def crosses_zones(self) -> bool:
        """Whether sender and receiver are in different zones."""
        return self.sender.zone != self.receiver.zone


def method_traffic(cluster: SimulatedCluster) -> Iterator[MethodTraffic]:
    """Yield the traffic since the current processes were started.

    Frames on a connection that was opened to a seed's address count for the node at that address.
    """
    by_name = dict(cluster.nodes)
    by_name |= {f"{SEED_PREFIX}{node.host}": node for node in cluster.nodes.values()}
    for node in cluster.nodes.values():
        if node.program is None:
            continue
        for (peer, method), (frames, size) in node.program.membership.counters.sent.items():
            receiver = by_name.get(peer)
            if receiver is not None:  # it is None for a handshake, before the peer is known
                yield MethodTraffic(node, receiver, method.removeprefix(ANSWER_PREFIX), frames, size)
