"""Single frames of an earlier release, for tests of the messages that they carry."""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from emberlatch.cluster.rpc.frames import (
    LENGTH_BYTES,
    ErrorResponse,
    Frame,
    Identify,
    Notification,
    Request,
    Response,
    decode,
)

FOLDER = Path(__file__).parent.parent / "fixtures" / "stored" / "cluster"


@dataclass(frozen=True, slots=True)
class RecordedFrame:
    """One frame.

    `kind` is "greeting", "request", "answer", "notice" or "failure". `method` of an answer is the method of its
    request. `variant` distinguishes frames of the same method and kind.
    """

    file: str
    method: str
    kind: str
    variant: str
    recorded: bool  # whether a simulated cluster sent it; if not, that release only encoded it
    data: bytes

    @property
    def frame(self) -> Frame:
        """The frame, decoded."""
        return decode(self.data[LENGTH_BYTES:])

    @property
    def payload(self) -> object:
        """The content of the frame, as the receiver's handler gets it."""
        match self.frame:
            case Request(payload=payload) | Response(payload=payload) | Notification(payload=payload):
                return payload
            case ErrorResponse(text=text):
                return text
            case Identify():
                return None
        raise TypeError(f"{self.file}: unknown class of frame")


@cache
def recorded_frames() -> tuple[RecordedFrame, ...]:
    """All frames, in the order of the indexes.

    The second index is of a method that was added after that release: its frames were sent by the first
    version that has it, in the scenario of two replicas that do not know of each other.
    """
    indexes = (json.loads((FOLDER / name).read_text()) for name in ("frames.json", "frames-takeover.json"))
    return tuple(
        RecordedFrame(**entry, data=(FOLDER / "frames" / entry["file"]).read_bytes())
        for index in indexes
        for entry in index
    )


def payloads(method: str, kind: str) -> list[object]:
    """The payloads of all variants, in the order of the index. `kind` is "request", "answer" or "notice"."""
    return [each.payload for each in recorded_frames() if (each.method, each.kind) == (method, kind)]


def payload(method: str, kind: str, variant: str = "") -> object:
    """The payload of one variant, or of the first if `variant` is empty. Raises LookupError if none matches."""
    for each in recorded_frames():
        if (each.method, each.kind) == (method, kind) and variant in ("", each.variant):
            return each.payload
    raise LookupError(f"no recorded {kind} of {method!r}, variant {variant!r}")
