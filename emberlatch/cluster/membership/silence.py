"""For how long a majority of the voters has not heard a machine. Pure: time comes in with each call.

One process that hears nothing of another may be the one that is cut off. Each voter tells with its heartbeats
whom it does not hear, and a machine counts as silent only by the word of a majority of them: a machine that
still reaches a majority, and may act for that reason, is never silent.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

REPORT_VALID_S = 2.0  # seconds after which what a voter told counts no more


@dataclass(frozen=True, slots=True)
class _Report:
    at: float
    silent: Mapping[str, float]


class SilenceReports:
    """What voters, this process among them, say of machines that they do not hear."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def report(self, voter: str, silent: Mapping[str, float], now: float) -> None:
        """A process tells whom it has not heard, and for how many seconds."""
        self._reports[voter] = _Report(now, dict(silent))

    def forget(self, voter: str) -> None:
        """Its word counts no more."""
        self._reports.pop(voter, None)

    def silent_s(self, node: str, voters: Collection[str], now: float) -> float:
        """The seconds for which more than half of the voters have not heard it; 0 if enough of them hear it.

        A voter that tells nothing counts as one that hears it, but for the machine itself.
        """
        told = [self._told(voter, node, now) for voter in voters if voter != node]
        longest_first = sorted(told, reverse=True)
        majority = len(voters) // 2 + 1
        return longest_first[majority - 1] if len(longest_first) >= majority else 0.0

    def _told(self, voter: str, node: str, now: float) -> float:
        report = self._reports.get(voter)
        if report is None or now - report.at > REPORT_VALID_S:
            return 0.0
        return report.silent.get(node, 0.0)
