"""What a call of a target or an operator is answered."""

from __future__ import annotations

import json
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and body of an answer."""

    status: int
    body: bytes = b""

    @staticmethod
    def cause(status: int, text: str) -> Answer:
        """An error with its reason."""
        return Answer(status, json.dumps({"cause": text}).encode())
