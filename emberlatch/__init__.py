"""Emberlatch decides, message by message, how a sender calls many outside destinations."""

from emberlatch.core import Forwarder

__version__ = "0.2.0"

__all__ = ["Forwarder", "__version__"]
