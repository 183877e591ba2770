"""Errors of the replicated control state: `ConsensusError` is their base class."""

from __future__ import annotations


class ConsensusError(Exception):
    """Base class of the errors of this package."""


class UnreachableError(ConsensusError):
    """A request to a machine got no valid reply. The request may have arrived and taken effect."""


class UndecidedError(ConsensusError):
    """The state could not be read or changed in time. A submitted command may still be decided."""
