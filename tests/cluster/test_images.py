"""What a loss of power may leave of the files: everything that was synced, and of the rest any part."""

from __future__ import annotations

import asyncio
import random
import shutil
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from ward import test

from emberlatch.cluster.config_store import ConfigFiles
from emberlatch.cluster.message_store import RecordDatabase, State
from tests.cluster.support import record


async def at_once(work: Callable[[], None]) -> None:
    work()


def opened(folder: Path) -> RecordDatabase:
    return RecordDatabase(folder / "records.db", at_once, lambda: 1.7e9, lambda error: None)


async def committed(database: RecordDatabase) -> None:
    done = asyncio.Event()
    database.stands(done.set)
    await done.wait()


def images(before: Path, after: Path, into: Path, chance: random.Random) -> None:
    """A folder as a loss of power may leave it: what was there before is synced, what came since is not."""
    shutil.rmtree(into, ignore_errors=True)
    shutil.copytree(before, into)
    for path in after.iterdir():
        old = (before / path.name).read_bytes() if (before / path.name).exists() else b""
        new = path.read_bytes()
        if path.name.endswith("-wal") and len(new) > len(old):
            tail = bytearray(new[len(old) :])
            match chance.choice(("none", "torn", "sectors", "whole")):
                case "none":
                    tail.clear()
                case "torn":
                    del tail[chance.randrange(len(tail)) :]
                case "sectors":
                    for sector in range(0, len(tail), 512):
                        if chance.random() < 0.5:
                            tail[sector : sector + 512] = bytes(len(tail[sector : sector + 512]))
                case _:
                    pass
            (into / path.name).write_bytes(old + tail)


@test("whatever a loss of power leaves of a commit, all commits before it are there, whole")
def _() -> None:
    chance = random.Random(5)
    with tempfile.TemporaryDirectory() as name:
        folder, before, image = Path(name) / "live", Path(name) / "before", Path(name) / "image"
        folder.mkdir()

        async def scene() -> None:
            database = opened(folder)
            for n in range(14):
                shutil.rmtree(before, ignore_errors=True)
                shutil.copytree(folder, before)
                made = record(f"m{n}")
                made.body = chance.randbytes(chance.randrange(1, 9000))
                database.put(made, 0.0)
                if n % 3 == 2:
                    ended = record(f"m{n - 2}")
                    ended.merge(State.DONE, "seal", 1, "a", 0)
                    database.mark(ended, 0.0)
                await committed(database)
                for _ in range(4):
                    images(before, folder, image, chance)
                    there = {r.id: r for r in opened(image).load(0.0)}
                    assert {f"m{k}" for k in range(n)} <= there.keys()
                    for k in range(2, n, 3):
                        assert there[f"m{k - 2}"].state is State.DONE
                    assert all(r.body for r in there.values() if r.open)
            database.close()

        asyncio.run(scene())


@test("a version that was being written when the power went is there whole, or the one before it is")
def _() -> None:
    chance = random.Random(6)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        files = ConfigFiles(folder)
        files.write(7, b"seven" * 300)
        for _ in range(60):
            files.write(8, b"eight" * 300)
            (path,) = folder.glob("word-*8-*.json")
            whole = path.read_bytes()
            match chance.choice(("beside", "torn", "zeros", "unnamed")):
                case "beside":
                    path.rename(path.with_name(path.name + ".new"))
                case "torn":
                    path.write_bytes(whole[: chance.randrange(len(whole))])
                case "zeros":
                    cut = chance.randrange(len(whole))
                    path.write_bytes(whole[:cut] + bytes(len(whole) - cut))
                case _:
                    path.unlink()
            assert ConfigFiles(folder).newest() in (b"seven" * 300, b"eight" * 300)
            for left in folder.glob("word-*8-*"):
                left.unlink()


@test("a commit that fails is final: nothing that waited is done, and the process is told")
def _() -> None:
    async def scene() -> None:
        failed: list[OSError] = []

        async def broken(work: Callable[[], None]) -> None:
            raise OSError("no more")

        offload: Callable[[Callable[[], None]], Awaitable[None]] = broken
        with tempfile.TemporaryDirectory() as name:
            database = RecordDatabase(Path(name) / "records.db", offload, lambda: 1.7e9, failed.append)
            done: list[int] = []
            database.put(record(), 0.0)
            database.stands(lambda: done.append(1))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            database.stands(lambda: done.append(2))
            await asyncio.sleep(0)
            assert len(failed) == 1 and not done

    asyncio.run(scene())
