"""The codec against the protocol's byte examples, and the adapter with valid and invalid input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from emberlatch import Forwarder
from emberlatch.core import interface
from emberlatch.simlink import adapter
from emberlatch.simlink.decoder import Decoder
from emberlatch.simlink.encoder import encode_reply

CLOCK = "508d976e12d32040"
REF = int.from_bytes(bytes.fromhex("c4913a5d77d10c00"), "little")
ABOUT_3 = "1a0403000000" + "00" * 50
ABOUT_5 = "1a0405000000" + "00" * 50
ARRIVAL = (
    "4204c4913a5d77d10c00000000000064 0ad2557c3bf091b81e85eb51b8ce3ffa7e6abc7493883f000064420100".replace(
        " ", ""
    )
    + "00" * 11
)
TIMER = "10044d00000000000000" + "00" * 46
CLIENT_GONE = "fc03192b6f0e5ba80d00" + "00" * 46
OUTCOME = (
    "2e04c4913a5d77d10c0000000a124a075b1b64008b6ce7fba9f1923f010000000002cdcccc3e0000a03f0000000000000000"
    + "00" * 6
)
SETTINGS = {
    "categories": [{"idempotency": "read_like", "target": 1.0, "deadline": 5.0, "unknown": 1}],
    "extra": {"workers": 4},
    "allowed": {"open-cap": 10},
}


def frame(*records: str, tail: bytes = b"") -> bytes:
    body = bytes.fromhex("".join(records)) + tail
    return struct.pack("<II", 16 + len(body), len(records)) + bytes.fromhex(CLOCK) + body


def start(instance: int, document: object) -> bytes:
    text = document if isinstance(document, bytes) else json.dumps(document).encode()
    about = struct.pack("<HI", 1050, instance).hex() + "00" * 50
    record = (struct.pack("<HQII", 1030, 7, 0, len(text)) + bytes(38)).hex()
    return frame(about, record, tail=text)


def test_an_empty_frame_has_no_events_and_an_empty_reply_no_records() -> None:
    now, events = Decoder().decode(bytes.fromhex("1000000000000000" + CLOCK))
    assert events == []
    assert now == struct.unpack("<d", bytes.fromhex(CLOCK))[0]
    assert encode_reply([]) == bytes.fromhex("0000000008000000")


def test_events_are_decoded_with_the_instance_of_their_about_record() -> None:
    data = frame(ABOUT_3, ARRIVAL, TIMER, ABOUT_5, CLIENT_GONE)
    assert data[:8] == bytes.fromhex("2801000005000000")
    _, events = Decoder().decode(data)
    (a, arrival), (b, timer), (c, gone) = events
    assert (a, b, c) == (3, 3, 5)
    assert isinstance(arrival, interface.Arrival)
    assert arrival.ref == REF
    assert (arrival.destination, arrival.category, arrival.remaining) == (57, 0, 0.24)
    assert arrival.duration_hint == pytest.approx(0.012)
    assert timer == interface.TimerFired(0x4D)
    assert gone == interface.ClientDisconnected(int.from_bytes(bytes.fromhex("192b6f0e5ba80d00"), "little"))


def test_the_outcome_example_is_decoded() -> None:
    _, [(_, outcome)] = Decoder().decode(frame(ABOUT_3, OUTCOME))
    assert isinstance(outcome, interface.Outcome)
    assert outcome.result is interface.Result.OK
    assert outcome.is_final
    assert outcome.target == bytes.fromhex("0a124a075b1b")
    assert outcome.report == pytest.approx((0.4, 1.25))


def test_a_list_registered_again_within_a_frame_replaces_the_first() -> None:
    first = bytes.fromhex("390000010000000000000000000 00a124a075b1b0000803f".replace(" ", ""))
    second = bytes.fromhex("3900000101006666666666661840 0a9011f2841b0000c03f".replace(" ", ""))
    register = (struct.pack("<HBII", 1100, 0, 0, 1) + bytes(45)).hex()
    again = (struct.pack("<HBII", 1100, 0, 24, 1) + bytes(45)).hex()
    update = (struct.pack("<HBBI", 1060, 0, 3, 41) + bytes(48)).hex()
    data = frame(ABOUT_3, register, update, again, update, tail=first + second)
    _, [(_, one), (_, two)] = Decoder().decode(data)
    assert isinstance(one, interface.DirectoryUpdate) and isinstance(two, interface.DirectoryUpdate)
    assert one.entries == (interface.Entry(bytes.fromhex("0a124a075b1b"), 57, weight=1.0),)
    assert two.entries[0].zone == 1
    assert two.entries[0].added_at == pytest.approx(6.1)
    assert two.entries[0].weight == 1.5


def test_the_reply_example_is_encoded() -> None:
    clock = struct.unpack("<d", bytes.fromhex("508d976e12d32140"))[0]
    reply = encode_reply(
        [
            (
                3,
                [
                    interface.Send(REF, bytes.fromhex("0a124a075b1b"), 0.08),
                    interface.SetTimer(clock, 77),
                ],
            ),
            (5, [interface.LogLine("two servers known")]),
        ]
    )
    assert (
        reply
        == bytes.fromhex(
            "0500000091000000"
            + "600403000000"
            + "00" * 18
            + "e803c4913a5d77d10c007b14ae47e17ab43f0a124a075b1b"
            + "1004508d976e12d321404d00000000000000"
            + "00" * 6
            + "600405000000"
            + "00" * 18
            + "38040000000011000000"
            + "00" * 14
        )
        + b"two servers known"
    )


def test_the_peer_message_example_is_encoded() -> None:
    reply = encode_reply([(3, [interface.SendToPeer(None, b"hi 7")])])
    assert reply[32:] == bytes.fromhex("2e04ffffffff0000000004000000" + "00" * 10) + b"hi 7"


@given(
    st.integers(0, 2**52 - 1), st.integers(0, 2**16 - 1), st.floats(0, 1e6), st.binary(min_size=6, max_size=6)
)
@settings(derandomize=True)
def test_every_action_takes_one_record(ref: int, attempt: int, seconds: float, target: bytes) -> None:
    actions: list[interface.Action] = [
        interface.Send(ref, target, seconds),
        interface.Reject(ref, seconds),
        interface.Fail(ref),
        interface.Cancel(ref, attempt),
        interface.SetTimer(seconds, ref),
        interface.Probe(target),
        interface.CloseIdle(target),
        interface.SetDirectoryWatch(True),
        interface.RequestDirectoryList(),
    ]
    reply = encode_reply([(1, actions)])
    count, size = struct.unpack_from("<II", reply)
    assert (count, size) == (1 + len(actions), len(reply))
    codes = [struct.unpack_from("<H", reply, 8 + 24 * i)[0] for i in range(count)]
    assert codes == [1120, 1000, 1010, 1020, 1030, 1040, 1050, 1060, 1100, 1110]
    assert struct.unpack_from("<Qd6s", reply, 34) == (ref, seconds, target)


def serve(data: bytes) -> bytes:
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(data), sink)
    return sink.getvalue()


def test_a_stop_discards_earlier_events_of_its_frame() -> None:
    assert len(serve(start(3, SETTINGS))) == 8
    stop = (struct.pack("<H", 1000) + bytes(54)).hex()
    assert serve(start(3, SETTINGS) + frame(ABOUT_3, TIMER, stop)) == bytes.fromhex("0000000008000000") * 2


INVALID_INPUT = {
    "truncated length": (b"\x10\x00", "input ended after 2 of 4 bytes of a frame's length"),
    "short length": (struct.pack("<I", 4), "frame length 4 is below its header size of 16 bytes"),
    "truncated frame": (frame(ABOUT_3, TIMER)[:-3], "input ended"),
    "too many records": (struct.pack("<II", 16, 9) + bytes(8), "cannot hold 9 records"),
    "unknown code": (frame(ABOUT_3, "ffff" + "00" * 54), "unknown record code 65535"),
    "no about": (frame(TIMER), "before any ABOUT"),
    "unknown instance": (frame(ABOUT_3, TIMER), "has not started"),
    "bad json": (start(3, b"{"), "not valid JSON"),
    "missing key": (start(3, {**SETTINGS, "extra": {}}), "extra.workers"),
    "impossible value": (start(3, {**SETTINGS, "extra": {"workers": 0}}), "extra.workers"),
    "bad effect": (
        start(3, {**SETTINGS, "categories": [{"idempotency": "odd", "target": 1, "deadline": 2}]}),
        "odd",
    ),
    "tail out of range": (start(3, SETTINGS)[:-4], "input ended"),
}


@pytest.mark.parametrize("name", INVALID_INPUT)
def test_invalid_input_ends_with_a_message_and_no_traceback(name: str) -> None:
    data, message = INVALID_INPUT[name]
    done = subprocess.run(
        [sys.executable, "-m", "emberlatch.simlink.adapter"],
        input=data,
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert done.returncode != 0
    assert done.stdout == b""
    assert message in done.stderr.decode()
    assert b"Traceback" not in done.stderr


def test_an_exception_in_the_decision_module_becomes_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: object, now: float, events: object) -> None:
        raise RuntimeError("lost my way")

    monkeypatch.setattr(Forwarder, "handle", broken)
    reply = serve(start(3, SETTINGS))
    assert struct.unpack_from("<H", reply, 32)[0] == 1090
    assert reply.endswith(b"RuntimeError: lost my way")
