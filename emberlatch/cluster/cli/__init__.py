"""The command line `emberlatch-cluster` for operators; a node's process never imports this package."""

from emberlatch.cluster.cli.main import main

__all__ = ["main"]
