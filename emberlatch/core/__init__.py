"""The decision module: receives every event and makes every dispatch decision, without any I/O."""

from emberlatch.core.forwarder import Forwarder

__all__ = ["Forwarder"]
