"""Frames and calls between the system's own processes."""

from emberlatch.cluster.rpc.connection import PendingCall, RpcConnection, RpcServer
from emberlatch.cluster.rpc.counters import Stray, TrafficCounters
from emberlatch.cluster.rpc.errors import ForeignPeer, Lost
from emberlatch.cluster.rpc.incarnation import ANYONE, Incarnation, LocalEndpoint
from emberlatch.cluster.rpc.peer import BEAT, Peer, PeerState

__all__ = [
    "ANYONE",
    "BEAT",
    "ForeignPeer",
    "Incarnation",
    "LocalEndpoint",
    "Lost",
    "Peer",
    "PeerState",
    "PendingCall",
    "RpcConnection",
    "RpcServer",
    "Stray",
    "TrafficCounters",
]
