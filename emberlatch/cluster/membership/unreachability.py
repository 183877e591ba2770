"""For how long a majority of the voters has not reached a machine. Pure: each call receives the current time.

A process that can't reach another one may itself be partitioned. Therefore each voter reports in its
heartbeats which machines it can't reach, and a machine counts as unreachable only if a majority reports it. A
machine that is in contact with a majority, and may therefore act, never counts as unreachable.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from emberlatch.cluster.consensus.state import Voter, total_weight

REPORT_VALID_S = 2.0  # seconds for which the report of a voter is valid


@dataclass(frozen=True, slots=True)
class _Report:
    received_at: float  # loop time
    unreachable_s: Mapping[str, float]


class UnreachabilityReports:
    """The latest report of each voter, this process included. All times are loop times."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def report(self, voter: str, unreachable_s: Mapping[str, float], now: float) -> None:
        """Record which machines a process can't reach, each with the seconds since the last contact."""
        self._reports[voter] = _Report(now, dict(unreachable_s))

    def forget(self, voter: str) -> None:
        """Drop the report of a process."""
        self._reports.pop(voter, None)

    def unreachable_s(self, node: str, voters: Collection[Voter], now: float) -> float:
        """For how many seconds a majority of the voters has not reached a machine; 0.0 if it has.

        A voter without a valid report counts as reaching the machine. The machine's own report is ignored.
        """
        others = [voter for voter in voters if voter.node != node]
        reported = [(self._reported_s(voter.node, node, now), voter.weight) for voter in others]
        weight = 0
        for seconds, voter_weight in sorted(reported, reverse=True):
            weight += voter_weight
            if 2 * weight > total_weight(voters):
                return seconds
        return 0.0

    def _reported_s(self, voter: str, node: str, now: float) -> float:
        report = self._reports.get(voter)
        if report is None or now - report.received_at > REPORT_VALID_S:
            return 0.0
        return report.unreachable_s.get(node, 0.0)
