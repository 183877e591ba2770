"""Checks that operators' calls are linearizable for a register of the highest revision. Performs no I/O.

Status 200 confirms a change, and most statuses 4xx refuse it for good. After any other status, or without an
answer, the change may have taken effect, or may do so later. A read counts only if its status was 200.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

NO_REVISION = -1  # the revision read before any change has taken effect, with an empty digest
OK = 200
UNCLEAR_STATUSES = frozenset({408, 410, 429})  # 4xx after which the change may be in force, or may be resent


class CallKind(Enum):
    """The kind of an operator's call."""

    REPLACE = "replace"
    RETRIEVE = "retrieve"


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """One call and its answer; `status` and `end` are None if there was no answer.

    `revision` and `digest` are those of the text that a change sent, or that a read returned.
    """

    kind: CallKind
    machine: str
    start: float
    end: float | None
    status: int | None
    revision: int = NO_REVISION
    digest: str = ""

    @property
    def confirmed(self) -> bool:
        """Whether the answer confirms the change, or returns what was read."""
        return self.status == OK

    @property
    def refused(self) -> bool:
        """Whether the answer says that the change never takes effect."""
        if self.kind is not CallKind.REPLACE or self.status is None:
            return False
        return 400 <= self.status < 500 and self.status not in UNCLEAR_STATUSES


class Rule(Enum):
    """The rules that a history can violate."""

    TWO_TEXTS = "two texts were confirmed under one revision"
    STALE_READ = "a read is older than what was confirmed before it began"
    BACKWARD_READ = "a read is older than one that ended before it began"
    REFUSED_READ = "a text that was refused for good was read"
    NEVER_SENT = "a text was read that nobody had sent by then"
    OVERTAKEN_READ = "a text was read that was first sent when a higher revision stood already"
    CONFIRMED_AND_REJECTED = "one text was confirmed and refused for good"
    LOSER_CONFIRMED = "a text was confirmed under a revision under which another was read"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule, and the calls that show it."""

    rule: Rule
    calls: tuple[OperatorCall, ...]


@dataclass(slots=True)
class _HighestEnded:
    """For any moment, the call with the highest revision of all calls that had ended by then."""

    ends: list[float] = field(default_factory=list)
    highest: list[OperatorCall] = field(default_factory=list)

    @staticmethod
    def of(calls: Iterable[OperatorCall]) -> _HighestEnded:
        ended = _HighestEnded()
        for end, call in sorted(_with_end(calls), key=lambda entry: entry[0]):
            previous = ended.highest[-1] if ended.highest else call
            ended.ends.append(end)
            ended.highest.append(call if call.revision > previous.revision else previous)
        return ended

    def before(self, moment: float) -> OperatorCall | None:
        """The call with the highest revision that ended before `moment`; None if none had."""
        count = bisect_left(self.ends, moment)
        return self.highest[count - 1] if count else None


def _with_end(calls: Iterable[OperatorCall]) -> Iterator[tuple[float, OperatorCall]]:
    return ((call.end, call) for call in calls if call.end is not None)


class OperatorHistory:
    """All calls of all operators, in any order."""

    def __init__(self, calls: Iterable[OperatorCall] = ()) -> None:
        self.calls = list(calls)

    def add(self, call: OperatorCall) -> None:
        """Add a call once its answer has come or its time limit is over."""
        self.calls.append(call)

    def violations(self) -> tuple[Violation, ...]:
        """All violations; none if the confirmed calls are linearizable.

        For a register whose value only grows, these rules together are equivalent to linearizability. To see
        this, let each revision take effect as late as the confirmed calls allow. Then the value of each read
        is in force at some moment between the start and the end of the read.
        """
        changes = [call for call in self.calls if call.kind is CallKind.REPLACE]
        confirmed = [call for call in changes if call.confirmed]
        reads = [call for call in self.calls if call.kind is CallKind.RETRIEVE and call.confirmed]
        return (
            *_two_texts(confirmed),
            *_losers_confirmed(confirmed, reads),
            *_confirmed_and_rejected(changes),
            *_outdated_reads(confirmed, reads),
            *_unjustified_reads(changes, confirmed, reads),
        )


def _first_by_revision(calls: Iterable[OperatorCall]) -> dict[int, OperatorCall]:
    """The first call of each revision."""
    first: dict[int, OperatorCall] = {}
    for call in calls:
        first.setdefault(call.revision, call)
    return first


def _two_texts(confirmed: list[OperatorCall]) -> Iterator[Violation]:
    first = _first_by_revision(confirmed)
    for call in confirmed:
        if call.digest != first[call.revision].digest:
            yield Violation(Rule.TWO_TEXTS, (first[call.revision], call))


def _losers_confirmed(confirmed: list[OperatorCall], reads: list[OperatorCall]) -> Iterator[Violation]:
    first_reads = _first_by_revision(reads)
    for read in reads:
        if read.digest != first_reads[read.revision].digest:
            yield Violation(Rule.TWO_TEXTS, (first_reads[read.revision], read))
    for call in confirmed:
        first_read = first_reads.get(call.revision)
        if first_read is not None and first_read.digest != call.digest:
            yield Violation(Rule.LOSER_CONFIRMED, (first_read, call))


def _confirmed_and_rejected(changes: list[OperatorCall]) -> Iterator[Violation]:
    confirmed_texts = {(call.revision, call.digest): call for call in changes if call.confirmed}
    for call in changes:
        confirmed = confirmed_texts.get((call.revision, call.digest))
        if call.refused and confirmed is not None:
            yield Violation(Rule.CONFIRMED_AND_REJECTED, (confirmed, call))


def _outdated_reads(confirmed: list[OperatorCall], reads: list[OperatorCall]) -> Iterator[Violation]:
    for rule, ended in (
        (Rule.STALE_READ, _HighestEnded.of(confirmed)),
        (Rule.BACKWARD_READ, _HighestEnded.of(reads)),
    ):
        for read in reads:
            latest = ended.before(read.start)
            if latest is not None and latest.revision > read.revision:
                yield Violation(rule, (latest, read))


def _unjustified_reads(
    changes: list[OperatorCall], confirmed: list[OperatorCall], reads: list[OperatorCall]
) -> Iterator[Violation]:
    refused = {(call.revision, call.digest): call for call in changes if call.refused}
    first_sent: dict[tuple[int, str], OperatorCall] = {}
    for call in sorted(changes, key=lambda change: change.start):
        first_sent.setdefault((call.revision, call.digest), call)
    ended = _HighestEnded.of([*confirmed, *reads])
    for read in reads:
        if (read.revision, read.digest) == (NO_REVISION, ""):
            continue
        text = read.revision, read.digest
        if text in refused:
            yield Violation(Rule.REFUSED_READ, (refused[text], read))
        sent = first_sent.get(text)
        if sent is None or (read.end is not None and sent.start > read.end):
            yield Violation(Rule.NEVER_SENT, (read,))
            continue
        higher = ended.before(sent.start)
        if higher is not None and higher.revision > read.revision:
            yield Violation(Rule.OVERTAKEN_READ, (higher, sent, read))
