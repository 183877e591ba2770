"""The decision module: pure, told of everything, asked for every choice."""

from emberlatch.core.rules import Forwarder

__all__ = ["Forwarder"]
