"""Files after a loss of power: all synced data survives, and any part of the unsynced data may be lost."""

from __future__ import annotations

import asyncio
import random
import shutil
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import cbor2
from ward import test

from emberlatch.cluster.consensus import Ballot, Configure, ControlState, Proposal
from emberlatch.cluster.consensus.storage import STATE_FILE, RecordStorage
from emberlatch.cluster.disk import Disk
from emberlatch.cluster.message_store import MessageState, RecordDatabase
from tests.cluster.support import record


async def run_inline(work: Callable[[], None]) -> None:
    work()


def open_database(folder: Path) -> RecordDatabase:
    database = RecordDatabase(folder / "records.db", Disk(run_inline), lambda: 1.7e9)
    database.open()
    return database


async def wait_for_commit(database: RecordDatabase) -> None:
    done = asyncio.Event()
    database.when_durable(done.set)
    await done.wait()


def write_power_loss_image(before: Path, after: Path, into: Path, rng: random.Random) -> None:
    """Write a folder as a loss of power may leave it: only the content of `before` was synced."""
    shutil.rmtree(into, ignore_errors=True)
    shutil.copytree(before, into)
    for path in after.iterdir():
        old = (before / path.name).read_bytes() if (before / path.name).exists() else b""
        new = path.read_bytes()
        if path.name.endswith("-wal") and len(new) > len(old):
            tail = bytearray(new[len(old) :])
            match rng.choice(("none", "torn", "sectors", "complete")):
                case "none":
                    tail.clear()
                case "torn":
                    del tail[rng.randrange(len(tail)) :]
                case "sectors":
                    for sector in range(0, len(tail), 512):
                        if rng.random() < 0.5:
                            tail[sector : sector + 512] = bytes(len(tail[sector : sector + 512]))
                case _:
                    pass
            (into / path.name).write_bytes(old + tail)


@test("after a loss of power during a commit, all earlier commits are completely readable")
def _() -> None:
    rng = random.Random(5)
    with tempfile.TemporaryDirectory() as name:
        folder, before, image = Path(name) / "live", Path(name) / "before", Path(name) / "image"
        folder.mkdir()

        async def run() -> None:
            database = open_database(folder)
            for n in range(14):
                shutil.rmtree(before, ignore_errors=True)
                shutil.copytree(folder, before)
                stored = record(f"m{n}")
                stored.body = rng.randbytes(rng.randrange(1, 9000))
                database.put(stored, 0.0)
                if n % 3 == 2:
                    ended = record(f"m{n - 2}")
                    ended.merge(MessageState.COMPLETED, "seal", 1, "a", 0)
                    database.update(ended, 0.0)
                await wait_for_commit(database)
                for _ in range(4):
                    write_power_loss_image(before, folder, image, rng)
                    loaded = {r.id: r for r in open_database(image).load(0.0)}
                    assert {f"m{k}" for k in range(n)} <= loaded.keys()
                    for k in range(2, n, 3):
                        assert loaded[f"m{k - 2}"].state is MessageState.COMPLETED
                    assert all(r.body for r in loaded.values() if r.is_queued)
            database.close()

        asyncio.run(run())


@test("a loss of power while a control state is written leaves the new state, the previous one or none")
def _() -> None:
    rng = random.Random(6)
    older, newer = (ControlState(version=n, revision=n, text=b"text %d" % n * 300) for n in (7, 8))
    with tempfile.TemporaryDirectory() as name:
        storage = RecordStorage(Path(name), "s0")
        first = storage.create(older, None)
        path = Path(name) / STATE_FILE
        before = path.read_bytes()
        storage.write(replace(first, state=newer))
        complete = path.read_bytes()
        for _ in range(60):
            damage = rng.choice(("complete", "old", "new file torn", "torn", "zeros", "missing"))
            cut = rng.randrange(len(complete))
            path.unlink(missing_ok=True)
            match damage:
                case "complete":
                    path.write_bytes(complete)
                case "old":
                    path.write_bytes(before)
                case "new file torn":
                    path.write_bytes(before)
                    (Path(name) / (STATE_FILE + ".new")).write_bytes(complete[:cut])
                case "torn":
                    path.write_bytes(complete[:cut])
                case "zeros":
                    path.write_bytes(complete[:cut] + bytes(len(complete) - cut))
            record = RecordStorage(Path(name), "s0").load()
            if damage in ("complete", "old", "new file torn"):
                assert record is not None and record.voter == first.voter
                assert record.state in (older, newer)
            else:  # without a state there is no vote either, and the process is a new voter
                assert record is None or record.state == newer, damage


@test("a vote survives a restart, and is discarded if the state file has an older version")
def _() -> None:
    with tempfile.TemporaryDirectory() as name:
        storage = RecordStorage(Path(name), "s0")
        record = storage.create(ControlState(version=3), None)
        ballot = Ballot(4, "p")
        promised = replace(record, promised=ballot, accepted=Proposal(ballot, (Configure(5, b"{}"),)))
        storage.write(promised)
        assert RecordStorage(Path(name), "s0").load() == promised
        later = replace(promised, state=ControlState(version=4), promised=None, accepted=None)
        storage.write(later)
        assert RecordStorage(Path(name), "s0").load() == later
        storage.write(replace(later, promised=Ballot(9, "q")))
        old = cbor2.dumps(ControlState(version=3).to_wire())
        (Path(name) / STATE_FILE).write_bytes(old)
        assert RecordStorage(Path(name), "s0").load() is None


@test("after a failed commit, waiting callers are notified of the failure and the writes stay pending")
def _() -> None:
    async def run() -> None:
        ended: list[OSError | None] = []

        async def fail(work: Callable[[], None]) -> None:
            raise OSError("injected commit failure")

        offload: Callable[[Callable[[], None]], Awaitable[None]] = fail
        with tempfile.TemporaryDirectory() as name:
            database = RecordDatabase(Path(name) / "records.db", Disk(offload), lambda: 1.7e9)
            database.group_commit.subscribe(ended.append)
            done: list[int] = []
            failed: list[int] = []
            database.put(record(), 0.0)
            database.when_durable(lambda: done.append(1), lambda: failed.append(1))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            database.when_durable(lambda: done.append(2), lambda: failed.append(2))
            await asyncio.sleep(0)
            assert [type(error) for error in ended] == [OSError] and not done and failed == [1, 2]
            assert [id for id, _ in database.group_commit.pending.records()] == ["m"]

    asyncio.run(run())
