"""Encodes the actions of the instances as replies to the simulator's frames."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from enum import IntEnum
from functools import partial

from emberlatch.core import interface as api
from emberlatch.simlink.messages import Fault, WireAction

HEADER = struct.Struct("<II")
"""Number of records in the reply, size of the reply in bytes."""
RECORD_SIZE = 24
ALL_PEERS = 0xFFFFFFFF


class ActionCode(IntEnum):
    """The codes of the records in a reply."""

    SEND = 1000
    REJECT = 1010
    FAIL = 1020
    CANCEL = 1030
    SET_TIMER = 1040
    PROBE = 1050
    CLOSE_IDLE = 1060
    SEND_TO_PEER = 1070
    LOG_LINE = 1080
    FAULT = 1090
    WATCH = 1100
    LOOKUP = 1110
    BY = 1120  # gives the instance of the records that follow


def _packer(code: ActionCode, layout: str) -> Callable[..., bytes]:
    """Return a function that packs a record with this code.

    `layout` is the `struct` format of the values after the code.
    """
    record = struct.Struct(f"<H{layout}")
    assert record.size == RECORD_SIZE
    return partial(record.pack, int(code))


_pack_send = _packer(ActionCode.SEND, "Qd6s")
_pack_reject = _packer(ActionCode.REJECT, "Qd6x")
_pack_fail = _packer(ActionCode.FAIL, "Q14x")
_pack_cancel = _packer(ActionCode.CANCEL, "QH12x")
_pack_set_timer = _packer(ActionCode.SET_TIMER, "dQ6x")
_pack_probe = _packer(ActionCode.PROBE, "6s16x")
_pack_close_idle = _packer(ActionCode.CLOSE_IDLE, "6s16x")
_pack_send_to_peer = _packer(ActionCode.SEND_TO_PEER, "III10x")
_pack_log_line = _packer(ActionCode.LOG_LINE, "II14x")
_pack_fault = _packer(ActionCode.FAULT, "II14x")
_pack_watch = _packer(ActionCode.WATCH, "B21x")
_pack_lookup = _packer(ActionCode.LOOKUP, "22x")
_pack_by = _packer(ActionCode.BY, "I18x")


def encode_reply(groups: Iterable[tuple[int, Iterable[WireAction]]]) -> bytes:
    """Encode one reply.

    For each instance that has actions, the reply has a record with the instance's number, then its actions.
    """
    records: list[bytes] = []
    tail = bytearray()
    for instance, actions in groups:
        is_named = False
        for action in actions:
            if not is_named:
                records.append(_pack_by(instance))
                is_named = True
            records.append(_encode_action(action, tail))
    size = HEADER.size + len(records) * RECORD_SIZE + len(tail)
    return b"".join((HEADER.pack(len(records), size), *records, bytes(tail)))


def _append(data: bytes, tail: bytearray) -> tuple[int, int]:
    """Append data to the tail; returns the offset and size of the data."""
    offset = len(tail)
    tail += data
    return offset, len(data)


def _encode_action(action: WireAction, tail: bytearray) -> bytes:
    match action:
        case api.Send(ref, target, timeout):
            return _pack_send(ref, timeout, target)
        case api.SetTimer(at, token):
            return _pack_set_timer(at, token)
        case api.Reject(ref, retry_after):
            return _pack_reject(ref, retry_after)
        case api.Fail(ref):
            return _pack_fail(ref)
        case api.Cancel(ref, attempt):
            return _pack_cancel(ref, attempt)
        case api.Probe(target):
            return _pack_probe(target)
        case api.CloseIdle(target):
            return _pack_close_idle(target)
        case api.SendToPeer(peer, payload):
            receiver = ALL_PEERS if peer is None else peer
            return _pack_send_to_peer(receiver, *_append(payload, tail))
        case api.LogLine(text):
            return _pack_log_line(*_append(text.encode("utf-8", "replace"), tail))
        case Fault(text):
            return _pack_fault(*_append(text.encode("utf-8", "replace"), tail))
        case api.SetDirectoryWatch(active):
            return _pack_watch(active)
        case api.RequestDirectoryList():
            return _pack_lookup()
    raise TypeError(f"not an action: {action!r}")
