"""How long to wait before a first call, and after a failure before the next one."""

from __future__ import annotations

import random

FIRST, LONGEST = 0.15, 2.0  # seconds: of the first pause, and of any that we choose ourselves
TRIES = 8.0  # that must fit before what was not heard is due
LEAST, OVERDUE = 0.1, 0.5  # seconds: the least; the most once it is overdue, when haste saves nothing more
EACH, FEW = 0.2, 3  # seconds of the service that a call may take; callers that may well come all at once
LONGEST_ROUND = 8.0  # seconds in which a service can be expected to hear each of its callers once


class Pauses:
    """Doubled by each failure, drawn from its upper half so that forwarders fall out of step, and cut so that
    enough tries fit before the due time: a failed answer is no reason to learn too late.

    All that is measured by the ROUND, the time in which the service can hear each of its callers once. Forty
    that ask in one instant fill its queue for longer than a call may wait there; if those that failed come
    again within a second the queue never empties, and none is ever answered. With few callers it is nothing.
    """

    def __init__(self, seed: int, callers: int = 1) -> None:
        """`callers`: how many forwarders, with this one, ask the same service."""
        self._random = random.Random(f"directory {seed}")
        self.round = min(LONGEST_ROUND, EACH * max(0, callers - FEW))
        self._failures = 0

    def reset(self) -> None:
        """All is well."""
        self._failures = 0

    def first(self) -> float:
        """Seconds until the first call after a start or a move, for then all callers begin at once."""
        return self._random.uniform(0.0, self.round)

    def next(self, left: float, told: float = 0.0) -> float:
        """Seconds until the next call; `left` until the due time, `told` what the service asks for."""
        step = min(LONGEST + self.round, (FIRST + self.round / 2) * 2.0 ** min(self._failures, 10))
        self._failures += 1
        soon = max(left / TRIES if left > 0 else OVERDUE, self.round / 4)
        chosen = min(step, soon) * self._random.uniform(0.5, 1.0)
        # What the service asks for is kept, unless one try would not fit before the due time.
        asked = min(told * self._random.uniform(1.0, 1.3), max(left - 1.0, LEAST)) if told > 0 else 0.0
        return max(LEAST * self._random.uniform(1.0, 1.5), chosen, asked)
