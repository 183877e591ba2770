"""Which connections of clients are kept, and which go so that others find room.

A connection is a stranger's until it has brought a sound request. One that has is worth as much as is to be
expected of it: one that comes again and again is spared; one that asked once and fell silent, or is silent
for much longer than it used to be, holds a place for nothing. Clients have a bound of their own on how many
connections they open; where all of those stand idle, none of them can ask. So idle ones go before the places
are full, and not only then.

Nothing here reads a clock or touches a socket; times are seconds of one steady clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain, islice
from typing import Generic, Protocol, TypeVar

STRANGERS = 0.25  # of all places, from which on silent strangers are the first to go
# Of all places, over which idle connections of proven clients are let go. Clients hold a third of the
# descriptors at most for requests, which is 0.69 to 0.76 of the places at 1,024 to 256 descriptors: what is
# kept beyond that would leave them none to ask on, and what is between the two is room for requests.
KEPT = 0.5
OVERDUE = 4.0  # times the usual time between its requests, after which a client is not expected back
LEAST_GAP = 0.25  # seconds: requests that follow each other at once tell nothing of the next pause
ADOPTED_GAP = 1.0  # seconds: of a connection that came with its past unknown
NEWEST = 0.3  # weight of the newest time between two requests
LOOKED_AT = 8  # connections looked at for one that can go: the first ones are nearly always idle


class Guest(Protocol):
    """A connection, as far as it matters here."""

    @property
    def idle(self) -> bool:
        """Whether it stands between requests."""

    @property
    def unread(self) -> bool:
        """Whether something has come on it that was not read yet."""


G = TypeVar("G", bound=Guest)


@dataclass(slots=True)
class _Habit:
    """When a client was last answered, and the usual time between its requests; 0 for a single one."""

    last: float
    gap: float = 0.0


class Door(Generic[G]):
    """So many places. `strangers` and `proven` are those that are there."""

    def __init__(self, places: int, kept: float = KEPT) -> None:
        self._places, self._kept = places, kept * places
        self._strangers: dict[G, None] = {}  # the oldest first
        self._once: dict[G, _Habit] = {}  # had one answer; the longest unused first
        self._often: dict[G, _Habit] = {}  # had more; the longest unused first

    def __len__(self) -> int:
        return len(self._strangers) + len(self._once) + len(self._often)

    @property
    def strangers(self) -> list[G]:
        """Those that have brought no sound request yet, the oldest first."""
        return list(self._strangers)

    @property
    def proven(self) -> list[G]:
        """The others."""
        return [*self._once, *self._often]

    def is_proven(self, guest: G) -> bool:
        """Whether it has brought a sound request."""
        return guest in self._once or guest in self._often

    def joined(self, guest: G) -> G | None:
        """Count one in; who has to go for it, at once, be it itself.

        Strangers have a part of the places: with more they would drive out those that have proved
        themselves, with none each would drive out the one that came just before it.
        """
        victim: G | None = None
        if len(self) >= self._places:
            silent = next((other for other in self._strangers if other.idle), None)
            unused = next((other for other in chain(self._once, self._often) if other.idle), None)
            many = len(self._strangers) >= self._places * STRANGERS
            first, second = (silent, unused) if many else (unused, silent)
            victim = first or second or next(iter(self._strangers), guest)
            self.left(victim)
        if victim is not guest:
            self._strangers[guest] = None
        return victim

    def answered(self, guest: G, now: float) -> G | None:
        """It has had an answer to a sound request; who is to be let go, so that others find room.

        What has come from that one and is not read is told of by `unread`: it would be lost.
        """
        habit = self._once.pop(guest, None) or self._often.pop(guest, None)
        self._strangers.pop(guest, None)
        if habit is None:
            self._once[guest] = _Habit(now)
        else:
            gap = max(now - habit.last, LEAST_GAP)
            habit.gap += (gap - habit.gap) * (NEWEST if habit.gap else 1.0)
            habit.last = now
            self._often[guest] = habit
        if len(self._once) + len(self._often) <= self._kept:
            return None
        spare = next(self._spare(guest, now), None)
        if spare is not None:
            self.left(spare)
        return spare

    def adopted(self, guest: G, now: float) -> None:
        """It has proved itself to another process."""
        self.left(guest)
        self._often[guest] = _Habit(now, ADOPTED_GAP)

    def left(self, guest: G) -> None:
        """Count one out."""
        self._strangers.pop(guest, None)
        self._once.pop(guest, None)
        self._often.pop(guest, None)

    def _spare(self, but: G, now: float) -> Iterator[G]:
        """Idle ones that are not expected to ask again, those that asked once first."""
        for guest in islice(self._once, LOOKED_AT):
            if guest is not but and guest.idle and not guest.unread:
                yield guest
        for guest, habit in islice(self._often.items(), LOOKED_AT):
            if guest.idle and now - habit.last > OVERDUE * habit.gap and not guest.unread:
                yield guest
