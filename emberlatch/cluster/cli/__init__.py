"""The operator's command line: imported where somebody types, never on a node's path."""

from emberlatch.cluster.cli.main import main

__all__ = ["main"]
