"""Disks that are full, slow, stalled or fail to sync: a state of the process, and no end of it."""

from __future__ import annotations

import asyncio
import itertools
import random
import sqlite3
import tempfile
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

from ward import each, raises, test
from ward.expect import TestAssertionFailure

from emberlatch.cluster.cli.status import find_problems
from emberlatch.cluster.cli.store_reports import collect_reports
from emberlatch.cluster.consensus import AcceptorRecord, Ballot, ControlState
from emberlatch.cluster.consensus.durable_record import DurableRecord
from emberlatch.cluster.consensus.replies import Declined
from emberlatch.cluster.consensus.requests import Prepare
from emberlatch.cluster.consensus.storage import IDENTITY_FILE, RecordStorage
from emberlatch.cluster.disk import Disk
from emberlatch.cluster.membership.disk_reports import DiskReports
from emberlatch.cluster.message_store import DiskState, LocalStore, RecordDatabase, Replicator
from emberlatch.cluster.message_store.disk_health import RETRY_S, STALLED_S, DiskHealth
from emberlatch.cluster.message_store.group_commit import GroupCommit
from emberlatch.cluster.message_store.pending_writes import PendingWrites
from emberlatch.simulation.cluster import SimulatedCluster
from emberlatch.simulation.disk import DiskFault, SimulatedDisk
from emberlatch.simulation.http_client import send_request
from emberlatch.simulation.node import FRONT_PORT, INNER_PORT, SimulatedNode
from emberlatch.simulation.scenario import Scenario
from tests.cluster.support import (
    Fault,
    FaultKind,
    MessageState,
    Plan,
    assert_nothing_lost,
    on_disk,
    planted,
    play,
    play_faults,
    record,
    repeated,
    submit,
    submit_in_turn,
    successes,
    until,
)

STORES = ("s0", "s1", "s2")


def disk_state(node: SimulatedNode) -> DiskState:
    return node.replicator.local_store.database.health.state(node.environment.loop.time())


# The parts.


@test("the disk's condition follows its commits, and a failed one is tried again after a growing pause")
def _() -> None:
    health = DiskHealth()
    assert health.state(0.0) is DiskState.UNREADABLE
    health.mark_readable()
    assert health.state(0.0) is DiskState.OK
    health.commit_started(1.0)
    assert health.state(1.0 + STALLED_S) is DiskState.OK
    assert health.state(1.1 + STALLED_S) is DiskState.STALLED
    pauses = []
    for _ in range(7):
        health.commit_failed()
        assert health.state(99.0) is DiskState.FAILING
        pauses.append(health.retry_s)
    assert pauses == [*RETRY_S, RETRY_S[-1], RETRY_S[-1]] and sorted(pauses) == pauses
    health.commit_succeeded()
    assert health.state(99.0) is DiskState.OK and health.retry_s == RETRY_S[0]


def random_writes(database: RecordDatabase, chance: random.Random) -> None:
    """One write, as a store makes them: a mark only of what was put and not dropped."""
    made = record(f"m{chance.randrange(5)}")
    match chance.randrange(4):
        case 0:
            made.body = chance.randbytes(8)
            database.put(made, 0.0)
        case 1:
            made.epoch = chance.randrange(9)
            database.update(made, 0.0)
        case 2:
            made.merge(MessageState.COMPLETED, "seal", 1, "a", 0)
            database.update(made, 0.0)
        case _:
            database.delete(made.id)


def rows(folder: Path) -> list[Any]:
    with sqlite3.connect(folder / "records.db") as db:
        return db.execute("SELECT id, meta, body FROM records ORDER BY id").fetchall()


@test("writes of a record that wait are combined into one that has the same effect")
def _() -> None:
    chance = random.Random(3)

    async def at_once(work: Callable[[], None]) -> None:
        work()

    for _ in range(60):
        with tempfile.TemporaryDirectory() as name:
            folders = [Path(name) / "one", Path(name) / "many"]
            one, many = [RecordDatabase(f / "records.db", Disk(at_once), lambda: 0.0) for f in folders]
            seed = chance.randrange(1 << 30)
            for database, at_a_time in ((one, 12), (many, 1)):
                draw = random.Random(seed)
                for _ in range(12 // at_a_time):
                    for _ in range(at_a_time):
                        random_writes(database, draw)
                    assert len(list(database.group_commit.pending.records())) <= 5
                    database._commit(database.group_commit.take())
                database.close()
            assert rows(folders[0]) == rows(folders[1])


@test(
    "one sync that fails ({kept} kept): what waited is not done, its writes come first with the next commit"
)
def _(kept: bool = each(False, True)) -> None:
    async def steps(scenario: Scenario) -> None:
        disk = SimulatedDisk(0.001)
        if not kept:
            disk.keeps_unsynced()
        with tempfile.TemporaryDirectory() as name:
            database = RecordDatabase(Path(name) / "records.db", disk.as_disk(), lambda: 0.0)
            database.open()
            told: list[str] = []
            disk.fail(DiskFault.SYNC_FAILS, writes=1)
            database.put(record("m1"), 0.0)
            database.when_durable(lambda: told.append("m1"), lambda: told.append("not m1"))
            await asyncio.sleep(0.05)
            assert told == ["not m1"] and database.health.failing
            ended = record("m1")
            ended.merge(MessageState.COMPLETED, "seal", 1, "a", 0)
            database.update(ended, 0.0)
            database.put(record("m2"), 0.0)
            database.when_durable(lambda: told.append("m2"), lambda: told.append("not m2"))
            assert told == ["not m1", "not m2"]
            await asyncio.sleep(RETRY_S[0])
            assert not database.health.failing and not database.group_commit.pending
            there = {r.id: r.state for r in database.load(0.0)}
            assert there == {"m1": MessageState.COMPLETED, "m2": MessageState.QUEUED}
            database.when_durable(lambda: told.append("m3"))
            await asyncio.sleep(0.05)
            assert told[-1] == "m3"
            database.close()

    assert not play(Plan(1), steps)[1]


@test("a transaction that sqlite itself can't commit is rolled back, and goes in whole once there is room")
def _() -> None:
    async def at_once(work: Callable[[], None]) -> None:
        work()

    with tempfile.TemporaryDirectory() as name:
        database = RecordDatabase(Path(name) / "records.db", Disk(at_once), lambda: 0.0)
        database.open()
        db = database._db
        assert db is not None
        pages = db.execute("PRAGMA page_count").fetchone()[0]
        db.execute(f"PRAGMA max_page_count={pages}")
        for n in range(3):
            made = record(f"m{n}")
            made.body = bytes(9000)
            database.put(made, 0.0)
        writes = database.group_commit.take()
        for _ in range(2):
            with raises(OSError) as full:
                database._commit(writes)
            assert "full" in str(full.raised) and not db.in_transaction and not database.load(0.0)
        db.execute("PRAGMA max_page_count=100000")
        database._commit(writes)
        assert len(database.load(0.0)) == 3
        database.close()


@test("what an earlier life left in the log is in the file itself before the first commit of the next one")
def _() -> None:
    async def at_once(work: Callable[[], None]) -> None:
        work()

    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "records.db"
        log = Path(name) / "records.db-wal"
        first = RecordDatabase(path, Disk(at_once), lambda: 0.0)
        first.put(record("m1"), 0.0)
        first._commit(first.group_commit.take())
        left = path.read_bytes(), log.read_bytes()
        assert left[1]
        first.abandon()
        path.write_bytes(left[0])
        log.write_bytes(left[1])  # as after SIGKILL, which checkpoints nothing
        second = RecordDatabase(path, Disk(at_once), lambda: 0.0)
        second._commit(PendingWrites())
        assert not log.read_bytes() and b"body" in path.read_bytes()
        second.close()


# Whole clusters.


def survived(cluster: SimulatedCluster, starts: int = 1) -> None:
    """No process of a store ended by itself, and all disks are back."""
    for name in STORES:
        node = cluster.nodes[name]
        assert node.up and node.incarnation <= starts, name
        assert disk_state(node) is DiskState.OK, name
        assert not node.control_plane.service.register.disk_failing, name


def assert_none_repeated(cluster: SimulatedCluster) -> None:
    """No message succeeded twice."""
    assert not repeated(cluster), str(repeated(cluster)[:3])


@test("{kind} at one store for {seconds} s under load: every accepted message is completed once")
def _(
    kind: str = each("disk full", "sync fails", "stall", "disk full", "sync fails"),
    seconds: float = each(5.0, 5.0, 3.0, 0.3, 12.0),
) -> None:
    cluster, breaches = play_faults(
        Fault(1.0, FaultKind(kind), "s1", seconds), duration_s=max(8.0, seconds + 3.0)
    )
    assert_nothing_lost(cluster, breaches)
    assert_none_repeated(cluster)
    survived(cluster)
    if kind != "stall":
        assert cluster.nodes["s1"].disk.failed_writes > 0


@test("a disk that needs {sync_s} s for each sync for a while: every accepted message is completed once")
def _(sync_s: float = each(0.03, 0.2, 0.8)) -> None:
    async def steps(scenario: Scenario) -> None:
        cluster = scenario.cluster
        cluster.call_later(4.0, lambda: setattr(cluster.nodes["s1"].disk, "sync_s", sync_s))
        cluster.call_later(10.0, lambda: setattr(cluster.nodes["s1"].disk, "sync_s", 0.001))
        await scenario.run()

    cluster, breaches = play(Plan(8, duration_s=9.0, messages_per_s=30.0, forced_failure_share=0.0), steps)
    assert_nothing_lost(cluster, breaches)
    assert_none_repeated(cluster)
    survived(cluster)


@test("a disk that is full over a restart of its process: it starts, and serves again once there is room")
def _() -> None:
    cluster, breaches = play_faults(
        Fault(1.0, FaultKind.DISK_FULL, "s1", 6.0), Fault(2.5, FaultKind.KILL, "s1", 0.5), duration_s=10.0
    )
    assert_nothing_lost(cluster, breaches)
    survived(cluster, starts=2)


@test("one sync that fails, again and again at each store: nothing is lost, nothing runs again")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        cluster = scenario.cluster

        async def trouble() -> None:
            await asyncio.sleep(6.0)
            for n in range(20):
                cluster.nodes[STORES[n % 3]].disk.fail(DiskFault.SYNC_FAILS, writes=1)
                await asyncio.sleep(0.37)

        task = asyncio.get_running_loop().create_task(trouble())
        await scenario.run()
        await task

    cluster, breaches = play(Plan(9, duration_s=10.0, messages_per_s=30.0, forced_failure_share=0.0), steps)
    assert_nothing_lost(cluster, breaches)
    assert_none_repeated(cluster)
    survived(cluster)
    assert sum(cluster.nodes[name].disk.failed_writes for name in STORES) >= 15


@test("power fails everywhere while {who} full: what was accepted is completed")
def _(
    kind: str = each("disk full", "all disks full"), who: str = each("one disk is", "all disks are")
) -> None:
    cluster, breaches = play_faults(
        Fault(2.0, FaultKind(kind), "s2", 4.0), Fault(3.5, FaultKind.POWER_OFF_ALL, "", 0.8), duration_s=9.0
    )
    assert_nothing_lost(cluster, breaches)
    survived(cluster, starts=2)


async def refused_while_full(scenario: Scenario) -> None:
    """With two of three disks full nobody can have two copies: told so at once, and kept."""
    await scenario.start()
    cluster = scenario.cluster
    for name in ("s0", "s1"):
        cluster.nodes[name].disk.fail(DiskFault.FULL)
    first = await submit_in_turn(scenario, 6)
    assert not [s.id for s in first if s.status == 202 and len(on_disk(cluster, s.id)) < 2]
    assert {s.status for s in first} <= {503, 504}, str([s.status for s in first])
    await asyncio.sleep(1.0)
    told = await submit_in_turn(scenario, 9)
    assert [s.status for s in told] == [503] * 9, str([s.status for s in told])
    assert all(s.answered_at - s.sent_at < 0.1 for s in told)
    for name in ("s0", "s1"):
        cluster.nodes[name].disk.recover()
    await asyncio.sleep(2.0)
    again = await submit(scenario)
    assert again.status == 202 and len(on_disk(cluster, again.id)) >= 2
    await asyncio.sleep(5.0)
    assert successes(cluster, again.id) == 1
    assert not [s.id for s in [*first, *told] if s.status == 503 and s.id in cluster.history.runs]
    survived(cluster)


@test("no 202 while fewer disks than are wanted take a message: 503 at once, a promise that is kept")
def _() -> None:
    assert not play(Plan(40), refused_while_full)[1]


async def waits_while_all_are_full(scenario: Scenario) -> None:
    """What falls due while no disk takes an end runs after that, and once, over a loss of power of all."""
    await scenario.start()
    cluster = scenario.cluster
    sent = await submit_in_turn(scenario, 9, delay_ms=2000)
    assert {s.status for s in sent} == {202}
    for name in STORES:
        cluster.nodes[name].disk.fail(DiskFault.FULL)
        cluster.nodes[name].replicator.local_store.database.write_note("probe", 1)
        cluster.nodes[name].replicator.local_store.database.schedule_commit()
    await asyncio.sleep(4.0)
    assert {disk_state(cluster.nodes[name]) for name in STORES} == {DiskState.FAILING}
    for name in STORES:
        cluster.nodes[name].power_off(0.5)
    await asyncio.sleep(4.0)
    for name in STORES:
        cluster.nodes[name].disk.recover()
    await asyncio.sleep(8.0)
    assert [successes(cluster, s.id) for s in sent] == [1] * 9


@test("while no disk can keep an end nothing is sent, so that nothing runs again after a loss of power")
def _() -> None:
    assert not play(Plan(41), waits_while_all_are_full)[1]


@test("what waits at a store whose disk fails is delivered by others in time, and status tells why")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit_in_turn(scenario, 12, delay_ms=2500)
        owner = cluster.nodes["s0"].replicator.local_store.index.owned_by("s0")
        assert owner
        cluster.nodes["s0"].disk.fail(DiskFault.FULL)
        await submit(scenario)
        await asyncio.sleep(1.2)
        assert not cluster.nodes["s0"].replicator.local_store.index.owned_by("s0")
        lines = find_problems(await collect_reports((cluster.nodes["s1"].host, INNER_PORT)))
        assert "s0: its disk is failing" in lines, str(lines)
        await asyncio.sleep(2.5)
        assert [successes(cluster, s.id) for s in sent] == [1] * 12
        late = [s for s in sent if cluster.history.runs[s.id][0].at > s.sent_at + s.delay_s + 0.8]
        assert not late
        cluster.nodes["s0"].disk.recover()
        await asyncio.sleep(3.0)
        assert not find_problems(await collect_reports((cluster.nodes["s1"].host, INNER_PORT)))

    assert not play(Plan(42), steps)[1]


@test(
    "a first start on a full disk: the process listens, votes not, takes nothing, and joins once there is room"
)
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        cluster = scenario.cluster
        cluster.nodes["s2"].disk.fail(DiskFault.FULL)
        await scenario.start()
        node = cluster.nodes["s2"]
        assert node.up and node.incarnation == 1 and disk_state(node) is DiskState.UNREADABLE
        assert node.control_plane.service.register.record is None
        told = await submit_in_turn(scenario, 6)
        assert [s.status for s in told] == [202] * 6
        lines = find_problems(await collect_reports((cluster.nodes["s0"].host, INNER_PORT)))
        assert "s2: its disk is unreadable" in lines and "s2 gives no vote: its disk" in lines
        node.disk.recover()
        await until(lambda: disk_state(node) is DiskState.OK, 3.0)
        register = node.control_plane.service.register
        await until(lambda: register.record is not None and register.record.state.version > 0, 5.0)
        await until(lambda: any(v.node == "s2" for v in register.state.voters), 15.0)
        assert await scenario.operator.send(9)
        await asyncio.sleep(2.0)
        cluster.nodes["s0"].power_off(60.0)
        await asyncio.sleep(6.0)
        assert await scenario.operator.send(11)
        assert (await submit(scenario, "f1")).status == 202

    assert not play(Plan(43), steps)[1]


@test("while the stores can't read their disks, a message that they have is never said not to exist")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit(scenario, "f0", delay_ms=60_000)
        assert sent.status == 202
        stores = [node for node in cluster.nodes.values() if node.is_store]

        def unreadable(self: RecordDatabase) -> None:
            if cluster.loop.time() < healthy_at:
                raise OSError("unreadable")
            sound(self)

        async def answer(path: str) -> int:
            address = cluster.nodes["f1"].host, FRONT_PORT
            headers = {"Host": cluster.routes[0][1]}
            return (await send_request(address, "GET", f"{path}{sent.id}", b"", headers, 2.0)).status

        sound, healthy_at = RecordDatabase.open, cluster.loop.time() + 10.0
        with planted(RecordDatabase, "open", unreadable):
            for node in stores:
                node.kill(0.1)
            await asyncio.sleep(6.0)
            assert all(node.up and disk_state(node) is DiskState.UNREADABLE for node in stores)
            assert await answer("/api/message/") == 503
            assert await answer("/api/message-body/") == 503
            await asyncio.sleep(7.0)
        assert await answer("/api/message/") == 200
        assert await answer("/api/message-body/") == 200

    assert not play(Plan(45), steps)[1]


@test("what a store held that can't read its disk after a restart is taken over by others")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit_in_turn(scenario, 12, delay_ms=3000)
        node = cluster.nodes["s0"]
        assert node.replicator.local_store.index.owned_by("s0")

        def unreadable(self: RecordDatabase) -> None:
            if self._path.parent == node.folder and cluster.loop.time() < healthy_at:
                raise OSError("unreadable")
            sound(self)

        sound, healthy_at = RecordDatabase.open, cluster.loop.time() + 8.0
        with planted(RecordDatabase, "open", unreadable):
            node.kill(0.1)
            await asyncio.sleep(5.5)
            assert node.up and disk_state(node) is DiskState.UNREADABLE
            assert [successes(cluster, s.id) for s in sent] == [1] * 12
            await asyncio.sleep(6.0)
        assert disk_state(node) is DiskState.OK
        assert [successes(cluster, s.id) for s in sent] == [1] * 12

    assert not play(Plan(44), steps)[1]


@test("a message that is being taken while a disk stalls is not handed over as if it had been accepted")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        for name in ("s1", "s2"):
            cluster.partition("f0", name, 20.0)
        await asyncio.sleep(3.0)
        cluster.nodes["s0"].disk.sync_s = 3.0
        sent = await submit(scenario, "f0")
        await asyncio.sleep(1.0)
        record_here = cluster.nodes["s0"].replicator.local_store.index.records.get(sent.id)
        assert record_here is None or (record_here.owner, record_here.epoch) == ("s0", 1)
        cluster.nodes["s0"].disk.sync_s = 0.001
        await asyncio.sleep(6.0)
        assert successes(cluster, sent.id) <= 1 and (sent.status != 503 or not successes(cluster, sent.id))

    assert not play(Plan(45), steps)[1]


# The voters.


async def voter_without_disk(scenario: Scenario) -> None:
    """A voter whose disk fails promises nothing, the other two decide; without one of them nobody does."""
    await scenario.start()
    cluster = scenario.cluster
    cluster.nodes["s0"].disk.fail(DiskFault.FULL)
    service = cluster.nodes["s0"].control_plane.service

    def voted() -> AcceptorRecord:
        record = service.register.record
        assert record is not None
        return record

    before = voted()
    assert await scenario.operator.send(9)
    await asyncio.sleep(1.0)
    assert voted().state.version == before.state.version
    assert service.register.disk_failing
    on_its_disk = RecordStorage(cluster.nodes["s0"].folder / "control", "s0").load()
    assert on_its_disk is not None and on_its_disk.state.version == before.state.version
    reply = await service.register.handle(
        Prepare(before.state.version + 1, before.state.group, Ballot(99, "p"))
    )
    assert isinstance(reply, Declined) and voted().promised is None
    cluster.nodes["s1"].power_off(4.0)
    assert not await scenario.operator.send(11, attempts=1)
    await asyncio.sleep(5.0)
    cluster.nodes["s0"].disk.recover()
    await until(lambda: not service.register.disk_failing, 2.0)
    await until(lambda: voted().state.revision >= 9, 3.0)
    assert await scenario.operator.send(13)


@test("a voter whose disk fails gives no promise; the other two go on deciding; it votes again once it can")
def _() -> None:
    assert not play(Plan(46), voter_without_disk)[1]


@test("a file of the register that can't be read is no lost disk: no new identity is drawn")
def _() -> None:
    with tempfile.TemporaryDirectory() as name:
        RecordStorage(Path(name), "s0").create(ControlState(version=3), None)
        whole = (Path(name) / IDENTITY_FILE).read_bytes()
        (Path(name) / IDENTITY_FILE).unlink()
        (Path(name) / IDENTITY_FILE).mkdir()
        with raises(OSError):
            RecordStorage(Path(name), "s0").load()
        (Path(name) / IDENTITY_FILE).rmdir()
        (Path(name) / IDENTITY_FILE).write_bytes(whole)
        assert RecordStorage(Path(name), "s0").load() is not None


class FolderModel:
    """A folder whose names last only once it is synced; a sync that failed may have lost them for good.

    After a failed sync a later one vouches only for what was renamed since (Rebello 2020).
    """

    STEPS = ("", "", "write", "file sync", "folder sync")

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self.failing = True
        self._synced: dict[str, bytes] = {}
        self._renamed: list[tuple[str, bytes]] = []  # since the last sync of the folder
        self._doubtful: list[tuple[str, bytes]] = []  # renamed before a sync that failed

    def write(self, path: Path, raw: bytes) -> None:
        """Put a file in place, as `write_synced` does, and fail at a drawn step."""
        step = self._chance.choice(self.STEPS) if self.failing else ""
        if step in ("write", "file sync"):
            raise OSError(step)
        path.write_bytes(raw)
        self._renamed.append((path.name, raw))
        if step == "folder sync":
            self._doubtful, self._renamed = [*self._doubtful, *self._renamed], []
            raise OSError(step)
        self._synced |= dict(self._renamed)
        there = {name for name, _ in self._renamed}
        self._doubtful = [(name, raw) for name, raw in self._doubtful if name not in there]
        self._renamed = []

    def images(self) -> Iterator[dict[str, bytes]]:
        """All that a loss of power may leave now: of each unsynced name the new file, or what was before."""
        unsynced = [*self._doubtful, *self._renamed]
        for kept_names in itertools.product((False, True), repeat=len(unsynced)):
            image = dict(self._synced)
            image.update(item for item, there in zip(unsynced, kept_names, strict=True) if there)
            yield image


def following(record: AcceptorRecord, number: int, chance: random.Random) -> AcceptorRecord:
    """What a voter's record may become next: a later promise, or the next state."""
    if chance.random() < 0.6:
        return replace(record, promised=Ballot(number, "p"))
    state = ControlState(version=record.state.version + 1)
    return replace(record, state=state, promised=None)


def loaded(image: dict[str, bytes]) -> AcceptorRecord | None:
    with tempfile.TemporaryDirectory() as name:
        for file, raw in image.items():
            (Path(name) / file).write_bytes(raw)
        return RecordStorage(Path(name), "s0").load()


def stand_after_loss(seed: int) -> int:
    """How many images were looked at; each has what was kept of the promises, and the identity."""
    chance, count = random.Random(seed), 0
    model = FolderModel(chance)
    with tempfile.TemporaryDirectory() as name:
        storage = RecordStorage(Path(name), "s0", model.write)
        model.failing = False
        current = storage.create(ControlState(), None)
        model.failing = True
        for number in range(1, 12):
            wanted = following(current, number, chance)
            try:
                storage.write(wanted)
                current = wanted  # it was promised
            except OSError:
                pass
            for image in model.images():
                count += 1
                found = loaded(image)
                assert found is not None and found.voter == current.voter, "the identity is gone"
                assert found.state.version >= current.state.version, "a state is gone"
                if found.state.version == current.state.version and current.promised is not None:
                    assert found.promised is not None, "a promise is gone"
                    assert found.promised >= current.promised, "a promise went back"
    return count


@test("whatever is kept of a folder that was not synced, the register has its identity and all its promises")
def _() -> None:
    assert sum(stand_after_loss(seed) for seed in range(60)) > 900


# Faults planted in each rule.


def all_fail(steps: Any, seeds: int = 1) -> bool:
    """Whether the steps notice what was planted."""
    for seed in range(seeds):
        try:
            if play(Plan(40 + seed), steps)[1]:
                return True
        except (AssertionError, TestAssertionFailure):
            return True
    return False


@test("planted: an acknowledgement although the commit failed")
def _() -> None:
    sound = GroupCommit._attempt

    async def attempt(self: GroupCommit, batch: PendingWrites) -> bool:
        await sound(self, batch)
        return True

    def scenario_breaks() -> bool:
        found = set[str]()
        for seed in range(3):
            _, breaches = play_faults(
                Fault(1.0, FaultKind.ALL_DISKS_FULL, "", 3.0),
                Fault(2.0, FaultKind.POWER_OFF_ALL, "", 0.5),
                seed=seed,
            )
            found |= {b.rule for b in breaches}
        return "LOST" in found

    assert not scenario_breaks()
    with planted(GroupCommit, "_attempt", attempt), planted(DiskHealth, "failing", False):
        assert scenario_breaks()


@test("planted: the writes of a commit that failed are forgotten")
def _() -> None:
    def add_all(self: PendingWrites, later: PendingWrites) -> None:
        self._records, self.notes = dict(later.records()), dict(later.notes)

    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit(scenario, delay_ms=60_000)
        await asyncio.sleep(0.5)
        for name in STORES:
            cluster.nodes[name].disk.fail(DiskFault.FULL, writes=1)
            local_store = cluster.nodes[name].replicator.local_store
            found = local_store.index.records.get(sent.id)
            if found is not None:
                local_store.merge(found, MessageState.DEAD_LETTERED, "", found.epoch, found.owner, 0)
        await asyncio.sleep(1.0)
        for name in on_disk(cluster, sent.id):
            stored = cluster.nodes[name].replicator.local_store.database.load(0.0)
            assert [r.state for r in stored if r.id == sent.id] == [MessageState.DEAD_LETTERED]

    assert not all_fail(steps)
    with planted(PendingWrites, "add_all", add_all):
        assert all_fail(steps)


@test("planted: a store that takes messages and copies while its disk fails")
def _() -> None:
    assert not all_fail(refused_while_full)
    with (
        planted(LocalStore, "commits_promptly", lambda self: True),
        planted(DiskReports, "writes", lambda self, node: True),
    ):
        assert all_fail(refused_while_full)


@test("planted: deliveries that begin while their ends can be written nowhere")
def _() -> None:
    assert not all_fail(waits_while_all_are_full)
    with planted(Replicator, "may_send", lambda self: self.ownership.may_deliver()):
        assert all_fail(waits_while_all_are_full)


@test("planted: a promise that was not written")
def _() -> None:
    async def write(self: DurableRecord, record: AcceptorRecord) -> bool:
        return True

    assert not all_fail(voter_without_disk)
    with planted(DurableRecord, "_write", write):
        assert all_fail(voter_without_disk)


@test("planted: a state that counts as kept before it is")
def _() -> None:
    sound = RecordStorage.write

    def write(self: RecordStorage, record: AcceptorRecord) -> None:
        try:
            sound(self, record)
        finally:
            self._state_on_disk = record.state

    def broken() -> bool:
        try:
            for seed in range(60):
                stand_after_loss(seed)
        except (AssertionError, TestAssertionFailure):
            return True
        return False

    assert not broken()
    with planted(RecordStorage, "write", write):
        assert broken()
