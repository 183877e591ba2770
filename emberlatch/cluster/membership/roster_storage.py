"""Where a store keeps its roster, so that its next incarnation finds the others without any seed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Protocol

from emberlatch.cluster.membership.member import Member
from emberlatch.cluster.message_store import RecordDatabase

ROSTER_KEY = "stores"  # key of the roster in the database


class RosterStorage(Protocol):
    """Keeps the stores of the roster across restarts."""

    def load(self) -> list[Member]:
        """The stores that were saved last, with incarnation 0. Raises OSError if the disk can't be read."""

    def save(self, stores: Iterable[Member]) -> None:
        """Schedule these stores to be written, and do not wait for the write."""


class DatabaseRosterStorage:
    """Keeps the roster in the same database as the messages."""

    def __init__(self, database: RecordDatabase) -> None:
        self._database = database

    def load(self) -> list[Member]:
        """The stores that were saved last. Raises OSError if the disk can't be read.

        Their incarnations are set to 0, so that each running incarnation counts as later.
        """
        saved = self._database.read_note(ROSTER_KEY)
        payloads = saved if isinstance(saved, list) else []
        return [replace(Member.from_wire(payload), incarnation=0) for payload in payloads]

    def save(self, stores: Iterable[Member]) -> None:
        """Write the roster with the next commit."""
        self._database.write_note(ROSTER_KEY, [member.to_wire() for member in stores])
        self._database.schedule_commit()
