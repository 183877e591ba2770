"""Errors on the link between two members. An error closes that link and has no other effect."""

from __future__ import annotations


class FleetError(Exception):
    """The base of this package's errors. Its text is logged as the reason why the link was closed."""


class FrameError(FleetError, ValueError):
    """Received bytes can't be decoded as a frame, or exceed the limits of a frame."""


class HandshakeError(FleetError):
    """The handshake on a link is missing, late, or of a process that is not accepted on this link."""
