"""Consensus messages: bytes that an earlier release sent, and payloads that are not valid messages."""

from __future__ import annotations

from collections.abc import Iterator

import cbor2
from ward import each, raises, test

from emberlatch.cluster.consensus.replies import reply_from_wire
from emberlatch.cluster.consensus.requests import request_from_wire
from emberlatch.cluster.rpc import MessageDecodeError

REQUESTS = (
    "846770726570617265046167820566702f312f6666",
    (
        "8566616363657074046167820566702f312f6666868365666f756e64828261626132826161613162636c8366766f"
        "74657273048182616161318369636f6e66696775726507477b2278223a317d836c6465636f6d6d697373696f6e61"
        "6e0282676769766520757061678267726561646d69746167"
    ),
    (
        "84656c6561726e046167868365666f756e64828261626132826161613162636c8366766f74657273048182616161"
        "318369636f6e66696775726507477b2278223a317d836c6465636f6d6d697373696f6e616e028267676976652075"
        "7061678267726561646d69746167"
    ),
    (
        "8267696e7374616c6c890302828261616131826162613209447465787482820762616182096262628182616e0182"
        "6167616862636c"
    ),
    "82647265616403",
    "81656665746368",
    (
        "82667375626d6974868365666f756e64828261626132826161613162636c8366766f746572730481826161613183"
        "69636f6e66696775726507477b2278223a317d836c6465636f6d6d697373696f6e616e0282676769766520757061"
        "678267726561646d69746167"
    ),
)
"""A request of each kind, as CBOR that an earlier release sent.

Each batch contains one command of each kind. That release had no message classes yet.
"""

REPLIES = (
    "856770726f6d697365826161613104820566702f312f6666f6",
    (
        "856770726f6d697365826161613104820566702f312f666682820566702f312f6666868365666f756e6482826162"
        "6132826161613162636c8366766f74657273048182616161318369636f6e66696775726507477b2278223a317d83"
        "6c6465636f6d6d697373696f6e616e0282676769766520757061678267726561646d69746167"
    ),
    "84686163636570746564826161613104820566702f312f6666",
    "846872656a6563746564826161613104820566702f312f6666",
    (
        "846663686f73656e826161613104868365666f756e64828261626132826161613162636c8366766f746572730481"
        "82616161318369636f6e66696775726507477b2278223a317d836c6465636f6d6d697373696f6e616e0282676769"
        "766520757061678267726561646d69746167"
    ),
    (
        "8368736e617073686f74826161613189030282826161613182616261320944746578748282076261618209626262"
        "8182616e01826167616862636c"
    ),
    "8366626568696e64826161613102",
    "83676c6561726e6564826161613104",
    "846a72656164207374617465826161613103f5",
    "846a72656164207374617465826161613103f4",
    "8365756e6669748261616131626e6f",
)
"""Each kind of reply, as CBOR sent by the same release."""

WRONG_VALUES: tuple[object, ...] = (None, -1.5, "text", b"bytes", [], [[]], {"key": 1})


def damaged_variants(payload: object) -> Iterator[object]:
    """Yield variants of the payload, each with one item at any depth replaced by an arbitrary value."""
    yield from WRONG_VALUES
    if isinstance(payload, list):
        for index, item in enumerate(payload):
            for wrong in damaged_variants(item):
                yield [*payload[:index], wrong, *payload[index + 1 :]]


@test("a request that an earlier release sent is decoded and encoded to the same bytes: {recorded:.40}")
def _(recorded: str = each(*REQUESTS)) -> None:
    raw = bytes.fromhex(recorded)
    assert cbor2.dumps(request_from_wire(cbor2.loads(raw)).to_wire()) == raw


@test("a reply that an earlier release sent is decoded and encoded to the same bytes: {recorded:.40}")
def _(recorded: str = each(*REPLIES)) -> None:
    raw = bytes.fromhex(recorded)
    assert cbor2.dumps(reply_from_wire(cbor2.loads(raw)).to_wire()) == raw


@test("a payload with one damaged item is decoded or raises MessageDecodeError, and no other error")
def _() -> None:
    rejected = 0
    for recorded in (*REQUESTS, *REPLIES):
        decode = request_from_wire if recorded in REQUESTS else reply_from_wire
        for payload in damaged_variants(cbor2.loads(bytes.fromhex(recorded))):
            try:
                decode(payload)
            except MessageDecodeError:
                rejected += 1
    assert rejected > 1000


@test("a message without its last item or with an additional item is rejected")
def _() -> None:
    for recorded in (*REQUESTS, *REPLIES):
        decode = request_from_wire if recorded in REQUESTS else reply_from_wire
        payload = cbor2.loads(bytes.fromhex(recorded))
        for wrong in (payload[:-1], [*payload, 0]):
            with raises(MessageDecodeError):
                decode(wrong)
