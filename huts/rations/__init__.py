"""Shares of a service's limit: what this process may send of what all may send together."""

from huts.rations.window import Window

__all__ = ["Window"]
