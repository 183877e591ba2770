"""Counters of events since the process started.

The `sums` line in the log and the operators' metrics are two views of the same counters. With many forwarders
the log of one process is not enough to explain why a message was lost, so the `sums` lines of all forwarders
can be added up (`python -m benchmarks.fleet_logs FOLDER`). Counting costs one dictionary look-up, and no line
is written for an interval in which nothing was counted.
"""

from __future__ import annotations

import json
from collections import Counter

LINE_INTERVAL_S = 1.0
MAX_LINE_TARGETS = 200
"""Maximum number of targets in one line. If there are more, those with the lowest counts are omitted."""
MAX_LINE_PERIOD_S = 999.0
"""A line states a longer interval as this many seconds."""


class Counters:
    """Counts by name and message class, and by target and name."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()
        self._reported: Counter[tuple[str, str]] = Counter()  # the counts at the time of the last line
        self._targets: dict[bytes, Counter[str]] = {}  # counts since the last line
        self._reported_at = 0.0

    def count(self, name: str, category: str = "", by: int = 1) -> None:
        """Add `by` to the count of an event for the forwarder, or for one message class."""
        self._counts[name, category] += by

    def count_target(self, target: bytes, name: str, by: int = 1) -> None:
        """Add `by` to the count of an event for one target."""
        self._targets.setdefault(target, Counter())[name] += by

    def total(self, name: str, category: str = "") -> int:
        """Return one count since the process started."""
        return self._counts[name, category]

    def totals(self) -> dict[str, int]:
        """Return all counts since the process started, added up over the message classes."""
        totals = Counter[str]()
        for (name, _), number in self._counts.items():
            totals[name] += number
        return dict(totals)

    def categories(self) -> set[str]:
        """Return the message classes that have counts."""
        return {category for _, category in self._counts if category}

    def interval_line(self, now: float) -> str | None:
        """Return the counts since the last line as JSON.

        Returns None if less than a second has passed since the last line, or if nothing was counted. `now` is
        in seconds on the event loop's clock. The keys are `for` (the interval in seconds), `all` (counts by
        name) and `targets` (counts by target and name).
        """
        if now - self._reported_at < LINE_INTERVAL_S or (
            self._counts == self._reported and not self._targets
        ):
            return None
        sums = Counter[str]()
        for (name, category), number in self._counts.items():
            if number > (before := self._reported[name, category]):
                sums[name] += number - before
        targets = sorted(self._targets.items(), key=lambda item: -item[1].total())[:MAX_LINE_TARGETS]
        line = json.dumps(
            {"for": round(min(now - self._reported_at, MAX_LINE_PERIOD_S), 3), "all": sums}
            | {"targets": {target.decode("utf-8", "replace"): counts for target, counts in targets}},
            separators=(",", ":"),
        )
        self._reported, self._targets, self._reported_at = self._counts.copy(), {}, now
        return line
