"""Group commit, and actions that wait for it: confirmed outcomes and durable journals."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from emberlatch.config import ConfigError, parse
from emberlatch.standalone.outcome_file import CURRENT_FILE
from emberlatch.standalone.outcome_log import OutcomeLog
from emberlatch.store import Entry, Folder, GroupSync, Journal


def run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 20))


class Disk:
    """A disk whose syncs block until the test completes the future that they put into `started`."""

    def __init__(self) -> None:
        self.started: asyncio.Queue[asyncio.Future[None]] = asyncio.Queue()
        self.finished = 0

    def prepare_sync(self) -> Callable[[], None]:
        return lambda: None

    def on_synced(self) -> None:
        self.finished += 1

    async def offload(self, job: Callable[[], None]) -> None:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        await self.started.put(done)
        await done
        job()


def test_callbacks_that_are_registered_during_a_sync_share_the_next_one() -> None:
    async def test() -> None:
        disk, called = Disk(), list[int]()
        group = GroupSync(disk, disk.offload, lambda error: None)
        for number in range(3):
            group.when_durable(lambda number=number: called.append(number))  # type: ignore[misc]
        first = await disk.started.get()
        for number in range(3, 50):
            group.when_durable(lambda number=number: called.append(number))  # type: ignore[misc]
        assert called == [] and group.pending
        first.set_result(None)
        second = await disk.started.get()
        assert called == [0, 1, 2]
        second.set_result(None)
        while group.pending:
            await asyncio.sleep(0)
        assert called == list(range(50)) and (group.syncs, group.callbacks_run, group.largest_batch) == (
            2,
            50,
            47,
        )

    run(test)


def test_after_a_failed_sync_no_callback_is_run_and_no_sync_is_started() -> None:
    async def test() -> None:
        disk, called, errors = Disk(), list[str](), list[OSError]()
        group = GroupSync(disk, disk.offload, errors.append)
        group.when_durable(lambda: called.append("a"))
        first = await disk.started.get()
        group.when_durable(lambda: called.append("b"))
        first.set_exception(OSError(5, "input/output error"))
        while not errors:
            await asyncio.sleep(0)
        group.when_durable(lambda: called.append("c"))
        await asyncio.sleep(0)
        assert called == [] and group.failed and not group.pending and disk.started.empty()

    run(test)


def test_an_outcome_is_found_and_confirmed_only_after_its_line_is_durable(tmp_path: Path) -> None:
    async def test() -> None:
        disk, confirmed = Disk(), list[int]()
        outcomes = OutcomeLog(tmp_path, 1 << 20, 10, confirmed.extend, disk.offload)
        outcomes.add(7, {"ref": "m", "result": "delivered"})
        done = await disk.started.get()
        assert (tmp_path / CURRENT_FILE).read_bytes().count(b"\n") == 1
        assert outcomes.find("m") is None and confirmed == [] and outcomes.pending
        done.set_result(None)
        while outcomes.pending:
            await asyncio.sleep(0)
        assert outcomes.find("m") is not None and confirmed == [7]

    run(test)


def entry(ref: int) -> Entry:
    return Entry(ref, f"m{ref}", "", "order", "", 1, 1e9, b"x" * 3000)


def test_durable_and_other_journals_read_the_files_of_each_other(tmp_path: Path) -> None:
    for before, after in ((False, True), (True, False)):
        folder = tmp_path / f"{before}"
        folder.mkdir()
        journal = Journal(Folder(folder), 400_000, durable=before)
        journal.load()
        for ref in range(200):  # enough to fill segments and to compact
            journal.add(entry(ref))
            if ref >= 5:
                journal.remove(entry(ref - 5))
            journal.prepare_sync()()
            journal.on_synced()
        journal.close()
        again = Journal(Folder(folder), 400_000, durable=after)
        assert [found.ref for found in again.load()] == list(range(195, 200))
        again.close()


def test_the_durability_of_a_class_is_configured_and_validated() -> None:
    text = '[inventory]\npaths = ["x"]\n[classes.order]\neffect = "unsafe"\ndurable = "{}"\n'
    assert parse(text.format("machine").encode(), "g").classes["order"].durable == "machine"
    with pytest.raises(ConfigError, match="comes with replication"):
        parse(text.format("fleet").encode(), "g")
    with pytest.raises(ConfigError, match=r"g:5: classes\.order\.durable"):
        parse(text.format("always").encode(), "g")
