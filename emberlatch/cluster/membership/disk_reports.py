"""What other machines say of their disks. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from emberlatch.cluster.message_store import DiskState


@dataclass(frozen=True, slots=True)
class _Report:
    state: DiskState
    since: float


class DiskReports:
    """The last word of each machine. Times are the loop's."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def report(self, node: str, told: object, now: float) -> None:
        """A machine tells its disk's state; whoever tells none has nothing to complain of."""
        state = DiskState.OK if told is None else DiskState(told)
        known = self._reports.get(node)
        if known is None or known.state is not state:
            self._reports[node] = _Report(state, now)

    def forget(self, node: str) -> None:
        """A machine is heard no more."""
        self._reports.pop(node, None)

    def writes(self, node: str) -> bool:
        """Whether a machine's disk takes what is written, as far as is known."""
        known = self._reports.get(node)
        return known is None or known.state is DiskState.OK

    def unreadable_s(self, node: str, now: float) -> float:
        """For how many seconds a machine has been unable to read its disk."""
        known = self._reports.get(node)
        return now - known.since if known is not None and known.state is DiskState.UNREADABLE else 0.0
