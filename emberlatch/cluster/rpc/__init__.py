"""Remote procedure calls between the cluster's own processes: frames, connections, calls, peers."""

from emberlatch.cluster.rpc.call_table import PendingCall
from emberlatch.cluster.rpc.connection import RequestHandler, RpcConnection
from emberlatch.cluster.rpc.counters import TrafficCounters, UnexpectedMessage
from emberlatch.cluster.rpc.errors import (
    CallFailedError,
    ForeignPeerError,
    FrameError,
    MessageDecodeError,
    RpcError,
)
from emberlatch.cluster.rpc.incarnation import ANY_NODE, Incarnation, LocalEndpoint
from emberlatch.cluster.rpc.methods import RpcMethod
from emberlatch.cluster.rpc.peer import DEFAULT_HEARTBEAT_INTERVAL_S, Peer, PeerDelegate, PeerState
from emberlatch.cluster.rpc.server import RpcServer

__all__ = [
    "ANY_NODE",
    "DEFAULT_HEARTBEAT_INTERVAL_S",
    "CallFailedError",
    "ForeignPeerError",
    "FrameError",
    "Incarnation",
    "LocalEndpoint",
    "MessageDecodeError",
    "Peer",
    "PeerDelegate",
    "PeerState",
    "PendingCall",
    "RequestHandler",
    "RpcConnection",
    "RpcError",
    "RpcMethod",
    "RpcServer",
    "TrafficCounters",
    "UnexpectedMessage",
]
