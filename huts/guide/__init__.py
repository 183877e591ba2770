"""The operator's command line."""

from huts.guide.main import main

__all__ = ["main"]
