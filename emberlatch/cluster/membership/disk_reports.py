"""The disk states that other machines report. Pure: each call receives the current time."""

from __future__ import annotations

from dataclasses import dataclass

from emberlatch.cluster.message_store import DiskState


@dataclass(frozen=True, slots=True)
class _Report:
    state: DiskState
    since: float  # loop time of the first report since the state last changed


class DiskReports:
    """The latest report of each machine, by node. All times are loop times."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def report(self, node: str, state: DiskState, now: float) -> None:
        """Record the disk state that a machine reports."""
        known = self._reports.get(node)
        if known is None or known.state is not state:
            self._reports[node] = _Report(state, now)

    def forget(self, node: str) -> None:
        """Drop the report of a machine whose link is down."""
        self._reports.pop(node, None)

    def is_writable(self, node: str) -> bool:
        """Whether a machine's disk accepts writes; True if the machine has not reported."""
        known = self._reports.get(node)
        return known is None or known.state is DiskState.OK

    def unreadable_s(self, node: str, now: float) -> float:
        """Seconds since a machine first reported that its disk can't be read; 0.0 if the disk can be read."""
        known = self._reports.get(node)
        return now - known.since if known is not None and known.state is DiskState.UNREADABLE else 0.0
