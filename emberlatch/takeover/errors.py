"""The exception hierarchy of the takeover."""

from __future__ import annotations


class TakeoverError(Exception):
    """Base class: a process cannot take over from another."""


class HandoverConnectionError(TakeoverError):
    """The connection to the other process is broken, or the received data is not a valid frame."""


class InvalidMessageError(TakeoverError, ValueError):
    """The content of a frame does not match its kind, so it must not be used."""


class InvalidDescriptorError(TakeoverError, ValueError):
    """A file descriptor number does not refer to a listening TCP socket."""
