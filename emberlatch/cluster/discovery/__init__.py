"""Discovery of targets by their heartbeats, including draining and deregistration."""

from emberlatch.cluster.discovery.heartbeat import InvalidHeartbeatError, TargetHeartbeat
from emberlatch.cluster.discovery.target import Target, TargetReport, TargetReports, TargetState
from emberlatch.cluster.discovery.target_directory import AppliedHeartbeat, TargetDirectory

__all__ = [
    "AppliedHeartbeat",
    "InvalidHeartbeatError",
    "Target",
    "TargetDirectory",
    "TargetHeartbeat",
    "TargetReport",
    "TargetReports",
    "TargetState",
]
