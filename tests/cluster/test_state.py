"""The cluster's state survives frozen processes, partitions, and replaced, added or retired machines."""

import asyncio
from typing import Any

from ward import each, test

from emberlatch.cluster.dispatch.carrier import Carrier
from emberlatch.cluster.message_store import (
    MessageQuery,
    MessageState,
    MessageStatus,
    Phase,
    Record,
    StateReport,
)
from emberlatch.cluster.message_store.messages import CommitStateRequest
from emberlatch.cluster.rpc import peer
from emberlatch.simulation.clients import SimulatedClients
from emberlatch.simulation.http_client import send_request
from emberlatch.simulation.repair_cost import measure
from emberlatch.simulation.scenario import Scenario
from tests.cluster.support import (
    Fault,
    FaultKind,
    Plan,
    assert_nothing_lost,
    call_control,
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


@test("an owner that resumes after a suspension sends no message that others have taken over")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = [await submit(scenario, "f0", delay_ms=1500) for _ in range(8)]
        process = cluster.nodes["s0"].process
        assert process is not None
        process.suspend()
        await asyncio.sleep(4.5)
        assert all(success_count(cluster, s.id) == 1 for s in sent)
        process.resume(cluster.loop)
        await asyncio.sleep(3.0)
        assert all(success_count(cluster, s.id) == 1 for s in sent)
        assert cluster.nodes["s0"].message_store.ownership.may_deliver()

    assert not play(Plan(21), steps)[1]


@test(
    "after an empty store replaces a lost one, messages have two replicas and the lost store is not counted"
)
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit_in_turn(scenario, 24, delay_ms=40_000)
        cluster.nodes["s0"].power_off(1000.0)
        await asyncio.sleep(1.2)
        cluster.add_store("s9", "z0")
        await asyncio.sleep(4.5)
        for one in sent:
            assert len([n for n in stores_with_durable_copy(cluster, one.id) if n != "s0"]) >= 2
        await until(lambda: "s0" not in cluster.nodes["s1"].running.membership.counted_stores(), 8.0)
        cluster.nodes["s1"].power_off(1.0)
        await asyncio.sleep(0.5)
        assert cluster.nodes["s2"].message_store.ownership.may_deliver()
        assert (await submit(scenario, "f1")).status in (202, 504)
        await asyncio.sleep(2.0)
        assert (await submit(scenario, "f1")).status == 202
        assert await scenario.operator.read_back() == 3

    assert not play(Plan(22), steps)[1]


@test("an isolated store accepts nothing, and a forwarder tries the next one at once")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        isolate(cluster, "s0", 8.0)
        answers = [sent.status for sent in await submit_in_turn(scenario, 30)]
        assert answers.count(202) == 30, str(answers)
        await asyncio.sleep(14.0)
        assert all(success_count(cluster, id) == 1 for id in cluster.history.sent)

    assert not play(Plan(23), steps)[1]


@test("an isolated store neither expires targets for others nor takes over messages of unreachable stores")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        isolate(cluster, "s0", 7.0)
        await asyncio.sleep(6.5)
        sent = await submit_in_turn(scenario, 12, delay_ms=2500)
        await asyncio.sleep(1.0)
        for node in ("s0", "s1", "s2"):
            targets = cluster.nodes[node].target_directory.targets_by_id.values()
            assert all(target.available for target in targets), node
        await asyncio.sleep(5.0)
        assert all(success_count(cluster, s.id) == 1 for s in sent)
        epochs = {cluster.nodes["s1"].message_store.local_store.index.records[s.id].epoch for s in sent}
        assert epochs == {1}, str(epochs)

    assert not play(Plan(31), steps)[1]


@test("a message is delivered once if the link to its first store fails {after} ms after it was sent")
def _(after: float = each(0.5, 1.0, 2.0, 3.0, 5.0, 20.0, 60.0)) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        for _ in range(6):
            submission = asyncio.get_running_loop().create_task(submit(scenario, "f0"))
            await asyncio.sleep(after / 1000)
            cluster.partition("f0", "s0", 1.0)
            sent = await submission
            assert sent.status == 202
            await asyncio.sleep(3.0)
            assert success_count(cluster, sent.id) == 1

    assert not play(Plan(30), steps)[1]


def open_record(scenario: Scenario) -> Record | None:
    """Return a queued record of any store; None if there is none."""
    stores = [node for node in scenario.cluster.nodes.values() if node.is_store]
    indexes = [store.message_store.local_store.index for store in stores]
    return next((r for index in indexes for r in index.records.values() if r.is_queued), None)


@test("a message submitted again at its replica is not sent before the first owner was probed")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        for target in cluster.targets.values():
            target.mean_run_s = 0.5  # the first run is still in progress when the message is submitted again
        for _ in range(6):
            submission = asyncio.get_running_loop().create_task(submit(scenario, "f0"))
            while not (record := open_record(scenario)):
                await asyncio.sleep(0.0005)
            replica = next(node for node in record.replicas if node != record.owner)
            for other in {"s0", "s1", "s2"} - {replica}:
                cluster.partition("f0", other, 1.0)
            sent = await submission
            assert sent.status == 202
            await asyncio.sleep(3.0)
            assert len(cluster.history.runs[sent.id]) == 1, str(cluster.history.runs[sent.id])

    assert not play(Plan(30), steps)[1]


@test("while one disk stalls for seconds, messages are accepted without delay")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        cluster.nodes["s1"].disk.sync_s = 3.0
        sent = await submit_in_turn(scenario, 30)
        assert all(s.status == 202 for s in sent)
        quick = [s for s in sent if s.answered_at - s.sent_at < 0.08]
        assert len(quick) >= 24, str([round(s.answered_at - s.sent_at, 3) for s in sent])
        cluster.nodes["s1"].disk.sync_s = 0.001
        await asyncio.sleep(8.0)
        assert all(success_count(cluster, s.id) == 1 for s in sent)

    assert not play(Plan(24), steps)[1]


@test("of two configurations sent concurrently under one revision, one is acknowledged and active everywhere")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        bodies = [cluster.configuration_body(9, nominal) for nominal in (800, 900)]
        calls = [
            call_control(cluster, store, "POST", "/api/configuration/replace", body)
            for store, body in zip(("s0", "s2"), bodies, strict=True)
        ]
        statuses = [response.status for response in await asyncio.gather(*calls)]
        assert sorted(statuses) == [200, 409]
        await asyncio.sleep(1.5)
        active = [node.running.active_configuration.current for node in cluster.nodes.values()]
        texts = {config.raw if config is not None else None for config in active}
        assert texts == {bodies[statuses.index(200)]}

    assert not play(Plan(25), steps)[1]


async def control(scenario: Scenario, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    for address in scenario.cluster.control_addresses() * 5:
        try:
            answer = await send_request(address, method, path, body, {"Host": "c"}, 1.0)
        except (OSError, TimeoutError):
            continue
        if answer.status != 503:
            return answer.status, bytes(answer.body)
    return 0, b""


@test("retiring a store under load loses, delays and repeats no message, and its disk can be wiped at once")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        waiting = await submit_in_turn(scenario, 30, delay_ms=20_000)
        assert (await control(scenario, "POST", "/api/retire/s1/initiate", b'{"period_s":8}'))[0] == 200
        for n in range(40):
            assert (await submit(scenario, f"f{n % 3}")).status == 202

        async def completed() -> bool:
            return b"completed" in (await control(scenario, "GET", "/api/retire/s1/retrieve"))[1]

        for _ in range(80):
            if await completed():
                break
            await asyncio.sleep(0.1)
        assert await completed()
        cluster.nodes["s1"].power_off(1000.0, wipe=True)
        await asyncio.sleep(0.1)
        for one in waiting:
            assert len([n for n in stores_with_durable_copy(cluster, one.id) if n != "s1"]) >= 2
        assert (await submit(scenario, "f0")).status == 202
        await asyncio.sleep(22.0)
        assert all(success_count(cluster, id) == 1 for id in cluster.history.sent)
        late = [s for s in waiting if cluster.history.runs[s.id][0].at > s.sent_at + s.delay_s + 1.0]
        assert not late

    assert not play(Plan(26, stores=4), steps)[1]


@test("a retirement of an unknown machine, with an invalid body, or beside another one is refused")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        assert (await control(scenario, "POST", "/api/retire/s7/initiate", b"{}"))[0] == 404
        assert (await control(scenario, "GET", "/api/retire/s0/retrieve"))[0] == 404
        assert (await control(scenario, "POST", "/api/retire/s0/initiate", b'{"period_s":"soon"}'))[0] == 400
        assert (await control(scenario, "POST", "/api/retire/s0/initiate", b'{"period_s":5}'))[0] == 200
        assert (await control(scenario, "POST", "/api/retire/s0/initiate", b'{"period_s":5}'))[0] == 200
        await asyncio.sleep(1.0)
        assert (await control(scenario, "POST", "/api/retire/s1/initiate", b"{}"))[0] == 409
        assert cluster.nodes["s0"].message_store.phase is Phase.RETIRING

    assert not play(Plan(27), steps)[1]


@test("a retirement completes although its machine and then all processes were killed")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        await submit_in_turn(scenario, 20, delay_ms=30_000)
        for target in cluster.targets.values():
            target.answer_loss = 1.0
        assert (await control(scenario, "POST", "/api/retire/s1/initiate", b"{}"))[0] == 200
        cluster.nodes["s1"].kill(0.5)
        await asyncio.sleep(0.7)
        for node in cluster.nodes.values():
            node.kill(0.5)
        await asyncio.sleep(6.0)
        assert b"completed" in (await control(scenario, "GET", "/api/retire/s1/retrieve"))[1]

    assert not play(Plan(28, stores=4), steps)[1]


@test("after a loss of power everywhere, no store waits for one that has been down for a long time")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        cluster.nodes["s0"].power_off(1e6)
        cluster.add_store("s9", "z0")
        await asyncio.sleep(9.0)
        for node in list(cluster.nodes.values()):
            if node.name != "s0":
                node.power_off(0.5)
        await asyncio.sleep(1.0)
        assert all(cluster.nodes[n].message_store.phase is Phase.SERVING for n in ("s1", "s2", "s9"))
        assert (await submit(scenario, "f1")).status == 202

    assert not play(Plan(32), steps)[1]


@test("two stores in a row lose state: no accepted message is lost: {kind}")
def _(kind: str = each("freeze", "power", "wipe", "kill")) -> None:
    faults = [Fault(1.0 + 10.0 * n, FaultKind(kind), f"s{n}", 2.5) for n in range(2)]
    cluster, breaches = play_faults(*faults, duration_s=16.0, messages_per_s=20.0)
    assert_nothing_lost(cluster, breaches)


@test("a call that fails after another store became the owner is not retried by the old owner")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        for target in cluster.targets.values():
            target.mean_run_s = 0.2
        sent = await submit_in_turn(scenario, 6, forced_status=500)
        for node in (n for n in cluster.nodes.values() if n.is_store):
            message_store = node.message_store
            others = [n for n in ("s0", "s1", "s2") if n != node.name]
            for record in message_store.local_store.index.owned_by(node.name):
                new_owner = next(n for n in others if n in record.replicas)
                report = StateReport(record.id, MessageState.QUEUED, "", record.epoch + 1, new_owner, 0)
                for store in (message_store, cluster.nodes[new_owner].message_store):
                    await store.state_commits.commit_states(CommitStateRequest((report,)))
        await asyncio.sleep(25.0)
        assert not [s.id for s in sent if len(cluster.history.runs[s.id]) > 5]
        commits = cluster.nodes["s0"].message_store.state_commits
        states = [commits.message_state(MessageQuery(s.id)) for s in sent]
        assert MessageStatus("dead_letter", "") in states

    assert not play(Plan(35), steps)[1]


@test("a rate limit holds when its endpoint recovers and the backlog is delivered")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        assert await scenario.operator.send_raw(cluster.configuration_body(9, 8000)) == 200
        outside = next(t for t in cluster.targets.values() if t.service == "outside")
        outside.capacity, outside.max_queued = 60, 200
        clients = [
            asyncio.get_running_loop().create_task(SimulatedClients(cluster, z, 40.0).run(12.0))
            for z in ("z0", "z1", "z2")
        ]
        await asyncio.sleep(2.0)
        outside.crash()
        await asyncio.sleep(6.0)
        replacement = await cluster.add_target("outside", "z0", outside.address)
        replacement.capacity, replacement.max_queued = 60, 200
        await asyncio.gather(*clients)
        await asyncio.sleep(8.0)
        cluster.history.judge_rate("outside", 20.0, 5.0, 1.1)
        assert len(cluster.history.arrivals["outside"]) > 200

    assert "CEILING" not in {b.rule for b in play(Plan(36, rate_limit_per_s=20.0), steps)[1]}


@test("an isolated store rejects heartbeats of targets, and other stores keep the targets available")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        isolate(cluster, "s0", 9.0)
        await asyncio.sleep(3.0)
        body = b'{"service":"s","address":"10.0.0.1:80","zone":"z","capacity":2,"state":"in_service","sequence":1}'
        answer = await call_control(cluster, "s0", "POST", "/api/instances/i-9/heartbeat", body)
        assert answer.status == 503
        await asyncio.sleep(3.5)
        assert all(
            t.available
            for n in ("s1", "s2")
            for t in cluster.nodes[n].target_directory.targets_by_id.values()
        )

    assert not play(Plan(33), steps)[1]


@test(
    "when no store answers, a forwarder responds 503 at once and does not hold requests until they time out"
)
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        for name in ("s0", "s1", "s2"):
            process = cluster.nodes[name].process
            assert process is not None
            process.suspend()
        first = [submit(scenario, "f0") for _ in range(3)]
        await asyncio.gather(*first)
        await asyncio.sleep(0.2)
        sent = await submit(scenario, "f0")
        assert sent.status == 503 and sent.answered_at - sent.sent_at < 0.05

    assert not play(Plan(34), steps)[1]


@test("an owner that restarts {again} s after its kill, before others take over, delivers its messages once")
def _(again: float = each(0.15, 0.2)) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = [await submit(scenario, delay_ms=1000 + 15 * n) for n in range(100)]
        owners = {
            n.name
            for n in cluster.nodes.values()
            if n.is_store and n.message_store.local_store.index.owned_by(n.name)
        }
        assert owners == {"s0"}
        await asyncio.sleep(sent[0].sent_at + 0.9 + again / 8 - cluster.loop.time())
        cluster.nodes["s0"].kill(again)
        killed_at = cluster.loop.time()
        await asyncio.sleep(6.0)
        for one in sent:
            succeeded_after_s = [
                run.at - killed_at for run in cluster.history.runs[one.id] if run.status == 200
            ]
            # The owner may not know the outcome of a run that was in flight at the kill, and may repeat it.
            after_kill_s = [at for at in succeeded_after_s if at > 0]
            assert succeeded_after_s and len(after_kill_s) < 2, (
                f"{one.id} ran {after_kill_s} s after the kill, expected at most one; restart after {again} s"
            )

    with patched_attribute(peer, "REDIAL_BACKOFF_S", (0.05, 4.0)):
        play(Plan(23, targets=6), steps)


@test("a hand-over at shutdown transfers every message, even if the replica never received its copy")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit(scenario, delay_ms=3000)
        for node in cluster.nodes.values():
            if node.is_store and node.name != "s0":
                index = node.message_store.local_store.index
                for known in list(index.records.values()):
                    index.remove(known)
        cluster.nodes["s0"].terminate()
        await until(lambda: not cluster.nodes["s0"].up, 6.0)
        cluster.nodes["s0"].powered_off = True
        await asyncio.sleep(4.0)
        assert len(cluster.history.runs.get(sent.id, [])) == 1

    play(Plan(24), steps)


@test("comparing two stores with equal records costs only their digests, however many records there are")
def _() -> None:
    # Each call asserts that the missing records were copied.
    small, large = measure(500, 20), measure(4000, 20)
    assert small.repeat_bytes == large.repeat_bytes < 1000
    assert large.bytes > large.minimum_bytes > 0


@test("a message that another store took over and ended while a connection was opened is not sent")
def _() -> None:
    original = Carrier._connect

    async def connect_slowly(self: Carrier, target: Any) -> Any:
        await asyncio.sleep(0.3)
        return await original(self, target)

    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit(scenario, body=b"a body")
        local_store = cluster.nodes["s0"].message_store.local_store
        record = local_store.index.records[sent.id]
        await asyncio.sleep(0.05)
        local_store.merge(record, MessageState.QUEUED, "", 2, "s1", 0)
        local_store.merge(record, MessageState.COMPLETED, "1.i-1", 2, "s1", 0)
        await asyncio.sleep(2.0)
        assert sent.id not in cluster.history.runs

    with patched_attribute(Carrier, "_connect", connect_slowly):
        assert not play(Plan(25), steps)[1]
