"""The `emberlatch` command: each of its commands is thin over a package."""

from emberlatch.cli.main import main

__all__ = ["main"]
