"""The frames of a connection: a length (4 bytes, big-endian) and that many bytes of CBOR. Pure.

A frame is an array of its kind and the fields of its message, in the order in which the class names them.
Requests and answers carry the lives of caller and receiver beside the request's number.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields
from enum import IntEnum
from typing import Any

import cbor2

VERSION = 2  # of this protocol; processes of different versions do not talk
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 8 * 1024 * 1024


class FrameError(ValueError):
    """What came is no frame, or a frame that may not come now."""


class FrameKind(IntEnum):
    """The first item of a frame."""

    GREETING = 0
    REQUEST = 1
    RESPONSE = 2
    FAILURE = 3
    NOTICE = 4


@dataclass(frozen=True, slots=True)
class Greeting:
    """The first frame in each direction: who speaks, and whom it takes the other side for.

    An empty `expected_node` stands for any; a later life than `expected_life` is as good.
    """

    version: int
    node: str
    life: int
    expected_node: str
    expected_life: int


@dataclass(frozen=True, slots=True)
class Request:
    """A call that wants an answer."""

    number: int
    caller_life: int
    receiver_life: int
    method: str
    payload: Any


@dataclass(frozen=True, slots=True)
class Response:
    """The answer to the request with this number."""

    number: int
    caller_life: int
    receiver_life: int
    payload: Any


@dataclass(frozen=True, slots=True)
class Failure:
    """The request with this number has no answer; it may have had an effect."""

    number: int
    caller_life: int
    receiver_life: int
    text: str


@dataclass(frozen=True, slots=True)
class Notice:
    """Something told that wants no answer."""

    method: str
    payload: Any


Frame = Greeting | Request | Response | Failure | Notice

FRAMES: dict[FrameKind, type[Frame]] = {
    FrameKind.GREETING: Greeting,
    FrameKind.REQUEST: Request,
    FrameKind.RESPONSE: Response,
    FrameKind.FAILURE: Failure,
    FrameKind.NOTICE: Notice,
}
"""Every kind of frame there is."""

_KINDS: dict[type[Any], FrameKind] = {frame: kind for kind, frame in FRAMES.items()}
_KIND_NUMBERS = frozenset(int(kind) for kind in FrameKind)
_FIELDS = {frame: [(f.name, str(f.type)) for f in fields(frame)] for frame in _KINDS}


def encode(frame: Frame) -> bytes:
    """A frame with its length, as it is sent."""
    kind = type(frame)
    items = [int(_KINDS[kind]), *(getattr(frame, name) for name, _ in _FIELDS[kind])]
    body = cbor2.dumps(items)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode(body: bytes) -> Frame:
    """A frame from the bytes behind its length; FrameError if they are none."""
    try:
        items = cbor2.loads(body)
    except Exception as error:  # whatever a decoder makes of foreign bytes
        raise FrameError(f"no CBOR: {error!r}"[:200]) from None
    if not isinstance(items, list) or not items or not _is_number(items[0]) or items[0] not in _KIND_NUMBERS:
        raise FrameError("no frame")
    frame = FRAMES[FrameKind(items[0])]
    expected = _FIELDS[frame]
    if len(items) != 1 + len(expected):
        raise FrameError(f"a {frame.__name__} of {len(items)} items")
    for (name, kind), value in zip(expected, items[1:], strict=True):
        if not _fits(kind, value):
            raise FrameError(f"{frame.__name__}.{name}: {value!r:.40}")
    return frame(*items[1:])


def _is_number(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _fits(kind: str, value: Any) -> bool:
    if kind == "int":
        return _is_number(value)
    if kind == "str":
        return isinstance(value, str)
    return True


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """The frames that are whole now, in order; FrameError at the first bytes that are none."""
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[LENGTH_BYTES:end])
            del self._buffer[:end]
            yield decode(body)
