"""Attempts that were in flight in the predecessor when this process took over.

The predecessor relays their outcomes to this process.
"""

from __future__ import annotations

from collections.abc import Iterable

from emberlatch.core import interface as api
from emberlatch.engine.ports import AttemptKey


class RelayedAttempts:
    """The set of relayed attempts without an outcome."""

    def __init__(self) -> None:
        self._targets: dict[AttemptKey, api.Target] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def __contains__(self, attempt: AttemptKey) -> bool:
        return attempt in self._targets

    def start(self, attempts: Iterable[tuple[int, int, api.Target]]) -> None:
        """Add the relayed attempts: message reference, attempt number and target of each."""
        self._targets = {(ref, attempt): target for ref, attempt, target in attempts}

    def discard(self, outcome: api.Outcome) -> None:
        """Remove the attempt whose outcome has arrived."""
        self._targets.pop((outcome.ref, outcome.attempt), None)

    def as_reset(self) -> list[api.Outcome]:
        """Return an outcome with the result RESET for each attempt, for use when the relay has ended.

        RESET states that the attempt may have been executed.
        """
        return [
            api.Outcome(ref, attempt, target, api.Result.RESET, 0.0)
            for (ref, attempt), target in self._targets.items()
        ]
