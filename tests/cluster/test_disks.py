"""Disks that are full, slow, stalled or fail to sync: the process reports the state and keeps running."""

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
from emberlatch.cluster.message_store import DiskState, LocalStore, MessageStore, RecordDatabase
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
    executed_more_than_once,
    patched_attribute,
    play,
    play_faults,
    record,
    stores_with_durable_copy,
    submit,
    submit_in_turn,
    success_count,
    until,
)

STORES = ("s0", "s1", "s2")


def disk_state(node: SimulatedNode) -> DiskState:
    return node.message_store.local_store.database.health.state(node.environment.loop.time())


# Single components.


@test("the disk's state follows the outcomes of its commits, and the backoff of failed commits grows")
def _() -> None:
    health = DiskHealth()
    assert health.state(0.0) is DiskState.UNREADABLE
    health.mark_readable()
    assert health.state(0.0) is DiskState.OK
    health.commit_started(1.0)
    assert health.state(1.0 + STALLED_S) is DiskState.OK
    assert health.state(1.1 + STALLED_S) is DiskState.STALLED
    backoffs_s = []
    for _ in range(7):
        health.commit_failed()
        assert health.state(99.0) is DiskState.FAILING
        backoffs_s.append(health.retry_s)
    assert backoffs_s == [*RETRY_S, RETRY_S[-1], RETRY_S[-1]] and sorted(backoffs_s) == backoffs_s
    health.commit_succeeded()
    assert health.state(99.0) is DiskState.OK and health.retry_s == RETRY_S[0]


def add_random_write(database: RecordDatabase, rng: random.Random) -> None:
    """Add a random put, update or delete of one of five records."""
    changed = record(f"m{rng.randrange(5)}")
    match rng.randrange(4):
        case 0:
            changed.body = rng.randbytes(8)
            database.put(changed, 0.0)
        case 1:
            changed.epoch = rng.randrange(9)
            database.update(changed, 0.0)
        case 2:
            changed.merge(MessageState.COMPLETED, "seal", 1, "a", 0)
            database.update(changed, 0.0)
        case _:
            database.delete(changed.id)


def rows(folder: Path) -> list[Any]:
    with sqlite3.connect(folder / "records.db") as db:
        return db.execute("SELECT id, meta, body FROM records ORDER BY id").fetchall()


@test("combined pending writes of a record have the same effect as separate commits")
def _() -> None:
    seeds = random.Random(3)

    async def run_inline(work: Callable[[], None]) -> None:
        work()

    for _ in range(60):
        with tempfile.TemporaryDirectory() as name:
            folders = [Path(name) / "one", Path(name) / "many"]
            one, many = [RecordDatabase(f / "records.db", Disk(run_inline), lambda: 0.0) for f in folders]
            seed = seeds.randrange(1 << 30)
            for database, group_size in ((one, 12), (many, 1)):
                rng = random.Random(seed)
                for _ in range(12 // group_size):
                    for _ in range(group_size):
                        add_random_write(database, rng)
                    assert len(list(database.group_commit.pending.records())) <= 5
                    database._commit(database.group_commit.take())
                database.close()
            assert rows(folders[0]) == rows(folders[1])


@test(
    "after one failed sync (unsynced data kept: {kept}) callers are notified, and its writes come first next"
)
def _(kept: bool = each(False, True)) -> None:
    async def steps(scenario: Scenario) -> None:
        disk = SimulatedDisk(0.001)
        if not kept:
            disk.keeps_unsynced()
        with tempfile.TemporaryDirectory() as name:
            database = RecordDatabase(Path(name) / "records.db", disk.as_disk(), lambda: 0.0)
            database.open()
            outcomes: list[str] = []
            disk.fail(DiskFault.SYNC_FAILS, writes=1)
            database.put(record("m1"), 0.0)
            database.when_durable(lambda: outcomes.append("m1"), lambda: outcomes.append("not m1"))
            await asyncio.sleep(0.05)
            assert outcomes == ["not m1"] and database.health.failing
            ended = record("m1")
            ended.merge(MessageState.COMPLETED, "seal", 1, "a", 0)
            database.update(ended, 0.0)
            database.put(record("m2"), 0.0)
            database.when_durable(lambda: outcomes.append("m2"), lambda: outcomes.append("not m2"))
            assert outcomes == ["not m1", "not m2"]
            await asyncio.sleep(RETRY_S[0])
            assert not database.health.failing and not database.group_commit.pending
            states = {r.id: r.state for r in database.load(0.0)}
            assert states == {"m1": MessageState.COMPLETED, "m2": MessageState.QUEUED}
            database.when_durable(lambda: outcomes.append("m3"))
            await asyncio.sleep(0.05)
            assert outcomes[-1] == "m3"
            database.close()

    assert not play(Plan(1), steps)[1]


@test("a transaction that sqlite can't commit is rolled back, and commits completely once there is space")
def _() -> None:
    async def run_inline(work: Callable[[], None]) -> None:
        work()

    with tempfile.TemporaryDirectory() as name:
        database = RecordDatabase(Path(name) / "records.db", Disk(run_inline), lambda: 0.0)
        database.open()
        db = database._db
        assert db is not None
        pages = db.execute("PRAGMA page_count").fetchone()[0]
        db.execute(f"PRAGMA max_page_count={pages}")
        for n in range(3):
            large = record(f"m{n}")
            large.body = bytes(9000)
            database.put(large, 0.0)
        writes = database.group_commit.take()
        for _ in range(2):
            with raises(OSError) as full:
                database._commit(writes)
            assert "full" in str(full.raised) and not db.in_transaction and not database.load(0.0)
        db.execute("PRAGMA max_page_count=100000")
        database._commit(writes)
        assert len(database.load(0.0)) == 3
        database.close()


@test("the write-ahead log of an earlier incarnation is moved into the file before the first commit")
def _() -> None:
    async def run_inline(work: Callable[[], None]) -> None:
        work()

    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "records.db"
        log = Path(name) / "records.db-wal"
        first = RecordDatabase(path, Disk(run_inline), lambda: 0.0)
        first.put(record("m1"), 0.0)
        first._commit(first.group_commit.take())
        contents = path.read_bytes(), log.read_bytes()
        assert contents[1]
        first.close_without_commit()
        path.write_bytes(contents[0])
        log.write_bytes(contents[1])  # the files as after SIGKILL, without a checkpoint
        second = RecordDatabase(path, Disk(run_inline), lambda: 0.0)
        second._commit(PendingWrites())
        assert not log.read_bytes() and b"body" in path.read_bytes()
        second.close()


# Complete clusters.


def assert_stores_recovered(cluster: SimulatedCluster, starts: int = 1) -> None:
    """Assert that no store's process ended unexpectedly, and that all disks have recovered."""
    for name in STORES:
        node = cluster.nodes[name]
        assert node.up and node.incarnation <= starts, name
        assert disk_state(node) is DiskState.OK, name
        assert not node.control_plane.service.register.disk_failing, name


def assert_no_repeated_success(cluster: SimulatedCluster) -> None:
    """Assert that no message succeeded twice."""
    assert not executed_more_than_once(cluster), str(executed_more_than_once(cluster)[:3])


@test("{kind} at one store for {seconds} s under load: every accepted message is completed once")
def _(
    kind: str = each("disk full", "sync fails", "stall", "disk full", "sync fails"),
    seconds: float = each(5.0, 5.0, 3.0, 0.3, 12.0),
) -> None:
    cluster, breaches = play_faults(
        Fault(1.0, FaultKind(kind), "s1", seconds), duration_s=max(8.0, seconds + 3.0)
    )
    assert_nothing_lost(cluster, breaches)
    assert_no_repeated_success(cluster)
    assert_stores_recovered(cluster)
    if kind != "stall":
        assert cluster.nodes["s1"].disk.failed_writes > 0


@test("one disk temporarily needs {sync_s} s for each sync: every accepted message is completed once")
def _(sync_s: float = each(0.03, 0.2, 0.8)) -> None:
    async def steps(scenario: Scenario) -> None:
        cluster = scenario.cluster
        cluster.call_later(4.0, lambda: setattr(cluster.nodes["s1"].disk, "sync_s", sync_s))
        cluster.call_later(10.0, lambda: setattr(cluster.nodes["s1"].disk, "sync_s", 0.001))
        await scenario.run()

    cluster, breaches = play(Plan(8, duration_s=9.0, messages_per_s=30.0, forced_failure_share=0.0), steps)
    assert_nothing_lost(cluster, breaches)
    assert_no_repeated_success(cluster)
    assert_stores_recovered(cluster)


@test("a process that restarts on a full disk starts, and serves again once there is space")
def _() -> None:
    cluster, breaches = play_faults(
        Fault(1.0, FaultKind.DISK_FULL, "s1", 6.0), Fault(2.5, FaultKind.KILL, "s1", 0.5), duration_s=10.0
    )
    assert_nothing_lost(cluster, breaches)
    assert_stores_recovered(cluster, starts=2)


@test("repeated single sync failures at each store lose no message and repeat none")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        cluster = scenario.cluster

        async def inject_faults() -> None:
            await asyncio.sleep(6.0)
            for n in range(20):
                cluster.nodes[STORES[n % 3]].disk.fail(DiskFault.SYNC_FAILS, writes=1)
                await asyncio.sleep(0.37)

        task = asyncio.get_running_loop().create_task(inject_faults())
        await scenario.run()
        await task

    cluster, breaches = play(Plan(9, duration_s=10.0, messages_per_s=30.0, forced_failure_share=0.0), steps)
    assert_nothing_lost(cluster, breaches)
    assert_no_repeated_success(cluster)
    assert_stores_recovered(cluster)
    assert sum(cluster.nodes[name].disk.failed_writes for name in STORES) >= 15


@test("a loss of power everywhere while {who} full: every accepted message is completed")
def _(
    kind: str = each("disk full", "all disks full"), who: str = each("one disk is", "all disks are")
) -> None:
    cluster, breaches = play_faults(
        Fault(2.0, FaultKind(kind), "s2", 4.0), Fault(3.5, FaultKind.POWER_OFF_ALL, "", 0.8), duration_s=9.0
    )
    assert_nothing_lost(cluster, breaches)
    assert_stores_recovered(cluster, starts=2)


async def check_refusals_while_disks_full(scenario: Scenario) -> None:
    """With two of three disks full no message can have two copies: it is refused at once and never runs."""
    await scenario.start()
    cluster = scenario.cluster
    for name in ("s0", "s1"):
        cluster.nodes[name].disk.fail(DiskFault.FULL)
    first = await submit_in_turn(scenario, 6)
    assert not [s.id for s in first if s.status == 202 and len(stores_with_durable_copy(cluster, s.id)) < 2]
    assert {s.status for s in first} <= {503, 504}, str([s.status for s in first])
    await asyncio.sleep(1.0)
    refused = await submit_in_turn(scenario, 9)
    assert [s.status for s in refused] == [503] * 9, str([s.status for s in refused])
    assert all(s.answered_at - s.sent_at < 0.1 for s in refused)
    for name in ("s0", "s1"):
        cluster.nodes[name].disk.recover()
    await asyncio.sleep(2.0)
    later = await submit(scenario)
    assert later.status == 202 and len(stores_with_durable_copy(cluster, later.id)) >= 2
    await asyncio.sleep(5.0)
    assert success_count(cluster, later.id) == 1
    assert not [s.id for s in [*first, *refused] if s.status == 503 and s.id in cluster.history.runs]
    assert_stores_recovered(cluster)


@test("with too few writable disks, messages get 503 at once and never run")
def _() -> None:
    assert not play(Plan(40), check_refusals_while_disks_full)[1]


async def check_deliveries_wait_while_disks_full(scenario: Scenario) -> None:
    """Messages that fall due while all disks are full run once, after a loss of power and the recovery."""
    await scenario.start()
    cluster = scenario.cluster
    sent = await submit_in_turn(scenario, 9, delay_ms=2000)
    assert {s.status for s in sent} == {202}
    for name in STORES:
        cluster.nodes[name].disk.fail(DiskFault.FULL)
        cluster.nodes[name].message_store.local_store.database.write_note("probe", 1)
        cluster.nodes[name].message_store.local_store.database.schedule_commit()
    await asyncio.sleep(4.0)
    assert {disk_state(cluster.nodes[name]) for name in STORES} == {DiskState.FAILING}
    for name in STORES:
        cluster.nodes[name].power_off(0.5)
    await asyncio.sleep(4.0)
    for name in STORES:
        cluster.nodes[name].disk.recover()
    await asyncio.sleep(8.0)
    assert [success_count(cluster, s.id) for s in sent] == [1] * 9


@test("while no disk accepts outcomes nothing is sent, so that no message repeats after a loss of power")
def _() -> None:
    assert not play(Plan(41), check_deliveries_wait_while_disks_full)[1]


@test(
    "messages waiting at a store with a failing disk are delivered by others in time; status names the disk"
)
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit_in_turn(scenario, 12, delay_ms=2500)
        owned = cluster.nodes["s0"].message_store.local_store.index.owned_by("s0")
        assert owned
        cluster.nodes["s0"].disk.fail(DiskFault.FULL)
        await submit(scenario)
        await asyncio.sleep(1.2)
        assert not cluster.nodes["s0"].message_store.local_store.index.owned_by("s0")
        lines = find_problems(await collect_reports((cluster.nodes["s1"].host, INNER_PORT)))
        assert "s0: its disk is failing" in lines, str(lines)
        await asyncio.sleep(2.5)
        assert [success_count(cluster, s.id) for s in sent] == [1] * 12
        late = [s for s in sent if cluster.history.runs[s.id][0].at > s.sent_at + s.delay_s + 0.8]
        assert not late
        cluster.nodes["s0"].disk.recover()
        await asyncio.sleep(3.0)
        assert not find_problems(await collect_reports((cluster.nodes["s1"].host, INNER_PORT)))

    assert not play(Plan(42), steps)[1]


@test(
    "a process first started on a full disk listens but neither votes nor stores, and joins once there is space"
)
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        cluster = scenario.cluster
        cluster.nodes["s2"].disk.fail(DiskFault.FULL)
        await scenario.start()
        node = cluster.nodes["s2"]
        assert node.up and node.incarnation == 1 and disk_state(node) is DiskState.UNREADABLE
        assert node.control_plane.service.register.record is None
        accepted = await submit_in_turn(scenario, 6)
        assert [s.status for s in accepted] == [202] * 6
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


@test("while the stores can't read their disks, queries for a stored message get 503 and not 404")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit(scenario, "f0", delay_ms=60_000)
        assert sent.status == 202
        stores = [node for node in cluster.nodes.values() if node.is_store]

        def unreadable(self: RecordDatabase) -> None:
            if cluster.loop.time() < healthy_at:
                raise OSError("injected: disk unreadable")
            original_open(self)

        async def query_status(path: str) -> int:
            address = cluster.nodes["f1"].host, FRONT_PORT
            headers = {"Host": cluster.routes[0][1]}
            return (await send_request(address, "GET", f"{path}{sent.id}", b"", headers, 2.0)).status

        original_open, healthy_at = RecordDatabase.open, cluster.loop.time() + 10.0
        with patched_attribute(RecordDatabase, "open", unreadable):
            for node in stores:
                node.kill(0.1)
            await asyncio.sleep(6.0)
            assert all(node.up and disk_state(node) is DiskState.UNREADABLE for node in stores)
            assert await query_status("/api/message/") == 503
            assert await query_status("/api/message-body/") == 503
            await asyncio.sleep(7.0)
        assert await query_status("/api/message/") == 200
        assert await query_status("/api/message-body/") == 200

    assert not play(Plan(45), steps)[1]


@test("messages of a store that can't read its disk after a restart are taken over by others")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit_in_turn(scenario, 12, delay_ms=3000)
        node = cluster.nodes["s0"]
        assert node.message_store.local_store.index.owned_by("s0")

        def unreadable(self: RecordDatabase) -> None:
            if self._path.parent == node.folder and cluster.loop.time() < healthy_at:
                raise OSError("injected: disk unreadable")
            original_open(self)

        original_open, healthy_at = RecordDatabase.open, cluster.loop.time() + 8.0
        with patched_attribute(RecordDatabase, "open", unreadable):
            node.kill(0.1)
            await asyncio.sleep(5.5)
            assert node.up and disk_state(node) is DiskState.UNREADABLE
            assert [success_count(cluster, s.id) for s in sent] == [1] * 12
            await asyncio.sleep(6.0)
        assert disk_state(node) is DiskState.OK
        assert [success_count(cluster, s.id) for s in sent] == [1] * 12

    assert not play(Plan(44), steps)[1]


@test("a message that is still being accepted when the disk stalls is not handed over")
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
        known = cluster.nodes["s0"].message_store.local_store.index.records.get(sent.id)
        assert known is None or (known.owner, known.epoch) == ("s0", 1)
        cluster.nodes["s0"].disk.sync_s = 0.001
        await asyncio.sleep(6.0)
        assert success_count(cluster, sent.id) <= 1 and (
            sent.status != 503 or not success_count(cluster, sent.id)
        )

    assert not play(Plan(45), steps)[1]


# Voters.


async def check_voter_with_failing_disk(scenario: Scenario) -> None:
    """A voter whose disk fails gives no promise: the other two decide, but neither decides alone."""
    await scenario.start()
    cluster = scenario.cluster
    cluster.nodes["s0"].disk.fail(DiskFault.FULL)
    service = cluster.nodes["s0"].control_plane.service

    def current_record() -> AcceptorRecord:
        record = service.register.record
        assert record is not None
        return record

    before = current_record()
    assert await scenario.operator.send(9)
    await asyncio.sleep(1.0)
    assert current_record().state.version == before.state.version
    assert service.register.disk_failing
    stored = RecordStorage(cluster.nodes["s0"].folder / "control", "s0").load()
    assert stored is not None and stored.state.version == before.state.version
    reply = await service.register.handle(
        Prepare(before.state.version + 1, before.state.group, Ballot(99, "p"))
    )
    assert isinstance(reply, Declined) and current_record().promised is None
    cluster.nodes["s1"].power_off(4.0)
    assert not await scenario.operator.send(11, attempts=1)
    await asyncio.sleep(5.0)
    cluster.nodes["s0"].disk.recover()
    await until(lambda: not service.register.disk_failing, 2.0)
    await until(lambda: current_record().state.revision >= 9, 3.0)
    assert await scenario.operator.send(13)


@test("a voter whose disk fails gives no promise while the other two decide, and votes again after recovery")
def _() -> None:
    assert not play(Plan(46), check_voter_with_failing_disk)[1]


@test("an unreadable identity file raises OSError instead of creating a new identity")
def _() -> None:
    with tempfile.TemporaryDirectory() as name:
        RecordStorage(Path(name), "s0").create(ControlState(version=3), None)
        identity = (Path(name) / IDENTITY_FILE).read_bytes()
        (Path(name) / IDENTITY_FILE).unlink()
        (Path(name) / IDENTITY_FILE).mkdir()
        with raises(OSError):
            RecordStorage(Path(name), "s0").load()
        (Path(name) / IDENTITY_FILE).rmdir()
        (Path(name) / IDENTITY_FILE).write_bytes(identity)
        assert RecordStorage(Path(name), "s0").load() is not None


class FolderModel:
    """Models a folder whose renames are durable only after a sync of the folder.

    After a failed sync, a later sync makes only those renames durable that came after the failed one. Earlier
    renames may be lost (Rebello 2020).
    """

    STEPS = ("", "", "write", "file sync", "folder sync")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.failing = True
        self._synced: dict[str, bytes] = {}
        self._renamed: list[tuple[str, bytes]] = []  # renamed since the last sync of the folder
        self._doubtful: list[tuple[str, bytes]] = []  # renamed before a sync that failed

    def write(self, path: Path, raw: bytes) -> None:
        """Replace a file in the steps of `write_synced`, and fail at a randomly chosen step."""
        step = self._rng.choice(self.STEPS) if self.failing else ""
        if step in ("write", "file sync"):
            raise OSError(step)
        path.write_bytes(raw)
        self._renamed.append((path.name, raw))
        if step == "folder sync":
            self._doubtful, self._renamed = [*self._doubtful, *self._renamed], []
            raise OSError(step)
        self._synced |= dict(self._renamed)
        renamed = {name for name, _ in self._renamed}
        self._doubtful = [(name, raw) for name, raw in self._doubtful if name not in renamed]
        self._renamed = []

    def images(self) -> Iterator[dict[str, bytes]]:
        """Yield each possible folder after a loss of power: every unsynced rename is either kept or lost."""
        unsynced = [*self._doubtful, *self._renamed]
        for kept_renames in itertools.product((False, True), repeat=len(unsynced)):
            image = dict(self._synced)
            image.update(item for item, kept in zip(unsynced, kept_renames, strict=True) if kept)
            yield image


def next_record(record: AcceptorRecord, number: int, rng: random.Random) -> AcceptorRecord:
    """Return a random successor of a voter's record: a later promise, or the next state."""
    if rng.random() < 0.6:
        return replace(record, promised=Ballot(number, "p"))
    state = ControlState(version=record.state.version + 1)
    return replace(record, state=state, promised=None)


def load_image(image: dict[str, bytes]) -> AcceptorRecord | None:
    with tempfile.TemporaryDirectory() as name:
        for file, raw in image.items():
            (Path(name) / file).write_bytes(raw)
        return RecordStorage(Path(name), "s0").load()


def count_checked_images(seed: int) -> int:
    """Check identity and promises in each folder that a loss of power may leave; return their number."""
    rng, count = random.Random(seed), 0
    model = FolderModel(rng)
    with tempfile.TemporaryDirectory() as name:
        storage = RecordStorage(Path(name), "s0", model.write)
        model.failing = False
        current = storage.create(ControlState(), None)
        model.failing = True
        for number in range(1, 12):
            successor = next_record(current, number, rng)
            try:
                storage.write(successor)
                current = successor  # from here on the promise counts as given
            except OSError:
                pass
            for image in model.images():
                count += 1
                found = load_image(image)
                assert found is not None and found.voter == current.voter, (
                    f"seed {seed}: got {found}, expected voter {current.voter}"
                )
                assert found.state.version >= current.state.version, (
                    f"seed {seed}: got version {found.state.version}, expected at least {current.state.version}"
                )
                if found.state.version == current.state.version and current.promised is not None:
                    assert found.promised is not None, (
                        f"seed {seed}: got no promise, expected at least {current.promised}"
                    )
                    assert found.promised >= current.promised, (
                        f"seed {seed}: got promise {found.promised}, expected at least {current.promised}"
                    )
    return count


@test("whichever unsynced renames a loss of power keeps, the voter has its identity and all its promises")
def _() -> None:
    assert sum(count_checked_images(seed) for seed in range(60)) > 900


# Faults planted in the code, each of which the tests must detect.


def detects_fault(steps: Any, seeds: int = 1) -> bool:
    """Return whether the steps fail or break a rule for at least one of the seeds."""
    for seed in range(seeds):
        try:
            if play(Plan(40 + seed), steps)[1]:
                return True
        except (AssertionError, TestAssertionFailure):
            return True
    return False


@test("planted: acknowledging writes whose commit failed loses messages")
def _() -> None:
    original = GroupCommit._attempt

    async def attempt(self: GroupCommit, batch: PendingWrites) -> bool:
        await original(self, batch)
        return True

    def loses_messages() -> bool:
        found = set[str]()
        for seed in range(3):
            _, breaches = play_faults(
                Fault(1.0, FaultKind.ALL_DISKS_FULL, "", 3.0),
                Fault(2.0, FaultKind.POWER_OFF_ALL, "", 0.5),
                seed=seed,
            )
            found |= {b.rule for b in breaches}
        return "LOST" in found

    assert not loses_messages()
    with patched_attribute(GroupCommit, "_attempt", attempt), patched_attribute(DiskHealth, "failing", False):
        assert loses_messages()


@test("planted: dropping the writes of a failed commit is detected")
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
            local_store = cluster.nodes[name].message_store.local_store
            found = local_store.index.records.get(sent.id)
            if found is not None:
                local_store.merge(found, MessageState.DEAD_LETTERED, "", found.epoch, found.owner, 0)
        await asyncio.sleep(1.0)
        for name in stores_with_durable_copy(cluster, sent.id):
            stored = cluster.nodes[name].message_store.local_store.database.load(0.0)
            assert [r.state for r in stored if r.id == sent.id] == [MessageState.DEAD_LETTERED]

    assert not detects_fault(steps)
    with patched_attribute(PendingWrites, "add_all", add_all):
        assert detects_fault(steps)


@test("planted: accepting messages and copies while the disk fails is detected")
def _() -> None:
    assert not detects_fault(check_refusals_while_disks_full)
    with (
        patched_attribute(LocalStore, "commits_promptly", lambda self: True),
        patched_attribute(DiskReports, "is_writable", lambda self, node: True),
    ):
        assert detects_fault(check_refusals_while_disks_full)


@test("planted: starting deliveries while no disk accepts their outcomes is detected")
def _() -> None:
    assert not detects_fault(check_deliveries_wait_while_disks_full)
    with patched_attribute(MessageStore, "may_start_deliveries", lambda self: self.ownership.may_deliver()):
        assert detects_fault(check_deliveries_wait_while_disks_full)


@test("planted: giving a promise that was not written is detected")
def _() -> None:
    async def write(self: DurableRecord, record: AcceptorRecord) -> bool:
        return True

    assert not detects_fault(check_voter_with_failing_disk)
    with patched_attribute(DurableRecord, "_write", write):
        assert detects_fault(check_voter_with_failing_disk)


@test("planted: treating a state as stored although its write failed is detected")
def _() -> None:
    original = RecordStorage.write

    def write(self: RecordStorage, record: AcceptorRecord) -> None:
        try:
            original(self, record)
        finally:
            self._state_on_disk = record.state

    def detects_loss() -> bool:
        try:
            for seed in range(60):
                count_checked_images(seed)
        except (AssertionError, TestAssertionFailure):
            return True
        return False

    assert not detects_loss()
    with patched_attribute(RecordStorage, "write", write):
        assert detects_loss()
