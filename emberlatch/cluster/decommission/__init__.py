"""Decommission of a machine: its messages and records move to the other stores, then it can be removed."""

from emberlatch.cluster.decommission.decommissions import Decommissions

__all__ = ["Decommissions"]
