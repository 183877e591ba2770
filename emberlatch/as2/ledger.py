"""What is known of each message that went out over AS2, until nothing more can come of it: pure.

A message has at most one end, which stands. Receipts may come before it, after it, twice, or never, and may
contradict it or each other: that is a dispute, for people to settle with the partner, and never a second
end.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Any

from emberlatch.as2.judge import Said, Verdict

MOST_DISPUTES, MOST_RECEIPTS = 8, 4  # that are kept of one message
AGREED = (
    600.0  # seconds for which one is remembered that has ended as its receipt says: the same may come again
)

ENDED_YET_PROCESSED = "ended {}, yet the partner processed it"
DELIVERED_YET_REFUSED = "ended delivered, yet the partner refused it"
CONTRADICTION = "receipts contradict each other: {}, then {}"


@dataclass(slots=True)
class Record:
    """One message; times are Unix time in seconds."""

    original: str  # its Message-ID, without brackets
    ref: int
    message: str  # the id that its client gave it
    partner: str
    mic: str  # in hexadecimal digits
    digest: str
    sent: float  # when it first went out
    attempts: list[tuple[int, str]] = field(default_factory=list)  # number and endpoint of each
    said: str = ""  # the first thing that was proved, see `Said`
    heard: float = 0.0  # when
    end: str = ""  # delivered, refused, failed
    ended: float = 0.0
    disputes: list[str] = field(default_factory=list)
    receipts: list[str] = field(default_factory=list)  # evidence, by name

    def document(self) -> dict[str, Any]:
        """As plain values."""
        values = {name: getattr(self, name) for name in _FIELDS}
        return values | {name: list(values[name]) for name in ("attempts", "disputes", "receipts")}


_FIELDS = tuple(
    each.name for each in fields(Record)
)  # `asdict` would copy deeply, and take as long as all else


def read(document: Mapping[str, Any]) -> Record:
    """From plain values; raises TypeError, ValueError or KeyError."""
    record = Record(**document)
    record.attempts = [(int(number), str(target)) for number, target in record.attempts]
    return record


def attempted(record: Record, attempt: int, target: str) -> None:
    """It is about to go out once more."""
    record.attempts.append((attempt, target))


def told(record: Record, verdict: Verdict, at: float, evidence: str = "") -> bool:
    """A receipt or an answer has come; whether that says anything new."""
    before = (record.said, len(record.disputes))
    if verdict.dispute:
        _dispute(record, verdict.dispute)
    if verdict.said is not Said.UNKNOWN:
        if not record.said:
            record.said, record.heard = verdict.said, at
        elif record.said != verdict.said:
            # Refused at first and processed at a repeat is no contradiction: each attempt is told of. The
            # other way round is one, and so is either with a single attempt.
            if verdict.said is Said.REFUSED or len(record.attempts) < 2:
                _dispute(record, CONTRADICTION.format(record.said, verdict.said))
            else:
                record.said, record.heard = verdict.said, at
        _against_the_end(record)
    new = (record.said, len(record.disputes)) != before
    if evidence and (new or verdict.dispute) and len(record.receipts) < MOST_RECEIPTS:
        record.receipts.append(evidence)
    return new


def ended(record: Record, end: str, at: float) -> None:
    """The message has its end."""
    if not record.end:
        record.end, record.ended = end, at
        _against_the_end(record)


def over(record: Record, now: float, remember: float) -> bool:
    """Whether nothing more is to be expected: it ended some time ago as its receipt says, or long ago."""
    if not record.end or record.disputes:
        return False
    return now - record.ended > (min(AGREED, remember) if agreed(record) else remember)


def agreed(record: Record) -> bool:
    """Whether the end is what a receipt says."""
    return bool(record.said and record.end) and (record.end == "delivered") == (record.said == Said.PROCESSED)


def _against_the_end(record: Record) -> None:
    if record.end in ("failed", "refused") and record.said == Said.PROCESSED:
        _dispute(record, ENDED_YET_PROCESSED.format(record.end))
    elif record.end == "delivered" and record.said == Said.REFUSED:
        _dispute(record, DELIVERED_YET_REFUSED)


def _dispute(record: Record, text: str) -> None:
    if text not in record.disputes and len(record.disputes) < MOST_DISPUTES:
        record.disputes.append(text)
