"""Interrupted batch jobs lose and duplicate no item; their progress logs keep their format."""

import asyncio
import tempfile
from pathlib import Path

from ward import raises, test

from emberlatch.cluster.batch import (
    BatchProgress,
    BatchRoute,
    BatchSender,
    ItemState,
    ProgressEntry,
    ProgressLogError,
)
from emberlatch.simulation.history import SentMessage
from emberlatch.simulation.node import FRONT_PORT
from emberlatch.simulation.scenario import Scenario
from tests.cluster.support import Plan, play


def sender(scenario: Scenario, file: Path, count: int, path: str = "/l/x") -> BatchSender:
    cluster = scenario.cluster
    forwarders = tuple((cluster.nodes[n].host, FRONT_PORT) for n in ("f0", "f1", "f2"))
    bodies = [f"body {n}".encode() for n in range(count)]
    for n, body in enumerate(bodies):
        for attempt in range(30):
            id = f"pay-{n}-{attempt}"
            cluster.history.sent[id] = SentMessage(id, 0.0, 0.0, "ledger", body)
    return BatchSender("pay", bodies, BatchRoute("a.example", path, forwarders), BatchProgress(file))


@test("a batch that is interrupted repeatedly delivers each item once, while processes crash and restart")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "progress"
            for incarnation in range(6):
                made = sender(scenario, path, 60)
                task = asyncio.get_running_loop().create_task(made.run(40.0))
                await asyncio.sleep(0.4 + 0.07 * incarnation)
                task.cancel()
                cluster.nodes[f"f{incarnation % 3}"].kill(0.5)
                if incarnation % 2:
                    cluster.nodes[f"s{incarnation % 3}"].terminate()
            await asyncio.sleep(2.0)
            made = sender(scenario, path, 60)
            await made.run(40.0)
            assert made.counts() == {"completed": 60}, str(made.counts())
        for n in range(60):
            runs = [
                r for k in range(30) for r in cluster.history.runs.get(f"pay-{n}-{k}", []) if r.status == 200
            ]
            assert len(runs) == 1, f"item {n}: {runs}"

    assert not play(Plan(41, targets=8), steps)[1]


@test(
    "an item with an unresolved submission becomes unknown, one without a route rejected; neither is resubmitted"
)
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "progress"
            progress = BatchProgress(path)
            progress.append(ProgressEntry(0, ItemState.SUBMITTING, "pay-0-0", 1))
            progress.close()
            with path.open("ab") as file:
                file.write(b'{"item":1,"step":"tr')
            made = sender(scenario, path, 2, "/nowhere/")
            for name in ("s0", "s1"):
                scenario.cluster.nodes[name].power_off(60.0)
            await made.run(40.0)
            assert [item.state for item in made.items] == [ItemState.UNKNOWN, ItemState.REJECTED]
        assert not scenario.cluster.history.runs

    assert not play(Plan(42), steps)[1]


LOG = (
    b'{"item":0,"step":"trying","id":"pay-0-0","tries":1}\n'
    b'{"item":0,"step":"taken","id":"pay-0-0","tries":1}\n'
    b'{"item":0,"step":"completed","id":"pay-0-0","tries":1,"seal":"1.i-1"}\n'
)


@test("a progress log with the documented keys and values is read, and written back byte for byte")
def _() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path, copy = Path(folder) / "progress", Path(folder) / "copy"
        path.write_bytes(LOG)
        read, written = BatchProgress(path), BatchProgress(copy)
        states = [entry.state for entry in read.entries]
        assert states == [ItemState.SUBMITTING, ItemState.ACCEPTED, ItemState.COMPLETED]
        assert read.entries[-1] == ProgressEntry(0, ItemState.COMPLETED, "pay-0-0", 1, "1.i-1")
        for entry in read.entries:
            written.append(entry)
        read.close()
        written.close()
        assert copy.read_bytes() == LOG


@test("a malformed complete line of a progress log raises an error with its file and line")
def _() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "progress"
        for wrong in (b"{", b"[]", b"7", b'{"item":0}', LOG.splitlines()[0].replace(b"trying", b"flying")):
            path.write_bytes(LOG + wrong + b"\n")
            with raises(ProgressLogError) as error:
                BatchProgress(path)
            assert f"{path}:4:" in str(error.raised), (wrong, error.raised)
