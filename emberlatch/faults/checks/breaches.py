"""The names of the rules, and a log of their breaches."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """The rules; the values are the names that reports print (docs/design/faults.md)."""

    LOST = "lost"
    DUPLICATES = "duplicates"
    FINAL_RESULT = "ends"
    NOTICE_DELAY = "at once"
    DRAINS = "drains"
    RETRY_AFTER = "waits"
    RECOVERY_LOAD = "returns"
    LEASES = "leases"
    DISK = "disk"
    MEMORY = "memory"
    LIVENESS = "liveness"
    CRASH = "crash"
    STUCK = "stuck"


@dataclass(frozen=True, slots=True)
class Breach:
    """A violation of a rule; `at` is in seconds from the start of the run, `text` says what was observed."""

    rule: Rule
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.at:.3f} {self.rule}: {self.text}"


class BreachLog:
    """Collects breaches in the order in which the checks report them."""

    def __init__(self) -> None:
        self.breaches: list[Breach] = []

    def add(self, rule: Rule, at: float, text: str) -> None:
        """Add a breach; `at` is in seconds from the start of the run."""
        self.breaches.append(Breach(rule, at, text))
