"""The event queue: one decision for all events of a loop iteration, and none while suspended."""

from __future__ import annotations

import asyncio

from emberlatch.core import interface as api
from emberlatch.engine.event_queue import EventQueue


class Decisions:
    def __init__(self) -> None:
        self.events = EventQueue(self.decide)
        self.batches: list[list[int]] = []

    def decide(self) -> None:
        self.batches.append(
            [event.ref for event in self.events.take() if isinstance(event, api.ClientDisconnected)]
        )

    def post(self, *refs: int) -> None:
        for ref in refs:
            self.events.post(api.ClientDisconnected(ref))


def test_events_of_one_loop_iteration_are_handled_by_one_decision() -> None:
    async def test() -> None:
        decisions = Decisions()
        decisions.post(1, 2)
        assert decisions.events and decisions.batches == []
        await asyncio.sleep(0)
        decisions.post(3)
        await asyncio.sleep(0)
        assert decisions.batches == [[1, 2], [3]] and not decisions.events

    asyncio.run(test())


def test_a_suspended_queue_keeps_events_and_makes_no_decision() -> None:
    async def test() -> None:
        decisions = Decisions()
        decisions.post(1)
        decisions.events.suspended = True  # the queue is suspended after the decision was scheduled
        await asyncio.sleep(0)
        decisions.post(2)
        await asyncio.sleep(0)
        assert decisions.batches == []
        decisions.events.suspended = False
        decisions.post(3)
        await asyncio.sleep(0)
        assert decisions.batches == [[1, 2, 3]]

    asyncio.run(test())
