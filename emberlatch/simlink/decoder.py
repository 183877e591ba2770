"""Decodes the simulator's frames. A frame has the time and events for the instances in this process."""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping
from enum import IntEnum

from emberlatch.core import interface as api
from emberlatch.simlink.errors import WireError
from emberlatch.simlink.messages import Start, Stop, WireEvent
from emberlatch.simlink.settings import decode_settings

HEADER = struct.Struct("<IId")
"""Size of the frame in bytes, number of records, time of the simulator's clock."""
RECORD_SIZE = 56


class EventCode(IntEnum):
    """The codes of the records in a frame."""

    STOP = 1000
    PROBE_RESULT = 1010
    CLIENT_GONE = 1020
    START = 1030
    TIMER = 1040
    ABOUT = 1050  # gives the instance of the records that follow
    DIRECTORY_UPDATE = 1060
    OUTCOME = 1070
    PEER_MESSAGE = 1080
    ARRIVAL = 1090
    REGISTER = 1100  # defines a numbered list of targets for later directory updates of any instance
    RESPONSE_STARTED = 1110


_CODE = struct.Struct("<H")
_ABOUT = struct.Struct("<2xI")
_START = struct.Struct("<2xQII")
_REGISTER = struct.Struct("<2xBII")
_DIRECTORY_UPDATE = struct.Struct("<2xBBI")
_ARRIVAL = struct.Struct("<2xQBIQddfH")
_RESPONSE_STARTED = struct.Struct("<2xQdH6s")
_OUTCOME = struct.Struct("<2xQH6sHdBIB4f")
_PROBE_RESULT = struct.Struct("<2xH6sdB4f")
_REF = struct.Struct("<2xQ")
_PEER_MESSAGE = struct.Struct("<2xIII")
_ENTRY = struct.Struct("<HBBHd6sf")

_HAS_DURATION_HINT, _IS_RESUBMITTED, _IS_WRITE, _IS_INHERITED = 1, 2, 4, 16


class Decoder:
    """Decodes frames and stores the registered lists of targets. All instances share these lists."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[api.Entry, ...]] = {}

    def decode(self, data: bytes) -> tuple[float, list[tuple[int, WireEvent]]]:
        """Decode one complete frame; returns the time, and pairs of instance and event in the frame's order.

        Raises:
            WireError: the frame does not follow the protocol.
        """
        if len(data) < HEADER.size:
            raise WireError(f"frame of {len(data)} bytes is shorter than its header of {HEADER.size} bytes")
        length, count, now = HEADER.unpack_from(data)
        if length != len(data):
            raise WireError(f"frame has {len(data)} bytes, but its header says {length}")
        tail_start = HEADER.size + count * RECORD_SIZE
        if tail_start > length:
            raise WireError(f"frame of {length} bytes cannot hold {count} records of {RECORD_SIZE} bytes")
        instance: int | None = None
        events: list[tuple[int, WireEvent]] = []
        for start in range(HEADER.size, tail_start, RECORD_SIZE):
            code = _CODE.unpack_from(data, start)[0]
            if (decode_event := _EVENT_DECODERS.get(code)) is not None:
                event = decode_event(data, start)
            elif code == EventCode.ABOUT:
                instance = _ABOUT.unpack_from(data, start)[0]
                continue
            elif code == EventCode.REGISTER:
                self._register(data, start, tail_start)
                continue
            else:
                event = self._decode_rare_event(code, data, start, tail_start)
            if instance is None:
                raise WireError(f"record {code} comes before any ABOUT")
            events.append((instance, event))
        return now, events

    def _register(self, data: bytes, start: int, tail_start: int) -> None:
        number, offset, count = _REGISTER.unpack_from(data, start)
        raw = _tail(data, tail_start, offset, count * _ENTRY.size, "REGISTER")
        entries = []
        for destination, kind, phase, zone, added_at, target, weight in _ENTRY.iter_unpack(raw):
            try:
                known_phase = api.Phase(phase)
            except ValueError as error:
                raise WireError(f"REGISTER: unknown phase {phase}") from error
            entries.append(api.Entry(target, destination, known_phase, kind, zone, added_at, weight))
        self._lists[number] = tuple(entries)

    def _decode_rare_event(self, code: int, data: bytes, start: int, tail_start: int) -> WireEvent:
        match code:
            case EventCode.DIRECTORY_UPDATE:
                return self._decode_directory_update(data, start)
            case EventCode.START:
                seed, offset, size = _START.unpack_from(data, start)
                return Start(seed, decode_settings(_tail(data, tail_start, offset, size, "START")))
            case EventCode.STOP:
                return Stop()
            case EventCode.PEER_MESSAGE:
                origin, offset, size = _PEER_MESSAGE.unpack_from(data, start)
                return api.PeerMessage(origin, _tail(data, tail_start, offset, size, "PEER"))
            case _:
                raise WireError(f"unknown record code {code}")

    def _decode_directory_update(self, data: bytes, start: int) -> api.DirectoryUpdate:
        number, kind, version = _DIRECTORY_UPDATE.unpack_from(data, start)
        try:
            known_kind = api.ListKind(kind)
        except ValueError as error:
            raise WireError(f"DIRECTORY_UPDATE: unknown kind {kind}") from error
        if known_kind is api.ListKind.FAILED:
            return api.DirectoryUpdate(known_kind, version)
        if number not in self._lists:
            raise WireError(f"DIRECTORY_UPDATE: list {number} was never registered")
        return api.DirectoryUpdate(known_kind, version, self._lists[number])


def _tail(data: bytes, tail_start: int, offset: int, size: int, record: str) -> bytes:
    start = tail_start + offset
    if start + size > len(data):
        raise WireError(f"{record}: tail data end at byte {start + size} of a frame of {len(data)} bytes")
    return data[start : start + size]


def _result(code: int) -> api.Result:
    try:
        return api.Result(code)
    except ValueError as error:
        raise WireError(f"unknown outcome {code}") from error


def _decode_arrival(data: bytes, start: int) -> api.Arrival:
    ref, category, tenant, key, remaining, hint, destination, bits = _ARRIVAL.unpack_from(data, start)
    return api.Arrival(
        ref,
        category,
        int(destination),
        remaining,
        tenant,
        key,
        hint if bits & _HAS_DURATION_HINT else None,
        bool(bits & _IS_RESUBMITTED),
        bool(bits & _IS_WRITE),
        bool(bits & _IS_INHERITED),
    )


def _decode_outcome(data: bytes, start: int) -> api.Outcome:
    ref, attempt, target, code, took, closed, note, count, *report = _OUTCOME.unpack_from(data, start)
    result = _result(code)
    retry_after_s = note / 1000.0 if result is api.Result.FULL else 0.0
    return api.Outcome(
        ref, attempt, target, result, took, bool(closed), retry_after_s, note, tuple(report[:count])
    )


def _decode_probe_result(data: bytes, start: int) -> api.ProbeResult:
    code, target, took, count, *report = _PROBE_RESULT.unpack_from(data, start)
    return api.ProbeResult(target, _result(code), took, tuple(report[:count]))


def _decode_timer(data: bytes, start: int) -> api.TimerFired:
    return api.TimerFired(_REF.unpack_from(data, start)[0])


def _decode_client_gone(data: bytes, start: int) -> api.ClientDisconnected:
    return api.ClientDisconnected(_REF.unpack_from(data, start)[0])


def _decode_response_started(data: bytes, start: int) -> api.ResponseStarted:
    ref, took, attempt, target = _RESPONSE_STARTED.unpack_from(data, start)
    return api.ResponseStarted(ref, attempt, target, took)


_EVENT_DECODERS: Mapping[int, Callable[[bytes, int], WireEvent]] = {
    EventCode.PROBE_RESULT: _decode_probe_result,
    EventCode.CLIENT_GONE: _decode_client_gone,
    EventCode.TIMER: _decode_timer,
    EventCode.OUTCOME: _decode_outcome,
    EventCode.ARRIVAL: _decode_arrival,
    EventCode.RESPONSE_STARTED: _decode_response_started,
}
"""Maps the code of a frequent event to its decoder. A decoder gets the frame and the record's offset."""
