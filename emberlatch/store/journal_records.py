"""The payloads of the journal's records: a line of JSON, followed by the message's body if there is one.

| record | keys |
| --- | --- |
| message accepted, or copied by a compaction | all of `_ENTRY_KEYS`; `terms` is a number |
| message state changed | `ref`, `attempts`, `doubts`, `notice` |
| message finished | `ref`, `over` |
| clock | `clock`: boot id of the machine, and offset in seconds |
| terms | `terms`: number of the terms, `is`: their text |

The keys must not change when a field is renamed, since journals of earlier versions must be readable.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from emberlatch.store.entries import Entry, UnknownOutcome
from emberlatch.store.errors import RecordDecodeError
from emberlatch.store.records import encode_record

JsonObject = dict[str, Any]
"""A decoded JSON object that is not validated."""

_UPDATE_KEYS = {"ref", "attempts", "doubts", "notice"}
_FIXED_KEYS = {"id", "key", "category", "tenant", "destination", "deadline"}
_ENTRY_KEYS = _UPDATE_KEYS | _FIXED_KEYS | {"terms"}
_OUTCOME_KEYS = {"attempt", "target", "zone", "sent"}


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """The full state of a message. `terms` is the number of its terms; `entry.terms` is not set yet."""

    entry: Entry
    terms: int | None


@dataclass(frozen=True, slots=True)
class UpdateRecord:
    """The current values of the fields of a message that can change."""

    ref: int
    attempts: int
    unknown_outcomes: list[UnknownOutcome]
    notice: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class RemovalRecord:
    """A message is finished and removed from the journal."""

    ref: int


@dataclass(frozen=True, slots=True)
class ClockRecord:
    """The seconds by which the journal's clock is ahead of the event loop's clock, in one boot."""

    boot: str
    offset: float


@dataclass(frozen=True, slots=True)
class TermsRecord:
    """The text of terms and the number assigned to it; entry records contain only the number."""

    number: int
    text: str


JournalRecord = EntryRecord | UpdateRecord | RemovalRecord | ClockRecord | TermsRecord


def encode_entry(entry: Entry, terms: int | None) -> bytes:
    """Return the record of an entry's full state."""
    state = _changing_fields(entry) | {
        "id": entry.id,
        "key": entry.key,
        "category": entry.category,
        "tenant": entry.tenant,
        "destination": entry.destination,
        "deadline": entry.deadline,
    }
    if terms is not None:
        state["terms"] = terms
    return _encode(state, entry.body)


def encode_update(entry: Entry) -> bytes:
    """Return the record of the fields of an entry that can change."""
    return _encode(_changing_fields(entry))


def encode_removal(ref: int) -> bytes:
    """Return the record stating that a message is finished."""
    return _encode({"ref": ref, "over": True})


def encode_clock(boot: str, offset: float) -> bytes:
    """Return the record of the clock's offset in seconds."""
    return _encode({"clock": [boot, offset]})


def encode_terms(number: int, text: str) -> bytes:
    """Return the record of a number and the text of its terms."""
    return _encode({"terms": number, "is": text})


def decode_payload(payload: bytes) -> JournalRecord:
    """Return the record in a payload. Raises RecordDecodeError if the payload is not a valid record."""
    line, _, body = payload.partition(b"\n")
    try:
        return _decode(json.loads(line), body)
    except (KeyError, TypeError, ValueError) as error:
        raise RecordDecodeError(repr(error)) from error


def _decode(state: JsonObject, body: bytes) -> JournalRecord:
    match state:
        case {"clock": [boot, offset, *_]}:
            return ClockRecord(str(boot), float(offset))
        case {"is": text}:
            return TermsRecord(int(state["terms"]), str(text))
    ref = int(state["ref"])
    if state.get("over"):
        return RemovalRecord(ref)
    outcomes = [_decode_outcome(each) for each in state["doubts"]]
    if "id" not in state:
        return UpdateRecord(ref, state["attempts"], outcomes, state["notice"])
    if unknown := state.keys() - _ENTRY_KEYS:
        raise ValueError(f"entry of message {ref} has unknown keys {sorted(unknown)}")
    entry = Entry(
        ref=ref,
        id=state["id"],
        key=state["key"],
        category=state["category"],
        tenant=state["tenant"],
        destination=state["destination"],
        deadline=state["deadline"],
        body=body,
        attempts=state.get("attempts", 0),
        unknown_outcomes=outcomes,
        notice=state.get("notice"),
    )
    return EntryRecord(entry, state.get("terms"))


def _decode_outcome(state: JsonObject) -> UnknownOutcome:
    if state.keys() != _OUTCOME_KEYS:
        raise ValueError(f"attempt has the keys {sorted(state)}, expected {sorted(_OUTCOME_KEYS)}")
    return UnknownOutcome(
        attempt=state["attempt"], target=state["target"], zone=state["zone"], sent=state["sent"]
    )


def _changing_fields(entry: Entry) -> JsonObject:
    return {
        "ref": entry.ref,
        "attempts": entry.attempts,
        "doubts": [
            {"attempt": outcome.attempt, "target": outcome.target, "zone": outcome.zone, "sent": outcome.sent}
            for outcome in entry.unknown_outcomes
        ],
        "notice": entry.notice,
    }


def _encode(state: JsonObject, body: bytes = b"") -> bytes:
    return encode_record(json.dumps(state, separators=(",", ":")).encode() + b"\n" + body)
