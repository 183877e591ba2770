"""The state of each forwarder's process and disk, as the checks need it."""

from __future__ import annotations

import math

Span = tuple[float, float]
"""Start and end, in seconds from the start of the run."""


class ForwarderStates:
    """For each forwarder: when it became ready, when its disk failed, and when its notices may be late."""

    def __init__(self) -> None:
        self._ready_since: dict[str, float] = {}
        self._excused_spans: dict[str, list[Span]] = {}
        self._disk_fault_spans: dict[str, list[Span]] = {}

    def on_ready(self, at: float, forwarder: str) -> None:
        """Record that a forwarder's process is ready to serve."""
        self._ready_since[forwarder] = at

    def ready_since(self, forwarder: str) -> float:
        """The time when the forwarder's last process became ready; infinity if none did."""
        return self._ready_since.get(forwarder, math.inf)

    def on_disk_state(self, at: float, forwarder: str, works: bool) -> None:
        """Record that a forwarder's disk begins to refuse writes, or works again."""
        if not works:
            self._disk_fault_spans.setdefault(forwarder, []).append((at, math.inf))
        elif forwarder in self._disk_fault_spans:
            spans = self._disk_fault_spans[forwarder]
            spans.append((spans.pop()[0], at))

    def may_be_unwritten(self, forwarder: str, at: float) -> bool:
        """Whether the disk refused writes at that time, so that the next process may lack its records."""
        return any(since <= at <= until for since, until in self._disk_fault_spans.get(forwarder, ()))

    def excuse(self, forwarder: str, spans: list[Span]) -> None:
        """Allow notices that are due in a span to come at its end.

        The spans are those of stops, of restarts, and without a receiver of notices.
        """
        self._excused_spans[forwarder] = spans

    def excused_until(self, forwarder: str, due: float) -> float:
        """The end of the excused spans that cover the time `due`; `due` itself if none does."""
        for since, until in sorted(self._excused_spans.get(forwarder, [])):  # spans may overlap
            due = until if since <= due <= until else due
        return due
