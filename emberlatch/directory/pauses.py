"""How long to wait after a failure before the next call."""

from __future__ import annotations

import random

FIRST, LONGEST = 0.15, 2.0  # seconds: of the first pause, and of any that we choose ourselves
TRIES = 8.0  # that must fit before what was not heard is due
LEAST, OVERDUE = 0.1, 0.5  # seconds: the least; the most once it is overdue, when haste saves nothing more


class Pauses:
    """Doubled by each failure, drawn from its upper half so that forwarders fall out of step, and cut so that
    enough tries fit before the due time: a failed answer is no reason to learn too late."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"directory {seed}")
        self._failures = 0

    def reset(self) -> None:
        """All is well."""
        self._failures = 0

    def next(self, left: float, told: float = 0.0) -> float:
        """Seconds until the next call; `left` until the due time, `told` what the service asks for."""
        step = min(LONGEST, FIRST * 2.0 ** min(self._failures, 10))
        self._failures += 1
        chosen = min(step, left / TRIES if left > 0 else OVERDUE) * self._random.uniform(0.5, 1.0)
        # What the service asks for is kept, unless one try would not fit before the due time.
        asked = min(told * self._random.uniform(1.0, 1.3), max(left - 1.0, LEAST)) if told > 0 else 0.0
        return max(LEAST * self._random.uniform(1.0, 1.5), chosen, asked)
