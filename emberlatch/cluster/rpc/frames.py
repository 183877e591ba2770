"""Frames of a connection: a length (4 bytes, big-endian), followed by that many bytes of CBOR. No I/O.

The CBOR item is an array of the frame's kind and the fields of its class, in the order of their declaration.
Changing the order, number or types of fields changes the wire format; renaming a field does not. Requests and
responses carry the incarnations of caller and receiver in addition to the request number.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields
from enum import IntEnum
from operator import attrgetter

import cbor2

from emberlatch.cluster.rpc.errors import FrameError, FrameTooLargeError

VERSION = 2  # protocol version; processes of different versions do not connect
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_ERROR_CHARS = 200  # limit for the text of a FrameError that contains a CBOR decoder's error


class FrameKind(IntEnum):
    """The kind of a frame, which is the first item of its array."""

    IDENTIFY = 0
    REQUEST = 1
    RESPONSE = 2
    ERROR_RESPONSE = 3
    NOTIFICATION = 4


@dataclass(frozen=True, slots=True)
class Identify:
    """The first frame in each direction: names its sender and the peer that the sender expects.

    An empty `expected_node` matches any node; an incarnation later than `expected_incarnation` also matches.
    """

    version: int
    node: str
    incarnation: int
    expected_node: str
    expected_incarnation: int


@dataclass(frozen=True, slots=True)
class Request:
    """A call that expects a response."""

    number: int
    caller_incarnation: int
    receiver_incarnation: int
    method: str
    payload: object


@dataclass(frozen=True, slots=True)
class Response:
    """The response to the request with this number."""

    number: int
    caller_incarnation: int
    receiver_incarnation: int
    payload: object


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Reports that the request with this number failed; the request may have had an effect."""

    number: int
    caller_incarnation: int
    receiver_incarnation: int
    text: str


@dataclass(frozen=True, slots=True)
class Notification:
    """A message without a response."""

    method: str
    payload: object


Frame = Identify | Request | Response | ErrorResponse | Notification

FRAMES: dict[FrameKind, type[Frame]] = {
    FrameKind.IDENTIFY: Identify,
    FrameKind.REQUEST: Request,
    FrameKind.RESPONSE: Response,
    FrameKind.ERROR_RESPONSE: ErrorResponse,
    FrameKind.NOTIFICATION: Notification,
}
"""The class of each kind of frame."""


@dataclass(frozen=True, slots=True)
class _Layout:
    """Encoding of one frame class, computed once because every message is encoded and decoded with it.

    `integer_indices` and `text_indices` are the array indices of the items that must be non-negative integers
    and strings.
    """

    frame_class: type[Frame]
    kind: int
    field_values: Callable[[Frame], tuple[object, ...]]
    item_count: int
    integer_indices: tuple[int, ...]
    text_indices: tuple[int, ...]

    @staticmethod
    def of(kind: FrameKind, frame_class: type[Frame]) -> _Layout:
        """The layout of one frame class."""
        declared = [
            (index, field.name, str(field.type)) for index, field in enumerate(fields(frame_class), 1)
        ]
        return _Layout(
            frame_class,
            int(kind),
            attrgetter(*(name for _, name, _ in declared)),
            1 + len(declared),
            tuple(index for index, _, type_name in declared if type_name == "int"),
            tuple(index for index, _, type_name in declared if type_name == "str"),
        )


_LAYOUTS = {int(kind): _Layout.of(kind, frame_class) for kind, frame_class in FRAMES.items()}
_LAYOUT_OF: dict[type[Frame], _Layout] = {layout.frame_class: layout for layout in _LAYOUTS.values()}


def encode(frame: Frame) -> bytes:
    """The encoded frame, prefixed with its length.

    Raises FrameTooLargeError if the receiver would close the connection because of the frame's size.
    """
    layout = _LAYOUT_OF[type(frame)]
    body = cbor2.dumps([layout.kind, *layout.field_values(frame)])
    if len(body) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(len(body), MAX_FRAME_BYTES)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode(body: bytes) -> Frame:
    """Decode the bytes that follow a frame's length. Raises FrameError if they are malformed."""
    try:
        items = cbor2.loads(body)
    except Exception as error:  # the decoder's errors on malformed input are of many types
        raise FrameError(f"frame body is not CBOR: {error!r}"[:MAX_ERROR_CHARS]) from None
    if type(items) is not list or not items or type(items[0]) is not int:
        raise FrameError(
            f"frame body must be an array that begins with an integer, found {type(items).__name__}"
        )
    layout = _LAYOUTS.get(items[0])
    if layout is None:
        raise FrameError(f"unknown frame kind {items[0]}, expected one of {list(_LAYOUTS)}")
    if len(items) != layout.item_count:
        raise FrameError(
            f"{layout.frame_class.__name__} frame has {len(items)} items, expected {layout.item_count}"
        )
    for index in layout.integer_indices:
        if type(items[index]) is not int or items[index] < 0:
            raise FrameError(
                f"{layout.frame_class.__name__} frame, item {index}: expected a non-negative integer, "
                f"found {items[index]!r:.40}"
            )
    for index in layout.text_indices:
        if type(items[index]) is not str:
            raise FrameError(
                f"{layout.frame_class.__name__} frame, item {index}: expected a string, "
                f"found {items[index]!r:.40}"
            )
    return layout.frame_class(*items[1:])


class FrameReader:
    """Splits a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that are complete now, in order. Raises FrameError at a malformed frame."""
        self._buffer += data
        end = 0  # end of the last complete frame in the buffer
        try:
            while len(self._buffer) - end >= LENGTH_BYTES:
                start = end + LENGTH_BYTES
                length = int.from_bytes(self._buffer[end:start], "big")
                if length > MAX_FRAME_BYTES:
                    raise FrameTooLargeError(length, MAX_FRAME_BYTES)
                if len(self._buffer) < start + length:
                    return
                end = start + length
                yield decode(bytes(self._buffer[start:end]))
        finally:
            del self._buffer[:end]
