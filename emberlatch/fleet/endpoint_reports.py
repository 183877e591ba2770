"""Keeps the newest report on each endpoint from the endpoint lists of all members. This module does no I/O.

Each member has its own list, and the lists change at different times. If an endpoint is draining or removed
in one list, all members are informed. A later report that the endpoint is ready cancels only the earlier
report: an endpoint that is draining in a member's own list stays draining there.
"""

from __future__ import annotations

from collections.abc import Iterable

from emberlatch.core.interface import Phase
from emberlatch.fleet.frames import EndpointReport

MAX_ENDPOINTS = 1000  # endpoints whose report is kept; the oldest report is dropped first
ORDER_TOLERANCE_S = 0.5  # two reports closer together have no known order; the more severe is kept
SEVERITY = {Phase.READY: 0, Phase.DRAINING: 1, Phase.REMOVED: 2}


class EndpointReports:
    """The newest report of each endpoint. Times are in seconds on the caller's clock."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, Phase]] = {}  # by endpoint: start of the phase, phase

    def record(self, target: str, phase: Phase, since: float) -> bool:
        """Record an endpoint's phase and when it began; return whether the known phase changed."""
        known = self._reports.get(target)
        if known is not None and known[1] == phase:
            self._reports[target] = max(since, known[0]), phase
            return False
        if known is not None and abs(since - known[0]) <= ORDER_TOLERANCE_S:
            if SEVERITY[phase] <= SEVERITY[known[1]]:
                return False
        elif known is not None and since < known[0]:
            return False
        self._reports.pop(target, None)
        self._reports[target] = since, phase
        while len(self._reports) > MAX_ENDPOINTS:
            del self._reports[min(self._reports, key=lambda name: self._reports[name][0])]
        return True

    def all(self, now: float) -> tuple[EndpointReport, ...]:
        """Return every report, for a newly linked member."""
        return self.of(now, self._reports)

    def of(self, now: float, targets: Iterable[str]) -> tuple[EndpointReport, ...]:
        """Return the reports on the endpoints `targets`; each must have a report."""
        reports = ((target, *self._reports[target]) for target in targets)
        return tuple(EndpointReport(target, phase, max(0.0, now - since)) for target, since, phase in reports)
