"""The messages of a takeover, tested without sockets."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from emberlatch.core.interface import Outcome, Result
from emberlatch.takeover import VERSION, ClientConnection, Frame, InvalidMessageError, StateSnapshot
from emberlatch.takeover.messages import (
    ClientConnections,
    MessageKind,
    RelayedOutcomes,
    RelayMessage,
    TargetConnections,
    decode_relay_message,
)

GOOD: dict[str, Any] = {
    "version": VERSION,
    "module": {
        "calls": [
            {
                "target": "s-1",
                "destination": 7,
                "kind": 0,
                "zone": 1,
                "sent": 1.5,
                "trial": False,
                "judged": False,
                "messages": [[4, 0, 0], [5, 2, 9]],
            }
        ],
        "messages": [{"ref": 4}],
        "pools": [],
        "short_until": [[0, 1.0]],
        "rests": [[9, 1.0, 5]],
    },
    "waits": [["s-1", 2.5], [7, 3.0]],
    "known": {"revision": 1, "complete": True, "members": []},
}


def test_a_valid_state_is_decoded() -> None:
    snapshot = StateSnapshot.from_body(json.loads(json.dumps(GOOD)))
    assert snapshot.relayed_attempts() == [(4, 0, b"s-1"), (5, 2, b"s-1")]
    assert snapshot.blocked_until == [("s-1", 2.5), (7, 3.0)]


PARTS = [
    ("module",),
    ("module", "calls"),
    ("module", "calls", 0, "target"),
    ("module", "calls", 0, "sent"),
    ("module", "calls", 0, "messages"),
    ("module", "calls", 0, "messages", 0),
    ("module", "calls", 0, "messages", 0, 0),
    ("module", "messages", 0, "ref"),
    ("module", "rests", 0),
    ("waits", 0),
    ("waits", 0, 1),
    ("known", "members"),
]


@pytest.mark.parametrize("path", PARTS)
@pytest.mark.parametrize("value", [None, "x", {"a": 1}])
def test_a_state_with_one_invalid_part_is_rejected(path: tuple[Any, ...], value: Any) -> None:
    state = copy.deepcopy(GOOD)
    section: Any = state
    for step in path[:-1]:
        section = section[step]
    if path[-1] == "target" and value is not None:
        pytest.skip("any text names a target")
    section[path[-1]] = value
    if path[-1] == "target":
        del section["target"]
    with pytest.raises(InvalidMessageError):
        StateSnapshot.from_body(state)


@pytest.mark.parametrize("version", [VERSION + 1, None, "1"])
def test_a_state_of_another_version_is_rejected(version: object) -> None:
    with pytest.raises(InvalidMessageError, match="format"):
        StateSnapshot.from_body(GOOD | {"version": version})


OUTCOME = Outcome(4, 1, b"s-1", Result.FULL, 0.25, False, 1.5, 1500, (0.5, 25.0))


@pytest.mark.parametrize(
    "message",
    [
        RelayedOutcomes((OUTCOME,)),
        ClientConnections((ClientConnection(b"\x00\xffGET", True), ClientConnection(b"", False))),
        TargetConnections((b"s-1", b"s-2")),
    ],
)
def test_a_message_is_decoded_as_it_was_encoded(message: RelayMessage) -> None:
    body = json.loads(json.dumps(message.to_body()))
    assert decode_relay_message(Frame(message.kind, body, [])) == message


@pytest.mark.parametrize("change", [None, {"result": 7}, {"target": 3}, {"report": 1}])
def test_an_invalid_outcome_raises_invalid_message_error(change: dict[str, Any] | None) -> None:
    (fields,) = RelayedOutcomes((OUTCOME,)).to_body()["each"]
    with pytest.raises(InvalidMessageError, match="outcomes"):
        RelayedOutcomes.from_body({"each": [{} if change is None else fields | change]})


@pytest.mark.parametrize("kind", [MessageKind.CLIENTS, MessageKind.CONNECTIONS, MessageKind.OUTCOMES])
@pytest.mark.parametrize("each", [3, [3], [None], [{}]])
def test_an_invalid_relay_message_raises_invalid_message_error(kind: MessageKind, each: object) -> None:
    with pytest.raises(InvalidMessageError):
        decode_relay_message(Frame(kind, {"each": each}, []))


def test_a_message_of_an_unknown_kind_is_decoded_as_none() -> None:
    assert decode_relay_message(Frame("later", {"each": 3}, [])) is None
