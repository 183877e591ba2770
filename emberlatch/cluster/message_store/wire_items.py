"""Decodes parts of the payloads of calls. Pure: no disk, no clock, no network."""

from __future__ import annotations

from emberlatch.cluster.rpc.errors import MessageDecodeError

DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
"""The errors that decoding a payload of another form can raise."""


def wire_items(message: str, payload: object) -> list[object]:
    """Return a payload that must be a list; raise MessageDecodeError, naming the message, if it is not."""
    if not isinstance(payload, list):
        raise MessageDecodeError(message, f"{payload!r:.40} is no list")
    return payload
