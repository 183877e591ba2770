"""One process of the cluster, whatever its role.

A process with a disk stores and delivers messages. A process with a front address accepts messages from
clients. A process with a control address accepts calls of targets and operators; without a disk it forwards
them to a process that has one.
"""

from emberlatch.cluster.node.node import Node

__all__ = ["Node"]
