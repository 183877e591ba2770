"""Wire messages of the message store: frames recorded from an earlier release decode and encode unchanged."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import cbor2
from ward import raises, test

from emberlatch.cluster.message_store import AcceptReply, AcceptRequest, MessageState, Record
from emberlatch.cluster.message_store.messages import (
    CommitStateRequest,
    DurableReply,
    MessageBody,
    MessageIds,
    MessageQuery,
    MessageStatus,
    RangeDifferences,
    RangeDigests,
    RecordBatch,
    ReplicateReply,
    StateReport,
)
from emberlatch.cluster.message_store.ownership_messages import (
    AssumeOwnershipRequest,
    OwnershipOffer,
    TakeoverCandidate,
    TakeoverInquiry,
    TakeoverReply,
)
from emberlatch.cluster.rpc import MessageDecodeError, RpcMethod
from tests.cluster.recorded_frames import payloads


class Message(Protocol):
    """The interface that all wire messages have."""

    def to_wire(self) -> object:
        """Return the wire form."""


Decode = Callable[[object], Message]

REQUESTS: dict[RpcMethod, Decode] = {
    RpcMethod.ACCEPT: AcceptRequest.from_wire,
    RpcMethod.PROBE: StateReport.from_wire,
    RpcMethod.COMMIT_STATE: CommitStateRequest.from_wire,
    RpcMethod.MESSAGE_STATE: MessageQuery.from_wire,
    RpcMethod.MESSAGE_BODY: MessageQuery.from_wire,
    RpcMethod.ASSUME_OWNERSHIP: AssumeOwnershipRequest.from_wire,
    RpcMethod.DIGEST_RANGES: RangeDigests.from_wire,
    RpcMethod.RECORDS: MessageIds.from_wire,
    RpcMethod.REPAIR: RecordBatch.from_wire,
}

REPLIES: dict[RpcMethod, Decode] = {
    RpcMethod.ACCEPT: AcceptReply.from_wire,
    RpcMethod.PROBE: StateReport.from_wire,
    RpcMethod.REPLICATE: ReplicateReply.from_wire,
    RpcMethod.COMMIT_STATE: DurableReply.from_wire,
    RpcMethod.MESSAGE_STATE: MessageStatus.from_wire,
    RpcMethod.MESSAGE_BODY: MessageBody.from_wire,
    RpcMethod.ASSUME_OWNERSHIP: MessageIds.from_wire,
    RpcMethod.DIGEST_RANGES: RangeDifferences.from_wire,
    RpcMethod.RECORDS: RecordBatch.from_wire,
    RpcMethod.REPAIR: DurableReply.from_wire,
}


def recorded(method: RpcMethod, kind: str) -> list[object]:
    """Return the recorded payloads, without the None that replies to MESSAGE_STATE for an unknown message."""
    found = payloads(method, kind)
    return [payload for payload in found if method is not RpcMethod.MESSAGE_STATE or payload is not None]


@test("recorded requests and notices decode, and encode to the same bytes")
def _() -> None:
    for method, decode in REQUESTS.items():
        found = recorded(method, "request") + recorded(method, "notice")
        assert found, method
        for payload in found:
            assert cbor2.dumps(decode(payload).to_wire()) == cbor2.dumps(payload), method


@test("recorded replies decode, and encode to the same bytes")
def _() -> None:
    for method, decode in REPLIES.items():
        found = recorded(method, "answer")
        assert found, method
        for payload in found:
            assert cbor2.dumps(decode(payload).to_wire()) == cbor2.dumps(payload), method


@test("recorded copies in REPLICATE and REPAIR requests decode, and encode to the same bytes")
def _() -> None:
    copies = list(payloads(RpcMethod.REPLICATE, "request"))
    for payload in payloads(RpcMethod.REPAIR, "request"):
        copies += RecordBatch.from_wire(payload).records
    assert copies
    for copy in copies:
        record = Record.from_wire(copy, 0.0)
        assert cbor2.dumps(record.to_wire(0.0, record.body)) == cbor2.dumps(copy)


@test("fields of wire messages are decoded from the keys and positions defined for them")
def _() -> None:
    report = StateReport.from_wire(["m", 3, "seal", 2, "s1", 4])
    assert report == StateReport("m", MessageState.COMPLETED, "seal", 2, "s1", 4)
    assert OwnershipOffer.from_wire(["m", 2, 4]) == OwnershipOffer("m", epoch=2, attempts=4)
    inquiry = TakeoverInquiry.from_wire(["s1", [["m", 2]]])
    assert inquiry == TakeoverInquiry("s1", (TakeoverCandidate("m", epoch=2),))
    assert inquiry.to_wire() == ["s1", [["m", 2]]]
    wire_reply = [[["m", 3, "seal", 2, "s1", 4]], ["n"]]
    assert TakeoverReply.from_wire(wire_reply) == TakeoverReply((report,), claimed_ids=("n",))
    assert TakeoverReply((report,), ("n",)).to_wire() == wire_reply
    reply = AcceptReply.from_wire({"ok": False, "clear": True, "why": "full"})
    assert reply == AcceptReply(accepted=False, surely_not_executed=True, reason="full")
    wire = {
        "id": "m", "host": "h", "method": "PUT", "path": "/p", "content": "text/plain", "body": b"b",
        "age": 0.1, "delay": 2.0, "retention": 60.0, "version": 7, "tries": 1, "maybe": ["s0"],
    }  # fmt: skip
    request = AcceptRequest.from_wire(wire)
    message = request.message
    assert (message.id, message.host, message.method, message.path) == ("m", "h", "PUT", "/p")
    assert (message.content_type, message.body, message.config_revision) == ("text/plain", b"b", 7)
    assert (message.delay_s, message.retention_s, request.age_s) == (2.0, 60.0, 0.1)
    assert (request.prior_attempts, request.possible_holders) == (1, ["s0"])
    assert AcceptRequest.from_wire({k: v for k, v in wire.items() if k != "maybe"}).possible_holders == []


@test("a payload of another form raises MessageDecodeError")
def _() -> None:
    invalid: list[tuple[Callable[[object], object], object]] = [
        (AcceptRequest.from_wire, {"id": "m"}),
        (AcceptReply.from_wire, None),
        (StateReport.from_wire, ["m", 9, "", 1, "s0", 0]),
        (StateReport.from_wire, ["m", 0, ""]),
        (CommitStateRequest.from_wire, "m"),
        (ReplicateReply.from_wire, 7),
        (MessageQuery.from_wire, 7),
        (MessageStatus.from_wire, ["queued"]),
        (MessageBody.from_wire, "text"),
        (AssumeOwnershipRequest.from_wire, [["m", "later", 0]]),
        (TakeoverInquiry.from_wire, ["s1"]),
        (TakeoverInquiry.from_wire, ["s1", [["m"]]]),
        (TakeoverInquiry.from_wire, ["s1", None]),
        (TakeoverReply.from_wire, [[], None]),
        (TakeoverReply.from_wire, "m"),
        (MessageIds.from_wire, None),
        (RangeDigests.from_wire, 3),
        (RangeDifferences.from_wire, {"differ": []}),
        (RecordBatch.from_wire, {}),
        (lambda payload: Record.from_wire(payload, 0.0), {"id": "m"}),
    ]
    for decode, payload in invalid:
        with raises(MessageDecodeError):
            decode(payload)
