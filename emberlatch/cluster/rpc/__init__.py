"""Frames and calls between the system's own processes."""

from emberlatch.cluster.rpc.connection import Lost, RpcConnection, RpcServer
from emberlatch.cluster.rpc.counters import TrafficCounters
from emberlatch.cluster.rpc.peer import BEAT, Peer, PeerState

__all__ = ["BEAT", "Lost", "Peer", "PeerState", "RpcConnection", "RpcServer", "TrafficCounters"]
