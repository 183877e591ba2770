"""The log of small states: torn records, a full disk, compaction and the disk limit."""

from __future__ import annotations

import errno
import random
from pathlib import Path

import pytest

from emberlatch.store import Folder, LimitTooSmallError, StateLog
from emberlatch.store.state_log import MIN_LIMIT_BYTES


def size(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def opened(folder: Path, limit: int = MIN_LIMIT_BYTES) -> StateLog:
    log = StateLog(Folder(folder), limit)
    log.load()
    return log


def test_stored_states_are_restored_and_removed_ones_are_not(tmp_path: Path) -> None:
    log = opened(tmp_path)
    log.put("a", {"n": 1})
    log.put("b", {"n": 2})
    log.put("a", {"n": 3})
    log.remove("b")
    log.close()
    assert opened(tmp_path).states == {"a": {"n": 3}}


def test_a_file_truncated_at_any_byte_of_its_last_record_gives_the_previous_state(tmp_path: Path) -> None:
    log = opened(tmp_path)
    log.put("a", {"n": 1})
    path = next(tmp_path.glob("*.book"))
    size_before = path.stat().st_size
    log.put("a", {"n": 2})
    log.close()
    data = path.read_bytes()
    for cut in range(size_before, len(data) + 1):
        again = tmp_path / str(cut)
        again.mkdir()
        (again / path.name).write_bytes(data[:cut])
        found = opened(again)
        assert found.states == {"a": {"n": 2 if cut == len(data) else 1}}
        found.put("a", {"n": 3})  # writes continue after a torn record
        found.close()
        assert opened(again).states == {"a": {"n": 3}}


def test_the_limit_is_kept_and_the_oldest_keys_are_evicted_first(tmp_path: Path) -> None:
    log, rng = opened(tmp_path), random.Random(4)
    evicted: list[str] = []
    for number in range(4000):
        evicted += list(log.put(f"k{number}", {"text": "x" * rng.randrange(400)}))
        if number % 3 == 0:
            log.remove(f"k{rng.randrange(number + 1)}")
        assert size(tmp_path) <= MIN_LIMIT_BYTES
    assert evicted and evicted == sorted(evicted, key=lambda key: int(key[1:]))
    states = dict(log.states)
    log.close()
    assert opened(tmp_path).states == states


def test_a_kill_at_any_step_of_a_compaction_loses_no_state_and_restores_no_old_one(tmp_path: Path) -> None:
    class KilledError(Exception):
        pass

    class KillableFolder(Folder):
        steps_until_kill = 10**9

        def _step(self) -> None:
            KillableFolder.steps_until_kill -= 1
            if KillableFolder.steps_until_kill < 0:
                raise KilledError

        def write(self, handle: int, data: memoryview) -> int:
            self._step()
            return super().write(handle, data)

        def remove(self, name: str) -> None:
            self._step()
            super().remove(name)

        def append_to(self, name: str) -> int:
            self._step()
            return super().append_to(name)

    expected: dict[str, int] = {}
    for steps in range(0, 120, 3):
        KillableFolder.steps_until_kill = 10**9
        folder = KillableFolder(tmp_path)
        log = StateLog(folder, MIN_LIMIT_BYTES)
        log.load()
        assert {name: state["n"] for name, state in log.states.items()} == expected
        KillableFolder.steps_until_kill = 900 + steps
        key = ""
        try:
            for number in range(2000):
                key = f"k{number % 40}"
                log.put(key, {"n": number, "pad": "x" * 500})
                expected[key] = number
        except KilledError:
            pass
        log.close()
        KillableFolder.steps_until_kill = 10**9
        found = StateLog(Folder(tmp_path), MIN_LIMIT_BYTES)
        found.load()
        found.close()
        # The state being written at the kill may be stored or not; all others are unchanged.
        assert {name: state["n"] for name, state in found.states.items() if name != key} == {
            name: n for name, n in expected.items() if name != key
        }
        expected = {name: state["n"] for name, state in found.states.items()}


def test_a_write_to_a_full_disk_raises_oserror_and_loses_no_state(tmp_path: Path) -> None:
    class LimitedFolder(Folder):
        full = False

        def write(self, handle: int, data: memoryview) -> int:
            if LimitedFolder.full:
                if len(data) > 10:
                    return super().write(handle, data[:10])
                raise OSError(errno.ENOSPC, "no room")
            return super().write(handle, data)

    log = StateLog(LimitedFolder(tmp_path), MIN_LIMIT_BYTES)
    log.load()
    log.put("a", {"n": 1})
    LimitedFolder.full = True
    with pytest.raises(OSError, match="no room"):
        log.put("a", {"n": 2})
    assert log.states == {"a": {"n": 1}}
    LimitedFolder.full = False
    log.put("b", {"n": 5})
    log.close()
    assert opened(tmp_path).states == {"a": {"n": 1}, "b": {"n": 5}}


def test_a_limit_that_is_too_small_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(LimitTooSmallError, match="at least"):
        StateLog(Folder(tmp_path), MIN_LIMIT_BYTES - 1)
