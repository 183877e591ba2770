"""Sums of what passed in the last second or so, for one line of the log.

With many forwarders no single log tells why something was lost; lines of sums can be added up over all of
them (`python -m benchmarks.fleet_logs FOLDER`). Counting costs a dictionary look-up, and nothing is written
while nothing passes.
"""

from __future__ import annotations

import json
from collections import Counter

EVERY = 1.0  # seconds
MOST_TARGETS = 200  # told in one line; what has the fewest counts is left out beyond that


class Tally:
    """Counts by name, and by target and name."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._targets: dict[bytes, Counter[str]] = {}
        self._since = 0.0

    def count(self, name: str, by: int = 1) -> None:
        """Count something that concerns the whole forwarder."""
        self._counts[name] += by

    def at(self, target: bytes, name: str, by: int = 1) -> None:
        """Count something that befell a target."""
        self._targets.setdefault(target, Counter())[name] += by

    def line(self, now: float) -> str | None:
        """The sums since the last line, as JSON, once a second has passed in which something was counted."""
        if now - self._since < EVERY or not (self._counts or self._targets):
            return None
        told = sorted(self._targets.items(), key=lambda item: -item[1].total())[:MOST_TARGETS]
        text = json.dumps(
            {"for": round(min(now - self._since, 999.0), 3), "all": self._counts}
            | {"targets": {target.decode("utf-8", "replace"): counts for target, counts in told}},
            separators=(",", ":"),
        )
        self._counts, self._targets, self._since = Counter(), {}, now
        return text
