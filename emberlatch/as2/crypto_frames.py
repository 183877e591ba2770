"""The messages between the gateway and its crypto worker: pickled, each preceded by its length.

Both processes always run the same version, since the gateway starts the worker.
"""

from __future__ import annotations

import pickle
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

from emberlatch.as2.message import AcceptancePolicy, Layers, Opened, Sealed
from emberlatch.as2.mime import Entity
from emberlatch.config.as2 import As2

LENGTH = struct.Struct("<I")
READY = b"ready"
"""Written by the worker, unframed, once it has read its keys."""
MAX_FRAME_BYTES = 1 << 20  # well above the size of any message


@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """The first message to a worker: the configuration, and the folder with the files that it names."""

    config: As2
    folder: Path


@dataclass(frozen=True, slots=True)
class SealRequest:
    """The arguments of `CryptoService.seal`."""

    content: bytes
    layers: Layers
    partner: str
    now: float


@dataclass(frozen=True, slots=True)
class UnsealRequest:
    """The arguments of `CryptoService.unseal`."""

    outer: Entity
    partner: str
    policy: AcceptancePolicy
    now: float


@dataclass(frozen=True, slots=True)
class Request:
    """A request to seal or open a message; `number` identifies it among the requests in flight."""

    number: int
    work: SealRequest | UnsealRequest


@dataclass(frozen=True, slots=True)
class Response:
    """The result of the request with the same number, or the exception that it raised."""

    number: int
    result: Sealed | Opened | Exception


def frame(message: WorkerSettings | Request | Response) -> bytes:
    """Encode a message, preceded by its length."""
    data = pickle.dumps(message, pickle.HIGHEST_PROTOCOL)
    return LENGTH.pack(len(data)) + data


def read_frames(stream: BinaryIO) -> Iterator[object]:
    """Yield the messages of a stream up to its end, a truncated message, or one over MAX_FRAME_BYTES."""
    while len(head := stream.read(LENGTH.size)) == LENGTH.size:
        size = LENGTH.unpack(head)[0]
        if size > MAX_FRAME_BYTES or len(data := stream.read(size)) < size:
            return
        yield pickle.loads(data)
