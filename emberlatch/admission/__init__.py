"""Decides which client connections to keep and which to close, without sockets or clocks."""

from emberlatch.admission.connection_limiter import ClientConnection, ConnectionLimiter

__all__ = ["ClientConnection", "ConnectionLimiter"]
