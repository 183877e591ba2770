"""The default environment of a member's process: clock, seed, run id and log."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
import structlog

from emberlatch.engine import REAL_MACHINE, Tasks
from emberlatch.fleet import ProcessEnvironment
from emberlatch.fleet.log_events import FleetEvent


def test_the_default_clock_is_the_event_loops_and_each_process_draws_its_own_seed() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        one, other = (ProcessEnvironment(Tasks(), REAL_MACHINE) for _ in range(2))
        assert loop.time() <= one.clock() <= loop.time()
        assert one.seed != other.seed and one.run_id != other.run_id

    asyncio.run(test())


def test_the_run_id_is_derived_from_the_seed() -> None:
    environment = ProcessEnvironment(
        Tasks(), REAL_MACHINE, lambda: 0.0, lambda event, **fields: None, 0x0123456789ABCDEF
    )
    assert environment.run_id == "89abcdef01234567"


def test_events_are_logged_under_the_name_of_the_fleet_service(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[tuple[str, str, dict[str, object]]] = []

    class RecordingLogger:
        def __init__(self, name: str) -> None:
            self.name = name

        def info(self, event: str, **fields: Any) -> None:
            logged.append((self.name, event, fields))

    monkeypatch.setattr(structlog.stdlib, "get_logger", RecordingLogger)
    environment = ProcessEnvironment(Tasks(), REAL_MACHINE, lambda: 0.0)
    environment.log_event(FleetEvent.LEAVING, a=1)
    assert logged == [("emberlatch.fleet.service", "leaves", {"a": 1})]
