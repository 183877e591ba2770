"""The pools of all destinations, and which of them have to be processed in a turn."""

from __future__ import annotations

from emberlatch.core.records import DEMAND_WINDOW_S, Pool
from emberlatch.core.timers import WakeupSchedule

# An unused pool is removed once its decayed count of arrivals in the demand window is below this.
MIN_REMEMBERED_ARRIVALS = 0.01


class PoolTable:
    """Owns the pools.

    Attributes:
        by_destination: the pool of each destination that is listed or used.
        dirty: pools that changed in this turn and are processed before it ends.
        starved: pools whose messages wait for a free slot.
        wakeups: time at which each destination must be processed even without an event.
    """

    __slots__ = ("_routeless", "by_destination", "dirty", "starved", "wakeups")

    def __init__(self) -> None:
        self.by_destination: dict[int, Pool] = {}
        self.dirty: dict[int, Pool] = {}
        self.starved: dict[int, Pool] = {}
        self.wakeups = WakeupSchedule()
        self._routeless: set[int] = set()  # destinations that may have a pool and no route

    def begin_turn(self) -> None:
        """Clear the dirty pools."""
        self.dirty = {}

    def mark_dirty(self, destination: int) -> Pool:
        """Mark the pool of a destination as dirty, creating it if needed, and return it."""
        pool = self.by_destination.get(destination)
        if pool is None:
            pool = self.by_destination[destination] = Pool()
            self._routeless.add(destination)
        self.dirty[destination] = pool
        return pool

    def mark_starved_dirty(self) -> None:
        """Mark all starved pools as dirty, because a slot is free."""
        self.dirty.update(self.starved)

    def mark_due_dirty(self, now: float) -> None:
        """Mark the pools whose wake-up is due as dirty."""
        for destination in self.wakeups.pop_due(now):
            self.mark_dirty(destination)

    def mark_all_dirty(self) -> None:
        """Mark all pools as dirty."""
        for destination in self.by_destination:
            self.mark_dirty(destination)

    def note_routeless(self, destination: int) -> None:
        """Record that a destination has lost its last route, so that its pool may be removed."""
        self._routeless.add(destination)

    def forget_unused(self, now: float) -> None:
        """Remove pools without routes, messages, calls and significant demand."""
        for destination in list(self._routeless):
            pool = self.by_destination[destination]
            if pool.routes:
                self._routeless.remove(destination)
            elif _is_unused(pool, now):
                del self.by_destination[destination]
                self._routeless.remove(destination)
                self.dirty.pop(destination, None)
                self.starved.pop(destination, None)
                self.wakeups.cancel(destination)


def _is_unused(pool: Pool, now: float) -> bool:
    if pool.waiting or pool.leases:
        return False
    return pool.demand.at(now, DEMAND_WINDOW_S) * DEMAND_WINDOW_S < MIN_REMEMBERED_ARRIVALS
