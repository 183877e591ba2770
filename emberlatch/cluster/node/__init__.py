"""One process of the cluster, whatever its role.

A process with a disk stores and delivers messages. A process with a front address accepts messages from
clients. A process with a control address accepts calls of targets and operators. If it has no disk, it
forwards these calls to a process with a disk.
"""

from emberlatch.cluster.node.node import Node

__all__ = ["Node"]
