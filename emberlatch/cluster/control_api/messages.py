"""Calls on the control API, and their encoding for forwarding from one process to another.

A call is forwarded as the list `[method, segments, body]`, and its response comes back as `[status, body]`.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Self

from emberlatch.cluster.rpc import MessageDecodeError


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """One call: the HTTP method, the segments of the path, and the body."""

    method: str
    segments: tuple[str, ...]
    body: bytes

    def to_wire(self) -> list[object]:
        """Encode the call for forwarding."""
        return [self.method, list(self.segments), self.body]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode a payload. Raises MessageDecodeError if it is not a call."""
        match payload:
            case [str(method), [*segments], bytes(body), *_]:
                return cls(method, tuple(map(str, segments)), body)
        raise MessageDecodeError("control request", "not a method, segments of a path and a body")


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """The HTTP status of a response, and its body: JSON, or the configuration as the operator sent it."""

    status: int
    body: bytes = b""

    @classmethod
    def failed(cls, status: int, cause: str) -> Self:
        """Create the response to a failed call; `cause` is sent to the caller."""
        return cls(status, json.dumps({"cause": cause}).encode())

    def to_wire(self) -> list[object]:
        """Encode the response for the process that forwarded the call."""
        return [self.status, self.body]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode a payload. Raises MessageDecodeError if it is not a response."""
        match payload:
            case [int(status), bytes(body)]:
                return cls(status, body)
        raise MessageDecodeError("control response", "not a status and a body")


NO_MAJORITY = ControlResponse.failed(503, "this machine is cut off from most of the voters")
"""The response of a machine without contact with a majority of the voters."""
