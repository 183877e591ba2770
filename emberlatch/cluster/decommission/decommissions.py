"""A machine with a disk is to be emptied: what it holds is handed over, what stands on it is copied on.

A retirement is the operator's word: it is on enough disks before it is acknowledged, told with each beat, and
goes on after any restart. The machine itself does the work; it stays a source until nothing that counts
stands on its disk alone.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from enum import IntEnum
from typing import Any, Protocol

from emberlatch.cluster.control_api.answer import Answer
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store import Phase, Replicator
from emberlatch.cluster.rpc import Lost, Peer
from emberlatch.engine import Tasks

SPREAD = 0.6  # seconds for another store to have a mark on its disk
LOOK = 0.1  # seconds between two looks whether it is empty


class Mark(IntEnum):
    """How far a retirement is; it only goes forward."""

    MARKED = 1  # told by the operator: others count its copies no more
    EMPTY = 2  # nothing stands on it alone


class Place(Protocol):
    """What a retirement needs of its process."""

    replicator: Replicator | None

    def enough(self, nodes: Iterable[str]) -> bool:
        """Whether these machines' disks bear what may be lost."""

    def current(self) -> dict[str, Peer]:
        """The other stores that count."""

    def stores(self) -> dict[str, Peer]:
        """All other stores."""

    def able_stores(self) -> list[Peer]:
        """Those that take copies."""


class Decommissions:
    """See the module."""

    def __init__(self, me: str, tasks: Tasks, place: Place) -> None:
        self._me, self._tasks, self._place = me, tasks, place
        self.marks: dict[str, Mark] = {}
        self._working = False

    def marked(self, node: str) -> bool:
        """Whether it is to be emptied, or is."""
        return node in self.marks

    def done(self, node: str) -> bool:
        """Whether it is empty: it counts no more."""
        return self.marks.get(node) is Mark.EMPTY

    def _become(self, node: str, mark: Mark) -> bool:
        """The one place in which a mark changes; whether it did."""
        if mark <= self.marks.get(node, 0):
            return False
        self.marks[node] = mark
        log_event(Event.RETIRE_MARKED if mark is Mark.MARKED else Event.RETIRE_DONE, node)
        replicator = self._place.replicator
        if replicator is not None:
            replicator.local_store.database.note("retire", self.told())
            replicator.local_store.database.settle()
        if node == self._me and mark is Mark.MARKED:
            self._begin()
        return True

    def told(self) -> dict[str, int]:
        """As it is sent, and kept on disk."""
        return {node: int(mark) for node, mark in self.marks.items()}

    def load(self, told: Any) -> None:
        """What the earlier life kept."""
        self.marks = {str(node): Mark(mark) for node, mark in (told or {}).items()}

    def resume(self) -> None:
        """Go on with our own, if it was under way."""
        if self.marks.get(self._me) is Mark.MARKED:
            self._begin()

    def heard(self, told: dict[str, int]) -> None:
        """What another process knows."""
        for node, mark in told.items():
            self._become(node, Mark(mark))

    async def kept(self, told: dict[str, int]) -> bool:
        """Another store sends marks; true once they are on our disk."""
        self.heard(told)
        if self._place.replicator is not None:
            await self._place.replicator.settled()
        return True

    async def _spread(self) -> bool:
        """Tell all other stores; whether enough disks have the marks."""
        peers = [p for p in self._place.stores().values() if p.up]
        told = await asyncio.gather(
            *(p.ask("retire", self.told(), SPREAD) for p in peers), return_exceptions=True
        )
        have = [p.name for p, answer in zip(peers, told, strict=True) if answer is True]
        if self._place.replicator is not None:
            await self._place.replicator.settled()
        return self._place.enough([self._me, *have])

    # The operator's calls.

    async def initiate(self, node: str, body: bytes) -> Answer:
        """Mark a machine: 404 if it is unknown, 409 if too few would be left or another is under way."""
        try:
            period = json.loads(body or b"{}").get("period_s", 0)
            if isinstance(period, bool) or not isinstance(period, int | float) or period < 0:
                raise ValueError("period_s")
        except (ValueError, AttributeError, RecursionError):
            return Answer.cause(400, "a JSON object with period_s is wanted")
        names = {self._me, *self._place.current()}
        if self.done(node):
            return Answer(200, b"{}")
        if node not in names and node not in self.marks:
            return Answer.cause(404, f"unknown machine {node}")
        others = [n for n, mark in self.marks.items() if mark is Mark.MARKED and n != node]
        if others:
            return Answer.cause(409, f"{others[0]} is being emptied")
        left = [n for n in names if n != node and (n == self._me or self._place.current()[n].up)]
        if not self._place.enough(left):
            return Answer.cause(409, "too few machines would be left")
        self._become(node, Mark.MARKED)
        if not await self._spread():
            return Answer.cause(503, "too few disks have it yet")
        return Answer(200, b"{}")

    async def retrieve(self, node: str) -> Answer:
        """How far it is."""
        mark = self.marks.get(node)
        if mark is None:
            return Answer.cause(404, f"{node} is not being emptied")
        state = "completed" if mark is Mark.EMPTY else "in_progress"
        return Answer(200, json.dumps({"state": state}).encode())

    # The work, on the machine itself.

    def _begin(self) -> None:
        replicator = self._place.replicator
        if replicator is not None and not self._working:
            self._working = True
            self._tasks.spawn(self._work(replicator))

    async def _work(self, replicator: Replicator) -> None:
        while replicator.phase is Phase.STARTING:
            await asyncio.sleep(LOOK)
        replicator.become(Phase.RETIRING)
        while not await self._emptied(replicator):
            await asyncio.sleep(LOOK)
        self._become(self._me, Mark.EMPTY)
        while not await self._spread():
            await asyncio.sleep(LOOK)

    async def _emptied(self, replicator: Replicator) -> bool:
        """A step of the work; whether nothing is left to do."""
        try:
            if records := replicator.local_store.deliverer.idle():
                await replicator.ownership.hand_over(records)
            counted = {peer.name for peer in self._place.able_stores()}
            alone = replicator.repair.alone(counted)
            alone.sort(key=lambda record: not record.open)  # what has not ended goes first
            await replicator.repair.copy_out(alone[:500], counted)
            left = replicator.repair.alone({peer.name for peer in self._place.able_stores()})
            return not (left or replicator.busy or replicator.local_store.index.held(self._me))
        except Lost:
            return False
