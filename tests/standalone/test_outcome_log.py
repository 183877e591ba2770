"""The outcome log: lines are written completely and once, within limits, despite kills and full disks."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from emberlatch.standalone.outcome_file import CURRENT_FILE, ROTATED_FILE, OutcomeFile
from emberlatch.standalone.outcome_log import OutcomeLog


def run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(test())  # type: ignore[arg-type]


class ObservedLog:
    """An outcome log, and the refs of the messages whose outcomes it has confirmed."""

    def __init__(self, folder: Path, limit: int = 1 << 20, max_in_memory: int = 100) -> None:
        self.confirmed: list[int] = []
        self.outcomes = OutcomeLog(folder, limit, max_in_memory, self.confirmed.extend)

    async def wait_until_written(self) -> None:
        while self.outcomes.pending:
            await asyncio.sleep(0)


def size_of(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def lines(path: Path) -> list[str]:
    return [json.loads(line)["id"] for line in path.read_bytes().splitlines()]


def test_an_outcome_is_confirmed_and_found_once_it_is_on_disk(tmp_path: Path) -> None:
    async def test() -> None:
        observed = ObservedLog(tmp_path)
        observed.outcomes.add(1, {"ref": "a", "result": "bounced", "wait_ms": 700})
        observed.outcomes.add(2, {"ref": "b", "result": "dead"})
        assert observed.outcomes.pending and not observed.confirmed and observed.outcomes.find("a") is None
        await observed.wait_until_written()
        assert observed.confirmed == [1, 2] and lines(tmp_path / CURRENT_FILE) == ["a", "b"]
        outcome = observed.outcomes.find("a")
        assert outcome is not None and (outcome["state"], outcome["wait_ms"]) == ("refused", 700)

    run(test)


def test_an_outcome_written_by_an_earlier_process_is_confirmed_and_not_written_again(tmp_path: Path) -> None:
    async def test() -> None:
        observed = ObservedLog(tmp_path)
        observed.outcomes.add(1, {"ref": "a", "result": "delivered"})
        await observed.wait_until_written()
        restarted = ObservedLog(tmp_path)  # as after a kill of the first process before the confirmation
        restarted.outcomes.add(1, {"ref": "a", "result": "delivered"})
        await restarted.wait_until_written()
        assert restarted.confirmed == [1] and lines(tmp_path / CURRENT_FILE) == ["a"]

    run(test)


@pytest.mark.parametrize("cut", range(1, 60, 7))
def test_a_truncated_or_damaged_line_loses_no_other_line(tmp_path: Path, cut: int) -> None:
    async def test() -> None:
        observed = ObservedLog(tmp_path)
        for ref, name in enumerate("ab"):
            observed.outcomes.add(ref, {"ref": name, "result": "delivered"})
            await observed.wait_until_written()
        path = tmp_path / CURRENT_FILE
        path.write_bytes(path.read_bytes()[:-cut] if cut < 50 else b"\xff" + path.read_bytes())
        restarted = ObservedLog(tmp_path)
        assert (restarted.outcomes.find("a") is None) == (cut >= 50)
        restarted.outcomes.add(1, {"ref": "b", "result": "delivered"})
        await restarted.wait_until_written()
        assert path.read_bytes().endswith(b"\n")
        assert json.loads(path.read_bytes().splitlines()[-1])["id"] == "b"

    run(test)


def test_the_files_and_the_outcomes_in_memory_stay_within_their_limits(tmp_path: Path) -> None:
    async def test() -> None:
        observed = ObservedLog(tmp_path, limit=4096, max_in_memory=10)
        for ref in range(200):
            observed.outcomes.add(ref, {"ref": f"m{ref}", "result": "delivered"})
            await observed.wait_until_written()
            assert size_of(tmp_path) <= 4096
        assert observed.outcomes.find("m189") is None and observed.outcomes.find("m190") is not None
        assert lines(tmp_path / CURRENT_FILE)[-1] == "m199" and (tmp_path / ROTATED_FILE).exists()
        assert len(ObservedLog(tmp_path, limit=4096, max_in_memory=10).outcomes._by_message) == 10

    run(test)


def test_a_full_disk_delays_the_confirmation_and_no_line_is_written_twice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        observed = ObservedLog(tmp_path)
        monkeypatch.setattr("emberlatch.standalone.outcome_log.WRITE_RETRY_BACKOFF_S", 0.01)
        with monkeypatch.context() as patch:
            patch.setattr(OutcomeFile, "append", _raise_disk_full)
            observed.outcomes.add(1, {"ref": "a", "result": "dead"})
            for _ in range(5):
                await asyncio.sleep(0.01)
            assert observed.outcomes.pending and not observed.confirmed
        await observed.wait_until_written()
        assert observed.confirmed == [1] and lines(tmp_path / CURRENT_FILE) == ["a"]

    run(test)


def _raise_disk_full(self: OutcomeFile, data: bytes) -> None:
    raise OSError(28, "No space left on device")
