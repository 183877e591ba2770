"""Parses Retry-After headers, and stores the time until which no call may be sent to a target."""

from __future__ import annotations

import math
from collections.abc import Iterable

MAX_RETRY_AFTER_S = 3600.0
"""Upper limit of a Retry-After, which also replaces an infinite one."""

Scope = bytes | int
"""What a Retry-After applies to: a target, or all targets of a destination."""
ExportedScope = str | int
"""A scope as it is handed over to another process: a target's name is text."""


def parse_retry_after(text: str | None) -> float:
    """The value of a Retry-After header in seconds, at most MAX_RETRY_AFTER_S; 0 if absent or invalid."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return min(value, MAX_RETRY_AFTER_S) if value > 0 else 0.0


class RetryAfterTable:
    """Stores until when each scope is blocked, in the loop's time; a later end replaces an earlier one."""

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
        """All scopes for another process, with the end of their blocking."""
        return [
            (scope.decode() if isinstance(scope, bytes) else scope, until)
            for scope, until in self._blocked_until.items()
        ]

    def apply_exported(self, exported: Iterable[tuple[ExportedScope, float]]) -> None:
        """Block the scopes that another process exported."""
        for scope, until in exported:
            self.block(scope.encode() if isinstance(scope, str) else int(scope), float(until))
