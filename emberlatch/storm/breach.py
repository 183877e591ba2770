"""A breach: one violation of a rule in a storm."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Breach:
    """One violation of a rule; `at` is in seconds since the storm began.

    `subjects` are the members and endpoints involved; `text` describes the violation.
    """

    rule: str
    at: float
    subjects: tuple[str, ...]
    text: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} ({', '.join(self.subjects)}): {self.text}"
