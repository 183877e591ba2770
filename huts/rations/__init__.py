"""Shares of a service's limit: what this process may send of what all may send together."""

from huts.rations.ration import Ration

__all__ = ["Ration"]
