"""The operator's command line: imported where somebody types, never on a role's path."""

from huts.guide.main import main

__all__ = ["main"]
