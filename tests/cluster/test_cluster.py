"""Scenarios of complete clusters on a simulated network, disk and clock."""

import asyncio
import json

from ward import each, test

from emberlatch.cluster.message_store import MessageQuery, MessageStatus, Phase
from emberlatch.cluster.message_store.repair import Repair
from emberlatch.cluster.rpc import PeerState
from emberlatch.simulation.http_client import send_request
from emberlatch.simulation.node import CONTROL_PORT, FRONT_PORT, INNER_PORT
from emberlatch.simulation.scenario import Scenario
from emberlatch.simulation.target import TargetState
from tests.cluster.support import (
    Fault,
    FaultKind,
    Plan,
    assert_nothing_lost,
    call_control,
    executed_more_than_once,
    isolate,
    patched_attribute,
    play,
    play_faults,
    stores_with_durable_copy,
    submit,
    submit_in_turn,
    success_count,
    until,
)


@test("without faults every message is executed exactly once")
def _() -> None:
    cluster, breaches = play_faults()
    assert_nothing_lost(cluster, breaches)
    assert all(success_count(cluster, id) == 1 for id in cluster.history.runs)


@test("a message answered 202 is on the disks of at least two stores, so that either disk may be lost")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        for target in scenario.cluster.targets.values():
            target.crash()
        for n in range(12):
            sent = await submit(scenario, f"f{n % 3}")
            assert sent.status == 202 and len(stores_with_durable_copy(scenario.cluster, sent.id)) >= 2

    assert not play(Plan(1), steps)[1]


@test("with a single running store a message is rejected with 503 and is never executed")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        for name in ("s0", "s1"):
            cluster.nodes[name].power_off(60.0)
        await asyncio.sleep(0.2)
        sent = [await submit(scenario) for _ in range(5)]
        await asyncio.sleep(3.0)
        sent += [await submit(scenario) for _ in range(5)]
        assert all(message.status in (503, 504) for message in sent), str(
            [message.status for message in sent]
        )
        assert sent[-1].status == 503
        rejected = {message.id for message in sent if message.status == 503}
        await asyncio.sleep(70.0)
        assert not rejected & cluster.history.runs.keys()

    assert not play(Plan(2), steps)[1]


@test("a message whose second replica is uncertain is answered 503 or 504, and after 503 is never executed")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        isolate(cluster, "s0", 30.0)
        for front in ("f0", "f1", "f2"):
            for other in ("s1", "s2"):
                cluster.partition(front, other, 30.0)
        sent = await submit(scenario)
        assert sent.status in (503, 504)
        await asyncio.sleep(45.0)
        if sent.status == 503:
            assert sent.id not in cluster.history.runs

    assert not play(Plan(3), steps)[1]


@test("messages owned by a killed store are delivered by the other replica long before that store restarts")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit_in_turn(scenario, 12, delay_ms=1000)
        cluster.nodes["s0"].kill(30.0)
        await asyncio.sleep(3.0)
        assert all(success_count(cluster, s.id) >= 1 for s in sent)

    assert not play(Plan(4), steps)[1]


@test("messages of an unreachable store are taken over once its lease has certainly expired", tags=["lease"])
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit_in_turn(scenario, 12, delay_ms=500)
        cluster.nodes["s1"].power_off(30.0)
        await asyncio.sleep(5.0)
        assert all(success_count(cluster, s.id) >= 1 for s in sent)

    assert not play(Plan(5), steps)[1]


@test("an isolated store stops delivering before other stores take over, so each message succeeds once")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = [await submit(scenario, "f0", delay_ms=2000) for _ in range(6)]
        isolate(cluster, "s0", 20.0)
        message_store = cluster.nodes["s0"].message_store
        await until(lambda: not message_store.ownership.may_deliver(), 3.0)
        owned = {r.id for r in message_store.local_store.index.owned_by("s0")}
        await asyncio.sleep(6.0)
        assert all(success_count(cluster, s.id) == 1 for s in sent)
        assert owned & {s.id for s in sent} <= cluster.history.runs.keys()

    assert not play(Plan(6), steps)[1]


@test("a rolling shutdown of the stores under load loses no message and executes none twice")
def _() -> None:
    cluster, breaches = play_faults(
        Fault(0.5, FaultKind.TERMINATE, "s0"),
        Fault(3.0, FaultKind.TERMINATE, "s1"),
        Fault(5.5, FaultKind.TERMINATE, "s2"),
        duration_s=8.0,
    )
    assert_nothing_lost(cluster, breaches)
    assert not executed_more_than_once(cluster), str(executed_more_than_once(cluster))


@test("a rolling shutdown of the forwarders under load leaves no request unanswered")
def _() -> None:
    faults = [Fault(0.5 + 2 * n, FaultKind.TERMINATE, f"f{n}") for n in range(3)]
    cluster, breaches = play_faults(*faults, duration_s=9.0)
    assert_nothing_lost(cluster, breaches)
    assert not [s for s in cluster.history.sent.values() if s.status == 0]


@test("acknowledged messages are completed and the acknowledged configuration is kept after: {kind}")
def _(kind: str = each("all kill", "all power", "wipe and power")) -> None:
    cluster, breaches = play_faults(Fault(2.0, FaultKind.CONFIGURE), Fault(3.0, FaultKind(kind), "s1", 1.0))
    assert_nothing_lost(cluster, breaches)


@test("a store with a wiped disk does not serve until its records are restored from replicas")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit_in_turn(scenario, 30, delay_ms=30_000)
        for name in ("s0", "s2"):
            cluster.nodes[name].power_off(4.0)
        cluster.nodes["s1"].power_off(0.5, wipe=True)
        await asyncio.sleep(2.5)
        wiped = cluster.nodes["s1"]
        assert wiped.message_store.phase is Phase.STARTING
        assert (await call_control(cluster, "s1", "GET", "/api/configuration/retrieve")).status == 503
        await until(lambda: wiped.message_store.phase is Phase.SERVING, 10.0)
        await asyncio.sleep(1.0)
        assert all(len(stores_with_durable_copy(cluster, s.id)) >= 2 for s in sent)

    assert not play(Plan(8), steps)[1]


@test(
    "of concurrent configurations and an invalid one, the highest valid revision becomes active on all nodes"
)
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        assert all(
            await asyncio.gather(
                scenario.operator.send(9), scenario.operator.send(12), scenario.operator.send(5)
            )
        )
        invalid = cluster.configuration(20)
        invalid["services"] = []
        assert await scenario.operator.send_raw(json.dumps(invalid).encode()) == 400
        await asyncio.sleep(1.0)
        assert {
            n.running.active_configuration.revision for n in cluster.nodes.values() if n.program is not None
        } == {12}
        assert await scenario.operator.read_back() == 12

    assert not play(Plan(9), steps)[1]


@test("an isolated machine answers 503 to a configuration at once and commits it on a retry after contact")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        isolate(cluster, "s0", 3.0)
        body = json.dumps(cluster.configuration(9)).encode()
        await asyncio.sleep(1.6)
        called_at = cluster.loop.time()
        answer = await call_control(cluster, "s0", "POST", "/api/configuration/replace", body)
        assert answer.status == 503 and cluster.loop.time() - called_at < 0.05
        await asyncio.sleep(4.0)
        for node in cluster.nodes.values():
            assert node.program is not None and node.running.active_configuration.revision == 3
        answer = await call_control(cluster, "s0", "POST", "/api/configuration/replace", body)
        assert answer.status == 200
        await until(
            lambda: all(
                n.running.active_configuration.revision == 9
                for n in cluster.nodes.values()
                if n.program is not None
            ),
            10.0,
        )

    assert not play(Plan(10), steps)[1]


@test("once a target's draining heartbeat is acknowledged, all stores have the target as draining")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        target = next(iter(cluster.targets.values()))
        target.state = TargetState.DRAINING
        assert await target.send_heartbeat()
        for node in cluster.nodes.values():
            if node.program is not None and node.running.targets is not None:
                assert node.target_directory.targets_by_id[target.id].state == 1

    assert not play(Plan(11), steps)[1]


@test(
    "if another service reuses addresses of crashed targets, no message is lost or sent to the wrong service"
)
def _() -> None:
    faults = [Fault(0.5 + n, FaultKind.TARGET_ADDRESS_REUSE) for n in range(3)]
    cluster, breaches = play_faults(*faults, targets=8, duration_s=8.0)
    assert_nothing_lost(cluster, breaches)


@test("with lost responses every message ends as completed or, if it always fails, as a dead letter")
def _() -> None:
    cluster, breaches = play_faults(Fault(1.0, FaultKind.LOSE_ANSWERS, "", 3.0), forced_failure_share=0.1)
    assert not breaches, str(breaches[:3])
    states = {state for state, _ in cluster.history.states.values()}
    assert states == {"completed", "dead_letter"}


@test("a rate limit shared by the stores is kept in every window under overload and store failures")
def _() -> None:
    cluster, breaches = play_faults(
        Fault(2.0, FaultKind.KILL, "s0", 1.0),
        Fault(4.0, FaultKind.TERMINATE, "s1"),
        rate_limit_per_s=4.0,
        messages_per_s=60.0,
        duration_s=10.0,
    )
    assert not breaches, str(breaches[:3])
    assert len(cluster.history.arrivals["outside"]) > 40


@test("a delayed message is executed on time after all stores restart with differing clocks")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        for node in cluster.nodes.values():
            node.clock_skew_s = 0.05 * (1 if node.name == "s0" else -1)
        sent = await submit_in_turn(scenario, 9, delay_ms=4000)
        for node in cluster.nodes.values():
            node.power_off(0.5)
        await asyncio.sleep(7.0)
        for message in sent:
            runs = cluster.history.runs.get(message.id, [])
            assert runs and message.sent_at + 3.9 <= runs[0].at < message.sent_at + 6.0

    assert not play(Plan(12), steps)[1]


@test("malformed data on any port is rejected and does not disturb the processes")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        malformed = (
            b"\xff" * 64,
            b"\x00\x00\x00\x05hello",
            b"\x00\x00\x00\x01\x80",
            b"\x7f\xff\xff\xff",
            b"GET / HTTP/1.1\r\n\r\n",
        )
        for data in malformed:
            for port, name in ((INNER_PORT, "s0"), (FRONT_PORT, "f0"), (CONTROL_PORT, "s1")):
                transport, _ = await asyncio.get_running_loop().create_connection(
                    asyncio.Protocol, cluster.nodes[name].host, port
                )
                transport.write(data)
        await asyncio.sleep(1.0)
        host = cluster.nodes["f0"].host
        conflicting = {"Host": "a.example", "Emberlatch-Attempt-Id": "q", "Transfer-Encoding": "chunked"}
        assert (await send_request((host, FRONT_PORT), "POST", "/l/x", b"", conflicting, 2.0)).status == 400
        oversized = {"Host": "a.example", "Emberlatch-Attempt-Id": "q", "X": "y" * 20_000}
        assert (await send_request((host, FRONT_PORT), "POST", "/l/x", b"", oversized, 2.0)).status == 431
        answer = await call_control(cluster, "s0", "POST", "/api/instances/i/heartbeat", b'{"sequence":"x"}')
        assert answer.status == 400
        assert (await submit(scenario)).status == 202
        assert cluster.nodes["s0"].incarnation == 1

    assert not play(Plan(13), steps)[1]


@test("a restarted forwarder learns all stores from the one that is up, and is ready once a quorum is up")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        for name in ("s0", "s1"):
            cluster.nodes[name].power_off(3.0)
        cluster.nodes["f0"].kill(0.5)
        await asyncio.sleep(1.5)
        front = cluster.nodes["f0"].program
        assert front is not None and len(front.membership.stores()) == 3
        assert sum(p.state is PeerState.UP for p in front.membership.stores().values()) == 1
        assert front.readiness.not_ready_reason()
        await until(lambda: front.readiness.not_ready_reason() is None, 8.0)

    assert not play(Plan(14), steps)[1]


@test("a queued message whose route a new configuration removes is dead-lettered without being executed")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit(scenario, delay_ms=2500)
        cluster.routes.pop(0)
        assert await scenario.operator.send(8)
        await asyncio.sleep(4.0)
        states = [
            n.message_store.state_commits.message_state(MessageQuery(sent.id))
            for n in cluster.nodes.values()
            if n.program is not None and n.running.message_store is not None
        ]
        assert MessageStatus("dead_letter", "") in states and sent.id not in cluster.history.runs

    assert not play(Plan(15), steps)[1]


@test("while local targets have capacity, messages are delivered to targets in the zone of their owner")
def _() -> None:
    cluster, breaches = play_faults(messages_per_s=12.0, targets=6)
    assert not breaches
    stores = {
        name: node for name, node in cluster.nodes.items() if node.is_store and node.program is not None
    }
    cross_zone_count = 0
    for id, runs in cluster.history.runs.items():
        owner = next(
            n.message_store.local_store.index.records[id].owner
            for n in stores.values()
            if id in n.message_store.local_store.index.records
        )
        cross_zone_count += cluster.targets[runs[-1].target].zone != stores[owner].zone
    assert len(cluster.history.runs) > 50 and cross_zone_count == 0


@test("with three replicas of each message, digests match after the first writes, without any repair")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        for _ in range(30):
            assert (await submit(scenario)).status == 202
        await asyncio.sleep(2.0)
        indexes = {
            n.name: n.message_store.local_store.index for n in scenario.cluster.nodes.values() if n.is_store
        }
        assert sum(len(index.records) for index in indexes.values()) == 90
        for name, index in indexes.items():
            for other, theirs in indexes.items():
                assert other == name or not index.differing_ranges(other, theirs.digests(name)), (
                    f"{name} and {other}"
                )

    async def skip_repair(self: Repair, peer: object) -> None:
        pass

    with patched_attribute(Repair, "repair_peer", skip_repair):
        play(Plan(6, zones=1, stores=5, tolerated_losses=2), steps)
