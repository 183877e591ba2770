"""An end that lets somebody hear how messages ended before it is told to whom it concerns."""

from __future__ import annotations

from collections.abc import Callable

from emberlatch.engine import End, Notice

STATES = {"delivered": "delivered", "bounced": "refused", "dead": "failed"}


class Witness:
    """Stands before another end; `heard` gets the message's number and its state."""

    def __init__(self, end: End, heard: Callable[[int, str], None]) -> None:
        self._end, self._heard = end, heard
        self.tells_deliveries = end.tells_deliveries

    def add(self, ref: int, notice: Notice) -> None:
        self._heard(ref, STATES[notice["result"]])
        self._end.add(ref, notice)

    @property
    def pending(self) -> bool:
        return self._end.pending
