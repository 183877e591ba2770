"""Keeps the books of a demonstration: what was sent when, how it ended, and what that says."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Any

TOLERANCE = 0.02  # by which the service of the others may differ for the break to count as contained


@dataclass(slots=True)
class Tally:
    """The messages to one partner in one part of the run."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refusals: Counter[str] = field(default_factory=Counter)  # why -> how often
    failed: int = 0
    latencies: list[float] = field(default_factory=list)

    @property
    def refused(self) -> int:
        """Turned away, for whatever reason."""
        return self.refusals.total()

    @property
    def service(self) -> float:
        """The share that was delivered within its aim."""
        return self.in_time / self.sent if self.sent else 1.0

    @property
    def median(self) -> float:
        """Of the seconds from handing in to delivery; 0 if there was none."""
        return sorted(self.latencies)[len(self.latencies) // 2] if self.latencies else 0.0


@dataclass(frozen=True, slots=True)
class Summary:
    """What a demonstration has shown."""

    broken: str
    others_before: float
    others_during: float
    broken_during: float
    unanswered: int
    answered_twice: int
    partners: dict[str, dict[str, Any]]

    @property
    def contained(self) -> bool:
        """Whether the others were served as before, and each message had one answer."""
        kept = self.others_during >= self.others_before - TOLERANCE
        return kept and not self.unanswered and not self.answered_twice

    def document(self) -> dict[str, Any]:
        """For scripts."""
        return asdict(self) | {"contained": self.contained}


class Account:
    """Books messages by partner and by part of the run (`before`, `during` and `after` the break)."""

    def __init__(self, partners: Iterable[str], broken: str, aim: float) -> None:
        self.broken, self._aim = broken, aim
        self.tallies: dict[str, dict[str, Tally]] = {name: {} for name in partners}
        self._open: dict[str, tuple[str, str, float]] = {}
        self._ended: set[str] = set()
        self.answered_twice = 0

    @property
    def open(self) -> int:
        """Messages without an answer."""
        return len(self._open)

    def sent(self, message: str, partner: str, part: str, at: float) -> None:
        """A message is handed in."""
        self._open[message] = partner, part, at
        self.tallies[partner].setdefault(part, Tally()).sent += 1

    def ended(self, message: str, state: str, at: float, why: str = "") -> None:
        """A message has its answer; a refusal says why."""
        if message not in self._open:
            self.answered_twice += message in self._ended
            return
        self._ended.add(message)
        partner, part, since = self._open.pop(message)
        tally = self.tallies[partner][part]
        if state == "delivered":
            tally.latencies.append(at - since)
            if at - since <= self._aim:
                tally.in_time += 1
            else:
                tally.late += 1
        elif state == "refused":
            tally.refusals[why] += 1
        else:
            tally.failed += 1

    def of(self, part: str, others: bool) -> float:
        """The service of the broken partner, or of all others together."""
        chosen = [t.get(part, Tally()) for n, t in self.tallies.items() if (n != self.broken) == others]
        sent = sum(tally.sent for tally in chosen)
        return sum(tally.in_time for tally in chosen) / sent if sent else 1.0

    def summary(self) -> Summary:
        """What came of it."""
        partners = {
            name: {
                part: {
                    "sent": tally.sent,
                    "service": round(tally.service, 4),
                    "median": round(tally.median, 4),
                    "late": tally.late,
                    "refused": dict(tally.refusals),
                    "failed": tally.failed,
                }
                for part, tally in parts.items()
            }
            for name, parts in self.tallies.items()
        }
        return Summary(
            self.broken,
            round(self.of("before", True), 4),
            round(self.of("during", True), 4),
            round(self.of("during", False), 4),
            self.open,
            self.answered_twice,
            partners,
        )
