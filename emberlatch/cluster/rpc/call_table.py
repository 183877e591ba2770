"""Outstanding calls of one connection: the issued numbers and the futures that await responses. No I/O."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A request that was passed to a connection.

    `response` yields the payload of the response, or raises CallFailedError. `number` is 0 if no request was
    sent.
    """

    number: int
    response: asyncio.Future[object]


class CallTable:
    """The requests of one connection, by number. All times are loop times in seconds."""

    def __init__(self) -> None:
        self._awaited: dict[int, asyncio.Future[object]] = {}
        self._sent_at: dict[int, float] = {}  # send times of unanswered requests, abandoned ones included
        self._last_number = 0

    def __len__(self) -> int:
        """The number of unanswered requests, abandoned ones included."""
        return len(self._sent_at)

    def add(self, number: int, response: asyncio.Future[object], now: float) -> None:
        """Register a request that is sent at `now`. Each number must be higher than the previous one."""
        self._last_number = number
        self._awaited[number] = response
        self._sent_at[number] = now
        response.add_done_callback(lambda _: self._awaited.pop(number, None))

    def withdraw(self, number: int) -> None:
        """Forget a request that was never sent, so that no response to it is expected."""
        self._sent_at.pop(number, None)

    def was_issued(self, number: int) -> bool:
        """Whether a request with this number may have been sent on this connection."""
        return number <= self._last_number

    def mark_answered(self, number: int) -> bool:
        """Record that a request was answered; return False if no response to it was outstanding."""
        return self._sent_at.pop(number, None) is not None

    def find_awaited(self, number: int) -> asyncio.Future[object] | None:
        """The future that receives the response; None if the caller no longer awaits it."""
        response = self._awaited.get(number)
        return None if response is None or response.done() else response

    def oldest_unanswered_s(self, now: float) -> float:
        """The age in seconds of the oldest unanswered request; 0 if there is none."""
        oldest = next(iter(self._sent_at.values()), None)
        return 0.0 if oldest is None else now - oldest

    def drain(self) -> list[PendingCall]:
        """Remove and return all calls that are still awaited."""
        awaited, self._awaited = self._awaited, {}
        return [PendingCall(n, response) for n, response in awaited.items() if not response.done()]
