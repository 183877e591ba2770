"""How records lie in a file: a mark, a length, a checksum, a payload. What is damaged or cut short costs
itself alone, for reading goes on at the next mark."""

from __future__ import annotations

import logging
import struct
import zlib

log = logging.getLogger(__name__)

_MARK = b"\xe5EL1"
_HEAD = struct.Struct("<4sII")


def pack(payload: bytes) -> bytes:
    """A record."""
    return _HEAD.pack(_MARK, len(payload), zlib.crc32(payload)) + payload


def unpack(data: bytes, name: str) -> list[bytes]:
    """The payloads of the sound records of a file with that name."""
    found, at = [], 0
    while (start := data.find(_MARK, at)) >= 0 and start + _HEAD.size <= len(data):
        _, length, checksum = _HEAD.unpack_from(data, start)
        payload = data[start + _HEAD.size : start + _HEAD.size + length]
        if len(payload) == length and zlib.crc32(payload) == checksum:
            found.append(payload)
            at = start + _HEAD.size + length
        else:
            log.warning("%s: damaged record at byte %d passed over", name, start)
            at = start + 1
    return found
