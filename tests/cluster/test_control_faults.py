"""Control API and control state under partitions, concurrent changes and losses of disks.

These tests guard against failures that were observed before the control state was replicated by consensus.
"""

from __future__ import annotations

import asyncio
import json

from ward import each, test

from emberlatch.cluster.consensus import AcceptorRecord, ControlState, Voter
from emberlatch.cluster.consensus.storage import RecordStorage
from emberlatch.cluster.control_plane import CONTROL_FOLDER
from emberlatch.net.http_connection import NoResponseError
from emberlatch.simulation.http_client import send_request
from emberlatch.simulation.node import CONTROL_PORT
from emberlatch.simulation.scenario import Scenario
from tests.cluster.support import Plan, play, submit, success_count, until

REPLACE = "/api/configuration/replace"
RETRIEVE = "/api/configuration/retrieve"


async def call(scenario: Scenario, node: str, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """Call one machine; returns status 0 if there is no answer within one second."""
    address = scenario.cluster.nodes[node].host, CONTROL_PORT
    try:
        answer = await send_request(address, method, path, body, {"Host": "c"}, 1.0)
    except (OSError, NoResponseError, TimeoutError):
        return 0, b""
    return answer.status, bytes(answer.body)


async def send_until_clear(scenario: Scenario, nodes: list[str], body: bytes, attempts: int = 12) -> int:
    """Send a text to one machine after the other until an answer other than 503 comes; return its status.

    Returns 0 if there is no such answer in `attempts` attempts.
    """
    for attempt in range(attempts):
        status, _ = await call(scenario, nodes[attempt % len(nodes)], "POST", REPLACE, body)
        if status not in (0, 503):
            return status
        await asyncio.sleep(0.1)
    return 0


def partition(scenario: Scenario, side_a: list[str], side_b: list[str], seconds: float) -> None:
    """Cut all links between the machines of two sides."""
    for node_a in side_a:
        for node_b in side_b:
            scenario.cluster.partition(node_a, node_b, seconds)


def witnesses(scenario: Scenario, store: str) -> tuple[Voter, ...]:
    """The voters without a disk in the state that a store knows."""
    program = scenario.cluster.nodes[store].program
    assert program is not None and program.control is not None
    return program.control.service.state.witnesses


def active_configurations(scenario: Scenario) -> set[bytes]:
    programs = [
        node.program for node in scenario.cluster.nodes.values() if node.up and node.program is not None
    ]
    return {
        p.active_configuration.current.raw for p in programs if p.active_configuration.current is not None
    }


def delivering_nodes(scenario: Scenario, nodes: list[str]) -> list[str]:
    """Return those of these machines that consider themselves permitted to own and deliver messages."""
    delivering = []
    for name in nodes:
        program = scenario.cluster.nodes[name].program
        assert program is not None and program.message_store is not None
        if program.message_store.ownership.may_deliver():
            delivering.append(name)
    return delivering


@test("of two texts of one revision, sent to both sides of a partition, one is confirmed and stays: {stores}")
def _(stores: int = each(3, 5, 6, 9), smaller_side: int = each(1, 2, 2, 3)) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        names = [f"s{n}" for n in range(stores)]
        side_a, side_b = names[:smaller_side], names[smaller_side:]
        partition(scenario, side_a, side_b, 6.0)
        await asyncio.sleep(2.0)
        first, second = cluster.configuration_body(50, 700), cluster.configuration_body(50, 900)
        statuses = await asyncio.gather(
            send_until_clear(scenario, side_a, first, 3), send_until_clear(scenario, side_b, second, 12)
        )
        assert list(statuses).count(200) <= 1, statuses
        await asyncio.sleep(8.0)
        assert 200 in [await send_until_clear(scenario, names, text) for text in (first, second)], (
            "neither configuration was confirmed after the end of the partition"
        )
        confirmed = [text for text in (first, second) if await send_until_clear(scenario, names, text) == 200]
        assert len(confirmed) == 1
        if 200 in statuses:
            assert confirmed == [(first, second)[statuses.index(200)]]
        await until(lambda: active_configurations(scenario) == set(confirmed), 4.0)

    play(Plan(51, stores=stores, tolerated_losses=1 if stores < 5 else 2), steps)


@test("two operators submit one revision at once: one text is confirmed and stays, the other gets a conflict")
def _() -> None:
    for seed in range(5):

        async def steps(scenario: Scenario) -> None:
            await scenario.start()
            cluster = scenario.cluster
            bodies = [cluster.configuration_body(50, nominal) for nominal in (700, 900)]
            answers = await asyncio.gather(
                call(scenario, "s0", "POST", REPLACE, bodies[0]),
                call(scenario, "s2", "POST", REPLACE, bodies[1]),
            )
            assert sorted(status for status, _ in answers) == [200, 409], answers
            winner = [status for status, _ in answers].index(200)
            await asyncio.sleep(1.5)
            assert active_configurations(scenario) == {bodies[winner]}
            conflict = json.loads(answers[1 - winner][1])
            assert "digest" in json.dumps(conflict)
            for node in ("s0", "s1", "s2"):  # a repeated request gets the same answer from any machine
                assert (await call(scenario, node, "POST", REPLACE, bodies[winner]))[0] == 200
                assert (await call(scenario, node, "POST", REPLACE, bodies[1 - winner]))[0] == 409

        play(Plan(60 + seed), steps)


@test("two removed stores return during a partition: both sides never deliver at once ({losses} tolerated)")
def _(losses: int = each(1, 2)) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        for name in ("s3", "s4"):
            cluster.nodes[name].power_off(9.0)
        await asyncio.sleep(8.9)
        partition(scenario, ["s0", "s1"], ["s2", "s3", "s4"], 14.0)
        began = cluster.loop.time()
        overlap_s = 0.0
        while cluster.loop.time() - began < 13.0:
            await asyncio.sleep(0.1)
            both_sides = delivering_nodes(scenario, ["s0", "s1"]) and delivering_nodes(
                scenario, ["s2", "s3", "s4"]
            )
            if both_sides and cluster.loop.time() - began > 1.6:  # the partition is detected by then
                overlap_s += 0.1
        assert overlap_s == 0.0, f"both sides could deliver for {overlap_s:.1f} s"

    play(Plan(52, stores=5, tolerated_losses=losses), steps)


@test("an isolated machine answers each control call with 503 at once, and catches up after twenty seconds")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        partition(scenario, ["s0"], ["s1", "s2"], 20.0)
        await asyncio.sleep(1.6)
        assert await send_until_clear(scenario, ["s1", "s2"], cluster.configuration_body(9, 700)) == 200
        until_s = cluster.loop.time() + 17.0
        while cluster.loop.time() < until_s:
            asked_at = cluster.loop.time()
            for method, path, body in (
                ("GET", RETRIEVE, b""),
                ("POST", REPLACE, cluster.configuration_body(11, 800)),
                ("POST", "/api/retire/s2/initiate", b'{"period_s":5}'),
                ("GET", "/api/retire/s2/retrieve", b""),
            ):
                status, _ = await call(scenario, "s0", method, path, body)
                assert status == 503, (path, status)
            assert cluster.loop.time() - asked_at < 0.1, (
                f"four calls took {cluster.loop.time() - asked_at:.3f} s, expected less than 0.1 s"
            )
            await asyncio.sleep(1.0)
        await asyncio.sleep(3.0)
        status, raw = await call(scenario, "s0", "GET", RETRIEVE)
        assert status == 200 and json.loads(raw)["revision"] == 9

    play(Plan(53), steps)


@test("one of the two stores that remain after a decommission loses its disk: changes are still decided")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        assert (await call(scenario, "s0", "POST", "/api/retire/s1/initiate", b'{"period_s":5}'))[0] == 200
        for _ in range(60):
            status, body = await call(scenario, "s0", "GET", "/api/retire/s1/retrieve")
            if b"completed" in body:
                break
            await asyncio.sleep(0.1)
        assert b"completed" in body, (status, body)
        cluster.nodes["s1"].power_off(1e6, wipe=True)
        cluster.nodes["s2"].power_off(1.0, wipe=True)
        await asyncio.sleep(4.5)
        assert await send_until_clear(scenario, ["s0", "s2"], cluster.configuration_body(9, 700)) == 200
        status, raw = await call(scenario, "s2", "GET", RETRIEVE)
        assert status == 200 and json.loads(raw)["revision"] == 9

    play(Plan(54), steps)


async def decommission(scenario: Scenario, store: str) -> None:
    """Order that a store be emptied, wait until it is, and take it away with its disk."""
    cluster = scenario.cluster
    others = [name for name, node in cluster.nodes.items() if node.is_store and name != store]
    path = f"/api/retire/{store}"
    assert (await call(scenario, others[0], "POST", f"{path}/initiate", b'{"period_s":5}'))[0] == 200
    until_s = cluster.loop.time() + 8.0
    while b"completed" not in (await call(scenario, others[0], "GET", f"{path}/retrieve"))[1]:
        assert cluster.loop.time() < until_s, f"{store} is not empty after 8 s"
        await asyncio.sleep(0.1)
    cluster.nodes[store].power_off(1e6, wipe=True)


# Guards against: a group of two voters loses one for good under its name; the other has no majority, so nothing is
# decided or delivered any more, while messages are accepted (review, case 4).
@test(
    "after a decommission a store is lost for good and replaced: {lost}; the service goes on with the new one"
)
def _(lost: str = each("s0", "s2")) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        survivor = "s2" if lost == "s0" else "s0"
        await decommission(scenario, "s1")
        await asyncio.sleep(10.0)
        cluster.nodes[lost].power_off(1e6, wipe=True)
        await asyncio.sleep(2.0)
        cluster.add_store("s9", cluster.nodes[lost].zone)
        await asyncio.sleep(12.0)
        body = cluster.configuration_body(9, 700)
        assert await send_until_clear(scenario, [survivor, "s9"], body) == 200
        status, raw = await call(scenario, "s9", "GET", RETRIEVE)
        assert status == 200 and json.loads(raw)["revision"] == 9
        sent = [await submit(scenario, f"f{n % 3}") for n in range(12)]
        assert all(one.status == 202 for one in sent)
        await until(lambda: all(success_count(cluster, one.id) == 1 for one in sent), 5.0)

    play(Plan(58), steps)


# Guards against: the witness restarts while a lost store has no successor yet, and the survivor has no majority.
@test("a witness restarts after a store is lost for good: the service goes on once an empty store comes")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        await decommission(scenario, "s1")
        await until(lambda: len(witnesses(scenario, "s2")) == 1, 3.0)
        cluster.nodes["s0"].power_off(1e6, wipe=True)
        await asyncio.sleep(5.0)
        for front in ("f0", "f1", "f2"):
            cluster.nodes[front].kill()
        await asyncio.sleep(4.0)
        cluster.add_store("s9", "z0")
        await asyncio.sleep(4.0)
        body = cluster.configuration_body(9, 700)
        assert await send_until_clear(scenario, ["s2", "s9"], body) == 200
        sent = [await submit(scenario, f"f{n % 3}") for n in range(6)]
        await until(lambda: all(success_count(cluster, one.id) == 1 for one in sent), 5.0)

    play(Plan(59), steps)


# Guards against: a store is lost for good while forwarders are restarted one after the other, the witness among them.
@test("a witness that is shut down beside a store lost for good is replaced before it ends")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        await decommission(scenario, "s1")
        await until(lambda: len(witnesses(scenario, "s2")) == 1, 3.0)
        (witness,) = witnesses(scenario, "s2")
        cluster.nodes["s0"].power_off(1e6, wipe=True)
        cluster.nodes[witness.node].terminate()
        await asyncio.sleep(7.0)
        assert witness not in witnesses(scenario, "s2")
        cluster.add_store("s9", "z0")
        await asyncio.sleep(4.0)
        assert await send_until_clear(scenario, ["s2", "s9"], cluster.configuration_body(9, 700)) == 200

    play(Plan(61), steps)


# Guards against: a forwarder that was shut down as a witness counts as ending after its restart, and is replaced as
# soon as it is admitted again.
@test("forwarders that were shut down as witnesses do not count as ending after their restart")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        await decommission(scenario, "s1")
        await until(lambda: len(witnesses(scenario, "s2")) == 3, 5.0)
        for front in ("f0", "f1", "f2", "f3", "f4") * 2:
            cluster.nodes[front].terminate()
            await asyncio.sleep(1.5)
        await asyncio.sleep(8.0)
        program = cluster.nodes["s2"].program
        assert program is not None
        assert not program.membership.reported.withheld_votes
        assert len(witnesses(scenario, "s2")) == 3

    play(Plan(66, forwarders=5), steps)


# Guards against: a configuration is acknowledged that is on one of two disks and in the memory of the witness.
@test("beside a witness a configuration is acknowledged only once it is on both disks")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        await decommission(scenario, "s1")
        await until(lambda: len(witnesses(scenario, "s2")) == 1, 3.0)
        partition(scenario, ["s0"], ["s2"], 3.0)
        await asyncio.sleep(1.5)
        body = cluster.configuration_body(9, 700)
        assert (await call(scenario, "s2", "POST", REPLACE, body))[0] == 503
        await asyncio.sleep(3.0)
        assert await send_until_clear(scenario, ["s2"], body) == 200
        for node in ("s0", "s2"):
            storage = RecordStorage(cluster.nodes[node].folder / CONTROL_FOLDER, node)
            record = storage.load()
            assert record is not None and record.state.revision == 9

    play(Plan(60), steps)


@test("a permanently lost store is replaced by an empty one, then a second disk is lost: no state is lost")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        assert await send_until_clear(scenario, ["s0"], cluster.configuration_body(9, 700)) == 200
        cluster.nodes["s0"].power_off(1e6, wipe=True)
        await asyncio.sleep(1.0)
        cluster.add_store("s9", "z0")
        await asyncio.sleep(4.5)  # by then the lost machine has been replaced and no longer counts
        cluster.nodes["s1"].power_off(1.0, wipe=True)
        await asyncio.sleep(4.5)
        status, raw = await call(scenario, "s9", "GET", RETRIEVE)
        assert status == 200 and json.loads(raw)["revision"] == 9
        assert (
            await send_until_clear(scenario, ["s1", "s2", "s9"], cluster.configuration_body(12, 800)) == 200
        )

    play(Plan(55), steps)


@test("a machine with the disk of another cluster neither changes this cluster nor learns its state")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        cluster = scenario.cluster
        foreign_voter = Voter("s2", "a disk from elsewhere")
        state = ControlState(
            version=40,
            epoch=4,
            voters=(foreign_voter,),
            revision=99,
            text=cluster.configuration_body(99, 700),
            cluster="other",
        )
        storage = RecordStorage(cluster.nodes["s2"].folder / CONTROL_FOLDER, "s2")
        storage.initialize(AcceptorRecord(foreign_voter, None, state))
        await scenario.start()
        await asyncio.sleep(5.0)  # s0 and s1 wait for a third voter, then create the cluster
        assert await send_until_clear(scenario, ["s0", "s1"], cluster.configuration_body(9, 700)) == 200
        for node in ("s0", "s1"):
            status, raw = await call(scenario, node, "GET", RETRIEVE)
            assert status == 200 and json.loads(raw)["revision"] == 9
            program = cluster.nodes[node].program
            assert program is not None and program.control is not None
            assert program.control.service.state.cluster not in ("", "other")
            assert "s2" not in {voter.node for voter in program.control.service.state.voters}
        assert (await call(scenario, "s2", "GET", RETRIEVE))[0] == 503

    play(Plan(57), steps)


@test(
    "a machine that was down during 300 changes returns with its old disk, catches up and serves no old state"
)
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        cluster.nodes["s0"].power_off(30.0)
        first = cluster.configuration_body(10, 700)
        for revision in range(10, 310):
            body = first if revision == 10 else cluster.configuration_body(revision, 700 + revision)
            assert await send_until_clear(scenario, ["s1", "s2"], body) == 200, revision
        await until(lambda: cluster.nodes["s0"].up, 31.0)
        program = cluster.nodes["s0"].program
        assert program is not None
        await until(lambda: program.active_configuration.revision == 309, 3.0)
        assert await send_until_clear(scenario, ["s0"], first) == 200, (
            "a repeated configuration of an old revision is not acknowledged again"
        )
        assert await send_until_clear(scenario, ["s0"], cluster.configuration_body(10, 999)) == 409
        status, raw = await call(scenario, "s0", "GET", RETRIEVE)
        assert status == 200 and json.loads(raw)["revision"] == 309

    play(Plan(56), steps)
