"""A backup of machines' disks is restored on an empty cluster, which delivers the queued messages."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterator
from pathlib import Path

from ward import fixture, test

from emberlatch.cluster.cli import backup
from emberlatch.simulation import Plan
from emberlatch.simulation.history import SentMessage
from emberlatch.simulation.scenario import Scenario
from tests.cluster.support import play, submit, until

NODES = ["s0", "s1", "s2"]


@fixture
def folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def exported_backup(folder: Path, sent: list[SentMessage], lacking: str = "") -> Path:
    """Export a cluster with ten delivered and twenty queued messages, without the disk of store `lacking`."""

    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        for n in range(30):
            sent.append(await submit(scenario, delay_ms=0 if n < 10 else 20_000, body=b"m%d" % n))
        await asyncio.sleep(2.0)
        for node in scenario.cluster.nodes.values():
            node.power_off(1e6, wipe=node.name == lacking)
        disks = [n.folder for n in scenario.cluster.nodes.values() if n.is_store and n.name != lacking]
        assert backup.export(disks, folder / "backup") == 0

    play(Plan(21), steps)
    return folder / "backup"


@test(
    "a backup of two of three disks, restored on three empty disks: queued messages are delivered once, the configuration is kept"
)
def _(folder: Path = folder) -> None:
    sent: list[SentMessage] = []
    backup_file = exported_backup(folder, sent, lacking="s1")

    async def steps(scenario: Scenario) -> None:
        cluster = scenario.cluster
        cluster.first_start = False
        cluster.history.sent = {one.id: one for one in sent}
        for name in NODES:
            assert backup.restore(backup_file, cluster.nodes[name].folder, name, NODES, 2) == 0
        for node in cluster.nodes.values():
            node.start()
        await cluster.add_target("ledger", "z0")
        await until(lambda: all(n.running.active_configuration.revision == 3 for n in cluster.nodes.values()))
        await until(lambda: len(cluster.history.runs) == 20, 40.0)
        await asyncio.sleep(3.0)
        runs = cluster.history.runs
        assert set(runs) == {one.id for one in sent[10:]}, (
            "messages that had ended were executed again, or queued ones were not executed"
        )
        assert all(sum(run.status == 200 for run in of) == 1 for of in runs.values())

    assert not play(Plan(22), steps)[1]


@test("restoring a backup that is truncated, corrupted or of another format fails and writes nothing")
def _(folder: Path = folder) -> None:
    complete = exported_backup(folder, []).read_bytes()
    corrupted = bytearray(complete)
    corrupted[corrupted.index(b"m25")] ^= 1
    for bad in (complete[:-20], complete[: len(complete) // 2], bytes(corrupted), b"\xa1dhuts\x02", b""):
        (folder / "bad").write_bytes(bad)
        assert backup.restore(folder / "bad", folder / "disk", "s0", NODES, 2) == 1
        assert not (folder / "disk").exists()


@test("restoring on a used disk or for an unknown node fails, and so does exporting a folder without records")
def _(folder: Path = folder) -> None:
    backup_file = exported_backup(folder, [])
    assert backup.restore(backup_file, folder / "disk", "s0", NODES, 2) == 0
    assert backup.restore(backup_file, folder / "disk", "s0", NODES, 2) == 2
    assert backup.restore(backup_file, folder / "other", "s9", NODES, 2) == 2
    assert backup.export([folder / "nothing"], folder / "x") == 2 and not (folder / "x").exists()
