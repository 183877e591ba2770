"""Delays actions that depend on a journal record until the record is as durable as its class requires."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from emberlatch.store import GroupSync


def ignore_sync_failure(_: OSError) -> None:
    """Do nothing. Used by forwarders without durable classes, which never sync the journal."""


@dataclass(frozen=True, slots=True)
class DurableClasses:
    """The message classes of one gateway whose messages must survive a power loss.

    Records of other classes are written to the journal without a sync. They survive the end of the process.
    """

    names: frozenset[str] = frozenset()
    on_sync_failed: Callable[[OSError], None] = ignore_sync_failure
    """Called once, after the first failed sync: from then on no write is guaranteed to be durable."""

    @property
    def any(self) -> bool:
        """Whether any class requires a sync."""
        return bool(self.names)


NO_DURABLE_CLASSES = DurableClasses()


class DurabilityGate:
    """Runs actions: those for a durable class after a sync, all others immediately."""

    def __init__(self, durable_classes: DurableClasses, sync: GroupSync) -> None:
        self._durable_classes = durable_classes
        self.sync = sync

    @property
    def required(self) -> bool:
        """Whether any class requires a sync."""
        return self._durable_classes.any

    def when_durable(self, categories: Iterable[str], action: Callable[[], None]) -> None:
        """Run `action` once all records written so far are as durable as these classes require."""
        if self._durable_classes.names.isdisjoint(categories):
            action()
        else:
            self.sync.when_durable(action)
