"""The framing of records in a file: a magic number, a length, a CRC-32 checksum and a payload.

A damaged or truncated record does not affect other records, since the reader searches for the next magic
number after it.
"""

from __future__ import annotations

import logging
import struct
import zlib

log = logging.getLogger(__name__)

_MAGIC = b"\xe5EL1"
_HEADER = struct.Struct("<4sII")


def encode_record(payload: bytes) -> bytes:
    """Return a framed record with the given payload."""
    return _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def decode_records(data: bytes, name: str) -> list[bytes]:
    """Return the payloads of the intact records in the content of a file; `name` is for log lines."""
    payloads, position = [], 0
    while (start := data.find(_MAGIC, position)) >= 0 and start + _HEADER.size <= len(data):
        _, length, checksum = _HEADER.unpack_from(data, start)
        payload = data[start + _HEADER.size : start + _HEADER.size + length]
        if len(payload) == length and zlib.crc32(payload) == checksum:
            payloads.append(payload)
            position = start + _HEADER.size + length
        else:
            log.warning("%s: skipped a damaged record at byte %d", name, start)
            position = start + 1
    return payloads
