"""Statistics of a demonstration: when each message was submitted, its outcome, and the result of the run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import TypedDict

TOLERANCE = 0.02
"""The fault is contained if the in-time share of the other partners drops by at most this much."""
DELIVERED, REFUSED = "delivered", "refused"


class DemoPhase(StrEnum):
    """The phases of a demonstration: before, during and after the fault of one partner."""

    BEFORE = "before"
    DURING = "during"
    AFTER = "after"


class PhaseSummary(TypedDict):
    """The messages to one partner in one phase, as in the JSON output; `median` is a latency in seconds."""

    sent: int
    service: float
    median: float
    late: int
    refused: dict[str, int]
    failed: int


@dataclass(slots=True)
class PhaseStatistics:
    """Counts and latencies of the messages to one partner in one phase."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    rejections: Counter[str] = field(default_factory=Counter)
    """Number of rejected messages, by reason."""
    failed: int = 0
    latencies_s: list[float] = field(default_factory=list)

    @property
    def rejected(self) -> int:
        """Number of rejected messages, for all reasons together."""
        return self.rejections.total()

    @property
    def in_time_share(self) -> float:
        """The share of messages that were delivered within the latency target; 1 if nothing was sent."""
        return self.in_time / self.sent if self.sent else 1.0

    @property
    def median_latency_s(self) -> float:
        """Median time from submission to delivery; 0 if nothing was delivered."""
        return sorted(self.latencies_s)[len(self.latencies_s) // 2] if self.latencies_s else 0.0

    def summary(self) -> PhaseSummary:
        """Return the rounded figures."""
        return {
            "sent": self.sent,
            "service": round(self.in_time_share, 4),
            "median": round(self.median_latency_s, 4),
            "late": self.late,
            "refused": dict(self.rejections),
            "failed": self.failed,
        }


@dataclass(frozen=True, slots=True)
class Summary:
    """The result of a demonstration; the field names are the keys of the JSON output.

    `others_before`, `others_during` and `broken_during` are shares of messages delivered in time.
    """

    broken: str
    others_before: float
    others_during: float
    broken_during: float
    unanswered: int
    answered_twice: int
    partners: dict[str, dict[str, PhaseSummary]]

    @property
    def contained(self) -> bool:
        """Whether the fault left the other partners' service intact and each message had exactly one outcome.

        The in-time share of the other partners may drop by up to `TOLERANCE`.
        """
        unaffected = self.others_during >= self.others_before - TOLERANCE
        return unaffected and not self.unanswered and not self.answered_twice

    def document(self) -> dict[str, object]:
        """Return the JSON output."""
        return asdict(self) | {"contained": self.contained}


@dataclass(frozen=True, slots=True)
class _OpenMessage:
    """A message without an outcome."""

    partner: str
    phase: DemoPhase
    sent_at: float


class DemoStatistics:
    """Counts messages by partner and by the phase in which they were submitted.

    `broken` is the partner that fails; `latency_target_s` is the time in which a message should be delivered.
    """

    def __init__(self, partners: Iterable[str], broken: str, latency_target_s: float) -> None:
        self.broken, self._latency_target_s = broken, latency_target_s
        self.partners: dict[str, dict[DemoPhase, PhaseStatistics]] = {name: {} for name in partners}
        self._open: dict[str, _OpenMessage] = {}
        self._ended: set[str] = set()
        self.answered_twice = 0

    @property
    def open(self) -> int:
        """Number of messages without an outcome."""
        return len(self._open)

    def record_submission(self, message: str, partner: str, phase: DemoPhase, at: float) -> None:
        """Record that a message is submitted at the time `at`, in seconds.

        All calls for submissions and outcomes must use the same clock.
        """
        self._open[message] = _OpenMessage(partner, phase, at)
        self.partners[partner].setdefault(phase, PhaseStatistics()).sent += 1

    def record_outcome(self, message: str, state: str, at: float, reason: str = "") -> None:
        """Record the outcome of a message; `reason` says why it was rejected."""
        if message not in self._open:
            self.answered_twice += message in self._ended
            return
        self._ended.add(message)
        sent = self._open.pop(message)
        statistics = self.partners[sent.partner][sent.phase]
        if state == DELIVERED:
            latency_s = at - sent.sent_at
            statistics.latencies_s.append(latency_s)
            if latency_s <= self._latency_target_s:
                statistics.in_time += 1
            else:
                statistics.late += 1
        elif state == REFUSED:
            statistics.rejections[reason] += 1
        else:
            statistics.failed += 1

    def in_time_share(self, phase: DemoPhase, others: bool) -> float:
        """Return the share of messages delivered in time, to the broken partner or to all others together.

        The share is 1 if nothing was sent.
        """
        chosen = [
            phases[phase]
            for name, phases in self.partners.items()
            if (name != self.broken) == others and phase in phases
        ]
        sent = sum(statistics.sent for statistics in chosen)
        return sum(statistics.in_time for statistics in chosen) / sent if sent else 1.0

    def summary(self) -> Summary:
        """Return the result of all messages so far."""
        return Summary(
            broken=self.broken,
            others_before=round(self.in_time_share(DemoPhase.BEFORE, others=True), 4),
            others_during=round(self.in_time_share(DemoPhase.DURING, others=True), 4),
            broken_during=round(self.in_time_share(DemoPhase.DURING, others=False), 4),
            unanswered=self.open,
            answered_twice=self.answered_twice,
            partners={
                name: {phase.value: statistics.summary() for phase, statistics in phases.items()}
                for name, phases in self.partners.items()
            },
        )
