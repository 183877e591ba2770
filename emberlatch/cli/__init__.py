"""The `emberlatch` command; each subcommand is a thin layer over a package."""

from emberlatch.cli.main import main

__all__ = ["main"]
