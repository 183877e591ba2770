"""Frames: their wire format, decoding from pieces, and invalid data, which may only raise FrameError."""

from __future__ import annotations

import contextlib
import os
import random

import pytest

from emberlatch.core.interface import Phase
from emberlatch.fleet.errors import FrameError
from emberlatch.fleet.frames import (
    MAX_FRAME_BYTES,
    MAX_LIST_ITEMS,
    Ack,
    Digest,
    EndpointHold,
    EndpointReport,
    EndpointUpdates,
    Frame,
    FrameDecoder,
    Gossip,
    Handshake,
    MembershipTable,
    MemberState,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    decode,
    encode,
)

UPDATES = (MemberUpdate("a", MemberState.SUSPECT, 3 << 20, "x", "b"), MemberUpdate("b", MemberState.LEFT, 0))
UPDATES_HEX = "9295a16102ce00300000a178a16295a1620400a0a0"
FRAMES = [
    Handshake("fleet", "a", 1 << 20, "life", member_count=5),
    Ping(7, UPDATES),
    Ack(7, "b", UPDATES),
    PingRequest(8, "c", UPDATES),
    Nack(8),
    Gossip(UPDATES),
    Digest("ab12"),
    MembershipTable(UPDATES, True, 5),
    EndpointUpdates((EndpointHold("p1-east", 0.4),)),
]
WIRE_FORMS: list[tuple[Frame, str]] = [
    (FRAMES[0], "000000169701a5666c656574a161ce00100000a46c6966650105"),
    (FRAMES[1], "00000018930207" + UPDATES_HEX),
    (FRAMES[2], "0000001a940307a162" + UPDATES_HEX),
    (FRAMES[3], "0000001a940408a163" + UPDATES_HEX),
    (FRAMES[4], "00000003920508"),
    (FRAMES[5], "000000179206" + UPDATES_HEX),
    (FRAMES[6], "000000079207a461623132"),
    (FRAMES[7], "000000199408" + UPDATES_HEX + "c305"),
    (
        EndpointUpdates((EndpointHold("p1-east", 0.4),), (EndpointReport("p2", Phase.REMOVED, 1.5),)),
        "0000002493099192a770312d65617374cb3fd999999999999a9193a2703202cb3ff8000000000000",
    ),
    (Ping(1), "0000000493020190"),
    (EndpointUpdates(), "0000000493099090"),
]
"""The bytes that earlier releases send, which must not change because releases run side by side."""


@pytest.mark.parametrize(
    ("frame", "wire_form"),
    WIRE_FORMS,
    ids=[f"{number}-{type(frame).__name__}" for number, (frame, _) in enumerate(WIRE_FORMS)],
)
def test_each_frame_has_the_bytes_of_earlier_releases(frame: Frame, wire_form: str) -> None:
    assert encode(frame).hex() == wire_form
    assert list(FrameDecoder().feed(bytes.fromhex(wire_form))) == [frame]


def test_frames_are_decoded_from_pieces_of_any_size() -> None:
    data = b"".join(map(encode, FRAMES))
    for size in (1, 2, 3, 7, len(data)):
        decoder = FrameDecoder()
        pieces = (data[start : start + size] for start in range(0, len(data), size))
        assert [frame for piece in pieces for frame in decoder.feed(piece)] == FRAMES


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",
        b"\0\0\0\0",
        (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
        b"\0\0\0\x05abcde",
        b"\0\0\0\x01\xc0",
        b"GET / HTTP/1.1\r\n\r\n",
        encode(Gossip((MemberUpdate("x" * 99, MemberState.ALIVE, 1),))),
        encode(Gossip((MemberUpdate("", MemberState.ALIVE, 1),))),
        encode(Gossip((MemberUpdate("a", MemberState.ALIVE, -5),))),
        encode(EndpointUpdates((EndpointHold("a", float("nan")),))),
        encode(EndpointUpdates((EndpointHold("a", -1.0),))),
        encode(EndpointUpdates(reports=(EndpointReport("a", Phase.REMOVED, -1.0),))),
        bytes.fromhex("000000119309909193a16107cb3ff0000000000000"),  # phase 7, which does not exist
        encode(
            MembershipTable(
                tuple(MemberUpdate(f"n{n}", MemberState.ALIVE, 1) for n in range(MAX_LIST_ITEMS + 1))
            )
        ),
    ],
)
def test_invalid_data_raises_a_frame_error(data: bytes) -> None:
    with pytest.raises(FrameError):
        list(FrameDecoder().feed(data))


def test_random_invalid_data_raises_nothing_but_frame_errors() -> None:
    rng = random.Random(5)
    for _ in range(20_000):
        valid = bytearray(encode(rng.choice(FRAMES))[4:])
        for _ in range(rng.randint(1, 4)):
            valid[rng.randrange(len(valid))] = rng.randrange(256)
        for data in (bytes(valid), os.urandom(rng.randint(0, 40))):
            with contextlib.suppress(FrameError):
                decode(data)
