"""Emberlatch decides, message by message, how a sender calls many outside destinations."""

from emberlatch.core import Forwarder

__all__ = ["Forwarder"]
