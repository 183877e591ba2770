"""Encodes and decodes frames: JSON objects with attached file descriptors.

A frame starts with a big-endian header of 6 bytes: the length of the payload (4 bytes) and the number of file
descriptors (2 bytes). The payload is a JSON object. The file descriptors are attached to the header
(SCM_RIGHTS, see unix(7)).
"""

from __future__ import annotations

import json
import os
import struct
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from emberlatch.takeover.errors import HandoverConnectionError

Fields = dict[str, Any]
"""The JSON object of a frame; a received object is not validated."""

HEADER = struct.Struct(">IH")
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_DESCRIPTORS = 32  # maximum number per frame; the kernel allows 253 per message


@dataclass(frozen=True, slots=True)
class Frame:
    """One message between the processes. `body` is the complete JSON object, which also contains `kind`.

    The receiver of the frame owns the descriptors and must close them.
    """

    kind: str
    body: Fields
    descriptors: list[int]

    def close(self) -> None:
        """Close the descriptors that were not removed from `descriptors`."""
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.descriptors.clear()


def encode_frame(kind: str, body: Fields, descriptors: int) -> bytes:
    """Return the bytes of a frame to which `descriptors` file descriptors will be attached."""
    payload = json.dumps({"kind": kind} | body, separators=(",", ":")).encode()
    return HEADER.pack(len(payload), descriptors) + payload


class FrameDecoder:
    """Assembles frames from received bytes and descriptors."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._descriptors: deque[int] = deque()

    def feed(self, data: bytes, descriptors: Iterable[int]) -> None:
        """Add received bytes and descriptors."""
        self._descriptors += descriptors
        self._buffer += data

    def next(self) -> Frame | None:
        """Return the next frame, or None while it is incomplete.

        Raises HandoverConnectionError if the received data is not a valid frame.
        """
        if len(self._buffer) < HEADER.size:
            return None
        length, count = HEADER.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES or count > MAX_DESCRIPTORS:
            raise HandoverConnectionError(
                f"frame header announces {length} bytes and {count} descriptors,"
                f" allowed are {MAX_FRAME_BYTES} and {MAX_DESCRIPTORS}"
            )
        end = HEADER.size + length
        if len(self._buffer) < end:
            return None
        try:
            body = json.loads(self._buffer[HEADER.size : end])
            kind = str(body["kind"])
        except (ValueError, TypeError, KeyError, RecursionError) as error:
            raise HandoverConnectionError(f"frame of {length} bytes cannot be decoded: {error!r}") from error
        del self._buffer[:end]
        if len(self._descriptors) < count:
            raise HandoverConnectionError(
                f"{kind!r} frame lacks descriptors: got {len(self._descriptors)}, header announces {count}"
            )
        return Frame(kind, body, [self._descriptors.popleft() for _ in range(count)])

    def close(self) -> None:
        """Close the descriptors of incomplete frames."""
        while self._descriptors:
            os.close(self._descriptors.popleft())
