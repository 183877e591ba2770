"""Parses Retry-After headers, and stores the time until which no call may be sent to a target."""

from __future__ import annotations

import math
from collections.abc import Iterable

MAX_RETRY_AFTER_S = 3600.0
"""Maximum value of a Retry-After; larger and infinite values are replaced by this one."""

Scope = bytes | int
"""What a Retry-After applies to: a target (its name), or all targets of a destination (its number)."""
ExportedScope = str | int
"""A scope in the form in which another process gets it: the name of a target is a `str`."""


def parse_retry_after(text: str | None) -> float:
    """Return a Retry-After header in seconds, at most MAX_RETRY_AFTER_S; 0 if it is absent or invalid."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return min(value, MAX_RETRY_AFTER_S) if value > 0 else 0.0


class RetryAfterTable:
    """Stores the event loop's time until which each scope is blocked; only a later time replaces it."""

    def __init__(self) -> None:
        self._blocked_until: dict[Scope, float] = {}

    def __len__(self) -> int:
        return len(self._blocked_until)

    def block(self, scope: Scope, until: float) -> None:
        """Block a scope, unless it is blocked for longer already."""
        self._blocked_until[scope] = max(until, self._blocked_until.get(scope, -math.inf))

    def is_blocked(self, scope: Scope, now: float) -> bool:
        """Whether no call may be sent to a scope."""
        return self._blocked_until.get(scope, now) > now

    def expire(self, now: float) -> None:
        """Remove scopes that are no longer blocked."""
        self._blocked_until = {scope: until for scope, until in self._blocked_until.items() if until > now}

    def clear(self) -> None:
        """Remove all scopes."""
        self._blocked_until.clear()

    def export(self) -> list[tuple[ExportedScope, float]]:
        """Return each scope and the end of its blocking, for another process."""
        return [
            (scope.decode() if isinstance(scope, bytes) else scope, until)
            for scope, until in self._blocked_until.items()
        ]

    def apply_exported(self, exported: Iterable[tuple[ExportedScope, float]]) -> None:
        """Block the scopes that another process exported."""
        for scope, until in exported:
            self.block(scope.encode() if isinstance(scope, str) else int(scope), float(until))
