"""The record of each message sent over AS2, from its first attempt until no receipt is expected.

The module does no I/O.

A message has at most one final state, which never changes. Receipts may arrive before or after the final
state, twice, or never. A receipt that contradicts the final state or another receipt causes a dispute, which
operators resolve with the partner; it never changes the final state.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from emberlatch.as2.evaluation import ProcessingStatus, Verdict

MAX_DISPUTES = 8  # number of disputes recorded for one message
MAX_RECEIPTS = 4  # number of receipts recorded for one message
CONFIRMED_RETENTION_S = 600.0
"""How many seconds the record of a confirmed final state is kept: a duplicate receipt may still arrive."""

FAILED_YET_PROCESSED = "ended {}, yet the partner processed it"
DELIVERED_YET_REJECTED = "ended delivered, yet the partner refused it"
CONTRADICTION = "receipts contradict each other: {}, then {}"


@dataclass(slots=True)
class Record:
    """The record of one message; times are Unix time in seconds."""

    message_id: str  # Message-ID without angle brackets
    ref: int
    message: str  # the id assigned by the client
    partner: str
    mic: str  # hexadecimal digits
    digest: str
    first_sent_at: float
    attempts: list[tuple[int, str]] = field(default_factory=list)  # number and endpoint of each attempt
    status: str = ""  # what receipts and answers prove, a `ProcessingStatus`; empty if nothing is proved
    status_at: float = 0.0
    final_state: str = ""  # `delivered`, `refused` or `failed`; empty if there is none yet
    ended_at: float = 0.0
    disputes: list[str] = field(default_factory=list)
    receipts: list[str] = field(default_factory=list)  # names of the stored receipts

    def document(self) -> dict[str, object]:
        """Encode the record as it is stored."""
        # `dataclasses.asdict` is not used: its deep copy would double the duration of a write.
        values = {key: getattr(self, name) for name, key in STORED_KEYS.items()}
        return values | {key: list(values[key]) for key in ("attempts", "disputes", "receipts")}


STORED_KEYS = {
    "message_id": "original",
    "ref": "ref",
    "message": "message",
    "partner": "partner",
    "mic": "mic",
    "digest": "digest",
    "first_sent_at": "sent",
    "attempts": "attempts",
    "status": "said",
    "status_at": "heard",
    "final_state": "end",
    "ended_at": "ended",
    "disputes": "disputes",
    "receipts": "receipts",
}
"""The key on disk of each field of a `Record`, in the order in which they are written."""
_FIELD_OF_KEY = {key: name for name, key in STORED_KEYS.items()}


def read(document: Mapping[str, object]) -> Record:
    """Decode a stored record; raises TypeError, ValueError or KeyError."""
    values: dict[str, Any] = {_FIELD_OF_KEY[key]: value for key, value in document.items()}
    record = Record(**values)
    record.attempts = [(int(number), str(target)) for number, target in record.attempts]
    return record


def is_unresolved(document: Mapping[str, object]) -> bool:
    """Whether a stored record has a dispute, or nothing is proved of its message yet."""
    return bool(document.get(STORED_KEYS["disputes"]) or not document.get(STORED_KEYS["status"]))


def add_attempt(record: Record, attempt: int, target: str) -> None:
    """Record that the message is about to be sent to an endpoint."""
    record.attempts.append((attempt, target))


def add_verdict(record: Record, verdict: Verdict, at: float, receipt_name: str = "") -> bool:
    """Record what a receipt or an answer proves; return whether that changes the record."""
    before = (record.status, len(record.disputes))
    if verdict.dispute:
        _add_dispute(record, verdict.dispute)
    if verdict.status is not ProcessingStatus.UNKNOWN:
        _update_status(record, verdict.status, at)
        _compare_with_final_state(record)
    is_new = (record.status, len(record.disputes)) != before
    if receipt_name and (is_new or verdict.dispute) and len(record.receipts) < MAX_RECEIPTS:
        record.receipts.append(receipt_name)
    return is_new


def _update_status(record: Record, status: ProcessingStatus, at: float) -> None:
    if not record.status:
        record.status, record.status_at = status, at
    elif record.status != status:
        # It is no contradiction if a later attempt is processed after an earlier one was rejected. It is a
        # contradiction if a rejection follows `processed`, or if a single attempt gets two statuses.
        if status is ProcessingStatus.REJECTED or len(record.attempts) < 2:
            _add_dispute(record, CONTRADICTION.format(record.status, status))
        else:
            record.status, record.status_at = status, at


def set_final_state(record: Record, state: str, at: float) -> None:
    """Record the message's final state; a second one is ignored."""
    if not record.final_state:
        record.final_state, record.ended_at = state, at
        _compare_with_final_state(record)


def is_expired(record: Record, now: float, retention_s: float) -> bool:
    """Whether the record may be deleted.

    A confirmed final state is kept for CONFIRMED_RETENTION_S, any other for `retention_s`; disputes never
    expire.
    """
    if not record.final_state or record.disputes:
        return False
    kept_for = min(CONFIRMED_RETENTION_S, retention_s) if is_confirmed(record) else retention_s
    return now - record.ended_at > kept_for


def is_confirmed(record: Record) -> bool:
    """Whether a receipt confirms the final state."""
    if not (record.status and record.final_state):
        return False
    return (record.final_state == "delivered") == (record.status == ProcessingStatus.PROCESSED)


def _compare_with_final_state(record: Record) -> None:
    if record.final_state in ("failed", "refused") and record.status == ProcessingStatus.PROCESSED:
        _add_dispute(record, FAILED_YET_PROCESSED.format(record.final_state))
    elif record.final_state == "delivered" and record.status == ProcessingStatus.REJECTED:
        _add_dispute(record, DELIVERED_YET_REJECTED)


def _add_dispute(record: Record, text: str) -> None:
    if text not in record.disputes and len(record.disputes) < MAX_DISPUTES:
        record.disputes.append(text)
