"""A model of an overloaded directory. Socket servers, the simulation and a benchmark use it; it does no I/O.

One worker serves the calls of all forwarders one after another. A call takes a fixed time, plus a time for
each entry of its answer. A call that would wait longer than the time-out fails at the time-out, and
takes none of the worker's time. With `drop_every` = n, every n-th answer is lost.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceCost:
    """Service time of a call, added time for each entry of its answer, longest wait; all in seconds."""

    call: float = 0.0
    entry: float = 0.0
    queue_timeout: float = 1.0


@dataclass(frozen=True, slots=True)
class ServiceTurn:
    """The time at which a call is served, or at which it fails because it would wait too long."""

    at: float
    served: bool


class ServiceQueue:
    """The worker and its queue. A change of `cost` does not affect calls that are in the queue."""

    def __init__(self, cost: ServiceCost = ServiceCost()) -> None:  # noqa: B008 (frozen)
        self.cost = cost
        self.drop_every = 0
        """The last of each `drop_every` answers is lost; 0 if none is lost."""
        self._free_at = 0.0
        self._answers = 0

    def turn(self, now: float, entries: int) -> ServiceTurn:
        """Queue a call whose answer has this number of entries; returns when, and whether, it is served."""
        cost = self.cost
        starts_at = max(now, self._free_at)
        if starts_at - now > cost.queue_timeout:
            return ServiceTurn(now + cost.queue_timeout, served=False)
        self._free_at = starts_at + cost.call + cost.entry * entries
        return ServiceTurn(self._free_at, served=True)

    def drops_answer(self) -> bool:
        """Count an answer, and return whether it is lost."""
        self._answers += 1
        return self.drop_every > 0 and self._answers % self.drop_every == 0
