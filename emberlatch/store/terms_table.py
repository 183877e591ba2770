"""The numbers by which the journal's records refer to terms; each segment contains their text once."""

from __future__ import annotations

from collections.abc import Collection


class TermsTable:
    """Assigns numbers to terms. A number is not reused while a segment contains its text."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}  # number by text
        self._last = 0
        self._in_segment: set[int] = set()  # numbers whose text is in the current segment

    def add(self, number: int, text: str) -> None:
        """Add a number that was read from the journal."""
        self._numbers[text] = number
        self._last = max(self._last, number)

    def text(self, number: int | None) -> str:
        """Return the text of the terms with this number, or an empty text if the number is unknown."""
        return next((text for text, known in self._numbers.items() if known == number), "")

    def number(self, text: str) -> int | None:
        """Return the number of a text, or None for an empty text. A new text is assigned a number."""
        if not text:
            return None
        if text not in self._numbers:
            self._last += 1
            self._numbers[text] = self._last
        return self._numbers[text]

    def is_written(self, number: int) -> bool:
        """Return whether the text with this number is in the current segment."""
        return number in self._in_segment

    def mark_written(self, number: int) -> None:
        """Record that the text with this number was written to the current segment."""
        self._in_segment.add(number)

    def start_segment(self, used: Collection[str]) -> None:
        """Start a new segment without texts. Drop the numbers of all terms that are not in `used`."""
        self._in_segment.clear()
        self._numbers = {text: number for text, number in self._numbers.items() if text in used}
