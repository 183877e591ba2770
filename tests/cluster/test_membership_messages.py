"""Messages of the membership and the control API: decoding and encoding as in an earlier release."""

from __future__ import annotations

from typing import Protocol

import cbor2
from ward import each, raises, test

from emberlatch.cluster.control_api import ControlRequest, ControlResponse
from emberlatch.cluster.membership import (
    ControlReport,
    Handshake,
    Heartbeat,
    HeartbeatDecoder,
    HeartbeatNotice,
    Member,
    MembershipUpdate,
)
from emberlatch.cluster.message_store import DiskState
from emberlatch.cluster.rpc import MessageDecodeError
from tests.cluster.recorded_frames import payloads


class Encodable(Protocol):
    """A message."""

    def to_wire(self) -> object:
        """The payload on the wire."""


class Decodable(Protocol):
    """A type of message."""

    def from_wire(self, payload: object) -> Encodable:
        """Decode a payload. Raises MessageDecodeError if it is not such a message."""


MESSAGES: dict[tuple[str, str], Decodable] = {
    ("hello", "request"): Handshake,
    ("hello", "answer"): Handshake,
    ("beat", "request"): Heartbeat,
    ("beat", "answer"): Heartbeat,
    ("beat", "notice"): Heartbeat,
    ("news", "notice"): HeartbeatNotice,
    ("roster", "answer"): MembershipUpdate,
    ("members", "notice"): MembershipUpdate,
    ("control", "request"): ControlRequest,
    ("control", "answer"): ControlResponse,
}
UNDECODABLE: dict[str, tuple[Decodable, object]] = {
    "a list in place of a heartbeat": (Heartbeat, [1]),
    "a heartbeat with an unknown state of the disk": (Heartbeat, {"phase": "serving", "disk": "melted"}),
    "a heartbeat with a version that is no number": (Heartbeat, {"phase": "serving", "version": "7"}),
    "a notice without a heartbeat": (HeartbeatNotice, ["s0"]),
    "an update without a roster": (MembershipUpdate, {"me": {}}),
    "nothing in place of a handshake": (Handshake, None),
    "a control request without a body": (ControlRequest, ["GET", "api"]),
    "a control response with a text": (ControlResponse, [200, "text"]),
}
MEMBER = Member("s0", "10.1.1.1", 7300, "z0", "r", True, True, "10.1.1.1:8002", 5)


@test("recorded payloads of {method} ({kind}) are decoded, and encoded to the same bytes")
def _(method: str = each(*(m for m, _ in MESSAGES)), kind: str = each(*(k for _, k in MESSAGES))) -> None:
    recorded = payloads(method, kind)
    assert recorded
    for payload in recorded:
        message = MESSAGES[method, kind].from_wire(payload)
        assert cbor2.dumps(message.to_wire()) == cbor2.dumps(payload)


@test("a recorded heartbeat of a store has all parts, and one of a forwarder has no phase, disk or control")
def _() -> None:
    heartbeats = [Heartbeat.from_wire(payload) for payload in payloads("beat", "request")]
    heartbeats += [Heartbeat.from_wire(payload) for payload in payloads("beat", "answer")]
    store_heartbeats = [heartbeat for heartbeat in heartbeats if heartbeat.phase is not None]
    forwarder_heartbeats = [heartbeat for heartbeat in heartbeats if heartbeat.phase is None]
    assert store_heartbeats and forwarder_heartbeats
    for heartbeat in store_heartbeats:
        assert heartbeat.disk is DiskState.OK and heartbeat.control is not None
        assert heartbeat.roster_digest is not None and heartbeat.control.votes
    for heartbeat in forwarder_heartbeats:
        assert heartbeat.disk is None and heartbeat.control is None


@test("a heartbeat encodes values other than the defaults, in the key order of older versions")
def _() -> None:
    control = ControlReport(7, 3, "d00dfeed", "abcd", False, {"s1": 2.5}, {"s2": 1})
    heartbeat = Heartbeat("serving", 12, 99, DiskState.UNREADABLE, control)
    payload = heartbeat.to_wire()
    assert list(payload.items()) == [
        ("phase", "serving"),
        ("stands", 12),
        ("stores", 99),
        ("disk", DiskState.UNREADABLE.value),
        ("version", 7),
        ("epoch", 3),
        ("cluster", "d00dfeed"),
        ("identity", "abcd"),
        ("votes", False),
        ("silent", {"s1": 2.5}),
        ("retire", {"s2": 1}),
    ]
    assert Heartbeat.from_wire(payload) == heartbeat


@test("missing keys get defaults, and unknown keys are ignored")
def _() -> None:
    assert Heartbeat.from_wire({"phase": "serving", "later": 1}) == Heartbeat(
        "serving", -1, None, DiskState.OK, ControlReport()
    )
    assert Heartbeat.from_wire({"phase": None, "stands": 4, "stores": 9}) == Heartbeat(None, 4, 9)
    wire = MEMBER.to_wire()
    del wire["life"], wire["control"]
    assert Member.from_wire(wire | {"later": 1}) == Member(
        "s0", "10.1.1.1", 7300, "z0", "r", True, True, "", 0
    )


@test("a heartbeat that equals the sender's previous one is not decoded again")
def _() -> None:
    decoder, payload = HeartbeatDecoder(), {"phase": "serving", "stands": 3, "silent": {"s2": 0.5}}
    first = decoder.decode("s0", payload)
    assert first == Heartbeat.from_wire(payload)
    assert decoder.decode("s0", dict(payload)) is first and decoder.decode("s1", payload) is not first
    changed = decoder.decode("s0", payload | {"silent": {"s2": 0.9}})
    assert changed.control is not None and changed.control.unreachable_s == {"s2": 0.9}
    with raises(MessageDecodeError):
        decoder.decode("s0", None)


@test("{description} raises MessageDecodeError")
def _(description: str = each(*UNDECODABLE)) -> None:
    message, payload = UNDECODABLE[description]
    with raises(MessageDecodeError):
        message.from_wire(payload)


@test("a member with {field} = {value} raises MessageDecodeError")
def _(
    field: str = each("node", "node", "zone", "port", "port", "life"),
    value: object = each("", 7, "z" * 101, 0, "7300", "5"),
) -> None:
    with raises(MessageDecodeError):
        Member.from_wire(MEMBER.to_wire() | {field: value})
