"""Checks of the structure of payloads; a failed check raises MessageDecodeError."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from emberlatch.cluster.rpc.errors import MessageDecodeError

Message = TypeVar("Message")


def as_sequence(payload: object, message: str) -> Sequence[object]:
    """Return the payload if it is a list; otherwise raise MessageDecodeError, which names `message`."""
    if isinstance(payload, list | tuple):
        return payload
    raise MessageDecodeError(message, f"a list is expected, not {type(payload).__name__}")


def decode_by_kind(
    payload: object, decoders: Mapping[str, Callable[[object], Message]], message: str
) -> Message:
    """Decode a list with the decoder for its first item, which is the kind. Raises MessageDecodeError."""
    match payload:
        case [str(kind), *_] if kind in decoders:
            return decoders[kind](payload)
    raise MessageDecodeError(message, f"no known kind: {payload!r:.60}")
